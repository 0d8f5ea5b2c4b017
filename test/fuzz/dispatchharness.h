#pragma once

#include <oleandercross/dispatch/dispatcher.h>
#include <oleandercross/dispatch/requesttable.h>

#include <deque>
#include <map>
#include <memory>
#include <ostream>
#include <set>

namespace oleandercross::test {

// One step of a fuzzed run. `a` and `b` select the objects that the step affects, modulo their
// number.
struct Step
{
    enum Kind {
        Arrive,
        Resend,
        Cancel,
        Deliver,
        DeliverAll,
        Lose,
        Duplicate,
        Finish,
        HoldEnds,
        Restart,
        Announce,
        Gone,
        Drain,
        Advance,
        Limits,
        KindCount
    };

    Kind kind = Arrive;
    unsigned a = 0;
    unsigned b = 0;

    friend bool operator==(const Step &, const Step &) = default;
};

inline std::ostream &operator<<(std::ostream &out, const Step &step)
{
    static const char *const names[] = {"Arrive",   "Resend",    "Cancel", "Deliver",  "DeliverAll",
                                        "Lose",     "Duplicate", "Finish", "HoldEnds", "Restart",
                                        "Announce", "Gone",      "Drain",  "Advance",  "Limits"};
    return out << "{Step::" << names[step.kind] << ", " << step.a << ", " << step.b << "}";
}

// Several dispatchers and agents and the messages between them, which steps deliver in any order,
// lose and duplicate. Counts the executions at the minions and compares them with every outcome. A
// duplicated message is discarded when the agent process that it was sent to exits, like data in a
// connection.
class DispatchHarness
{
public:
    DispatchHarness(dispatch::Routing routing, std::uint64_t seed, int entries = 2, int agents = 3);

    void run(const Step &step);
    // Delivers all messages, finishes all requests and checks that every caller has exactly one
    // outcome.
    void runToCompletion();

    const std::vector<std::string> &violations() const { return m_violations; }
    int answered() const { return m_answered; }
    int refused() const { return m_refused; }
    int unknown() const { return m_unknown; }
    int started() const { return m_started; }

private:
    static constexpr int Slots = 4;
    static constexpr int ShortSlots = 2;
    static constexpr int QueueLimit = 4;
    static constexpr int Accounts = 3;
    static constexpr std::size_t None = -1;

    struct RunningRequest
    {
        dispatch::DispatchMessage message;
        std::size_t entry = 0;
        bool replied = false;
    };

    struct Agent
    {
        core::AgentId id;
        std::int64_t incarnation = 0;
        bool draining = false;
        core::Instant configurationConfirmedAt;
        std::unique_ptr<dispatch::Admission> admission;
        std::unique_ptr<dispatch::RequestTable> table;
        std::vector<RunningRequest> running;
    };

    struct Entry
    {
        dispatch::Dispatcher dispatcher;
        core::EntryId id;
        std::set<dispatch::TargetId> draining;
    };

    // A message in either direction: `event` is sent to the entry, `action` to the agent.
    struct Message
    {
        std::size_t entry = 0;
        std::size_t agent = None;
        std::optional<dispatch::Event> event;
        std::optional<dispatch::Action> action;
        // Incarnation of the agent whose end discards a copy or a copied message.
        std::optional<std::int64_t> boundIncarnation;
        bool isCopy = false;
    };

    struct CallerRequest
    {
        std::size_t entry = 0;
        dispatch::RequestArrived arrival;
        // A caller's repeated requests share a key.
        int key = 0;
        int executions = 0;
        std::optional<dispatch::Outcome> outcome;
        bool resent = false;
    };

    const core::ServiceId m_service = core::ServiceId("booking-desk");
    const core::MinionId m_minion = core::MinionId("minion");

    void fail(const std::string &text) { m_violations.push_back(text); }
    static std::string answerOf(const core::RequestId &id) { return "answer to " + id.str(); }

    void start(Agent &agent);
    void announce(std::size_t agent);
    void arrive(std::size_t entry, unsigned shape, unsigned deadline, int key, bool idempotent);
    void resend(unsigned a, unsigned b);
    void cancel(unsigned a);
    void deliver(std::size_t index);
    void lose(std::size_t index);
    void delay(std::size_t index);
    void duplicate(std::size_t index);
    void finish(Agent &agent, std::size_t index, unsigned outcomeChoice);
    void endHold(unsigned a, unsigned b);
    void restart(Agent &agent);
    void advance(absl::Duration by, bool confirm);

    void sendToEntry(std::size_t entry, std::size_t agent, dispatch::Event event);
    void apply(std::size_t entry, const dispatch::Event &event);
    void execute(std::size_t entry, dispatch::Action action);
    void deliverToAgent(const Message &message);
    void receive(const Message &message, const dispatch::DispatchMessage &dispatch);
    void recordExecution(Agent &agent, const dispatch::DispatchMessage &dispatch);
    void grantSlots(std::size_t agent);
    void recordOutcome(std::size_t entry, const dispatch::FinishRequest &finish);
    void checkEntry(const Entry &entry);
    std::size_t agentIndex(const core::AgentId &id) const;
    dispatch::TargetId target(const Agent &agent) const
    {
        return {agent.id, agent.incarnation, m_minion};
    }

    std::size_t m_maxRecords;
    core::Instant m_now = absl::UnixEpoch() + absl::Hours(1);
    std::vector<Agent> m_agents;
    std::vector<Entry> m_entries;
    std::deque<Message> m_messages;
    std::map<core::RequestId, CallerRequest> m_requests;
    std::map<int, int> m_keyExecutions;
    std::vector<std::string> m_violations;
    int m_nextId = 0;
    int m_answered = 0;
    int m_refused = 0;
    int m_unknown = 0;
    int m_started = 0;
};

} // namespace oleandercross::test
