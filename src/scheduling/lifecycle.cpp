#include "scheduler_p.h"

#include <algorithm>

namespace oleandercross::scheduling {

using detail::AfterStop;

namespace {

// A start without a reply is stopped after this time.
constexpr absl::Duration StartTimeout = absl::Seconds(15);
// A stop is repeated until its reply arrives, because the request or the reply may be lost.
constexpr absl::Duration StopRetryInterval = absl::Seconds(5);
constexpr absl::Duration InitialBackOff = absl::Milliseconds(250);
constexpr int MaxBackOffDoublings = 5;
// Number of NoResources refusals up to which the job does not avoid the worker.
constexpr int MaxVacatingRefusals = 4;
// Share of its processors to which a task that exceeds its memory is limited.
constexpr double ThrottledCpuFraction = 0.5;

} // namespace

Scheduler::Private::Job *Scheduler::Private::findActive(const core::JobId &id, int attempt)
{
    const auto it = jobs.find(id);
    if (it == jobs.end() || !it->second->isActive() || it->second->attempt != attempt)
        return nullptr;
    return it->second.get();
}

void Scheduler::Private::setState(Job &job, JobState state)
{
    job.state = state;
    emit(JobStateChanged{job.spec.id, state, core::ResultCode::Ok, {}});
}

// Adds the job's tasks to the used resources of their workers, or subtracts them.
void Scheduler::Private::updateUsage(Job &job, bool add)
{
    const int sign = add ? 1 : -1;
    if (add)
        job.shares = detail::workerShares(job.layout);
    for (const detail::TaskAssignment &task : job.layout) {
        WorkerState &state = worker(task.worker);
        state.used = add ? state.used | task.accelerators : state.used & ~task.accelerators;
        const detail::Slots immovable = job.immovable() ? task.accelerators : 0;
        state.immovable = add ? state.immovable | immovable : state.immovable & ~immovable;
        state.freeCores -= sign * job.perTask.cores;
        state.freeMemory -= sign * job.perTask.memoryMb;
        const auto it = std::find(state.gangs.begin(), state.gangs.end(), &job);
        if (add && it == state.gangs.end())
            state.gangs.push_back(&job);
        else if (!add && it != state.gangs.end())
            state.gangs.erase(it);
    }
    m_heldAccelerators[{job.spec.account, job.spec.team}] += sign * job.acceleratorCount();
    m_freeCapacityStale = true;
}

void Scheduler::Private::reserve(Job &job, bool add)
{
    const int sign = add ? 1 : -1;
    if (add)
        job.shares = detail::workerShares(job.layout);
    for (const detail::TaskAssignment &task : job.layout) {
        WorkerState &state = worker(task.worker);
        state.reserved =
            add ? state.reserved | task.accelerators : state.reserved & ~task.accelerators;
        state.reservedCores += sign * job.perTask.cores;
        state.reservedMemory += sign * job.perTask.memoryMb;
        const auto it = std::find(state.reservations.begin(), state.reservations.end(), &job);
        if (add && it == state.reservations.end())
            state.reservations.push_back(&job);
        else if (!add && it != state.reservations.end())
            state.reservations.erase(it);
    }
    m_heldAccelerators[{job.spec.account, job.spec.team}] += sign * job.acceleratorCount();
    job.reserved = add;
    if (add)
        m_reserved.push_back(&job);
    else
        std::erase(m_reserved, &job);
    if (!add && m_oldestLargeGang == &job)
        m_oldestLargeGang = nullptr;
    m_freeCapacityStale = true;
}

void Scheduler::Private::dropReservation(Job &job)
{
    if (!job.reserved)
        return;
    reserve(job, false);
    cluster.release(job.layout);
    job.layout.clear();
    job.capacityClass = CapacityClass::None;
    m_passNeeded = true;
    m_cellsFreed = true;
}

void Scheduler::Private::start(Job &job)
{
    dequeue(job);
    ++job.attempt;
    job.startedAt = m_now;
    job.deadline = m_now + StartTimeout;
    job.finishedTasks.assign(static_cast<std::size_t>(job.spec.tasks), false);
    job.throttledAt = absl::InfiniteFuture();
    updateUsage(job, true);
    setState(job, JobState::Starting);
    StartGang action{job.spec.id, job.attempt, {}, job.perTask, job.hasCheckpoint};
    for (const detail::TaskAssignment &task : job.layout) {
        TaskPlacement place{worker(task.worker).id, {}};
        for (detail::Slots left = task.accelerators; left != 0; left &= left - 1)
            place.accelerators.push_back(std::countr_zero(left));
        action.placement.tasks.push_back(std::move(place));
    }
    emit(std::move(action));
}

void Scheduler::Private::beginStop(Job &job, AfterStop afterStop, absl::Duration checkpointTimeout)
{
    if (job.state == JobState::Stopping) {
        if (afterStop == AfterStop::Cancel || afterStop == AfterStop::Fail)
            job.afterStop = afterStop;
        if (job.checkpointing && afterStop == AfterStop::Cancel)
            sendStop(job);
        job.deadline = std::min(job.deadline, m_now + checkpointTimeout);
        return;
    }
    const bool checkpoint = job.state == JobState::Running && job.spec.checkpointable
        && checkpointTimeout > absl::ZeroDuration();
    accrueService(job);
    cluster.release(job.layout);
    job.capacityClass = CapacityClass::Borrowed;
    job.afterStop = afterStop;
    m_cellsFreed = true;
    setState(job, JobState::Stopping);
    if (!checkpoint) {
        sendStop(job);
        return;
    }
    job.checkpointing = true;
    job.deadline = m_now + checkpointTimeout;
    emit(CheckpointGang{job.spec.id, job.attempt});
}

void Scheduler::Private::sendStop(Job &job)
{
    job.checkpointing = false;
    job.deadline = m_now + StopRetryInterval;
    emit(StopGang{job.spec.id, job.attempt});
}

void Scheduler::Private::handleDeadline(Job &job)
{
    if (job.state == JobState::Stopping) {
        sendStop(job);
        return;
    }
    if (job.state != JobState::Starting)
        return;
    // The gang may have run briefly, so a job that is not repeatable must not be started again.
    if (!job.spec.repeatable) {
        job.code = core::ResultCode::OutcomeUnknown;
        job.message = "the start was not confirmed";
    }
    beginStop(job, job.spec.repeatable ? AfterStop::Requeue : AfterStop::Fail,
              absl::ZeroDuration());
}

// Adds the time since the start, or since the previous call, to the attained service.
void Scheduler::Private::accrueService(Job &job)
{
    job.attainedService += (m_now - job.startedAt) * std::max(1, job.acceleratorCount());
    job.startedAt = m_now;
}

void Scheduler::Private::requeue(Job &job)
{
    job.deadline = absl::InfiniteFuture();
    job.waitingSince = m_now;
    setState(job, JobState::Waiting);
    enqueue(job);
    m_passNeeded = true;
}

// Completes a stop: no task of the gang runs any more.
void Scheduler::Private::completeStop(Job &job)
{
    accrueService(job);
    cluster.release(job.layout);
    updateUsage(job, false);
    job.layout.clear();
    job.capacityClass = CapacityClass::None;
    job.checkpointing = false;
    m_passNeeded = true;
    m_cellsFreed = true;
    switch (job.afterStop) {
    case AfterStop::Requeue:
        requeue(job);
        break;
    case AfterStop::RequeueLarger:
        ++job.enlargements;
        job.perTask.memoryMb = std::max(2 * job.perTask.memoryMb, job.peakTaskMemoryMb * 5 / 4);
        job.peakTaskMemoryMb = 0;
        if (!canEverFit(job)) {
            finish(job, JobState::Failed, core::ResultCode::JobOutgrewLimit,
                   "no worker has enough memory for the job's measured use");
            return;
        }
        emit(RequeueLarger{job.spec.id, job.perTask});
        requeue(job);
        break;
    case AfterStop::Fail:
        finish(job, JobState::Failed, job.code, job.message);
        break;
    case AfterStop::Cancel:
        finish(job, JobState::Cancelled, core::ResultCode::JobCancelled);
        break;
    }
}

void Scheduler::Private::handleLostGang(Job &job)
{
    if (!job.spec.repeatable) {
        job.code = core::ResultCode::JobLostMember;
        job.message = "a member was lost and the job is not repeatable";
    }
    const AfterStop afterStop = job.spec.repeatable ? AfterStop::Requeue : AfterStop::Fail;
    // The surviving members cannot complete a checkpoint.
    if (job.state == JobState::Stopping && job.checkpointing)
        sendStop(job);
    else if (job.state != JobState::Stopping)
        beginStop(job, afterStop, absl::ZeroDuration());
}

void Scheduler::Private::finish(Job &job, JobState state, core::ResultCode code,
                                std::string message)
{
    emit(JobStateChanged{job.spec.id, state, code, std::move(message)});
    erase(job);
}

void Scheduler::Private::erase(Job &job)
{
    dequeue(job);
    std::erase(m_newJobs, &job);
    jobs.erase(core::JobId(job.spec.id));
}

void Scheduler::Private::handle(const JobCancelled &event)
{
    const auto it = jobs.find(event.job);
    if (it == jobs.end())
        return;
    Job &job = *it->second;
    if (job.isActive()) {
        beginStop(job, AfterStop::Cancel, absl::ZeroDuration());
        return;
    }
    dropReservation(job);
    finish(job, JobState::Cancelled,
           job.attempt == 0 ? core::ResultCode::Cancelled : core::ResultCode::JobCancelled);
}

void Scheduler::Private::handle(const GangStarted &event)
{
    Job *job = findActive(event.job, event.attempt);
    if (job == nullptr || job->state != JobState::Starting)
        return;
    job->deadline = absl::InfiniteFuture();
    job->startedAt = m_now;
    job->consecutiveRefusals = 0;
    job->refusingWorkers.clear();
    setState(*job, JobState::Running);
}

void Scheduler::Private::handle(const GangRefused &event)
{
    Job *job = findActive(event.job, event.attempt);
    if (job == nullptr || job->state == JobState::Running)
        return;
    if (job->state == JobState::Starting) {
        const int refusing = cluster.workerIndex(event.worker);
        const int doublings = std::min(job->consecutiveRefusals++, MaxBackOffDoublings);
        // A worker whose previous gang just stopped may refuse until its agent has seen the tasks
        // end.
        const bool vacating = event.code == core::ResultCode::NoResources
            && job->consecutiveRefusals <= MaxVacatingRefusals;
        if (refusing >= 0 && !vacating)
            job->refusingWorkers.push_back(refusing);
        job->retryAt = m_now + InitialBackOff * (1 << doublings);
        job->afterStop = AfterStop::Requeue;
    }
    completeStop(*job);
}

void Scheduler::Private::handle(const GangStopped &event)
{
    Job *job = findActive(event.job, event.attempt);
    if (job == nullptr)
        return;
    if (job->state != JobState::Stopping) {
        // The agents stopped the gang without a request after a member was lost.
        job->afterStop = job->spec.repeatable ? AfterStop::Requeue : AfterStop::Fail;
        job->code = core::ResultCode::JobLostMember;
        job->message = "a member was lost and the job is not repeatable";
    }
    completeStop(*job);
}

void Scheduler::Private::handle(const TaskFinished &event)
{
    Job *job = findActive(event.job, event.attempt);
    if (job == nullptr || event.task < 0 || event.task >= job->spec.tasks)
        return;
    const auto task = static_cast<std::size_t>(event.task);
    if (job->finishedTasks[task])
        return;
    job->finishedTasks[task] = true;
    if (task < job->layout.size())
        recordSuccess(job->layout[task].worker);
    if (std::find(job->finishedTasks.begin(), job->finishedTasks.end(), false)
        != job->finishedTasks.end())
        return;
    cluster.release(job->layout);
    updateUsage(*job, false);
    m_passNeeded = true;
    m_cellsFreed = true;
    finish(*job, JobState::Succeeded, core::ResultCode::Ok);
}

void Scheduler::Private::handle(const TaskFailed &event)
{
    Job *job = findActive(event.job, event.attempt);
    if (job == nullptr || job->state == JobState::Stopping || event.task < 0
        || event.task >= job->spec.tasks)
        return;
    const int worker = job->layout[static_cast<std::size_t>(event.task)].worker;
    // On a worker in probation, the worker is the likelier cause of the failure.
    if (this->worker(worker).healthState != HealthState::Probation)
        ++job->failures;
    if (std::find(job->failedWorkers.begin(), job->failedWorkers.end(), worker)
        == job->failedWorkers.end())
        job->failedWorkers.push_back(worker);
    const bool again = job->spec.repeatable && job->failures < policy.maxFailures;
    job->code =
        job->spec.repeatable ? core::ResultCode::JobFailedEverywhere : core::ResultCode::JobFailed;
    job->message = event.message;
    beginStop(*job, again ? AfterStop::Requeue : AfterStop::Fail, absl::ZeroDuration());
    recordFailure(*job, worker);
}

void Scheduler::Private::handle(const TaskLost &event)
{
    Job *job = findActive(event.job, event.attempt);
    if (job != nullptr)
        handleLostGang(*job);
}

void Scheduler::Private::handle(const CheckpointDone &event)
{
    Job *job = findActive(event.job, event.attempt);
    if (job == nullptr)
        return;
    job->hasCheckpoint |= event.succeeded;
    if (job->checkpointing)
        sendStop(*job);
}

// A task that exceeds its declared memory is throttled first, which often ends the growth. The job
// is stopped if it still exceeds its memory after Policy::throttleDuration.
void Scheduler::Private::handle(const UsageReported &event)
{
    Job *job = findActive(event.job, event.attempt);
    if (job == nullptr || job->state != JobState::Running
        || event.used.memoryMb <= job->perTask.memoryMb)
        return;
    job->peakTaskMemoryMb = std::max(job->peakTaskMemoryMb, event.used.memoryMb);
    if (job->throttledAt == absl::InfiniteFuture()) {
        job->throttledAt = m_now;
        emit(ThrottleTask{job->spec.id, job->attempt, event.task, ThrottledCpuFraction});
        return;
    }
    if (m_now - job->throttledAt < policy.throttleDuration)
        return;
    const bool again = job->spec.repeatable && job->enlargements < policy.maxEnlargements;
    job->code = core::ResultCode::JobOutgrewLimit;
    job->message = "the job uses more memory than declared";
    beginStop(*job, again ? AfterStop::RequeueLarger : AfterStop::Fail, policy.checkpointTimeout);
}

} // namespace oleandercross::scheduling
