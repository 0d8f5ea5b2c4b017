#pragma once

#include <oleandercross/membership/directory.h>

#include <absl/container/btree_map.h>

namespace oleandercross::membership {

class Directory::Private
{
public:
    explicit Private(EntryRecord given)
        : self(std::move(given))
    { }

    // An agent whose heartbeats come to this entry.
    struct OwnAgent
    {
        AgentRecord record;
        core::Instant heardAt;
        // The period that the last reply told the agent.
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
        // When the entry that reported the agent was lost.
        core::Instant orphanedAt = absl::InfiniteFuture();
    };

    struct PeerEntry
    {
        EntryRecord record;
        core::Instant heardAt;
        bool alive = true;
        std::int64_t version = 0;
        // Highest version of this entry's summaries that the peer has.
        std::int64_t acknowledged = 0;
        absl::btree_map<core::AgentId, PeerAgent> agents;
    };

    HeartbeatVerdict heartbeat(const AgentRecord &record, int bytes, core::Instant now);
    void remove(const core::AgentId &agent, core::Instant now);
    bool receive(const Summary &summary, core::Instant now);
    Summary summaryFor(const core::EntryId &peer) const;
    void tick(core::Instant now);
    absl::Duration period() const;
    absl::Duration exchangePeriod(const core::DataCentreId &dataCentre) const;
    std::optional<AgentView> view(const core::AgentId &agent) const;
    void note(Change::Kind kind, const std::string &id) { changes.push_back({kind, id}); }

    EntryRecord self;
    absl::btree_map<core::AgentId, OwnAgent> own;
    absl::btree_map<core::AgentId, RemovedAgent> removed;
    absl::btree_map<core::EntryId, PeerEntry> peers;
    std::int64_t version = 0;
    double meanBytes = 600;
    double meanExchangeBytes = 800;
    bool suspecting = false;
    core::Instant suspectingSince;
    std::vector<Change> changes;

private:
    absl::Duration deadline(const OwnAgent &agent) const;
    // The newest record of an agent among the live peers' summaries.
    const AgentRecord *peerRecord(const core::AgentId &agent) const;
    void judgeSelf(core::Instant now);
    void judgeAgents(core::Instant now);
    void judgeEntries(core::Instant now);
    void dropOrphans(core::Instant now);
    void yieldTo(const AgentRecord &record, core::Instant now);
    void meet(const EntryRecord &record, core::Instant now);
};

} // namespace oleandercross::membership
