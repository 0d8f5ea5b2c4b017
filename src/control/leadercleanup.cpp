#include <oleandercross/control/leader.h>

#include <oleandercross/telemetry/eventlog.h>

namespace oleandercross::control {

namespace {

constexpr absl::Duration CleanupPeriod = absl::Seconds(10);
// The same while there are more ended jobs than one commit can remove.
constexpr absl::Duration FullCleanupPeriod = absl::Seconds(1);
// Scheduling waits for the removal of markers, so its timeout is below the interval in which the
// leader writes its row.
constexpr absl::Duration MarkerCleanupTimeout = absl::Milliseconds(300);

} // namespace

bool Leader::removeOldJobs(core::Instant now)
{
    if (now < m_nextCleanup)
        return true;
    m_nextCleanup = now + CleanupPeriod;
    std::vector<StoredRow> removals;
    std::vector<std::string> ids;
    // A job has up to three rows. Jobs that do not fit into this commit are removed by the next
    // cleanup.
    for (const auto &[id, record] : m_planner.jobs()) {
        if (now - record.endedAt() < m_options.retention || record.hasActiveTasks()
            || record.hasStoredParts())
            continue;
        if (removals.size() + 3 > LeaderLog::MaxRowsPerCommit) {
            m_nextCleanup = now + FullCleanupPeriod;
            break;
        }
        removals.push_back({JobTable, id, {}});
        removals.push_back({JobTable, id + CancelSuffix, {}});
        removals.push_back({ProgressTable, id, {}});
        ids.push_back(id);
    }
    if (ids.empty())
        return true;
    const LeaderLog::Outcome outcome = commit({}, removals);
    if (outcome != LeaderLog::Outcome::Committed)
        return leads(outcome);
    absl::MutexLock lock(&m_mutex);
    for (const std::string &id : ids) {
        telemetry::Event("job_removed").with("job", id).with("version", m_log->version());
        m_removedJobs.add(id, m_log->version());
        m_planner.removeJob(id);
        m_views.erase(id);
    }
    return true;
}

void Leader::removeOldMarkers(core::Instant now)
{
    if (now < m_nextMarkerCleanup)
        return;
    m_nextMarkerCleanup = now + CleanupPeriod;
    RowChanges changes;
    for (const auto &[id, marker] : m_markers) {
        if (now - marker.seenAt < m_options.retention)
            continue;
        if (changes.removals.size() == m_markersPerCleanup) {
            m_nextMarkerCleanup = now + FullCleanupPeriod;
            break;
        }
        // A submission may have replaced the marker by a job, which must not be removed.
        changes.conditions.push_back({JobTable, id, marker.version});
        changes.removals.push_back({JobTable, id, {}});
    }
    if (changes.removals.empty())
        return;
    const CommitResult result = m_store.commit(changes, MarkerCleanupTimeout);
    const bool applied = result.outcome == CommitOutcome::Applied;
    if (!applied && result.outcome != CommitOutcome::Conflict)
        return;
    // A conflict means that one of the rows has changed. Smaller transactions find it, so that it
    // does not keep the others.
    const bool single = changes.conditions.size() == 1;
    m_markersPerCleanup = applied || single ? MaxMarkersPerCleanup : changes.conditions.size() / 2;
    if (applied || single) {
        for (const RowCondition &condition : changes.conditions) {
            m_markers.erase(condition.key);
            if (applied)
                m_removedJobs.add(condition.key, result.version);
        }
    }
    m_nextMarkerCleanup = now + FullCleanupPeriod;
}

} // namespace oleandercross::control
