#include "options.h"

#include <oleandercross/core/resultcode.h>
#include <oleandercross/daemon/entryapi.h>
#include <oleandercross/daemon/process.h>
#include <oleandercross/daemon/tracing.h>
#include <oleandercross/platform/httpadapters.h>
#include <oleandercross/telemetry/log.h>

#include <absl/strings/str_cat.h>
#include <absl/time/clock.h>

namespace oleandercross::daemon {

namespace {

constexpr absl::Duration RefreshPeriod = absl::Seconds(1);
constexpr absl::Duration TrafficPeriod = absl::Seconds(1);
constexpr absl::Duration ClaimExpiryPeriod = absl::Minutes(1);
constexpr int ClaimsPerExpiry = 100;
constexpr absl::Duration DrainPollPeriod = absl::Milliseconds(20);
// New work is accepted for this long after /readyz reports not ready, until the load balancer has
// polled it.
constexpr absl::Duration LoadBalancerDelay = absl::Seconds(1);

http::ServerOptions listenOptions(const config::Settings &settings)
{
    http::ServerOptions options;
    options.listen = *settings.listen;
    options.maxConnections = settings.maxConnections;
    options.maxBodyBytes = settings.maxBodyBytes;
    options.tls = settings.tls;
    return options;
}

platform::StoreWriterOptions writerOptions(const config::Settings &settings,
                                           std::int64_t incarnation)
{
    platform::StoreWriterOptions options = platform::storeWriterOptions(
        absl::StrCat(settings.id, "-", incarnation), static_cast<int>(settings.entries.size()));
    options.seed = static_cast<std::uint64_t>(incarnation);
    return options;
}

class EntryDaemon : public Process
{
public:
    explicit EntryDaemon(const config::Settings &settings)
        : m_incarnation(core::wallClockMicros())
        , m_platformPool(http::ClientOptions{})
        , m_tracer(makeTracer(settings, m_platformPool))
        , m_tables(m_platformPool, settings.platform.tables)
        , m_store(m_tables, m_clock, writerOptions(settings, m_incarnation))
        , m_client(rpcClientOptions(settings), settings.sharedKey)
        , m_rpcServer(rpcServerOptions(settings), settings.sharedKey)
        , m_server(listenOptions(settings))
        , m_manifests(m_store)
        , m_cluster(settings, m_incarnation, m_client, m_manifests, m_metrics)
        , m_claims(m_store)
        , m_requests(settings, m_cluster, m_client, m_claims, m_metrics, *m_tracer)
        , m_jobs(m_cluster, m_manifests, m_store, m_client)
        , m_leader(settings, m_incarnation, m_cluster, m_manifests, m_store, m_client, m_metrics)
        , m_api(settings, m_cluster, m_manifests, m_requests, m_jobs, m_leader, m_metrics,
                *m_tracer)
        , m_executor(2)
    { }

    ~EntryDaemon() override { m_executor.stop(); }

    bool start() override
    {
        m_cluster.addHandlers(m_rpcServer);
        m_leader.addHandlers(m_rpcServer);
        m_requests.addHandlers(m_rpcServer);
        m_cluster.subscribe([this](const AgentInfo &info, bool alive) {
            m_requests.agentChanged(info, alive);
            m_leader.agentChanged(info, alive);
        });
        m_api.addRoutes(m_server);
        if (!m_rpcServer.start() || !m_server.start())
            return false;
        m_cluster.start();
        m_requests.start();
        m_leader.start();
        m_executor.every(RefreshPeriod, [this] { refresh(); });
        m_executor.every(TrafficPeriod, [this] { updateTrafficMetrics(); });
        m_executor.every(ClaimExpiryPeriod, [this] { m_claims.expire(ClaimsPerExpiry); });
        m_api.setReady(true);
        return true;
    }

    void stop(const std::function<bool()> &skipDrain) override
    {
        m_api.setReady(false);
        m_leader.stop();
        waitUntil(skipDrain,
                  [this, end = m_clock.now() + LoadBalancerDelay] { return m_clock.now() >= end; });
        m_api.refuseNewWork();
        waitUntil(skipDrain, [this] { return m_api.inFlight() == 0; });
        m_server.stop();
        m_executor.stop();
        m_requests.stop();
        m_cluster.stop();
        m_rpcServer.stop();
    }

private:
    template <typename Done>
    static void waitUntil(const std::function<bool()> &skipDrain, const Done &done)
    {
        while (!skipDrain() && !done())
            absl::SleepFor(DrainPollPeriod);
    }

    void refresh()
    {
        m_cluster.recordStoreRead(m_manifests.refresh());
        const auto current = m_manifests.current();
        if (!current)
            return;
        int liveEntries = 0;
        for (const ClusterView::EntryInfo &entry : m_cluster.entries())
            liveEntries += entry.alive ? 1 : 0;
        if (current->number == m_lastRevision && liveEntries == m_lastLiveEntries)
            return;
        if (current->number != m_lastRevision) {
            telemetry::logInfo("configuration",
                               absl::StrCat("revision ", current->number, " in force"));
        }
        m_lastRevision = current->number;
        m_lastLiveEntries = liveEntries;
        m_requests.setLimits(current->manifest->accounts, liveEntries);
    }

    void updateTrafficMetrics()
    {
        const http::Traffic traffic = m_platformPool.traffic() + m_client.traffic()
            + m_rpcServer.httpServer().traffic() + m_server.traffic();
        m_metrics.set("bytes_received", traffic.received);
        m_metrics.set("bytes_sent", traffic.sent);
    }

    const core::SteadyClock m_clock;
    const std::int64_t m_incarnation;
    std::int64_t m_lastRevision = 0;
    int m_lastLiveEntries = 0;
    telemetry::Metrics m_metrics;
    http::ClientPool m_platformPool;
    const std::unique_ptr<telemetry::Tracer> m_tracer;
    platform::HttpTableService m_tables;
    platform::StoreWriter m_store;
    rpc::Client m_client;
    rpc::Server m_rpcServer;
    http::Server m_server;
    ManifestService m_manifests;
    ClusterView m_cluster;
    RequestClaims m_claims;
    RequestGateway m_requests;
    JobService m_jobs;
    LeaderService m_leader;
    EntryApi m_api;
    core::Executor m_executor;
};

} // namespace

std::unique_ptr<Process> makeEntry(const config::Settings &settings)
{
    return std::make_unique<EntryDaemon>(settings);
}

} // namespace oleandercross::daemon
