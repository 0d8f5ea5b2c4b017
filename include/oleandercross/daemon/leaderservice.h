#pragma once

#include <oleandercross/daemon/leasedriver.h>
#include <oleandercross/daemon/term.h>

#include <memory>
#include <optional>

namespace oleandercross::daemon {

// Leads the entry's data centre while it holds the scheduler lease: one Term for each epoch.
// Thread safe.
class LeaderService
{
public:
    LeaderService(const config::Settings &settings, std::int64_t incarnation, ClusterView &cluster,
                  ManifestService &manifests, platform::StoreWriter &store, rpc::Client &client,
                  telemetry::Metrics &metrics);
    ~LeaderService();

    // Adds the handlers of the agents' and entries' messages to a leader.
    void addHandlers(rpc::Server &server);
    void start();
    // Hands the lease over to another entry, then ends.
    void stop();

    void agentChanged(const AgentInfo &info, bool alive);

    // Empty if this entry does not lead.
    std::optional<Term::Status> status() const;
    bool storeOutage() const { return m_lease.storeOutage(); }

private:
    std::shared_ptr<Term> term() const;
    // The restored term while the lease allows decisions; fails with NotLeader.
    std::shared_ptr<Term> activeTerm() const;
    void lead(const ownership::BecomeLeader &lead);
    void resign();

    const config::Settings m_settings;
    ClusterView &m_cluster;
    ManifestService &m_manifests;
    platform::StoreWriter &m_store;
    rpc::Client &m_client;
    telemetry::Metrics &m_metrics;
    mutable absl::Mutex m_mutex;
    std::shared_ptr<Term> m_term ABSL_GUARDED_BY(m_mutex);
    LeaseDriver m_lease;
    // Terms must not end on their own threads.
    core::Executor m_executor;
};

} // namespace oleandercross::daemon
