#pragma once

#include <oleandercross/gang/protocol.h>
#include <oleandercross/platform/tableservice.h>

#include <memory>
#include <variant>

namespace oleandercross::gang {

// One member of a gang and the tasks that it runs.
struct Member
{
    Peer peer;
    // Task ids and leases are set by the coordinator.
    std::vector<platform::TaskStart> tasks;

    friend bool operator==(const Member &, const Member &) = default;
};

// A request to start or stop one gang.
struct GangOperation
{
    enum class Kind { Start, Stop };

    Kind kind = Kind::Start;
    GangKey key;
    Epoch epoch = 0;
    std::vector<Member> members;
    // Start only. Writes the job row with the placement, conditional on the versions of the job row
    // and of `epoch/<dc>`. The write id must be unique to this start.
    platform::Transaction decision;
    // Start only. Whether the start fails if the store is unavailable. False for repeatable jobs.
    bool recordRequired = true;

    friend bool operator==(const GangOperation &, const GangOperation &) = default;
};

enum class MessageKind { Reserve, Commit, Abort, StopTask };

// Starts the operation.
struct BeginOperation
{ };

// A member answered a message.
struct MemberAnswered
{
    core::AgentId agent;
    MessageKind kind = MessageKind::Reserve;
    // The round of the Reserve message. Ignored for other messages.
    int round = 0;
    Answer answer;
};

// The outcome of a write. NotApplied means that it had no effect; with Unknown it may have taken
// effect.
enum class WriteOutcome { Applied, Conflict, NotApplied, Unknown };

// The result of WriteDecision.
struct DecisionWritten
{
    WriteOutcome outcome = WriteOutcome::Applied;
};

// The result of CheckDecision. `applied` is empty if the store was unavailable.
struct DecisionChecked
{
    std::optional<bool> applied;
};

// Cancels a start that has not finished.
struct CancelOperation
{
    core::Reason reason;
};

// Has to be applied about every 100 ms until the operation has finished.
struct CoordinatorTick
{ };

using CoordinatorEvent = std::variant<BeginOperation, MemberAnswered, DecisionWritten,
                                      DecisionChecked, CancelOperation, CoordinatorTick>;

using LeaderMessage = std::variant<Reserve, Commit, Abort, StopTask>;

// Sends a message. The loss of a message or answer is not reported, because the coordinator repeats
// unanswered messages.
struct SendToMember
{
    Peer peer;
    LeaderMessage message;

    friend bool operator==(const SendToMember &, const SendToMember &) = default;
};

// Commits the transaction; the result is reported with DecisionWritten.
struct WriteDecision
{
    platform::Transaction transaction;

    friend bool operator==(const WriteDecision &, const WriteDecision &) = default;
};

// Reads back whether the transaction was applied; the result is reported with DecisionChecked.
struct CheckDecision
{
    platform::Transaction transaction;

    friend bool operator==(const CheckDecision &, const CheckDecision &) = default;
};

// The start succeeded: all members committed.
struct GangStarted
{
    GangKey key;
    // False if the store was unavailable. The row then has to be written later.
    bool recorded = true;

    friend bool operator==(const GangStarted &, const GangStarted &) = default;
};

// The start failed. The gang does not run and cannot start any more, and its members release their
// resources within GangStopBound. StaleEpoch means that another leader has taken over.
struct GangNotStarted
{
    GangKey key;
    core::Reason reason;
    // The agent that refused or did not answer; empty if there is none.
    core::AgentId failedAgent;
    // True if tasks of some members may have run briefly.
    bool mayHaveRun = false;
    // True if the decision was or may have been recorded, so that the job row has to be corrected.
    bool mayBeRecorded = false;

    friend bool operator==(const GangNotStarted &, const GangNotStarted &) = default;
};

// The stop has finished: no member runs any more, because all have confirmed it, or because one has
// and GangStopBound has passed since. With the reason StaleEpoch, the state of the gang is unknown,
// because another leader has taken over.
struct GangStopped
{
    GangKey key;
    core::Reason reason;

    friend bool operator==(const GangStopped &, const GangStopped &) = default;
};

using CoordinatorAction = std::variant<SendToMember, WriteDecision, CheckDecision, GangStarted,
                                       GangNotStarted, GangStopped>;

// The leader's side of one start or stop of one gang. Deterministic, performs no I/O, and is not
// thread safe. Emits exactly one of GangStarted, GangNotStarted and GangStopped, and ignores all
// later events. Before it executes SendToMember with a Commit, the caller has to check that it is
// still the leader.
class Coordinator
{
public:
    explicit Coordinator(GangOperation operation);
    ~Coordinator();
    Coordinator(Coordinator &&) noexcept;
    Coordinator &operator=(Coordinator &&) noexcept;

    std::vector<CoordinatorAction> apply(const CoordinatorEvent &event, core::Instant now);

    const GangOperation &operation() const;
    bool finished() const;

private:
    class Private;
    std::unique_ptr<Private> d;
};

} // namespace oleandercross::gang
