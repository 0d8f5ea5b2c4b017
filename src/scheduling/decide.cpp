#include "placer.h"
#include "scheduler_p.h"

#include <algorithm>

namespace oleandercross::scheduling {

using detail::CapacityView;
using detail::Layout;
using detail::WaitReason;

namespace {

// Limits the attempts that look for jobs to pre-empt, which are the most expensive kind.
constexpr int MaxPreemptionAttemptsPerPass = 8;
constexpr int MaxSurplusAttempts = 8;
constexpr int MaxPassesPerEvent = 3;
constexpr int MaxPromotionsPerReview = 64;

} // namespace

const CapacityView &Scheduler::Private::freeView()
{
    if (m_viewStale) {
        m_view = cluster.freeView();
        m_viewStale = false;
    }
    return m_view;
}

// Returns the workers on which the job failed or was refused. They are tried again after the job
// has waited for AvoidanceDuration.
std::vector<int> Scheduler::Private::avoidedWorkers(const Job &job) const
{
    constexpr absl::Duration AvoidanceDuration = absl::Minutes(1);
    if (m_now - job.waitingSince > AvoidanceDuration)
        return {};
    std::vector<int> result = job.failedOn;
    result.insert(result.end(), job.refusedBy.begin(), job.refusedBy.end());
    return result;
}

bool Scheduler::Private::isPermitted(Job &job)
{
    const std::pair team(job.spec.account, job.spec.team);
    const auto quota = m_quota.find(team);
    const int allowed = quota == m_quota.end() ? 0 : quota->second;
    const auto held = m_heldAccelerators.find(team);
    const int holds = held == m_heldAccelerators.end() ? 0 : held->second;
    if (!m_restored)
        job.waitReason = WaitReason::NotReady;
    else if (!m_storeAvailable && !job.spec.repeatable)
        job.waitReason = WaitReason::StoreUnavailable;
    else if (job.accelerators() > 0 && holds + job.accelerators() > allowed)
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
    m_preemptionAttempts = 0;
    startReserved();
    const std::vector<Job *> newJobs = std::exchange(m_newJobs, {});
    if (!m_passNeeded) {
        for (Job *job : newJobs) {
            if (!job->started() && !job->reserved)
                tryJob(*job);
        }
    }
    // A claim may cancel reservations, which frees capacity for jobs that were already tried.
    for (int round = 0; round < MaxPassesPerEvent && m_passNeeded; ++round) {
        m_passNeeded = false;
        m_preemptionAttempts = 0;
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
    m_failedAttempts.clear();
    Job *oldest = nullptr;
    int attempts = 0;
    for (Job *job : waiting) {
        if (attempts >= policy.attemptsPerPass) {
            m_resumeKey = job->key;
            break;
        }
        if (job->started() || job->reserved || !isPermitted(*job))
            continue;
        const detail::AttemptKey key{job->shape(),          job->spec.account,    job->spec.team,
                                     std::get<1>(job->key), job->spec.repeatable, job->spec.urgent};
        const bool avoidsNoWorker = avoidedWorkers(*job).empty();
        const bool knownToFail = avoidsNoWorker && m_failedAttempts.contains(key);
        if (knownToFail)
            job->waitReason = WaitReason::NoCapacity;
        attempts += knownToFail ? 0 : 1;
        if (!knownToFail && tryJob(*job))
            continue;
        if (avoidsNoWorker)
            m_failedAttempts.insert(key);
        const bool overdue = m_now - job->waitingSince >= policy.reserveAfter;
        if (overdue && isLarge(*job) && job->spec.repeatable
            && (oldest == nullptr || job->waitingSince < oldest->waitingSince))
            oldest = job;
    }
    if (oldest != nullptr && m_oldestLargeGang == nullptr)
        tryReservation(*oldest);
}

bool Scheduler::Private::tryJob(Job &job)
{
    if (!isPermitted(job))
        return false;
    job.waitReason = WaitReason::NoCapacity;
    if (tryFreeCapacity(job) || tryClaim(job))
        return true;
    if (!job.spec.repeatable)
        job.waitReason = WaitReason::NoGuarantee;
    if (m_preemptionAttempts >= MaxPreemptionAttemptsPerPass)
        return false;
    ++m_preemptionAttempts;
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

// Starts the job on free capacity, inside the account's guarantee if cells can be bound there.
bool Scheduler::Private::tryFreeCapacity(Job &job)
{
    std::optional<Layout> layout = place(cluster, freeView(), job.shape(), avoidedWorkers(job));
    if (!layout)
        return false;
    const bool claims = job.perTask.accelerators > 0 || !job.spec.repeatable;
    const int account = cluster.accountIndex(job.spec.account);
    if (claims && cluster.claimInPlace(account, job.perTask, *layout, job.spec.repeatable)) {
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
    CapacityView view = freeView();
    for (std::size_t i = 0; i < view.slots.size(); ++i)
        view.slots[i] &= cluster.workers()[i].available();
    std::vector<int> avoid = avoidedWorkers(job);
    for (int attempt = 0; attempt < MaxSurplusAttempts; ++attempt) {
        std::optional<Layout> layout = place(cluster, view, job.shape(), avoid);
        if (!layout)
            return false;
        if (cluster.takeSurplus(job.perTask, *layout)) {
            startOn(job, std::move(*layout), CapacityClass::Surplus);
            return true;
        }
        for (const detail::TaskAssignment &task : *layout)
            avoid.push_back(task.worker);
    }
    return false;
}

// Returns true if enough gangs have stopped for the job to start on its reservation.
bool Scheduler::Private::isReservationReady(const Job &job) const
{
    absl::flat_hash_map<int, int> tasks;
    for (const detail::TaskAssignment &task : job.layout) {
        const WorkerState &state = cluster.workers()[static_cast<std::size_t>(task.worker)];
        const int here = ++tasks[task.worker];
        if ((task.accelerators & state.used) != 0 || job.perTask.cores * here > state.freeCores
            || job.perTask.memoryMb * here > state.freeMemory)
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

// Claims the account's guarantee for borrowed jobs whose accelerators allow it.
void Scheduler::Private::promoteBorrowed()
{
    if (!m_cellsFreed)
        return;
    m_cellsFreed = false;
    int left = MaxPromotionsPerReview;
    for (std::size_t i = 0; i < cluster.workers().size() && left > 0; ++i) {
        for (Job *job : cluster.workers()[i].gangs) {
            if (job->capacityClass != CapacityClass::Borrowed || job->state != JobState::Running
                || job->perTask.accelerators == 0 || left-- <= 0)
                continue;
            const int account = cluster.accountIndex(job->spec.account);
            if (cluster.claimInPlace(account, job->perTask, job->layout, true))
                job->capacityClass = CapacityClass::Guaranteed;
        }
    }
}

} // namespace oleandercross::scheduling
