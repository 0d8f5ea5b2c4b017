#include <oleandercross/daemon/clusterview.h>

#include "clustermessages.h"

#include <oleandercross/core/json.h>
#include <oleandercross/core/resultcode.h>
#include <oleandercross/telemetry/log.h>

#include <algorithm>

namespace oleandercross::daemon {

namespace {

using core::boolMember;
using core::intMember;
using core::member;
using core::stringMember;

constexpr int ThreadCount = 8;
constexpr absl::Duration TickPeriod = absl::Milliseconds(250);
// Dispatchers drop targets that are not announced for 10 s.
constexpr absl::Duration RemoteAnnouncePeriod = absl::Seconds(5);
constexpr absl::Duration ExchangeTimeout = absl::Milliseconds(900);
// HTTP headers and JSON-RPC envelopes of a heartbeat and its reply.
constexpr int HeartbeatOverheadBytes = 500;
// Period at which unchanged loads are forwarded, well below the 10 s after which dispatchers drop
// targets.
constexpr absl::Duration LoadRefreshPeriod = absl::Seconds(4);
// Maximum age of a store read or a message that counts as recent.
constexpr absl::Duration RecentLimit = absl::Seconds(3);
// Weight of a new sample in the smoothed round-trip time to a data centre.
constexpr double RoundTripWeight = 0.125;

bool equalLoads(const AgentInfo &a, const AgentInfo &b)
{
    return std::equal(a.minions.begin(), a.minions.end(), b.minions.begin(), b.minions.end(),
                      [](const MinionState &x, const MinionState &y) {
                          return x.minion == y.minion && x.load == y.load;
                      });
}

membership::EntryRecord selfRecord(const config::Settings &settings, std::int64_t incarnation)
{
    return {core::EntryId(settings.id), settings.dataCentre, http::toString(settings.rpcListen),
            incarnation, 0};
}

} // namespace

ClusterView::ClusterView(const config::Settings &settings, std::int64_t incarnation,
                         rpc::Client &client, ManifestService &manifests,
                         telemetry::Metrics &metrics)
    : m_settings(settings)
    , m_incarnation(incarnation)
    , m_client(client)
    , m_manifests(manifests)
    , m_metrics(metrics)
    , m_directory(selfRecord(settings, incarnation))
    , m_executor(ThreadCount)
{ }

ClusterView::~ClusterView()
{
    stop();
}

void ClusterView::addHandlers(rpc::Server &server)
{
    server.add("heartbeat", [this](const Json::Value &p) { return heartbeat(p); });
    server.add("exchange", [this](const Json::Value &p) { return exchange(p); });
    server.add("leave", [this](const Json::Value &p) { return leave(p); });
}

void ClusterView::subscribe(Listener listener)
{
    m_listeners.push_back(std::move(listener));
}

void ClusterView::start()
{
    m_executor.every(TickPeriod, [this] { tick(); });
    m_executor.every(RemoteAnnouncePeriod, [this] { announceRemoteAgents(); });
    for (const config::EntryAddress &peer : m_settings.entries) {
        if (peer.id.str() != m_settings.id) {
            m_executor.repeat([this, peer] {
                exchangeWith(peer);
                absl::MutexLock lock(&m_mutex);
                return m_directory.exchangePeriod(peer.dataCentre);
            });
        }
    }
}

void ClusterView::stop()
{
    m_executor.stop();
}

void ClusterView::exchangeNow()
{
    for (const config::EntryAddress &peer : m_settings.entries) {
        if (peer.id.str() != m_settings.id)
            m_executor.post([this, peer] { exchangeWith(peer); });
    }
}

std::optional<Json::Value> ClusterView::heartbeat(const Json::Value &params)
{
    membership::AgentRecord record = decodeAgentRecord(params);
    const Json::Value &state = member(params, "static");
    const Json::Value &loads = member(params, "loads");
    {
        absl::MutexLock lock(&m_mutex);
        if (state.isObject())
            m_staticStates[record.agent] = state;
        const auto known = m_staticStates.find(record.agent);
        const auto view = m_directory.agent(record.agent);
        const bool sameIncarnation = view && view->record.incarnation == record.incarnation;
        if (known == m_staticStates.end() || (!state.isObject() && !sameIncarnation)) {
            Json::Value reply;
            reply["needState"] = true;
            return reply;
        }
        record.state = core::writeJson(known->second);
        const int bytes =
            static_cast<int>(core::writeJson(params).size()) * 2 + HeartbeatOverheadBytes;
        if (m_directory.heartbeat(record, bytes, m_clock.now())
            == membership::HeartbeatResult::Stale) {
            Json::Value reply;
            reply["newerIncarnation"] = static_cast<Json::Int64>(view->record.incarnation);
            return reply;
        }
    }
    m_metrics.add("heartbeats_received");
    const std::shared_ptr<const AgentInfo> before = agent(record.agent);
    update(record, loads);
    const std::shared_ptr<const AgentInfo> after = agent(record.agent);
    if (after) {
        absl::MutexLock lock(&m_mutex);
        const core::Instant now = m_clock.now();
        const auto heard = m_loadsUpdatedAt.find(record.agent);
        if (heard == m_loadsUpdatedAt.end() || now - heard->second >= LoadRefreshPeriod || !before
            || !equalLoads(*before, *after))
            m_loadsUpdatedAt[record.agent] = now;
    }
    return heartbeatReply(params);
}

Json::Value ClusterView::heartbeatReply(const Json::Value &params)
{
    Json::Value reply;
    reply["confirmed"] = configurationConfirmed();
    const std::shared_ptr<const Revision> current = m_manifests.current();
    reply["revision"] = static_cast<Json::Int64>(current ? current->number : 0);
    const Json::Value update = m_manifests.updateFor(intMember(params, "manifestBase"));
    if (update.isObject())
        reply["update"] = update;
    absl::MutexLock lock(&m_mutex);
    const auto leader = m_leaders.find(m_settings.dataCentre);
    if (leader != m_leaders.end())
        reply["leader"] = encode(leader->second);
    reply["entries"] = Json::Value(Json::arrayValue);
    for (const membership::EntryRecord &entry : m_directory.entries(m_settings.dataCentre))
        reply["entries"].append(entry.entry.str());
    reply["periodUs"] = encodeDuration(m_directory.period());
    return reply;
}

std::optional<Json::Value> ClusterView::leave(const Json::Value &params)
{
    const core::AgentId agent(stringMember(params, "agent"));
    absl::MutexLock lock(&m_mutex);
    m_directory.leave(agent, intMember(params, "incarnation"), m_clock.now());
    return Json::Value(Json::objectValue);
}

Json::Value ClusterView::exchangeMessage(const config::EntryAddress &peer)
{
    Json::Value message;
    message["summary"] = encode(m_directory.summaryFor(peer.id));
    const std::shared_ptr<const Revision> current = m_manifests.current();
    message["revision"] = static_cast<Json::Int64>(current ? current->number : 0);
    const auto peerRevision = m_entryRevisions.find(peer.id);
    const std::int64_t known = peerRevision == m_entryRevisions.end() ? 0 : peerRevision->second;
    // A peer that can read the store fetches the revision from there.
    const auto fresh = m_lastFreshContact.find(peer.id);
    const bool readsStore =
        fresh != m_lastFreshContact.end() && m_clock.now() - fresh->second <= RecentLimit;
    if (current && current->number > known && !readsStore)
        message["manifest"] = encode(*current);
    message["storeFresh"] = storeRecentlyRead();
    const auto leader = m_leaders.find(m_settings.dataCentre);
    if (leader != m_leaders.end())
        message["leader"] = encode(leader->second);
    if (peer.dataCentre == m_settings.dataCentre)
        addLoads(message, peer.id);
    return message;
}

// Adds the loads of this entry's agents that have not been sent to the peer yet. An agent that
// moved to another entry is reported by that entry.
void ClusterView::addLoads(Json::Value &message, const core::EntryId &peer) const
{
    const auto sent = m_loadsSentAt.find(peer);
    for (const auto &[id, updatedAt] : m_loadsUpdatedAt) {
        if (sent != m_loadsSentAt.end() && updatedAt < sent->second)
            continue;
        const auto info = m_infos.find(id);
        const auto view = m_directory.agent(id);
        if (info != m_infos.end() && view && view->home.str() == m_settings.id)
            message["loads"][id.str()] = encodeLoads(*info->second);
    }
}

void ClusterView::exchangeWith(const config::EntryAddress &peer)
{
    Json::Value message;
    core::Instant gatheredAt;
    {
        absl::MutexLock lock(&m_mutex);
        gatheredAt = m_clock.now();
        message = exchangeMessage(peer);
    }
    const core::Instant sentAt = m_clock.now();
    const auto reply = m_client.call(peer.rpc, "exchange", message, ExchangeTimeout);
    if (!reply) {
        m_metrics.add("exchanges_failed");
        return;
    }
    const absl::Duration roundTrip = m_clock.now() - sentAt;
    const std::size_t bytes = core::writeJson(message).size() + core::writeJson(*reply).size();
    absl::MutexLock lock(&m_mutex);
    m_directory.recordExchangeSize(static_cast<int>(bytes));
    if (boolMember(*reply, "accepted")) {
        m_directory.acknowledged(peer.id, intMember(message["summary"], "version"));
        m_loadsSentAt[peer.id] = gatheredAt;
    } else {
        m_directory.forgetAcknowledged(peer.id);
        m_loadsSentAt.erase(peer.id);
    }
    m_entryRevisions[peer.id] = intMember(*reply, "revision");
    recordContact(peer.id, boolMember(*reply, "storeFresh"));
    absl::Duration &smoothed = m_roundTrips.emplace(peer.dataCentre, roundTrip).first->second;
    smoothed += (roundTrip - smoothed) * RoundTripWeight;
}

std::optional<Json::Value> ClusterView::exchange(const Json::Value &params)
{
    const membership::Summary summary = decodeSummary(member(params, "summary"));
    bool accepted = false;
    {
        absl::MutexLock lock(&m_mutex);
        accepted = m_directory.receive(summary, m_clock.now());
        m_entryRevisions[summary.sender.entry] = intMember(params, "revision");
        updateLeader(member(params, "leader"));
        recordContact(summary.sender.entry, boolMember(params, "storeFresh"));
    }
    if (accepted) {
        for (const membership::AgentRecord &record : summary.changed)
            update(record, member(member(params, "loads"), record.agent.str().c_str()));
    }
    applyExchange(params);
    Json::Value reply;
    reply["accepted"] = accepted;
    const std::shared_ptr<const Revision> current = m_manifests.current();
    reply["revision"] = static_cast<Json::Int64>(current ? current->number : 0);
    absl::MutexLock lock(&m_mutex);
    reply["storeFresh"] = storeRecentlyRead();
    return reply;
}

void ClusterView::recordStoreRead(bool answered)
{
    absl::MutexLock lock(&m_mutex);
    if (answered)
        m_storeReadAt = m_clock.now();
}

bool ClusterView::storeAvailable() const
{
    absl::MutexLock lock(&m_mutex);
    return storeRecentlyRead();
}

bool ClusterView::storeRecentlyRead() const
{
    return m_clock.now() - m_storeReadAt <= RecentLimit;
}

void ClusterView::recordContact(const core::EntryId &peer, bool storeRecentlyRead)
{
    m_lastContact[peer] = m_clock.now();
    if (storeRecentlyRead)
        m_lastFreshContact[peer] = m_clock.now();
}

bool ClusterView::configurationConfirmed() const
{
    absl::MutexLock lock(&m_mutex);
    if (storeRecentlyRead())
        return true;
    const core::Instant oldest = m_clock.now() - RecentLimit;
    const auto recent = [oldest](const auto &entry) { return entry.second >= oldest; };
    if (std::any_of(m_lastFreshContact.begin(), m_lastFreshContact.end(), recent))
        return true;
    // This entry counts as one contact.
    const auto contacts = 1 + std::count_if(m_lastContact.begin(), m_lastContact.end(), recent);
    return 2 * contacts > static_cast<std::ptrdiff_t>(m_settings.entries.size());
}

void ClusterView::applyExchange(const Json::Value &message)
{
    const Json::Value &manifest = member(message, "manifest");
    if (manifest.isObject())
        m_manifests.applyPeerRevision(manifest);
    const std::shared_ptr<const Revision> current = m_manifests.current();
    if (intMember(message, "revision") > (current ? current->number : 0))
        m_executor.post([this] { m_manifests.refresh(); });
    const Json::Value &loads = member(message, "loads");
    if (!loads.isObject())
        return;
    for (const std::string &id : loads.getMemberNames()) {
        std::optional<membership::AgentView> view;
        {
            absl::MutexLock lock(&m_mutex);
            view = m_directory.agent(core::AgentId(id));
        }
        if (view && view->liveness != membership::Liveness::Dead)
            update(view->record, loads[id]);
    }
}

void ClusterView::updateLeader(const Json::Value &encoded)
{
    if (!encoded.isObject())
        return;
    const LeaderInfo leader = decodeLeader(encoded);
    LeaderInfo &known = m_leaders[leader.dataCentre];
    if (leader.epoch > known.epoch)
        known = leader;
}

void ClusterView::update(const membership::AgentRecord &record, const Json::Value &loads)
{
    auto info = std::make_shared<const AgentInfo>(decodeAgentInfo(record, loads));
    {
        absl::MutexLock lock(&m_mutex);
        m_infos[record.agent] = info;
    }
    notify({info}, true);
}

void ClusterView::tick()
{
    std::vector<std::shared_ptr<const AgentInfo>> lost;
    {
        absl::MutexLock lock(&m_mutex);
        for (const membership::Change &change : m_directory.tick(m_clock.now())) {
            const bool agentLost = change.kind == membership::Change::Kind::AgentLost;
            telemetry::logInfo("membership",
                               (agentLost ? "agent lost: " : "membership changed: ") + change.id);
            const auto info = m_infos.find(core::AgentId(change.id));
            if (agentLost && info != m_infos.end()) {
                lost.push_back(info->second);
                m_staticStates.erase(info->first);
                m_loadsUpdatedAt.erase(info->first);
                m_infos.erase(info);
            }
        }
        m_metrics.set("agents_known", static_cast<std::int64_t>(m_infos.size()));
        m_metrics.set("suspects_itself", m_directory.suspectsLocalFault() ? 1 : 0);
    }
    notify(lost, false);
}

// Announces the agents of remote data centres periodically. These data centres send no loads, which
// would otherwise trigger the announcement.
void ClusterView::announceRemoteAgents()
{
    std::vector<std::shared_ptr<const AgentInfo>> remote;
    {
        absl::MutexLock lock(&m_mutex);
        for (const auto &[id, info] : m_infos) {
            if (info->dataCentre != m_settings.dataCentre)
                remote.push_back(info);
        }
    }
    notify(remote, true);
}

void ClusterView::notify(const std::vector<std::shared_ptr<const AgentInfo>> &infos,
                         bool alive) const
{
    for (const auto &info : infos) {
        for (const Listener &listener : m_listeners)
            listener(*info, alive);
    }
}

std::vector<std::shared_ptr<const AgentInfo>> ClusterView::agents() const
{
    absl::MutexLock lock(&m_mutex);
    std::vector<std::shared_ptr<const AgentInfo>> infos;
    for (const auto &[id, info] : m_infos)
        infos.push_back(info);
    return infos;
}

std::shared_ptr<const AgentInfo> ClusterView::agent(const core::AgentId &id) const
{
    absl::MutexLock lock(&m_mutex);
    const auto info = m_infos.find(id);
    return info == m_infos.end() ? nullptr : info->second;
}

absl::Duration ClusterView::distance(const core::DataCentreId &dataCentre) const
{
    if (dataCentre == m_settings.dataCentre)
        return absl::ZeroDuration();
    absl::MutexLock lock(&m_mutex);
    const auto roundTrip = m_roundTrips.find(dataCentre);
    return roundTrip == m_roundTrips.end() ? absl::Milliseconds(5) : roundTrip->second / 2;
}

std::optional<LeaderInfo> ClusterView::leader(const core::DataCentreId &dataCentre) const
{
    absl::MutexLock lock(&m_mutex);
    const auto leader = m_leaders.find(dataCentre);
    if (leader == m_leaders.end() || leader->second.epoch == 0)
        return std::nullopt;
    return leader->second;
}

std::vector<LeaderInfo> ClusterView::leaders() const
{
    absl::MutexLock lock(&m_mutex);
    std::vector<LeaderInfo> leaders;
    for (const auto &[dataCentre, leader] : m_leaders) {
        if (leader.epoch > 0)
            leaders.push_back(leader);
    }
    return leaders;
}

void ClusterView::setOwnEpoch(std::int64_t epoch)
{
    {
        absl::MutexLock lock(&m_mutex);
        m_leaders[m_settings.dataCentre] = {m_settings.dataCentre, core::EntryId(m_settings.id),
                                            m_settings.rpcListen, epoch};
    }
    exchangeNow();
}

std::vector<ClusterView::EntryInfo> ClusterView::entries() const
{
    absl::MutexLock lock(&m_mutex);
    const std::vector<membership::EntryRecord> live = m_directory.entries();
    std::vector<EntryInfo> infos;
    for (const config::EntryAddress &entry : m_settings.entries) {
        EntryInfo info{entry.id, entry.dataCentre, entry.rpc, false, 0};
        info.alive = std::any_of(live.begin(), live.end(),
                                 [&entry](const auto &record) { return record.entry == entry.id; });
        const auto revision = m_entryRevisions.find(entry.id);
        if (revision != m_entryRevisions.end())
            info.revision = revision->second;
        infos.push_back(info);
    }
    return infos;
}

} // namespace oleandercross::daemon
