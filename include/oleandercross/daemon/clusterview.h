#pragma once

#include <oleandercross/config/settings.h>
#include <oleandercross/core/executor.h>
#include <oleandercross/daemon/manifestservice.h>
#include <oleandercross/daemon/requestrunner.h>
#include <oleandercross/membership/directory.h>
#include <oleandercross/rpc/rpc.h>
#include <oleandercross/telemetry/metrics.h>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <vector>

namespace oleandercross::daemon {

// The worker that an agent controls, as announced by the agent.
struct WorkerState
{
    core::WorkerId id;
    core::RackId rack;
    core::Resources resources;

    friend bool operator==(const WorkerState &, const WorkerState &) = default;
};

// State of an agent as announced in its heartbeats.
struct AgentInfo
{
    core::AgentId id;
    core::DataCentreId dataCentre;
    http::Endpoint rpc;
    std::int64_t incarnation = 0;
    std::optional<WorkerState> worker;
    std::vector<MinionState> minions;
    absl::Duration uptime;
    bool draining = false;
    // The manifest revision in force on the agent.
    std::int64_t revision = 0;

    friend bool operator==(const AgentInfo &, const AgentInfo &) = default;
};

// The leader entry of a data centre.
struct LeaderInfo
{
    core::DataCentreId dataCentre;
    core::EntryId entry;
    http::Endpoint rpc;
    std::int64_t epoch = 0;

    friend bool operator==(const LeaderInfo &, const LeaderInfo &) = default;
};

// JSON forms used in heartbeats. Static state and loads are separate, because loads change
// continuously and are only used inside the data centre.
Json::Value encodeStatic(const AgentInfo &info);
Json::Value encodeLoads(const AgentInfo &info);
AgentInfo decodeAgentInfo(const membership::AgentRecord &record, const Json::Value &loads);

// One entry's view of all agents, entries, leaders and revisions. Thread safe.
class ClusterView
{
public:
    // Called after an agent was announced or changed; `alive` is false if it was lost. Invoked on
    // several threads, without locks held.
    using Listener = std::function<void(const AgentInfo &info, bool alive)>;

    ClusterView(const config::Settings &settings, std::int64_t incarnation, rpc::Client &client,
                ManifestService &manifests, telemetry::Metrics &metrics);
    ~ClusterView();

    void addHandlers(rpc::Server &server);
    // To be called before start().
    void subscribe(Listener listener);
    void start();
    void stop();
    // Sends an exchange to all peers immediately, for changes that should not wait for the period.
    void exchangeNow();

    std::vector<std::shared_ptr<const AgentInfo>> agents() const;
    // Returns null if the agent is not known or not alive.
    std::shared_ptr<const AgentInfo> agent(const core::AgentId &id) const;
    // Returns the estimated one-way network time to a data centre, zero for the local one.
    absl::Duration distance(const core::DataCentreId &dataCentre) const;

    std::optional<LeaderInfo> leader(const core::DataCentreId &dataCentre) const;
    std::vector<LeaderInfo> leaders() const;
    // Records that this entry became leader of its data centre.
    void setOwnEpoch(std::int64_t epoch);

    // Records whether the table service answered a read of the newest revision.
    void recordStoreRead(bool answered);
    // Returns true if this entry is certain to receive a new revision: it has read the store
    // recently, or has been in contact with an entry that did, or with most entries, none of which
    // can read the store, so that no revision is committed.
    bool configurationConfirmed() const;

    // Returns true if this entry has read the store recently.
    bool storeAvailable() const;

    struct EntryInfo
    {
        core::EntryId id;
        core::DataCentreId dataCentre;
        http::Endpoint rpc;
        bool alive = false;
        std::int64_t revision = 0;
    };
    // Returns all entries of the settings.
    std::vector<EntryInfo> entries() const;

private:
    std::optional<Json::Value> heartbeat(const Json::Value &params);
    std::optional<Json::Value> exchange(const Json::Value &params);
    std::optional<Json::Value> leave(const Json::Value &params);

    void exchangeWith(const config::EntryAddress &peer);
    Json::Value exchangeMessage(const config::EntryAddress &peer)
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    void addLoads(Json::Value &message, const core::EntryId &peer) const
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    void applyExchange(const Json::Value &message);
    bool storeRecentlyRead() const ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    void recordContact(const core::EntryId &peer, bool storeRecentlyRead)
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    void updateLeader(const Json::Value &encoded) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    void update(const membership::AgentRecord &record, const Json::Value &loads);
    void tick();
    void announceRemoteAgents();
    void notify(const std::vector<std::shared_ptr<const AgentInfo>> &infos, bool alive) const;
    Json::Value heartbeatReply(const Json::Value &params);

    const config::Settings m_settings;
    const std::int64_t m_incarnation;
    rpc::Client &m_client;
    ManifestService &m_manifests;
    telemetry::Metrics &m_metrics;
    const core::SteadyClock m_clock;
    std::vector<Listener> m_listeners;
    mutable absl::Mutex m_mutex;
    membership::Directory m_directory ABSL_GUARDED_BY(m_mutex);
    std::map<core::AgentId, std::shared_ptr<const AgentInfo>> m_infos ABSL_GUARDED_BY(m_mutex);
    // Static state of the agents that send their heartbeats to this entry.
    std::map<core::AgentId, Json::Value> m_staticStates ABSL_GUARDED_BY(m_mutex);
    // When the loads of an agent last changed or were due for a refresh, and the time up to which
    // they have been sent to each peer.
    std::map<core::AgentId, core::Instant> m_loadsUpdatedAt ABSL_GUARDED_BY(m_mutex);
    std::map<core::EntryId, core::Instant> m_loadsSentAt ABSL_GUARDED_BY(m_mutex);
    std::map<core::DataCentreId, LeaderInfo> m_leaders ABSL_GUARDED_BY(m_mutex);
    std::map<core::DataCentreId, absl::Duration> m_roundTrips ABSL_GUARDED_BY(m_mutex);
    std::map<core::EntryId, std::int64_t> m_entryRevisions ABSL_GUARDED_BY(m_mutex);
    core::Instant m_storeReadAt ABSL_GUARDED_BY(m_mutex) = absl::InfinitePast();
    // Time of the last contact with each peer, and of the last contact in which the peer reported
    // that it had read the store recently.
    std::map<core::EntryId, core::Instant> m_lastContact ABSL_GUARDED_BY(m_mutex);
    std::map<core::EntryId, core::Instant> m_lastFreshContact ABSL_GUARDED_BY(m_mutex);
    core::Executor m_executor;
};

} // namespace oleandercross::daemon
