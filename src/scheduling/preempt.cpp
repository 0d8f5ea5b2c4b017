#include "placer.h"
#include "scheduler_p.h"

#include <algorithm>

namespace oleandercross::scheduling {

using detail::Layout;
using detail::Share;
using detail::Slots;
using detail::View;
using detail::Wait;

namespace {

// Most accelerators of a stopped gang for each that the waiting job needs.
constexpr int MaxStoppedPerNeeded = 2;

// Moves of running jobs are rare, since each costs a checkpoint and a start.
constexpr absl::Duration DefragmentEvery = absl::Seconds(30);

Share shareOf(const detail::Job &job, int worker)
{
    const auto it = std::lower_bound(job.shares.begin(), job.shares.end(), worker,
                                     [](const Share &share, int w) { return share.worker < w; });
    return it != job.shares.end() && it->worker == worker ? *it : Share{};
}

} // namespace

std::vector<Share> detail::sharesOf(const Layout &layout)
{
    std::vector<Share> shares;
    for (const TaskHold &task : layout) {
        const auto it =
            std::lower_bound(shares.begin(), shares.end(), task.worker,
                             [](const Share &share, int w) { return share.worker < w; });
        const bool known = it != shares.end() && it->worker == task.worker;
        Share &share = known ? *it : *shares.insert(it, Share{task.worker, 0, 0});
        share.accelerators |= task.accelerators;
        ++share.tasks;
    }
    return shares;
}

// Free capacity together with that of gangs that are stopping or may be stopped.
template <typename Eligible>
View Scheduler::Private::viewWithout(Eligible eligible)
{
    View view = freeView();
    for (std::size_t i = 0; i < view.slots.size(); ++i) {
        const WorkerState &state = cluster.workers()[i];
        if (!state.usable())
            continue;
        int cores = state.freeCores - state.reservedCores;
        std::int64_t memory = state.freeMemory - state.reservedMemory;
        for (const Job *gang : state.gangs) {
            if (gang->state != JobState::Stopping && !eligible(*gang))
                continue;
            const Share share = shareOf(*gang, static_cast<int>(i));
            view.slots[i] |= share.accelerators & state.all & ~state.reserved;
            cores += gang->perTask.cores * share.tasks;
            memory += gang->perTask.memoryMb * share.tasks;
        }
        view.cores[i] = std::max(0, cores);
        view.memory[i] = std::max<std::int64_t>(0, memory);
    }
    return view;
}

// Gangs that have to stop for the layout. `complete` is false if work that is not eligible is in
// the way.
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
    const std::vector<Share> shares = detail::sharesOf(layout);
    for (const Share &wanted : shares) {
        const int index = wanted.worker;
        for (Job *gang : worker(index).gangs) {
            const bool overlaps = (shareOf(*gang, index).accelerators & wanted.accelerators) != 0;
            if (!overlaps || gang->state == JobState::Stopping || isChosen(gang))
                continue;
            if (eligible(*gang))
                chosen.push_back(gang);
            else
                complete = false;
        }
    }
    for (const Share &wanted : shares) {
        const int index = wanted.worker;
        const WorkerState &state = worker(index);
        int cores = state.freeCores - state.reservedCores - perTask.cores * wanted.tasks;
        std::int64_t memory =
            state.freeMemory - state.reservedMemory - perTask.memoryMb * wanted.tasks;
        const auto add = [&](const Job &gang) {
            const int tasks = shareOf(gang, index).tasks;
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

// Reserves the layout and stops what is in the way. The job starts once all of it has stopped.
bool Scheduler::Private::takeAfter(Job &job, Layout layout, const std::vector<Job *> &stopping,
                                   absl::Duration grace)
{
    job.layout = std::move(layout);
    reserve(job, true);
    for (Job *victim : stopping)
        beginStop(*victim, detail::After::Requeue, grace);
    startReserved();
    return true;
}

// Claims the account's guarantee, stopping borrowers there.
bool Scheduler::Private::tryClaim(Job &job)
{
    const int account = cluster.accountIndex(job.spec.account);
    std::optional<Layout> layout = cluster.claimAnywhere(account, job.shape(), avoided(job));
    if (!layout)
        return false;
    const std::vector<Share> shares = detail::sharesOf(*layout);
    Job *displaced = nullptr;
    for (const Share &share : shares) {
        const int index = share.worker;
        const std::vector<Job *> reservations = worker(index).reservations;
        for (Job *other : reservations) {
            const WorkerState &state = worker(index);
            const bool tight =
                state.freeCores - state.reservedCores < job.perTask.cores * share.tasks
                || state.freeMemory - state.reservedMemory < job.perTask.memoryMb * share.tasks;
            const bool overlaps = (shareOf(*other, index).accelerators & share.accelerators) != 0;
            if (other->hold != Hold::Borrowed || !(tight || overlaps))
                continue;
            displaced = other == m_oldest ? other : displaced;
            dropReservation(*other);
        }
    }
    bool complete = false;
    const auto borrowed = [](const Job &gang) {
        return gang.hold == Hold::Borrowed && gang.state != JobState::Stopping;
    };
    const std::vector<Job *> stopping = victims(*layout, job.perTask, borrowed, complete);
    if (!complete) {
        cluster.release(*layout);
        if (displaced != nullptr)
            tryReservation(*displaced);
        return false;
    }
    job.hold = Hold::Guaranteed;
    // A waiting urgent job shortens checkpoints that are already under way.
    const absl::Duration grace = job.spec.urgent ? policy.urgentGrace : policy.grace;
    if (job.spec.urgent) {
        for (const Share &share : shares) {
            const int index = share.worker;
            for (Job *gang : worker(index).gangs) {
                if (gang->checkpointing)
                    gang->deadline = std::min(gang->deadline, m_now + grace);
            }
        }
    }
    takeAfter(job, std::move(*layout), stopping, grace);
    // The oldest large gang reserves again before anything else takes what it lost.
    if (displaced != nullptr)
        tryReservation(*displaced);
    return true;
}

bool Scheduler::Private::mayStopForOrder(const Job &victim, const Job &job) const
{
    const bool allowedHold = victim.hold == Hold::Borrowed
        || (victim.hold == Hold::Guaranteed && victim.spec.account == job.spec.account);
    // Accelerators are not given up for the cores of a job that needs none.
    // A large gang is hard to place again, so a small job does not stop it.
    const bool worthwhile = victim.accelerators() <= MaxStoppedPerNeeded * job.accelerators();
    return allowedHold && worthwhile && victim.state == JobState::Running && victim.spec.repeatable
        && victim.spec.checkpointable && !victim.spec.urgent
        && victim.preemptions < policy.maxPreemptions && m_now - victim.startedAt >= policy.quantum;
}

// The oldest large gang also stops work that starts over, as long as it loses little.
bool Scheduler::Private::mayStopForReservation(const Job &victim, const Job &job) const
{
    const bool losesLittle = victim.hold == Hold::Borrowed && victim.state == JobState::Running
        && victim.spec.repeatable && !victim.spec.checkpointable && !victim.spec.urgent
        && victim.preemptions < policy.maxPreemptions
        && m_now - victim.startedAt < policy.smallLoss;
    return losesLittle || mayStopForOrder(victim, job);
}

// Stops jobs of higher levels, those of the highest level first.
bool Scheduler::Private::tryOrder(Job &job)
{
    if (!job.spec.repeatable)
        return false;
    const int own = std::get<1>(job.key);
    for (int bound = static_cast<int>(policy.levels.size()); bound > own; --bound) {
        const auto eligible = [&](const Job &victim) {
            return mayStopForOrder(victim, job) && level(victim) >= bound;
        };
        const View view = viewWithout(eligible);
        std::optional<Layout> layout = place(cluster, view, job.shape(), avoided(job));
        if (!layout)
            continue;
        bool complete = false;
        const std::vector<Job *> stopping = victims(*layout, job.perTask, eligible, complete);
        if (!complete)
            continue;
        for (Job *victim : stopping)
            ++victim->preemptions;
        job.hold = Hold::Borrowed;
        return takeAfter(job, std::move(*layout), stopping, policy.grace);
    }
    return false;
}

// An urgent job beyond its account's guarantee stops borrowers of any account.
bool Scheduler::Private::tryUrgent(Job &job)
{
    if (!job.spec.repeatable)
        return false;
    const auto eligible = [](const Job &victim) {
        return victim.hold == Hold::Borrowed && !victim.spec.urgent
            && victim.state != JobState::Stopping;
    };
    const View view = viewWithout(eligible);
    std::optional<Layout> layout = place(cluster, view, job.shape(), avoided(job));
    if (!layout)
        return false;
    bool complete = false;
    const std::vector<Job *> stopping = victims(*layout, job.perTask, eligible, complete);
    if (!complete)
        return false;
    job.hold = Hold::Borrowed;
    return takeAfter(job, std::move(*layout), stopping, policy.urgentGrace);
}

// True if each victim fits into the free capacity outside of the layout.
bool Scheduler::Private::replaceable(const std::vector<Job *> &moving, const Layout &layout,
                                     const core::Resources &perTask)
{
    View view = freeView();
    const auto subtract = [&](const Layout &taken, const core::Resources &size) {
        for (const detail::TaskHold &task : taken) {
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

// Moves checkpointable borrowers that fit elsewhere, if free accelerators suffice in number but
// are too far apart.
bool Scheduler::Private::tryDefragment(Job &job)
{
    int free = 0;
    for (const Slots slots : freeView().slots)
        free += detail::count(slots);
    if (free < job.accelerators() || job.perTask.accelerators == 0)
        return false;
    if (job.spec.repeatable)
        job.wait = Wait::Fragmented;
    if (!job.spec.repeatable || m_now < m_nextDefragment)
        return false;
    const auto eligible = [&](const Job &victim) {
        return mayStopForOrder(victim, job) && victim.accelerators() < job.accelerators();
    };
    const View view = viewWithout(eligible);
    std::optional<Layout> layout = place(cluster, view, job.shape(), avoided(job));
    if (!layout)
        return false;
    bool complete = false;
    const std::vector<Job *> moving = victims(*layout, job.perTask, eligible, complete);
    if (!complete || !replaceable(moving, *layout, job.perTask))
        return false;
    m_nextDefragment = m_now + DefragmentEvery;
    for (Job *victim : moving)
        ++victim->preemptions;
    job.hold = Hold::Borrowed;
    return takeAfter(job, std::move(*layout), moving, policy.grace);
}

// Reserves accelerators for the oldest large gang. Nothing else starts there meanwhile, so work
// behind it in the queue cannot delay it.
bool Scheduler::Private::tryReservation(Job &job)
{
    // Other jobs of the team may have taken its quota since the job was tried.
    if (!permitted(job))
        return false;
    const auto yields = [&](const Job &gang) {
        return gang.hold == Hold::Borrowed
            || (gang.hold == Hold::Guaranteed && gang.spec.repeatable
                && gang.spec.account == job.spec.account);
    };
    const auto stoppable = [&](const Job &gang) { return mayStopForReservation(gang, job); };
    // Work that becomes stoppable with time is better than work that only ends by itself.
    const auto stoppableLater = [&](const Job &gang) {
        return yields(gang) && gang.spec.checkpointable && gang.preemptions < policy.maxPreemptions;
    };
    const std::vector<int> avoid = avoided(job);
    std::optional<Layout> layout = place(cluster, viewWithout(stoppable), job.shape(), avoid);
    if (!layout)
        layout = place(cluster, viewWithout(stoppableLater), job.shape(), avoid);
    // Work that only ends by itself may hold a reservation up for long.
    if (!layout && m_now - job.waitingSince > policy.ageing)
        layout = place(cluster, viewWithout(yields), job.shape(), avoid);
    if (!layout)
        return false;
    bool complete = false;
    const std::vector<Job *> stopping = victims(*layout, job.perTask, stoppable, complete);
    job.hold = Hold::Borrowed;
    m_oldest = &job;
    for (Job *victim : stopping)
        ++victim->preemptions;
    return takeAfter(job, std::move(*layout), stopping, policy.grace);
}

// Stops work on the reservation that has become eligible since.
void Scheduler::Private::pursueReservation()
{
    if (m_oldest == nullptr)
        return;
    Job &job = *m_oldest;
    std::vector<Job *> stopping;
    for (const Share &share : job.shares) {
        const int index = share.worker;
        for (Job *gang : worker(index).gangs) {
            const bool overlaps = (shareOf(*gang, index).accelerators & share.accelerators) != 0;
            if (overlaps && mayStopForReservation(*gang, job))
                stopping.push_back(gang);
        }
    }
    std::sort(stopping.begin(), stopping.end(),
              [](const Job *a, const Job *b) { return a->sequence < b->sequence; });
    stopping.erase(std::unique(stopping.begin(), stopping.end()), stopping.end());
    for (Job *victim : stopping) {
        ++victim->preemptions;
        beginStop(*victim, detail::After::Requeue, policy.grace);
    }
}

} // namespace oleandercross::scheduling
