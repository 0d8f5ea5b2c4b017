#include "dispatcherprivate.h"

#include <algorithm>

namespace oleandercross::dispatch {

namespace {

using core::ResultCode;
using detail::Phase;

constexpr absl::Duration FirstQuestionPeriod = absl::Milliseconds(20);
constexpr absl::Duration LongestQuestionPeriod = absl::Milliseconds(500);
// A target that refused because of its own state is left alone for this long.
constexpr absl::Duration RefusalPause = absl::Milliseconds(500);
// Long enough for one slot to become free, short enough to notice it.
constexpr absl::Duration BusyPause = absl::Milliseconds(2);

const Outcome UnknownOutcome = {OutcomeKind::Unknown, ResultCode::OutcomeUnknown, {}, {}};

// Refusals that say something about the target, so that another one may accept the request.
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
    // Reported for a request that the agent had not seen and now blocks.
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
    askForSlots();
    return std::exchange(m_actions, {});
}

DispatcherStatus Dispatcher::Private::status() const
{
    DispatcherStatus status = m_status;
    for (const auto &[service, queues] : m_queues)
        status.waiting += static_cast<int>(queues.shortWork.size() + queues.longWork.size());
    status.inFlight = static_cast<int>(m_requests.size()) - status.waiting;
    status.targets = m_targets.size();
    status.targetsOut = m_targets.out();
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
    if (std::optional<Outcome> outcome = shed(request)) {
        ++m_status.shed;
        finish(event.id, *std::move(outcome));
        return;
    }
    enqueue(request, false);
}

void Dispatcher::Private::on(const RequestCancelled &event)
{
    const auto it = m_requests.find(event.id);
    if (it == m_requests.end() || it->second.cancelled)
        return;
    Request &request = it->second;
    request.cancelled = true;
    if (request.phase == Phase::Waiting)
        notRun(request, ResultCode::Cancelled);
    else
        m_actions.push_back(
            CancelAtTarget{event.id, request.attempt, request.target, request.agentUptime});
}

void Dispatcher::Private::on(const TargetAnnounced &event)
{
    m_targets.announce(event, m_now);
}

void Dispatcher::Private::on(const TargetGone &event)
{
    const Target *target = m_targets.find(event.target);
    if (!target)
        return;
    const std::vector<detail::InFlight> attempts = target->inFlight();
    m_targets.remove(event.target);
    for (const detail::InFlight &attempt : attempts) {
        m_attempts.erase({attempt.id, attempt.attempt});
        Request *request = current(attempt.id, attempt.attempt);
        // Others wait for their report: the target may only be out of reach of its home entry.
        if (request && request->arrival.idempotent)
            retry(*request, true, true);
    }
}

void Dispatcher::Private::on(const LimitsChanged &event)
{
    detail::AccountLimits &limits = m_limits[event.account];
    limits.weight = event.weight;
    limits.rate.setRate(event.requestsPerSecond, m_now);
    for (auto &[service, queues] : m_queues) {
        queues.shortWork.setWeight(event.account, event.weight);
        queues.longWork.setWeight(event.account, event.weight);
    }
}

void Dispatcher::Private::on(const SlotsGranted &event)
{
    Target *target = m_targets.find(event.target);
    if (!target)
        return;
    target->grant(event, m_now);
    m_router->granted(target->info().service, event);
}

detail::Request *Dispatcher::Private::current(const core::RequestId &id, int attempt)
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
        target->ended(id, attempt);
    return target;
}

void Dispatcher::Private::on(const DispatchAnswered &event)
{
    Target *target = endAttempt(event.id, event.attempt);
    if (target && event.load)
        target->replied(*event.load, m_now);
    Request *request = current(event.id, event.attempt);
    if (!request)
        return;
    if (target)
        learnFromAnswer(*request, *target, event.answer);
    answered(*request, event.answer);
}

void Dispatcher::Private::learnFromAnswer(const Request &request, Target &target,
                                          const Answer &answer)
{
    const absl::Duration time = m_now - request.sent - 2 * target.distance();
    const RequestArrived &arrival = request.arrival;
    // Without an estimate, a target is not slow because a request is long.
    m_targets.observe(target, time, request.expected.learned ? request.expected.typical : time,
                      m_now);
    m_serviceTimes.observe(arrival.service, arrival.account, arrival.bodyBytes, time);
    queues(arrival.service)
        .of(request.shortWork)
        .charge(arrival.account, absl::ToDoubleSeconds(time - request.expected.mean));
    if (answer.succeeded)
        target.breaker().succeeded();
    else
        m_targets.minionFailed(target, m_now);
}

void Dispatcher::Private::on(const DispatchRefused &event)
{
    if (Target *target = endAttempt(event.id, event.attempt)) {
        if (event.load)
            target->replied(*event.load, m_now);
        learnFromRefusal(*target, event.code);
    }
    if (Request *request = current(event.id, event.attempt))
        refused(*request, event.code);
}

void Dispatcher::Private::learnFromRefusal(Target &target, ResultCode code)
{
    switch (code) {
    // The minion cannot be reached, or its agent cannot.
    case ResultCode::NoTarget:
    case ResultCode::ConnectionFailed:
        m_targets.failed(target, m_now);
        break;
    case ResultCode::Draining:
        target.drain();
        break;
    case ResultCode::TargetBusy:
        target.avoidUntil(m_now + BusyPause);
        // Several entries share the slots; each learns its share.
        target.congested(m_now);
        break;
    case ResultCode::StaleIncarnation:
    case ResultCode::StaleConfiguration:
    case ResultCode::NotReady:
    case ResultCode::TooManyConnections:
        target.avoidUntil(m_now + RefusalPause);
        break;
    default:
        break;
    }
}

void Dispatcher::Private::on(const DispatchUnknown &event)
{
    Request *request = current(event.id, event.attempt);
    if (event.running && request) {
        unknown(*request);
        return;
    }
    if (Target *target = endAttempt(event.id, event.attempt))
        m_targets.failed(*target, m_now);
    if (request && !(request->arrival.idempotent && retry(*request, true, true)))
        unknown(*request);
}

void Dispatcher::Private::on(const FateLearned &event)
{
    Request *request = current(event.id, event.attempt);
    if (!request || request->phase != Phase::Asking)
        return;
    const Fate fate = event.report.fate;
    if (fate == Fate::Running || fate == Fate::Unreachable) {
        request->nextQuestion = m_now + request->questionPeriod;
        return;
    }
    Target *target = endAttempt(event.id, event.attempt);
    switch (fate) {
    case Fate::Answered:
        if (target)
            learnFromAnswer(*request, *target, event.report.answer);
        answered(*request, event.report.answer);
        break;
    case Fate::Refused:
    case Fate::NeverSeen:
        refused(*request, ResultCode::Cancelled);
        break;
    default:
        if (!request->arrival.idempotent || !retry(*request, true, true))
            finish(event.id, UnknownOutcome);
        break;
    }
}

void Dispatcher::Private::on(const Tick &)
{
    while (!m_deadlines.empty() && m_deadlines.begin()->first <= m_now)
        passDeadline(m_requests.at(m_deadlines.begin()->second));
    for (const core::RequestId &id : m_asking) {
        Request &request = m_requests.at(id);
        if (m_now >= request.nextQuestion)
            ask(request);
    }
    for (const detail::InFlight &attempt : m_targets.expire(m_now))
        m_attempts.erase({attempt.id, attempt.attempt});
}

void Dispatcher::Private::passDeadline(Request &request)
{
    if (request.phase == Phase::Waiting) {
        notRun(request, ResultCode::DeadlineExpired);
        return;
    }
    const RequestArrived &arrival = request.arrival;
    // A running attempt keeps its slot until its end is reported; after a question nothing more is.
    if (request.phase == Phase::Asking)
        endAttempt(arrival.id, request.attempt);
    // Otherwise requests that always miss their deadline would still be taken for short ones.
    m_serviceTimes.observe(arrival.service, arrival.account, arrival.bodyBytes,
                           m_now - request.sent);
    m_actions.push_back(
        CancelAtTarget{arrival.id, request.attempt, request.target, request.agentUptime});
    finish(arrival.id, UnknownOutcome);
}

void Dispatcher::Private::answered(Request &request, const Answer &answer)
{
    const ResultCode code = answer.succeeded ? ResultCode::Ok : ResultCode::MinionFailed;
    finish(request.arrival.id, {OutcomeKind::Answered, code, answer, {}});
}

void Dispatcher::Private::refused(Request &request, ResultCode code)
{
    if (request.cancelled) {
        notRun(request, ResultCode::Cancelled);
        return;
    }
    if (isTargetRefusal(code) && retry(request, false, code != ResultCode::TargetBusy))
        return;
    if (static_cast<int>(code) / 100 == 4) {
        finish(request.arrival.id, {OutcomeKind::Unknown, code, {}, {}});
        return;
    }
    // Codes of other classes name a fault on the way to the target.
    const bool callerCode = core::provablyNotRun(code) || static_cast<int>(code) / 100 == 2;
    notRun(request, callerCode ? code : ResultCode::NoTarget, BusyPause);
}

void Dispatcher::Private::unknown(Request &request)
{
    request.questionPeriod = FirstQuestionPeriod;
    ask(request);
}

bool Dispatcher::Private::mayRetry(const Request &request) const
{
    return !request.cancelled && !request.arrival.pinToFirstTarget
        && request.attempt < m_settings.maxAttempts && m_now < request.arrival.deadline;
}

// Queues the request for another attempt, if it may have one. The caller knows that the latest
// attempt did not run, or that it may have run and the request is idempotent.
bool Dispatcher::Private::retry(Request &request, bool mayHaveRun, bool avoidTarget)
{
    if (!mayRetry(request) || !m_retryBudget.take())
        return false;
    request.mayHaveRun = request.mayHaveRun || mayHaveRun;
    request.avoidTarget = avoidTarget;
    ++m_status.retried;
    m_asking.erase(request.arrival.id);
    enqueue(request, true);
    return true;
}

void Dispatcher::Private::ask(Request &request)
{
    request.phase = Phase::Asking;
    request.nextQuestion = absl::InfiniteFuture();
    request.questionPeriod = std::min(2 * request.questionPeriod, LongestQuestionPeriod);
    m_asking.insert(request.arrival.id);
    m_actions.push_back(
        AskFate{{request.arrival.id, request.target, request.agentUptime}, request.attempt});
}

void Dispatcher::Private::notRun(const Request &request, ResultCode code, absl::Duration retryAfter)
{
    if (request.mayHaveRun)
        finish(request.arrival.id, UnknownOutcome);
    else
        finish(request.arrival.id, {OutcomeKind::NotRun, code, {}, retryAfter});
}

// `id` may be part of the request, which this destroys last.
void Dispatcher::Private::finish(const core::RequestId &id, Outcome outcome)
{
    const auto it = m_requests.find(id);
    const Request &request = it->second;
    if (request.queued)
        queues(request.arrival.service).of(request.shortWork).remove(request.arrival.account, id);
    m_deadlines.erase({request.arrival.deadline, id});
    m_asking.erase(id);
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
