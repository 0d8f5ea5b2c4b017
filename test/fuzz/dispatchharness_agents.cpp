#include "dispatchharness.h"

namespace oleandercross::test {

void DispatchHarness::deliverToAgent(const Message &message)
{
    Agent &agent = m_agents[message.agent];
    if (const auto *dispatch = std::get_if<dispatch::DispatchRequest>(&*message.action)) {
        receive(message, dispatch->message);
    } else if (const auto *fateQuery = std::get_if<dispatch::SendFateQuery>(&*message.action)) {
        const dispatch::FateReport report = agent.table->fate(fateQuery->query, m_now);
        sendToEntry(message.entry, message.agent,
                    dispatch::FateReceived{fateQuery->query.id, fateQuery->attempt, report});
    } else if (const auto *cancel = std::get_if<dispatch::CancelAtTarget>(&*message.action)) {
        agent.table->cancel(cancel->id, m_now, cancel->agentUptime);
    } else if (const auto *slots = std::get_if<dispatch::SendSlotDemand>(&*message.action)) {
        if (slots->target == target(agent))
            agent.admission->demand(m_entries[message.entry].id, m_minion, slots->slots,
                                    slots->shortSlots, m_now);
        grantSlots(message.agent);
    }
}

void DispatchHarness::receive(const Message &message, const dispatch::DispatchMessage &dispatch)
{
    Agent &agent = m_agents[message.agent];
    const dispatch::Receipt receipt = agent.table->receive(dispatch, m_now);
    const auto load = agent.admission->load(m_minion, m_now);
    switch (receipt.kind) {
    case dispatch::Receipt::Kind::Start:
        recordExecution(agent, dispatch);
        agent.running.push_back({dispatch, message.entry, false});
        break;
    case dispatch::Receipt::Kind::Refused:
        sendToEntry(message.entry, message.agent,
                    dispatch::DispatchRefused{dispatch.id, dispatch.attempt, receipt.code, load});
        break;
    case dispatch::Receipt::Kind::Answered:
        sendToEntry(
            message.entry, message.agent,
            dispatch::DispatchAnswered{dispatch.id, dispatch.attempt, receipt.answer, load});
        break;
    case dispatch::Receipt::Kind::Unknown:
        sendToEntry(message.entry, message.agent,
                    dispatch::DispatchUnknown{dispatch.id, dispatch.attempt,
                                              receipt.code == core::ResultCode::StillRunning});
        break;
    }
}

void DispatchHarness::recordExecution(Agent &agent, const dispatch::DispatchMessage &dispatch)
{
    ++m_started;
    CallerRequest &request = m_requests.at(dispatch.id);
    ++request.executions;
    const int executionsOfKey = ++m_keyExecutions[request.key];
    if (!request.arrival.idempotent && executionsOfKey > 1)
        fail("non-idempotent request ran twice: " + dispatch.id.str());
    if (request.outcome && request.outcome->kind == dispatch::OutcomeKind::NotRun)
        fail("ran after it was refused as not run: " + dispatch.id.str());
    if (dispatch.target != target(agent))
        fail("ran under another incarnation: " + dispatch.id.str());
    if (agent.draining)
        fail("ran on a draining minion: " + dispatch.id.str());
    if (m_now - agent.configurationConfirmedAt > absl::Seconds(5))
        fail("ran under a stale configuration: " + dispatch.id.str());
    int longRequests = dispatch.shortWork ? 0 : 1;
    for (const RunningRequest &other : agent.running)
        longRequests += other.message.shortWork ? 0 : 1;
    if (static_cast<int>(agent.running.size()) >= Slots)
        fail("more requests than slots");
    if (longRequests > Slots - ShortSlots)
        fail("long work in slots kept for short work");
}

void DispatchHarness::finish(Agent &agent, std::size_t index, unsigned outcomeChoice)
{
    const RunningRequest request = agent.running[index];
    agent.running.erase(agent.running.begin() + static_cast<std::ptrdiff_t>(index));
    const std::size_t from = agentIndex(agent.id);
    const core::RequestId &id = request.message.id;
    dispatch::Event reply = dispatch::DispatchUnknown{id, request.message.attempt, false};
    if (outcomeChoice % 8 == 1) {
        agent.table->finishUnknown(id, m_now);
    } else if (outcomeChoice % 8 == 2) {
        // The minion was not reached, so the execution did not happen.
        --m_requests.at(id).executions;
        --m_keyExecutions[m_requests.at(id).key];
        agent.table->finishNotRun(id, core::ResultCode::NoTarget, m_now);
        reply = dispatch::DispatchRefused{id, request.message.attempt, core::ResultCode::NoTarget,
                                          agent.admission->load(m_minion, m_now)};
    } else {
        const dispatch::Answer answer = {outcomeChoice % 8 != 3, answerOf(id)};
        agent.table->finish(id, answer, m_now);
        reply = dispatch::DispatchAnswered{id, request.message.attempt, answer,
                                           agent.admission->load(m_minion, m_now)};
    }
    if (!request.replied)
        sendToEntry(request.entry, from, std::move(reply));
    grantSlots(from);
}

// The agent ends the long poll and reports that the request is still running.
void DispatchHarness::endHold(unsigned a, unsigned b)
{
    const std::size_t index = a % m_agents.size();
    Agent &agent = m_agents[index];
    if (agent.running.empty())
        return;
    RunningRequest &request = agent.running[b % agent.running.size()];
    if (request.replied)
        return;
    request.replied = true;
    sendToEntry(request.entry, index,
                dispatch::DispatchUnknown{request.message.id, request.message.attempt, true});
}

void DispatchHarness::grantSlots(std::size_t index)
{
    const Agent &agent = m_agents[index];
    for (const dispatch::SlotGrant &grant : agent.admission->grant(m_now)) {
        for (std::size_t entry = 0; entry < m_entries.size(); ++entry) {
            if (m_entries[entry].id == grant.entry)
                sendToEntry(entry, index,
                            dispatch::SlotsGranted{target(agent), grant.slots, grant.shortSlots,
                                                   grant.validFor});
        }
    }
}

void DispatchHarness::restart(Agent &agent)
{
    const std::size_t index = agentIndex(agent.id);
    for (const RunningRequest &request : agent.running) {
        if (!request.replied)
            sendToEntry(
                request.entry, index,
                dispatch::DispatchUnknown{request.message.id, request.message.attempt, false});
    }
    start(agent);
}

} // namespace oleandercross::test
