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

// Messages and time bounds of the gang protocol; docs/design/gang-protocol.md derives the bounds.
namespace oleandercross::gang {

using Epoch = std::int64_t;
// Start time of a process in wall-clock microseconds. It is higher after a restart.
using Incarnation = std::int64_t;

// An agent drops a reservation that is not committed within this time.
constexpr absl::Duration ReservationLifetime = absl::Seconds(3);
// Period of the polls between members and of the requests for the worker's task list.
constexpr absl::Duration WatchPeriod = absl::Milliseconds(500);
// The gang stops if there is no evidence for this long that a member is running or has finished.
constexpr absl::Duration LivenessTimeout = absl::Seconds(2);
// The same for evidence that another member relayed, which takes one more poll.
constexpr absl::Duration RelayedLivenessTimeout = absl::Seconds(3);
// Members of a gang up to this size watch each other directly. Larger gangs are divided into
// groups; a member watches all members of its own group and one member of every other group.
constexpr int DirectWatchMaxMembers = 8;
// Lease of the tasks of a gang with one member. No other member depends on it, so it is long enough
// for the tasks to survive a restart of the agent.
constexpr absl::Duration SingleMemberLease = absl::Seconds(10);
// A task's lease ends at most this long after the oldest evidence among the members, so that the
// gang ends within GangStopBound even if no stop call reaches the worker.
constexpr absl::Duration LeaseAfterEvidence = absl::Milliseconds(3500);
// Maximum time between the failure of one member and the stop of the last one.
constexpr absl::Duration GangStopBound = absl::Seconds(4);

// Identifies one attempt to run a job.
struct GangKey
{
    core::JobId job;
    int attempt = 0;

    friend auto operator<=>(const GangKey &, const GangKey &) = default;
};

// Identifies a task. The task id contains all fields, so that a restarted agent can rebuild its
// ledger.
struct TaskIdentity
{
    GangKey key;
    Epoch epoch = 0;
    // Index of the agent among the gang's members, and the number of members.
    int member = 0;
    int memberCount = 0;
    // Index of the task among the member's tasks, and the number of tasks.
    int task = 0;
    int taskCount = 0;

    friend bool operator==(const TaskIdentity &, const TaskIdentity &) = default;
};

std::string formatTaskId(const TaskIdentity &identity);
// Fails with BadField for an id that formatTaskId() did not return.
std::optional<TaskIdentity> parseTaskId(const std::string &taskId);

// An agent that runs one member of a gang.
struct Peer
{
    core::AgentId agent;
    std::string address;

    friend auto operator<=>(const Peer &, const Peer &) = default;
};

// Leader to agent: reserves resources. Repeating a reservation has no effect, but a higher round
// renews its lifetime.
struct Reserve
{
    Epoch epoch = 0;
    GangKey key;
    int round = 0;
    // Task ids and leases are set by the protocol.
    std::vector<platform::TaskStart> tasks;

    friend bool operator==(const Reserve &, const Reserve &) = default;
};

// Leader to agent: starts the reserved tasks. `incarnation` is the one that granted the
// reservation.
struct Commit
{
    Epoch epoch = 0;
    GangKey key;
    Incarnation incarnation = 0;
    // All members including the receiver, in the order of the task identities.
    std::vector<Peer> members;

    friend bool operator==(const Commit &, const Commit &) = default;
};

// Leader to agent: cancels a start. Drops the reservation and stops tasks that already run. The
// answer is StillRunning until the tasks on the worker have ended.
struct Abort
{
    Epoch epoch = 0;
    GangKey key;

    friend bool operator==(const Abort &, const Abort &) = default;
};

// Leader to agent: stops the gang's tasks. The answer is as for Abort.
struct StopTask
{
    Epoch epoch = 0;
    GangKey key;

    friend bool operator==(const StopTask &, const StopTask &) = default;
};

// Leader to agent: asks the gang's tasks for a checkpoint.
struct CheckpointTask
{
    Epoch epoch = 0;
    GangKey key;

    friend bool operator==(const CheckpointTask &, const CheckpointTask &) = default;
};

// Leader to agent: limits the gang's tasks on the agent's worker to a share of their processors,
// 0 < share <= 1.
struct ThrottleTask
{
    Epoch epoch = 0;
    GangKey key;
    double share = 1;

    friend bool operator==(const ThrottleTask &, const ThrottleTask &) = default;
};

// New leader to agent: raises the epoch and requests the ledger's content.
struct ReportRequest
{
    Epoch epoch = 0;

    friend bool operator==(const ReportRequest &, const ReportRequest &) = default;
};

// The answer to a leader's message. `code` is Ok or the reason why the agent refused.
struct Answer
{
    core::ResultCode code = core::ResultCode::Ok;
    std::string message;
    Incarnation incarnation = 0;
    // The highest epoch that the agent has received.
    Epoch epoch = 0;

    friend bool operator==(const Answer &, const Answer &) = default;
};

// Member to member: polls the state of a gang's member.
struct Watch
{
    GangKey key;
    Epoch epoch = 0;
    core::AgentId from;
    // Filled only if the peer's last answer requested it.
    std::vector<Peer> members;

    friend bool operator==(const Watch &, const Watch &) = default;
};

// A member's state as reported to its peers.
enum class MemberState {
    // The gang is not in the agent's ledger.
    Unknown,
    // The agent restarted and has not received its worker's task list yet.
    NotReady,
    Reserved,
    // The worker was asked to start the tasks.
    Starting,
    Running,
    // All tasks of the member succeeded. Its resources stay in use until all members have finished.
    Finished,
    // All members finished.
    Completed,
    // Stopped, aborted or failed.
    Stopped,
};

// The answer to Watch.
struct WatchAnswer
{
    MemberState state = MemberState::Unknown;
    // Age of the latest task list that showed the tasks running or finished.
    absl::Duration evidenceAge = absl::ZeroDuration();
    // The state of the answering member's whole watch group: Running or Finished if that holds for
    // all of its members, otherwise Starting. The age is that of the oldest evidence among them.
    MemberState groupState = MemberState::Starting;
    absl::Duration groupEvidenceAge = absl::ZeroDuration();
    // The agent restarted and requests the list of members.
    bool membersWanted = false;

    friend bool operator==(const WatchAnswer &, const WatchAnswer &) = default;
};

// Agent to leader: reports a change of a member's state.
struct TaskEvent
{
    enum class Kind { Started, Finished, Failed, LostMember, Stopped };

    GangKey key;
    core::AgentId agent;
    Kind kind = Kind::Started;
    core::Reason reason;
    // The tasks of this member as last listed by the worker.
    std::vector<platform::TaskStatus> tasks;

    friend bool operator==(const TaskEvent &, const TaskEvent &) = default;
};

// The state of one gang in a ledger.
struct GangStatus
{
    GangKey key;
    Epoch epoch = 0;
    MemberState state = MemberState::Unknown;
    std::vector<Peer> members;
    std::vector<platform::TaskStatus> tasks;

    friend bool operator==(const GangStatus &, const GangStatus &) = default;
};

// The whole content of a ledger, including gangs that ended recently.
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
