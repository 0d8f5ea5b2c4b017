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

// Announces an agent to its home entry and puts into force what the replies say: the manifest, the
// leader, the live entries. Without a reply for membership::EntryContactLimit the agent takes no
// new work. Thread safe.
class Heartbeater
{
public:
    Heartbeater(const config::Settings &settings, std::int64_t incarnation, rpc::Client &client,
                RequestRunner &requests, TaskRunner &tasks, telemetry::Metrics &metrics);
    ~Heartbeater();

    void start();
    void stop();
    // Announces at once that the agent drains.
    void drain();
    // Tells the entries of the data centre that the agent ends.
    void leave();

    // True while new work is taken.
    bool ready() const;

private:
    absl::Duration beat();
    void gate();
    std::optional<config::EntryAddress> home() const;
    Json::Value message(const core::EntryId &entry);
    AgentInfo describe() const;
    void learn(const Json::Value &reply);
    void putInForce(const config::Manifest &manifest);

    const config::Settings m_settings;
    const std::int64_t m_incarnation;
    rpc::Client &m_client;
    RequestRunner &m_requests;
    TaskRunner &m_tasks;
    telemetry::Metrics &m_metrics;
    const core::SteadyClock m_clock;
    ManifestFollower m_manifest;
    // One heartbeat at a time, so that sequence numbers arrive in order.
    absl::Mutex m_beatMutex ABSL_ACQUIRED_BEFORE(m_mutex);
    mutable absl::Mutex m_mutex;
    std::int64_t m_sequence ABSL_GUARDED_BY(m_mutex) = 0;
    bool m_draining ABSL_GUARDED_BY(m_mutex) = false;
    bool m_drainedByManifest ABSL_GUARDED_BY(m_mutex) = false;
    membership::EntryContact m_contact ABSL_GUARDED_BY(m_mutex);
    std::vector<core::EntryId> m_liveEntries ABSL_GUARDED_BY(m_mutex);
    // Entries that did not answer, with the time until which they are not asked again.
    std::map<core::EntryId, core::Instant> m_avoid ABSL_GUARDED_BY(m_mutex);
    // The entry that knows the static state, and that state.
    core::EntryId m_toldEntry ABSL_GUARDED_BY(m_mutex);
    Json::Value m_toldState ABSL_GUARDED_BY(m_mutex);
    core::Executor m_executor;
};

} // namespace oleandercross::daemon
