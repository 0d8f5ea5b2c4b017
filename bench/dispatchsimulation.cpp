#include "dispatchsimulation.h"

#include <algorithm>

namespace oleandercross::bench {

namespace {

constexpr absl::Duration NearMessageDelay = absl::Microseconds(100);
constexpr absl::Duration FarMessageDelay = absl::Microseconds(500);
constexpr absl::Duration TickPeriod = absl::Milliseconds(10);
constexpr absl::Duration HeartbeatPeriod = absl::Seconds(2);
// An agent reports a longer request as running after this time, as the daemon does, so that entries
// can distinguish a silent connection from a long request.
constexpr absl::Duration RunningReportDelay = absl::Seconds(1);

} // namespace

DispatchSimulation::DispatchSimulation(const DispatchLogicFactory &makeLogic, std::uint64_t seed,
                                       GrantDelivery grants)
    : m_grantDelivery(grants)
{
    for (int i = 0; i < Minions; ++i) {
        Agent agent;
        agent.target = {core::AgentId("agent" + std::to_string(i)), 1, core::MinionId("minion")};
        dispatch::AdmissionSettings settings;
        settings.agent = agent.target.agent;
        settings.incarnation = 1;
        agent.admission = std::make_unique<dispatch::Admission>(settings, m_now);
        agent.admission->setMinion(agent.target.minion, m_service, SlotsPerMinion);
        agent.table = std::make_unique<dispatch::RequestTable>(dispatch::RequestTableSettings(),
                                                               *agent.admission);
        m_agentIndex[agent.target.agent] = i;
        m_agents.push_back(std::move(agent));
    }
    for (int i = 0; i < Entries; ++i)
        m_entries.push_back(makeLogic(core::EntryId(std::to_string(i)), seed + i));
}

absl::Duration DispatchSimulation::messageDelay(int entry, int agent)
{
    const bool near = agent % 3 == 2 || agent % 3 == entry;
    return near ? NearMessageDelay : FarMessageDelay;
}

void DispatchSimulation::schedule(absl::Duration delay, std::function<void()> run)
{
    m_queue.push({m_now + delay, m_sequence++, std::move(run)});
}

std::vector<LoadResult> DispatchSimulation::run(std::vector<LoadRequest> load)
{
    m_unfinishedCount = load.size();
    for (std::size_t i = 0; i < load.size(); ++i) {
        m_results.push_back({std::move(load[i]), {}, {}});
        schedule(m_results[i].request.arrival, [this, i] { handleArrival(static_cast<int>(i)); });
    }
    sendHeartbeats();
    tickEntries();
    while (m_unfinishedCount > 0) {
        const TimedEvent next = m_queue.top();
        m_queue.pop();
        m_now = next.at;
        next.run();
    }
    return std::move(m_results);
}

void DispatchSimulation::notifyEntry(int entry, const dispatch::Event &event)
{
    for (const dispatch::Action &action : m_entries[entry](event, m_now))
        execute(entry, action);
}

void DispatchSimulation::handleArrival(int index)
{
    const LoadRequest &request = m_results[index].request;
    dispatch::RequestArrived event;
    event.id = core::RequestId(std::to_string(index));
    event.account = core::AccountId(request.account);
    event.service = m_service;
    event.deadline = m_now + request.deadline;
    event.bodyBytes = request.bodyBytes;
    m_requestIndex[event.id] = index;
    notifyEntry(index % Entries, event);
}

void DispatchSimulation::execute(int entry, const dispatch::Action &action)
{
    if (const auto *finish = std::get_if<dispatch::FinishRequest>(&action)) {
        LoadResult &result = m_results[m_requestIndex.at(finish->id)];
        result.outcome = finish->outcome;
        result.latency = m_now - (m_startTime + result.request.arrival);
        --m_unfinishedCount;
    } else if (const auto *send = std::get_if<dispatch::DispatchRequest>(&action)) {
        const int agent = m_agentIndex.at(send->message.target.agent);
        schedule(messageDelay(entry, agent), [this, entry, agent, message = send->message] {
            receiveAtAgent(entry, agent, message);
        });
    } else if (const auto *query = std::get_if<dispatch::SendFateQuery>(&action)) {
        const int agent = m_agentIndex.at(query->query.target.agent);
        schedule(messageDelay(entry, agent), [this, entry, agent, query = *query] {
            const auto report = m_agents[agent].table->fate(query.query, m_now);
            schedule(messageDelay(entry, agent), [this, entry, query, report] {
                notifyEntry(entry, dispatch::FateReceived{query.query.id, query.attempt, report});
            });
        });
    } else if (const auto *slots = std::get_if<dispatch::SendSlotDemand>(&action)) {
        const int agent = m_agentIndex.at(slots->target.agent);
        ++m_slotMessages;
        schedule(messageDelay(entry, agent), [this, entry, agent, slots = *slots] {
            m_agents[agent].admission->demand(core::EntryId(std::to_string(entry)),
                                              slots.target.minion, slots.slots, slots.shortSlots,
                                              m_now);
            grantSlots(agent, entry);
        });
    }
}

void DispatchSimulation::receiveAtAgent(int entry, int index,
                                        const dispatch::DispatchMessage &message)
{
    Agent &agent = m_agents[index];
    const dispatch::Receipt receipt = agent.table->receive(message, m_now);
    if (receipt.kind == dispatch::Receipt::Kind::Start) {
        const absl::Duration time = m_results[m_requestIndex.at(message.id)].request.serviceTime;
        schedule(time, [this, entry, index, message] { finishAtAgent(entry, index, message); });
        if (time > RunningReportDelay)
            schedule(RunningReportDelay + messageDelay(entry, index), [this, entry, message] {
                notifyEntry(entry, dispatch::DispatchUnknown{message.id, message.attempt, true});
            });
        return;
    }
    ++m_refusals;
    const auto load = agent.admission->load(message.target.minion, m_now);
    schedule(messageDelay(entry, index), [this, entry, message, load, code = receipt.code] {
        notifyEntry(entry, dispatch::DispatchRefused{message.id, message.attempt, code, load});
    });
}

void DispatchSimulation::finishAtAgent(int entry, int index,
                                       const dispatch::DispatchMessage &message)
{
    Agent &agent = m_agents[index];
    agent.table->finish(message.id, {true, "answer"}, m_now);
    const auto load = agent.admission->load(message.target.minion, m_now);
    if (m_results[m_requestIndex.at(message.id)].request.serviceTime <= RunningReportDelay)
        schedule(messageDelay(entry, index), [this, entry, message, load] {
            notifyEntry(
                entry,
                dispatch::DispatchAnswered{message.id, message.attempt, {true, "answer"}, load});
        });
    grantSlots(index, entry);
}

void DispatchSimulation::grantSlots(int index, int replyTo)
{
    const Agent &agent = m_agents[index];
    for (const dispatch::SlotGrant &grant : agent.admission->grant(m_now))
        m_pendingGrants[{index, std::stoi(grant.entry.str())}].push_back(
            {agent.target, grant.slots, grant.shortSlots, grant.validFor});
    for (int entry = 0; entry < Entries; ++entry) {
        if (m_grantDelivery == GrantDelivery::Pushed || entry == replyTo)
            deliverGrants(index, entry);
    }
}

void DispatchSimulation::deliverGrants(int index, int entry)
{
    for (const dispatch::SlotsGranted &grant : std::exchange(m_pendingGrants[{index, entry}], {})) {
        m_slotMessages += m_grantDelivery == GrantDelivery::Pushed ? 1 : 0;
        schedule(messageDelay(entry, index), [this, entry, grant] { notifyEntry(entry, grant); });
    }
}

void DispatchSimulation::tickEntries()
{
    for (int entry = 0; entry < Entries; ++entry)
        notifyEntry(entry, dispatch::Tick{});
    schedule(TickPeriod, [this] { tickEntries(); });
}

void DispatchSimulation::sendHeartbeats()
{
    for (int index = 0; index < Minions; ++index) {
        Agent &agent = m_agents[index];
        agent.admission->configurationConfirmed(m_now);
        dispatch::TargetAnnounced event;
        event.target = agent.target;
        event.service = m_service;
        event.slots = SlotsPerMinion;
        event.shortSlots = agent.admission->settings().shortSlots;
        event.load = agent.admission->load(agent.target.minion, m_now);
        event.agentUptime = agent.admission->uptime(m_now);
        for (int entry = 0; entry < Entries; ++entry) {
            event.distance = messageDelay(entry, index);
            notifyEntry(entry, event);
        }
    }
    schedule(HeartbeatPeriod, [this] { sendHeartbeats(); });
}

} // namespace oleandercross::bench
