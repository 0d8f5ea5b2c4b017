#pragma once

#include <oleandercross/core/clock.h>
#include <oleandercross/workload/job.h>

#include <absl/synchronization/mutex.h>

#include <map>
#include <string>
#include <utility>
#include <vector>

namespace oleandercross::control::testing {

// Observes the runs of several simulated workers, and records starts of a task that another worker
// still executes.
class RunLog
{
public:
    // Runs of the worker that are active at this time end then, unless the lease is extended.
    void leaseExtended(const void *worker, core::Instant until)
    {
        absl::MutexLock lock(&m_mutex);
        m_leaseEnds[worker] = until;
    }

    void started(const void *worker, const std::string &boot, const workload::RunKey &run)
    {
        absl::MutexLock lock(&m_mutex);
        const core::Instant now = m_clock.now();
        for (const auto &[key, other] : m_active) {
            if (key.second.task == run.task && key.first != worker && m_leaseEnds[key.first] > now)
                m_simultaneous.push_back(toString(run) + " on " + boot + " beside "
                                         + toString(key.second) + " on " + other);
        }
        m_active[{worker, run}] = boot;
        ++m_starts[run.task];
    }

    void ended(const void *worker, const workload::RunKey &run)
    {
        absl::MutexLock lock(&m_mutex);
        m_active.erase({worker, run});
    }

    // Returns a line for each start of a task while another run of it was active.
    std::vector<std::string> simultaneousRuns() const
    {
        absl::MutexLock lock(&m_mutex);
        return m_simultaneous;
    }

    // Returns how often the first task of a job was started, on all workers.
    int starts(const std::string &job) const
    {
        absl::MutexLock lock(&m_mutex);
        const auto found = m_starts.find({job, 0, 0, 0});
        return found == m_starts.end() ? 0 : found->second;
    }

private:
    const core::SteadyClock m_clock{};
    mutable absl::Mutex m_mutex;
    std::map<const void *, core::Instant> m_leaseEnds ABSL_GUARDED_BY(m_mutex);
    // The active runs, and the boots that they are on.
    std::map<std::pair<const void *, workload::RunKey>, std::string> m_active
        ABSL_GUARDED_BY(m_mutex);
    std::map<workload::TaskKey, int> m_starts ABSL_GUARDED_BY(m_mutex);
    std::vector<std::string> m_simultaneous ABSL_GUARDED_BY(m_mutex);
};

} // namespace oleandercross::control::testing
