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

// The worker beside an agent, as announced.
struct WorkerState
{
    core::WorkerId id;
    core::RackId rack;
    core::Resources resources;

    friend bool operator==(const WorkerState &, const WorkerState &) = default;
};

// What an agent announces of itself.
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
    // The manifest revision in force there.
    std::int64_t revision = 0;

    friend bool operator==(const AgentInfo &, const AgentInfo &) = default;
};

// The entry that leads a data centre.
struct LeaderInfo
{
    core::DataCentreId dataCentre;
    core::EntryId entry;
    http::Endpoint rpc;
    std::int64_t epoch = 0;

    friend bool operator==(const LeaderInfo &, const LeaderInfo &) = default;
};

// The JSON forms used in heartbeats. Static parts and loads are separate, because loads change all
// the time and are only of use inside the data centre.
Json::Value encodeStatic(const AgentInfo &info);
Json::Value encodeLoads(const AgentInfo &info);
AgentInfo decodeAgentInfo(const membership::AgentRecord &record, const Json::Value &loads);

// One entry's knowledge of all agents, entries, leaders and revisions. Thread safe.
class ClusterView
{
public:
    // Called after an agent announced itself or changed; `alive` is false when it is lost. Calls
    // come from several threads, without locks held.
    using Listener = std::function<void(const AgentInfo &info, bool alive)>;

    ClusterView(const config::Settings &settings, std::int64_t incarnation, rpc::Client &client,
                ManifestService &manifests, telemetry::Metrics &metrics);
    ~ClusterView();

    void addHandlers(rpc::Server &server);
    // Before start().
    void subscribe(Listener listener);
    void start();
    void stop();
    // Sends an exchange to all peers at once, for news that should not wait.
    void exchangeNow();

    std::vector<std::shared_ptr<const AgentInfo>> agents() const;
    // Null if the agent is not known or not alive.
    std::shared_ptr<const AgentInfo> agent(const core::AgentId &id) const;
    // Estimated one-way time to a data centre; zero for the own.
    absl::Duration distance(const core::DataCentreId &dataCentre) const;

    std::optional<LeaderInfo> leader(const core::DataCentreId &dataCentre) const;
    std::vector<LeaderInfo> leaders() const;
    // This entry took the lead of its data centre.
    void setOwnEpoch(std::int64_t epoch);

    // The table service answered, or did not answer, a read of the newest revision.
    void storeAnswered(bool answered);
    // True if this entry can be sure to learn of a new revision: it read the store lately, or heard
    // from an entry that did, or the store is unavailable to most entries, so that nobody commits.
    bool configurationConfirmed() const;

    // True if this entry read the store lately.
    bool storeAvailable() const;

    struct EntryInfo
    {
        core::EntryId id;
        core::DataCentreId dataCentre;
        http::Endpoint rpc;
        bool alive = false;
        std::int64_t revision = 0;
    };
    // All entries of the settings.
    std::vector<EntryInfo> entries() const;

private:
    std::optional<Json::Value> heartbeat(const Json::Value &params);
    std::optional<Json::Value> exchange(const Json::Value &params);
    std::optional<Json::Value> leave(const Json::Value &params);

    void exchangeWith(const config::EntryAddress &peer);
    Json::Value news(const config::EntryAddress &peer) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    void addLoads(Json::Value &message, const core::EntryId &peer) const
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    void learnNews(const Json::Value &news);
    bool storeFresh() const ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    void heardFrom(const core::EntryId &peer, bool storeFresh)
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    void learnLeader(const Json::Value &encoded) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    void update(const membership::AgentRecord &record, const Json::Value &loads);
    void tick();
    void announceFar();
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
    // Static state of the agents that send their heartbeats here.
    std::map<core::AgentId, Json::Value> m_states ABSL_GUARDED_BY(m_mutex);
    // When the loads of an agent last changed or were refreshed by itself, and up to when each peer
    // has them.
    std::map<core::AgentId, core::Instant> m_loadsHeard ABSL_GUARDED_BY(m_mutex);
    std::map<core::EntryId, core::Instant> m_loadsTold ABSL_GUARDED_BY(m_mutex);
    std::map<core::DataCentreId, LeaderInfo> m_leaders ABSL_GUARDED_BY(m_mutex);
    std::map<core::DataCentreId, absl::Duration> m_roundTrips ABSL_GUARDED_BY(m_mutex);
    std::map<core::EntryId, std::int64_t> m_entryRevisions ABSL_GUARDED_BY(m_mutex);
    core::Instant m_storeAnsweredAt ABSL_GUARDED_BY(m_mutex) = absl::InfinitePast();
    // When each peer was last heard, and whether it had read the store lately.
    std::map<core::EntryId, core::Instant> m_heardAt ABSL_GUARDED_BY(m_mutex);
    std::map<core::EntryId, core::Instant> m_freshPeerAt ABSL_GUARDED_BY(m_mutex);
    core::Executor m_executor;
};

} // namespace oleandercross::daemon
