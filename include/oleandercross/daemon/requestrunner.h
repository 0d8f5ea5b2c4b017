#pragma once

#include <oleandercross/config/settings.h>
#include <oleandercross/core/executor.h>
#include <oleandercross/daemon/messages.h>
#include <oleandercross/dispatch/requesttable.h>
#include <oleandercross/platform/minionclient.h>
#include <oleandercross/rpc/rpc.h>
#include <oleandercross/telemetry/metrics.h>
#include <oleandercross/telemetry/tracer.h>

#include <json/value.h>

#include <map>
#include <memory>
#include <optional>

namespace oleandercross::daemon {

// State of one minion as announced by its agent.
struct MinionState
{
    core::MinionId minion;
    core::ServiceId service;
    int slots = 0;
    int shortSlots = 0;
    dispatch::TargetLoad load;
    bool draining = false;
    absl::Duration servingFor;

    friend bool operator==(const MinionState &, const MinionState &) = default;
};

// Runs short requests on the minions that one agent controls. Thread safe.
class RequestRunner
{
public:
    using MinionClients = std::map<core::MinionId, std::shared_ptr<platform::MinionClient>>;

    RequestRunner(const config::Settings &settings, std::int64_t incarnation, MinionClients clients,
                  rpc::Client &client, telemetry::Metrics &metrics,
                  const telemetry::Tracer &tracer);

    // Handlers for the messages `dispatch`, `fate`, `cancelRequest` and `demand`.
    std::optional<Json::Value> dispatch(const Json::Value &params);
    std::optional<Json::Value> fate(const Json::Value &params);
    std::optional<Json::Value> cancel(const Json::Value &params);
    std::optional<Json::Value> demand(const Json::Value &params);

    // Records that an entry confirmed the configuration in force.
    void configurationConfirmed();

    // Stops admission to the given minions and resumes it for all others.
    void drainMinions(const std::vector<core::MinionId> &minions);

    // Permanently stops all admission before the process ends.
    void drain();

    std::vector<MinionState> minions() const;
    absl::Duration uptime() const;
    // Returns the number of requests that are running, or that have ended without their result
    // having been delivered to an entry. Undelivered results count only for a bounded time.
    int unresolvedRequests() const;

private:
    using Grants = std::map<core::EntryId, Json::Value>;

    Grants grantSlots() ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    void sendGrants(const Grants &grants);
    void execute(const dispatch::DispatchMessage &message, const std::string &body,
                 const std::string &traceparent);
    dispatch::FateReport awaitCompletion(const dispatch::FateQuery &query, absl::Duration limit)
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    dispatch::FateReport markDelivered(const core::RequestId &id, dispatch::FateReport report)
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    DispatchReply reply(const dispatch::DispatchMessage &message, dispatch::FateReport report)
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);

    const core::SteadyClock m_clock;
    const core::Instant m_started;
    const std::vector<config::MinionSettings> m_minions;
    const core::AgentId m_agent;
    const std::int64_t m_incarnation;
    const MinionClients m_clients;
    rpc::Client &m_client;
    telemetry::Metrics &m_metrics;
    const telemetry::Tracer &m_tracer;
    mutable absl::Mutex m_mutex;
    dispatch::Admission m_admission ABSL_GUARDED_BY(m_mutex);
    dispatch::RequestTable m_table ABSL_GUARDED_BY(m_mutex);
    // Requests whose minion call has not returned.
    std::map<core::RequestId, core::MinionId> m_executing ABSL_GUARDED_BY(m_mutex);
    // Ended requests whose result no reply has contained yet, with the time of the end.
    std::map<core::RequestId, core::Instant> m_undelivered ABSL_GUARDED_BY(m_mutex);
    std::map<core::MinionId, bool> m_draining ABSL_GUARDED_BY(m_mutex);
    // Endpoints that receive the grants of entries with demand.
    std::map<core::EntryId, http::Endpoint> m_entryEndpoints ABSL_GUARDED_BY(m_mutex);
    bool m_stopping ABSL_GUARDED_BY(m_mutex) = false;
    // One thread per slot, so that an admitted request starts immediately.
    core::Executor m_executor;
    core::Executor m_grantExecutor;
};

} // namespace oleandercross::daemon
