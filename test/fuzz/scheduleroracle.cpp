// The invariants of the scheduler, checked from its actions and job views only.

#include "schedulerworld.h"

#include <algorithm>
#include <array>
#include <bit>

namespace oleandercross::scheduling::fuzz {

namespace {

using Slots = std::uint64_t;

Slots slotsOf(const TaskPlacement &task)
{
    Slots slots = 0;
    for (const int index : task.accelerators)
        slots |= Slots{1} << index;
    return slots;
}

Slots allSlots(int accelerators)
{
    return (Slots{1} << accelerators) - 1;
}

bool isLegalTransition(JobState from, JobState to)
{
    using enum JobState;
    switch (from) {
    case Waiting:
        return to == Waiting || to == Starting || to == Cancelled || to == Failed;
    case Starting:
        return to == Running || to == Stopping || to == Waiting;
    case Running:
        return to == Stopping || to == Succeeded;
    case Stopping:
        return to == Waiting || to == Failed || to == Cancelled || to == Succeeded;
    default:
        return false;
    }
}

int cellSize(config::Level level)
{
    return level == config::Level::Quad ? 4 : level == config::Level::Pair ? 2 : 1;
}

} // namespace

bool SchedulerWorld::overlap(const Placement &a, const Placement &b)
{
    for (const TaskPlacement &mine : a.tasks) {
        for (const TaskPlacement &other : b.tasks) {
            if (mine.worker == other.worker && (slotsOf(mine) & slotsOf(other)) != 0)
                return true;
        }
    }
    return false;
}

const config::Account &SchedulerWorld::account(const core::AccountId &name) const
{
    return *std::find_if(m_manifest->accounts.begin(), m_manifest->accounts.end(),
                         [&](const config::Account &account) { return account.name == name; });
}

core::Resources SchedulerWorld::freeResources(const Worker &worker) const
{
    core::Resources free = worker.size;
    for (const auto &[id, gang] : m_gangs) {
        for (const TaskPlacement &task : gang.placement.tasks) {
            if (task.worker == worker.id)
                free = free - gang.perTask;
        }
    }
    return free;
}

std::optional<std::string> SchedulerWorld::recordAction(const Action &action)
{
    if (const auto *start = std::get_if<StartGang>(&action))
        return recordStart(*start);
    if (const auto *stop = std::get_if<StopGang>(&action))
        return recordStop(stop->job, stop->attempt, false);
    if (const auto *checkpoint = std::get_if<CheckpointGang>(&action))
        return recordStop(checkpoint->job, checkpoint->attempt, true);
    if (const auto *state = std::get_if<JobStateChanged>(&action))
        return recordStateChange(*state);
    if (const auto *larger = std::get_if<RequeueLarger>(&action)) {
        TrackedJob &job = m_jobs.at(larger->job);
        job.perTask = larger->perTask;
        if (++job.enlargements > m_policy.maxEnlargements)
            return "enlarged too often";
    }
    if (const auto *quarantine = std::get_if<QuarantineChanged>(&action)) {
        worker(quarantine->worker)->healthState = quarantine->healthState;
        const auto out = std::count_if(m_workers.begin(), m_workers.end(), [](const Worker &state) {
            return state.healthState != HealthState::Healthy;
        });
        if (out * 3 > static_cast<std::ptrdiff_t>(m_workers.size()))
            return "more than a third in quarantine";
    }
    return std::nullopt;
}

std::optional<std::string> SchedulerWorld::recordStart(const StartGang &action)
{
    if (m_restoring)
        return "placed before the state was restored";
    if (m_gangs.contains(action.job))
        return "started while it runs";
    TrackedJob &job = m_jobs.at(action.job);
    if (action.attempt != job.attempt + 1)
        return "attempts are not consecutive";
    job.attempt = action.attempt;
    if (!m_storeAvailable && !job.spec.repeatable)
        return "a job that is not repeatable started during a store outage";
    if (static_cast<int>(action.placement.tasks.size()) != job.spec.tasks)
        return "the gang is not complete";
    if (action.perTask != job.perTask)
        return "started with another size";
    Gang gang{job.spec, action.attempt, action.placement, action.perTask, false, false, {}, {}};
    std::set<core::WorkerId> workers;
    std::set<core::RackId> racks;
    Placement earlier;
    for (const TaskPlacement &task : action.placement.tasks) {
        const Worker *target = worker(task.worker);
        workers.insert(target->id);
        racks.insert(target->rack);
        const bool probation = target->present && !target->draining && job.spec.tasks == 1
            && target->healthState == HealthState::Probation && job.perTask.accelerators <= 1;
        if (!target->usable() && !probation)
            return "placed on a worker that is not usable";
        if (static_cast<int>(task.accelerators.size()) != job.perTask.accelerators
            || (slotsOf(task) & ~allSlots(target->size.accelerators)) != 0
            || overlap({{task}}, earlier))
            return "wrong accelerators";
        earlier.tasks.push_back(task);
    }
    const bool isSpread = (job.spec.adjacency == Adjacency::Worker && workers.size() > 1)
        || (job.spec.adjacency == Adjacency::Rack && racks.size() > 1);
    if (job.spec.adjacencyHard && isSpread)
        return "a hard adjacency is broken";
    for (const auto &[id, other] : m_gangs) {
        if (overlap(other.placement, action.placement))
            return "accelerators of " + id.str() + " are used twice";
    }
    m_gangs[action.job] = gang;
    for (const core::WorkerId &id : workers) {
        // Accelerators are compared by index above. Their number may be negative on a worker that
        // shrank, until the excess tasks have stopped.
        const core::Resources freeCapacity = freeResources(*worker(id));
        if (freeCapacity.cores < 0 || freeCapacity.memoryMb < 0)
            return "a worker is over-committed";
    }
    int held = 0;
    for (const auto &[id, other] : m_gangs) {
        if (other.spec.account == job.spec.account && other.spec.team == job.spec.team)
            held += other.spec.tasks * other.perTask.accelerators;
    }
    const auto &teams = account(job.spec.account).teams;
    const auto team = std::find_if(teams.begin(), teams.end(),
                                   [&](const auto &t) { return t.name == job.spec.team; });
    return held > team->acceleratorQuota ? std::optional<std::string>("quota exceeded")
                                         : std::nullopt;
}

std::optional<std::string> SchedulerWorld::recordStop(const core::JobId &id, int attempt,
                                                      bool checkpoint)
{
    const auto it = m_gangs.find(id);
    // A new leader may stop a gang as a precaution even if none of its tasks is left.
    if (it == m_gangs.end() || it->second.attempt != attempt)
        return std::nullopt;
    Gang &gang = it->second;
    if (checkpoint)
        gang.checkpointSince = m_now;
    else
        gang.checkpointSince.reset();
    gang.stopping |= !checkpoint;
    const JobView *before = previousView(id);
    if (before == nullptr || before->state == JobState::Stopping || m_jobs.at(id).mayStop)
        return std::nullopt;
    if (!gang.spec.repeatable)
        return "a job that is not repeatable was pre-empted";
    if (before->capacityClass == CapacityClass::Surplus)
        return "surplus work was pre-empted";
    if (before->capacityClass == CapacityClass::Borrowed
        || before->capacityClass == CapacityClass::None)
        return std::nullopt;
    // The event may have withdrawn the guarantee itself.
    if (m_manifestChanged || usableChanged())
        return std::nullopt;
    // Jobs may be pre-empted for other jobs of their account, which may in turn be displaced by the
    // same event.
    const bool hasOtherWork = std::any_of(m_views.begin(), m_views.end(), [&](const JobView &view) {
        return (view.state == JobState::Waiting || view.state == JobState::Starting)
            && view.spec.account == gang.spec.account;
    });
    if (hasOtherWork)
        return std::nullopt;
    return "guaranteed work of " + id.str() + " was pre-empted by another account at event "
        + std::to_string(m_eventKind);
}

std::optional<std::string> SchedulerWorld::recordStateChange(const JobStateChanged &action)
{
    const auto it = m_jobs.find(action.job);
    if (it == m_jobs.end())
        return "state of an ended job";
    if (!isLegalTransition(it->second.state, action.state))
        return "illegal change of state of " + action.job.str();
    it->second.state = action.state;
    if (!ended(action.state))
        return std::nullopt;
    if (m_gangs.contains(action.job))
        return "ended while tasks may run";
    m_jobs.erase(it);
    return std::nullopt;
}

std::optional<std::string> SchedulerWorld::check()
{
    if (m_restoring)
        return std::nullopt;
    if (m_views.size() != m_jobs.size())
        return "jobs are missing";
    for (const JobView &view : m_views) {
        TrackedJob &job = m_jobs.at(view.spec.id);
        job.failures = view.failures;
        if (view.state != job.state)
            return "a change of state was not reported";
        if (view.failures >= m_policy.maxFailures && view.state != JobState::Stopping)
            return "a failing job goes on";
        if (view.capacityClass == CapacityClass::Borrowed && !view.spec.repeatable
            && view.state != JobState::Stopping)
            return "a job that is not repeatable borrows";
    }
    if (auto violation = checkGuarantees())
        return violation;
    if (auto violation = checkUntouchedGuarantees())
        return violation;
    if (auto violation = checkReservations())
        return violation;
    return checkIdle();
}

std::optional<std::string> SchedulerWorld::checkGuarantees() const
{
    if (!m_scheduler->guaranteesHold())
        return "unclaimed guarantees cannot be placed";
    if (m_manifestChanged || usableChanged())
        return std::nullopt;
    // Only the total is compared: the shortfall may move to another account when a cell is
    // released.
    if (missingAccelerators() > m_previouslyMissing)
        return "the shortfall grew without a loss";
    return std::nullopt;
}

bool SchedulerWorld::usableChanged() const
{
    for (std::size_t i = 0; i < m_workers.size(); ++i) {
        if (m_workers[i].usable() != m_previouslyUsable[i])
            return true;
    }
    return false;
}

int SchedulerWorld::missingAccelerators() const
{
    int total = 0;
    const config::PlannedDataCentre &plan = m_manifest->dataCentres.front();
    // A worker-level cell may occupy a worker that is larger than planned.
    int perWorker = plan.perWorker.accelerators;
    for (const Worker &state : m_workers)
        perWorker = std::max(perWorker, state.size.accelerators);
    for (const ShortfallChanged &shortfall : m_scheduler->shortfall()) {
        for (const MissingCells &missing : shortfall.missing) {
            int size = cellSize(missing.level);
            if (missing.level >= config::Level::Worker)
                size = missing.level == config::Level::Rack ? perWorker * plan.workersPerRack
                                                            : perWorker;
            total += missing.count * size;
        }
    }
    return total;
}

std::vector<Slots> SchedulerWorld::freeSlots(bool withBorrowed) const
{
    std::vector<Slots> free;
    for (const Worker &state : m_workers)
        free.push_back(state.usable() ? allSlots(state.size.accelerators) : 0);
    for (const JobView &view : m_views) {
        const bool preemptible = view.capacityClass == CapacityClass::Borrowed;
        if (withBorrowed && preemptible)
            continue;
        for (const TaskPlacement &task : view.placement.tasks)
            free[static_cast<std::size_t>(worker(task.worker) - m_workers.data())] &=
                ~slotsOf(task);
    }
    return free;
}

// All cells of accounts without guaranteed jobs are unclaimed. Verifies that they can be placed,
// widest first, on the capacity that guaranteed and surplus jobs leave.
std::optional<std::string> SchedulerWorld::checkUntouchedGuarantees() const
{
    std::vector<Slots> free = freeSlots(true);
    const auto shortfalls = m_scheduler->shortfall();
    const auto &plan = m_manifest->dataCentres.front();
    std::array<int, 5> wanted{};
    for (const config::Account &account : m_manifest->accounts) {
        const bool claimed = std::any_of(m_views.begin(), m_views.end(), [&](const JobView &view) {
            return view.spec.account == account.name
                && view.capacityClass == CapacityClass::Guaranteed;
        });
        const bool isShort =
            std::any_of(shortfalls.begin(), shortfalls.end(),
                        [&](const auto &entry) { return entry.account == account.name; });
        for (const config::Guarantee &guarantee : account.guarantees)
            wanted.at(static_cast<std::size_t>(guarantee.level)) +=
                claimed || isShort ? 0 : guarantee.count;
    }
    const auto isWholeWorker = [&](std::size_t i) {
        return m_workers[i].size.accelerators >= plan.perWorker.accelerators
            && free[i] == allSlots(m_workers[i].size.accelerators);
    };
    for (std::size_t first = 0; first < free.size() && wanted[4] > 0; first += 3) {
        std::vector<std::size_t> members;
        for (std::size_t i = first; i < std::min(first + 3, free.size()); ++i) {
            if (isWholeWorker(i))
                members.push_back(i);
        }
        if (static_cast<int>(members.size()) < plan.workersPerRack)
            continue;
        for (int i = 0; i < plan.workersPerRack; ++i)
            free[members[static_cast<std::size_t>(i)]] = 0;
        --wanted[4];
    }
    for (int size = plan.perWorker.accelerators; size <= 8; ++size) {
        for (std::size_t i = 0; i < free.size(); ++i) {
            if (wanted[3] > 0 && isWholeWorker(i) && m_workers[i].size.accelerators == size) {
                free[i] = 0;
                --wanted[3];
            }
        }
    }
    for (const auto level :
         {config::Level::Quad, config::Level::Pair, config::Level::Accelerator}) {
        int &left = wanted.at(static_cast<std::size_t>(level));
        const int size = cellSize(level);
        for (Slots &slots : free) {
            for (int base = 0; base + size <= 8 && left > 0; base += size) {
                const Slots block = allSlots(size) << base;
                if ((block & ~slots) != 0)
                    continue;
                slots &= ~block;
                --left;
            }
        }
    }
    for (const int left : wanted) {
        if (left > 0)
            return "the guarantee of an account without claims cannot be placed";
    }
    return std::nullopt;
}

std::optional<std::string> SchedulerWorld::checkReservations() const
{
    // Reservations end when a worker or guarantee that they depend on is withdrawn.
    if (m_manifestChanged || usableChanged())
        return std::nullopt;
    const bool claimed = std::any_of(m_views.begin(), m_views.end(), [this](const JobView &view) {
        const JobView *before = previousView(view.spec.id);
        const bool wasGuaranteed = before != nullptr && before->attempt == view.attempt
            && before->capacityClass == CapacityClass::Guaranteed;
        return view.capacityClass == CapacityClass::Guaranteed && !wasGuaranteed;
    });
    for (const JobView &reserved : m_views) {
        const JobView *before = previousView(reserved.spec.id);
        const bool reservationKept = reserved.reserved && before != nullptr && before->reserved
            && before->placement == reserved.placement;
        for (const JobView &other : m_views) {
            const JobView *otherBefore = reservationKept ? previousView(other.spec.id) : nullptr;
            const int attemptBefore = otherBefore == nullptr ? 0 : otherBefore->attempt;
            // Claims of guarantees displace reservations, which are then recreated in queue order.
            // That of the oldest large gang is recreated immediately.
            const bool first = other.capacityClass == CapacityClass::Guaranteed
                || (claimed
                    && !(reservationKept && before->oldestLargeGang && reserved.oldestLargeGang));
            if (reservationKept && other.attempt > attemptBefore && !first
                && overlap(other.placement, reserved.placement))
                return "backfill took reserved accelerators";
        }
    }
    return std::nullopt;
}

// No repeatable job of one task waits while a worker has enough free capacity for it.
std::optional<std::string> SchedulerWorld::checkIdle() const
{
    const std::vector<Slots> free = freeSlots(false);
    for (const JobView &view : m_views) {
        const bool candidate = view.state == JobState::Waiting && !view.reserved
            && view.spec.tasks == 1 && view.spec.repeatable
            && !m_jobs.at(view.spec.id).avoidsWorkers && view.spec.team == core::TeamId("large");
        if (!candidate)
            continue;
        for (std::size_t i = 0; i < m_workers.size(); ++i) {
            core::Resources freeCapacity = freeResources(m_workers[i]);
            for (const JobView &other : m_views) {
                for (const TaskPlacement &task : other.placement.tasks) {
                    if (other.reserved && task.worker == m_workers[i].id)
                        freeCapacity = freeCapacity - other.perTask;
                }
            }
            freeCapacity.accelerators = std::popcount(free[i]);
            if (m_workers[i].usable() && core::fits(view.perTask, freeCapacity))
                return "a job waits next to free capacity: " + view.spec.id.str();
        }
    }
    return std::nullopt;
}

// A job that fits into an unclaimed cell of its account's guarantee gets the cell immediately, even
// if other accounts have borrowed it.
std::optional<std::string> SchedulerWorld::checkClaim(const JobSpec &spec) const
{
    int jobsOfAccount = 0;
    for (const auto &[id, job] : m_jobs)
        jobsOfAccount += job.spec.account == spec.account ? 1 : 0;
    const int total = spec.tasks * spec.perTask.accelerators;
    const bool refusedForQuota = spec.team == core::TeamId("small") && total > 4;
    if (jobsOfAccount > 1 || refusedForQuota || !m_storeAvailable || spec.perTask.accelerators == 0)
        return std::nullopt;
    for (const ShortfallChanged &shortfall : m_scheduler->shortfall()) {
        if (shortfall.account == spec.account)
            return std::nullopt;
    }
    int width = spec.perTask.accelerators;
    for (const Worker &state : m_workers) {
        const int n = state.size.accelerators;
        const auto memoryWidth =
            (spec.perTask.memoryMb * n + state.size.memoryMb - 1) / state.size.memoryMb;
        width = std::max({width, static_cast<int>(memoryWidth),
                          (spec.perTask.cores * n + state.size.cores - 1) / state.size.cores});
    }
    const int planned = m_manifest->dataCentres.front().perWorker.accelerators;
    for (const config::Guarantee &guarantee : account(spec.account).guarantees) {
        const bool isWorkerLevel = guarantee.level >= config::Level::Worker;
        if (spec.tasks * width > (isWorkerLevel ? planned : cellSize(guarantee.level)))
            continue;
        const auto view = m_scheduler->job(spec.id);
        if (!view || (!view->reserved && view->state == JobState::Waiting))
            return "a guaranteed claim was not served: " + spec.id.str();
    }
    return std::nullopt;
}

} // namespace oleandercross::scheduling::fuzz
