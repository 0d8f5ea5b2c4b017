#pragma once

#include <oleandercross/config/manifest.h>
#include <oleandercross/config/settings.h>
#include <oleandercross/core/executor.h>
#include <oleandercross/daemon/clusterview.h>
#include <oleandercross/daemon/manifestfollower.h>
#include <oleandercross/daemon/requestrunner.h>
#include <oleandercross/daemon/taskrunner.h>
#include <oleandercross/membership/directory.h>

#include <map>
#include <optional>
#include <vector>

namespace oleandercross::daemon {

// Sends an agent's heartbeats to its home entry and applies the manifest, the leader and the live
// entries from the replies. The agent accepts no new work if it receives no confirmed reply, that
// is one from an entry that is certain to have the newest revision, for
// membership::EntryContactLimit. Thread safe.
class Heartbeater
{
public:
    Heartbeater(const config::Settings &settings, std::int64_t incarnation, rpc::Client &client,
                RequestRunner &requests, TaskRunner &tasks, telemetry::Metrics &metrics);
    ~Heartbeater();

    void start();
    void stop();
    // Marks the agent as draining and announces it immediately.
    void drain();
    // Notifies all entries listed in the settings that the agent is about to exit.
    void leave();

    // Returns true if the agent has a manifest, is in contact with an entry, and drain() has not
    // been called. A drain requested by the manifest does not count.
    bool ready() const;

private:
    absl::Duration sendHeartbeat();
    void updateAdmissionCode();
    std::optional<config::EntryAddress> chooseEntry() const;
    Json::Value heartbeatMessage(const core::EntryId &entry);
    AgentInfo agentInfo() const;
    void applyReply(const Json::Value &reply);
    void applyManifest(const config::Manifest &manifest);

    const config::Settings m_settings;
    const std::int64_t m_incarnation;
    rpc::Client &m_client;
    RequestRunner &m_requests;
    TaskRunner &m_tasks;
    telemetry::Metrics &m_metrics;
    const core::SteadyClock m_clock;
    ManifestFollower m_manifestFollower;
    // Serialises heartbeats, so that sequence numbers arrive in order.
    absl::Mutex m_heartbeatMutex ABSL_ACQUIRED_BEFORE(m_mutex);
    mutable absl::Mutex m_mutex;
    std::int64_t m_sequence ABSL_GUARDED_BY(m_mutex) = 0;
    bool m_draining ABSL_GUARDED_BY(m_mutex) = false;
    bool m_drainingByManifest ABSL_GUARDED_BY(m_mutex) = false;
    membership::EntryContact m_contact ABSL_GUARDED_BY(m_mutex);
    std::vector<core::EntryId> m_liveEntries ABSL_GUARDED_BY(m_mutex);
    // Entries that did not answer, with the time until which they are not contacted again.
    std::map<core::EntryId, core::Instant> m_unresponsiveUntil ABSL_GUARDED_BY(m_mutex);
    // The entry that was last sent the static state, and that state.
    core::EntryId m_stateSentTo ABSL_GUARDED_BY(m_mutex);
    Json::Value m_sentState ABSL_GUARDED_BY(m_mutex);
    core::Executor m_executor;
};

} // namespace oleandercross::daemon
