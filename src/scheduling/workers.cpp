#include "scheduler_p.h"

#include <algorithm>
#include <limits>

namespace oleandercross::scheduling {

using detail::Layout;
using detail::Slots;

void Scheduler::Private::updateWorker(const core::WorkerId &id, const core::RackId &rack,
                                      const core::Resources &resources)
{
    const int known = cluster.workerIndex(id);
    const bool same =
        known >= 0 && worker(known).total == resources && worker(known).rackId == rack;
    if (known >= 0 && !same)
        revokeCells(known);
    const int index = cluster.setWorker(id, rack, resources);
    workerHealth.resize(cluster.workers().size());
    worker(index).present = true;
    m_passNeeded = true;
    m_shortfallStale = true;
    m_freeCapacityStale = true;
    if (same)
        return;
    m_fitCache.clear();
    recomputeSurplus(index);
    // Gangs that no longer fit the changed worker are lost.
    const std::vector<Job *> reservations = worker(index).reservations;
    for (Job *job : reservations)
        dropReservation(*job);
    const std::vector<Job *> gangs = worker(index).gangs;
    for (Job *job : gangs) {
        const auto &state = worker(index);
        const bool outside =
            std::any_of(job->layout.begin(), job->layout.end(), [&](const auto &task) {
                return task.worker == index && (task.accelerators & ~state.all) != 0;
            });
        if (outside || state.freeCores < 0 || state.freeMemory < 0)
            handleLostGang(*job);
    }
}

// The number of slots that surplus work occupies depends on the worker's size.
void Scheduler::Private::recomputeSurplus(int index)
{
    for (Job *job : worker(index).gangs) {
        for (detail::TaskAssignment &task : job->layout) {
            if (task.worker != index || task.cell >= 0 || job->spec.repeatable
                || job->state == JobState::Stopping)
                continue;
            Layout alone(1, task);
            cluster.release(alone);
            cluster.forceSurplus(job->perTask, alone);
            task = alone.front();
        }
    }
}

void Scheduler::Private::handle(const WorkerJoined &event)
{
    updateWorker(event.worker, event.rack, event.resources);
}

void Scheduler::Private::handle(const WorkerChanged &event)
{
    if (cluster.workerIndex(event.worker) >= 0)
        updateWorker(event.worker, event.rack, event.resources);
}

void Scheduler::Private::handle(const WorkerDraining &event)
{
    const int index = cluster.workerIndex(event.worker);
    if (index < 0 || worker(index).draining == event.draining)
        return;
    worker(index).draining = event.draining;
    m_passNeeded = true;
    m_shortfallStale = true;
    m_freeCapacityStale = true;
    if (!event.draining)
        return;
    revokeCells(index);
    const std::vector<Job *> reservations = worker(index).reservations;
    for (Job *job : reservations)
        dropReservation(*job);
    moveFromDrainingWorkers();
}

// Stops repeatable gangs on draining workers. Others run until they end.
void Scheduler::Private::moveFromDrainingWorkers()
{
    std::vector<Job *> moving;
    for (const detail::WorkerState &state : cluster.workers()) {
        if (!state.draining)
            continue;
        for (Job *job : state.gangs) {
            if (job->spec.repeatable && job->state != JobState::Stopping)
                moving.push_back(job);
        }
    }
    for (Job *job : moving) {
        if (job->state != JobState::Stopping)
            beginStop(*job, detail::AfterStop::Requeue, policy.checkpointTimeout);
    }
}

void Scheduler::Private::handle(const WorkerLost &event)
{
    const int index = cluster.workerIndex(event.worker);
    if (index < 0 || !worker(index).present)
        return;
    worker(index).present = false;
    m_passNeeded = true;
    m_shortfallStale = true;
    m_freeCapacityStale = true;
    const std::vector<Job *> reservations = worker(index).reservations;
    for (Job *job : reservations)
        dropReservation(*job);
    const std::vector<Job *> gangs = worker(index).gangs;
    for (Job *job : gangs)
        handleLostGang(*job);
    revokeCells(index);
}

void Scheduler::Private::handle(const WorkerReturned &event)
{
    const int index = cluster.workerIndex(event.worker);
    if (index < 0)
        return;
    worker(index).present = true;
    m_passNeeded = true;
    m_shortfallStale = true;
    m_freeCapacityStale = true;
}

// Revokes all cells that lie on the worker.
void Scheduler::Private::revokeCells(int index)
{
    for (std::size_t i = 0; i < cluster.cells().size(); ++i) {
        const std::vector<detail::CellPart> &parts = cluster.cells()[i].parts;
        if (std::any_of(parts.begin(), parts.end(),
                        [index](const auto &part) { return part.worker == index; }))
            revokeCell(static_cast<int>(i));
    }
}

void Scheduler::Private::revokeCell(int cell)
{
    std::vector<Job *> holders;
    for (const detail::CellPart &part : cluster.cells()[static_cast<std::size_t>(cell)].parts) {
        const detail::WorkerState &state = worker(part.worker);
        for (const auto *jobs : {&state.gangs, &state.reservations}) {
            for (Job *job : *jobs) {
                const bool holds =
                    std::any_of(job->layout.begin(), job->layout.end(),
                                [cell](const auto &task) { return task.cell == cell; });
                if (holds && std::find(holders.begin(), holders.end(), job) == holders.end())
                    holders.push_back(job);
            }
        }
    }
    for (Job *job : holders) {
        if (job->reserved)
            dropReservation(*job);
        else
            withdrawClaim(*job, cell);
    }
    cluster.unbind(cell);
    m_cellsFreed = true;
    m_shortfallStale = true;
}

// Removes a running job's claim on a cell. Repeatable jobs become borrowed. Others become surplus
// there and keep their claims on other cells, which could not be placed elsewhere while they run.
void Scheduler::Private::withdrawClaim(Job &job, int cell)
{
    m_cellsFreed = true;
    if (job.spec.repeatable || job.state == JobState::Stopping) {
        cluster.release(job.layout);
        job.capacityClass = CapacityClass::Borrowed;
        return;
    }
    for (detail::TaskAssignment &task : job.layout) {
        if (task.cell != cell)
            continue;
        Layout alone(1, task);
        cluster.release(alone);
        if (!cluster.takeSurplus(job.perTask, alone))
            cluster.forceSurplus(job.perTask, alone);
        task = alone.front();
    }
    const bool holdsClaim = std::any_of(job.layout.begin(), job.layout.end(),
                                        [](const auto &task) { return task.cell >= 0; });
    job.capacityClass = holdsClaim ? CapacityClass::Guaranteed : CapacityClass::Surplus;
    m_shortfallStale = true;
}

void Scheduler::Private::handle(const ManifestChanged &event)
{
    if (event.manifest == nullptr)
        return;
    m_manifest = event.manifest;
    const std::vector<int> removed = cluster.excessCells(*m_manifest, dataCentre);
    for (const int cell : removed)
        revokeCell(cell);
    cluster.setGuarantees(*m_manifest, dataCentre, removed);
    m_fitCache.clear();
    m_quota.clear();
    for (const config::Account &account : m_manifest->accounts) {
        for (const config::Team &team : account.teams)
            m_quota[{account.name, team.name}] = team.acceleratorQuota;
        // An account without teams is limited only by its guarantees and the capacity to borrow.
        if (account.teams.empty())
            m_quota[{account.name, core::TeamId()}] = std::numeric_limits<int>::max();
    }
    m_passNeeded = true;
    m_cellsFreed = true;
    m_shortfallStale = true;
}

// Returns the layout of a restored gang on present workers. `matches` is set to false if any part
// of the gang is missing.
Layout Scheduler::Private::restoredLayout(const Placement &placement,
                                          const core::Resources &perTask, bool &matches) const
{
    Layout layout;
    absl::flat_hash_map<int, Slots> taken;
    matches = true;
    for (const TaskPlacement &task : placement.tasks) {
        detail::TaskAssignment assignment;
        assignment.worker = cluster.workerIndex(task.worker);
        if (assignment.worker < 0
            || !cluster.workers()[static_cast<std::size_t>(assignment.worker)].present) {
            matches = false;
            continue;
        }
        const detail::WorkerState &state =
            cluster.workers()[static_cast<std::size_t>(assignment.worker)];
        Slots &here = taken[assignment.worker];
        for (const int index : task.accelerators) {
            if (index >= 0 && index < detail::MaxSlots)
                assignment.accelerators |= Slots{1} << index;
        }
        // Accelerators that the worker no longer has stay in use, because they may return.
        assignment.accelerators &= ~state.used & ~here;
        matches = matches && (assignment.accelerators & ~state.all) == 0
            && detail::count(assignment.accelerators) == perTask.accelerators;
        here |= assignment.accelerators;
        layout.push_back(assignment);
    }
    return layout;
}

// Restores a running gang. A gang that does not match the workers is stopped and keeps its
// resources until then.
void Scheduler::Private::restoreGang(Job &job, const RestoredJob &restored)
{
    dequeue(job);
    job.startedAt = m_now;
    job.finishedTasks.assign(static_cast<std::size_t>(job.spec.tasks), false);
    for (const int task : restored.finishedTasks) {
        if (task >= 0 && task < job.spec.tasks)
            job.finishedTasks[static_cast<std::size_t>(task)] = true;
    }
    job.state = JobState::Running;
    bool matches = false;
    job.layout = restoredLayout(restored.placement, job.perTask, matches);
    updateUsage(job, true);
    const bool overcommitted =
        std::any_of(job.layout.begin(), job.layout.end(), [&](const auto &task) {
            return worker(task.worker).freeCores < 0 || worker(task.worker).freeMemory < 0;
        });
    if (!matches || overcommitted || static_cast<int>(job.layout.size()) != job.spec.tasks) {
        handleLostGang(job);
        return;
    }
    const int account = cluster.accountIndex(job.spec.account);
    if (cluster.claimInPlace(account, job.perTask, job.layout, job.spec.repeatable)) {
        job.capacityClass = CapacityClass::Guaranteed;
    } else if (job.spec.repeatable) {
        job.capacityClass = CapacityClass::Borrowed;
    } else {
        job.capacityClass = CapacityClass::Surplus;
        if (!cluster.takeSurplus(job.perTask, job.layout))
            cluster.forceSurplus(job.perTask, job.layout);
    }
}

void Scheduler::Private::handle(const StateRestored &event)
{
    m_restored = true;
    m_passNeeded = true;
    m_shortfallStale = true;
    cluster.refreshShortfall();
    std::vector<std::pair<Job *, const RestoredJob *>> runningJobs;
    for (const RestoredJob &restored : event.jobs) {
        if (jobs.contains(restored.spec.id))
            continue;
        auto job = std::make_unique<Job>();
        job->spec = restored.spec;
        job->perTask =
            restored.perTask == core::Resources{} ? restored.spec.perTask : restored.perTask;
        job->attempt = restored.attempt;
        job->attainedService = restored.attained;
        job->failures = restored.failures;
        job->enlargements = restored.enlargements;
        job->hasCheckpoint = restored.hasCheckpoint;
        job->sequence = m_nextSequence++;
        job->waitingSince = m_now;
        Job &stored = *jobs.emplace(restored.spec.id, std::move(job)).first->second;
        enqueue(stored);
        if (restored.state != JobState::Waiting)
            runningJobs.emplace_back(&stored, &restored);
    }
    // Jobs that are not repeatable claim their guarantee first, because they must not lose it.
    std::stable_partition(runningJobs.begin(), runningJobs.end(),
                          [](const auto &entry) { return !entry.first->spec.repeatable; });
    for (const auto &[job, restored] : runningJobs)
        restoreGang(*job, *restored);
    // The previous leader may have stopped before it ended a job that failed too often.
    for (const RestoredJob &restored : event.jobs) {
        const auto it = jobs.find(restored.spec.id);
        if (restored.failures < policy.maxFailures || it == jobs.end())
            continue;
        Job &job = *it->second;
        job.code = core::ResultCode::JobFailedEverywhere;
        job.message = "the job failed on several workers";
        if (job.isActive())
            beginStop(job, detail::AfterStop::Fail, absl::ZeroDuration());
        else
            finish(job, JobState::Failed, job.code, job.message);
    }
}

} // namespace oleandercross::scheduling
