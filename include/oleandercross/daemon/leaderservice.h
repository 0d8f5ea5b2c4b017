#pragma once

#include <oleandercross/daemon/leasedriver.h>
#include <oleandercross/daemon/term.h>

#include <memory>
#include <optional>

namespace oleandercross::daemon {

// Runs one Term for each epoch in which this entry holds the scheduler lease of its data centre.
// Thread safe.
class LeaderService
{
public:
    LeaderService(const config::Settings &settings, std::int64_t incarnation, ClusterView &cluster,
                  ManifestService &manifests, platform::StoreWriter &store, rpc::Client &client,
                  telemetry::Metrics &metrics);
    ~LeaderService();

    // Adds handlers for the messages that agents and entries send to the leader.
    void addHandlers(rpc::Server &server);
    void start();
    // Releases the lease to another entry, then stops.
    void stop();

    void agentChanged(const AgentInfo &info, bool alive);

    // Returns an empty optional if this entry is not the leader.
    std::optional<Term::Status> status() const;
    bool leadsDuringStoreOutage() const { return m_lease.leadsDuringStoreOutage(); }

private:
    std::shared_ptr<Term> term() const;
    // Returns the term if it is restored and the lease permits decisions; fails with NotLeader
    // otherwise.
    std::shared_ptr<Term> activeTerm() const;
    void startTerm(const ownership::BecomeLeader &leadership);
    void endTerm();

    const config::Settings m_settings;
    ClusterView &m_cluster;
    ManifestService &m_manifests;
    platform::StoreWriter &m_store;
    rpc::Client &m_client;
    telemetry::Metrics &m_metrics;
    mutable absl::Mutex m_mutex;
    std::shared_ptr<Term> m_term ABSL_GUARDED_BY(m_mutex);
    LeaseDriver m_lease;
    // Stops ended terms, which must not be stopped on their own threads.
    core::Executor m_executor;
};

} // namespace oleandercross::daemon
