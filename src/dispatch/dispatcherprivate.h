#pragma once

#include "budgets.h"
#include "fairqueue.h"
#include "router.h"
#include "servicetimes.h"
#include "targetset.h"

#include <oleandercross/dispatch/dispatcher.h>

#include <absl/container/btree_set.h>
#include <absl/container/node_hash_map.h>

namespace oleandercross::dispatch {

namespace detail {

enum class Phase {
    Waiting,
    // An attempt was sent to a target.
    Sent,
    // The state of the attempt is unknown and queried periodically.
    QueryingFate,
};

struct Request
{
    RequestArrived arrival;
    ServiceTime expected;
    bool shortWork = true;
    Phase phase = Phase::Waiting;
    bool queued = false;
    // The latest attempt, its target and the time at which it was sent.
    int attempt = 0;
    TargetId target;
    absl::Duration agentUptime;
    core::Instant sentAt;
    // An earlier attempt of an idempotent request may have run.
    bool mayHaveRun = false;
    bool cancelled = false;
    // The next attempt avoids the target of the latest one if there is another.
    bool avoidTarget = false;
    // Infinite while a query is in flight.
    core::Instant nextFateQuery = absl::InfiniteFuture();
    absl::Duration fateQueryPeriod;
};

// The queues of one service.
struct ServiceQueues
{
    FairQueue shortQueue;
    FairQueue longQueue;
    // Number of short requests sent since the latest long one while long ones were waiting.
    int consecutiveShort = 0;

    FairQueue &queueFor(bool isShort) { return isShort ? shortQueue : longQueue; }
    bool empty() const { return shortQueue.empty() && longQueue.empty(); }
};

struct AccountLimits
{
    int weight = 1;
    TokenBucket rate;
};

} // namespace detail

class Dispatcher::Private
{
public:
    Private(DispatcherSettings settings, std::mt19937_64 generator);

    std::vector<Action> apply(const Event &event, core::Instant now);
    DispatcherStatus status() const;

private:
    using Request = detail::Request;
    using Target = detail::Target;

    void on(const RequestArrived &event);
    void on(const RequestCancelled &event);
    void on(const TargetAnnounced &event);
    void on(const TargetRemoved &event);
    void on(const DispatchAnswered &event);
    void on(const DispatchRefused &event);
    void on(const DispatchUnknown &event);
    void on(const FateReceived &event);
    void on(const LimitsChanged &event);
    void on(const SlotsGranted &event);
    void on(const Tick &event);

    // Returns the request if `attempt` is its latest one and has not ended, otherwise null.
    Request *requestOfAttempt(const core::RequestId &id, int attempt);
    // Removes an attempt from its target. Returns the target, or null if it is no longer known.
    Target *endAttempt(const core::RequestId &id, int attempt);

    // Queueing (dispatcherqueue.cpp).
    detail::ServiceQueues &queues(const core::ServiceId &service);
    std::optional<Outcome> admitOrShed(const Request &request);
    absl::Duration expectedWait(const Request &request);
    bool canStartNow(const Request &request);
    void enqueue(Request &request, bool front);
    void dispatchWaiting();
    void dispatchService(const core::ServiceId &service, detail::ServiceQueues &queues);
    bool dispatchNext(const core::ServiceId &service, detail::FairQueue &queue);
    void send(Request &request, Target &target);
    void demandSlots();

    // Outcomes (dispatcher.cpp).
    void finishAnswered(Request &request, const Answer &answer);
    void handleRefusal(Request &request, core::ResultCode code);
    void startFateQueries(Request &request);
    bool mayRetry(const Request &request) const;
    bool retry(Request &request, bool mayHaveRun, bool avoidTarget);
    void queryFate(Request &request);
    void recordAnswer(const Request &request, Target &target, const Answer &answer);
    void recordRefusal(Target &target, core::ResultCode code);
    void expireRequest(Request &request);
    void finishNotRun(const Request &request, core::ResultCode code,
                      absl::Duration retryAfter = {});
    void finish(const core::RequestId &id, Outcome outcome);

    DispatcherSettings m_settings;
    std::unique_ptr<detail::Router> m_router;
    detail::TargetSet m_targets;
    detail::ServiceTimes m_serviceTimes;
    detail::RetryBudget m_retryBudget;
    absl::btree_map<core::AccountId, detail::AccountLimits> m_limits;
    absl::btree_map<core::ServiceId, detail::ServiceQueues> m_queues;
    absl::node_hash_map<core::RequestId, Request> m_requests;
    absl::btree_set<std::pair<core::Instant, core::RequestId>> m_deadlines;
    absl::btree_set<core::RequestId> m_queryingFate;
    // Targets of attempts, including those of requests that finished before their attempt ended.
    absl::btree_map<std::pair<core::RequestId, int>, TargetId> m_attempts;
    DispatcherStatus m_status;
    core::Instant m_now;
    std::vector<Action> m_actions;
};

} // namespace oleandercross::dispatch
