#include "scheduler_p.h"

#include <algorithm>

namespace oleandercross::scheduling {

namespace {

constexpr int MaxQuarantineDoublings = 5;

} // namespace

// A failure counts against the worker only while the job has failed nowhere else. If a job fails on
// several workers, the job is the likely cause and its earlier failures are retracted.
void Scheduler::Private::recordFailure(Job &job, int index)
{
    if (job.failedWorkers.size() > 1) {
        for (const int other : job.failedWorkers)
            workerHealth[static_cast<std::size_t>(other)].failedJobs.erase(job.spec.id);
    }
    detail::WorkerHealth &evidence = workerHealth[static_cast<std::size_t>(index)];
    if (worker(index).healthState == HealthState::Probation) {
        setHealthState(index, HealthState::Quarantined);
        return;
    }
    if (job.failedWorkers.size() > 1)
        return;
    evidence.failedJobs.insert(job.spec.id);
    const bool bad = static_cast<int>(evidence.failedJobs.size()) >= policy.quarantineThreshold;
    if (bad && worker(index).healthState == HealthState::Healthy && mayQuarantine())
        setHealthState(index, HealthState::Quarantined);
}

void Scheduler::Private::recordSuccess(int index)
{
    detail::WorkerHealth &evidence = workerHealth[static_cast<std::size_t>(index)];
    evidence.failedJobs.clear();
    if (worker(index).healthState != HealthState::Probation)
        return;
    if (++evidence.probationSuccesses >= policy.probationTasks)
        setHealthState(index, HealthState::Healthy);
}

// At most a third of the workers may be in quarantine or on probation.
bool Scheduler::Private::mayQuarantine() const
{
    const auto &workers = cluster.workers();
    const auto out = std::count_if(workers.begin(), workers.end(), [](const auto &state) {
        return state.healthState != HealthState::Healthy;
    });
    return (out + 1) * 3 <= static_cast<std::ptrdiff_t>(workers.size());
}

void Scheduler::Private::setHealthState(int index, HealthState healthState)
{
    detail::WorkerHealth &evidence = workerHealth[static_cast<std::size_t>(index)];
    worker(index).healthState = healthState;
    evidence.failedJobs.clear();
    evidence.probationSuccesses = 0;
    evidence.quarantinedUntil = absl::InfiniteFuture();
    if (healthState == HealthState::Quarantined) {
        const int doublings = std::min(evidence.quarantineCount++, MaxQuarantineDoublings);
        evidence.quarantinedUntil = m_now + policy.quarantineDuration * (1 << doublings);
        revokeCells(index);
        const std::vector<Job *> reservations = worker(index).reservations;
        for (Job *job : reservations)
            dropReservation(*job);
    } else if (healthState == HealthState::Healthy) {
        evidence.quarantineCount = 0;
    }
    m_passNeeded = true;
    m_shortfallStale = true;
    m_freeCapacityStale = true;
    emit(QuarantineChanged{worker(index).id, healthState});
}

void Scheduler::Private::updateHealth()
{
    for (std::size_t i = 0; i < workerHealth.size(); ++i) {
        const int index = static_cast<int>(i);
        if (worker(index).healthState == HealthState::Quarantined
            && workerHealth[i].quarantinedUntil <= m_now)
            setHealthState(index, HealthState::Probation);
        if (worker(index).healthState == HealthState::Probation)
            tryStartOnProbation(index);
    }
}

// Starts a small job on a worker in probation, if the worker is idle.
void Scheduler::Private::tryStartOnProbation(int index)
{
    constexpr int MaxScannedJobs = 64;
    WorkerState &state = worker(index);
    if (!state.present || state.draining || !state.gangs.empty() || !m_restored)
        return;
    int scanned = 0;
    for (const auto &[key, job] : m_queue) {
        if (++scanned > MaxScannedJobs)
            return;
        const bool small = job->spec.tasks == 1 && job->perTask.accelerators <= 1
            && job->spec.repeatable && !job->spec.urgent && !job->reserved;
        const std::vector<int> excludedWorkers = avoidedWorkers(*job);
        const bool allowed = std::find(excludedWorkers.begin(), excludedWorkers.end(), index)
            == excludedWorkers.end();
        if (!small || !allowed || !core::fits(job->perTask, state.total) || !checkPermitted(*job))
            continue;
        detail::TaskAssignment task;
        task.worker = index;
        task.accelerators =
            detail::pickSlots(state.all, job->perTask.accelerators, ~detail::Slots{0});
        job->layout = {task};
        job->capacityClass = CapacityClass::Borrowed;
        start(*job);
        return;
    }
}

} // namespace oleandercross::scheduling
