#include "directory_p.h"

#include <algorithm>
#include <set>
#include <utility>

namespace oleandercross::membership {

namespace {

// Weight of the latest message in the moving averages of sizes.
constexpr double SizeSmoothing = 0.05;
// An agent counts as silent for the suspicion once a heartbeat is this many periods overdue.
constexpr double SilentPeriods = 1.5;
// Removals are told to peers for this long; a peer that missed them gets a complete summary.
constexpr absl::Duration RemovalLifetime = absl::Minutes(10);

bool newer(const AgentRecord &a, const AgentRecord &b)
{
    return std::pair(a.incarnation, a.sequence) > std::pair(b.incarnation, b.sequence);
}

bool sameContent(const AgentRecord &a, const AgentRecord &b)
{
    return a.incarnation == b.incarnation && a.address == b.address && a.state == b.state
        && a.dataCentre == b.dataCentre;
}

void smooth(double &mean, int bytes)
{
    mean += SizeSmoothing * (bytes - mean);
}

} // namespace

absl::Duration Directory::Private::period() const
{
    return heartbeatPeriod(static_cast<int>(own.size()), meanBytes);
}

absl::Duration Directory::Private::deadline(const OwnAgent &agent) const
{
    return MissedPeriods * std::max(agent.period, period());
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
            && (best == nullptr || newer(it->second.record, *best)))
            best = &it->second.record;
    }
    return best;
}

HeartbeatVerdict Directory::Private::heartbeat(const AgentRecord &record, int bytes,
                                               core::Instant now)
{
    const AgentRecord *elsewhere = peerRecord(record.agent);
    if (elsewhere != nullptr && record.incarnation < elsewhere->incarnation)
        return HeartbeatVerdict::Stale;
    const auto it = own.find(record.agent);
    if (it != own.end() && record.incarnation < it->second.record.incarnation)
        return HeartbeatVerdict::Stale;
    if (it != own.end() && !newer(record, it->second.record))
        return HeartbeatVerdict::Duplicate;
    smooth(meanBytes, bytes);
    const bool restarted = (it != own.end() && record.incarnation > it->second.record.incarnation)
        || (it == own.end() && elsewhere != nullptr && record.incarnation > elsewhere->incarnation);
    if (restarted)
        note(Change::Kind::AgentRestarted, record.agent.str());
    else if (it == own.end() && elsewhere == nullptr)
        note(Change::Kind::AgentJoined, record.agent.str());
    OwnAgent &agent = own[record.agent];
    removed.erase(record.agent);
    if (agent.changedAt == 0 || !sameContent(agent.record, record))
        agent.changedAt = ++version;
    agent.record = record;
    agent.heardAt = now;
    agent.period = period();
    return HeartbeatVerdict::Accepted;
}

void Directory::Private::remove(const core::AgentId &agent, core::Instant now)
{
    if (own.erase(agent) > 0)
        removed[agent] = {++version, now};
}

// An agent that moved to another entry is no longer judged here.
void Directory::Private::yieldTo(const AgentRecord &record, core::Instant now)
{
    const auto it = own.find(record.agent);
    if (it != own.end() && newer(record, it->second.record))
        remove(record.agent, now);
}

void Directory::Private::meet(const EntryRecord &record, core::Instant now)
{
    PeerEntry &peer = peers[record.entry];
    const bool fresh = peer.record.entry.empty();
    if (fresh || !peer.alive)
        note(Change::Kind::EntryJoined, record.entry.str());
    if (fresh || peer.record.incarnation != record.incarnation) {
        peer.version = 0;
        peer.acknowledged = 0;
    }
    peer.record = record;
    peer.heardAt = now;
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
        // Messages of one incarnation that arrive out of order are ignored.
        if (summary.sender.incarnation == last.incarnation
            && summary.sender.sequence <= last.sequence)
            return true;
    }
    meet(summary.sender, now);
    PeerEntry &peer = peers[summary.sender.entry];
    if (summary.since > peer.version)
        return false;
    std::vector<core::AgentId> gone = summary.removed;
    if (summary.since == 0) {
        std::set<core::AgentId> listed;
        for (const AgentRecord &record : summary.changed)
            listed.insert(record.agent);
        for (const auto &[id, agent] : peer.agents) {
            if (!listed.contains(id))
                gone.push_back(id);
        }
    }
    for (const core::AgentId &agent : gone)
        peer.agents.erase(agent);
    for (const AgentRecord &record : summary.changed) {
        const auto before = view(record.agent);
        if (!before)
            note(Change::Kind::AgentJoined, record.agent.str());
        else if (record.incarnation > before->record.incarnation)
            note(Change::Kind::AgentRestarted, record.agent.str());
        peer.agents[record.agent] = {record};
        yieldTo(record, now);
    }
    for (const core::AgentId &agent : gone) {
        if (!view(agent))
            note(Change::Kind::AgentLost, agent.str());
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
    for (const auto &[id, agent] : own) {
        if (agent.changedAt > summary.since)
            summary.changed.push_back(agent.record);
    }
    for (const auto &[id, removal] : removed) {
        if (summary.since > 0 && removal.version > summary.since)
            summary.removed.push_back(id);
    }
    return summary;
}

void Directory::Private::tick(core::Instant now)
{
    judgeSelf(now);
    judgeAgents(now);
    // The agents that were given up no longer count.
    judgeSelf(now);
    judgeEntries(now);
    dropOrphans(now);
}

void Directory::Private::judgeSelf(core::Instant now)
{
    std::size_t silent = 0;
    for (const auto &[id, agent] : own) {
        const absl::Duration told = std::max(agent.period, period());
        if (now - agent.heardAt > SilentPeriods * told)
            ++silent;
    }
    const bool many = silent > 1 && 2 * silent > own.size();
    if (many && !suspecting)
        suspectingSince = now;
    suspecting = many;
}

void Directory::Private::judgeAgents(core::Instant now)
{
    std::vector<core::AgentId> lost;
    for (const auto &[id, agent] : own) {
        const absl::Duration limit = deadline(agent);
        const bool silent = now - agent.heardAt > limit;
        const bool excused = suspecting && now - suspectingSince <= limit;
        if (silent && !excused)
            lost.push_back(id);
    }
    for (const core::AgentId &agent : lost) {
        remove(agent, now);
        if (!view(agent))
            note(Change::Kind::AgentLost, agent.str());
    }
    for (auto it = removed.begin(); it != removed.end();) {
        if (now - it->second.at <= RemovalLifetime) {
            ++it;
            continue;
        }
        // Peers that may have missed the removal get a complete summary.
        for (auto &[id, peer] : peers) {
            if (peer.acknowledged < it->second.version)
                peer.acknowledged = 0;
        }
        it = removed.erase(it);
    }
}

void Directory::Private::judgeEntries(core::Instant now)
{
    for (auto &[id, peer] : peers) {
        const absl::Duration limit = MissedPeriods * exchangePeriod(peer.record.dataCentre);
        if (!peer.alive || now - peer.heardAt <= limit)
            continue;
        peer.alive = false;
        note(Change::Kind::EntryLost, id.str());
        for (auto &[agentId, agent] : peer.agents)
            agent.orphanedAt = now;
    }
}

// Agents of a lost entry get the time of a deadline to find another one.
void Directory::Private::dropOrphans(core::Instant now)
{
    std::vector<core::AgentId> dropped;
    for (auto &[id, peer] : peers) {
        for (auto it = peer.agents.begin(); it != peer.agents.end();) {
            if (now - it->second.orphanedAt <= MissedPeriods * MaxHeartbeatPeriod) {
                ++it;
                continue;
            }
            dropped.push_back(it->first);
            it = peer.agents.erase(it);
        }
        if (!peer.alive && peer.agents.empty())
            peer.version = 0;
    }
    for (const core::AgentId &agent : dropped) {
        if (!view(agent))
            note(Change::Kind::AgentLost, agent.str());
    }
}

std::optional<AgentView> Directory::Private::view(const core::AgentId &agent) const
{
    std::optional<AgentView> best;
    if (const auto it = own.find(agent); it != own.end())
        best = {it->second.record, suspecting ? Liveness::Suspected : Liveness::Alive, self.entry};
    for (const auto &[id, peer] : peers) {
        const auto it = peer.agents.find(agent);
        if (it == peer.agents.end())
            continue;
        const AgentRecord &record = it->second.record;
        if (best && !newer(record, best->record))
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

HeartbeatVerdict Directory::heartbeat(const AgentRecord &record, int bytes, core::Instant now)
{
    return d->heartbeat(record, bytes, now);
}

void Directory::leave(const core::AgentId &agent, Incarnation incarnation, core::Instant now)
{
    const auto it = d->own.find(agent);
    if (it == d->own.end() || it->second.record.incarnation != incarnation)
        return;
    d->remove(agent, now);
    if (!d->view(agent))
        d->note(Change::Kind::AgentLost, agent.str());
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

void Directory::exchanged(int bytes)
{
    smooth(d->meanExchangeBytes, bytes);
}

absl::Duration Directory::exchangePeriod(const core::DataCentreId &dataCentre) const
{
    return d->exchangePeriod(dataCentre);
}

bool Directory::suspectsItself() const
{
    return d->suspecting;
}

std::optional<AgentView> Directory::agent(const core::AgentId &agent) const
{
    return d->view(agent);
}

std::vector<AgentView> Directory::agents() const
{
    std::set<core::AgentId> ids;
    for (const auto &[id, agent] : d->own)
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

void EntryContact::heard(core::Instant sentAt)
{
    m_lastHeard = std::max(m_lastHeard, sentAt);
}

bool EntryContact::mayTakeWork(core::Instant now) const
{
    return now - m_lastHeard < EntryContactLimit;
}

} // namespace oleandercross::membership
