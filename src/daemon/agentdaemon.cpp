#include "options.h"

#include <oleandercross/daemon/clusterview.h>
#include <oleandercross/daemon/heartbeater.h>
#include <oleandercross/daemon/process.h>
#include <oleandercross/daemon/requestrunner.h>
#include <oleandercross/daemon/taskrunner.h>
#include <oleandercross/daemon/tracing.h>
#include <oleandercross/platform/httpadapters.h>
#include <oleandercross/telemetry/log.h>

#include <absl/time/clock.h>

namespace oleandercross::daemon {

namespace {

constexpr absl::Duration DrainPollPeriod = absl::Milliseconds(50);
// Time for the drain to reach all entries by heartbeats and exchanges; they send no new work after
// 2 s.
constexpr absl::Duration DrainAnnounceTime = absl::Milliseconds(1500);

RequestRunner::MinionClients minionClients(const config::Settings &settings, http::ClientPool &pool)
{
    RequestRunner::MinionClients clients;
    for (const config::MinionSettings &minion : settings.minions)
        clients[minion.id] = std::make_shared<platform::HttpMinionClient>(pool, minion.endpoint);
    return clients;
}

std::shared_ptr<platform::WorkerControl> workerControl(const config::Settings &settings,
                                                       http::ClientPool &pool)
{
    if (!settings.worker)
        return nullptr;
    return std::make_shared<platform::HttpWorkerControl>(pool, settings.worker->control);
}

class AgentDaemon : public Process
{
public:
    explicit AgentDaemon(const config::Settings &settings)
        : m_incarnation(core::wallClockMicros())
        , m_platformPool(http::ClientOptions{})
        , m_tracer(makeTracer(settings, m_platformPool))
        , m_client(rpcClientOptions(settings), settings.sharedKey)
        , m_server(rpcServerOptions(settings), settings.sharedKey)
        , m_requests(settings, m_incarnation, minionClients(settings, m_platformPool), m_client,
                     m_metrics, *m_tracer)
        , m_tasks(settings, m_incarnation, workerControl(settings, m_platformPool), m_client,
                  m_metrics)
        , m_heartbeater(settings, m_incarnation, m_client, m_requests, m_tasks, m_metrics)
    { }

    bool start() override
    {
        addHandlers();
        if (!m_server.start())
            return false;
        m_tasks.start();
        m_heartbeater.start();
        return true;
    }

    void stop(const std::function<bool()> &skipDrain) override
    {
        m_requests.drain();
        m_tasks.drain();
        m_heartbeater.drain();
        const core::Instant announceEnd = m_clock.now() + DrainAnnounceTime;
        while (!skipDrain()
               && (m_clock.now() < announceEnd || m_requests.unresolvedRequests() > 0
                   || !m_tasks.drained()))
            absl::SleepFor(DrainPollPeriod);
        m_heartbeater.leave();
        m_heartbeater.stop();
        m_server.stop();
        m_tasks.stop();
    }

private:
    void addHandlers()
    {
        m_server.add("dispatch", [this](const Json::Value &p) { return m_requests.dispatch(p); });
        m_server.add("fate", [this](const Json::Value &p) { return m_requests.fate(p); });
        m_server.add("cancelRequest",
                     [this](const Json::Value &p) { return m_requests.cancel(p); });
        m_server.add("demand", [this](const Json::Value &p) { return m_requests.demand(p); });
        m_tasks.addHandlers(m_server);
        http::Server &http = m_server.httpServer();
        http.route("GET", "/healthz", [](const http::Request &) {
            return http::Response{200, "{\"status\":\"running\"}\n"};
        });
        http.route("GET", "/readyz", [this](const http::Request &) {
            return m_heartbeater.ready() ? http::Response{200, "{\"status\":\"ready\"}\n"}
                                         : http::Response{503, "{\"status\":\"not ready\"}\n"};
        });
        http.route("GET", "/metrics", [this](const http::Request &) { return metricsResponse(); });
    }

    http::Response metricsResponse()
    {
        const http::Traffic traffic =
            m_platformPool.traffic() + m_client.traffic() + m_server.httpServer().traffic();
        m_metrics.set("bytes_received", traffic.received);
        m_metrics.set("bytes_sent", traffic.sent);
        return {200, m_metrics.text(), "text/plain"};
    }

    const core::SteadyClock m_clock;
    const std::int64_t m_incarnation;
    telemetry::Metrics m_metrics;
    http::ClientPool m_platformPool;
    const std::unique_ptr<telemetry::Tracer> m_tracer;
    rpc::Client m_client;
    rpc::Server m_server;
    RequestRunner m_requests;
    TaskRunner m_tasks;
    Heartbeater m_heartbeater;
};

} // namespace

std::unique_ptr<Process> makeAgent(const config::Settings &settings)
{
    return std::make_unique<AgentDaemon>(settings);
}

} // namespace oleandercross::daemon
