#pragma once

#include <oleandercross/daemon/clusterview.h>
#include <oleandercross/daemon/jobservice.h>
#include <oleandercross/daemon/leaderservice.h>
#include <oleandercross/daemon/manifestservice.h>
#include <oleandercross/daemon/requestgateway.h>
#include <oleandercross/http/server.h>

#include <atomic>

namespace oleandercross::daemon {

// The public HTTP API of an entry, described in docs/API.md.
class EntryApi
{
public:
    EntryApi(const config::Settings &settings, ClusterView &cluster, ManifestService &manifests,
             RequestGateway &requests, JobService &jobs, LeaderService &leader,
             telemetry::Metrics &metrics, const telemetry::Tracer &tracer);

    void addRoutes(http::Server &server);

    // Sets whether /readyz may report that the entry is ready.
    void setReady(bool ready) { m_ready = ready; }
    // From now on, new requests and jobs are refused with Draining, which means that they did not
    // run.
    void refuseNewWork() { m_refusingWork = true; }
    // Returns the number of calls below /v1 in progress.
    int inFlight() const { return m_inFlight; }

private:
    using AccountHandler = http::Response (EntryApi::*)(const http::Request &,
                                                        const config::Account &);
    using OperatorHandler = http::Response (EntryApi::*)(const http::Request &);

    void addAccountRoute(http::Server &server, const std::string &method,
                         const std::string &pattern, AccountHandler handler);
    void addOperatorRoute(http::Server &server, const std::string &method,
                          const std::string &pattern, OperatorHandler handler);

    http::Response runRequest(const http::Request &request, const config::Account &account);
    http::Response requestOutcome(const http::Request &request, const config::Account &account);
    http::Response submitJob(const http::Request &request, const config::Account &account);
    http::Response showJob(const http::Request &request, const config::Account &account);
    http::Response cancelJob(const http::Request &request, const config::Account &account);
    http::Response explainJob(const http::Request &request, const config::Account &account);

    http::Response showManifest(const http::Request &request);
    http::Response showHistory(const http::Request &request);
    http::Response commitManifest(const http::Request &request);
    http::Response showStatus(const http::Request &request);
    http::Response showDispatcherStatus(const http::Request &request);

    std::optional<ShortRequest> parseRequest(const http::Request &request,
                                             const config::Account &account,
                                             const config::Manifest &manifest) const;
    http::Response outcomeResponse(const dispatch::Outcome &outcome);
    http::Response errorResponse(const core::Reason &reason,
                                 absl::Duration retryAfter = absl::ZeroDuration());

    const config::Settings m_settings;
    ClusterView &m_cluster;
    ManifestService &m_manifests;
    RequestGateway &m_requests;
    JobService &m_jobs;
    LeaderService &m_leader;
    telemetry::Metrics &m_metrics;
    const telemetry::Tracer &m_tracer;
    std::atomic<bool> m_ready = false;
    std::atomic<bool> m_refusingWork = false;
    std::atomic<int> m_inFlight = 0;
};

} // namespace oleandercross::daemon
