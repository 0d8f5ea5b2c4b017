#include "placer.h"
#include "scheduler_p.h"

#include <absl/strings/str_cat.h>

namespace oleandercross::scheduling {

using core::ResultCode;

namespace {

// Larger than any worker, and small enough that sums cannot overflow.
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

std::optional<core::Reason> Scheduler::Private::refusalReason(const JobSpec &spec)
{
    if (!m_storeAvailable)
        return core::Reason{ResultCode::StoreUnavailable, "the job cannot be recorded"};
    if (m_manifest == nullptr)
        return core::Reason{ResultCode::NotReady, "no manifest has been received yet"};
    if (cluster.accountIndex(spec.account) < 0)
        return core::Reason{ResultCode::UnknownAccount, "unknown account " + spec.account.str()};
    const auto quota = m_quota.find({spec.account, spec.team});
    if (quota == m_quota.end())
        return core::Reason{ResultCode::UnknownTeam, "unknown team " + spec.team.str()};
    if (!validSize(spec))
        return core::Reason{ResultCode::BadSize,
                            "the task count or a resource of the job is out of range"};
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
    std::optional<core::Reason> reason = refusalReason(event.spec);
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
    m_newJobs.push_back(&stored);
}

detail::Cluster Scheduler::Private::makeEmptyCluster(bool planned) const
{
    detail::Cluster emptyDataCentre;
    if (planned) {
        for (const config::PlannedDataCentre &plan : m_manifest->dataCentres) {
            if (plan.name != dataCentre)
                continue;
            for (int i = 0; i < plan.racks * plan.workersPerRack; ++i) {
                const core::RackId rack(absl::StrCat(i / plan.workersPerRack));
                emptyDataCentre.setWorker(core::WorkerId(absl::StrCat(i)), rack, plan.perWorker);
            }
        }
    } else {
        for (const detail::WorkerState &worker : cluster.workers())
            emptyDataCentre.setWorker(worker.id, worker.rackId, worker.total);
    }
    emptyDataCentre.setGuarantees(*m_manifest, dataCentre, {});
    return emptyDataCentre;
}

bool Scheduler::Private::fitsWhenEmpty(const detail::Cluster &emptyDataCentre, const Job &job) const
{
    std::optional<detail::Layout> layout =
        place(emptyDataCentre, emptyDataCentre.emptyCapacity(), job.shape(), {});
    if (!layout || job.spec.repeatable)
        return layout.has_value();
    detail::Cluster copy = emptyDataCentre;
    const int account = copy.accountIndex(job.spec.account);
    return copy.claimInPlace(account, job.perTask, *layout, false)
        || copy.takeSurplus(job.perTask, *layout)
        || copy.claimAnywhere(account, job.shape(), {}).has_value();
}

// Returns true if the job fits an empty data centre of either the known workers, whatever their
// state, or the planned ones.
bool Scheduler::Private::canEverFit(const Job &job)
{
    const FitKey key{job.shape(), job.spec.repeatable ? core::AccountId() : job.spec.account,
                     job.spec.repeatable};
    const auto cached = m_fitCache.find(key);
    if (cached != m_fitCache.end())
        return cached->second;
    const bool fits =
        fitsWhenEmpty(makeEmptyCluster(false), job) || fitsWhenEmpty(makeEmptyCluster(true), job);
    m_fitCache.emplace(key, fits);
    return fits;
}

absl::Duration Scheduler::Private::attainedService(const Job &job) const
{
    if (job.state != JobState::Running && job.state != JobState::Starting)
        return job.attainedService;
    return job.attainedService + (m_now - job.startedAt) * std::max(1, job.acceleratorCount());
}

int Scheduler::Private::queueLevel(const Job &job) const
{
    const absl::Duration attainedTime = attainedService(job);
    int result = 0;
    for (const absl::Duration threshold : policy.levels)
        result += attainedTime >= threshold ? 1 : 0;
    return result;
}

// Returns the level after ageing, which lowers the level of a waiting job and so moves it forward
// in the queue. Large gangs age faster, because fewer placements exist for them.
int Scheduler::Private::agedQueueLevel(const Job &job) const
{
    constexpr int SmallJobAgeingFactor = 4;
    const absl::Duration step = policy.ageingInterval * (isLarge(job) ? 1 : SmallJobAgeingFactor);
    const auto steps = static_cast<int>((m_now - job.waitingSince) / step);
    return std::max(0, queueLevel(job) - steps);
}

// Returns true if the gang needs more accelerators than one worker has.
bool Scheduler::Private::isLarge(const Job &job) const
{
    constexpr int DefaultWorkerAccelerators = 8;
    const int planned = cluster.plannedAccelerators();
    return job.acceleratorCount() > std::max(1, planned > 0 ? planned : DefaultWorkerAccelerators);
}

void Scheduler::Private::enqueue(Job &job)
{
    job.key = {job.spec.urgent ? 0 : 1, agedQueueLevel(job), job.sequence};
    m_queue.emplace(job.key, &job);
}

void Scheduler::Private::dequeue(Job &job)
{
    const auto it = m_queue.find(job.key);
    if (it != m_queue.end() && it->second == &job)
        m_queue.erase(it);
}

void Scheduler::Private::updateQueueLevels()
{
    std::vector<Job *> raised;
    for (const auto &[key, job] : m_queue) {
        if (std::get<1>(key) > 0 && agedQueueLevel(*job) < std::get<1>(key))
            raised.push_back(job);
    }
    for (Job *job : raised) {
        dequeue(*job);
        enqueue(*job);
    }
    m_passNeeded |= !raised.empty();
}

JobView Scheduler::Private::jobView(const Job &job, core::Instant) const
{
    JobView view;
    view.spec = job.spec;
    view.state = job.state;
    view.capacityClass = job.capacityClass;
    view.attempt = job.attempt;
    view.reserved = job.reserved;
    view.oldestLargeGang = m_oldestLargeGang == &job;
    view.perTask = job.perTask;
    view.attained = attainedService(job);
    view.failures = job.failures;
    view.preemptions = job.preemptions;
    for (const detail::TaskAssignment &task : job.layout) {
        const auto &state = cluster.workers()[static_cast<std::size_t>(task.worker)];
        TaskPlacement placement{state.id, {}};
        for (detail::Slots left = task.accelerators; left != 0; left &= left - 1)
            placement.accelerators.push_back(std::countr_zero(left));
        view.placement.tasks.push_back(std::move(placement));
    }
    return view;
}

Explanation Scheduler::Private::explain(const Job &job, core::Instant) const
{
    using detail::WaitReason;
    Explanation result{job.state, {}, {}};
    if (job.isActive()) {
        result.reason = job.state == JobState::Stopping ? "the job is being stopped"
                                                        : "the job has been placed";
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
    switch (job.waitReason) {
    case WaitReason::NotTried:
        return {job.state, "the jobs ahead in the queue are tried first",
                "none is needed; the job is tried soon"};
    case WaitReason::NotReady:
        return {job.state, "the scheduler is rebuilding its state",
                "the job is tried once the new leader has recovered its state"};
    case WaitReason::StoreUnavailable:
        return {job.state, "the start of a job that is not repeatable cannot be recorded",
                "the store has to become available"};
    case WaitReason::Quota:
        return {job.state,
                absl::StrCat("team ", job.spec.team.str(), " has no quota left for the job"),
                "a job of the team has to end, or the quota has to be raised"};
    case WaitReason::BackOff:
        return {job.state, "a worker refused the latest start",
                "none is needed; the start is retried soon"};
    case WaitReason::Fragmented:
        return {
            job.state,
            absl::StrCat("enough accelerators are free, but they are too fragmented for ", need),
            "a job that runs next to free accelerators has to end or be moved, or the job has to "
            "accept a placement on several workers or racks"};
    case WaitReason::NoUnborrowedCapacity:
        return {job.state,
                absl::StrCat(
                    "a job that is not repeatable cannot use borrowed capacity, and neither the "
                    "account's guarantee nor surplus capacity has space for ",
                    need),
                "other work of the account has to end, or the job has to be repeatable"};
    case WaitReason::NoCapacity:
        break;
    }
    return {job.state, absl::StrCat("not enough free capacity for ", need),
            "running jobs have to end, or the account needs a larger guarantee"};
}

} // namespace oleandercross::scheduling
