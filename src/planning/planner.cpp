#include <oleandercross/planning/planner.h>

#include "schedulingunit.h"

#include <algorithm>

namespace oleandercross::planning {

namespace {

// Progress below this percentage is not used to extrapolate the run time of a task.
constexpr int MinInformativePercent = 5;
// The shortest interval over which a progress rate is measured, since progress is reported in whole
// percent.
constexpr absl::Duration MinRateInterval = absl::Milliseconds(700);
// The pace of a run counts fully from this part of its task on, and not at all before
// MinPaceTime, since progress is listed in whole percent.
constexpr double FullPaceFraction = 0.15;
constexpr absl::Duration MinPaceTime = absl::Milliseconds(250);

} // namespace

Planner::Planner(PlannerOptions options)
    : m_options(options)
{ }

void Planner::setGuarantees(std::map<std::string, std::int64_t> accelerators)
{
    m_guarantees = std::move(accelerators);
}

void Planner::addJob(workload::Job job, core::Instant now, absl::Duration age)
{
    const std::string id = job.id;
    if (!isIncludedInRestoredState(false, age))
        recordEstimates(job, now);
    const auto added = m_jobs.try_emplace(id, std::move(job), now - age).first;
    m_openJobs.emplace(id, &added->second);
}

bool Planner::restoreJob(workload::Job job, const ProgressRows &progress, core::Instant now,
                         absl::Duration age)
{
    JobRecord record(std::move(job), now - age);
    if (!record.restore(progress, now))
        return false;
    const std::string id = record.job().id;
    if (!isIncludedInRestoredState(true, age))
        recordEstimates(record.job(), now);
    const auto restored = m_jobs.insert_or_assign(id, std::move(record)).first;
    m_openJobs.insert_or_assign(id, &restored->second);
    indexActiveTasks(restored->second);
    if (restored->second.differsFromStore())
        m_changed.insert(id);
    return true;
}

void Planner::indexActiveTasks(const JobRecord &record)
{
    for (const auto &[number, occurrence] : record.occurrences()) {
        for (std::size_t s = 0; s < occurrence.steps.size(); ++s) {
            const std::vector<Task> &tasks = occurrence.steps[s].tasks;
            for (std::size_t i = 0; i < tasks.size(); ++i) {
                if (tasks[i].phase == TaskPhase::Active)
                    m_tasksByWorker[tasks[i].worker].insert(
                        {record.job().id, number, static_cast<int>(s), static_cast<int>(i)});
            }
        }
    }
}

void Planner::recordEstimates(const workload::Job &job, core::Instant now)
{
    double work = 0;
    for (const workload::Step &step : job.steps) {
        m_estimates.recordEstimate(job.queue, step.estimateMs);
        work += weightedCores(step.perTask) * step.tasks
            * absl::ToDoubleSeconds(m_estimates.expectedTime(job.queue, step.estimateMs));
    }
    m_estimates.recordJobWork(job.queue, work);
    std::int64_t peakAccelerators = 0;
    for (const workload::Step &step : job.steps)
        peakAccelerators = std::max(peakAccelerators, step.tasks * step.perTask.accelerators);
    if (job.terms.priority == 0)
        m_urgentDemand.recordJob(peakAccelerators, workload::latencyObjective(job), now);
}

void Planner::cancelJob(const std::string &id, core::Instant now)
{
    JobRecord *record = find(id);
    if (record && record->cancel(now))
        m_changed.insert(id);
}

void Planner::failJob(const std::string &id, core::Instant now)
{
    JobRecord *record = find(id);
    if (record && record->fail(now))
        m_changed.insert(id);
}

void Planner::removeJob(const std::string &id)
{
    m_openJobs.erase(id);
    m_jobs.erase(id);
    m_changed.erase(id);
}

void Planner::updateWorker(const Worker &worker)
{
    m_workers.insert_or_assign(worker.key, worker);
}

std::vector<workload::RunKey> Planner::removeWorker(const std::string &key, WorkerEnd end,
                                                    core::Instant now,
                                                    const std::set<workload::RunKey> &kept)
{
    m_workers.erase(key);
    m_health.removeWorker(key);
    m_speeds.removeWorker(key);
    m_heldByEndingMembers.erase(key);
    std::vector<workload::RunKey> lost;
    forEachActiveTask(key, [&](const workload::TaskKey &task, Task &run) {
        if (kept.contains({task, run.run}))
            return;
        lost.push_back({task, run.run});
        JobRecord &record = m_jobs.at(task.job);
        // A run that the worker has not received is no cause of its crash.
        if (end == WorkerEnd::Crashed && (run.running || !run.startNotSent))
            record.workerCrashed(lost.back(), key, now);
        else
            record.requeue(lost.back(), key, now);
        m_changed.insert(task.job);
    });
    return lost;
}

bool Planner::moveRun(const std::string &from, const std::string &to, const workload::RunKey &run)
{
    JobRecord *record = find(run.task.job);
    if (!record || !record->move(run, from, to))
        return false;
    m_tasksByWorker[to].insert(run.task);
    m_changed.insert(run.task.job);
    return true;
}

void Planner::forEachActiveTask(const std::string &worker,
                                const std::function<void(const workload::TaskKey &, Task &)> &visit)
{
    const auto found = m_tasksByWorker.find(worker);
    if (found == m_tasksByWorker.end())
        return;
    std::set<workload::TaskKey> &keys = found->second;
    for (auto it = keys.begin(); it != keys.end();) {
        JobRecord *record = find(it->job);
        Task *task = record ? record->task(*it) : nullptr;
        if (!task || task->phase != TaskPhase::Active || task->worker != worker) {
            it = keys.erase(it);
            continue;
        }
        visit(*it, *task);
        ++it;
    }
    if (keys.empty())
        m_tasksByWorker.erase(found);
}

std::set<std::string> Planner::workerKeys(const std::string &prefix)
{
    std::set<std::string> keys;
    for (auto it = m_workers.lower_bound(prefix);
         it != m_workers.end() && it->first.starts_with(prefix); ++it)
        keys.insert(it->first);
    for (auto it = m_tasksByWorker.lower_bound(prefix);
         it != m_tasksByWorker.end() && it->first.starts_with(prefix);) {
        // Visiting the tasks may remove the entry.
        const std::string key = it->first;
        ++it;
        forEachActiveTask(key,
                          [&keys, &key](const workload::TaskKey &, Task &) { keys.insert(key); });
    }
    return keys;
}

void Planner::beginListing(const std::string &worker)
{
    m_heldByEndingMembers.erase(worker);
    forEachActiveTask(worker, [](const workload::TaskKey &, Task &task) { task.running = false; });
}

void Planner::runSeen(const std::string &worker, const workload::RunKey &run,
                      const std::string &checkpoint, int percent, core::Instant now)
{
    if (!hasActiveRun(worker, run))
        return;
    Task *task = find(run.task.job)->task(run.task);
    task->running = true;
    task->runningSince = std::min(task->runningSince, now);
    if (find(run.task.job)->saveCheckpoint(run.task, checkpoint))
        task->savedCheckpoint = true;
    task->lastListedAt = std::max(task->lastListedAt, now);
    if (percent == task->percent || now <= task->percentChangedAt)
        return;
    if (task->rateBasePercent < 0) {
        task->rateBasePercent = percent;
        task->rateBaseAt = now;
    } else if (now - task->rateBaseAt >= MinRateInterval) {
        task->progressRate =
            (percent - task->rateBasePercent) / absl::ToDoubleSeconds(now - task->rateBaseAt);
        task->bestProgressRate = std::max(task->bestProgressRate, task->progressRate);
        task->rateBasePercent = percent;
        task->rateBaseAt = now;
    }
    m_health.recordProgress(worker);
    task->percent = percent;
    task->percentChangedAt = now;
    if (task->startedWithoutCheckpoint)
        recordPace(*find(run.task.job), run.task, percent / 100.0, now - task->startedAt, now);
    StepProgress *step = find(run.task.job)->step(run.task);
    if (task->startedWithoutCheckpoint
        && percent >= std::max(MinInformativePercent, step->observedPercent)) {
        step->observedPercent = percent;
        step->observedTaskTime =
            (now - task->startedAt) * (100.0 / percent) * m_speeds.speed(task->worker);
    }
}

void Planner::recordCompletion(const JobRecord &record, const workload::TaskKey &key,
                               core::Instant now)
{
    StepProgress *step = find(key.job)->step(key);
    const Task *task = record.task(key);
    if (!step || !task->startedWithoutCheckpoint)
        return;
    const workload::Step &spec = record.job().steps[static_cast<std::size_t>(key.step)];
    const absl::Duration duration = now - task->startedAt;
    recordPace(record, key, 1, duration, now);
    const absl::Duration normalizedTime = duration * m_speeds.speed(task->worker);
    ++step->timedTaskCount;
    step->meanTaskTime += (normalizedTime - step->meanTaskTime) / step->timedTaskCount;
    step->observedPercent = 100;
    step->observedTaskTime = step->meanTaskTime;
    // Records one sample per step, since the tasks of a step take about the same time.
    if (step->timedTaskCount == 1)
        m_estimates.recordCompletion(record.job().queue, spec.estimateMs, normalizedTime);
}

void Planner::recordPace(const JobRecord &record, const workload::TaskKey &key, double fraction,
                         absl::Duration elapsed, core::Instant now)
{
    if (elapsed < MinPaceTime || fraction <= 0)
        return;
    const workload::Step &spec = record.job().steps[static_cast<std::size_t>(key.step)];
    const StepProgress &progress =
        record.occurrences().at(key.occurrence).steps[static_cast<std::size_t>(key.step)];
    const auto task = static_cast<std::size_t>(key.index);
    RunPace pace{{}, elapsed / fraction, std::min(1.0, fraction / FullPaceFraction), now};
    std::set<std::string> racks;
    for (std::size_t i = 0; i < progress.tasks.size(); ++i) {
        const Task &member = progress.tasks[i];
        const bool sameRun = spec.gang && member.phase == TaskPhase::Active
            && member.run == progress.tasks[task].run;
        if (i != task && !sameRun)
            continue;
        const auto worker = m_workers.find(member.worker);
        if (worker == m_workers.end())
            return;
        racks.insert(worker->second.rack);
        if (std::find(pace.workers.begin(), pace.workers.end(), member.worker)
            == pace.workers.end())
            pace.workers.push_back(member.worker);
    }
    // Work that is slowed down by its racks says nothing about its workers.
    if ((spec.sameRack && racks.size() > 1)
        || (!spec.inputRack.empty() && (racks.size() > 1 || !racks.contains(spec.inputRack))))
        return;
    const StepKey step{key.job, key.occurrence, key.step};
    const std::string &queue = record.job().queue;
    m_speeds.expect(step, m_estimates.expectedTime(queue, spec.estimateMs),
                    m_estimates.confidence(queue));
    m_speeds.observe(step, spec.gang ? progress.tasks[task].run : key.index, std::move(pace));
}

void Planner::holdCapacityOfGangMembers(const JobRecord &record, const workload::RunKey &run,
                                        const std::string &worker)
{
    const workload::Step &spec = record.job().steps[static_cast<std::size_t>(run.task.step)];
    if (!spec.gang)
        return;
    for (const Task &member : find(run.task.job)->step(run.task)->tasks) {
        if (member.phase == TaskPhase::Active && member.run == run.run && member.worker != worker)
            m_heldByEndingMembers[member.worker] =
                m_heldByEndingMembers[member.worker] + spec.perTask;
    }
}

bool Planner::runEnded(const std::string &worker, const workload::RunKey &run, RunEnd outcome,
                       const std::string &checkpoint, core::Instant now)
{
    JobRecord *record = find(run.task.job);
    if (!record)
        return false;
    const Task *task = record->task(run.task);
    const std::set<std::string> failedBefore =
        task ? task->workersWithFailedRuns : std::set<std::string>();
    if (outcome == RunEnd::Completed && hasActiveRun(worker, run))
        recordCompletion(*record, run.task, now);
    if (outcome == RunEnd::Completed && record->awaitsEnd(run, worker))
        holdCapacityOfGangMembers(*record, run, worker);
    if (!record->end(run, worker, outcome, checkpoint, now))
        return false;
    m_changed.insert(run.task.job);
    if (outcome == RunEnd::Completed)
        m_health.recordSuccess(worker, now);
    if (outcome != RunEnd::Failed)
        return true;
    // A task that fails on several workers is itself the cause, unless other jobs fail there too.
    if (failedBefore.empty() || m_health.hasFailedOtherJobs(worker, run.task.job, now)) {
        m_health.recordFailure(worker, run.task.job, now);
        return true;
    }
    for (const std::string &other : failedBefore) {
        if (other != worker)
            m_health.retractFailure(other, now);
    }
    return true;
}

void Planner::runAbsent(const std::string &worker, const workload::RunKey &run, core::Instant now)
{
    JobRecord *record = find(run.task.job);
    if (record && record->requeue(run, worker, now))
        m_changed.insert(run.task.job);
}

void Planner::startConfirmed(const std::string &worker, const workload::RunKey &run,
                             core::Instant now)
{
    if (!hasActiveRun(worker, run))
        return;
    Task *task = find(run.task.job)->task(run.task);
    task->running = true;
    task->runningSince = std::min(task->runningSince, now);
}

void Planner::startNotSent(const std::string &worker, const workload::RunKey &run)
{
    if (hasActiveRun(worker, run))
        find(run.task.job)->task(run.task)->startNotSent = true;
}

void Planner::startRefused(const std::string &worker, const workload::RunKey &run)
{
    if (!hasActiveRun(worker, run))
        return;
    // Only a confirmed stop proves that the run cannot start later.
    Task *task = find(run.task.job)->task(run.task);
    requestStop(*task, "refused");
    task->refusingWorkers.insert(worker);
}

void Planner::requestStop(Task &task, const std::string &reason)
{
    task.stopRequested = true;
    task.stopReason = reason;
    task.orderSentAt = absl::InfinitePast();
}

std::vector<ProgressGroup> Planner::takeProgressChanges(const std::string &id)
{
    return m_jobs.at(id).takeProgressChanges();
}

std::set<std::string> Planner::takeChanged()
{
    return std::exchange(m_changed, {});
}

const JobRecord *Planner::job(const std::string &id) const
{
    const auto found = m_jobs.find(id);
    return found == m_jobs.end() ? nullptr : &found->second;
}

JobRecord *Planner::find(const std::string &id)
{
    const auto found = m_jobs.find(id);
    return found == m_jobs.end() ? nullptr : &found->second;
}

bool Planner::hasActiveRun(const std::string &worker, const workload::RunKey &run) const
{
    const auto found = m_jobs.find(run.task.job);
    if (found == m_jobs.end())
        return false;
    const Task *task = found->second.task(run.task);
    return task && task->phase == TaskPhase::Active && task->run == run.run
        && task->worker == worker;
}

int Planner::activeRunCount(const std::string &worker)
{
    int count = 0;
    forEachActiveTask(worker, [&count](const workload::TaskKey &, Task &) { ++count; });
    return count;
}

bool Planner::completed(const workload::RunKey &run) const
{
    const JobRecord *record = job(run.task.job);
    if (!record)
        return false;
    const Task *task = record->task(run.task);
    // The record of a task is removed when its occurrence is complete.
    if (!task)
        return record->state() == JobState::Completed;
    return task->hasCompleted()
        && (task->completedRun > 0 ? task->completedRun : task->run) == run.run;
}

workload::Demand Planner::demandOf(const workload::TaskKey &task) const
{
    const auto found = m_jobs.find(task.job);
    if (found == m_jobs.end())
        return {};
    const std::vector<workload::Step> &steps = found->second.job().steps;
    const auto step = static_cast<std::size_t>(task.step);
    return step < steps.size() ? steps[step].perTask : workload::Demand{};
}

} // namespace oleandercross::planning
