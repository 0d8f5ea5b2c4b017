#pragma once

#include <oleandercross/membership/directory.h>

#include <absl/container/btree_map.h>

namespace oleandercross::membership {

class Directory::Private
{
public:
    explicit Private(EntryRecord selfRecord)
        : self(std::move(selfRecord))
    { }

    // An agent that sends its heartbeats to this entry.
    struct OwnAgent
    {
        AgentRecord record;
        core::Instant receivedAt;
        // The period that was passed to the agent in the last reply.
        absl::Duration period;
        // Summary version of the last change.
        std::int64_t changedAt = 0;
    };

    struct RemovedAgent
    {
        std::int64_t version = 0;
        core::Instant at;
    };

    struct PeerAgent
    {
        AgentRecord record;
        // Time at which the entry that reported the agent was lost.
        core::Instant orphanedAt = absl::InfiniteFuture();
    };

    struct PeerEntry
    {
        EntryRecord record;
        core::Instant receivedAt;
        bool alive = true;
        std::int64_t version = 0;
        // Highest version of this entry's summaries that the peer has acknowledged.
        std::int64_t acknowledged = 0;
        absl::btree_map<core::AgentId, PeerAgent> agents;
    };

    HeartbeatResult heartbeat(const AgentRecord &record, int bytes, core::Instant now);
    void remove(const core::AgentId &agent, core::Instant now);
    bool receive(const Summary &summary, core::Instant now);
    Summary summaryFor(const core::EntryId &peer) const;
    void tick(core::Instant now);
    absl::Duration period() const;
    absl::Duration exchangePeriod(const core::DataCentreId &dataCentre) const;
    std::optional<AgentView> view(const core::AgentId &agent) const;
    void recordChange(Change::Kind kind, const std::string &id) { changes.push_back({kind, id}); }

    EntryRecord self;
    absl::btree_map<core::AgentId, OwnAgent> ownAgents;
    absl::btree_map<core::AgentId, RemovedAgent> removedAgents;
    absl::btree_map<core::EntryId, PeerEntry> peers;
    std::int64_t version = 0;
    double meanHeartbeatBytes = 600;
    double meanExchangeBytes = 800;
    bool localFaultSuspected = false;
    core::Instant localFaultSuspectedSince;
    std::vector<Change> changes;

private:
    absl::Duration silenceLimit(const OwnAgent &agent) const;
    // Returns the latest record of an agent in the summaries of live peers.
    const AgentRecord *peerRecord(const core::AgentId &agent) const;
    void updateLocalFaultSuspicion(core::Instant now);
    void removeSilentAgents(core::Instant now);
    void markSilentPeers(core::Instant now);
    void removeOrphans(core::Instant now);
    void removeIfMoved(const AgentRecord &record, core::Instant now);
    void updatePeer(const EntryRecord &record, core::Instant now);
};

} // namespace oleandercross::membership
