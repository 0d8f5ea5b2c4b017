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
    // An attempt is at a target.
    Sent,
    // The fate of the attempt is asked, again and again until it is known.
    Asking,
};

struct Request
{
    RequestArrived arrival;
    ServiceTime expected;
    bool shortWork = true;
    Phase phase = Phase::Waiting;
    bool queued = false;
    // The latest attempt, where it was sent and when.
    int attempt = 0;
    TargetId target;
    absl::Duration agentUptime;
    core::Instant sent;
    // An earlier attempt of an idempotent request may have run.
    bool mayHaveRun = false;
    bool cancelled = false;
    // The next attempt goes to another target than the latest if there is one.
    bool avoidTarget = false;
    // Infinite while a question is on its way.
    core::Instant nextQuestion = absl::InfiniteFuture();
    absl::Duration questionPeriod;
};

// The queues of one service.
struct ServiceQueues
{
    FairQueue shortWork;
    FairQueue longWork;
    // Short requests sent since the latest long one while long ones wait.
    int shortInARow = 0;

    FairQueue &of(bool isShort) { return isShort ? shortWork : longWork; }
    bool empty() const { return shortWork.empty() && longWork.empty(); }
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
    void on(const TargetGone &event);
    void on(const DispatchAnswered &event);
    void on(const DispatchRefused &event);
    void on(const DispatchUnknown &event);
    void on(const FateLearned &event);
    void on(const LimitsChanged &event);
    void on(const SlotsGranted &event);
    void on(const Tick &event);

    // The request if `attempt` is its latest and not ended.
    Request *current(const core::RequestId &id, int attempt);
    // Ends an attempt in its target's books. Returns the target if it is still known.
    Target *endAttempt(const core::RequestId &id, int attempt);

    // Queueing (dispatcherqueue.cpp).
    detail::ServiceQueues &queues(const core::ServiceId &service);
    std::optional<Outcome> shed(const Request &request);
    absl::Duration expectedWait(const Request &request);
    bool canStartNow(const Request &request);
    void enqueue(Request &request, bool front);
    void dispatchWaiting();
    void dispatchService(const core::ServiceId &service, detail::ServiceQueues &queues);
    bool dispatchNext(const core::ServiceId &service, detail::FairQueue &queue);
    void send(Request &request, Target &target);
    void askForSlots();

    // Outcomes (dispatcher.cpp).
    void answered(Request &request, const Answer &answer);
    void refused(Request &request, core::ResultCode code);
    void unknown(Request &request);
    bool mayRetry(const Request &request) const;
    bool retry(Request &request, bool mayHaveRun, bool avoidTarget);
    void ask(Request &request);
    void learnFromAnswer(const Request &request, Target &target, const Answer &answer);
    void learnFromRefusal(Target &target, core::ResultCode code);
    void passDeadline(Request &request);
    void notRun(const Request &request, core::ResultCode code, absl::Duration retryAfter = {});
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
    absl::btree_set<core::RequestId> m_asking;
    // Where attempts are, also those of requests that were finished before their attempt ended.
    absl::btree_map<std::pair<core::RequestId, int>, TargetId> m_attempts;
    DispatcherStatus m_status;
    core::Instant m_now;
    std::vector<Action> m_actions;
};

} // namespace oleandercross::dispatch
