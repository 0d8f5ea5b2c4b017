#include "virtualdispatch.h"

#include <algorithm>

namespace oleandercross::bench {

namespace {

constexpr absl::Duration Near = absl::Microseconds(100);
constexpr absl::Duration Far = absl::Microseconds(500);
constexpr absl::Duration TickPeriod = absl::Milliseconds(10);
constexpr absl::Duration HeartbeatPeriod = absl::Seconds(2);
// As the agent's daemon does, so that a silent connection can be told from a long request.
constexpr absl::Duration CallHold = absl::Seconds(1);

} // namespace

VirtualDispatch::VirtualDispatch(const MakeRoute &makeRoute, std::uint64_t seed, Grants grants)
    : m_grants(grants)
{
    for (int i = 0; i < Minions; ++i) {
        Agent agent;
        agent.target = {core::AgentId("agent" + std::to_string(i)), 1, core::MinionId("minion")};
        dispatch::AdmissionSettings settings;
        settings.agent = agent.target.agent;
        settings.incarnation = 1;
        agent.admission = std::make_unique<dispatch::Admission>(settings, m_now);
        agent.admission->setMinion(agent.target.minion, m_service, Slots);
        agent.table = std::make_unique<dispatch::RequestTable>(dispatch::RequestTableSettings(),
                                                               *agent.admission);
        m_agentIndex[agent.target.agent] = i;
        m_agents.push_back(std::move(agent));
    }
    for (int i = 0; i < Entries; ++i)
        m_entries.push_back(makeRoute(core::EntryId(std::to_string(i)), seed + i));
}

absl::Duration VirtualDispatch::distance(int entry, int agent)
{
    const bool near = agent % 3 == 2 || agent % 3 == entry;
    return near ? Near : Far;
}

void VirtualDispatch::later(absl::Duration delay, std::function<void()> run)
{
    m_queue.push({m_now + delay, m_sequence++, std::move(run)});
}

std::vector<LoadResult> VirtualDispatch::run(std::vector<LoadRequest> load)
{
    m_open = load.size();
    for (std::size_t i = 0; i < load.size(); ++i) {
        m_results.push_back({std::move(load[i]), {}, {}});
        later(m_results[i].request.at, [this, i] { arrive(static_cast<int>(i)); });
    }
    heartbeat();
    tick();
    while (m_open > 0) {
        const Timed next = m_queue.top();
        m_queue.pop();
        m_now = next.at;
        next.run();
    }
    return std::move(m_results);
}

void VirtualDispatch::tell(int entry, const dispatch::Event &event)
{
    for (const dispatch::Action &action : m_entries[entry](event, m_now))
        execute(entry, action);
}

void VirtualDispatch::arrive(int index)
{
    const LoadRequest &request = m_results[index].request;
    dispatch::RequestArrived event;
    event.id = core::RequestId(std::to_string(index));
    event.account = core::AccountId(request.account);
    event.service = m_service;
    event.deadline = m_now + request.deadline;
    event.bodyBytes = request.bodyBytes;
    m_index[event.id] = index;
    tell(index % Entries, event);
}

void VirtualDispatch::execute(int entry, const dispatch::Action &action)
{
    if (const auto *finish = std::get_if<dispatch::FinishRequest>(&action)) {
        LoadResult &result = m_results[m_index.at(finish->id)];
        result.outcome = finish->outcome;
        result.latency = m_now - (m_start + result.request.at);
        --m_open;
    } else if (const auto *send = std::get_if<dispatch::DispatchRequest>(&action)) {
        const int agent = m_agentIndex.at(send->message.target.agent);
        later(distance(entry, agent),
              [this, entry, agent, message = send->message] { atAgent(entry, agent, message); });
    } else if (const auto *ask = std::get_if<dispatch::SendFateQuery>(&action)) {
        const int agent = m_agentIndex.at(ask->query.target.agent);
        later(distance(entry, agent), [this, entry, agent, ask = *ask] {
            const auto report = m_agents[agent].table->fate(ask.query, m_now);
            later(distance(entry, agent), [this, entry, ask, report] {
                tell(entry, dispatch::FateReceived{ask.query.id, ask.attempt, report});
            });
        });
    } else if (const auto *slots = std::get_if<dispatch::SendSlotDemand>(&action)) {
        const int agent = m_agentIndex.at(slots->target.agent);
        ++m_slotMessages;
        later(distance(entry, agent), [this, entry, agent, slots = *slots] {
            m_agents[agent].admission->demand(core::EntryId(std::to_string(entry)),
                                              slots.target.minion, slots.slots, slots.shortSlots,
                                              m_now);
            grantSlots(agent, entry);
        });
    }
}

void VirtualDispatch::atAgent(int entry, int index, const dispatch::DispatchMessage &message)
{
    Agent &agent = m_agents[index];
    const dispatch::Receipt receipt = agent.table->receive(message, m_now);
    if (receipt.kind == dispatch::Receipt::Kind::Start) {
        const absl::Duration time = m_results[m_index.at(message.id)].request.serviceTime;
        later(time, [this, entry, index, message] { ended(entry, index, message); });
        if (time > CallHold)
            later(CallHold + distance(entry, index), [this, entry, message] {
                tell(entry, dispatch::DispatchUnknown{message.id, message.attempt, true});
            });
        return;
    }
    ++m_refusals;
    const auto load = agent.admission->load(message.target.minion, m_now);
    later(distance(entry, index), [this, entry, message, load, code = receipt.code] {
        tell(entry, dispatch::DispatchRefused{message.id, message.attempt, code, load});
    });
}

void VirtualDispatch::ended(int entry, int index, const dispatch::DispatchMessage &message)
{
    Agent &agent = m_agents[index];
    agent.table->finish(message.id, {true, "answer"}, m_now);
    const auto load = agent.admission->load(message.target.minion, m_now);
    if (m_results[m_index.at(message.id)].request.serviceTime <= CallHold)
        later(distance(entry, index), [this, entry, message, load] {
            tell(entry,
                 dispatch::DispatchAnswered{message.id, message.attempt, {true, "answer"}, load});
        });
    grantSlots(index, entry);
}

void VirtualDispatch::grantSlots(int index, int replyTo)
{
    const Agent &agent = m_agents[index];
    for (const dispatch::SlotGrant &grant : agent.admission->grant(m_now))
        m_pendingGrants[{index, std::stoi(grant.entry.str())}].push_back(
            {agent.target, grant.slots, grant.shortSlots, grant.validFor});
    for (int entry = 0; entry < Entries; ++entry) {
        if (m_grants == Grants::Pushed || entry == replyTo)
            deliverGrants(index, entry);
    }
}

void VirtualDispatch::deliverGrants(int index, int entry)
{
    for (const dispatch::SlotsGranted &grant : std::exchange(m_pendingGrants[{index, entry}], {})) {
        m_slotMessages += m_grants == Grants::Pushed ? 1 : 0;
        later(distance(entry, index), [this, entry, grant] { tell(entry, grant); });
    }
}

void VirtualDispatch::tick()
{
    for (int entry = 0; entry < Entries; ++entry)
        tell(entry, dispatch::Tick{});
    later(TickPeriod, [this] { tick(); });
}

void VirtualDispatch::heartbeat()
{
    for (int index = 0; index < Minions; ++index) {
        Agent &agent = m_agents[index];
        agent.admission->configurationConfirmed(m_now);
        dispatch::TargetAnnounced event;
        event.target = agent.target;
        event.service = m_service;
        event.slots = Slots;
        event.shortSlots = agent.admission->settings().shortSlots;
        event.load = agent.admission->load(agent.target.minion, m_now);
        event.agentUptime = agent.admission->uptime(m_now);
        for (int entry = 0; entry < Entries; ++entry) {
            event.distance = distance(entry, index);
            tell(entry, event);
        }
    }
    later(HeartbeatPeriod, [this] { heartbeat(); });
}

} // namespace oleandercross::bench
