#include "world.h"

#include <absl/strings/str_cat.h>

#include <algorithm>

namespace oleandercross::fuzz {

namespace {

constexpr core::Resources WorkerSize{4, 16, 65536};
constexpr absl::Duration Tick = absl::Milliseconds(100);
constexpr absl::Duration CallTimeout = absl::Milliseconds(400);

} // namespace

bool World::isRunning(const WorkerTask &task) const
{
    return task.status.state == platform::TaskState::Running && m_now < task.leaseEnd;
}

void World::startAgent(AgentNode &agent)
{
    agent.process.alive = true;
    agent.highestSeenEpoch = 0;
    gang::LedgerSettings settings;
    settings.self = {core::AgentId(absl::StrCat("agent", agent.index)), absl::StrCat(agent.index)};
    settings.incarnation = absl::ToUnixMicros(m_now);
    settings.total = WorkerSize;
    agent.ledger = std::make_unique<gang::Ledger>(settings);
    post(agent.process, absl::Milliseconds(randomBelow(100)), [this, &agent] { tickAgent(agent); });
}

void World::tickAgent(AgentNode &agent)
{
    applyLedger(agent, gang::LedgerTick{});
    post(agent.process, Tick, [this, &agent] { tickAgent(agent); });
}

gang::LedgerResult World::applyLedger(AgentNode &agent, const gang::LedgerEvent &event)
{
    gang::LedgerResult result = agent.ledger->apply(event, m_now);
    // Each action is a separate event, so that crashes and pauses can occur between actions.
    for (const gang::LedgerAction &action : result.actions) {
        post(agent.process, absl::Microseconds(randomBelow(2000)), [this, &agent, action] {
            if (beginAction(agent.process))
                execute(agent, action);
        });
    }
    return result;
}

void World::execute(AgentNode &agent, const gang::LedgerAction &action)
{
    std::visit([this, &agent](const auto &concrete) { perform(agent, concrete); }, action);
}

void World::perform(AgentNode &agent, const gang::StartWorkerTask &action)
{
    const std::string id = action.task.taskId;
    const auto answer = [this, &agent, id](gang::CallOutcome outcome, absl::Duration delay) {
        post(agent.process, delay, [this, &agent, id, outcome] {
            applyLedger(agent, gang::StartAnswered{id, outcome});
        });
    };
    if (m_now > action.notAfter)
        return answer(gang::CallOutcome::NotDone, absl::ZeroDuration());
    const bool silent = m_now < agent.workerSilentUntil;
    if (silent && chance(0.5))
        return answer(gang::CallOutcome::Unknown, CallTimeout);
    platform::TaskStart task = action.task;
    task.lease = action.leaseUntil - m_now;
    const absl::Duration delay = silent ? absl::Milliseconds(randomBelow(300)) : latency();
    schedule(delay, [this, &agent, task] { runOnWorker(agent, task); });
    if (silent)
        answer(gang::CallOutcome::Unknown, CallTimeout);
    else
        answer(gang::CallOutcome::Done, delay + latency());
}

void World::runOnWorker(AgentNode &agent, const platform::TaskStart &task)
{
    if (agent.worker.contains(task.taskId))
        return;
    core::Resources used = task.resources;
    for (const auto &[id, other] : agent.worker) {
        if (!isRunning(other))
            continue;
        used = used + other.status.declared;
        for (const int index : task.accelerators) {
            if (std::ranges::count(other.status.accelerators, index) > 0)
                reportViolation(absl::StrCat("accelerator ", index, " of agent", agent.index,
                                             " used twice by ", id, " and ", task.taskId));
        }
    }
    if (!fits(used, WorkerSize))
        reportViolation(absl::StrCat("agent", agent.index, " started more than fits"));
    const auto identity = *gang::parseTaskId(task.taskId);
    if (!m_leaders.contains(identity.epoch))
        reportViolation(absl::StrCat(task.taskId, " started without a leader of its epoch"));
    platform::TaskStatus status;
    status.taskId = task.taskId;
    status.job = task.job;
    status.declared = task.resources;
    status.accelerators = task.accelerators;
    agent.worker[task.taskId] = {status, m_now + task.lease, identity};
    schedule(task.lease, [] {});
}

void World::perform(AgentNode &agent, const gang::StopWorkerTask &action)
{
    if (m_now < agent.workerSilentUntil)
        return;
    schedule(latency(), [&agent, this, id = action.taskId] {
        const auto it = agent.worker.find(id);
        if (it != agent.worker.end() && isRunning(it->second))
            it->second.status.state = platform::TaskState::Stopped;
    });
}

void World::perform(AgentNode &agent, const gang::RenewTaskLeases &action)
{
    const absl::Duration lease = action.until - m_now;
    if (lease <= absl::ZeroDuration() || m_now < agent.workerSilentUntil)
        return;
    schedule(latency(), [this, &agent, action, lease] {
        for (const std::string &id : action.taskIds) {
            const auto it = agent.worker.find(id);
            if (it == agent.worker.end() || !isRunning(it->second))
                continue;
            it->second.leaseEnd = m_now + lease;
            schedule(lease, [] {});
        }
    });
}

void World::perform(AgentNode &agent, const gang::ListWorkerTasks &)
{
    if (m_now < agent.workerSilentUntil)
        return;
    const Instant sentAt = m_now;
    const int generation = agent.process.generation;
    schedule(latency(), [this, &agent, sentAt, generation] {
        gang::TasksListed listed{sentAt, {}};
        for (auto &[id, task] : agent.worker) {
            if (task.status.state == platform::TaskState::Running && !isRunning(task))
                task.status.state = platform::TaskState::Stopped;
            listed.tasks.push_back(task.status);
        }
        if (agent.process.generation != generation)
            return;
        post(agent.process, latency(), [this, &agent, listed] { applyLedger(agent, listed); });
    });
}

void World::perform(AgentNode &agent, const gang::ForgetWorkerTasks &action)
{
    for (const std::string &id : action.taskIds) {
        const auto it = agent.worker.find(id);
        if (it != agent.worker.end() && !isRunning(it->second))
            agent.worker.erase(it);
    }
}

void World::perform(AgentNode &agent, const gang::PollPeer &action)
{
    const std::string from = absl::StrCat("agent", agent.index);
    const std::string to = action.peer.agent.str();
    if (isCut(from, to) || chance(m_messageLoss))
        return;
    AgentNode &peer = m_agents[static_cast<std::size_t>(std::stoi(action.peer.address))];
    const Instant sentAt = m_now;
    const int generation = agent.process.generation;
    deliver(peer.process, latency(), [this, &agent, &peer, action, from, to, sentAt, generation] {
        const gang::WatchAnswer answer = applyLedger(peer, action.message).watch;
        if (isCut(from, to) || chance(m_messageLoss) || agent.process.generation != generation)
            return;
        post(agent.process, latency(), [this, &agent, &peer, action, sentAt, answer] {
            applyLedger(agent,
                        gang::PeerAnswered{action.message.key, action.peer.agent, sentAt, answer});
        });
    });
}

} // namespace oleandercross::fuzz
