#pragma once

#include <oleandercross/core/clock.h>
#include <oleandercross/core/ids.h>
#include <oleandercross/core/resources.h>
#include <oleandercross/core/resultcode.h>
#include <oleandercross/platform/workercontrol.h>

#include <absl/time/time.h>

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

// Messages and figures of the gang protocol; docs/design/gang-protocol.md derives the bounds.
namespace oleandercross::gang {

using Epoch = std::int64_t;
// Start time of a process in wall-clock microseconds; a restart gets a higher one.
using Incarnation = std::int64_t;

// An agent drops a reservation that was not committed within this time.
constexpr absl::Duration ReservationLifetime = absl::Seconds(3);
// Period of the polls between members and of the worker's task list.
constexpr absl::Duration WatchPeriod = absl::Milliseconds(500);
// A member without a sign of life for this long stops the gang.
constexpr absl::Duration SilenceLimit = absl::Seconds(2);
// The same for a sign of life that another member passed on, which takes one more poll.
constexpr absl::Duration RelayedSilenceLimit = absl::Seconds(3);
// Members of a gang up to this size watch each other directly. Larger gangs are divided into
// groups; a member watches its own group and one member of every other group.
constexpr int DirectWatchLimit = 8;
// Leases of gangs with one member, which nobody else depends on, outlast an agent's restart.
constexpr absl::Duration SoloLease = absl::Seconds(10);
// A task's lease ends at most this long after the oldest sign of life among the members, so that
// the gang ends within GangStopBound even if no stop call gets through.
constexpr absl::Duration LeaseAfterSignOfLife = absl::Milliseconds(3500);
// Longest time between one member's failure and the last member's stop.
constexpr absl::Duration GangStopBound = absl::Seconds(4);

// One attempt to run a job.
struct GangKey
{
    core::JobId job;
    int attempt = 0;

    friend auto operator<=>(const GangKey &, const GangKey &) = default;
};

// Identity of a task, carried in its task id so that a restarted agent can rebuild its ledger.
struct TaskIdentity
{
    GangKey key;
    Epoch epoch = 0;
    // Index of the agent among the gang's members, and their number.
    int member = 0;
    int memberCount = 0;
    // Index of the task among the member's tasks, and their number.
    int task = 0;
    int taskCount = 0;

    friend bool operator==(const TaskIdentity &, const TaskIdentity &) = default;
};

std::string formatTaskId(const TaskIdentity &identity);
// Fails with BadField for an id that formatTaskId() did not write.
std::optional<TaskIdentity> parseTaskId(const std::string &taskId);

struct Peer
{
    core::AgentId agent;
    std::string address;

    friend auto operator<=>(const Peer &, const Peer &) = default;
};

// Leader to agent. Repeating a reservation has no effect; a higher round renews its lifetime.
struct Reserve
{
    Epoch epoch = 0;
    GangKey key;
    int round = 0;
    // Task ids and leases are set by the protocol.
    std::vector<platform::TaskStart> tasks;

    friend bool operator==(const Reserve &, const Reserve &) = default;
};

// Leader to agent. Names the incarnation that granted the reservation.
struct Commit
{
    Epoch epoch = 0;
    GangKey key;
    Incarnation incarnation = 0;
    // All members including the receiver, in the order of the task identities.
    std::vector<Peer> members;

    friend bool operator==(const Commit &, const Commit &) = default;
};

// Leader to agent: gives up a start. Drops the reservation, stops tasks that run already. Answered
// with StillRunning until the tasks are gone if the gang has one member.
struct Abort
{
    Epoch epoch = 0;
    GangKey key;

    friend bool operator==(const Abort &, const Abort &) = default;
};

// Leader to agent: stops the gang's tasks. Answered like Abort.
struct StopTask
{
    Epoch epoch = 0;
    GangKey key;

    friend bool operator==(const StopTask &, const StopTask &) = default;
};

struct CheckpointTask
{
    Epoch epoch = 0;
    GangKey key;

    friend bool operator==(const CheckpointTask &, const CheckpointTask &) = default;
};

// Limits the gang's tasks on the agent to a share of their processors, 0 < share <= 1.
struct ThrottleTask
{
    Epoch epoch = 0;
    GangKey key;
    double share = 1;

    friend bool operator==(const ThrottleTask &, const ThrottleTask &) = default;
};

// New leader to agent: raises the epoch and returns the ledger.
struct ReportRequest
{
    Epoch epoch = 0;

    friend bool operator==(const ReportRequest &, const ReportRequest &) = default;
};

// Answer to a leader's message; `code` is Ok or says why the agent refused.
struct Answer
{
    core::ResultCode code = core::ResultCode::Ok;
    std::string message;
    Incarnation incarnation = 0;
    // Highest epoch that the agent has seen.
    Epoch epoch = 0;

    friend bool operator==(const Answer &, const Answer &) = default;
};

// Member to member.
struct Watch
{
    GangKey key;
    Epoch epoch = 0;
    core::AgentId from;
    // Only if the peer's last answer wanted it, otherwise empty.
    std::vector<Peer> members;

    friend bool operator==(const Watch &, const Watch &) = default;
};

// A member's state as its peers see it.
enum class MemberState {
    // The agent does not know the gang.
    Unknown,
    // The agent restarted and has not read its worker's task list yet.
    NotReady,
    Reserved,
    // The worker was told to start the tasks.
    Starting,
    Running,
    // All tasks of the member succeeded; its resources stay held until all members have finished.
    Finished,
    // All members finished.
    Completed,
    // Stopped, aborted or failed.
    Stopped,
};

struct WatchAnswer
{
    MemberState state = MemberState::Unknown;
    // Age of the worker's answer that showed the tasks running or finished.
    absl::Duration evidenceAge = absl::ZeroDuration();
    // The same over the watch group of the answering member: Running or Finished if that holds for
    // all of its members, otherwise Starting, with the oldest evidence among them.
    MemberState groupState = MemberState::Starting;
    absl::Duration groupEvidenceAge = absl::ZeroDuration();
    // The agent restarted and does not know the other members.
    bool membersWanted = false;

    friend bool operator==(const WatchAnswer &, const WatchAnswer &) = default;
};

// Agent to leader.
struct TaskEvent
{
    enum class Kind { Started, Finished, Failed, LostMember, Stopped };

    GangKey key;
    core::AgentId agent;
    Kind kind = Kind::Started;
    core::Reason reason;
    // Tasks of this agent as last listed by the worker.
    std::vector<platform::TaskStatus> tasks;

    friend bool operator==(const TaskEvent &, const TaskEvent &) = default;
};

struct GangStatus
{
    GangKey key;
    Epoch epoch = 0;
    MemberState state = MemberState::Unknown;
    std::vector<Peer> members;
    std::vector<platform::TaskStatus> tasks;

    friend bool operator==(const GangStatus &, const GangStatus &) = default;
};

// The whole ledger. Gangs that ended stay listed for a while.
struct LedgerReport
{
    Incarnation incarnation = 0;
    Epoch epoch = 0;
    core::Resources total;
    core::Resources free;
    std::vector<int> freeAccelerators;
    bool draining = false;
    std::vector<GangStatus> gangs;

    friend bool operator==(const LedgerReport &, const LedgerReport &) = default;
};

} // namespace oleandercross::gang
