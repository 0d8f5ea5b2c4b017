#pragma once

#include <oleandercross/gang/ledger.h>
#include <oleandercross/statechart/statechart.h>

#include <absl/container/btree_map.h>

#include <vector>

namespace oleandercross::gang {

// A task of a gang in the ledger.
struct LedgerTask
{
    platform::TaskStart start;
    platform::TaskStatus status;
    bool listed = false;
    // The task does not run and cannot start any more.
    bool terminated = false;
    // A task list requested later than this that lacks the task proves that it has terminated.
    core::Instant absenceConclusiveAfter = absl::InfiniteFuture();

    bool live() const;
    bool succeeded() const;
};

// The latest evidence about a watched member.
struct PeerEvidence
{
    // The latest time at which the peer's tasks, or those of its whole group, were known to run or
    // to have finished.
    core::Instant at = absl::InfinitePast();
    // At least one answer showed the peer running or finished.
    bool proven = false;
    bool finished = false;
    // The evidence covers the peer's whole group instead of the peer alone.
    bool relayed = false;
    bool wantsMembers = false;
};

// A gang in the ledger. Its state machine is defined in charts/gang.yaml.
struct LedgerGang
{
    LedgerGang(const TaskIdentity &identity, core::Instant reservedAt);

    GangKey key;
    Epoch epoch = 0;
    int round = 0;
    int member = 0;
    int memberCount = 1;
    statechart::Machine machine{statechart::StateChart::embedded("gang")};
    core::Instant reservedAt = absl::InfinitePast();
    // The gang was rebuilt from the worker's task list after a restart.
    bool adopted = false;
    // Empty until the commit or, after a restart of the agent, until a peer has sent them.
    std::vector<Peer> members;
    std::vector<LedgerTask> tasks;
    // The members that this one polls, by index.
    absl::btree_map<int, PeerEvidence> watched;
    // Request time of the latest task list that showed all tasks running or succeeded.
    core::Instant evidenceAt = absl::InfinitePast();
    core::Instant endedAt = absl::InfinitePast();
    bool forgotten = false;

    bool isSingleMember() const { return memberCount == 1; }
    bool ended() const { return machine.isFinal(); }
    bool active() const;
    // Returns true if the task's resources are in use.
    bool holdsResources(const LedgerTask &task) const;
    bool allTerminated() const;
    // Returns true if every watched member has been running or finished at least once.
    bool allProven() const;
    bool allFinished() const;
    // Returns the time of the oldest evidence among the watched members, or the infinite past if
    // the evidence for one is missing.
    core::Instant oldestEvidenceAt() const;
    // Returns the latest permitted end of the lease of this member's tasks.
    core::Instant leaseDeadline(core::Instant now) const;
    MemberState state() const;
    WatchAnswer watchAnswer(core::Instant now) const;
    void setMembers(const std::vector<Peer> &all, core::Instant initialEvidenceAt);
    std::vector<platform::TaskStatus> statuses() const;
};

} // namespace oleandercross::gang
