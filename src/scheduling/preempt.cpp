#include "placer.h"
#include "scheduler_p.h"

#include <algorithm>

namespace oleandercross::scheduling {

using detail::CapacityView;
using detail::Layout;
using detail::Slots;
using detail::WaitReason;
using detail::WorkerShare;

namespace {

// Maximum accelerators of a pre-empted gang for each accelerator that the waiting job needs.
constexpr int MaxPreemptedAcceleratorsPerNeeded = 2;

// Running jobs are rarely moved, because each move costs a checkpoint and a start.
constexpr absl::Duration DefragmentationInterval = absl::Seconds(30);

WorkerShare workerShare(const detail::Job &job, int worker)
{
    const auto it =
        std::lower_bound(job.shares.begin(), job.shares.end(), worker,
                         [](const WorkerShare &share, int index) { return share.worker < index; });
    return it != job.shares.end() && it->worker == worker ? *it : WorkerShare{};
}

} // namespace

std::vector<WorkerShare> detail::workerShares(const Layout &layout)
{
    std::vector<WorkerShare> shares;
    for (const TaskAssignment &task : layout) {
        const auto it = std::lower_bound(
            shares.begin(), shares.end(), task.worker,
            [](const WorkerShare &share, int index) { return share.worker < index; });
        const bool exists = it != shares.end() && it->worker == task.worker;
        WorkerShare &share = exists ? *it : *shares.insert(it, WorkerShare{task.worker, 0, 0});
        share.accelerators |= task.accelerators;
        ++share.tasks;
    }
    return shares;
}

// Returns the free capacity plus that of gangs that are stopping or eligible for pre-emption.
template <typename Eligible>
CapacityView Scheduler::Private::capacityAfterPreempting(Eligible eligible)
{
    CapacityView view = freeCapacity();
    for (std::size_t i = 0; i < view.slots.size(); ++i) {
        const WorkerState &state = cluster.workers()[i];
        if (!state.usable())
            continue;
        int cores = state.freeCores - state.reservedCores;
        std::int64_t memory = state.freeMemory - state.reservedMemory;
        for (const Job *gang : state.gangs) {
            if (gang->state != JobState::Stopping && !eligible(*gang))
                continue;
            const WorkerShare share = workerShare(*gang, static_cast<int>(i));
            view.slots[i] |= share.accelerators & state.all & ~state.reserved;
            cores += gang->perTask.cores * share.tasks;
            memory += gang->perTask.memoryMb * share.tasks;
        }
        view.cores[i] = std::max(0, cores);
        view.memory[i] = std::max<std::int64_t>(0, memory);
    }
    return view;
}

// Returns the gangs that have to stop for the layout. Sets `complete` to false if stopping the
// eligible gangs does not free it.
template <typename Eligible>
std::vector<detail::Job *> Scheduler::Private::selectVictims(const Layout &layout,
                                                             const core::Resources &perTask,
                                                             Eligible eligible, bool &complete)
{
    std::vector<Job *> chosen;
    const auto isChosen = [&](const Job *job) {
        return std::find(chosen.begin(), chosen.end(), job) != chosen.end();
    };
    complete = true;
    const std::vector<WorkerShare> shares = detail::workerShares(layout);
    for (const WorkerShare &wanted : shares) {
        const int index = wanted.worker;
        for (Job *gang : worker(index).gangs) {
            const bool overlaps =
                (workerShare(*gang, index).accelerators & wanted.accelerators) != 0;
            if (!overlaps || gang->state == JobState::Stopping || isChosen(gang))
                continue;
            if (eligible(*gang))
                chosen.push_back(gang);
            else
                complete = false;
        }
    }
    for (const WorkerShare &wanted : shares) {
        const int index = wanted.worker;
        const WorkerState &state = worker(index);
        int cores = state.freeCores - state.reservedCores - perTask.cores * wanted.tasks;
        std::int64_t memory =
            state.freeMemory - state.reservedMemory - perTask.memoryMb * wanted.tasks;
        const auto add = [&](const Job &gang) {
            const int tasks = workerShare(gang, index).tasks;
            cores += gang.perTask.cores * tasks;
            memory += gang.perTask.memoryMb * tasks;
        };
        for (const Job *gang : state.gangs) {
            if (gang->state == JobState::Stopping || isChosen(gang))
                add(*gang);
        }
        for (Job *gang : state.gangs) {
            if (cores >= 0 && memory >= 0)
                break;
            if (gang->state == JobState::Stopping || isChosen(gang) || !eligible(*gang))
                continue;
            chosen.push_back(gang);
            add(*gang);
        }
        complete = complete && cores >= 0 && memory >= 0;
    }
    return chosen;
}

// Reserves the layout and stops the given gangs on it. The job starts when they have stopped.
// Always returns true.
bool Scheduler::Private::reserveAndPreempt(Job &job, Layout layout,
                                           const std::vector<Job *> &victims,
                                           absl::Duration checkpointTimeout)
{
    job.layout = std::move(layout);
    reserve(job, true);
    for (Job *victim : victims)
        beginStop(*victim, detail::AfterStop::Requeue, checkpointTimeout);
    startReserved();
    return true;
}

// Claims the account's guarantee and stops the borrowers that use it.
bool Scheduler::Private::tryClaim(Job &job)
{
    const int account = cluster.accountIndex(job.spec.account);
    std::optional<Layout> layout = cluster.claimAnywhere(account, job.shape(), avoidedWorkers(job));
    if (!layout)
        return false;
    const std::vector<WorkerShare> shares = detail::workerShares(*layout);
    Job *displacedLargeGang = nullptr;
    for (const WorkerShare &share : shares) {
        const int index = share.worker;
        const std::vector<Job *> reservations = worker(index).reservations;
        for (Job *other : reservations) {
            const WorkerState &state = worker(index);
            const bool lacksCoresOrMemory =
                state.freeCores - state.reservedCores < job.perTask.cores * share.tasks
                || state.freeMemory - state.reservedMemory < job.perTask.memoryMb * share.tasks;
            const bool overlaps =
                (workerShare(*other, index).accelerators & share.accelerators) != 0;
            if (other->capacityClass != CapacityClass::Borrowed
                || !(lacksCoresOrMemory || overlaps))
                continue;
            displacedLargeGang = other == m_oldestLargeGang ? other : displacedLargeGang;
            dropReservation(*other);
        }
    }
    bool complete = false;
    const auto eligible = [](const Job &gang) {
        return gang.capacityClass == CapacityClass::Borrowed && gang.state != JobState::Stopping;
    };
    const std::vector<Job *> victims = selectVictims(*layout, job.perTask, eligible, complete);
    if (!complete) {
        cluster.release(*layout);
        if (displacedLargeGang != nullptr)
            tryReservation(*displacedLargeGang);
        return false;
    }
    job.capacityClass = CapacityClass::Guaranteed;
    // An urgent job shortens the time limit of checkpoints that are already in progress.
    const absl::Duration checkpointTimeout =
        job.spec.urgent ? policy.urgentCheckpointTimeout : policy.checkpointTimeout;
    if (job.spec.urgent) {
        for (const WorkerShare &share : shares) {
            const int index = share.worker;
            for (Job *gang : worker(index).gangs) {
                if (gang->checkpointing)
                    gang->deadline = std::min(gang->deadline, m_now + checkpointTimeout);
            }
        }
    }
    reserveAndPreempt(job, std::move(*layout), victims, checkpointTimeout);
    // The oldest large gang reserves again before another job takes its previous capacity.
    if (displacedLargeGang != nullptr)
        tryReservation(*displacedLargeGang);
    return true;
}

bool Scheduler::Private::mayPreemptByLevel(const Job &victim, const Job &job) const
{
    const bool allowedClass = victim.capacityClass == CapacityClass::Borrowed
        || (victim.capacityClass == CapacityClass::Guaranteed
            && victim.spec.account == job.spec.account);
    // Gangs with accelerators are not pre-empted for the cores of a job that needs none. Large
    // gangs are hard to place again, so a small job does not pre-empt them.
    const bool costJustified =
        victim.acceleratorCount() <= MaxPreemptedAcceleratorsPerNeeded * job.acceleratorCount();
    return allowedClass && costJustified && victim.state == JobState::Running
        && victim.spec.repeatable && victim.spec.checkpointable && !victim.spec.urgent
        && victim.preemptions < policy.maxPreemptions && m_now - victim.startedAt >= policy.quantum;
}

// The oldest large gang may also pre-empt jobs without checkpoints that lose little work.
bool Scheduler::Private::mayPreemptForReservation(const Job &victim, const Job &job) const
{
    const bool losesLittle = victim.capacityClass == CapacityClass::Borrowed
        && victim.state == JobState::Running && victim.spec.repeatable
        && !victim.spec.checkpointable && !victim.spec.urgent
        && victim.preemptions < policy.maxPreemptions
        && m_now - victim.startedAt < policy.maxLostWork;
    return losesLittle || mayPreemptByLevel(victim, job);
}

// Pre-empts jobs of higher queue levels, those of the highest level first.
bool Scheduler::Private::tryPreemptByLevel(Job &job)
{
    if (!job.spec.repeatable)
        return false;
    const int ownLevel = std::get<1>(job.key);
    for (int minLevel = static_cast<int>(policy.levels.size()); minLevel > ownLevel; --minLevel) {
        const auto eligible = [&](const Job &victim) {
            return mayPreemptByLevel(victim, job) && queueLevel(victim) >= minLevel;
        };
        const CapacityView view = capacityAfterPreempting(eligible);
        std::optional<Layout> layout = place(cluster, view, job.shape(), avoidedWorkers(job));
        if (!layout)
            continue;
        bool complete = false;
        const std::vector<Job *> victims = selectVictims(*layout, job.perTask, eligible, complete);
        if (!complete)
            continue;
        for (Job *victim : victims)
            ++victim->preemptions;
        job.capacityClass = CapacityClass::Borrowed;
        return reserveAndPreempt(job, std::move(*layout), victims, policy.checkpointTimeout);
    }
    return false;
}

// Pre-empts borrowers of any account for an urgent job beyond its account's guarantee.
bool Scheduler::Private::tryPreemptForUrgent(Job &job)
{
    if (!job.spec.repeatable)
        return false;
    const auto eligible = [](const Job &victim) {
        return victim.capacityClass == CapacityClass::Borrowed && !victim.spec.urgent
            && victim.state != JobState::Stopping;
    };
    const CapacityView view = capacityAfterPreempting(eligible);
    std::optional<Layout> layout = place(cluster, view, job.shape(), avoidedWorkers(job));
    if (!layout)
        return false;
    bool complete = false;
    const std::vector<Job *> victims = selectVictims(*layout, job.perTask, eligible, complete);
    if (!complete)
        return false;
    job.capacityClass = CapacityClass::Borrowed;
    return reserveAndPreempt(job, std::move(*layout), victims, policy.urgentCheckpointTimeout);
}

// Returns true if the gangs fit into the free capacity outside of the layout.
bool Scheduler::Private::canRelocate(const std::vector<Job *> &victims, const Layout &layout,
                                     const core::Resources &perTask)
{
    CapacityView view = freeCapacity();
    const auto subtract = [&](const Layout &taken, const core::Resources &size) {
        for (const detail::TaskAssignment &task : taken) {
            const auto index = static_cast<std::size_t>(task.worker);
            view.slots[index] &= ~task.accelerators;
            view.cores[index] = std::max(0, view.cores[index] - size.cores);
            view.memory[index] = std::max<std::int64_t>(0, view.memory[index] - size.memoryMb);
        }
    };
    subtract(layout, perTask);
    for (const Job *victim : victims) {
        const std::optional<Layout> elsewhere = place(cluster, view, victim->shape(), {});
        if (!elsewhere)
            return false;
        subtract(*elsewhere, victim->perTask);
    }
    return true;
}

// Moves checkpointable gangs that fit elsewhere, if enough accelerators are free but too fragmented
// for the job. Also records Fragmented as the wait reason of a repeatable job.
bool Scheduler::Private::tryDefragment(Job &job)
{
    int free = 0;
    for (const Slots slots : freeCapacity().slots)
        free += detail::count(slots);
    if (free < job.acceleratorCount() || job.perTask.accelerators == 0)
        return false;
    if (job.spec.repeatable)
        job.waitReason = WaitReason::Fragmented;
    if (!job.spec.repeatable || m_now < m_nextDefragmentation)
        return false;
    const auto eligible = [&](const Job &victim) {
        return mayPreemptByLevel(victim, job) && victim.acceleratorCount() < job.acceleratorCount();
    };
    const CapacityView view = capacityAfterPreempting(eligible);
    std::optional<Layout> layout = place(cluster, view, job.shape(), avoidedWorkers(job));
    if (!layout)
        return false;
    bool complete = false;
    const std::vector<Job *> victims = selectVictims(*layout, job.perTask, eligible, complete);
    if (!complete || !canRelocate(victims, *layout, job.perTask))
        return false;
    m_nextDefragmentation = m_now + DefragmentationInterval;
    for (Job *victim : victims)
        ++victim->preemptions;
    job.capacityClass = CapacityClass::Borrowed;
    return reserveAndPreempt(job, std::move(*layout), victims, policy.checkpointTimeout);
}

// Reserves accelerators for the oldest large gang. No other job starts on them, so jobs behind it
// in the queue cannot delay it.
bool Scheduler::Private::tryReservation(Job &job)
{
    // Other jobs of the team may have taken its quota since the job was tried.
    if (!checkPermitted(job))
        return false;
    const auto borrowedOrSameAccount = [&](const Job &gang) {
        return gang.capacityClass == CapacityClass::Borrowed
            || (gang.capacityClass == CapacityClass::Guaranteed && gang.spec.repeatable
                && gang.spec.account == job.spec.account);
    };
    const auto eligible = [&](const Job &gang) { return mayPreemptForReservation(gang, job); };
    // Gangs that become eligible later are preferred to gangs that have to end on their own.
    const auto eligibleLater = [&](const Job &gang) {
        return borrowedOrSameAccount(gang) && gang.spec.checkpointable
            && gang.preemptions < policy.maxPreemptions;
    };
    const std::vector<int> excludedWorkers = avoidedWorkers(job);
    std::optional<Layout> layout =
        place(cluster, capacityAfterPreempting(eligible), job.shape(), excludedWorkers);
    if (!layout)
        layout =
            place(cluster, capacityAfterPreempting(eligibleLater), job.shape(), excludedWorkers);
    // Waiting for gangs to end on their own may take long, so it is accepted only after the gang
    // has waited for one ageing interval.
    if (!layout && m_now - job.waitingSince > policy.ageingInterval)
        layout = place(cluster, capacityAfterPreempting(borrowedOrSameAccount), job.shape(),
                       excludedWorkers);
    if (!layout)
        return false;
    bool complete = false;
    const std::vector<Job *> victims = selectVictims(*layout, job.perTask, eligible, complete);
    job.capacityClass = CapacityClass::Borrowed;
    m_oldestLargeGang = &job;
    for (Job *victim : victims)
        ++victim->preemptions;
    return reserveAndPreempt(job, std::move(*layout), victims, policy.checkpointTimeout);
}

// Stops gangs on the reservation of the oldest large gang that have become eligible since.
void Scheduler::Private::preemptForReservation()
{
    if (m_oldestLargeGang == nullptr)
        return;
    Job &job = *m_oldestLargeGang;
    std::vector<Job *> victims;
    for (const WorkerShare &share : job.shares) {
        const int index = share.worker;
        for (Job *gang : worker(index).gangs) {
            const bool overlaps =
                (workerShare(*gang, index).accelerators & share.accelerators) != 0;
            if (overlaps && mayPreemptForReservation(*gang, job))
                victims.push_back(gang);
        }
    }
    std::sort(victims.begin(), victims.end(),
              [](const Job *a, const Job *b) { return a->sequence < b->sequence; });
    victims.erase(std::unique(victims.begin(), victims.end()), victims.end());
    for (Job *victim : victims) {
        ++victim->preemptions;
        beginStop(*victim, detail::AfterStop::Requeue, policy.checkpointTimeout);
    }
}

} // namespace oleandercross::scheduling
