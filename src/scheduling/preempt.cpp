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
constexpr int MaxPreemptedPerNeeded = 2;

// Running jobs are rarely moved, because each move costs a checkpoint and a start.
constexpr absl::Duration DefragmentationInterval = absl::Seconds(30);

WorkerShare workerShare(const detail::Job &job, int worker)
{
    const auto it =
        std::lower_bound(job.shares.begin(), job.shares.end(), worker,
                         [](const WorkerShare &share, int w) { return share.worker < w; });
    return it != job.shares.end() && it->worker == worker ? *it : WorkerShare{};
}

} // namespace

std::vector<WorkerShare> detail::workerShares(const Layout &layout)
{
    std::vector<WorkerShare> shares;
    for (const TaskAssignment &task : layout) {
        const auto it =
            std::lower_bound(shares.begin(), shares.end(), task.worker,
                             [](const WorkerShare &share, int w) { return share.worker < w; });
        const bool known = it != shares.end() && it->worker == task.worker;
        WorkerShare &share = known ? *it : *shares.insert(it, WorkerShare{task.worker, 0, 0});
        share.accelerators |= task.accelerators;
        ++share.tasks;
    }
    return shares;
}

// Returns the free capacity plus that of gangs that are stopping or eligible for pre-emption.
template <typename Eligible>
CapacityView Scheduler::Private::viewAfterPreempting(Eligible eligible)
{
    CapacityView view = freeView();
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

// Returns the gangs that have to stop for the layout. `complete` is set to false if stopping the
// eligible gangs does not free it.
template <typename Eligible>
std::vector<detail::Job *> Scheduler::Private::victims(const Layout &layout,
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
bool Scheduler::Private::reserveAndPreempt(Job &job, Layout layout,
                                           const std::vector<Job *> &stopping,
                                           absl::Duration checkpointTimeout)
{
    job.layout = std::move(layout);
    reserve(job, true);
    for (Job *victim : stopping)
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
    Job *displaced = nullptr;
    for (const WorkerShare &share : shares) {
        const int index = share.worker;
        const std::vector<Job *> reservations = worker(index).reservations;
        for (Job *other : reservations) {
            const WorkerState &state = worker(index);
            const bool tight =
                state.freeCores - state.reservedCores < job.perTask.cores * share.tasks
                || state.freeMemory - state.reservedMemory < job.perTask.memoryMb * share.tasks;
            const bool overlaps =
                (workerShare(*other, index).accelerators & share.accelerators) != 0;
            if (other->capacityClass != CapacityClass::Borrowed || !(tight || overlaps))
                continue;
            displaced = other == m_oldestLargeGang ? other : displaced;
            dropReservation(*other);
        }
    }
    bool complete = false;
    const auto borrowed = [](const Job &gang) {
        return gang.capacityClass == CapacityClass::Borrowed && gang.state != JobState::Stopping;
    };
    const std::vector<Job *> stopping = victims(*layout, job.perTask, borrowed, complete);
    if (!complete) {
        cluster.release(*layout);
        if (displaced != nullptr)
            tryReservation(*displaced);
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
    reserveAndPreempt(job, std::move(*layout), stopping, checkpointTimeout);
    // The oldest large gang reserves again before another job takes its previous capacity.
    if (displaced != nullptr)
        tryReservation(*displaced);
    return true;
}

bool Scheduler::Private::mayPreemptByLevel(const Job &victim, const Job &job) const
{
    const bool allowedHold = victim.capacityClass == CapacityClass::Borrowed
        || (victim.capacityClass == CapacityClass::Guaranteed
            && victim.spec.account == job.spec.account);
    // Gangs with accelerators are not pre-empted for the cores of a job that needs none. Large
    // gangs are hard to place again, so a small job does not pre-empt them.
    const bool worthwhile = victim.accelerators() <= MaxPreemptedPerNeeded * job.accelerators();
    return allowedHold && worthwhile && victim.state == JobState::Running && victim.spec.repeatable
        && victim.spec.checkpointable && !victim.spec.urgent
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
    const int own = std::get<1>(job.key);
    for (int bound = static_cast<int>(policy.levels.size()); bound > own; --bound) {
        const auto eligible = [&](const Job &victim) {
            return mayPreemptByLevel(victim, job) && level(victim) >= bound;
        };
        const CapacityView view = viewAfterPreempting(eligible);
        std::optional<Layout> layout = place(cluster, view, job.shape(), avoidedWorkers(job));
        if (!layout)
            continue;
        bool complete = false;
        const std::vector<Job *> stopping = victims(*layout, job.perTask, eligible, complete);
        if (!complete)
            continue;
        for (Job *victim : stopping)
            ++victim->preemptions;
        job.capacityClass = CapacityClass::Borrowed;
        return reserveAndPreempt(job, std::move(*layout), stopping, policy.checkpointTimeout);
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
    const CapacityView view = viewAfterPreempting(eligible);
    std::optional<Layout> layout = place(cluster, view, job.shape(), avoidedWorkers(job));
    if (!layout)
        return false;
    bool complete = false;
    const std::vector<Job *> stopping = victims(*layout, job.perTask, eligible, complete);
    if (!complete)
        return false;
    job.capacityClass = CapacityClass::Borrowed;
    return reserveAndPreempt(job, std::move(*layout), stopping, policy.urgentCheckpointTimeout);
}

// Returns true if the gangs fit into the free capacity outside of the layout.
bool Scheduler::Private::canRelocate(const std::vector<Job *> &moving, const Layout &layout,
                                     const core::Resources &perTask)
{
    CapacityView view = freeView();
    const auto subtract = [&](const Layout &taken, const core::Resources &size) {
        for (const detail::TaskAssignment &task : taken) {
            const auto at = static_cast<std::size_t>(task.worker);
            view.slots[at] &= ~task.accelerators;
            view.cores[at] = std::max(0, view.cores[at] - size.cores);
            view.memory[at] = std::max<std::int64_t>(0, view.memory[at] - size.memoryMb);
        }
    };
    subtract(layout, perTask);
    for (const Job *victim : moving) {
        const std::optional<Layout> elsewhere = place(cluster, view, victim->shape(), {});
        if (!elsewhere)
            return false;
        subtract(*elsewhere, victim->perTask);
    }
    return true;
}

// Moves checkpointable gangs that fit elsewhere, if enough accelerators are free but too fragmented
// for the job.
bool Scheduler::Private::tryDefragment(Job &job)
{
    int free = 0;
    for (const Slots slots : freeView().slots)
        free += detail::count(slots);
    if (free < job.accelerators() || job.perTask.accelerators == 0)
        return false;
    if (job.spec.repeatable)
        job.waitReason = WaitReason::Fragmented;
    if (!job.spec.repeatable || m_now < m_nextDefragmentation)
        return false;
    const auto eligible = [&](const Job &victim) {
        return mayPreemptByLevel(victim, job) && victim.accelerators() < job.accelerators();
    };
    const CapacityView view = viewAfterPreempting(eligible);
    std::optional<Layout> layout = place(cluster, view, job.shape(), avoidedWorkers(job));
    if (!layout)
        return false;
    bool complete = false;
    const std::vector<Job *> moving = victims(*layout, job.perTask, eligible, complete);
    if (!complete || !canRelocate(moving, *layout, job.perTask))
        return false;
    m_nextDefragmentation = m_now + DefragmentationInterval;
    for (Job *victim : moving)
        ++victim->preemptions;
    job.capacityClass = CapacityClass::Borrowed;
    return reserveAndPreempt(job, std::move(*layout), moving, policy.checkpointTimeout);
}

// Reserves accelerators for the oldest large gang. No other job starts on them, so jobs behind it
// in the queue cannot delay it.
bool Scheduler::Private::tryReservation(Job &job)
{
    // Other jobs of the team may have taken its quota since the job was tried.
    if (!isPermitted(job))
        return false;
    const auto yields = [&](const Job &gang) {
        return gang.capacityClass == CapacityClass::Borrowed
            || (gang.capacityClass == CapacityClass::Guaranteed && gang.spec.repeatable
                && gang.spec.account == job.spec.account);
    };
    const auto stoppable = [&](const Job &gang) { return mayPreemptForReservation(gang, job); };
    // Gangs that become eligible later are preferred to gangs that have to end on their own.
    const auto stoppableLater = [&](const Job &gang) {
        return yields(gang) && gang.spec.checkpointable && gang.preemptions < policy.maxPreemptions;
    };
    const std::vector<int> avoid = avoidedWorkers(job);
    std::optional<Layout> layout =
        place(cluster, viewAfterPreempting(stoppable), job.shape(), avoid);
    if (!layout)
        layout = place(cluster, viewAfterPreempting(stoppableLater), job.shape(), avoid);
    // Waiting for gangs to end on their own may delay the reservation for a long time.
    if (!layout && m_now - job.waitingSince > policy.ageingInterval)
        layout = place(cluster, viewAfterPreempting(yields), job.shape(), avoid);
    if (!layout)
        return false;
    bool complete = false;
    const std::vector<Job *> stopping = victims(*layout, job.perTask, stoppable, complete);
    job.capacityClass = CapacityClass::Borrowed;
    m_oldestLargeGang = &job;
    for (Job *victim : stopping)
        ++victim->preemptions;
    return reserveAndPreempt(job, std::move(*layout), stopping, policy.checkpointTimeout);
}

// Stops gangs on the reservation of the oldest large gang that have become eligible since.
void Scheduler::Private::preemptForReservation()
{
    if (m_oldestLargeGang == nullptr)
        return;
    Job &job = *m_oldestLargeGang;
    std::vector<Job *> stopping;
    for (const WorkerShare &share : job.shares) {
        const int index = share.worker;
        for (Job *gang : worker(index).gangs) {
            const bool overlaps =
                (workerShare(*gang, index).accelerators & share.accelerators) != 0;
            if (overlaps && mayPreemptForReservation(*gang, job))
                stopping.push_back(gang);
        }
    }
    std::sort(stopping.begin(), stopping.end(),
              [](const Job *a, const Job *b) { return a->sequence < b->sequence; });
    stopping.erase(std::unique(stopping.begin(), stopping.end()), stopping.end());
    for (Job *victim : stopping) {
        ++victim->preemptions;
        beginStop(*victim, detail::AfterStop::Requeue, policy.checkpointTimeout);
    }
}

} // namespace oleandercross::scheduling
