#include "dispatcherprivate.h"

#include <algorithm>

namespace oleandercross::dispatch {

namespace {

using core::ResultCode;
using detail::Phase;

// Doubled with each query, including the first one.
constexpr absl::Duration FateQueryBasePeriod = absl::Milliseconds(20);
constexpr absl::Duration MaxFateQueryPeriod = absl::Milliseconds(500);
// Back-off after a refusal that is due to the state of the target.
constexpr absl::Duration RefusalBackOff = absl::Milliseconds(500);
// Back-off after TargetBusy: long enough for a slot to be released, short enough not to leave it
// idle. Also the retry hint for a request that is refused to the caller.
constexpr absl::Duration BusyBackOff = absl::Milliseconds(2);

const Outcome UnknownOutcome = {OutcomeKind::Unknown, ResultCode::OutcomeUnknown, {}, {}};

// Returns true for refusals that are due to the target, so that another target may accept the
// request.
bool isTargetRefusal(ResultCode code)
{
    switch (code) {
    case ResultCode::Draining:
    case ResultCode::NoTarget:
    case ResultCode::TargetBusy:
    case ResultCode::StaleIncarnation:
    case ResultCode::StaleConfiguration:
    case ResultCode::NotReady:
    case ResultCode::TooManyConnections:
    case ResultCode::ConnectionFailed:
    // Stands for a fate query that found the request not run and blocked it at the agent.
    case ResultCode::Cancelled:
        return true;
    default:
        return false;
    }
}

} // namespace

Dispatcher::Private::Private(DispatcherSettings settings, std::mt19937_64 generator)
    : m_settings(std::move(settings))
    , m_router(detail::makeRouter(m_settings.routing, generator))
    , m_targets(m_settings.slowStart)
    , m_retryBudget(m_settings.retryBudget)
{ }

std::vector<Action> Dispatcher::Private::apply(const Event &event, core::Instant now)
{
    m_now = now;
    std::visit([this](const auto &e) { on(e); }, event);
    dispatchWaiting();
    demandSlots();
    return std::exchange(m_actions, {});
}

DispatcherStatus Dispatcher::Private::status() const
{
    DispatcherStatus status = m_status;
    for (const auto &[service, queues] : m_queues)
        status.waiting += static_cast<int>(queues.shortQueue.size() + queues.longQueue.size());
    status.inFlight = static_cast<int>(m_requests.size()) - status.waiting;
    status.targets = m_targets.size();
    status.ejectedTargets = m_targets.totalEjected();
    return status;
}

void Dispatcher::Private::on(const RequestArrived &event)
{
    const auto [it, isNew] = m_requests.try_emplace(event.id);
    if (!isNew)
        return;
    Request &request = it->second;
    request.arrival = event;
    request.expected = m_serviceTimes.expected(event.service, event.account, event.bodyBytes);
    request.shortWork = request.expected.typical <= m_settings.shortLimit;
    m_deadlines.insert({event.deadline, event.id});
    if (std::optional<Outcome> outcome = admitOrShed(request)) {
        ++m_status.shed;
        finish(event.id, *std::move(outcome));
        return;
    }
    enqueue(request, /*front=*/false);
}

void Dispatcher::Private::on(const RequestCancelled &event)
{
    const auto it = m_requests.find(event.id);
    if (it == m_requests.end() || it->second.cancelled)
        return;
    Request &request = it->second;
    request.cancelled = true;
    if (request.phase == Phase::Waiting)
        finishNotRun(request, ResultCode::Cancelled);
    else
        m_actions.push_back(
            CancelAtTarget{event.id, request.attempt, request.target, request.agentUptime});
}

void Dispatcher::Private::on(const TargetAnnounced &event)
{
    m_targets.announce(event, m_now);
}

void Dispatcher::Private::on(const TargetRemoved &event)
{
    const Target *target = m_targets.find(event.target);
    if (!target)
        return;
    const std::vector<detail::InFlight> attempts = target->inFlight();
    m_targets.remove(event.target);
    for (const detail::InFlight &attempt : attempts) {
        m_attempts.erase({attempt.id, attempt.attempt});
        Request *request = requestOfAttempt(attempt.id, attempt.attempt);
        // Requests that are not idempotent wait for the report of their attempt: the target may be
        // unreachable only for its home entry.
        if (request && request->arrival.idempotent)
            retry(*request, /*mayHaveRun=*/true, /*avoidTarget=*/true);
    }
}

void Dispatcher::Private::on(const LimitsChanged &event)
{
    detail::AccountLimits &limits = m_limits[event.account];
    limits.weight = event.weight;
    limits.rate.setRate(event.requestsPerSecond, m_now);
    for (auto &[service, queues] : m_queues) {
        queues.shortQueue.setWeight(event.account, event.weight);
        queues.longQueue.setWeight(event.account, event.weight);
    }
}

void Dispatcher::Private::on(const SlotsGranted &event)
{
    Target *target = m_targets.find(event.target);
    if (!target)
        return;
    target->grant(event, m_now);
    m_router->recordGrant(target->info().service, event);
}

detail::Request *Dispatcher::Private::requestOfAttempt(const core::RequestId &id, int attempt)
{
    const auto it = m_requests.find(id);
    if (it == m_requests.end() || it->second.attempt != attempt
        || it->second.phase == Phase::Waiting)
        return nullptr;
    return &it->second;
}

detail::Target *Dispatcher::Private::endAttempt(const core::RequestId &id, int attempt)
{
    const auto it = m_attempts.find({id, attempt});
    if (it == m_attempts.end())
        return nullptr;
    Target *target = m_targets.find(it->second);
    m_attempts.erase(it);
    if (target)
        target->removeAttempt(id, attempt);
    return target;
}

void Dispatcher::Private::on(const DispatchAnswered &event)
{
    Target *target = endAttempt(event.id, event.attempt);
    if (target && event.load)
        target->updateLoad(*event.load, m_now);
    Request *request = requestOfAttempt(event.id, event.attempt);
    if (!request)
        return;
    if (target)
        recordAnswer(*request, *target, event.answer);
    finishAnswered(*request, event.answer);
}

void Dispatcher::Private::recordAnswer(const Request &request, Target &target, const Answer &answer)
{
    const absl::Duration serviceTime = m_now - request.sentAt - 2 * target.distance();
    const RequestArrived &arrival = request.arrival;
    // Without an estimate of the service time, a long request does not indicate a slow target.
    m_targets.observe(target, serviceTime,
                      request.expected.fromObservations ? request.expected.typical : serviceTime,
                      m_now);
    m_serviceTimes.observe(arrival.service, arrival.account, arrival.bodyBytes, serviceTime);
    queues(arrival.service)
        .queueFor(request.shortWork)
        .charge(arrival.account, absl::ToDoubleSeconds(serviceTime - request.expected.mean));
    if (answer.succeeded)
        target.breaker().recordSuccess();
    else
        m_targets.recordMinionFailure(target, m_now);
}

void Dispatcher::Private::on(const DispatchRefused &event)
{
    if (Target *target = endAttempt(event.id, event.attempt)) {
        if (event.load)
            target->updateLoad(*event.load, m_now);
        recordRefusal(*target, event.code);
    }
    if (Request *request = requestOfAttempt(event.id, event.attempt))
        handleRefusal(*request, event.code);
}

void Dispatcher::Private::recordRefusal(Target &target, ResultCode code)
{
    switch (code) {
    // The minion or its agent is unreachable.
    case ResultCode::NoTarget:
    case ResultCode::ConnectionFailed:
        m_targets.recordFailure(target, m_now);
        break;
    case ResultCode::Draining:
        target.drain();
        break;
    case ResultCode::TargetBusy:
        target.avoidUntil(m_now + BusyBackOff);
        // Several entries share the slots; the concurrency limit adapts to this entry's share.
        target.lowerLimit(m_now);
        break;
    case ResultCode::StaleIncarnation:
    case ResultCode::StaleConfiguration:
    case ResultCode::NotReady:
    case ResultCode::TooManyConnections:
        target.avoidUntil(m_now + RefusalBackOff);
        break;
    default:
        break;
    }
}

void Dispatcher::Private::on(const DispatchUnknown &event)
{
    Request *request = requestOfAttempt(event.id, event.attempt);
    if (event.running && request) {
        startFateQueries(*request);
        return;
    }
    if (Target *target = endAttempt(event.id, event.attempt))
        m_targets.recordFailure(*target, m_now);
    if (request
        && !(request->arrival.idempotent
             && retry(*request, /*mayHaveRun=*/true, /*avoidTarget=*/true)))
        startFateQueries(*request);
}

void Dispatcher::Private::on(const FateReceived &event)
{
    Request *request = requestOfAttempt(event.id, event.attempt);
    if (!request || request->phase != Phase::QueryingFate)
        return;
    const Fate fate = event.report.fate;
    if (fate == Fate::Running || fate == Fate::Unreachable) {
        request->nextFateQuery = m_now + request->fateQueryPeriod;
        return;
    }
    Target *target = endAttempt(event.id, event.attempt);
    switch (fate) {
    case Fate::Answered:
        if (target)
            recordAnswer(*request, *target, event.report.answer);
        finishAnswered(*request, event.report.answer);
        break;
    case Fate::Refused:
    case Fate::NeverSeen:
        handleRefusal(*request, ResultCode::Cancelled);
        break;
    default:
        if (!request->arrival.idempotent
            || !retry(*request, /*mayHaveRun=*/true, /*avoidTarget=*/true))
            finish(event.id, UnknownOutcome);
        break;
    }
}

void Dispatcher::Private::on(const Tick &)
{
    while (!m_deadlines.empty() && m_deadlines.begin()->first <= m_now)
        expireRequest(m_requests.at(m_deadlines.begin()->second));
    for (const core::RequestId &id : m_queryingFate) {
        Request &request = m_requests.at(id);
        if (m_now >= request.nextFateQuery)
            queryFate(request);
    }
    for (const detail::InFlight &attempt : m_targets.expire(m_now))
        m_attempts.erase({attempt.id, attempt.attempt});
}

void Dispatcher::Private::expireRequest(Request &request)
{
    if (request.phase == Phase::Waiting) {
        finishNotRun(request, ResultCode::DeadlineExpired);
        return;
    }
    const RequestArrived &arrival = request.arrival;
    // A running attempt occupies its slot until its end is reported. Once the fate of the attempt
    // is queried, no such report follows.
    if (request.phase == Phase::QueryingFate)
        endAttempt(arrival.id, request.attempt);
    // Without this observation, requests that always miss their deadline would remain classified as
    // short work.
    m_serviceTimes.observe(arrival.service, arrival.account, arrival.bodyBytes,
                           m_now - request.sentAt);
    m_actions.push_back(
        CancelAtTarget{arrival.id, request.attempt, request.target, request.agentUptime});
    finish(arrival.id, UnknownOutcome);
}

void Dispatcher::Private::finishAnswered(Request &request, const Answer &answer)
{
    const ResultCode code = answer.succeeded ? ResultCode::Ok : ResultCode::MinionFailed;
    finish(request.arrival.id, {OutcomeKind::Answered, code, answer, {}});
}

void Dispatcher::Private::handleRefusal(Request &request, ResultCode code)
{
    if (request.cancelled) {
        finishNotRun(request, ResultCode::Cancelled);
        return;
    }
    if (isTargetRefusal(code)
        && retry(request, /*mayHaveRun=*/false, /*avoidTarget=*/code != ResultCode::TargetBusy))
        return;
    if (static_cast<int>(code) / 100 == 4) {
        finish(request.arrival.id, {OutcomeKind::Unknown, code, {}, {}});
        return;
    }
    // Other codes describe a failure between the entry and the target, which is reported to the
    // caller as NoTarget.
    const bool isReportable = core::provablyNotRun(code) || static_cast<int>(code) / 100 == 2;
    finishNotRun(request, isReportable ? code : ResultCode::NoTarget, BusyBackOff);
}

void Dispatcher::Private::startFateQueries(Request &request)
{
    request.fateQueryPeriod = FateQueryBasePeriod;
    queryFate(request);
}

bool Dispatcher::Private::mayRetry(const Request &request) const
{
    return !request.cancelled && !request.arrival.pinToFirstTarget
        && request.attempt < m_settings.maxAttempts && m_now < request.arrival.deadline;
}

// Queues the request for another attempt if one is allowed. Precondition: the latest attempt did
// not run, or the request is idempotent.
bool Dispatcher::Private::retry(Request &request, bool mayHaveRun, bool avoidTarget)
{
    if (!mayRetry(request) || !m_retryBudget.take())
        return false;
    request.mayHaveRun = request.mayHaveRun || mayHaveRun;
    request.avoidTarget = avoidTarget;
    ++m_status.retried;
    m_queryingFate.erase(request.arrival.id);
    enqueue(request, /*front=*/true);
    return true;
}

void Dispatcher::Private::queryFate(Request &request)
{
    request.phase = Phase::QueryingFate;
    request.nextFateQuery = absl::InfiniteFuture();
    request.fateQueryPeriod = std::min(2 * request.fateQueryPeriod, MaxFateQueryPeriod);
    m_queryingFate.insert(request.arrival.id);
    m_actions.push_back(
        SendFateQuery{{request.arrival.id, request.target, request.agentUptime}, request.attempt});
}

void Dispatcher::Private::finishNotRun(const Request &request, ResultCode code,
                                       absl::Duration retryAfter)
{
    if (request.mayHaveRun)
        finish(request.arrival.id, UnknownOutcome);
    else
        finish(request.arrival.id, {OutcomeKind::NotRun, code, {}, retryAfter});
}

// `id` may be a member of the request, so the request is destroyed last.
void Dispatcher::Private::finish(const core::RequestId &id, Outcome outcome)
{
    const auto it = m_requests.find(id);
    const Request &request = it->second;
    if (request.queued)
        queues(request.arrival.service)
            .queueFor(request.shortWork)
            .remove(request.arrival.account, id);
    m_deadlines.erase({request.arrival.deadline, id});
    m_queryingFate.erase(id);
    m_actions.push_back(FinishRequest{id, std::move(outcome)});
    m_requests.erase(it);
}

Dispatcher::Dispatcher(DispatcherSettings settings, std::mt19937_64 generator)
    : d(std::make_unique<Private>(std::move(settings), generator))
{ }

Dispatcher::~Dispatcher() = default;
Dispatcher::Dispatcher(Dispatcher &&) noexcept = default;
Dispatcher &Dispatcher::operator=(Dispatcher &&) noexcept = default;

std::vector<Action> Dispatcher::apply(const Event &event, core::Instant now)
{
    return d->apply(event, now);
}

DispatcherStatus Dispatcher::status() const
{
    return d->status();
}

} // namespace oleandercross::dispatch
