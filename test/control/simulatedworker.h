#pragma once

#include "runlog.h"

#include <oleandercross/control/workerport.h>
#include <oleandercross/core/clock.h>

#include <absl/strings/str_cat.h>
#include <absl/synchronization/mutex.h>

#include <map>
#include <set>

namespace oleandercross::control::testing {

// An in-memory worker whose tasks complete when the test calls completeAll(). Until boot() is
// called it answers as whatever incarnation it is called as, and its leases have no end.
class SimulatedWorker : public WorkerPort
{
public:
    // A list contains at most this many ended runs; the others follow after their acknowledgement.
    static constexpr std::size_t MaxListedEnds = 500;

    // A booted worker shortens longer leases to this, as the platform's workers do.
    static constexpr absl::Duration MaxLease = absl::Seconds(6);

    SimulatedWorker() = default;
    explicit SimulatedWorker(RunLog &log)
        : m_log(&log)
    { }

    WorkerReport report(const std::string &id, std::int64_t startMs) const
    {
        WorkerReport report;
        report.id = id;
        report.startedAtMs = startMs;
        report.address = {"127.0.0.1", 1};
        report.service = "booking";
        report.rack = "r1";
        report.dataCentre = "brum";
        report.capacity = {32000, 64000, 8};
        report.sequence = 1;
        return report;
    }

    // Starts a new boot, which knows nothing of the one before; what ran there has ended.
    void boot(const std::string &id, std::int64_t startMs)
    {
        absl::MutexLock lock(&m_mutex);
        for (const workload::RunKey &run : std::exchange(m_running, {}))
            noteEnd(run);
        m_barred.clear();
        m_ended.clear();
        m_number = 0;
        m_acknowledged = 0;
        m_fence = 0;
        m_listings = 0;
        m_sequence = 0;
        m_id = id;
        m_startedAtMs = startMs;
        m_bootedAt = m_clock.now();
        m_leaseEnd = m_bootedAt;
    }

    // Returns the next heartbeat of the present boot.
    WorkerReport heartbeat()
    {
        absl::MutexLock lock(&m_mutex);
        WorkerReport heartbeat = report(m_id, m_startedAtMs);
        heartbeat.sequence = ++m_sequence;
        heartbeat.clockMs = clockMs();
        return heartbeat;
    }

    // While the worker does not list its runs, renewals get no response.
    void setListing(bool listing)
    {
        absl::MutexLock lock(&m_mutex);
        m_listing = listing;
    }

    // Returns how often the present boot has listed its runs.
    int listings() const
    {
        absl::MutexLock lock(&m_mutex);
        return m_listings;
    }

    OrderOutcome start(const WorkerReport &worker, const StartOrder &order, absl::Duration) override
    {
        absl::MutexLock lock(&m_mutex);
        if (!isMeant(worker))
            return OrderOutcome::OtherIncarnation;
        if (!raiseFence(order.fence))
            return OrderOutcome::Fenced;
        extendLease(order.leaseUntilMs);
        if (isBarred(order.run) || (booted() && m_leaseEnd <= m_clock.now()))
            return OrderOutcome::Refused;
        if (m_running.insert(order.run).second) {
            ++m_starts[order.run.task];
            if (m_log)
                m_log->started(this, absl::StrCat(m_id, "/", m_startedAtMs), order.run);
        }
        return OrderOutcome::Done;
    }

    OrderOutcome stop(const WorkerReport &worker, const workload::RunKey &run, std::int64_t fence,
                      absl::Duration) override
    {
        absl::MutexLock lock(&m_mutex);
        if (!isMeant(worker))
            return OrderOutcome::OtherIncarnation;
        if (!raiseFence(fence))
            return OrderOutcome::Fenced;
        bar(run);
        if (m_running.erase(run) > 0)
            end(run, planning::RunEnd::Stopped);
        return OrderOutcome::Done;
    }

    OrderOutcome renew(const WorkerReport &worker, const RenewOrder &order, WorkerRuns &runs,
                       absl::Duration) override
    {
        absl::MutexLock lock(&m_mutex);
        if (!m_listing)
            return OrderOutcome::Unanswered;
        if (!isMeant(worker))
            return OrderOutcome::OtherIncarnation;
        if (!raiseFence(order.fence))
            return OrderOutcome::Fenced;
        if (order.leaseUntilMs) {
            extendLease(*order.leaseUntilMs);
            ++m_leaseExtensions;
        }
        std::erase_if(m_ended, [&](const EndedTask &e) { return e.number <= order.acknowledged; });
        m_acknowledged = std::max(m_acknowledged, order.acknowledged);
        const core::Instant calledBoot = m_bootedAt;
        const auto mayAnswer = [&] { return !m_ended.empty() || m_bootedAt != calledBoot; };
        if (m_ended.empty())
            m_mutex.AwaitWithTimeout(absl::Condition(&mayAnswer), order.wait);
        // The connection to a boot that has ended is closed without a response.
        if (m_bootedAt != calledBoot || !m_listing)
            return OrderOutcome::Unanswered;
        endLapsedRuns();
        runs = {};
        runs.clockMs = clockMs();
        runs.startedAtMs = booted() ? m_startedAtMs : worker.startedAtMs;
        for (const workload::RunKey &run : m_running)
            runs.running.push_back({run, {}, 10});
        runs.ended = m_ended;
        runs.moreEnded = runs.ended.size() > MaxListedEnds;
        if (runs.moreEnded)
            runs.ended.resize(MaxListedEnds);
        ++m_listings;
        return OrderOutcome::Done;
    }

    // Completes all running tasks; returns their number.
    int completeAll()
    {
        absl::MutexLock lock(&m_mutex);
        endLapsedRuns();
        const std::set<workload::RunKey> completed = std::exchange(m_running, {});
        for (const workload::RunKey &run : completed)
            end(run, planning::RunEnd::Completed);
        return static_cast<int>(completed.size());
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
    bool booted() const ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex) { return !m_id.empty(); }

    bool isMeant(const WorkerReport &worker) const ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex)
    {
        return !booted() || worker.id == m_id;
    }

    // Returns the worker's own clock; the clock of each boot starts at 0.
    std::int64_t clockMs() const ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex)
    {
        return booted() ? absl::ToInt64Milliseconds(m_clock.now() - m_bootedAt)
                        : absl::ToUnixMillis(m_clock.now());
    }

    void extendLease(std::int64_t untilMs) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex)
    {
        endLapsedRuns();
        m_leaseEnd =
            std::max(m_leaseEnd,
                     std::min(m_bootedAt + absl::Milliseconds(untilMs), m_clock.now() + MaxLease));
        if (m_log)
            m_log->leaseExtended(this, m_leaseEnd);
    }

    void endLapsedRuns() ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex)
    {
        if (!booted() || m_leaseEnd > m_clock.now())
            return;
        for (const workload::RunKey &run : std::exchange(m_running, {}))
            end(run, planning::RunEnd::Lapsed);
    }

    void end(const workload::RunKey &run, planning::RunEnd how)
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex)
    {
        m_ended.push_back({++m_number, run, how, {}});
        bar(run);
        noteEnd(run);
    }

    void noteEnd(const workload::RunKey &run) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex)
    {
        if (m_log)
            m_log->ended(this, run);
    }

    // Runs that are not higher than one that was stopped or has ended cannot start.
    void bar(const workload::RunKey &run) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex)
    {
        int &highest = m_barred[run.task];
        highest = std::max(highest, run.run);
    }

    bool isBarred(const workload::RunKey &run) const ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex)
    {
        const auto found = m_barred.find(run.task);
        return found != m_barred.end() && run.run <= found->second;
    }

    bool raiseFence(std::int64_t fence) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex)
    {
        if (fence < m_fence)
            return false;
        m_fence = fence;
        return true;
    }

    RunLog *const m_log = nullptr;
    const core::SteadyClock m_clock{};
    mutable absl::Mutex m_mutex;
    // The present boot; the id is empty before boot() is called.
    std::string m_id ABSL_GUARDED_BY(m_mutex);
    std::int64_t m_startedAtMs ABSL_GUARDED_BY(m_mutex) = 0;
    core::Instant m_bootedAt ABSL_GUARDED_BY(m_mutex) = absl::UnixEpoch();
    core::Instant m_leaseEnd ABSL_GUARDED_BY(m_mutex) = absl::InfinitePast();
    std::int64_t m_sequence ABSL_GUARDED_BY(m_mutex) = 0;
    bool m_listing ABSL_GUARDED_BY(m_mutex) = true;
    int m_listings ABSL_GUARDED_BY(m_mutex) = 0;
    std::set<workload::RunKey> m_running ABSL_GUARDED_BY(m_mutex);
    std::map<workload::TaskKey, int> m_barred ABSL_GUARDED_BY(m_mutex);
    std::vector<EndedTask> m_ended ABSL_GUARDED_BY(m_mutex);
    std::map<workload::TaskKey, int> m_starts ABSL_GUARDED_BY(m_mutex);
    int m_leaseExtensions ABSL_GUARDED_BY(m_mutex) = 0;
    std::int64_t m_number ABSL_GUARDED_BY(m_mutex) = 0;
    std::int64_t m_acknowledged ABSL_GUARDED_BY(m_mutex) = 0;
    std::int64_t m_fence ABSL_GUARDED_BY(m_mutex) = 0;
};

} // namespace oleandercross::control::testing
