#pragma once

#include <oleandercross/control/workerport.h>
#include <oleandercross/core/clock.h>

#include <absl/synchronization/mutex.h>

#include <map>
#include <set>

namespace oleandercross::control::testing {

// An in-memory worker whose tasks complete when the test calls completeAll().
class SimulatedWorker : public WorkerPort
{
public:
    WorkerReport report(const std::string &id, std::int64_t startMs) const
    {
        WorkerReport report;
        report.id = id;
        report.startedAtMs = startMs;
        report.address = {"127.0.0.1", 1};
        report.service = "booking";
        report.rack = "r1";
        report.capacity = {32000, 64000, 8};
        report.sequence = 1;
        return report;
    }

    OrderOutcome start(const WorkerReport &, const StartOrder &order, absl::Duration) override
    {
        absl::MutexLock lock(&m_mutex);
        if (!raiseFence(order.fence) || m_barred.contains(order.run))
            return OrderOutcome::Refused;
        if (m_running.insert(order.run).second)
            ++m_starts[order.run.task];
        return OrderOutcome::Done;
    }

    OrderOutcome stop(const WorkerReport &, const workload::RunKey &run, std::int64_t fence,
                      absl::Duration) override
    {
        absl::MutexLock lock(&m_mutex);
        if (!raiseFence(fence))
            return OrderOutcome::Refused;
        m_barred.insert(run);
        if (m_running.erase(run) > 0)
            m_ended.push_back({++m_number, run, planning::RunEnd::Stopped, {}});
        return OrderOutcome::Done;
    }

    OrderOutcome renew(const WorkerReport &worker, const RenewOrder &order, WorkerRuns &runs,
                       absl::Duration) override
    {
        absl::MutexLock lock(&m_mutex);
        if (!raiseFence(order.fence))
            return OrderOutcome::Refused;
        m_leaseExtensions += order.leaseUntilMs ? 1 : 0;
        std::erase_if(m_ended, [&](const EndedTask &e) { return e.number <= order.acknowledged; });
        m_acknowledged = std::max(m_acknowledged, order.acknowledged);
        const auto ended = [this] { return !m_ended.empty(); };
        if (m_ended.empty())
            m_mutex.AwaitWithTimeout(absl::Condition(&ended), order.wait);
        runs = {};
        runs.clockMs = absl::ToUnixMillis(core::SteadyClock().now());
        runs.startedAtMs = worker.startedAtMs;
        for (const workload::RunKey &run : m_running)
            runs.running.push_back({run, {}, 10});
        runs.ended = m_ended;
        return OrderOutcome::Done;
    }

    // Completes all running tasks; returns their number.
    int completeAll()
    {
        absl::MutexLock lock(&m_mutex);
        const int count = static_cast<int>(m_running.size());
        for (const workload::RunKey &run : m_running) {
            m_ended.push_back({++m_number, run, planning::RunEnd::Completed, {}});
            m_barred.insert(run);
        }
        m_running.clear();
        return count;
    }

    std::map<workload::TaskKey, int> starts() const
    {
        absl::MutexLock lock(&m_mutex);
        return m_starts;
    }

    // Returns how many renewals have extended the lease.
    int leaseExtensions() const
    {
        absl::MutexLock lock(&m_mutex);
        return m_leaseExtensions;
    }

    std::int64_t acknowledged() const
    {
        absl::MutexLock lock(&m_mutex);
        return m_acknowledged;
    }

private:
    bool raiseFence(std::int64_t fence) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex)
    {
        if (fence < m_fence)
            return false;
        m_fence = fence;
        return true;
    }

    mutable absl::Mutex m_mutex;
    std::set<workload::RunKey> m_running ABSL_GUARDED_BY(m_mutex);
    std::set<workload::RunKey> m_barred ABSL_GUARDED_BY(m_mutex);
    std::vector<EndedTask> m_ended ABSL_GUARDED_BY(m_mutex);
    std::map<workload::TaskKey, int> m_starts ABSL_GUARDED_BY(m_mutex);
    int m_leaseExtensions ABSL_GUARDED_BY(m_mutex) = 0;
    std::int64_t m_number ABSL_GUARDED_BY(m_mutex) = 0;
    std::int64_t m_acknowledged ABSL_GUARDED_BY(m_mutex) = 0;
    std::int64_t m_fence ABSL_GUARDED_BY(m_mutex) = 0;
};

} // namespace oleandercross::control::testing
