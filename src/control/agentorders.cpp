#include <oleandercross/control/agent.h>

#include "agentlimits.h"

#include <oleandercross/core/resultcode.h>
#include <oleandercross/telemetry/eventlog.h>

#include <algorithm>

namespace oleandercross::control {

namespace {

// The timeouts of successive attempts to start a run; starting a run is idempotent.
constexpr absl::Duration StartAttemptTimeouts[] = {absl::Milliseconds(150),
                                                   absl::Milliseconds(400)};
// A worker carries out a call that it has not answered up to this much later.
constexpr absl::Duration MaxCallDelay = absl::Seconds(12);
// A boot that has begun is reported and confirmed within this time, twice the period of heartbeats.
constexpr absl::Duration MaxReportDelay = absl::Seconds(3);

} // namespace

OrderResult Agent::execute(const WorkerReport &worker, const planning::Order &order,
                           const Term &term, core::Instant receivedAt)
{
    const bool starts = order.kind == planning::Order::Kind::Start;
    const OrderResult result =
        starts ? start(worker, order, term) : stopRun(worker, order.run, term);
    telemetry::Event(starts ? "start_carried_out" : "stop_carried_out")
        .with("task", toString(order.run.task))
        .with("run", order.run.run)
        .with("worker", worker.id)
        .with("epoch", term.epoch)
        .with("term", term.number)
        .with("since_call_ms", absl::ToInt64Milliseconds(m_clock.now() - receivedAt))
        .with("result", toString(result))
        .with("reason", result == OrderResult::Done ? "" : core::lastReason().message);
    return result;
}

OrderResult Agent::start(const WorkerReport &worker, const planning::Order &order, const Term &term)
{
    bool unanswered = false;
    for (const absl::Duration timeout : StartAttemptTimeouts) {
        const std::optional<StartOrder> start = beginStart(worker, order, term);
        if (!start) {
            const core::ResultCode reason = core::lastReason().code;
            const OrderResult result = resultOfUnsentStart(worker, order.run, term);
            if (reason == core::ResultCode::DataCentreClosed)
                return result == OrderResult::NotSent ? OrderResult::DataCentreClosed
                                                      : OrderResult::Unanswered;
            return reason == core::ResultCode::Draining ? OrderResult::Refused : result;
        }
        const OrderOutcome outcome = m_port.start(worker, *start, timeout);
        endStart(worker, order.run, outcome);
        if (outcome == OrderOutcome::Done) {
            recordStart(worker, order.run);
            return OrderResult::Done;
        }
        if (outcome == OrderOutcome::Refused)
            return OrderResult::Refused;
        unanswered = unanswered || outcome == OrderOutcome::Unanswered;
        if (outcome != OrderOutcome::Unanswered && outcome != OrderOutcome::NotSent)
            return resultOfUnsentStart(worker, order.run, term);
    }
    return unanswered ? OrderResult::Unanswered : resultOfUnsentStart(worker, order.run, term);
}

OrderResult Agent::resultOfUnsentStart(const WorkerReport &worker, const workload::RunKey &run,
                                       const Term &term) const
{
    absl::MutexLock lock(&m_mutex);
    // Starts of another incarnation or an earlier term are not recorded any more.
    const bool recorded = sameIncarnation(worker) && term == m_term;
    return recorded && !mayHaveStarted(run) ? OrderResult::NotSent : OrderResult::NotApplicable;
}

bool Agent::mayHaveStarted(const workload::RunKey &run) const
{
    const auto same = [&run](const auto &task) { return task.run == run; };
    const WorkerRuns &runs = m_state.runs;
    return m_sentStarts.contains(run) || m_startsUnderWay.contains(run)
        || std::any_of(runs.running.begin(), runs.running.end(), same)
        || std::any_of(runs.ended.begin(), runs.ended.end(), same);
}

std::optional<StartOrder> Agent::beginStart(const WorkerReport &worker,
                                            const planning::Order &order, const Term &term)
{
    absl::MutexLock lock(&m_mutex);
    while (m_acknowledging && !m_stopping)
        m_stateChanged.waitFor(m_mutex, WorkerRetryDelay);
    const std::optional<std::int64_t> until = leaseUntil();
    if (!until || term != m_term || !sameIncarnation(worker) || m_state.workerLost)
        return core::fail(core::ResultCode::StaleEpoch, "the leader's permit has expired");
    if (m_refusedConnections > 0)
        return core::fail(core::ResultCode::ConnectionFailed, "the worker may have exited");
    if (m_state.worker->draining)
        return core::fail(core::ResultCode::Draining, "the worker is draining");
    const core::Instant now = m_clock.now();
    if (absl::ToUnixMillis(now) >= m_startsUntilMs)
        return core::fail(core::ResultCode::StaleConfiguration,
                          "the leader's set of closed data centres is too old");
    const auto expired = [now](const auto &start) { return start.second <= now; };
    std::erase_if(m_sentStarts, expired);
    std::erase_if(m_refusedStarts, expired);
    if (m_closed.contains(m_state.worker->dataCentre) || m_refusedStarts.contains(order.run)) {
        m_refusedStarts[order.run] = now + MaxCallDelay + MaxReportDelay;
        return core::fail(core::ResultCode::DataCentreClosed,
                          "318 DataCentreClosed: the data centre " + m_state.worker->dataCentre
                              + " is closed");
    }
    m_startsUnderWay.insert(order.run);
    ++m_startsSent;
    m_leaseEnd = m_clock.now() + m_options.lease * (1 + MaxClockDriftFraction);
    return StartOrder{order.run, order.payload, order.checkpoint, *until, fencingToken(term)};
}

void Agent::endStart(const WorkerReport &worker, const workload::RunKey &run, OrderOutcome outcome)
{
    absl::MutexLock lock(&m_mutex);
    m_startsUnderWay.erase(m_startsUnderWay.find(run));
    if (m_startsUnderWay.empty())
        m_stateChanged.signalAll();
    const core::Instant now = m_clock.now();
    std::erase_if(m_lateStarts, [now](const auto &start) { return start.second <= now; });
    const core::Instant copiesUntil = now + MaxCallDelay + MaxReportDelay;
    if (outcome == OrderOutcome::Unanswered)
        m_lateStarts[run] = copiesUntil;
    if (!sameIncarnation(worker))
        return;
    if (outcome == OrderOutcome::OtherIncarnation)
        recordRestart();
    else if (outcome != OrderOutcome::NotSent && outcome != OrderOutcome::NotListening)
        m_sentStarts[run] = copiesUntil;
}

void Agent::recordStart(const WorkerReport &worker, const workload::RunKey &run)
{
    absl::MutexLock lock(&m_mutex);
    const auto same = [&run](const auto &task) { return task.run == run; };
    const WorkerRuns &runs = m_state.runs;
    if (!sameIncarnation(worker) || std::any_of(runs.running.begin(), runs.running.end(), same)
        || std::any_of(runs.ended.begin(), runs.ended.end(), same))
        return;
    // The next renewal replaces this with the worker's own list.
    m_state.runs.running.push_back({run, {}, 0});
}

OrderResult Agent::stopRun(const WorkerReport &worker, const workload::RunKey &run,
                           const Term &term)
{
    const OrderOutcome outcome = m_port.stop(worker, run, fencingToken(term), WorkerCallTimeout);
    if (outcome != OrderOutcome::Done)
        return outcome == OrderOutcome::Refused ? OrderResult::Refused : OrderResult::Unanswered;
    // If the run has not started yet, the worker blocks its start and does not list it as ended.
    RenewOrder query;
    WorkerRuns runs;
    query.fence = fencingToken(term);
    if (m_port.renew(worker, query, runs, WorkerCallTimeout) != OrderOutcome::Done)
        return OrderResult::Unanswered;
    const bool listed = std::any_of(runs.running.begin(), runs.running.end(),
                                    [&run](const RunningTask &task) { return task.run == run; })
        || std::any_of(runs.ended.begin(), runs.ended.end(),
                       [&run](const EndedTask &task) { return task.run == run; });
    const bool complete = !runs.moreEnded;
    updateRuns(worker, term, std::move(runs));
    if (listed)
        return OrderResult::Done;
    absl::MutexLock lock(&m_mutex);
    if (!complete || m_startsUnderWay.contains(run)) {
        core::fail(core::ResultCode::BadAnswer,
                   complete ? "a start of the run is under way"
                            : "the worker has more ended runs than it lists");
        return OrderResult::Unanswered;
    }
    return OrderResult::Absent;
}

} // namespace oleandercross::control
