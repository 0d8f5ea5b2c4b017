#include "placer.h"
#include "scheduler_p.h"

#include <algorithm>

namespace oleandercross::scheduling {

using detail::CapacityView;
using detail::Layout;
using detail::WaitReason;

namespace {

// Pre-emption is the most expensive way to place a job, so it is tried for few jobs per pass.
constexpr int MaxPreemptionTriesPerPass = 8;
// Maximum number of layouts tried for one job on surplus capacity.
constexpr int MaxSurplusTries = 8;
// A pass may free capacity and so require another one.
constexpr int MaxPassesPerEvent = 3;
// Maximum number of borrowed jobs examined in one periodic update.
constexpr int MaxPromotionsPerUpdate = 64;

} // namespace

const CapacityView &Scheduler::Private::freeCapacity()
{
    if (m_freeCapacityStale) {
        m_freeCapacity = cluster.freeCapacity();
        m_freeCapacityStale = false;
    }
    return m_freeCapacity;
}

// Returns the workers on which the job failed or was refused. They are tried again after the job
// has waited for AvoidanceDuration.
std::vector<int> Scheduler::Private::avoidedWorkers(const Job &job) const
{
    constexpr absl::Duration AvoidanceDuration = absl::Minutes(1);
    if (m_now - job.waitingSince > AvoidanceDuration)
        return {};
    std::vector<int> result = job.failedWorkers;
    result.insert(result.end(), job.refusingWorkers.begin(), job.refusingWorkers.end());
    return result;
}

bool Scheduler::Private::checkPermitted(Job &job)
{
    const std::pair team(job.spec.account, job.spec.team);
    const auto quota = m_quota.find(team);
    const int quotaAccelerators = quota == m_quota.end() ? 0 : quota->second;
    const auto heldEntry = m_heldAccelerators.find(team);
    const int heldAccelerators = heldEntry == m_heldAccelerators.end() ? 0 : heldEntry->second;
    if (!m_restored)
        job.waitReason = WaitReason::NotReady;
    else if (!m_storeAvailable && !job.spec.repeatable)
        job.waitReason = WaitReason::StoreUnavailable;
    else if (job.acceleratorCount() > 0
             && heldAccelerators + job.acceleratorCount() > quotaAccelerators)
        job.waitReason = WaitReason::Quota;
    else if (job.retryAt > m_now)
        job.waitReason = WaitReason::BackOff;
    else
        return true;
    return false;
}

void Scheduler::Private::schedule()
{
    if (!m_restored)
        return;
    m_preemptionTries = 0;
    startReserved();
    const std::vector<Job *> newJobs = std::exchange(m_newJobs, {});
    if (!m_passNeeded) {
        for (Job *job : newJobs) {
            if (!job->isActive() && !job->reserved)
                tryStart(*job);
        }
    }
    // A claim may cancel reservations, which frees capacity for jobs that were already tried.
    for (int round = 0; round < MaxPassesPerEvent && m_passNeeded; ++round) {
        m_passNeeded = false;
        m_preemptionTries = 0;
        runPass();
    }
}

// Tries the waiting jobs in queue order. Jobs that fit overtake those that do not.
void Scheduler::Private::runPass()
{
    std::vector<Job *> waiting;
    waiting.reserve(m_queue.size());
    const auto from = m_resumeKey ? m_queue.lower_bound(*m_resumeKey) : m_queue.begin();
    for (auto it = from; it != m_queue.end(); ++it) {
        if (!it->second->reserved)
            waiting.push_back(it->second);
    }
    // A pass that continues a previous one is followed by a pass from the head of the queue.
    m_passNeeded |= m_resumeKey.has_value();
    m_resumeKey.reset();
    m_failedPlacements.clear();
    Job *oldest = nullptr;
    int tries = 0;
    for (Job *job : waiting) {
        if (tries >= policy.triesPerPass) {
            m_resumeKey = job->key;
            break;
        }
        if (job->isActive() || job->reserved || !checkPermitted(*job))
            continue;
        const detail::PlacementKey key{job->shape(),         job->spec.account,
                                       job->spec.team,       std::get<1>(job->key),
                                       job->spec.repeatable, job->spec.urgent};
        const bool avoidsNoWorker = avoidedWorkers(*job).empty();
        const bool knownToFail = avoidsNoWorker && m_failedPlacements.contains(key);
        if (knownToFail)
            job->waitReason = WaitReason::NoCapacity;
        tries += knownToFail ? 0 : 1;
        if (!knownToFail && tryStart(*job))
            continue;
        if (avoidsNoWorker)
            m_failedPlacements.insert(key);
        const bool mayReserve = m_now - job->waitingSince >= policy.reserveAfter;
        if (mayReserve && isLarge(*job) && job->spec.repeatable
            && (oldest == nullptr || job->waitingSince < oldest->waitingSince))
            oldest = job;
    }
    if (oldest != nullptr && m_oldestLargeGang == nullptr)
        tryReservation(*oldest);
}

bool Scheduler::Private::tryStart(Job &job)
{
    if (!checkPermitted(job))
        return false;
    job.waitReason = WaitReason::NoCapacity;
    if (tryFreeCapacity(job) || tryClaim(job))
        return true;
    if (!job.spec.repeatable)
        job.waitReason = WaitReason::NoUnborrowedCapacity;
    if (m_preemptionTries >= MaxPreemptionTriesPerPass)
        return false;
    ++m_preemptionTries;
    if (job.spec.urgent && tryPreemptForUrgent(job))
        return true;
    if (tryPreemptByLevel(job))
        return true;
    return tryDefragment(job);
}

void Scheduler::Private::startOn(Job &job, Layout layout, CapacityClass capacityClass)
{
    job.layout = std::move(layout);
    job.capacityClass = capacityClass;
    start(job);
}

// Starts the job on free capacity, inside the account's guarantee if possible.
bool Scheduler::Private::tryFreeCapacity(Job &job)
{
    std::optional<Layout> layout = place(cluster, freeCapacity(), job.shape(), avoidedWorkers(job));
    if (!layout)
        return false;
    const bool mayClaim = job.perTask.accelerators > 0 || !job.spec.repeatable;
    const int account = cluster.accountIndex(job.spec.account);
    if (mayClaim && cluster.claimInPlace(account, job.perTask, *layout, job.spec.repeatable)) {
        startOn(job, std::move(*layout), CapacityClass::Guaranteed);
        return true;
    }
    if (!job.spec.repeatable)
        return trySurplus(job);
    startOn(job, std::move(*layout), CapacityClass::Borrowed);
    return true;
}

// Starts the job on free capacity that no guarantee needs.
bool Scheduler::Private::trySurplus(Job &job)
{
    CapacityView view = freeCapacity();
    for (std::size_t i = 0; i < view.slots.size(); ++i)
        view.slots[i] &= cluster.workers()[i].available();
    std::vector<int> excludedWorkers = avoidedWorkers(job);
    for (int tryCount = 0; tryCount < MaxSurplusTries; ++tryCount) {
        std::optional<Layout> layout = place(cluster, view, job.shape(), excludedWorkers);
        if (!layout)
            return false;
        if (cluster.takeSurplus(job.perTask, *layout)) {
            startOn(job, std::move(*layout), CapacityClass::Surplus);
            return true;
        }
        for (const detail::TaskAssignment &task : *layout)
            excludedWorkers.push_back(task.worker);
    }
    return false;
}

// Returns true if enough gangs have stopped for the job to start on its reservation.
bool Scheduler::Private::isReservationReady(const Job &job) const
{
    absl::flat_hash_map<int, int> tasks;
    for (const detail::TaskAssignment &task : job.layout) {
        const WorkerState &state = cluster.workers()[static_cast<std::size_t>(task.worker)];
        const int tasksOnWorker = ++tasks[task.worker];
        if ((task.accelerators & state.used) != 0
            || job.perTask.cores * tasksOnWorker > state.freeCores
            || job.perTask.memoryMb * tasksOnWorker > state.freeMemory)
            return false;
    }
    return true;
}

void Scheduler::Private::startReserved()
{
    const std::vector<Job *> reserved = m_reserved;
    for (Job *job : reserved) {
        if (!job->reserved || !isReservationReady(*job))
            continue;
        if (!m_storeAvailable && !job->spec.repeatable) {
            dropReservation(*job);
            continue;
        }
        const CapacityClass capacityClass = job->capacityClass;
        reserve(*job, false);
        job->capacityClass = capacityClass;
        start(*job);
    }
}

// Claims the account's guarantee for borrowed jobs that run on accelerators where cells of the
// account can be claimed.
void Scheduler::Private::promoteBorrowed()
{
    if (!m_cellsFreed)
        return;
    m_cellsFreed = false;
    int remainingPromotions = MaxPromotionsPerUpdate;
    for (std::size_t i = 0; i < cluster.workers().size() && remainingPromotions > 0; ++i) {
        for (Job *job : cluster.workers()[i].gangs) {
            if (job->capacityClass != CapacityClass::Borrowed || job->state != JobState::Running
                || job->perTask.accelerators == 0 || remainingPromotions-- <= 0)
                continue;
            const int account = cluster.accountIndex(job->spec.account);
            if (cluster.claimInPlace(account, job->perTask, job->layout, true))
                job->capacityClass = CapacityClass::Guaranteed;
        }
    }
}

} // namespace oleandercross::scheduling
