#pragma once

#include <oleandercross/gang/protocol.h>

#include <memory>
#include <variant>

namespace oleandercross::gang {

struct LedgerSettings
{
    // The agent that owns the ledger.
    Peer self;
    Incarnation incarnation = 0;
    // All resources of the agent's worker.
    core::Resources total;

    friend bool operator==(const LedgerSettings &, const LedgerSettings &) = default;
};

// The worker's task list, the result of ListWorkerTasks. `sentAt` is the time directly before the
// call.
struct TasksListed
{
    core::Instant sentAt;
    std::vector<platform::TaskStatus> tasks;
};

// The outcome of a call to the worker.
enum class CallOutcome {
    Done,
    // The call had no effect or was skipped.
    NotDone,
    // The call may have had an effect.
    Unknown,
};

// The result of StartWorkerTask, also if the call was skipped.
struct StartAnswered
{
    std::string taskId;
    CallOutcome outcome = CallOutcome::Done;
};

// The result of PollPeer. `sentAt` is the time directly before the call. A poll without an answer
// is not reported.
struct PeerAnswered
{
    GangKey key;
    core::AgentId peer;
    core::Instant sentAt;
    WatchAnswer answer;
};

// The epoch in a heartbeat answer of the entry that this agent reports to.
struct EpochObserved
{
    Epoch epoch = 0;
};

// Sets the code with which new reservations and commits are refused. They are accepted if it is Ok.
struct AdmissionCodeChanged
{
    core::ResultCode code = core::ResultCode::Ok;
};

// Starts a drain: refuses new reservations permanently and asks running tasks for checkpoints.
struct BeginDrain
{ };

// Has to be applied at least every WatchPeriod.
struct LedgerTick
{ };

using LedgerEvent = std::variant<Reserve, Commit, Abort, StopTask, CheckpointTask, ThrottleTask,
                                 ReportRequest, Watch, TasksListed, StartAnswered, PeerAnswered,
                                 EpochObserved, AdmissionCodeChanged, BeginDrain, LedgerTick>;

// Calls WorkerControl::start() with the lease `leaseUntil - now`, unless `notAfter` has passed,
// which is reported as NotDone. The result is reported with StartAnswered.
struct StartWorkerTask
{
    platform::TaskStart task;
    core::Instant notAfter;
    core::Instant leaseUntil;

    friend bool operator==(const StartWorkerTask &, const StartWorkerTask &) = default;
};

// Calls WorkerControl::stop().
struct StopWorkerTask
{
    std::string taskId;

    friend bool operator==(const StopWorkerTask &, const StopWorkerTask &) = default;
};

// Calls WorkerControl::renewLeases() with the lease `until - now`, computed directly before the
// call. The call is skipped if the lease is not positive.
struct RenewTaskLeases
{
    std::vector<std::string> taskIds;
    core::Instant until;

    friend bool operator==(const RenewTaskLeases &, const RenewTaskLeases &) = default;
};

// Calls WorkerControl::checkpoint().
struct CheckpointWorkerTask
{
    std::string taskId;

    friend bool operator==(const CheckpointWorkerTask &, const CheckpointWorkerTask &) = default;
};

// Calls WorkerControl::throttle().
struct ThrottleWorkerTask
{
    std::string taskId;
    // The fraction of the task's processors that it may use, 0 < share <= 1.
    double share = 1;

    friend bool operator==(const ThrottleWorkerTask &, const ThrottleWorkerTask &) = default;
};

// Calls WorkerControl::tasks(). The result is reported with TasksListed; a failure is not reported.
struct ListWorkerTasks
{
    friend bool operator==(const ListWorkerTasks &, const ListWorkerTasks &) = default;
};

// Calls WorkerControl::forget(), which drops the records of ended tasks.
struct ForgetWorkerTasks
{
    std::vector<std::string> taskIds;

    friend bool operator==(const ForgetWorkerTasks &, const ForgetWorkerTasks &) = default;
};

// Polls a peer: sends Watch with a timeout of at most WatchPeriod. The answer is reported with
// PeerAnswered.
struct PollPeer
{
    Peer peer;
    Watch message;

    friend bool operator==(const PollPeer &, const PollPeer &) = default;
};

// Sends an event to the leader once. If it is lost, the leader obtains it from the next
// LedgerReport.
struct SendTaskEvent
{
    TaskEvent event;

    friend bool operator==(const SendTaskEvent &, const SendTaskEvent &) = default;
};

using LedgerAction =
    std::variant<StartWorkerTask, StopWorkerTask, RenewTaskLeases, CheckpointWorkerTask,
                 ThrottleWorkerTask, ListWorkerTasks, ForgetWorkerTasks, PollPeer, SendTaskEvent>;

struct LedgerResult
{
    // Valid if the event was a message of the leader.
    Answer answer;
    // Valid if the event was Watch.
    WatchAnswer watch;
    std::vector<LedgerAction> actions;
};

// The only component that grants and tracks the use of one worker's accelerators, cores and memory.
// Deterministic, performs no I/O, and is not thread safe.
//
// A new ledger refuses all reservations with NotReady until it has applied one TasksListed. Other
// refusals are StaleEpoch, StaleIncarnation, Draining, NoResources, ReservationExpired (also for an
// attempt that already ended on this worker), BadField (tasks that contradict the reservation) and
// the current admission code.
class Ledger
{
public:
    explicit Ledger(LedgerSettings settings);
    ~Ledger();
    Ledger(Ledger &&) noexcept;
    Ledger &operator=(Ledger &&) noexcept;

    LedgerResult apply(const LedgerEvent &event, core::Instant now);

    LedgerReport report() const;
    // Returns true once the ledger has applied a TasksListed.
    bool ready() const;
    bool draining() const;
    // Returns true if the ledger is draining and no gang has reserved or uses resources any more.
    bool drained() const;
    Epoch epoch() const;
    // Returns the resources that a new reservation may use.
    core::Resources free() const;
    std::vector<int> freeAccelerators() const;

private:
    class Private;
    std::unique_ptr<Private> d;
};

} // namespace oleandercross::gang
