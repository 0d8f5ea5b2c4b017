#include "dispatchharness.h"

#include <absl/strings/str_cat.h>

namespace oleandercross::test {

DispatchHarness::DispatchHarness(dispatch::Routing routing, std::uint64_t seed, int entries,
                                 int agents)
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

void DispatchHarness::start(Agent &agent)
{
    dispatch::AdmissionSettings admission;
    admission.agent = agent.id;
    admission.incarnation = ++agent.incarnation;
    admission.shortSlots = ShortSlots;
    agent.table.reset();
    agent.admission = std::make_unique<dispatch::Admission>(admission, m_now);
    agent.admission->setMinion(m_minion, m_service, Slots);
    agent.admission->configurationConfirmed(m_now);
    agent.configurationConfirmedAt = m_now;
    // Small limits, so that records and answers are evicted while messages about them are in
    // flight.
    dispatch::RequestTableSettings table;
    table.retention = absl::Seconds(2);
    table.maxAnswerBytes = 100;
    table.maxRecords = m_maxRecords;
    agent.table = std::make_unique<dispatch::RequestTable>(table, *agent.admission);
    agent.running.clear();
    agent.draining = false;
}

void DispatchHarness::announce(std::size_t index)
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

void DispatchHarness::run(const Step &step)
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
        endHold(step.a, step.b);
        break;
    case Step::Restart:
        restart(agent);
        break;
    case Step::Announce:
        announce(step.a % m_agents.size());
        break;
    case Step::Gone:
        apply(step.b % m_entries.size(), dispatch::TargetRemoved{target(agent)});
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

void DispatchHarness::arrive(std::size_t entry, unsigned shape, unsigned deadline, int key,
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

// A caller that received "not run" repeats the request once, possibly at another entry. Concurrent
// requests with one key are serialized by the key's row in the store, not by the dispatcher, and
// are therefore not generated.
void DispatchHarness::resend(unsigned a, unsigned b)
{
    std::vector<CallerRequest *> refused;
    for (auto &[id, request] : m_requests) {
        if (!request.resent && request.outcome
            && request.outcome->kind == dispatch::OutcomeKind::NotRun)
            refused.push_back(&request);
    }
    if (refused.empty())
        return;
    CallerRequest &refusedRequest = *refused[a % refused.size()];
    refusedRequest.resent = true;
    arrive(b % m_entries.size(), a, b, refusedRequest.key, refusedRequest.arrival.idempotent);
}

void DispatchHarness::cancel(unsigned a)
{
    if (m_requests.empty())
        return;
    const auto it = std::next(m_requests.begin(), a % m_requests.size());
    apply(it->second.entry, dispatch::RequestCancelled{it->first});
}

std::size_t DispatchHarness::agentIndex(const core::AgentId &id) const
{
    for (std::size_t i = 0; i < m_agents.size(); ++i) {
        if (m_agents[i].id == id)
            return i;
    }
    return None;
}

void DispatchHarness::sendToEntry(std::size_t entry, std::size_t agent, dispatch::Event event)
{
    m_messages.push_back({entry, agent, std::move(event), {}, {}, false});
}

void DispatchHarness::apply(std::size_t entry, const dispatch::Event &event)
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

void DispatchHarness::checkEntry(const Entry &entry)
{
    const dispatch::DispatcherStatus status = entry.dispatcher.status();
    const std::int64_t first = status.dispatched - status.retried;
    if (status.retried > 10 + first / 10 + 1)
        fail("retry budget exceeded");
    if (status.ejectedTargets > status.targets / 3)
        fail("more than a third of the targets are out");
    if (status.waiting > Accounts * QueueLimit + status.retried)
        fail("queues exceed their limit");
}

void DispatchHarness::execute(std::size_t entry, dispatch::Action action)
{
    if (const auto *finish = std::get_if<dispatch::FinishRequest>(&action)) {
        recordOutcome(entry, *finish);
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
    } else if (const auto *fateQuery = std::get_if<dispatch::SendFateQuery>(&action)) {
        message.agent = agentIndex(fateQuery->query.target.agent);
    } else if (const auto *cancel = std::get_if<dispatch::CancelAtTarget>(&action)) {
        message.agent = agentIndex(cancel->target.agent);
    } else if (const auto *slots = std::get_if<dispatch::SendSlotDemand>(&action)) {
        message.agent = agentIndex(slots->target.agent);
    }
    message.action = std::move(action);
    m_messages.push_back(std::move(message));
}

void DispatchHarness::recordOutcome(std::size_t entry, const dispatch::FinishRequest &finish)
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
    const bool isNotRunCode = core::provablyNotRun(outcome.code);
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
        if (!isNotRunCode)
            fail("not run with a code of another class: " + text);
        break;
    case dispatch::OutcomeKind::Unknown:
        ++m_unknown;
        if (static_cast<int>(outcome.code) / 100 != 4)
            fail("unknown with a code of another class: " + text);
        break;
    }
}

void DispatchHarness::deliver(std::size_t index)
{
    const Message message = m_messages[index];
    m_messages.erase(m_messages.begin() + static_cast<std::ptrdiff_t>(index));
    if (message.event) {
        apply(message.entry, *message.event);
        return;
    }
    if (message.boundIncarnation
        && *message.boundIncarnation != m_agents[message.agent].incarnation) {
        if (!message.isCopy) {
            m_messages.push_back(message);
            m_messages.back().boundIncarnation.reset();
            lose(m_messages.size() - 1);
        }
        return;
    }
    deliverToAgent(message);
}

// The sender of a lost call or reply gets a time-out.
void DispatchHarness::lose(std::size_t index)
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
                    sendToEntry(message.entry, message.agent,
                                dispatch::DispatchUnknown{event.id, event.attempt, false});
                else if constexpr (std::is_same_v<Event, dispatch::FateReceived>)
                    sendToEntry(message.entry, message.agent,
                                dispatch::FateReceived{event.id, event.attempt, {}});
                else if constexpr (std::is_same_v<Event, dispatch::DispatchUnknown>)
                    sendToEntry(message.entry, message.agent,
                                dispatch::DispatchUnknown{event.id, event.attempt, false});
            },
            *message.event);
        return;
    }
    if (const auto *dispatch = std::get_if<dispatch::DispatchRequest>(&*message.action))
        sendToEntry(
            message.entry, message.agent,
            dispatch::DispatchUnknown{dispatch->message.id, dispatch->message.attempt, false});
    else if (const auto *fateQuery = std::get_if<dispatch::SendFateQuery>(&*message.action))
        sendToEntry(message.entry, message.agent,
                    dispatch::FateReceived{fateQuery->query.id, fateQuery->attempt, {}});
}

// The sender gets a time-out, but a copy of the message can still arrive.
void DispatchHarness::delay(std::size_t index)
{
    duplicate(index);
    lose(index);
}

void DispatchHarness::duplicate(std::size_t index)
{
    Message &message = m_messages[index];
    if (message.agent != None && !message.boundIncarnation)
        message.boundIncarnation = m_agents[message.agent].incarnation;
    Message copy = message;
    copy.isCopy = true;
    m_messages.push_back(std::move(copy));
}

void DispatchHarness::advance(absl::Duration by, bool confirm)
{
    m_now += by;
    for (Agent &agent : m_agents) {
        if (!confirm)
            continue;
        agent.admission->configurationConfirmed(m_now);
        agent.configurationConfirmedAt = m_now;
    }
    for (std::size_t entry = 0; entry < m_entries.size(); ++entry)
        apply(entry, dispatch::Tick{});
}

void DispatchHarness::runToCompletion()
{
    // Deadlines are at most 3.01 s ahead; 80 steps of 50 ms cover 4 s.
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
