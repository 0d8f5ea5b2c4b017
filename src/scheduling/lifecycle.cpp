#include "scheduler_p.h"

#include <algorithm>

namespace oleandercross::scheduling {

using detail::After;

namespace {

// A start that is not answered is taken back after this time.
constexpr absl::Duration StartBound = absl::Seconds(15);
// A stop is repeated until it is answered, since the message or its answer may be lost.
constexpr absl::Duration StopRepeat = absl::Seconds(5);
constexpr absl::Duration FirstBackOff = absl::Milliseconds(250);
constexpr int MaxBackOffDoublings = 5;
// Refusals for want of resources up to which a job does not avoid the worker.
constexpr int VacatingRefusals = 4;
// Share of its processors that is left to a task that exceeds its memory.
constexpr double ThrottleShare = 0.5;

} // namespace

Scheduler::Private::Job *Scheduler::Private::running(const core::JobId &id, int attempt)
{
    const auto it = jobs.find(id);
    if (it == jobs.end() || !it->second->started() || it->second->attempt != attempt)
        return nullptr;
    return it->second.get();
}

void Scheduler::Private::setState(Job &job, JobState state)
{
    job.state = state;
    emit(JobStateChanged{job.spec.id, state, core::ResultCode::Ok, {}});
}

// Adds the job's tasks to their workers' used resources, or takes them off.
void Scheduler::Private::hold(Job &job, bool take)
{
    const int sign = take ? 1 : -1;
    if (take)
        job.shares = detail::sharesOf(job.layout);
    for (const detail::TaskHold &task : job.layout) {
        WorkerState &state = worker(task.worker);
        state.used = take ? state.used | task.accelerators : state.used & ~task.accelerators;
        const detail::Slots fixed = job.fixed() ? task.accelerators : 0;
        state.fixed = take ? state.fixed | fixed : state.fixed & ~fixed;
        state.freeCores -= sign * job.perTask.cores;
        state.freeMemory -= sign * job.perTask.memoryMb;
        const auto it = std::find(state.gangs.begin(), state.gangs.end(), &job);
        if (take && it == state.gangs.end())
            state.gangs.push_back(&job);
        else if (!take && it != state.gangs.end())
            state.gangs.erase(it);
    }
    m_held[{job.spec.account, job.spec.team}] += sign * job.accelerators();
    m_viewStale = true;
}

void Scheduler::Private::reserve(Job &job, bool take)
{
    const int sign = take ? 1 : -1;
    if (take)
        job.shares = detail::sharesOf(job.layout);
    for (const detail::TaskHold &task : job.layout) {
        WorkerState &state = worker(task.worker);
        state.reserved =
            take ? state.reserved | task.accelerators : state.reserved & ~task.accelerators;
        state.reservedCores += sign * job.perTask.cores;
        state.reservedMemory += sign * job.perTask.memoryMb;
        const auto it = std::find(state.reservations.begin(), state.reservations.end(), &job);
        if (take && it == state.reservations.end())
            state.reservations.push_back(&job);
        else if (!take && it != state.reservations.end())
            state.reservations.erase(it);
    }
    m_held[{job.spec.account, job.spec.team}] += sign * job.accelerators();
    job.reserved = take;
    if (take)
        m_reserved.push_back(&job);
    else
        std::erase(m_reserved, &job);
    if (!take && m_oldest == &job)
        m_oldest = nullptr;
    m_viewStale = true;
}

void Scheduler::Private::dropReservation(Job &job)
{
    if (!job.reserved)
        return;
    reserve(job, false);
    cluster.release(job.layout);
    job.layout.clear();
    job.hold = Hold::None;
    m_passNeeded = true;
    m_cellsFreed = true;
}

void Scheduler::Private::start(Job &job)
{
    dequeue(job);
    ++job.attempt;
    job.startedAt = m_now;
    job.deadline = m_now + StartBound;
    job.finished.assign(static_cast<std::size_t>(job.spec.tasks), false);
    job.throttledAt = absl::InfiniteFuture();
    hold(job, true);
    setState(job, JobState::Starting);
    StartGang action{job.spec.id, job.attempt, {}, job.perTask, job.hasCheckpoint};
    for (const detail::TaskHold &task : job.layout) {
        TaskPlacement place{worker(task.worker).id, {}};
        for (detail::Slots left = task.accelerators; left != 0; left &= left - 1)
            place.accelerators.push_back(std::countr_zero(left));
        action.placement.tasks.push_back(std::move(place));
    }
    emit(std::move(action));
}

void Scheduler::Private::beginStop(Job &job, After after, absl::Duration grace)
{
    if (job.state == JobState::Stopping) {
        if (after == After::Cancel || after == After::Fail)
            job.after = after;
        if (job.checkpointing && after == After::Cancel)
            stopNow(job);
        job.deadline = std::min(job.deadline, m_now + grace);
        return;
    }
    const bool checkpoint =
        job.state == JobState::Running && job.spec.checkpointable && grace > absl::ZeroDuration();
    accrue(job);
    cluster.release(job.layout);
    job.hold = Hold::Borrowed;
    job.after = after;
    m_cellsFreed = true;
    setState(job, JobState::Stopping);
    if (!checkpoint) {
        stopNow(job);
        return;
    }
    job.checkpointing = true;
    job.deadline = m_now + grace;
    emit(CheckpointGang{job.spec.id, job.attempt});
}

void Scheduler::Private::stopNow(Job &job)
{
    job.checkpointing = false;
    job.deadline = m_now + StopRepeat;
    emit(StopGang{job.spec.id, job.attempt});
}

void Scheduler::Private::stepDeadline(Job &job)
{
    if (job.state == JobState::Stopping) {
        stopNow(job);
        return;
    }
    if (job.state != JobState::Starting)
        return;
    // The gang may have run for a moment, so work that must not repeat is not started again.
    if (!job.spec.repeatable) {
        job.code = core::ResultCode::OutcomeUnknown;
        job.message = "the start was not confirmed";
    }
    beginStop(job, job.spec.repeatable ? After::Requeue : After::Fail, absl::ZeroDuration());
}

// Books the time since the start, or since the latest booking.
void Scheduler::Private::accrue(Job &job)
{
    job.attained += (m_now - job.startedAt) * std::max(1, job.accelerators());
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

// Ends a stop: nothing of the gang runs any more.
void Scheduler::Private::stopped(Job &job)
{
    accrue(job);
    cluster.release(job.layout);
    hold(job, false);
    job.layout.clear();
    job.hold = Hold::None;
    job.checkpointing = false;
    m_passNeeded = true;
    m_cellsFreed = true;
    switch (job.after) {
    case After::Requeue:
        requeue(job);
        break;
    case After::RequeueLarger:
        ++job.enlargements;
        job.perTask.memoryMb = std::max(2 * job.perTask.memoryMb, job.largestMemoryMb * 5 / 4);
        job.largestMemoryMb = 0;
        if (!canEverFit(job)) {
            finish(job, JobState::Failed, core::ResultCode::JobOutgrewLimit,
                   "no worker has the memory that the job uses");
            return;
        }
        emit(RequeueLarger{job.spec.id, job.perTask});
        requeue(job);
        break;
    case After::Fail:
        finish(job, JobState::Failed, job.code, job.message);
        break;
    case After::Cancel:
        finish(job, JobState::Cancelled, core::ResultCode::JobCancelled);
        break;
    }
}

void Scheduler::Private::loseGang(Job &job)
{
    if (!job.spec.repeatable) {
        job.code = core::ResultCode::JobLostMember;
        job.message = "a member was lost and the job is not repeatable";
    }
    const After after = job.spec.repeatable ? After::Requeue : After::Fail;
    // The surviving members cannot complete a checkpoint.
    if (job.state == JobState::Stopping && job.checkpointing)
        stopNow(job);
    else if (job.state != JobState::Stopping)
        beginStop(job, after, absl::ZeroDuration());
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
    std::erase(m_new, &job);
    jobs.erase(core::JobId(job.spec.id));
}

void Scheduler::Private::handle(const JobCancelled &event)
{
    const auto it = jobs.find(event.job);
    if (it == jobs.end())
        return;
    Job &job = *it->second;
    if (job.started()) {
        beginStop(job, After::Cancel, absl::ZeroDuration());
        return;
    }
    dropReservation(job);
    finish(job, JobState::Cancelled,
           job.attempt == 0 ? core::ResultCode::Cancelled : core::ResultCode::JobCancelled);
}

void Scheduler::Private::handle(const GangStarted &event)
{
    Job *job = running(event.job, event.attempt);
    if (job == nullptr || job->state != JobState::Starting)
        return;
    job->deadline = absl::InfiniteFuture();
    job->startedAt = m_now;
    job->refusals = 0;
    job->refusedBy.clear();
    setState(*job, JobState::Running);
}

void Scheduler::Private::handle(const GangRefused &event)
{
    Job *job = running(event.job, event.attempt);
    if (job == nullptr || job->state == JobState::Running)
        return;
    if (job->state == JobState::Starting) {
        const int refusing = cluster.workerIndex(event.worker);
        const int doublings = std::min(job->refusals++, MaxBackOffDoublings);
        // A worker that has just been vacated may refuse until its agent has seen the tasks end.
        const bool vacating =
            event.code == core::ResultCode::NoResources && job->refusals <= VacatingRefusals;
        if (refusing >= 0 && !vacating)
            job->refusedBy.push_back(refusing);
        job->retryAt = m_now + FirstBackOff * (1 << doublings);
        job->after = After::Requeue;
    }
    stopped(*job);
}

void Scheduler::Private::handle(const GangStopped &event)
{
    Job *job = running(event.job, event.attempt);
    if (job == nullptr)
        return;
    if (job->state != JobState::Stopping) {
        // The agents stopped the gang by themselves after one member was lost.
        job->after = job->spec.repeatable ? After::Requeue : After::Fail;
        job->code = core::ResultCode::JobLostMember;
        job->message = "a member was lost and the job is not repeatable";
    }
    stopped(*job);
}

void Scheduler::Private::handle(const TaskFinished &event)
{
    Job *job = running(event.job, event.attempt);
    if (job == nullptr || event.task < 0 || event.task >= job->spec.tasks)
        return;
    const auto task = static_cast<std::size_t>(event.task);
    if (job->finished[task])
        return;
    job->finished[task] = true;
    if (task < job->layout.size())
        praise(job->layout[task].worker);
    if (std::find(job->finished.begin(), job->finished.end(), false) != job->finished.end())
        return;
    cluster.release(job->layout);
    hold(*job, false);
    m_passNeeded = true;
    m_cellsFreed = true;
    finish(*job, JobState::Succeeded, core::ResultCode::Ok);
}

void Scheduler::Private::handle(const TaskFailed &event)
{
    Job *job = running(event.job, event.attempt);
    if (job == nullptr || job->state == JobState::Stopping || event.task < 0
        || event.task >= job->spec.tasks)
        return;
    const int worker = job->layout[static_cast<std::size_t>(event.task)].worker;
    // A worker in probation is the likelier cause.
    if (this->worker(worker).standing != Standing::Probation)
        ++job->failures;
    if (std::find(job->failedOn.begin(), job->failedOn.end(), worker) == job->failedOn.end())
        job->failedOn.push_back(worker);
    const bool again = job->spec.repeatable && job->failures < policy.maxFailures;
    job->code =
        job->spec.repeatable ? core::ResultCode::JobFailedEverywhere : core::ResultCode::JobFailed;
    job->message = event.message;
    beginStop(*job, again ? After::Requeue : After::Fail, absl::ZeroDuration());
    blame(*job, worker);
}

void Scheduler::Private::handle(const TaskLost &event)
{
    Job *job = running(event.job, event.attempt);
    if (job != nullptr)
        loseGang(*job);
}

void Scheduler::Private::handle(const CheckpointDone &event)
{
    Job *job = running(event.job, event.attempt);
    if (job == nullptr)
        return;
    job->hasCheckpoint |= event.succeeded;
    if (job->checkpointing)
        stopNow(*job);
}

// A task that exceeds its memory is throttled first, which often ends the growth, and is stopped
// when it still does after a time.
void Scheduler::Private::handle(const UsageReported &event)
{
    Job *job = running(event.job, event.attempt);
    if (job == nullptr || job->state != JobState::Running
        || event.used.memoryMb <= job->perTask.memoryMb)
        return;
    job->largestMemoryMb = std::max(job->largestMemoryMb, event.used.memoryMb);
    if (job->throttledAt == absl::InfiniteFuture()) {
        job->throttledAt = m_now;
        emit(ThrottleTask{job->spec.id, job->attempt, event.task, ThrottleShare});
        return;
    }
    if (m_now - job->throttledAt < policy.throttleTime)
        return;
    const bool again = job->spec.repeatable && job->enlargements < policy.maxEnlargements;
    job->code = core::ResultCode::JobOutgrewLimit;
    job->message = "the job uses more memory than declared";
    beginStop(*job, again ? After::RequeueLarger : After::Fail, policy.grace);
}

} // namespace oleandercross::scheduling
