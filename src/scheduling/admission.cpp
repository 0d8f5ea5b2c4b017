#include "placer.h"
#include "scheduler_p.h"

#include <absl/strings/str_cat.h>

namespace oleandercross::scheduling {

using core::ResultCode;

namespace {

// More than any worker has, so that sums cannot overflow.
constexpr int MaxCores = 1 << 20;
constexpr std::int64_t MaxMemoryMb = std::int64_t{1} << 40;

bool validSize(const JobSpec &spec)
{
    const core::Resources &need = spec.perTask;
    return spec.tasks >= 1 && spec.tasks <= MaxTasks && need.accelerators >= 0 && need.cores >= 0
        && need.memoryMb >= 0 && need.accelerators <= detail::MaxSlots && need.cores <= MaxCores
        && need.memoryMb <= MaxMemoryMb && need != core::Resources{};
}

} // namespace

std::optional<core::Reason> Scheduler::Private::refusal(const JobSpec &spec)
{
    if (!m_storeAvailable)
        return core::Reason{ResultCode::StoreUnavailable, "the job cannot be recorded"};
    if (m_manifest == nullptr)
        return core::Reason{ResultCode::NotReady, "no manifest is in force"};
    if (cluster.accountIndex(spec.account) < 0)
        return core::Reason{ResultCode::UnknownAccount, "no account " + spec.account.str()};
    const auto quota = m_quota.find({spec.account, spec.team});
    if (quota == m_quota.end())
        return core::Reason{ResultCode::UnknownTeam, "no team " + spec.team.str()};
    if (!validSize(spec))
        return core::Reason{ResultCode::BadSize, "a size is out of range"};
    if (spec.tasks * spec.perTask.accelerators > quota->second)
        return core::Reason{
            ResultCode::NeverFits,
            absl::StrCat("the job needs more accelerators than the team's quota of ",
                         quota->second)};
    return std::nullopt;
}

void Scheduler::Private::handle(const JobSubmitted &event)
{
    if (jobs.contains(event.spec.id))
        return;
    std::optional<core::Reason> reason = refusal(event.spec);
    auto job = std::make_unique<Job>();
    job->spec = event.spec;
    job->perTask = event.spec.perTask;
    job->sequence = m_nextSequence++;
    job->waitingSince = m_now;
    if (!reason && !canEverFit(*job))
        reason =
            core::Reason{ResultCode::NeverFits, "no placement exists even on an empty data centre"};
    if (reason) {
        emit(JobStateChanged{event.spec.id, JobState::Failed, reason->code, reason->message});
        return;
    }
    Job &stored = *jobs.emplace(event.spec.id, std::move(job)).first->second;
    emit(JobStateChanged{stored.spec.id, JobState::Waiting, ResultCode::Ok, {}});
    enqueue(stored);
    m_new.push_back(&stored);
}

detail::Cluster Scheduler::Private::emptyCluster(bool planned) const
{
    detail::Cluster scratch;
    if (planned) {
        for (const config::PlannedDataCentre &plan : m_manifest->dataCentres) {
            if (plan.name != dataCentre)
                continue;
            for (int i = 0; i < plan.racks * plan.workersPerRack; ++i) {
                const core::RackId rack(absl::StrCat(i / plan.workersPerRack));
                scratch.setWorker(core::WorkerId(absl::StrCat(i)), rack, plan.perWorker);
            }
        }
    } else {
        for (const detail::WorkerState &worker : cluster.workers())
            scratch.setWorker(worker.id, worker.rackId, worker.total);
    }
    scratch.setGuarantees(*m_manifest, dataCentre, {});
    return scratch;
}

bool Scheduler::Private::fitsEmpty(const detail::Cluster &scratch, const Job &job) const
{
    std::optional<detail::Layout> layout = place(scratch, scratch.emptyView(), job.shape(), {});
    if (!layout || job.spec.repeatable)
        return layout.has_value();
    detail::Cluster trial = scratch;
    const int account = trial.accountIndex(job.spec.account);
    return trial.claimInPlace(account, job.perTask, *layout, false)
        || trial.takeSurplus(job.perTask, *layout)
        || trial.claimAnywhere(account, job.shape(), {}).has_value();
}

// Checks the known workers, whatever their state, and the planned ones.
bool Scheduler::Private::canEverFit(const Job &job)
{
    const FitKey key{job.shape(), job.spec.repeatable ? core::AccountId() : job.spec.account,
                     job.spec.repeatable};
    const auto cached = m_fits.find(key);
    if (cached != m_fits.end())
        return cached->second;
    const bool fits = fitsEmpty(emptyCluster(false), job) || fitsEmpty(emptyCluster(true), job);
    m_fits.emplace(key, fits);
    return fits;
}

absl::Duration Scheduler::Private::attained(const Job &job) const
{
    if (job.state != JobState::Running && job.state != JobState::Starting)
        return job.attained;
    return job.attained + (m_now - job.startedAt) * std::max(1, job.accelerators());
}

int Scheduler::Private::level(const Job &job) const
{
    const absl::Duration service = attained(job);
    int result = 0;
    for (const absl::Duration bound : policy.levels)
        result += service >= bound ? 1 : 0;
    return result;
}

// Waiting raises a job in the queue, large gangs sooner, since few placements suit them.
int Scheduler::Private::effectiveLevel(const Job &job) const
{
    constexpr int SmallJobFactor = 4;
    const absl::Duration step = policy.ageing * (isLarge(job) ? 1 : SmallJobFactor);
    const auto steps = static_cast<int>((m_now - job.waitingSince) / step);
    return std::max(0, level(job) - steps);
}

// A gang that needs more than a whole worker.
bool Scheduler::Private::isLarge(const Job &job) const
{
    constexpr int DefaultWorkerSize = 8;
    const int planned = cluster.plannedAccelerators();
    return job.accelerators() > std::max(1, planned > 0 ? planned : DefaultWorkerSize);
}

void Scheduler::Private::enqueue(Job &job)
{
    job.key = {job.spec.urgent ? 0 : 1, effectiveLevel(job), job.sequence};
    m_queue.emplace(job.key, &job);
}

void Scheduler::Private::dequeue(Job &job)
{
    const auto it = m_queue.find(job.key);
    if (it != m_queue.end() && it->second == &job)
        m_queue.erase(it);
}

void Scheduler::Private::age()
{
    std::vector<Job *> risen;
    for (const auto &[key, job] : m_queue) {
        if (std::get<1>(key) > 0 && effectiveLevel(*job) < std::get<1>(key))
            risen.push_back(job);
    }
    for (Job *job : risen) {
        dequeue(*job);
        enqueue(*job);
    }
    m_passNeeded |= !risen.empty();
}

JobView Scheduler::Private::view(const Job &job, core::Instant) const
{
    JobView view;
    view.spec = job.spec;
    view.state = job.state;
    view.hold = job.hold;
    view.attempt = job.attempt;
    view.reserved = job.reserved;
    view.oldestLarge = m_oldest == &job;
    view.perTask = job.perTask;
    view.attained = attained(job);
    view.failures = job.failures;
    view.preemptions = job.preemptions;
    for (const detail::TaskHold &task : job.layout) {
        const auto &state = cluster.workers()[static_cast<std::size_t>(task.worker)];
        TaskPlacement place{state.id, {}};
        for (detail::Slots left = task.accelerators; left != 0; left &= left - 1)
            place.accelerators.push_back(std::countr_zero(left));
        view.placement.tasks.push_back(std::move(place));
    }
    return view;
}

Explanation Scheduler::Private::explain(const Job &job, core::Instant) const
{
    using detail::Wait;
    Explanation result{job.state, {}, {}};
    if (job.started()) {
        result.reason = job.state == JobState::Stopping ? "the job is being stopped"
                                                        : "the job has its accelerators";
        return result;
    }
    if (job.reserved) {
        result.reason = "accelerators are reserved and other jobs on them are being stopped";
        result.remedy = "the job starts when they have stopped";
        return result;
    }
    const std::string need =
        absl::StrCat(job.spec.tasks, " tasks of ", job.perTask.accelerators, " accelerators, ",
                     job.perTask.cores, " cores, ", job.perTask.memoryMb, " MiB");
    switch (job.wait) {
    case Wait::NotTried:
        return {job.state, "the queue ahead of the job is being tried first",
                "the job is tried within seconds"};
    case Wait::NotReady:
        return {job.state, "the scheduler is rebuilding its state", "the end of the take-over"};
    case Wait::StoreUnavailable:
        return {job.state, "the start of a job that is not repeatable cannot be recorded",
                "the table service has to become available"};
    case Wait::Quota:
        return {job.state, absl::StrCat("team ", job.spec.team.str(), " holds its quota"),
                "a job of the team has to end, or the quota has to be raised"};
    case Wait::BackOff:
        return {job.state, "a worker refused the latest start", "the start is retried in seconds"};
    case Wait::Fragmented:
        return {
            job.state,
            absl::StrCat("enough accelerators are free, but not close enough together for ", need),
            "a running job next to free accelerators has to end or be moved, or the job has to "
            "accept a wider adjacency"};
    case Wait::NoGuarantee:
        return {
            job.state,
            absl::StrCat("a job that is not repeatable cannot borrow, and neither the account's "
                         "guarantee nor unguaranteed capacity holds ",
                         need),
            "other work of the account has to end, or the job has to be repeatable"};
    case Wait::NoCapacity:
        break;
    }
    return {job.state, absl::StrCat("not enough free capacity for ", need),
            "running jobs have to end, or the account needs a larger guarantee"};
}

} // namespace oleandercross::scheduling
