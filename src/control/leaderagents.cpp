#include <oleandercross/control/leader.h>

#include "leaderlimits.h"

#include <oleandercross/telemetry/eventlog.h>

#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>

namespace oleandercross::control {

void Leader::applyAgents(std::map<std::string, http::Endpoint> agents)
{
    for (auto it = m_links.begin(); it != m_links.end();) {
        const auto found = agents.find(it->first);
        const bool same = found != agents.end() && found->second == it->second->address();
        if (same) {
            ++it;
            continue;
        }
        it->second->stop();
        m_retired.push_back(std::move(it->second));
        it = m_links.erase(it);
    }
    for (const auto &[agent, address] : agents) {
        if (m_links.contains(agent))
            continue;
        AgentLink::Callbacks callbacks;
        callbacks.onState = [this](const std::string &name, AgentState state, bool news) {
            absl::MutexLock lock(&m_mutex);
            m_inbox.states[name] = std::move(state);
            if (news)
                noteNews();
        };
        callbacks.onResults = [this](const std::string &name, const std::string &life,
                                     std::vector<planning::Order> orders,
                                     std::vector<OrderResult> results) {
            absl::MutexLock lock(&m_mutex);
            m_inbox.results.push_back({name, life, std::move(orders), std::move(results)});
            noteNews();
        };
        callbacks.onDeposed = [this](const std::string &name) {
            if (!m_deposed.exchange(true))
                telemetry::Event("leader_deposed").with("agent", name);
        };
        callbacks.mayPermit = [this] {
            return !m_deposed && m_clock.now() - m_log->lastCommit() < PermitFor;
        };
        m_links.emplace(
            agent,
            std::make_unique<AgentLink>(agent, address, epoch(), m_client, std::move(callbacks)));
    }
}

void Leader::dropOtherLives(const std::string &agent, const std::string &life)
{
    for (const std::string &other : livesInUse()) {
        if (other == life || !absl::StartsWith(other, agent + "/"))
            continue;
        telemetry::Event("worker_life_ended").with("life", other).with("by", life);
        m_planner.removeWorker(other);
    }
}

std::set<std::string> Leader::livesInUse() const
{
    std::set<std::string> lives;
    for (const auto &[key, worker] : m_planner.workers())
        lives.insert(key);
    for (const auto &[id, record] : m_planner.jobs()) {
        for (const auto &[number, occurrence] : record.occurrences()) {
            for (const planning::StepProgress &step : occurrence.steps) {
                for (const planning::Task &task : step.tasks) {
                    if (task.phase == planning::TaskPhase::Active)
                        lives.insert(task.worker);
                }
            }
        }
    }
    return lives;
}

void Leader::applyState(const std::string &agent, const AgentState &state, core::Instant now)
{
    if (!state.worker)
        return;
    const std::string life = lifeKey(agent, *state.worker);
    dropOtherLives(agent, life);
    m_lifeSeenAt[life] = state.receivedAt;
    planning::Worker worker;
    worker.key = life;
    worker.agent = agent;
    worker.service = state.worker->service;
    worker.rack = state.worker->rack;
    worker.labels = state.worker->labels;
    worker.capacity = state.worker->capacity;
    worker.draining = state.worker->draining;
    worker.accepting = state.listed && !state.gone && !state.worker->draining;
    if (state.worker->draining)
        worker.leavesAt = now + state.worker->leavesIn;
    applyRuns(life, state, worker, now);
    if (state.gone) {
        m_planner.removeWorker(life);
        return;
    }
    m_planner.updateWorker(worker);
}

void Leader::applyRuns(const std::string &life, const AgentState &state, planning::Worker &worker,
                       core::Instant now)
{
    if (state.listed)
        m_planner.beginListing(life);
    for (const EndedTask &ended : state.runs.ended) {
        if (m_planner.hasActiveRun(life, ended.run)) {
            m_metrics.add(absl::StrCat("runs_ended{how=\"", toString(ended.how), "\"}"));
            telemetry::Event("run_ended")
                .with("task", toString(ended.run.task))
                .with("run", ended.run.run)
                .with("worker", life)
                .with("how", toString(ended.how));
        }
        m_planner.runEnded(life, ended.run, ended.how, ended.checkpoint, now);
        std::int64_t &number = m_toAcknowledge[life];
        number = std::max(number, ended.number);
    }
    std::vector<planning::Order> stops;
    for (const RunningTask &running : state.runs.running) {
        if (m_planner.hasActiveRun(life, running.run)) {
            m_planner.runSeen(life, running.run, running.checkpoint, running.percent,
                              state.receivedAt - state.listedAge);
            continue;
        }
        // A gang completes as a whole; the other members' ends are on their way.
        if (m_planner.completed(running.run)) {
            worker.orphanedDemand = worker.orphanedDemand + m_planner.demandOf(running.run.task);
            continue;
        }
        worker.orphanedDemand = worker.orphanedDemand + m_planner.demandOf(running.run.task);
        stops.push_back({planning::Order::Kind::Stop, life, running.run, {}, {}, "unknown run"});
    }
    if (!state.gone)
        send(std::move(stops));
}

void Leader::applyResults(const Results &results)
{
    for (std::size_t i = 0; i < results.orders.size(); ++i) {
        const planning::Order &order = results.orders[i];
        if (results.results[i] == OrderResult::Absent)
            m_planner.runAbsent(results.life, order.run);
        if (order.kind != planning::Order::Kind::Start)
            continue;
        if (results.results[i] == OrderResult::Done)
            m_planner.startConfirmed(results.life, order.run);
        if (results.results[i] == OrderResult::Refused) {
            m_metrics.add("starts_refused");
            m_planner.startRefused(results.life, order.run);
        }
    }
}

void Leader::checkContacts(core::Instant now)
{
    for (const std::string &life : livesInUse()) {
        const std::string agent = life.substr(0, life.find('/'));
        const auto link = m_links.find(agent);
        const core::Instant answer =
            link == m_links.end() ? absl::InfinitePast() : link->second->lastAnswer();
        // An earlier leader may have given permits until it could not store anything any more.
        // An agent that answers, but does not name the life, does not extend its lease either.
        const auto seen = m_lifeSeenAt.find(life);
        const core::Instant named =
            seen == m_lifeSeenAt.end() ? absl::InfinitePast() : seen->second;
        const core::Instant permitted = std::max(named, m_began + PermitFor) + RenewalPermit;
        if (now > permitted + m_options.lease * (1 + ClockDrift) + LapseMargin) {
            telemetry::Event("worker_lease_over")
                .with("life", life)
                .with("silent_ms",
                      named == absl::InfinitePast() ? std::int64_t{-1}
                                                    : absl::ToInt64Milliseconds(now - named));
            m_planner.removeWorker(life);
            m_lifeSeenAt.erase(life);
            continue;
        }
        const auto worker = m_planner.workers().find(life);
        if (worker != m_planner.workers().end() && worker->second.accepting
            && now - answer > ContactFor) {
            planning::Worker silent = worker->second;
            silent.accepting = false;
            m_planner.updateWorker(silent);
        }
    }
}

void Leader::acknowledgeEnds()
{
    for (const auto &[life, number] : std::exchange(m_toAcknowledge, {})) {
        const auto link = m_links.find(life.substr(0, life.find('/')));
        if (link != m_links.end())
            link->second->acknowledge(life, number);
    }
}

void Leader::send(std::vector<planning::Order> orders)
{
    std::map<std::string, std::vector<planning::Order>> byLife;
    for (planning::Order &order : orders) {
        telemetry::Event(order.kind == planning::Order::Kind::Start ? "start_ordered"
                                                                    : "stop_ordered")
            .with("task", toString(order.run.task))
            .with("run", order.run.run)
            .with("worker", order.worker)
            .with("reason", order.reason);
        byLife[order.worker].push_back(std::move(order));
    }
    for (auto &[life, list] : byLife) {
        const auto link = m_links.find(life.substr(0, life.find('/')));
        if (link != m_links.end())
            link->second->send(life, std::move(list));
    }
}

} // namespace oleandercross::control
