#include "scheduler_p.h"

#include <algorithm>

namespace oleandercross::scheduling {

namespace {

constexpr int MaxQuarantineDoublings = 5;

} // namespace

// A failure counts against the worker only while the job has failed nowhere else; a job that fails
// on several workers is to blame itself, and its earlier marks are taken back.
void Scheduler::Private::blame(Job &job, int index)
{
    if (job.failedOn.size() > 1) {
        for (const int other : job.failedOn)
            health[static_cast<std::size_t>(other)].failedJobs.erase(job.spec.id);
    }
    detail::Health &marks = health[static_cast<std::size_t>(index)];
    if (worker(index).standing == Standing::Probation) {
        setStanding(index, Standing::Quarantined);
        return;
    }
    if (job.failedOn.size() > 1)
        return;
    marks.failedJobs.insert(job.spec.id);
    const bool bad = static_cast<int>(marks.failedJobs.size()) >= policy.quarantineAfter;
    if (bad && worker(index).standing == Standing::Healthy && mayQuarantine())
        setStanding(index, Standing::Quarantined);
}

void Scheduler::Private::praise(int index)
{
    detail::Health &marks = health[static_cast<std::size_t>(index)];
    marks.failedJobs.clear();
    if (worker(index).standing != Standing::Probation)
        return;
    if (++marks.probationSuccesses >= policy.probationTasks)
        setStanding(index, Standing::Healthy);
}

// At most a third of the data centre is out of service for its failures.
bool Scheduler::Private::mayQuarantine() const
{
    const auto &workers = cluster.workers();
    const auto out = std::count_if(workers.begin(), workers.end(), [](const auto &state) {
        return state.standing != Standing::Healthy;
    });
    return (out + 1) * 3 <= static_cast<std::ptrdiff_t>(workers.size());
}

void Scheduler::Private::setStanding(int index, Standing standing)
{
    detail::Health &marks = health[static_cast<std::size_t>(index)];
    worker(index).standing = standing;
    marks.failedJobs.clear();
    marks.probationSuccesses = 0;
    marks.until = absl::InfiniteFuture();
    if (standing == Standing::Quarantined) {
        const int doublings = std::min(marks.quarantines++, MaxQuarantineDoublings);
        marks.until = m_now + policy.quarantine * (1 << doublings);
        retireCells(index);
        const std::vector<Job *> reservations = worker(index).reservations;
        for (Job *job : reservations)
            dropReservation(*job);
    } else if (standing == Standing::Healthy) {
        marks.quarantines = 0;
    }
    m_passNeeded = true;
    m_shortfallStale = true;
    m_viewStale = true;
    emit(QuarantineChanged{worker(index).id, standing});
}

void Scheduler::Private::stepHealth()
{
    for (std::size_t i = 0; i < health.size(); ++i) {
        const int index = static_cast<int>(i);
        if (worker(index).standing == Standing::Quarantined && health[i].until <= m_now)
            setStanding(index, Standing::Probation);
        if (worker(index).standing == Standing::Probation)
            tryProbation(index);
    }
}

// Starts one small task on a worker in probation that runs nothing.
void Scheduler::Private::tryProbation(int index)
{
    constexpr int Scanned = 64;
    WorkerState &state = worker(index);
    if (!state.present || state.draining || !state.gangs.empty() || !m_restored)
        return;
    int scanned = 0;
    for (const auto &[key, job] : m_queue) {
        if (++scanned > Scanned)
            return;
        const bool small = job->spec.tasks == 1 && job->perTask.accelerators <= 1
            && job->spec.repeatable && !job->spec.urgent && !job->reserved;
        const std::vector<int> avoid = avoided(*job);
        const bool allowed = std::find(avoid.begin(), avoid.end(), index) == avoid.end();
        if (!small || !allowed || !core::fits(job->perTask, state.total) || !permitted(*job))
            continue;
        detail::TaskHold task;
        task.worker = index;
        task.accelerators =
            detail::pickSlots(state.all, job->perTask.accelerators, ~detail::Slots{0});
        job->layout = {task};
        job->hold = Hold::Borrowed;
        start(*job);
        return;
    }
}

} // namespace oleandercross::scheduling
