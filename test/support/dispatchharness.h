#pragma once

#include <oleandercross/dispatch/dispatcher.h>
#include <oleandercross/dispatch/requesttable.h>

#include <absl/strings/str_cat.h>

#include <deque>
#include <map>
#include <memory>
#include <ostream>
#include <set>

namespace oleandercross::test {

// One step of a fuzzed run. `a` and `b` choose among what is there, modulo its number.
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

// Several dispatchers and agents with the messages between them, which steps deliver in any order,
// lose and duplicate. An oracle counts executions at the minions and compares every outcome with
// what happened. A message that was duplicated ends with the agent process it was sent to, as data
// in a connection does.
class DispatchHarness
{
public:
    DispatchHarness(dispatch::Routing routing, std::uint64_t seed, int entries = 2, int agents = 3)
        : m_maxRecords(seed % 2 == 0 ? 3 : 30)
    {
        for (int i = 0; i < agents; ++i) {
            m_agents.push_back({});
            m_agents.back().id = core::AgentId(absl::StrCat("agent", i));
            start(m_agents.back());
        }
        for (int i = 0; i < entries; ++i) {
            dispatch::DispatcherSettings settings;
            settings.entry = core::EntryId(absl::StrCat("entry", i));
            settings.routing = routing;
            settings.queueLimit = QueueLimit;
            m_entries.push_back(
                {dispatch::Dispatcher(settings, std::mt19937_64(seed + i)), settings.entry, {}});
        }
        for (std::size_t i = 0; i < m_agents.size(); ++i)
            announce(i);
    }

    void run(const Step &step);
    // Lets everything come to an end and checks that every caller has exactly one outcome.
    void settle();

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
        core::Instant confirmed;
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

    // A message of either direction. `event` goes to the entry, the others to the agent.
    struct Message
    {
        std::size_t entry = 0;
        std::size_t agent = None;
        std::optional<dispatch::Event> event;
        std::optional<dispatch::Action> action;
        // Of a copy or its original: the incarnation that it ends with.
        std::optional<std::int64_t> boundTo;
        bool isCopy = false;
    };

    struct CallerRequest
    {
        std::size_t entry = 0;
        dispatch::RequestArrived arrival;
        // Requests that a caller sent again share a key.
        int key = 0;
        int executions = 0;
        std::optional<dispatch::Outcome> outcome;
        bool sentAgain = false;
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
    void finish(Agent &agent, std::size_t index, unsigned how);
    void holdEnds(unsigned a, unsigned b);
    void restart(Agent &agent);
    void advance(absl::Duration by, bool confirm);

    void toEntry(std::size_t entry, std::size_t agent, dispatch::Event event);
    void apply(std::size_t entry, const dispatch::Event &event);
    void execute(std::size_t entry, dispatch::Action action);
    void atAgent(const Message &message);
    void receive(const Message &message, const dispatch::DispatchMessage &dispatch);
    void executed(Agent &agent, const dispatch::DispatchMessage &dispatch);
    void grantSlots(std::size_t agent);
    void outcome(std::size_t entry, const dispatch::FinishRequest &finish);
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

inline void DispatchHarness::start(Agent &agent)
{
    dispatch::AdmissionSettings admission;
    admission.agent = agent.id;
    admission.incarnation = ++agent.incarnation;
    admission.shortSlots = ShortSlots;
    agent.table.reset();
    agent.admission = std::make_unique<dispatch::Admission>(admission, m_now);
    agent.admission->setMinion(m_minion, m_service, Slots);
    agent.admission->configurationConfirmed(m_now);
    agent.confirmed = m_now;
    // So small that records and answers are forgotten while messages about them are on their way.
    dispatch::RequestTableSettings table;
    table.retention = absl::Seconds(2);
    table.maxAnswerBytes = 100;
    table.maxRecords = m_maxRecords;
    agent.table = std::make_unique<dispatch::RequestTable>(table, *agent.admission);
    agent.running.clear();
    agent.draining = false;
}

inline void DispatchHarness::announce(std::size_t index)
{
    const Agent &agent = m_agents[index];
    dispatch::TargetAnnounced event;
    event.target = target(agent);
    event.service = m_service;
    event.dataCentre = core::DataCentreId(index % 2 == 0 ? "brum" : "shires");
    event.distance = absl::Microseconds(index % 2 == 0 ? 50 : 500);
    event.slots = Slots;
    event.shortSlots = ShortSlots;
    event.load = agent.admission->load(m_minion, m_now);
    event.draining = agent.draining;
    event.agentUptime = agent.admission->uptime(m_now);
    for (std::size_t entry = 0; entry < m_entries.size(); ++entry)
        apply(entry, event);
}

inline void DispatchHarness::run(const Step &step)
{
    Agent &agent = m_agents[step.a % m_agents.size()];
    switch (step.kind) {
    case Step::Arrive:
        arrive(step.a % m_entries.size(), step.a, step.b, m_nextId, step.b % 2 == 0);
        break;
    case Step::Resend:
        resend(step.a, step.b);
        break;
    case Step::Cancel:
        cancel(step.a);
        break;
    case Step::Deliver:
        if (!m_messages.empty())
            deliver(step.a % m_messages.size());
        break;
    case Step::DeliverAll:
        for (std::size_t n = m_messages.size(); n > 0; --n)
            deliver(0);
        break;
    case Step::Lose:
        if (!m_messages.empty())
            step.b % 2 == 0 ? lose(step.a % m_messages.size()) : delay(step.a % m_messages.size());
        break;
    case Step::Duplicate:
        if (!m_messages.empty())
            duplicate(step.a % m_messages.size());
        break;
    case Step::Finish:
        if (!agent.running.empty())
            finish(agent, step.b % agent.running.size(), step.b / 4);
        break;
    case Step::HoldEnds:
        holdEnds(step.a, step.b);
        break;
    case Step::Restart:
        restart(agent);
        break;
    case Step::Announce:
        announce(step.a % m_agents.size());
        break;
    case Step::Gone:
        apply(step.b % m_entries.size(), dispatch::TargetGone{target(agent)});
        break;
    case Step::Drain:
        agent.draining = step.b % 2 == 0;
        agent.admission->setDraining(m_minion, agent.draining);
        break;
    case Step::Advance:
        advance(absl::Milliseconds(step.a % 400), step.b % 8 != 0);
        break;
    case Step::Limits:
        apply(step.b % m_entries.size(),
              dispatch::LimitsChanged{core::AccountId(absl::StrCat("account", step.a % Accounts)),
                                      static_cast<int>(step.b % 5) + 1, step.a % 7 * 10.0});
        break;
    case Step::KindCount:
        break;
    }
}

inline void DispatchHarness::arrive(std::size_t entry, unsigned shape, unsigned deadline, int key,
                                    bool idempotent)
{
    dispatch::RequestArrived event;
    event.id = core::RequestId(absl::StrCat("r", m_nextId++));
    event.account = core::AccountId(absl::StrCat("account", shape / 2 % Accounts));
    event.service = m_service;
    event.idempotent = idempotent;
    event.deadline = m_now + absl::Milliseconds(10 + deadline % 3000);
    event.bodyBytes = shape % 1000;
    event.pinToFirstTarget = !idempotent && shape % 4 == 0;
    m_requests[event.id] = {entry, event, key, 0, {}, false};
    apply(entry, event);
}

// A caller that was told "not run" sends the request again, once, perhaps to another entry. Repeats
// of a key that are open at the same time are told apart by its key row, not by the dispatcher.
inline void DispatchHarness::resend(unsigned a, unsigned b)
{
    std::vector<CallerRequest *> refused;
    for (auto &[id, request] : m_requests) {
        if (!request.sentAgain && request.outcome
            && request.outcome->kind == dispatch::OutcomeKind::NotRun)
            refused.push_back(&request);
    }
    if (refused.empty())
        return;
    CallerRequest &again = *refused[a % refused.size()];
    again.sentAgain = true;
    arrive(b % m_entries.size(), a, b, again.key, again.arrival.idempotent);
}

inline void DispatchHarness::cancel(unsigned a)
{
    if (m_requests.empty())
        return;
    const auto it = std::next(m_requests.begin(), a % m_requests.size());
    apply(it->second.entry, dispatch::RequestCancelled{it->first});
}

inline std::size_t DispatchHarness::agentIndex(const core::AgentId &id) const
{
    for (std::size_t i = 0; i < m_agents.size(); ++i) {
        if (m_agents[i].id == id)
            return i;
    }
    return None;
}

inline void DispatchHarness::toEntry(std::size_t entry, std::size_t agent, dispatch::Event event)
{
    m_messages.push_back({entry, agent, std::move(event), {}, {}, false});
}

inline void DispatchHarness::apply(std::size_t entry, const dispatch::Event &event)
{
    Entry &target = m_entries[entry];
    if (const auto *announced = std::get_if<dispatch::TargetAnnounced>(&event)) {
        target.draining.erase(announced->target);
        if (announced->draining)
            target.draining.insert(announced->target);
    }
    for (dispatch::Action &action : target.dispatcher.apply(event, m_now))
        execute(entry, std::move(action));
    checkEntry(target);
}

inline void DispatchHarness::checkEntry(const Entry &entry)
{
    const dispatch::DispatcherStatus status = entry.dispatcher.status();
    const std::int64_t first = status.dispatched - status.retried;
    if (status.retried > 10 + first / 10 + 1)
        fail("retry budget exceeded");
    if (status.targetsOut > status.targets / 3)
        fail("more than a third of the targets are out");
    if (status.waiting > Accounts * QueueLimit + status.retried)
        fail("queues exceed their limit");
}

inline void DispatchHarness::execute(std::size_t entry, dispatch::Action action)
{
    if (const auto *finish = std::get_if<dispatch::FinishRequest>(&action)) {
        outcome(entry, *finish);
        return;
    }
    Message message;
    message.entry = entry;
    if (const auto *dispatch = std::get_if<dispatch::DispatchRequest>(&action)) {
        const CallerRequest &request = m_requests[dispatch->message.id];
        message.agent = agentIndex(dispatch->message.target.agent);
        if (request.outcome)
            fail("dispatched after its outcome: " + dispatch->message.id.str());
        if (m_now >= request.arrival.deadline)
            fail("dispatched after its deadline: " + dispatch->message.id.str());
        if (m_entries[entry].draining.count(dispatch->message.target) > 0)
            fail("dispatched to a draining target: " + dispatch->message.id.str());
    } else if (const auto *ask = std::get_if<dispatch::AskFate>(&action)) {
        message.agent = agentIndex(ask->query.target.agent);
    } else if (const auto *cancel = std::get_if<dispatch::CancelAtTarget>(&action)) {
        message.agent = agentIndex(cancel->target.agent);
    } else if (const auto *slots = std::get_if<dispatch::AskSlots>(&action)) {
        message.agent = agentIndex(slots->target.agent);
    }
    message.action = std::move(action);
    m_messages.push_back(std::move(message));
}

inline void DispatchHarness::outcome(std::size_t entry, const dispatch::FinishRequest &finish)
{
    const auto it = m_requests.find(finish.id);
    if (it == m_requests.end() || it->second.entry != entry) {
        fail("outcome for a request of another entry: " + finish.id.str());
        return;
    }
    CallerRequest &request = it->second;
    const dispatch::Outcome &outcome = finish.outcome;
    const std::string text =
        absl::StrCat(finish.id.str(), " code ", static_cast<int>(outcome.code));
    if (request.outcome)
        fail("second outcome: " + text);
    request.outcome = outcome;
    const bool notRunCode = core::provablyNotRun(outcome.code);
    switch (outcome.kind) {
    case dispatch::OutcomeKind::Answered:
        ++m_answered;
        if (outcome.answer.body != answerOf(finish.id))
            fail("answer of another request: " + text + " " + outcome.answer.body);
        if (request.executions == 0)
            fail("answer without an execution: " + text);
        break;
    case dispatch::OutcomeKind::NotRun:
        ++m_refused;
        if (request.executions > 0)
            fail("refused as not run, but it ran: " + text);
        if (!notRunCode)
            fail("not run with a code of another class: " + text);
        break;
    case dispatch::OutcomeKind::Unknown:
        ++m_unknown;
        if (static_cast<int>(outcome.code) / 100 != 4)
            fail("unknown with a code of another class: " + text);
        break;
    }
}

inline void DispatchHarness::deliver(std::size_t index)
{
    const Message message = m_messages[index];
    m_messages.erase(m_messages.begin() + static_cast<std::ptrdiff_t>(index));
    if (message.event) {
        apply(message.entry, *message.event);
        return;
    }
    if (message.boundTo && *message.boundTo != m_agents[message.agent].incarnation) {
        if (!message.isCopy) {
            m_messages.push_back(message);
            m_messages.back().boundTo.reset();
            lose(m_messages.size() - 1);
        }
        return;
    }
    atAgent(message);
}

// The sender of a lost call or reply sees a time-out.
inline void DispatchHarness::lose(std::size_t index)
{
    const Message message = m_messages[index];
    m_messages.erase(m_messages.begin() + static_cast<std::ptrdiff_t>(index));
    if (message.isCopy)
        return;
    if (message.event) {
        std::visit(
            [&](const auto &event) {
                using Event = std::decay_t<decltype(event)>;
                if constexpr (
                    std::is_same_v<
                        Event,
                        dispatch::
                            DispatchAnswered> || std::is_same_v<Event, dispatch::DispatchRefused>)
                    toEntry(message.entry, message.agent,
                            dispatch::DispatchUnknown{event.id, event.attempt, false});
                else if constexpr (std::is_same_v<Event, dispatch::FateLearned>)
                    toEntry(message.entry, message.agent,
                            dispatch::FateLearned{event.id, event.attempt, {}});
                else if constexpr (std::is_same_v<Event, dispatch::DispatchUnknown>)
                    toEntry(message.entry, message.agent,
                            dispatch::DispatchUnknown{event.id, event.attempt, false});
            },
            *message.event);
        return;
    }
    if (const auto *dispatch = std::get_if<dispatch::DispatchRequest>(&*message.action))
        toEntry(message.entry, message.agent,
                dispatch::DispatchUnknown{dispatch->message.id, dispatch->message.attempt, false});
    else if (const auto *ask = std::get_if<dispatch::AskFate>(&*message.action))
        toEntry(message.entry, message.agent,
                dispatch::FateLearned{ask->query.id, ask->attempt, {}});
}

// The sender sees a time-out, but the message still arrives some time.
inline void DispatchHarness::delay(std::size_t index)
{
    duplicate(index);
    lose(index);
}

inline void DispatchHarness::duplicate(std::size_t index)
{
    Message &message = m_messages[index];
    if (message.agent != None && !message.boundTo)
        message.boundTo = m_agents[message.agent].incarnation;
    Message copy = message;
    copy.isCopy = true;
    m_messages.push_back(std::move(copy));
}

inline void DispatchHarness::atAgent(const Message &message)
{
    Agent &agent = m_agents[message.agent];
    if (const auto *dispatch = std::get_if<dispatch::DispatchRequest>(&*message.action)) {
        receive(message, dispatch->message);
    } else if (const auto *ask = std::get_if<dispatch::AskFate>(&*message.action)) {
        const dispatch::FateReport report = agent.table->fate(ask->query, m_now);
        toEntry(message.entry, message.agent,
                dispatch::FateLearned{ask->query.id, ask->attempt, report});
    } else if (const auto *cancel = std::get_if<dispatch::CancelAtTarget>(&*message.action)) {
        agent.table->cancel(cancel->id, m_now, cancel->agentUptime);
    } else if (const auto *slots = std::get_if<dispatch::AskSlots>(&*message.action)) {
        if (slots->target == target(agent))
            agent.admission->demand(m_entries[message.entry].id, m_minion, slots->slots,
                                    slots->shortSlots, m_now);
        grantSlots(message.agent);
    }
}

inline void DispatchHarness::receive(const Message &message,
                                     const dispatch::DispatchMessage &dispatch)
{
    Agent &agent = m_agents[message.agent];
    const dispatch::Receipt receipt = agent.table->receive(dispatch, m_now);
    const auto load = agent.admission->load(m_minion, m_now);
    switch (receipt.kind) {
    case dispatch::Receipt::Kind::Start:
        executed(agent, dispatch);
        agent.running.push_back({dispatch, message.entry, false});
        break;
    case dispatch::Receipt::Kind::Refused:
        toEntry(message.entry, message.agent,
                dispatch::DispatchRefused{dispatch.id, dispatch.attempt, receipt.code, load});
        break;
    case dispatch::Receipt::Kind::Answered:
        toEntry(message.entry, message.agent,
                dispatch::DispatchAnswered{dispatch.id, dispatch.attempt, receipt.answer, load});
        break;
    case dispatch::Receipt::Kind::Unknown:
        toEntry(message.entry, message.agent,
                dispatch::DispatchUnknown{dispatch.id, dispatch.attempt,
                                          receipt.code == core::ResultCode::StillRunning});
        break;
    }
}

inline void DispatchHarness::executed(Agent &agent, const dispatch::DispatchMessage &dispatch)
{
    ++m_started;
    CallerRequest &request = m_requests.at(dispatch.id);
    ++request.executions;
    const int ofKey = ++m_keyExecutions[request.key];
    if (!request.arrival.idempotent && ofKey > 1)
        fail("non-idempotent request ran twice: " + dispatch.id.str());
    if (request.outcome && request.outcome->kind == dispatch::OutcomeKind::NotRun)
        fail("ran after it was refused as not run: " + dispatch.id.str());
    if (dispatch.target != target(agent))
        fail("ran under another incarnation: " + dispatch.id.str());
    if (agent.draining)
        fail("ran on a draining minion: " + dispatch.id.str());
    if (m_now - agent.confirmed > absl::Seconds(5))
        fail("ran under a stale configuration: " + dispatch.id.str());
    int longWork = dispatch.shortWork ? 0 : 1;
    for (const RunningRequest &other : agent.running)
        longWork += other.message.shortWork ? 0 : 1;
    if (static_cast<int>(agent.running.size()) >= Slots)
        fail("more requests than slots");
    if (longWork > Slots - ShortSlots)
        fail("long work in slots kept for short work");
}

inline void DispatchHarness::finish(Agent &agent, std::size_t index, unsigned how)
{
    const RunningRequest request = agent.running[index];
    agent.running.erase(agent.running.begin() + static_cast<std::ptrdiff_t>(index));
    const std::size_t from = agentIndex(agent.id);
    const core::RequestId &id = request.message.id;
    dispatch::Event reply = dispatch::DispatchUnknown{id, request.message.attempt, false};
    if (how % 8 == 1) {
        agent.table->finishUnknown(id, m_now);
    } else if (how % 8 == 2) {
        // The minion was not reached, so the execution did not happen.
        --m_requests.at(id).executions;
        --m_keyExecutions[m_requests.at(id).key];
        agent.table->finishNotRun(id, core::ResultCode::NoTarget, m_now);
        reply = dispatch::DispatchRefused{id, request.message.attempt, core::ResultCode::NoTarget,
                                          agent.admission->load(m_minion, m_now)};
    } else {
        const dispatch::Answer answer = {how % 8 != 3, answerOf(id)};
        agent.table->finish(id, answer, m_now);
        reply = dispatch::DispatchAnswered{id, request.message.attempt, answer,
                                           agent.admission->load(m_minion, m_now)};
    }
    if (!request.replied)
        toEntry(request.entry, from, std::move(reply));
    grantSlots(from);
}

// The agent stops holding the call open and says that the request is running.
inline void DispatchHarness::holdEnds(unsigned a, unsigned b)
{
    const std::size_t index = a % m_agents.size();
    Agent &agent = m_agents[index];
    if (agent.running.empty())
        return;
    RunningRequest &request = agent.running[b % agent.running.size()];
    if (request.replied)
        return;
    request.replied = true;
    toEntry(request.entry, index,
            dispatch::DispatchUnknown{request.message.id, request.message.attempt, true});
}

inline void DispatchHarness::grantSlots(std::size_t index)
{
    const Agent &agent = m_agents[index];
    for (const dispatch::SlotGrant &grant : agent.admission->grant(m_now)) {
        for (std::size_t entry = 0; entry < m_entries.size(); ++entry) {
            if (m_entries[entry].id == grant.entry)
                toEntry(entry, index,
                        dispatch::SlotsGranted{target(agent), grant.slots, grant.shortSlots,
                                               grant.validFor});
        }
    }
}

inline void DispatchHarness::restart(Agent &agent)
{
    const std::size_t index = agentIndex(agent.id);
    for (const RunningRequest &request : agent.running) {
        if (!request.replied)
            toEntry(request.entry, index,
                    dispatch::DispatchUnknown{request.message.id, request.message.attempt, false});
    }
    start(agent);
}

inline void DispatchHarness::advance(absl::Duration by, bool confirm)
{
    m_now += by;
    for (Agent &agent : m_agents) {
        if (!confirm)
            continue;
        agent.admission->configurationConfirmed(m_now);
        agent.confirmed = m_now;
    }
    for (std::size_t entry = 0; entry < m_entries.size(); ++entry)
        apply(entry, dispatch::Tick{});
}

inline void DispatchHarness::settle()
{
    // Every deadline is within 3.01 s.
    for (int i = 0; i < 80; ++i) {
        for (std::size_t n = m_messages.size(); n > 0; --n)
            deliver(0);
        for (Agent &agent : m_agents) {
            while (!agent.running.empty())
                finish(agent, 0, 0);
        }
        advance(absl::Milliseconds(50), true);
    }
    for (const auto &[id, request] : m_requests) {
        if (!request.outcome)
            fail("no outcome: " + id.str());
    }
    for (const Entry &entry : m_entries) {
        const dispatch::DispatcherStatus status = entry.dispatcher.status();
        if (status.waiting != 0 || status.inFlight != 0)
            fail("requests left in an entry");
    }
}

} // namespace oleandercross::test
