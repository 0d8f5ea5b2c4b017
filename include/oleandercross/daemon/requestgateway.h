#pragma once

#include <oleandercross/config/settings.h>
#include <oleandercross/daemon/clusterview.h>
#include <oleandercross/daemon/requestclaims.h>
#include <oleandercross/dispatch/dispatcher.h>
#include <oleandercross/platform/tableservice.h>
#include <oleandercross/telemetry/tracer.h>

#include <deque>
#include <map>
#include <memory>
#include <optional>

namespace oleandercross::daemon {

// A short request as received by the HTTP layer.
struct ShortRequest
{
    core::RequestId id;
    core::AccountId account;
    core::ServiceId service;
    bool idempotent = true;
    absl::Duration deadline;
    std::string body;
    std::string traceparent;
    // The caller's key of a non-idempotent request.
    std::optional<RequestKey> key;
    // Null if the transport cannot detect whether the caller has disconnected.
    const http::Connection *connection = nullptr;
};

// Queues short requests, dispatches them to agents and returns their outcomes. Each request blocks
// its calling thread. Thread safe.
class RequestGateway
{
public:
    RequestGateway(const config::Settings &settings, ClusterView &cluster, rpc::Client &client,
                   RequestClaims &claims, telemetry::Metrics &metrics,
                   const telemetry::Tracer &tracer);
    ~RequestGateway();

    // Adds the handler for `slotsGranted` messages.
    void addHandlers(rpc::Server &server);
    void start();
    void stop();

    // Blocks until the request has its final outcome. A request with a key that is already claimed
    // returns the outcome of the earlier attempt, or is run if that attempt provably did not run.
    dispatch::Outcome run(const ShortRequest &request);

    // Returns the outcome of the latest attempt with a key, UnknownRequest if there is none.
    dispatch::Outcome outcomeOfKey(const RequestKey &key, absl::Duration timeout);

    // Sets the limits of all accounts. Each live entry enforces an equal share of the rates.
    void setLimits(const std::vector<config::Account> &accounts, int liveEntries);
    void agentChanged(const AgentInfo &info, bool alive);

    int open() const;
    dispatch::DispatcherStatus status() const;

private:
    struct Waiter
    {
        const ShortRequest *request = nullptr;
        std::deque<dispatch::Action> actions;
        // Version of the key's row that this attempt may replace, 0 if there is no row.
        std::int64_t claimVersion = 0;
        bool callerDisconnected = false;
    };

    dispatch::Outcome runOnce(const ShortRequest &request, std::int64_t claimVersion);
    dispatch::Outcome awaitOutcome(const Claim &claim, core::Instant deadline);

    void apply(const dispatch::Event &event) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    void route(dispatch::Action action) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    dispatch::Action nextAction(Waiter &waiter) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);

    // Returns true if the dispatcher emitted an action for the request while a call was in flight.
    bool hasAction(const Waiter &waiter) const;
    std::optional<dispatch::Event> claimTarget(const dispatch::DispatchMessage &message,
                                               Waiter &waiter);
    dispatch::Event execute(const dispatch::DispatchRequest &action, Waiter &waiter);
    dispatch::FateReport queryFate(const dispatch::FateQuery &query);
    void cancelAtTarget(const dispatch::CancelAtTarget &action);
    void sendSlotDemand(const dispatch::SendSlotDemand &action);
    void applyGrants(const Json::Value &grants);
    void tick();
    void cancelForDisconnectedCallers();

    const config::Settings m_settings;
    ClusterView &m_cluster;
    rpc::Client &m_client;
    RequestClaims &m_claims;
    telemetry::Metrics &m_metrics;
    const telemetry::Tracer &m_tracer;
    const core::SteadyClock m_clock;
    mutable absl::Mutex m_mutex;
    dispatch::Dispatcher m_dispatcher ABSL_GUARDED_BY(m_mutex);
    std::map<core::RequestId, Waiter *> m_waiters ABSL_GUARDED_BY(m_mutex);
    std::map<core::AgentId, std::shared_ptr<const AgentInfo>> m_agents ABSL_GUARDED_BY(m_mutex);
    core::Executor m_executor;
};

} // namespace oleandercross::daemon
