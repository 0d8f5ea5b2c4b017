#include "directory_p.h"

#include <algorithm>
#include <set>
#include <utility>

namespace oleandercross::membership {

namespace {

// Weight of the latest message in the moving averages of message sizes.
constexpr double SizeMeanWeight = 0.05;
// Number of periods without a heartbeat after which an agent counts towards a local fault.
constexpr double SuspicionPeriods = 1.5;
// Removals are included in summaries for this long. A peer that missed them receives a complete
// summary.
constexpr absl::Duration RemovalRetention = absl::Minutes(10);

bool isNewer(const AgentRecord &a, const AgentRecord &b)
{
    return std::pair(a.incarnation, a.sequence) > std::pair(b.incarnation, b.sequence);
}

bool hasSameContent(const AgentRecord &a, const AgentRecord &b)
{
    return a.incarnation == b.incarnation && a.address == b.address && a.state == b.state
        && a.dataCentre == b.dataCentre;
}

void updateMean(double &mean, int bytes)
{
    mean += SizeMeanWeight * (bytes - mean);
}

} // namespace

absl::Duration Directory::Private::period() const
{
    return heartbeatPeriod(static_cast<int>(ownAgents.size()), meanHeartbeatBytes);
}

absl::Duration Directory::Private::silenceLimit(const OwnAgent &agent) const
{
    return MaxMissedPeriods * std::max(agent.period, period());
}

absl::Duration Directory::Private::exchangePeriod(const core::DataCentreId &dataCentre) const
{
    if (dataCentre == self.dataCentre)
        return ExchangePeriod;
    int local = 0;
    int remote = 0;
    for (const auto &[id, peer] : peers)
        ++(peer.record.dataCentre == self.dataCentre ? local : remote);
    return remoteExchangePeriod(local, remote, meanExchangeBytes);
}

const AgentRecord *Directory::Private::peerRecord(const core::AgentId &agent) const
{
    const AgentRecord *best = nullptr;
    for (const auto &[id, peer] : peers) {
        const auto it = peer.agents.find(agent);
        if (peer.alive && it != peer.agents.end()
            && (best == nullptr || isNewer(it->second.record, *best)))
            best = &it->second.record;
    }
    return best;
}

HeartbeatResult Directory::Private::heartbeat(const AgentRecord &record, int bytes,
                                              core::Instant now)
{
    const AgentRecord *reportedByPeers = peerRecord(record.agent);
    if (reportedByPeers != nullptr && record.incarnation < reportedByPeers->incarnation)
        return HeartbeatResult::Stale;
    const auto it = ownAgents.find(record.agent);
    if (it != ownAgents.end() && record.incarnation < it->second.record.incarnation)
        return HeartbeatResult::Stale;
    if (it != ownAgents.end() && !isNewer(record, it->second.record))
        return HeartbeatResult::Duplicate;
    updateMean(meanHeartbeatBytes, bytes);
    const bool restarted =
        (it != ownAgents.end() && record.incarnation > it->second.record.incarnation)
        || (it == ownAgents.end() && reportedByPeers != nullptr
            && record.incarnation > reportedByPeers->incarnation);
    if (restarted)
        recordChange(Change::Kind::AgentRestarted, record.agent.str());
    else if (it == ownAgents.end() && reportedByPeers == nullptr)
        recordChange(Change::Kind::AgentJoined, record.agent.str());
    OwnAgent &agent = ownAgents[record.agent];
    removedAgents.erase(record.agent);
    if (agent.changedAt == 0 || !hasSameContent(agent.record, record))
        agent.changedAt = ++version;
    agent.record = record;
    agent.receivedAt = now;
    agent.period = period();
    return HeartbeatResult::Accepted;
}

void Directory::Private::remove(const core::AgentId &agent, core::Instant now)
{
    if (ownAgents.erase(agent) > 0)
        removedAgents[agent] = {++version, now};
}

// Removes an agent that moved to another entry, which monitors it from now on.
void Directory::Private::removeIfMoved(const AgentRecord &record, core::Instant now)
{
    const auto it = ownAgents.find(record.agent);
    if (it != ownAgents.end() && isNewer(record, it->second.record))
        remove(record.agent, now);
}

void Directory::Private::updatePeer(const EntryRecord &record, core::Instant now)
{
    PeerEntry &peer = peers[record.entry];
    const bool isNew = peer.record.entry.empty();
    if (isNew || !peer.alive)
        recordChange(Change::Kind::EntryJoined, record.entry.str());
    if (isNew || peer.record.incarnation != record.incarnation) {
        peer.version = 0;
        peer.acknowledged = 0;
    }
    peer.record = record;
    peer.receivedAt = now;
    peer.alive = true;
}

bool Directory::Private::receive(const Summary &summary, core::Instant now)
{
    if (summary.sender.entry == self.entry)
        return true;
    const auto known = peers.find(summary.sender.entry);
    if (known != peers.end()) {
        const EntryRecord &last = known->second.record;
        if (summary.sender.incarnation < last.incarnation)
            return true;
        // Reordered messages of the same incarnation are ignored.
        if (summary.sender.incarnation == last.incarnation
            && summary.sender.sequence <= last.sequence)
            return true;
    }
    updatePeer(summary.sender, now);
    PeerEntry &peer = peers[summary.sender.entry];
    if (summary.since > peer.version)
        return false;
    std::vector<core::AgentId> removedIds = summary.removed;
    if (summary.since == 0) {
        std::set<core::AgentId> listed;
        for (const AgentRecord &record : summary.changed)
            listed.insert(record.agent);
        for (const auto &[id, agent] : peer.agents) {
            if (!listed.contains(id))
                removedIds.push_back(id);
        }
    }
    for (const core::AgentId &agent : removedIds)
        peer.agents.erase(agent);
    for (const AgentRecord &record : summary.changed) {
        const auto before = view(record.agent);
        if (!before)
            recordChange(Change::Kind::AgentJoined, record.agent.str());
        else if (record.incarnation > before->record.incarnation)
            recordChange(Change::Kind::AgentRestarted, record.agent.str());
        peer.agents[record.agent] = {record};
        removeIfMoved(record, now);
    }
    for (const core::AgentId &agent : removedIds) {
        if (!view(agent))
            recordChange(Change::Kind::AgentLost, agent.str());
    }
    for (auto &[id, agent] : peer.agents)
        agent.orphanedAt = absl::InfiniteFuture();
    peer.version = summary.version;
    return true;
}

Summary Directory::Private::summaryFor(const core::EntryId &peer) const
{
    Summary summary;
    summary.sender = self;
    summary.version = version;
    const auto it = peers.find(peer);
    summary.since = it == peers.end() ? 0 : it->second.acknowledged;
    for (const auto &[id, agent] : ownAgents) {
        if (agent.changedAt > summary.since)
            summary.changed.push_back(agent.record);
    }
    for (const auto &[id, removal] : removedAgents) {
        if (summary.since > 0 && removal.version > summary.since)
            summary.removed.push_back(id);
    }
    return summary;
}

void Directory::Private::tick(core::Instant now)
{
    updateLocalFaultSuspicion(now);
    removeSilentAgents(now);
    // The agents just removed no longer count.
    updateLocalFaultSuspicion(now);
    markSilentPeers(now);
    removeOrphans(now);
}

void Directory::Private::updateLocalFaultSuspicion(core::Instant now)
{
    std::size_t silent = 0;
    for (const auto &[id, agent] : ownAgents) {
        const absl::Duration announcedPeriod = std::max(agent.period, period());
        if (now - agent.receivedAt > SuspicionPeriods * announcedPeriod)
            ++silent;
    }
    const bool mostSilent = silent > 1 && 2 * silent > ownAgents.size();
    if (mostSilent && !localFaultSuspected)
        localFaultSuspectedSince = now;
    localFaultSuspected = mostSilent;
}

void Directory::Private::removeSilentAgents(core::Instant now)
{
    std::vector<core::AgentId> lost;
    for (const auto &[id, agent] : ownAgents) {
        const absl::Duration limit = silenceLimit(agent);
        const bool silent = now - agent.receivedAt > limit;
        const bool deferred = localFaultSuspected && now - localFaultSuspectedSince <= limit;
        if (silent && !deferred)
            lost.push_back(id);
    }
    for (const core::AgentId &agent : lost) {
        remove(agent, now);
        if (!view(agent))
            recordChange(Change::Kind::AgentLost, agent.str());
    }
    for (auto it = removedAgents.begin(); it != removedAgents.end();) {
        if (now - it->second.at <= RemovalRetention) {
            ++it;
            continue;
        }
        // Peers that may have missed the removal receive a complete summary.
        for (auto &[id, peer] : peers) {
            if (peer.acknowledged < it->second.version)
                peer.acknowledged = 0;
        }
        it = removedAgents.erase(it);
    }
}

void Directory::Private::markSilentPeers(core::Instant now)
{
    for (auto &[id, peer] : peers) {
        const absl::Duration limit = MaxMissedPeriods * exchangePeriod(peer.record.dataCentre);
        if (!peer.alive || now - peer.receivedAt <= limit)
            continue;
        peer.alive = false;
        recordChange(Change::Kind::EntryLost, id.str());
        for (auto &[agentId, agent] : peer.agents)
            agent.orphanedAt = now;
    }
}

// Removes agents of a lost entry that have not moved to another entry within the longest deadline.
void Directory::Private::removeOrphans(core::Instant now)
{
    std::vector<core::AgentId> removedOrphans;
    for (auto &[id, peer] : peers) {
        for (auto it = peer.agents.begin(); it != peer.agents.end();) {
            if (now - it->second.orphanedAt <= MaxMissedPeriods * MaxHeartbeatPeriod) {
                ++it;
                continue;
            }
            removedOrphans.push_back(it->first);
            it = peer.agents.erase(it);
        }
        if (!peer.alive && peer.agents.empty())
            peer.version = 0;
    }
    for (const core::AgentId &agent : removedOrphans) {
        if (!view(agent))
            recordChange(Change::Kind::AgentLost, agent.str());
    }
}

std::optional<AgentView> Directory::Private::view(const core::AgentId &agent) const
{
    std::optional<AgentView> best;
    if (const auto it = ownAgents.find(agent); it != ownAgents.end())
        best = {it->second.record, localFaultSuspected ? Liveness::Suspected : Liveness::Alive,
                self.entry};
    for (const auto &[id, peer] : peers) {
        const auto it = peer.agents.find(agent);
        if (it == peer.agents.end())
            continue;
        const AgentRecord &record = it->second.record;
        if (best && !isNewer(record, best->record))
            continue;
        best = {record, peer.alive ? Liveness::Alive : Liveness::Suspected, id};
    }
    return best;
}

Directory::Directory(EntryRecord self)
    : d(std::make_unique<Private>(std::move(self)))
{ }

Directory::~Directory() = default;
Directory::Directory(Directory &&) noexcept = default;
Directory &Directory::operator=(Directory &&) noexcept = default;

HeartbeatResult Directory::heartbeat(const AgentRecord &record, int bytes, core::Instant now)
{
    return d->heartbeat(record, bytes, now);
}

void Directory::leave(const core::AgentId &agent, Incarnation incarnation, core::Instant now)
{
    const auto it = d->ownAgents.find(agent);
    if (it == d->ownAgents.end() || it->second.record.incarnation != incarnation)
        return;
    d->remove(agent, now);
    if (!d->view(agent))
        d->recordChange(Change::Kind::AgentLost, agent.str());
}

bool Directory::receive(const Summary &summary, core::Instant now)
{
    return d->receive(summary, now);
}

Summary Directory::summaryFor(const core::EntryId &peer)
{
    ++d->self.sequence;
    return d->summaryFor(peer);
}

void Directory::acknowledged(const core::EntryId &peer, std::int64_t version)
{
    const auto it = d->peers.find(peer);
    if (it != d->peers.end())
        it->second.acknowledged = std::max(it->second.acknowledged, version);
}

void Directory::forgetAcknowledged(const core::EntryId &peer)
{
    const auto it = d->peers.find(peer);
    if (it != d->peers.end())
        it->second.acknowledged = 0;
}

std::vector<Change> Directory::tick(core::Instant now)
{
    d->tick(now);
    return std::exchange(d->changes, {});
}

absl::Duration Directory::period() const
{
    return d->period();
}

void Directory::recordExchangeSize(int bytes)
{
    updateMean(d->meanExchangeBytes, bytes);
}

absl::Duration Directory::exchangePeriod(const core::DataCentreId &dataCentre) const
{
    return d->exchangePeriod(dataCentre);
}

bool Directory::suspectsLocalFault() const
{
    return d->localFaultSuspected;
}

std::optional<AgentView> Directory::agent(const core::AgentId &agent) const
{
    return d->view(agent);
}

std::vector<AgentView> Directory::agents() const
{
    std::set<core::AgentId> ids;
    for (const auto &[id, agent] : d->ownAgents)
        ids.insert(id);
    for (const auto &[entry, peer] : d->peers) {
        for (const auto &[id, agent] : peer.agents)
            ids.insert(id);
    }
    std::vector<AgentView> all;
    all.reserve(ids.size());
    for (const core::AgentId &id : ids)
        all.push_back(*d->view(id));
    return all;
}

std::vector<EntryRecord> Directory::entries(const core::DataCentreId &dataCentre) const
{
    std::vector<EntryRecord> chosen;
    for (const EntryRecord &entry : entries()) {
        if (entry.dataCentre == dataCentre)
            chosen.push_back(entry);
    }
    return chosen;
}

std::vector<EntryRecord> Directory::entries() const
{
    absl::btree_map<core::EntryId, EntryRecord> live;
    live[d->self.entry] = d->self;
    for (const auto &[id, peer] : d->peers) {
        if (peer.alive)
            live[id] = peer.record;
    }
    std::vector<EntryRecord> all;
    for (const auto &[id, entry] : live)
        all.push_back(entry);
    return all;
}

void EntryContact::recordReply(core::Instant sentAt)
{
    m_lastAnsweredAt = std::max(m_lastAnsweredAt, sentAt);
}

bool EntryContact::mayTakeWork(core::Instant now) const
{
    return now - m_lastAnsweredAt < EntryContactLimit;
}

} // namespace oleandercross::membership
