#include <oleandercross/daemon/heartbeater.h>

#include <oleandercross/core/json.h>
#include <oleandercross/core/resultcode.h>
#include <oleandercross/daemon/manifestservice.h>
#include <oleandercross/rpc/broadcast.h>
#include <oleandercross/telemetry/log.h>

#include <absl/strings/str_cat.h>

#include <algorithm>

namespace oleandercross::daemon {

namespace {

constexpr absl::Duration CallTimeout = absl::Milliseconds(800);
constexpr absl::Duration UnresponsiveEntryDelay = absl::Seconds(5);
constexpr absl::Duration AdmissionCodePeriod = absl::Milliseconds(200);

} // namespace

Heartbeater::Heartbeater(const config::Settings &settings, std::int64_t incarnation,
                         rpc::Client &client, RequestRunner &requests, TaskRunner &tasks,
                         telemetry::Metrics &metrics)
    : m_settings(settings)
    , m_incarnation(incarnation)
    , m_client(client)
    , m_requests(requests)
    , m_tasks(tasks)
    , m_metrics(metrics)
    , m_executor(2)
{
    absl::MutexLock lock(&m_mutex);
    for (const config::EntryAddress &entry : m_settings.entries)
        m_liveEntries.push_back(entry.id);
}

Heartbeater::~Heartbeater()
{
    stop();
}

void Heartbeater::start()
{
    m_executor.repeat([this] { return sendHeartbeat(); });
    m_executor.every(AdmissionCodePeriod, [this] { updateAdmissionCode(); });
}

void Heartbeater::stop()
{
    m_executor.stop();
}

void Heartbeater::drain()
{
    {
        absl::MutexLock lock(&m_mutex);
        m_draining = true;
    }
    m_executor.post([this] { sendHeartbeat(); });
}

void Heartbeater::leave()
{
    Json::Value params;
    params["agent"] = m_settings.id;
    params["incarnation"] = static_cast<Json::Int64>(m_incarnation);
    std::vector<http::Endpoint> entries;
    for (const config::EntryAddress &entry : m_settings.entries)
        entries.push_back(entry.rpc);
    rpc::broadcast(m_client, entries, "leave", params, CallTimeout);
}

bool Heartbeater::ready() const
{
    absl::MutexLock lock(&m_mutex);
    return !m_draining && m_manifestFollower.revision() > 0 && m_contact.mayTakeWork(m_clock.now());
}

// Sets whether new tasks are refused, and with which code. RequestRunner has its own check for
// requests.
void Heartbeater::updateAdmissionCode()
{
    core::ResultCode code = core::ResultCode::Ok;
    {
        absl::MutexLock lock(&m_mutex);
        if (m_manifestFollower.revision() == 0)
            code = core::ResultCode::NotReady;
        else if (!m_contact.mayTakeWork(m_clock.now()))
            code = core::ResultCode::StaleConfiguration;
        else if (m_draining || m_drainingByManifest)
            code = core::ResultCode::Draining;
    }
    m_tasks.setAdmissionCode(code);
}

std::optional<config::EntryAddress> Heartbeater::chooseEntry() const
{
    absl::MutexLock lock(&m_mutex);
    const core::Instant now = m_clock.now();
    std::vector<core::EntryId> candidates;
    for (const core::EntryId &entry : m_liveEntries) {
        const auto unresponsive = m_unresponsiveUntil.find(entry);
        if (unresponsive == m_unresponsiveUntil.end() || unresponsive->second <= now)
            candidates.push_back(entry);
    }
    // Entries that were not reported as live may have recovered.
    if (candidates.empty()) {
        for (const config::EntryAddress &entry : m_settings.entries)
            candidates.push_back(entry.id);
    }
    const core::EntryId chosen = membership::homeEntry(core::AgentId(m_settings.id), candidates);
    for (const config::EntryAddress &entry : m_settings.entries) {
        if (entry.id == chosen)
            return entry;
    }
    return std::nullopt;
}

AgentInfo Heartbeater::agentInfo() const
{
    AgentInfo info;
    info.id = core::AgentId(m_settings.id);
    info.dataCentre = m_settings.dataCentre;
    info.rpc = m_settings.rpcListen;
    info.incarnation = m_incarnation;
    if (m_settings.worker) {
        info.worker = WorkerState{m_settings.worker->id, m_settings.worker->rack,
                                  m_settings.worker->resources};
    }
    info.minions = m_requests.minions();
    info.uptime = m_requests.uptime();
    absl::MutexLock lock(&m_mutex);
    info.draining = m_draining || m_drainingByManifest;
    info.revision = m_manifestFollower.revision();
    return info;
}

Json::Value Heartbeater::heartbeatMessage(const core::EntryId &entry)
{
    const AgentInfo info = agentInfo();
    Json::Value params;
    params["agent"] = m_settings.id;
    params["dataCentre"] = m_settings.dataCentre.str();
    params["address"] = http::toString(m_settings.rpcListen);
    params["incarnation"] = static_cast<Json::Int64>(m_incarnation);
    params["revision"] = static_cast<Json::Int64>(info.revision);
    params["manifestBase"] = static_cast<Json::Int64>(m_manifestFollower.base());
    params["loads"] = encodeLoads(info);
    Json::Value state = encodeStatic(info);
    absl::MutexLock lock(&m_mutex);
    params["sequence"] = static_cast<Json::Int64>(++m_sequence);
    if (m_stateSentTo != entry || m_sentState != state)
        params["static"] = state;
    m_stateSentTo = entry;
    m_sentState = std::move(state);
    return params;
}

absl::Duration Heartbeater::sendHeartbeat()
{
    absl::MutexLock heartbeatLock(&m_heartbeatMutex);
    const auto entry = chooseEntry();
    if (!entry)
        return membership::MinHeartbeatPeriod;
    const core::Instant sentAt = m_clock.now();
    const auto reply =
        m_client.call(entry->rpc, "heartbeat", heartbeatMessage(entry->id), CallTimeout);
    if (!reply) {
        m_metrics.add("heartbeats_failed");
        absl::MutexLock lock(&m_mutex);
        m_unresponsiveUntil[entry->id] = m_clock.now() + UnresponsiveEntryDelay;
        m_stateSentTo = {};
        // Another entry is tried immediately, unless all have failed.
        const bool others = m_unresponsiveUntil.size() < m_settings.entries.size();
        return others ? absl::Milliseconds(10) : membership::MinHeartbeatPeriod;
    }
    if (core::boolMember(*reply, "needState")) {
        absl::MutexLock lock(&m_mutex);
        m_stateSentTo = {};
        return absl::ZeroDuration();
    }
    m_metrics.add("heartbeats_answered");
    {
        absl::MutexLock lock(&m_mutex);
        m_unresponsiveUntil.erase(entry->id);
        // A reply from an entry that may not have the newest revision does not count as contact.
        if (core::boolMember(*reply, "confirmed"))
            m_contact.recordReply(sentAt);
    }
    applyReply(*reply);
    const absl::Duration period = decodeDuration(*reply, "periodUs");
    return std::clamp(period, membership::MinHeartbeatPeriod, membership::MaxHeartbeatPeriod);
}

void Heartbeater::applyReply(const Json::Value &reply)
{
    if (m_manifestFollower.apply(core::member(reply, "update")))
        applyManifest(*m_manifestFollower.manifest());
    if (core::boolMember(reply, "confirmed") && m_manifestFollower.revision() > 0)
        m_requests.configurationConfirmed();
    const Json::Value &leader = core::member(reply, "leader");
    if (leader.isObject()) {
        m_tasks.setLeader(http::parseEndpoint(core::stringMember(leader, "address")),
                          core::intMember(leader, "epoch"));
    }
    absl::MutexLock lock(&m_mutex);
    m_liveEntries.clear();
    for (const Json::Value &entry : core::member(reply, "entries"))
        m_liveEntries.emplace_back(entry.asString());
}

void Heartbeater::applyManifest(const config::Manifest &manifest)
{
    m_requests.drainMinions(manifest.drainMinions);
    const std::vector<core::WorkerId> &workers = manifest.drainWorkers;
    const bool draining = m_settings.worker
        && std::find(workers.begin(), workers.end(), m_settings.worker->id) != workers.end();
    telemetry::logInfo("configuration",
                       absl::StrCat("revision ", m_manifestFollower.revision(), " in force"));
    absl::MutexLock lock(&m_mutex);
    m_drainingByManifest = draining;
}

} // namespace oleandercross::daemon
