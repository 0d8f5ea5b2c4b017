#pragma once

#include <oleandercross/config/settings.h>
#include <oleandercross/daemon/clusterview.h>
#include <oleandercross/dispatch/dispatcher.h>
#include <oleandercross/platform/tableservice.h>
#include <oleandercross/telemetry/tracer.h>

#include <deque>
#include <map>
#include <memory>
#include <optional>

namespace oleandercross::daemon {

// A short request as the HTTP layer hands it over.
struct ShortRequest
{
    core::RequestId id;
    core::AccountId account;
    core::ServiceId service;
    bool idempotent = true;
    absl::Duration deadline;
    std::string body;
    std::string traceparent;
    // Null if the transport cannot tell whether the caller has gone.
    const http::Connection *connection = nullptr;
};

// Queues short requests, sends them to agents and returns their outcomes. One thread waits per
// request. Thread safe.
class RequestGateway
{
public:
    RequestGateway(const config::Settings &settings, ClusterView &cluster, rpc::Client &client,
                   telemetry::Metrics &metrics, const telemetry::Tracer &tracer);
    ~RequestGateway();

    void start();
    void stop();

    // Blocks until the request has its one outcome. An id is used once.
    dispatch::Outcome run(const ShortRequest &request);

    // Handler of `requestFate`: the outcome of a request that this entry accepted, or that it is
    // still open here, or that it never saw it (and will not run it any more).
    std::optional<Json::Value> requestFate(const Json::Value &params);

    // What this entry knows of a request it accepted: an ended one's outcome, StillRunning, or an
    // empty optional, after which the id is refused here.
    std::optional<dispatch::Outcome> knownOutcome(const core::RequestId &id);

    // Asks agents for a request that no live entry knows. NotRun if all agents that may have got it
    // blocked it, Unknown if one could not be asked.
    dispatch::Outcome askAgents(const core::RequestId &id);

    // Limits of all accounts, after a manifest change.
    void setLimits(const std::vector<config::Account> &accounts);
    void agentChanged(const AgentInfo &info, bool alive);

    int open() const;
    dispatch::DispatcherStatus status() const;

private:
    struct Waiter
    {
        const ShortRequest *request = nullptr;
        std::deque<dispatch::Action> actions;
        bool callerGone = false;
    };

    struct Ended
    {
        dispatch::Outcome outcome;
        core::Instant at;
    };

    void apply(const dispatch::Event &event) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    void route(dispatch::Action action) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    dispatch::Action nextAction(Waiter &waiter) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    void remember(const core::RequestId &id, const dispatch::Outcome &outcome)
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);

    dispatch::Event execute(const dispatch::DispatchRequest &action, const ShortRequest &request);
    dispatch::Event execute(const dispatch::AskFate &action);
    void cancelAtTarget(const dispatch::CancelAtTarget &action);
    void tick();
    void watchCallers();

    const config::Settings m_settings;
    ClusterView &m_cluster;
    rpc::Client &m_client;
    telemetry::Metrics &m_metrics;
    const telemetry::Tracer &m_tracer;
    const core::SteadyClock m_clock;
    mutable absl::Mutex m_mutex;
    dispatch::Dispatcher m_dispatcher ABSL_GUARDED_BY(m_mutex);
    std::map<core::RequestId, Waiter *> m_waiters ABSL_GUARDED_BY(m_mutex);
    std::map<core::RequestId, Ended> m_ended ABSL_GUARDED_BY(m_mutex);
    std::deque<core::RequestId> m_endedOrder ABSL_GUARDED_BY(m_mutex);
    std::map<core::AgentId, std::shared_ptr<const AgentInfo>> m_agents ABSL_GUARDED_BY(m_mutex);
    core::Executor m_executor;
};

} // namespace oleandercross::daemon
