#pragma once

#include <oleandercross/gang/protocol.h>
#include <oleandercross/platform/tableservice.h>

#include <memory>
#include <variant>

namespace oleandercross::gang {

// What one member of the gang runs.
struct Member
{
    Peer peer;
    // Task ids and leases are set by the coordinator.
    std::vector<platform::TaskStart> tasks;

    friend bool operator==(const Member &, const Member &) = default;
};

// One start or stop of one gang.
struct GangOperation
{
    enum class Kind { Start, Stop };

    Kind kind = Kind::Start;
    GangKey key;
    Epoch epoch = 0;
    std::vector<Member> members;
    // Start only. The job row with the placement, conditional on the job row's version and on the
    // version of `epoch/<dc>`. The write id must be unique to this start.
    platform::Transaction decision;
    // Start only. False for repeatable jobs: they start although the store is unavailable.
    bool recordRequired = true;

    friend bool operator==(const GangOperation &, const GangOperation &) = default;
};

enum class MessageKind { Reserve, Commit, Abort, StopTask };

struct BeginOperation
{ };

struct MemberAnswered
{
    core::AgentId agent;
    MessageKind kind = MessageKind::Reserve;
    // Of the Reserve message; ignored for others.
    int round = 0;
    Answer answer;
};

// Result of WriteDecision or CheckDecision. NotApplied is certain, Unknown may have taken effect.
enum class WriteOutcome { Applied, Conflict, NotApplied, Unknown };

struct DecisionWritten
{
    WriteOutcome outcome = WriteOutcome::Applied;
};

// `applied` is empty if the store was unavailable.
struct DecisionChecked
{
    std::optional<bool> applied;
};

// Gives up a start that has not finished.
struct CancelOperation
{
    core::Reason reason;
};

// To be applied about every 100 ms while the operation is not finished.
struct CoordinatorTick
{ };

using CoordinatorEvent = std::variant<BeginOperation, MemberAnswered, DecisionWritten,
                                      DecisionChecked, CancelOperation, CoordinatorTick>;

using LeaderMessage = std::variant<Reserve, Commit, Abort, StopTask>;

// Sends a message; a lost message or answer is not reported, the coordinator repeats it.
struct SendToMember
{
    Peer peer;
    LeaderMessage message;

    friend bool operator==(const SendToMember &, const SendToMember &) = default;
};

struct WriteDecision
{
    platform::Transaction transaction;

    friend bool operator==(const WriteDecision &, const WriteDecision &) = default;
};

struct CheckDecision
{
    platform::Transaction transaction;

    friend bool operator==(const CheckDecision &, const CheckDecision &) = default;
};

// All members committed.
struct GangStarted
{
    GangKey key;
    // False if the store was unavailable; the row has to be written later.
    bool recorded = true;

    friend bool operator==(const GangStarted &, const GangStarted &) = default;
};

// The gang does not run and cannot start any more; its members' resources are released within
// GangStopBound. StaleEpoch means that another leader took over.
struct GangNotStarted
{
    GangKey key;
    core::Reason reason;
    // The agent that refused or did not answer; empty if there is none.
    core::AgentId culprit;
    // True if tasks of some members may have run for a moment.
    bool mayHaveRun = false;
    // True if the decision was or may have been recorded, so that the job row needs correcting.
    bool mayBeRecorded = false;

    friend bool operator==(const GangNotStarted &, const GangNotStarted &) = default;
};

// No member runs any more, or will within GangStopBound. With the reason StaleEpoch, nothing is
// known: another leader took over.
struct GangStopped
{
    GangKey key;
    core::Reason reason;

    friend bool operator==(const GangStopped &, const GangStopped &) = default;
};

using CoordinatorAction = std::variant<SendToMember, WriteDecision, CheckDecision, GangStarted,
                                       GangNotStarted, GangStopped>;

// Leader side of one start or stop of one gang. Pure and not thread safe. Emits exactly one of
// GangStarted, GangNotStarted, GangStopped and then ignores further events. Before executing
// SendToMember with a Commit, the caller checks that it still leads.
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
