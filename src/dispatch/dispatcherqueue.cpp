#include "dispatcherprivate.h"

#include <algorithm>

namespace oleandercross::dispatch {

namespace {

using core::ResultCode;

// A request is shed if its expected wait and service time exceed this fraction of its remaining
// time. The rest covers the error of the estimate.
constexpr double UsableDeadlineFraction = 0.8;
// After this many consecutive short requests, a waiting long request is sent first, so that long
// work does not starve.
constexpr int MaxConsecutiveShort = 8;
constexpr absl::Duration MinRetryAfter = absl::Milliseconds(10);
constexpr absl::Duration NoTargetRetryAfter = absl::Seconds(1);

Outcome refusal(ResultCode code, absl::Duration retryAfter)
{
    return {OutcomeKind::NotRun, code, {}, std::max(MinRetryAfter, retryAfter)};
}

} // namespace

detail::ServiceQueues &Dispatcher::Private::queues(const core::ServiceId &service)
{
    const auto [it, isNew] = m_queues.try_emplace(service);
    if (isNew) {
        for (const auto &[account, limits] : m_limits) {
            it->second.shortQueue.setWeight(account, limits.weight);
            it->second.longQueue.setWeight(account, limits.weight);
        }
    }
    return it->second;
}

// By Little's law, slots are released at a rate of requests in flight divided by their mean service
// time. The account receives its share of them.
absl::Duration Dispatcher::Private::expectedWait(const Request &request)
{
    const RequestArrived &arrival = request.arrival;
    const detail::FairQueue &queue = queues(arrival.service).queueFor(request.shortWork);
    int inFlight = 0;
    for (const Target *target : m_targets.serving(arrival.service)) {
        for (const detail::InFlight &attempt : target->inFlight())
            inFlight += attempt.shortWork == request.shortWork ? 1 : 0;
    }
    const double seconds =
        queue.queuedSeconds(arrival.account) + absl::ToDoubleSeconds(request.expected.mean);
    return absl::Seconds(seconds / (std::max(1, inFlight) * queue.serviceShare(arrival.account)));
}

bool Dispatcher::Private::canStartNow(const Request &request)
{
    const RequestArrived &arrival = request.arrival;
    if (!queues(arrival.service).queueFor(request.shortWork).empty())
        return false;
    const detail::RequestNeeds need = {request.shortWork, arrival.idempotent, nullptr};
    const detail::Targets &targets = m_targets.serving(arrival.service);
    return std::any_of(targets.begin(), targets.end(), [&](const Target *target) {
        return target->estimatedFreeSlots(need, m_now) > 0;
    });
}

// Returns the outcome of a request that is shed, or nothing if the request is to be queued. Takes a
// token of the account's rate limit.
std::optional<Outcome> Dispatcher::Private::admitOrShed(const Request &request)
{
    const RequestArrived &arrival = request.arrival;
    const absl::Duration timeLeft = arrival.deadline - m_now;
    if (timeLeft <= absl::ZeroDuration())
        return refusal(ResultCode::DeadlineExpired, {});
    if (m_targets.serving(arrival.service).empty())
        return refusal(ResultCode::NoTarget, NoTargetRetryAfter);
    detail::TokenBucket &rate = m_limits[arrival.account].rate;
    if (!rate.take(m_now))
        return refusal(ResultCode::RateLimited, rate.timeUntilToken());
    if (canStartNow(request))
        return std::nullopt;
    const absl::Duration wait = expectedWait(request);
    const detail::ServiceQueues &waiting = queues(arrival.service);
    if (static_cast<int>(waiting.shortQueue.size(arrival.account)
                         + waiting.longQueue.size(arrival.account))
        >= m_settings.queueLimit)
        return refusal(ResultCode::QueueFull, wait / 2);
    const absl::Duration usable = UsableDeadlineFraction * timeLeft;
    if (wait + request.expected.mean > usable)
        return refusal(ResultCode::DeadlineTooClose, wait + request.expected.mean - usable);
    return std::nullopt;
}

void Dispatcher::Private::enqueue(Request &request, bool front)
{
    const RequestArrived &arrival = request.arrival;
    request.phase = detail::Phase::Waiting;
    request.queued = true;
    detail::FairQueue &queue = queues(arrival.service).queueFor(request.shortWork);
    detail::QueuedRequest queued = {arrival.id, arrival.account,
                                    absl::ToDoubleSeconds(request.expected.mean)};
    if (front)
        queue.pushFront(std::move(queued));
    else
        queue.push(std::move(queued));
}

void Dispatcher::Private::dispatchWaiting()
{
    for (auto &[service, queues] : m_queues)
        dispatchService(service, queues);
}

void Dispatcher::Private::dispatchService(const core::ServiceId &service,
                                          detail::ServiceQueues &queues)
{
    bool progress = true;
    while (progress && !queues.empty()) {
        const bool longFirst =
            !queues.longQueue.empty() && queues.consecutiveShort >= MaxConsecutiveShort;
        if (longFirst && dispatchNext(service, queues.longQueue)) {
            queues.consecutiveShort = 0;
            continue;
        }
        progress = dispatchNext(service, queues.shortQueue);
        if (progress) {
            queues.consecutiveShort += queues.longQueue.empty() ? 0 : 1;
            continue;
        }
        progress = dispatchNext(service, queues.longQueue);
        if (progress)
            queues.consecutiveShort = 0;
    }
}

// Sends or sheds the next request of the queue. Returns false if it has to wait.
bool Dispatcher::Private::dispatchNext(const core::ServiceId &service, detail::FairQueue &queue)
{
    const detail::QueuedRequest *next = queue.front();
    if (!next)
        return false;
    Request &request = m_requests.at(next->id);
    if (m_now + request.expected.typical >= request.arrival.deadline) {
        queue.pop();
        request.queued = false;
        finishNotRun(request, ResultCode::DeadlineTooClose, expectedWait(request));
        return true;
    }
    const TargetId previous = request.target;
    const detail::RequestNeeds need = {request.shortWork, request.arrival.idempotent,
                                       request.avoidTarget ? &previous : nullptr};
    Target *target = m_router->choose(m_targets.serving(service), need, m_now);
    if (!target)
        return false;
    queue.pop();
    request.queued = false;
    send(request, *target);
    return true;
}

void Dispatcher::Private::send(Request &request, Target &target)
{
    const RequestArrived &arrival = request.arrival;
    ++request.attempt;
    ++m_status.dispatched;
    if (request.attempt == 1)
        m_retryBudget.recordFirstAttempt();
    request.phase = detail::Phase::Sent;
    request.target = target.id();
    request.agentUptime = target.info().agentUptime;
    request.sentAt = m_now;
    target.recordSent({arrival.id, request.attempt, m_now, arrival.deadline, request.expected.mean,
                       request.shortWork});
    m_attempts[{arrival.id, request.attempt}] = target.id();
    DispatchMessage message;
    message.id = arrival.id;
    message.attempt = request.attempt;
    message.entry = m_settings.entry;
    message.account = arrival.account;
    message.service = arrival.service;
    message.target = target.id();
    message.timeLeft = arrival.deadline - m_now;
    message.idempotent = arrival.idempotent;
    message.shortWork = request.shortWork;
    message.expectedTime = request.expected.mean;
    message.agentUptime = request.agentUptime;
    message.granted = m_router->lastChoiceUsesGrant();
    m_actions.push_back(DispatchRequest{std::move(message)});
}

void Dispatcher::Private::demandSlots()
{
    for (const auto &[service, queues] : m_queues) {
        const detail::WorkCounts waiting = {static_cast<int>(queues.shortQueue.size()),
                                            static_cast<int>(queues.longQueue.size())};
        for (SendSlotDemand &demand :
             m_router->updateDemand(service, m_targets.serving(service), waiting, m_now))
            m_actions.push_back(std::move(demand));
    }
}

} // namespace oleandercross::dispatch
