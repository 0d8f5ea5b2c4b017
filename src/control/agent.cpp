#include <oleandercross/control/agent.h>

#include "agentlimits.h"

#include <oleandercross/core/digest.h>
#include <oleandercross/core/resultcode.h>
#include <oleandercross/telemetry/eventlog.h>

#include <algorithm>

namespace oleandercross::control {

namespace {

// How long the worker may delay its response to a renewal while no run ends.
constexpr absl::Duration RenewalWait = absl::Milliseconds(800);
// How long to wait for the leader to acknowledge ended runs before they are listed again.
constexpr absl::Duration AcknowledgementTimeout = absl::Milliseconds(150);
// How long the lease of a worker that does not answer is still extended.
constexpr absl::Duration MaxWorkerSilence = absl::Seconds(2);
// The number of consecutive refused connections after which the worker's process counts as exited.
constexpr int RefusedConnectionCountUntilLost = 2;
// Reports of other writers must not use up the memory.
constexpr std::size_t MaxCandidates = 4;

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
    if (!sameIncarnation(report) || m_state.workerLost) {
        std::erase_if(m_candidates, [&report](const WorkerReport &candidate) {
            return candidate.id == report.id && candidate.startedAtMs == report.startedAtMs;
        });
        if (m_candidates.size() == MaxCandidates)
            m_candidates.erase(m_candidates.begin());
        m_candidates.push_back(report);
        m_stateChanged.signalAll();
        return true;
    }
    if (report.sequence < m_state.worker->sequence)
        return false;
    if (report.service != m_state.worker->service || report.address != m_state.worker->address) {
        telemetry::Event("heartbeat_ignored")
            .with("worker", report.id)
            .with("service", report.service)
            .with("address", toString(report.address))
            .with("reason", "the heartbeat contradicts the registered worker");
        return false;
    }
    // A worker that still reports has not deregistered: the message was from an earlier
    // incarnation.
    m_leaving = m_leaving && report.sequence == m_state.worker->sequence;
    if (report.draining && !m_state.worker->draining)
        telemetry::Event("worker_draining")
            .with("worker", report.id)
            .with("leaves_in_ms", absl::ToInt64Milliseconds(report.drainRemaining));
    m_heartbeatAt = m_clock.now();
    const bool stateChanged =
        report.draining != m_state.worker->draining || report.capacity != m_state.worker->capacity;
    m_state.worker = report;
    m_state.worker->draining = report.draining || m_leaving;
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
    m_leaving = true;
    m_state.worker->draining = true;
    markChanged();
}

std::optional<WorkerReport> Agent::takeCandidate()
{
    // Workers ignore calls without a leader's fencing token.
    if (m_term.epoch == 0 || m_candidates.empty())
        return std::nullopt;
    WorkerReport candidate = std::move(m_candidates.front());
    m_candidates.erase(m_candidates.begin());
    if (std::find(m_unknownServices.begin(), m_unknownServices.end(), candidate.service)
        != m_unknownServices.end())
        return std::nullopt;
    return candidate;
}

void Agent::confirm(const WorkerReport &candidate)
{
    Term term;
    {
        absl::MutexLock lock(&m_mutex);
        term = m_term;
    }
    RenewOrder query;
    query.fence = fencingToken(term);
    WorkerRuns runs;
    const OrderOutcome outcome = m_port.renew(candidate, query, runs, WorkerCallTimeout);
    absl::MutexLock lock(&m_mutex);
    if (outcome == OrderOutcome::Done && runs.startedAtMs == candidate.startedAtMs) {
        registerWorker(candidate, runs);
        return;
    }
    telemetry::Event("worker_not_confirmed")
        .with("worker", candidate.id)
        .with("born", candidate.startedAtMs)
        .with("address", toString(candidate.address))
        .with("outcome", toString(outcome))
        .with("listed_born", runs.startedAtMs);
    // An earlier process of this agent may have been in a later term.
    if (outcome == OrderOutcome::Fenced) {
        if (term == m_term)
            raiseTerm();
        m_candidates.push_back(candidate);
        m_stateChanged.waitFor(m_mutex, WorkerRetryDelay);
    }
}

void Agent::registerWorker(const WorkerReport &candidate, const WorkerRuns &runs)
{
    raiseTerm();
    telemetry::Event("worker_registered")
        .with("worker", candidate.id)
        .with("born", candidate.startedAtMs)
        .with("address", toString(candidate.address))
        .with("service", candidate.service)
        .with("rack", candidate.rack)
        .with("data_centre", candidate.dataCentre)
        .with("term", m_term.number);
    m_state.worker = candidate;
    m_heartbeatAt = m_clock.now();
    m_state.workerLost = false;
    m_state.workerCrashed = false;
    m_state.runs = {};
    m_acknowledged = 0;
    m_confirmedAcknowledgement = 0;
    m_refusedConnections = 0;
    m_leaving = false;
    m_restarted = false;
    m_startsListed = -1;
    // The worker lists its runs in a new term, after which it refuses the starts of earlier ones.
    m_lateStarts.clear();
    m_sentStarts.clear();
    m_refusedStarts.clear();
    m_failingSince = absl::InfiniteFuture();
    m_workerClockMs = runs.clockMs;
    m_workerClockAt = m_clock.now();
    // An earlier process of this agent may have extended the lease until now.
    m_leaseEnd = m_clock.now() + m_options.lease * (1 + MaxClockDriftFraction);
}

void Agent::raiseTerm()
{
    ++m_term.number;
    m_state.term = m_term;
    m_state.listed = false;
    m_renewUntilMs = 0;
    m_startsUntilMs = 0;
    markChanged();
}

void Agent::dropUnknownServices(const std::vector<std::string> &services)
{
    absl::MutexLock lock(&m_mutex);
    m_unknownServices = services;
    if (!m_state.worker
        || std::find(services.begin(), services.end(), m_state.worker->service) == services.end())
        return;
    telemetry::Event("worker_dropped")
        .with("worker", m_state.worker->id)
        .with("service", m_state.worker->service)
        .with("reason", "no configuration names the service");
    m_state.worker.reset();
    raiseTerm();
}

void Agent::adoptClosures(const ClosedDataCentres &closed)
{
    if (closed.version <= m_closed.version)
        return;
    const bool closedBefore = m_state.worker && m_closed.contains(m_state.worker->dataCentre);
    m_closed = closed;
    if (!m_state.worker || m_closed.contains(m_state.worker->dataCentre) == closedBefore)
        return;
    telemetry::Event(closedBefore ? "data_centre_opened" : "data_centre_closed")
        .with("data_centre", m_state.worker->dataCentre)
        .with("version", m_closed.version)
        .with("source", "leader");
}

template <typename Call>
bool Agent::accept(const char *name, const Call &call)
{
    const Term &term = call.term;
    const std::int64_t renewUntilMs = call.renewUntilMs;
    absl::MutexLock lock(&m_mutex);
    if (term.epoch < m_term.epoch) {
        core::fail(core::ResultCode::StaleEpoch, "the call is from the leader of an earlier epoch");
        return false;
    }
    m_lastContact = m_clock.now();
    adoptClosures(call.closed);
    const std::int64_t now = absl::ToUnixMillis(m_lastContact);
    if (term.epoch > m_term.epoch) {
        telemetry::Event("leader_adopted").with("epoch", term.epoch).with("term", term.number);
        m_term = term;
        m_state.term = m_term;
        m_startsUntilMs = 0;
        m_stateChanged.signalAll();
    } else if (term > m_term) {
        telemetry::Event("term_adopted").with("epoch", term.epoch).with("term", term.number);
        m_term = term;
        m_state.term = m_term;
        m_state.listed = false;
        m_renewUntilMs = 0;
        m_startsUntilMs = 0;
        markChanged();
    }
    if (term != m_term)
        return true;
    if (m_renewUntilMs <= now && now < renewUntilMs) {
        telemetry::Event("permit_renewed")
            .with("call", name)
            .with("epoch", term.epoch)
            .with("term", term.number)
            .with("permit_until", renewUntilMs)
            .with("expired_ms", m_renewUntilMs == 0 ? std::int64_t{-1} : now - m_renewUntilMs);
    }
    m_renewUntilMs = std::max(m_renewUntilMs, renewUntilMs);
    m_startsUntilMs = std::max(m_startsUntilMs, call.startsUntilMs);
    return true;
}

core::Instant Agent::lastContact() const
{
    absl::MutexLock lock(&m_mutex);
    return m_lastContact;
}

std::optional<AgentState> Agent::watch(const WatchCall &call)
{
    if (!accept("watch", call))
        return std::nullopt;
    dropUnknownServices(call.unknownServices);
    const core::Instant until = m_clock.now() + call.wait;
    absl::MutexLock lock(&m_mutex);
    while (call.agentIncarnation == m_incarnation && m_state.version <= call.since
           && m_term.epoch == call.term.epoch && !m_stopping) {
        const absl::Duration left = until - m_clock.now();
        if (left <= absl::ZeroDuration())
            break;
        m_stateChanged.waitFor(m_mutex, left);
    }
    AgentState state = m_state;
    state.clockMs = nowMs();
    const core::Instant now = m_clock.now();
    state.runListAge = now - m_workerClockAt;
    if (state.worker)
        state.worker->warmUpRemaining =
            std::max(absl::ZeroDuration(), state.worker->warmUpRemaining - (now - m_heartbeatAt));
    for (const auto &[run, until] : m_lateStarts) {
        if (m_state.workerLost && now < until)
            state.lateStarts.push_back(run);
    }
    return state;
}

std::optional<std::int64_t> Agent::leaseUntil() const
{
    const core::Instant now = m_clock.now();
    if (absl::ToUnixMillis(now) >= m_renewUntilMs || m_leaving || m_restarted
        || now - m_failingSince > MaxWorkerSilence)
        return std::nullopt;
    return m_workerClockMs + absl::ToInt64Milliseconds(now - m_workerClockAt + m_options.lease);
}

void Agent::renewLoop()
{
    while (!m_stopping) {
        std::optional<WorkerReport> candidate;
        bool registered = false;
        absl::Duration wait = RenewalWait;
        {
            absl::MutexLock lock(&m_mutex);
            candidate = takeCandidate();
            registered = m_state.worker && !m_state.workerLost && m_term.epoch != 0;
            if (!candidate && !registered)
                m_stateChanged.waitFor(m_mutex, RenewalWait);
            else if (!m_state.listed || candidate)
                wait = absl::ZeroDuration();
        }
        if (candidate)
            confirm(*candidate);
        if (registered)
            renewOnce(wait);
    }
}

void Agent::renewOnce(absl::Duration wait)
{
    WorkerReport worker;
    RenewOrder order;
    Term term;
    bool startsExcluded = false;
    std::optional<std::int64_t> answeredStarts;
    {
        absl::MutexLock lock(&m_mutex);
        if (acknowledgementPending() && !m_startsUnderWay.empty())
            m_stateChanged.waitFor(m_mutex, AcknowledgementTimeout);
        if (!m_state.worker || m_state.workerLost)
            return;
        worker = *m_state.worker;
        term = m_term;
        startsExcluded = m_refusedConnections > 0 && m_startsUnderWay.empty();
        if (m_startsUnderWay.empty())
            answeredStarts = m_startsSent;
        if (acknowledgementPending())
            wait = absl::ZeroDuration();
        addAcknowledgement(order);
        order.leaseUntilMs = leaseUntil();
        order.fence = fencingToken(m_term);
        if (order.leaseUntilMs)
            m_leaseEnd = m_clock.now() + m_options.lease * (1 + MaxClockDriftFraction);
    }
    order.wait = wait;
    WorkerRuns runs;
    const OrderOutcome outcome = m_port.renew(worker, order, runs, wait + WorkerCallTimeout);
    if (order.acknowledged > 0)
        endAcknowledgement(worker, term, outcome);
    if (outcome == OrderOutcome::Done && runs.startedAtMs == worker.startedAtMs) {
        updateRuns(worker, term, std::move(runs));
        absl::MutexLock lock(&m_mutex);
        if (sameIncarnation(worker)) {
            m_confirmedAcknowledgement = std::max(m_confirmedAcknowledgement, order.acknowledged);
            m_startsListed = std::max(m_startsListed, answeredStarts.value_or(-1));
        }
        if (!m_state.runs.ended.empty() && m_acknowledged == m_confirmedAcknowledgement)
            m_stateChanged.waitFor(m_mutex, AcknowledgementTimeout);
        return;
    }
    recordFailure(worker, term, outcome, startsExcluded);
    absl::MutexLock lock(&m_mutex);
    m_stateChanged.waitFor(m_mutex, WorkerRetryDelay);
}

bool Agent::acknowledgementPending() const
{
    return m_acknowledged > m_confirmedAcknowledgement && m_failingSince == absl::InfiniteFuture();
}

void Agent::addAcknowledgement(RenewOrder &order)
{
    // The numbers of ends start anew when the worker restarts under its id. An acknowledgement that
    // reaches the next incarnation therefore must not find ends there: it follows a list of the
    // registered incarnation without a start in between, and no start is sent until it is answered.
    if (!acknowledgementPending() || !m_startsUnderWay.empty() || m_startsListed != m_startsSent)
        return;
    order.acknowledged = m_acknowledged;
    m_acknowledging = true;
}

void Agent::endAcknowledgement(const WorkerReport &worker, const Term &term, OrderOutcome outcome)
{
    absl::MutexLock lock(&m_mutex);
    m_acknowledging = false;
    m_stateChanged.signalAll();
    // The acknowledgement may still be carried out later. Starts of a new term make the worker
    // refuse it.
    if (outcome == OrderOutcome::Unanswered && sameIncarnation(worker) && term == m_term)
        raiseTerm();
}

void Agent::updateRuns(const WorkerReport &worker, const Term &term, WorkerRuns runs)
{
    absl::MutexLock lock(&m_mutex);
    // A start of an earlier term may still be added to a list of that term.
    if (!sameIncarnation(worker) || runs.startedAtMs != worker.startedAtMs || term != m_term)
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

void Agent::recordFailure(const WorkerReport &worker, const Term &term, OrderOutcome outcome,
                          bool startsExcluded)
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
    if (outcome == OrderOutcome::Fenced && term == m_term)
        raiseTerm();
    if (outcome == OrderOutcome::Done)
        recordRestart();
    m_refusedConnections = outcome == OrderOutcome::NotListening ? m_refusedConnections + 1 : 0;
    const bool ended = (m_refusedConnections >= RefusedConnectionCountUntilLost && startsExcluded)
        || outcome == OrderOutcome::OtherIncarnation;
    if (!ended && now < m_leaseEnd)
        return;
    m_state.workerLost = true;
    m_state.workerCrashed = ended && !m_state.worker->draining;
    raiseTerm();
    telemetry::Event("worker_gone")
        .with("worker", worker.id)
        .with("outcome", toString(outcome))
        .with("lease_over", now >= m_leaseEnd)
        .with("term", m_term.number);
}

void Agent::recordRestart()
{
    // The next heartbeat names the new incarnation, so that starts that it has carried out late are
    // found in its list.
    if (std::exchange(m_restarted, true))
        return;
    telemetry::Event("worker_restarted").with("worker", m_state.worker->id);
    m_state.listed = false;
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
        .with("term", call.term.number)
        .with("permit_until", call.renewUntilMs)
        .with("permit_left_ms", call.renewUntilMs - nowMs())
        .with("held_permit_left_ms", m_renewUntilMs - nowMs());
}

std::optional<std::vector<OrderResult>> Agent::execute(const OrderCall &call)
{
    const core::Instant receivedAt = m_clock.now();
    if (!accept("orders", call))
        return std::nullopt;
    WorkerReport worker;
    bool applicable = false;
    {
        absl::MutexLock lock(&m_mutex);
        applicable = m_state.worker && !m_state.workerLost && call.term == m_term
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
        results.push_back(applicable ? execute(worker, order, call.term, receivedAt)
                                     : OrderResult::NotApplicable);
    return results;
}

} // namespace oleandercross::control
