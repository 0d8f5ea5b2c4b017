#include <oleandercross/control/leader.h>

#include "leaderlimits.h"

#include <oleandercross/telemetry/eventlog.h>

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
        const auto [incarnation, reportedAt] = it->second->lastReport();
        if (!incarnation.empty()) {
            core::Instant &seenAt =
                m_incarnationSeenAt.try_emplace(incarnation, absl::InfinitePast()).first->second;
            seenAt = std::max(seenAt, reportedAt);
        }
        m_nextTerms[it->first] = it->second->term().number + 1;
        m_stoppedLinks.push_back(std::move(it->second));
        it = m_links.erase(it);
    }
    for (const auto &[agent, address] : agents) {
        if (m_links.contains(agent))
            continue;
        AgentLink::Callbacks callbacks;
        callbacks.onState = [this](const std::string &name, AgentState state, bool stateChanged) {
            absl::MutexLock lock(&m_mutex);
            m_inbox.states[name] = std::move(state);
            if (stateChanged)
                notifyPendingWork();
        };
        callbacks.onResults = [this](const std::string &name, const std::string &incarnation,
                                     std::vector<planning::Order> orders,
                                     std::vector<OrderResult> results) {
            absl::MutexLock lock(&m_mutex);
            m_inbox.results.push_back({name, incarnation, std::move(orders), std::move(results)});
            notifyPendingWork();
        };
        callbacks.onDeposed = [this](const std::string &name) {
            if (!m_deposed.exchange(true))
                telemetry::Event("leader_deposed").with("agent", name);
        };
        callbacks.mayRenewPermit = [this] {
            return !m_deposed && m_clock.now() - m_log->lastCommit() < MaxCommitAgeForPermits;
        };
        callbacks.closedDataCentres = [this] { return m_closures->current(); };
        callbacks.startsUntil = [this] { return startsUntil(); };
        callbacks.mayOrderStarts = [this] { return mayOrderStarts(m_clock.now()); };
        m_links.emplace(agent,
                        std::make_unique<AgentLink>(agent, address,
                                                    Term{epoch(), m_nextTerms[agent]}, m_client,
                                                    std::move(callbacks)));
    }
}

void Leader::applyServices(const workload::Catalog &catalog)
{
    for (const auto &[service, enforcesCapacity] : catalog.serviceEnforcesCapacity)
        m_services.insert(service);
    for (const workload::Queue &queue : catalog.queues)
        m_services.insert(queue.terms.service);
    m_servicesConfigured = !m_services.empty();
    clearRejectedServices();
}

void Leader::clearRejectedServices()
{
    for (auto &[agent, link] : m_links)
        link->clearRejectedServices();
}

bool Leader::isKnownService(const std::string &service) const
{
    return !m_servicesConfigured || m_services.contains(service);
}

bool Leader::replaceOtherIncarnations(const std::string &agent, const std::string &incarnation,
                                      const AgentState &state, bool listed, core::Instant now)
{
    bool replaced = true;
    for (const std::string &other : m_planner.workerKeys(agent + "/")) {
        if (other == incarnation)
            continue;
        const auto worker = m_planner.workers().find(other);
        const bool known = worker != m_planner.workers().end();
        if (!listed && !state.workerLost) {
            // Starts for the other incarnation may still reach this one.
            replaced = false;
            closeWorker(other);
            continue;
        }
        moveRuns(other, incarnation, state.runs);
        if (state.runs.moreEnded && !state.workerLost) {
            // The other runs may be among the ends that are listed after an acknowledgement.
            closeWorker(other);
            continue;
        }
        telemetry::Event("worker_life_ended").with("life", other).with("by", incarnation);
        const bool draining = known && worker->second.draining;
        removeWorker(other, draining ? planning::WorkerEnd::Left : planning::WorkerEnd::Crashed,
                     now);
    }
    return replaced;
}

void Leader::closeWorker(const std::string &incarnation)
{
    const auto found = m_planner.workers().find(incarnation);
    if (found == m_planner.workers().end() || !found->second.accepting)
        return;
    planning::Worker closed = found->second;
    closed.accepting = false;
    m_planner.updateWorker(closed);
}

void Leader::moveRuns(const std::string &from, const std::string &to, const WorkerRuns &runs)
{
    const auto move = [&](const workload::RunKey &run) {
        if (!m_planner.moveRun(from, to, run))
            return;
        telemetry::Event("run_moved")
            .with("task", toString(run.task))
            .with("run", run.run)
            .with("worker", from)
            .with("to", to);
    };
    for (const RunningTask &running : runs.running)
        move(running.run);
    for (const EndedTask &ended : runs.ended)
        move(ended.run);
}

void Leader::removeWorker(const std::string &incarnation, planning::WorkerEnd end,
                          core::Instant now, const std::vector<workload::RunKey> &kept)
{
    const std::set<workload::RunKey> keptRuns(kept.begin(), kept.end());
    for (const workload::RunKey &run : m_planner.removeWorker(incarnation, end, now, keptRuns)) {
        const planning::Task *task = m_planner.job(run.task.job)->task(run.task);
        m_metrics.add(absl::StrCat("runs_lost{reason=\"", toString(end), "\"}"));
        telemetry::Event("run_lost")
            .with("task", toString(run.task))
            .with("run", run.run)
            .with("worker", incarnation)
            .with("reason", toString(end))
            .with("crashes", task ? task->crashes : 0)
            .with("start_crashes", task ? task->startCrashes : 0);
    }
}

void Leader::applyState(const std::string &agent, const AgentState &state, core::Instant now)
{
    const auto link = m_links.find(agent);
    if (link == m_links.end())
        return;
    if (!state.worker) {
        for (const std::string &incarnation : m_planner.workerKeys(agent + "/"))
            closeWorker(incarnation);
        return;
    }
    const std::string incarnation = incarnationKey(agent, *state.worker);
    const bool listed =
        state.listed && state.term >= link->second->term() && state.term.epoch == epoch();
    if (!isKnownService(state.worker->service) && m_planner.activeRunCount(incarnation) == 0) {
        link->second->rejectService(state.worker->service);
        return;
    }
    m_incarnationSeenAt[incarnation] = state.receivedAt;
    if (!replaceOtherIncarnations(agent, incarnation, state, listed, now))
        return;
    planning::Worker worker;
    worker.key = incarnation;
    worker.agent = agent;
    worker.service = state.worker->service;
    worker.rack = state.worker->rack;
    worker.dataCentre = state.worker->dataCentre;
    if (state.worker->warmUpRemaining > absl::ZeroDuration())
        worker.warmAt = state.receivedAt + state.worker->warmUpRemaining;
    worker.labels = state.worker->labels;
    worker.capacity = state.worker->capacity;
    worker.draining = state.worker->draining;
    worker.accepting =
        listed && !state.runs.moreEnded && !state.workerLost && !state.worker->draining;
    if (state.worker->draining)
        worker.leavesAt = now + state.worker->drainRemaining;
    // Ends that a lost worker has listed remain valid.
    if (listed || state.workerLost)
        applyRuns(incarnation, state, worker, now);
    if (state.workerLost) {
        removeWorker(incarnation,
                     state.workerCrashed          ? planning::WorkerEnd::Crashed
                         : state.worker->draining ? planning::WorkerEnd::Left
                                                  : planning::WorkerEnd::LeaseExpired,
                     now, state.lateStarts);
        return;
    }
    m_planner.updateWorker(worker);
}

void Leader::logIgnoredEnd(const std::string &incarnation, const EndedTask &ended) const
{
    const planning::JobRecord *record = m_planner.job(ended.run.task.job);
    const planning::Task *task = record ? record->task(ended.run.task) : nullptr;
    telemetry::Event("end_ignored")
        .with("task", toString(ended.run.task))
        .with("run", ended.run.run)
        .with("worker", incarnation)
        .with("how", toString(ended.how))
        .with("number", ended.number)
        .with("latest_run", task ? task->run : 0);
}

void Leader::applyRuns(const std::string &incarnation, const AgentState &state,
                       planning::Worker &worker, core::Instant now)
{
    m_planner.beginListing(incarnation);
    auto &[reporter, lastNumber] = m_lastEnd[worker.agent];
    if (reporter != incarnation) {
        reporter = incarnation;
        lastNumber = 0;
    }
    for (const EndedTask &ended : state.runs.ended) {
        const bool active = m_planner.hasActiveRun(incarnation, ended.run);
        if (m_planner.runEnded(incarnation, ended.run, ended.how, ended.checkpoint, now)) {
            m_metrics.add(absl::StrCat("runs_ended{how=\"", toString(ended.how), "\"}"));
            telemetry::Event("run_ended")
                .with("task", toString(ended.run.task))
                .with("run", ended.run.run)
                .with("worker", incarnation)
                .with("how", toString(ended.how))
                .with("given_up", !active);
        } else if (ended.number > lastNumber
                   && (ended.how != planning::RunEnd::Completed
                       || !m_planner.completed(ended.run))) {
            // A gang completes as a whole with the first end of a member.
            logIgnoredEnd(incarnation, ended);
        }
        lastNumber = std::max(lastNumber, ended.number);
        std::int64_t &number = m_toAcknowledge[incarnation];
        number = std::max(number, ended.number);
    }
    std::vector<planning::Order> stops;
    for (const RunningTask &running : state.runs.running) {
        if (m_planner.hasActiveRun(incarnation, running.run)) {
            m_planner.runSeen(incarnation, running.run, running.checkpoint, running.percent,
                              state.receivedAt - state.runListAge);
            continue;
        }
        // A gang completes as a whole; the ends of its other members are still to be reported.
        if (m_planner.completed(running.run)) {
            worker.orphanedDemand = worker.orphanedDemand + m_planner.demandOf(running.run.task);
            continue;
        }
        worker.orphanedDemand = worker.orphanedDemand + m_planner.demandOf(running.run.task);
        stops.push_back({planning::Order::Kind::Stop,
                         incarnation,
                         running.run,
                         {},
                         {},
                         "the run is not expected on this worker"});
    }
    if (!state.workerLost)
        send(std::move(stops));
}

void Leader::applyResults(const OrderResults &results)
{
    for (std::size_t i = 0; i < results.orders.size(); ++i) {
        const planning::Order &order = results.orders[i];
        if (results.results[i] == OrderResult::Absent)
            m_planner.runAbsent(results.incarnation, order.run, m_clock.now());
        if (order.kind != planning::Order::Kind::Start)
            continue;
        if (results.results[i] == OrderResult::Done)
            m_planner.startConfirmed(results.incarnation, order.run, m_clock.now());
        if (results.results[i] == OrderResult::NotSent)
            m_planner.startNotSent(results.incarnation, order.run);
        if (results.results[i] == OrderResult::Refused) {
            m_metrics.add("starts_refused");
            logRefusedStart(order, results.results[i]);
            m_planner.startRefused(results.incarnation, order.run);
        }
        if (results.results[i] == OrderResult::DataCentreClosed) {
            m_metrics.add("starts_refused_closed");
            logRefusedStart(order, results.results[i]);
            m_planner.startRefusedByClosure(results.incarnation, order.run, m_clock.now());
        }
    }
}

void Leader::handleUnresponsiveWorkers(core::Instant now)
{
    for (const std::string &incarnation : m_planner.workerKeys()) {
        const std::string agent = incarnation.substr(0, incarnation.find('/'));
        const auto link = m_links.find(agent);
        const core::Instant lastContact =
            link == m_links.end() ? absl::InfinitePast() : link->second->lastResponseTime();
        // An earlier leader may have renewed permits until MaxCommitAgeForPermits after its last
        // commit. An agent that responds without reporting the incarnation does not extend its
        // lease either.
        const auto seen = m_incarnationSeenAt.find(incarnation);
        const core::Instant lastReported =
            seen == m_incarnationSeenAt.end() ? absl::InfinitePast() : seen->second;
        const core::Instant permitEnd =
            std::max(lastReported, m_startedAt + MaxCommitAgeForPermits) + RenewalPermit;
        if (now > permitEnd + m_options.lease * (1 + MaxClockDriftFraction) + LeaseExpiryMargin) {
            if (link == m_links.end())
                ++m_nextTerms[agent];
            else if (!link->second->revoke(incarnation, lastReported))
                continue;
            telemetry::Event("worker_lease_over")
                .with("life", incarnation)
                .with("silent_ms",
                      lastReported == absl::InfinitePast()
                          ? std::int64_t{-1}
                          : absl::ToInt64Milliseconds(now - lastReported));
            removeWorker(incarnation, planning::WorkerEnd::LeaseExpired, now);
            m_incarnationSeenAt.erase(incarnation);
            continue;
        }
        if (now - lastContact > AgentContactTimeout)
            closeWorker(incarnation);
    }
}

void Leader::acknowledgeEndedRuns()
{
    for (const auto &[incarnation, number] : std::exchange(m_toAcknowledge, {})) {
        const auto link = m_links.find(incarnation.substr(0, incarnation.find('/')));
        if (link != m_links.end())
            link->second->acknowledge(incarnation, number);
    }
}

void Leader::send(std::vector<planning::Order> orders)
{
    std::map<std::string, std::vector<planning::Order>> ordersByIncarnation;
    for (planning::Order &order : orders) {
        telemetry::Event(order.kind == planning::Order::Kind::Start ? "start_ordered"
                                                                    : "stop_ordered")
            .with("task", toString(order.run.task))
            .with("run", order.run.run)
            .with("worker", order.worker)
            .with("reason", order.reason);
        ordersByIncarnation[order.worker].push_back(std::move(order));
    }
    for (auto &[incarnation, list] : ordersByIncarnation) {
        const auto link = m_links.find(incarnation.substr(0, incarnation.find('/')));
        if (link != m_links.end())
            link->second->send(incarnation, std::move(list));
    }
}

} // namespace oleandercross::control
