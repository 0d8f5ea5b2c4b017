#pragma once

#include <oleandercross/gang/ledger.h>
#include <oleandercross/statechart/statechart.h>

#include <absl/container/btree_map.h>

#include <vector>

namespace oleandercross::gang {

// A task of a gang in the ledger.
struct HeldTask
{
    platform::TaskStart start;
    platform::TaskStatus status;
    bool listed = false;
    // The task does not run and cannot start any more.
    bool gone = false;
    // A task list sent later than this and without the task shows that it is gone.
    core::Instant absentAfter = absl::InfiniteFuture();

    bool live() const;
    bool succeeded() const;
};

// What is known about a watched member.
struct PeerSign
{
    // A time at which the peer's tasks, or those of its whole group, ran or had finished.
    core::Instant at = absl::InfinitePast();
    bool proven = false;
    bool finished = false;
    // The sign covers the peer's group instead of the peer alone.
    bool relayed = false;
    bool wantsMembers = false;
};

// One gang in the ledger. Its machine follows charts/gang.yaml.
struct HeldGang
{
    HeldGang(const TaskIdentity &identity, core::Instant reservedAt);

    GangKey key;
    Epoch epoch = 0;
    int round = 0;
    int member = 0;
    int memberCount = 1;
    statechart::Machine machine{statechart::StateChart::embedded("gang")};
    core::Instant reservedAt = absl::InfinitePast();
    // Rebuilt from the worker's task list after a restart.
    bool adopted = false;
    // Empty until the commit, or until a peer told them to a restarted agent.
    std::vector<Peer> members;
    std::vector<HeldTask> tasks;
    // The members that this one polls, by index.
    absl::btree_map<int, PeerSign> watched;
    // When the worker was asked that last showed all tasks running or succeeded.
    core::Instant evidenceAt = absl::InfinitePast();
    core::Instant endedAt = absl::InfinitePast();
    bool forgotten = false;

    bool solo() const { return memberCount == 1; }
    bool ended() const { return machine.isFinal(); }
    bool active() const;
    // Whether a task's resources are taken.
    bool holds(const HeldTask &task) const;
    bool allGone() const;
    // Every watched member was seen running or finished.
    bool allProven() const;
    bool allFinished() const;
    // The oldest sign of life among the members; the infinite past if one is missing.
    core::Instant lastSign() const;
    // End of the lease that this member's tasks may have.
    core::Instant leaseLimit(core::Instant now) const;
    MemberState state() const;
    WatchAnswer watchAnswer(core::Instant now) const;
    void learnMembers(const std::vector<Peer> &all, core::Instant firstSign);
    std::vector<platform::TaskStatus> statuses() const;
};

} // namespace oleandercross::gang
