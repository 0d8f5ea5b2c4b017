#include <oleandercross/control/agent.h>

#include <oleandercross/core/digest.h>
#include <oleandercross/core/resultcode.h>
#include <oleandercross/telemetry/eventlog.h>

#include <algorithm>

namespace oleandercross::control {

namespace {

// How long the worker may delay its response to a renewal while no run ends.
constexpr absl::Duration RenewalWait = absl::Milliseconds(800);
// A worker on the same machine responds within a few milliseconds, also under load.
constexpr absl::Duration WorkerCallTimeout = absl::Milliseconds(700);
// The timeouts of successive attempts to start a run; starting a run is idempotent.
constexpr absl::Duration StartAttemptTimeouts[] = {absl::Milliseconds(150),
                                                   absl::Milliseconds(400)};
constexpr absl::Duration RetryDelay = absl::Milliseconds(100);
// How long to wait for the leader to acknowledge ended runs before they are listed again.
constexpr absl::Duration AcknowledgementTimeout = absl::Milliseconds(150);
// The number of consecutive refused connections after which the worker's process counts as exited.
constexpr int RefusedConnectionCountUntilLost = 2;

} // namespace

Agent::Agent(AgentOptions options, WorkerPort &port)
    : m_options(std::move(options))
    , m_port(port)
    , m_incarnation(core::randomHexId())
{
    absl::MutexLock lock(&m_mutex);
    m_state.incarnation = m_incarnation;
    m_state.version = 1;
}

Agent::~Agent()
{
    stop();
}

void Agent::start()
{
    m_renewalThread = std::thread([this] { renewLoop(); });
}

void Agent::stop()
{
    m_stopping = true;
    {
        absl::MutexLock lock(&m_mutex);
        m_stateChanged.signalAll();
    }
    if (m_renewalThread.joinable())
        m_renewalThread.join();
}

std::int64_t Agent::nowMs() const
{
    return absl::ToUnixMillis(m_clock.now());
}

void Agent::markChanged()
{
    ++m_state.version;
    m_stateChanged.signalAll();
}

bool Agent::sameIncarnation(const WorkerReport &worker) const
{
    return m_state.worker && m_state.worker->id == worker.id
        && m_state.worker->startedAtMs == worker.startedAtMs;
}

bool Agent::heartbeat(const WorkerReport &report)
{
    absl::MutexLock lock(&m_mutex);
    if (m_state.worker && !sameIncarnation(report)
        && report.startedAtMs < m_state.worker->startedAtMs) {
        telemetry::Event("heartbeat_ignored")
            .with("worker", report.id)
            .with("born", report.startedAtMs)
            .with("reason", "the heartbeat is from an earlier incarnation of the worker");
        return false;
    }
    if (sameIncarnation(report) && report.sequence < m_state.worker->sequence)
        return false;
    if (!sameIncarnation(report)) {
        telemetry::Event("worker_registered")
            .with("worker", report.id)
            .with("born", report.startedAtMs)
            .with("address", toString(report.address))
            .with("service", report.service)
            .with("rack", report.rack);
        m_state.workerLost = false;
        m_state.workerCrashed = false;
        m_state.listed = false;
        m_state.runs = {};
        m_acknowledged = 0;
        m_refusedConnections = 0;
        m_failingSince = absl::InfiniteFuture();
        m_workerClockMs = report.clockMs;
        m_workerClockAt = m_clock.now();
        // An earlier process of this agent may have extended the lease until now.
        m_leaseEnd = m_clock.now() + m_options.lease * (1 + MaxClockDriftFraction);
    } else if (report.draining && !m_state.worker->draining) {
        telemetry::Event("worker_draining")
            .with("worker", report.id)
            .with("leaves_in_ms", absl::ToInt64Milliseconds(report.drainRemaining));
    }
    if (sameIncarnation(report) && m_state.workerLost) {
        // A heartbeat proves that the worker is running, even if its connections failed.
        telemetry::Event("worker_back").with("worker", report.id);
        m_state.workerLost = false;
        m_state.workerCrashed = false;
        m_state.listed = false;
        m_refusedConnections = 0;
        m_failingSince = absl::InfiniteFuture();
        markChanged();
    }
    const bool stateChanged = !sameIncarnation(report)
        || report.draining != m_state.worker->draining
        || report.capacity != m_state.worker->capacity;
    m_state.worker = report;
    if (stateChanged)
        markChanged();
    return true;
}

void Agent::deregister(const std::string &workerId)
{
    absl::MutexLock lock(&m_mutex);
    if (!m_state.worker || m_state.worker->id != workerId)
        return;
    telemetry::Event("worker_left").with("worker", workerId);
    m_state.workerLost = true;
    markChanged();
}

bool Agent::acceptEpoch(const char *call, std::int64_t epoch, std::int64_t renewUntilMs)
{
    absl::MutexLock lock(&m_mutex);
    if (epoch < m_epoch) {
        core::fail(core::ResultCode::StaleEpoch, "the call is from the leader of an earlier epoch");
        return false;
    }
    if (epoch > m_epoch) {
        telemetry::Event("leader_adopted").with("epoch", epoch);
        m_epoch = epoch;
        m_stateChanged.signalAll();
    }
    m_lastContact = m_clock.now();
    const std::int64_t now = absl::ToUnixMillis(m_lastContact);
    if (m_renewUntilMs <= now && now < renewUntilMs) {
        telemetry::Event("permit_renewed")
            .with("call", call)
            .with("epoch", epoch)
            .with("permit_until", renewUntilMs)
            .with("expired_ms", m_renewUntilMs == 0 ? std::int64_t{-1} : now - m_renewUntilMs);
    }
    m_renewUntilMs = std::max(m_renewUntilMs, renewUntilMs);
    return true;
}

core::Instant Agent::lastContact() const
{
    absl::MutexLock lock(&m_mutex);
    return m_lastContact;
}

std::optional<AgentState> Agent::watch(const WatchCall &call)
{
    if (!acceptEpoch("watch", call.epoch, call.renewUntilMs))
        return std::nullopt;
    const core::Instant until = m_clock.now() + call.wait;
    absl::MutexLock lock(&m_mutex);
    while (call.agentIncarnation == m_incarnation && m_state.version <= call.since
           && m_epoch == call.epoch && !m_stopping) {
        const absl::Duration left = until - m_clock.now();
        if (left <= absl::ZeroDuration())
            break;
        m_stateChanged.waitFor(m_mutex, left);
    }
    AgentState state = m_state;
    state.clockMs = nowMs();
    state.runListAge = m_clock.now() - m_workerClockAt;
    return state;
}

std::optional<std::int64_t> Agent::leaseUntil() const
{
    const core::Instant now = m_clock.now();
    if (absl::ToUnixMillis(now) >= m_renewUntilMs)
        return std::nullopt;
    return m_workerClockMs + absl::ToInt64Milliseconds(now - m_workerClockAt + m_options.lease);
}

void Agent::renewLoop()
{
    while (!m_stopping) {
        bool idle = false;
        absl::Duration wait = RenewalWait;
        {
            absl::MutexLock lock(&m_mutex);
            idle = !m_state.worker || m_state.workerLost || m_epoch == 0;
            if (idle)
                m_stateChanged.waitFor(m_mutex, RenewalWait);
            else if (!m_state.listed)
                wait = absl::ZeroDuration();
        }
        if (!idle)
            renewOnce(wait);
    }
}

void Agent::renewOnce(absl::Duration wait)
{
    WorkerReport worker;
    RenewOrder order;
    {
        absl::MutexLock lock(&m_mutex);
        worker = *m_state.worker;
        order.acknowledged = m_acknowledged;
        order.leaseUntilMs = leaseUntil();
        order.fence = m_epoch;
        if (order.leaseUntilMs)
            m_leaseEnd = m_clock.now() + m_options.lease * (1 + MaxClockDriftFraction);
    }
    order.wait = wait;
    WorkerRuns runs;
    const OrderOutcome outcome = m_port.renew(worker, order, runs, wait + WorkerCallTimeout);
    if (outcome == OrderOutcome::Done) {
        updateRuns(worker, std::move(runs));
        absl::MutexLock lock(&m_mutex);
        const std::int64_t acknowledged = m_acknowledged;
        if (!m_state.runs.ended.empty() && acknowledged == order.acknowledged)
            m_stateChanged.waitFor(m_mutex, AcknowledgementTimeout);
        return;
    }
    recordFailure(worker, outcome);
    absl::MutexLock lock(&m_mutex);
    m_stateChanged.waitFor(m_mutex, RetryDelay);
}

void Agent::updateRuns(const WorkerReport &worker, WorkerRuns runs)
{
    absl::MutexLock lock(&m_mutex);
    if (!sameIncarnation(worker)
        || (runs.startedAtMs != 0 && runs.startedAtMs != worker.startedAtMs))
        return;
    m_refusedConnections = 0;
    m_failingSince = absl::InfiniteFuture();
    // Responses on different connections may arrive out of order.
    if (runs.clockMs < m_workerClockMs)
        return;
    m_workerClockMs = runs.clockMs;
    m_workerClockAt = m_clock.now();
    std::erase_if(runs.ended,
                  [this](const EndedTask &end) { return end.number <= m_acknowledged; });
    const auto sameRuns = [](const RunningTask &a, const RunningTask &b) { return a.run == b.run; };
    const bool stateChanged = !m_state.listed || runs.ended != m_state.runs.ended
        || !std::equal(runs.running.begin(), runs.running.end(), m_state.runs.running.begin(),
                       m_state.runs.running.end(), sameRuns);
    m_state.listed = true;
    m_state.runs = std::move(runs);
    if (stateChanged)
        markChanged();
}

void Agent::recordFailure(const WorkerReport &worker, OrderOutcome outcome)
{
    absl::MutexLock lock(&m_mutex);
    if (!sameIncarnation(worker) || m_state.workerLost)
        return;
    const core::Instant now = m_clock.now();
    if (m_failingSince == absl::InfiniteFuture()) {
        m_failingSince = now;
        telemetry::Event("worker_silent")
            .with("worker", worker.id)
            .with("outcome", toString(outcome))
            .with("reason", core::lastReason().message);
    }
    m_refusedConnections = outcome == OrderOutcome::NotListening ? m_refusedConnections + 1 : 0;
    const bool ended = m_refusedConnections >= RefusedConnectionCountUntilLost
        || outcome == OrderOutcome::OtherIncarnation;
    if (!ended && now < m_leaseEnd)
        return;
    m_state.workerLost = true;
    m_state.workerCrashed = ended && !m_state.worker->draining;
    telemetry::Event("worker_gone")
        .with("worker", worker.id)
        .with("outcome", toString(outcome))
        .with("lease_over", now >= m_leaseEnd);
    markChanged();
}

void Agent::logReceived(const OrderCall &call, bool applicable)
{
    const auto starts =
        std::count_if(call.orders.begin(), call.orders.end(), [](const planning::Order &order) {
            return order.kind == planning::Order::Kind::Start;
        });
    absl::MutexLock lock(&m_mutex);
    telemetry::Event("orders_received")
        .with("life", call.workerIncarnation)
        .with("applicable", applicable)
        .with("starts", static_cast<std::int64_t>(starts))
        .with("stops", static_cast<std::int64_t>(call.orders.size()) - starts)
        .with("permit_until", call.renewUntilMs)
        .with("permit_left_ms", call.renewUntilMs - nowMs())
        .with("held_permit_left_ms", m_renewUntilMs - nowMs());
}

std::optional<std::vector<OrderResult>> Agent::execute(const OrderCall &call)
{
    const core::Instant receivedAt = m_clock.now();
    if (!acceptEpoch("orders", call.epoch, call.renewUntilMs))
        return std::nullopt;
    WorkerReport worker;
    bool applicable = false;
    {
        absl::MutexLock lock(&m_mutex);
        applicable = m_state.worker && !m_state.workerLost
            && incarnationKey(m_options.name, *m_state.worker) == call.workerIncarnation;
        if (applicable) {
            worker = *m_state.worker;
            if (call.acknowledged > m_acknowledged) {
                m_acknowledged = call.acknowledged;
                std::erase_if(m_state.runs.ended, [this](const EndedTask &end) {
                    return end.number <= m_acknowledged;
                });
                m_stateChanged.signalAll();
            }
        }
    }
    if (!call.orders.empty())
        logReceived(call, applicable);
    std::vector<OrderResult> results;
    for (const planning::Order &order : call.orders)
        results.push_back(applicable ? execute(worker, order, call.epoch, receivedAt)
                                     : OrderResult::NotApplicable);
    return results;
}

OrderResult Agent::execute(const WorkerReport &worker, const planning::Order &order,
                           std::int64_t epoch, core::Instant receivedAt)
{
    const bool starts = order.kind == planning::Order::Kind::Start;
    const OrderResult result =
        starts ? start(worker, order, epoch) : stopRun(worker, order.run, epoch);
    telemetry::Event(starts ? "start_carried_out" : "stop_carried_out")
        .with("task", toString(order.run.task))
        .with("run", order.run.run)
        .with("worker", worker.id)
        .with("epoch", epoch)
        .with("since_call_ms", absl::ToInt64Milliseconds(m_clock.now() - receivedAt))
        .with("result", toString(result))
        .with("reason", result == OrderResult::Done ? "" : core::lastReason().message);
    return result;
}

OrderResult Agent::start(const WorkerReport &worker, const planning::Order &order,
                         std::int64_t epoch)
{
    for (const absl::Duration timeout : StartAttemptTimeouts) {
        StartOrder start{order.run, order.payload, order.checkpoint, 0, epoch};
        {
            absl::MutexLock lock(&m_mutex);
            const std::optional<std::int64_t> until = leaseUntil();
            if (!until || epoch < m_epoch || !sameIncarnation(worker)) {
                core::fail(core::ResultCode::StaleEpoch, "the leader's permit has expired");
                return OrderResult::NotApplicable;
            }
            if (m_state.worker->draining) {
                core::fail(core::ResultCode::Draining, "the worker is draining");
                return OrderResult::Refused;
            }
            start.leaseUntilMs = *until;
            m_leaseEnd = m_clock.now() + m_options.lease * (1 + MaxClockDriftFraction);
        }
        const OrderOutcome outcome = m_port.start(worker, start, timeout);
        if (outcome == OrderOutcome::Done) {
            recordStart(worker, order.run);
            return OrderResult::Done;
        }
        if (outcome == OrderOutcome::Refused)
            return OrderResult::Refused;
        if (outcome != OrderOutcome::Unanswered)
            return OrderResult::NotApplicable;
    }
    return OrderResult::Unanswered;
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
                           std::int64_t epoch)
{
    const OrderOutcome outcome = m_port.stop(worker, run, epoch, WorkerCallTimeout);
    if (outcome != OrderOutcome::Done)
        return outcome == OrderOutcome::Refused ? OrderResult::Refused : OrderResult::Unanswered;
    // If the run has not started yet, the worker blocks its start and does not list it as ended.
    RenewOrder query;
    WorkerRuns runs;
    {
        absl::MutexLock lock(&m_mutex);
        query.acknowledged = m_acknowledged;
    }
    query.fence = epoch;
    if (m_port.renew(worker, query, runs, WorkerCallTimeout) != OrderOutcome::Done)
        return OrderResult::Unanswered;
    const bool listed = std::any_of(runs.running.begin(), runs.running.end(),
                                    [&run](const RunningTask &task) { return task.run == run; })
        || std::any_of(runs.ended.begin(), runs.ended.end(),
                       [&run](const EndedTask &task) { return task.run == run; });
    updateRuns(worker, std::move(runs));
    return listed ? OrderResult::Done : OrderResult::Absent;
}

} // namespace oleandercross::control
