#include "placer.h"
#include "scheduler_p.h"

#include <algorithm>

namespace oleandercross::scheduling {

using detail::Layout;
using detail::View;
using detail::Wait;

namespace {

// Most attempts per pass that look for work to stop, the costliest kind.
constexpr int StopAttemptsPerPass = 8;
constexpr int SurplusAttempts = 8;
constexpr int PassesPerEvent = 3;
constexpr int PromotionsPerTick = 64;

} // namespace

const View &Scheduler::Private::freeView()
{
    if (m_viewStale) {
        m_view = cluster.freeView();
        m_viewStale = false;
    }
    return m_view;
}

// Workers on which the job failed or was refused. They are tried again when it has waited long.
std::vector<int> Scheduler::Private::avoided(const Job &job) const
{
    constexpr absl::Duration AvoidFor = absl::Minutes(1);
    if (m_now - job.waitingSince > AvoidFor)
        return {};
    std::vector<int> result = job.failedOn;
    result.insert(result.end(), job.refusedBy.begin(), job.refusedBy.end());
    return result;
}

bool Scheduler::Private::permitted(Job &job)
{
    const std::pair team(job.spec.account, job.spec.team);
    const auto quota = m_quota.find(team);
    const int allowed = quota == m_quota.end() ? 0 : quota->second;
    const auto held = m_held.find(team);
    const int holds = held == m_held.end() ? 0 : held->second;
    if (!m_restored)
        job.wait = Wait::NotReady;
    else if (!m_storeAvailable && !job.spec.repeatable)
        job.wait = Wait::StoreUnavailable;
    else if (job.accelerators() > 0 && holds + job.accelerators() > allowed)
        job.wait = Wait::Quota;
    else if (job.retryAt > m_now)
        job.wait = Wait::BackOff;
    else
        return true;
    return false;
}

void Scheduler::Private::schedule()
{
    if (!m_restored)
        return;
    m_stopAttempts = 0;
    startReserved();
    const std::vector<Job *> fresh = std::exchange(m_new, {});
    if (!m_passNeeded) {
        for (Job *job : fresh) {
            if (!job->started() && !job->reserved)
                tryJob(*job);
        }
    }
    // A claim may drop reservations, which frees capacity for jobs that were tried before.
    for (int round = 0; round < PassesPerEvent && m_passNeeded; ++round) {
        m_passNeeded = false;
        m_stopAttempts = 0;
        pass();
    }
}

// Tries the waiting jobs in the order of the queue; those that fit pass those that do not.
void Scheduler::Private::pass()
{
    std::vector<Job *> waiting;
    waiting.reserve(m_queue.size());
    const auto from = m_resume ? m_queue.lower_bound(*m_resume) : m_queue.begin();
    for (auto it = from; it != m_queue.end(); ++it) {
        if (!it->second->reserved)
            waiting.push_back(it->second);
    }
    // After the rest of the queue its head is tried again.
    m_passNeeded |= m_resume.has_value();
    m_resume.reset();
    m_failedAttempts.clear();
    Job *oldest = nullptr;
    int attempts = 0;
    for (Job *job : waiting) {
        if (attempts >= policy.attemptsPerPass) {
            m_resume = job->key;
            break;
        }
        if (job->started() || job->reserved || !permitted(*job))
            continue;
        const detail::AttemptKey key{job->shape(),          job->spec.account,    job->spec.team,
                                     std::get<1>(job->key), job->spec.repeatable, job->spec.urgent};
        const bool plain = avoided(*job).empty();
        const bool known = plain && m_failedAttempts.contains(key);
        if (known)
            job->wait = Wait::NoCapacity;
        attempts += known ? 0 : 1;
        if (!known && tryJob(*job))
            continue;
        if (plain)
            m_failedAttempts.insert(key);
        const bool overdue = m_now - job->waitingSince >= policy.reserveAfter;
        if (overdue && isLarge(*job) && job->spec.repeatable
            && (oldest == nullptr || job->waitingSince < oldest->waitingSince))
            oldest = job;
    }
    if (oldest != nullptr && m_oldest == nullptr)
        tryReservation(*oldest);
}

bool Scheduler::Private::tryJob(Job &job)
{
    if (!permitted(job))
        return false;
    job.wait = Wait::NoCapacity;
    if (tryFree(job) || tryClaim(job))
        return true;
    if (!job.spec.repeatable)
        job.wait = Wait::NoGuarantee;
    if (m_stopAttempts >= StopAttemptsPerPass)
        return false;
    ++m_stopAttempts;
    if (job.spec.urgent && tryUrgent(job))
        return true;
    if (tryOrder(job))
        return true;
    return tryDefragment(job);
}

void Scheduler::Private::take(Job &job, Layout layout, Hold hold)
{
    job.layout = std::move(layout);
    job.hold = hold;
    start(job);
}

// Uses free capacity, inside the account's guarantee if it can be mapped there.
bool Scheduler::Private::tryFree(Job &job)
{
    std::optional<Layout> layout = place(cluster, freeView(), job.shape(), avoided(job));
    if (!layout)
        return false;
    const bool claims = job.perTask.accelerators > 0 || !job.spec.repeatable;
    const int account = cluster.accountIndex(job.spec.account);
    if (claims && cluster.claimInPlace(account, job.perTask, *layout, job.spec.repeatable)) {
        take(job, std::move(*layout), Hold::Guaranteed);
        return true;
    }
    if (!job.spec.repeatable)
        return trySurplus(job);
    take(job, std::move(*layout), Hold::Borrowed);
    return true;
}

// Looks for free capacity that no guarantee needs.
bool Scheduler::Private::trySurplus(Job &job)
{
    View view = freeView();
    for (std::size_t i = 0; i < view.slots.size(); ++i)
        view.slots[i] &= cluster.workers()[i].available();
    std::vector<int> avoid = avoided(job);
    for (int attempt = 0; attempt < SurplusAttempts; ++attempt) {
        std::optional<Layout> layout = place(cluster, view, job.shape(), avoid);
        if (!layout)
            return false;
        if (cluster.takeSurplus(job.perTask, *layout)) {
            take(job, std::move(*layout), Hold::Surplus);
            return true;
        }
        for (const detail::TaskHold &task : *layout)
            avoid.push_back(task.worker);
    }
    return false;
}

// Resources of the started and reserved gangs allow the job's reservation to start.
bool Scheduler::Private::ready(const Job &job) const
{
    absl::flat_hash_map<int, int> tasks;
    for (const detail::TaskHold &task : job.layout) {
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
        if (!job->reserved || !ready(*job))
            continue;
        if (!m_storeAvailable && !job->spec.repeatable) {
            dropReservation(*job);
            continue;
        }
        const Hold hold = job->hold;
        reserve(*job, false);
        job->hold = hold;
        start(*job);
    }
}

// Moves borrowed work into its account's guarantee where its accelerators allow.
void Scheduler::Private::promote()
{
    if (!m_cellsFreed)
        return;
    m_cellsFreed = false;
    int left = PromotionsPerTick;
    for (std::size_t i = 0; i < cluster.workers().size() && left > 0; ++i) {
        for (Job *job : cluster.workers()[i].gangs) {
            if (job->hold != Hold::Borrowed || job->state != JobState::Running
                || job->perTask.accelerators == 0 || left-- <= 0)
                continue;
            const int account = cluster.accountIndex(job->spec.account);
            if (cluster.claimInPlace(account, job->perTask, job->layout, true))
                job->hold = Hold::Guaranteed;
        }
    }
}

} // namespace oleandercross::scheduling
