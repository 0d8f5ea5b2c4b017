#include "scheduler_p.h"

#include <algorithm>

namespace oleandercross::scheduling {

namespace {

// Interval between updates of health, queue levels, moves and promotions. Ticks are more frequent.
constexpr absl::Duration PeriodicUpdateInterval = absl::Seconds(1);

} // namespace

Scheduler::Private::Private(core::DataCentreId dataCentre, Policy policy)
    : dataCentre(std::move(dataCentre))
    , policy(std::move(policy))
{ }

std::vector<Action> Scheduler::Private::apply(const Event &event, core::Instant now)
{
    m_now = std::max(now, m_now);
    m_actions.clear();
    std::visit([this](const auto &concrete) { handle(concrete); }, event);
    // An account with a shortfall may need a cell that was released.
    if (m_shortfallStale || !m_reportedShortfalls.empty())
        cluster.refreshShortfall();
    schedule();
    reportShortfall();
    return std::move(m_actions);
}

const detail::Job *Scheduler::Private::find(const core::JobId &id) const
{
    const auto it = jobs.find(id);
    return it == jobs.end() ? nullptr : it->second.get();
}

void Scheduler::Private::reportShortfall()
{
    const bool anyBefore = !m_reportedShortfalls.empty();
    if (!m_shortfallStale && !anyBefore)
        return;
    cluster.refreshShortfall();
    m_shortfallStale = false;
    for (std::size_t i = 0; i < cluster.accounts().size(); ++i) {
        ShortfallChanged now{cluster.accounts()[i], {}};
        for (std::size_t level = 0; level < detail::LevelCount; ++level) {
            const int cells = cluster.shortfall()[i][level];
            if (cells > 0)
                now.missing.push_back({static_cast<config::Level>(level), cells});
        }
        const auto before = m_reportedShortfalls.find(now.account);
        if (before == m_reportedShortfalls.end() ? now.missing.empty()
                                                 : before->second.missing == now.missing)
            continue;
        emit(now);
        if (now.missing.empty())
            m_reportedShortfalls.erase(now.account);
        else
            m_reportedShortfalls[now.account] = now;
    }
}

void Scheduler::Private::handle(const Tick &)
{
    std::vector<Job *> due;
    for (const auto &[id, job] : jobs) {
        if (job->deadline <= m_now)
            due.push_back(job.get());
    }
    // Makes the order deterministic: the order of a hash table differs between runs.
    std::sort(due.begin(), due.end(),
              [](const Job *a, const Job *b) { return a->sequence < b->sequence; });
    for (Job *job : due)
        handleDeadline(*job);
    if (m_now < m_nextPeriodicUpdate)
        return;
    m_nextPeriodicUpdate = m_now + PeriodicUpdateInterval;
    updateHealth();
    updateQueueLevels();
    moveFromDrainingWorkers();
    preemptForReservation();
    promoteBorrowed();
    // Back-off, quantum and ageing change with time alone.
    m_passNeeded |= !m_queue.empty();
}

void Scheduler::Private::handle(const StoreChanged &event)
{
    m_storeAvailable = event.available;
    m_passNeeded |= event.available;
}

Scheduler::Scheduler(core::DataCentreId dataCentre, Policy policy)
    : d(std::make_unique<Private>(std::move(dataCentre), std::move(policy)))
{ }

Scheduler::~Scheduler() = default;

std::vector<Action> Scheduler::apply(const Event &event, core::Instant now)
{
    return d->apply(event, now);
}

std::optional<Explanation> Scheduler::explain(const core::JobId &id, core::Instant now) const
{
    const detail::Job *job = d->find(id);
    if (job == nullptr)
        return core::fail(core::ResultCode::UnknownJob, "no job " + id.str());
    return d->explain(*job, now);
}

std::optional<JobView> Scheduler::job(const core::JobId &id) const
{
    const detail::Job *job = d->find(id);
    if (job == nullptr)
        return core::fail(core::ResultCode::UnknownJob, "no job " + id.str());
    return d->jobView(*job, d->m_now);
}

std::vector<JobView> Scheduler::jobs() const
{
    std::vector<JobView> result;
    result.reserve(d->jobs.size());
    for (const auto &[id, job] : d->jobs)
        result.push_back(d->jobView(*job, d->m_now));
    std::sort(result.begin(), result.end(),
              [](const JobView &a, const JobView &b) { return a.spec.id < b.spec.id; });
    return result;
}

bool Scheduler::guaranteesHold() const
{
    const std::vector<detail::LevelCounts> missing = d->cluster.missing();
    const std::vector<detail::LevelCounts> &accepted = d->cluster.shortfall();
    for (std::size_t account = 0; account < missing.size(); ++account) {
        for (std::size_t level = 0; level < detail::LevelCount; ++level) {
            if (missing[account][level] > accepted[account][level])
                return false;
        }
    }
    return true;
}

std::vector<ShortfallChanged> Scheduler::shortfall() const
{
    std::vector<ShortfallChanged> result;
    for (const auto &[account, shortfall] : d->m_reportedShortfalls)
        result.push_back(shortfall);
    std::sort(result.begin(), result.end(),
              [](const auto &a, const auto &b) { return a.account < b.account; });
    return result;
}

std::vector<core::WorkerId> Scheduler::quarantined() const
{
    std::vector<core::WorkerId> result;
    for (const detail::WorkerState &worker : d->cluster.workers()) {
        if (worker.healthState != HealthState::Healthy)
            result.push_back(worker.id);
    }
    return result;
}

} // namespace oleandercross::scheduling
