#include <oleandercross/planning/planner.h>

#include "planninground.h"

#include <algorithm>
#include <cmath>

namespace oleandercross::planning {

namespace {

// The value of a job is measured in accelerator-weighted core seconds, like its work. It falls to
// LateValueFraction after the deadline and to zero after the zero-value time.

// The zero-value time as a multiple of the latency objective.
constexpr int ZeroValueObjectiveMultiple = 3;
// The value of a late job, relative to one that completes in time.
constexpr double LateValueFraction = 0.25;
// Added to the relative value of every job, so that a job past its zero-value time is not starved.
constexpr double ExpiredValueFraction = 0.01;
// The weight of the queue's mean work in the value of a job; the job's own work has the rest.
constexpr double FixedValueFraction = 0.3;
// The value of a job is capped at this multiple of the mean work of its queue.
constexpr double MaxValueToMeanWorkRatio = 4;
// Lower bound of the remaining work, so that a nearly complete job has a finite value density.
constexpr double MinWorkCoreSeconds = 1e-3;
// Slack of this multiple of a job's remaining critical path reduces its urgency to 1/e.
constexpr double SlackScale = 2;
// A paced step runs with this multiple of the parallel tasks that its deadline requires, since runs
// get lost and estimates err.
constexpr double PaceMargin = 1.5;

// Returns 0 if the job cannot complete by `limit`, otherwise a factor that rises to 1 as the slack
// falls to 0.
double urgency(core::Instant now, absl::Duration remainingCriticalPath, core::Instant limit)
{
    const absl::Duration slack = limit - now - remainingCriticalPath;
    if (slack < absl::ZeroDuration())
        return 0;
    return std::exp(-absl::FDivDuration(slack, remainingCriticalPath * SlackScale));
}

} // namespace

absl::Duration expectedTaskTime(const StepProgress &progress, const workload::Step &spec,
                                const std::string &queue, const WorkEstimates &estimates)
{
    if (progress.observedPercent > 0)
        return progress.observedTaskTime;
    return std::max(absl::Milliseconds(1), estimates.expectedTime(queue, spec.estimateMs));
}

absl::Duration Planner::taskTime(const JobRecord &record, const StepProgress &progress,
                                 const workload::Step &spec) const
{
    return expectedTaskTime(progress, spec, record.job().queue, m_estimates);
}

int Planner::tasksPerWave(const JobRecord &record, const workload::Step &spec, const Round &round)
{
    std::int64_t totalSlots = 0;
    for (const WorkerClass &workers : round.workerClasses) {
        if (workers.service == record.job().terms.service)
            totalSlots +=
                std::int64_t{workers.count} * fittingTaskCount(spec.perTask, workers.capacity);
    }
    return static_cast<int>(
        std::clamp<std::int64_t>(totalSlots / WaveCapacityDivisor, 1, spec.tasks));
}

int Planner::waves(const JobRecord &record, const workload::Step &spec, const Round &round)
{
    const int perWave = tasksPerWave(record, spec, round);
    return (spec.tasks + perWave - 1) / perWave;
}

int Planner::maxParallelTasks(const SchedulingUnit &unit, const Round &round) const
{
    const bool delaysUrgentJobs = unit.record->job().terms.priority == 0 && !unit.guaranteed
        && unit.taskTime > m_urgentDemand.typicalObjective();
    if (!delaysUrgentJobs || unit.spec->gang)
        return unit.spec->tasks;
    const auto remainingTasks =
        std::count_if(unit.progress->tasks.begin(), unit.progress->tasks.end(),
                      [](const Task &t) { return !t.hasCompleted(); });
    const bool canMeetDeadline = round.now + unit.taskTime < unit.deadline;
    const core::Instant end = canMeetDeadline ? unit.deadline : unit.zeroValueAt;
    const absl::Duration timeLeft = std::max(end - round.now, unit.taskTime);
    const double required =
        static_cast<double>(remainingTasks) * absl::FDivDuration(unit.taskTime, timeLeft);
    return std::max(tasksPerWave(*unit.record, *unit.spec, round),
                    static_cast<int>(std::ceil(PaceMargin * required)));
}

void Planner::estimateTimesAndValue(SchedulingUnit &unit, const Occurrence &occurrence,
                                    const Round &round) const
{
    const core::Instant now = round.now;
    const JobRecord &record = *unit.record;
    const workload::Job &job = record.job();
    unit.taskTime = taskTime(record, *unit.progress, *unit.spec);
    std::vector<absl::Duration> ends;
    std::vector<absl::Duration> remainingEnds;
    absl::Duration criticalPath;
    double remainingWork = 0;
    double work = 0;
    for (std::size_t s = 0; s < job.steps.size(); ++s) {
        const workload::Step &spec = job.steps[s];
        const StepProgress &progress = occurrence.steps[s];
        const absl::Duration time = taskTime(record, progress, spec);
        const auto remainingTasks = std::count_if(progress.tasks.begin(), progress.tasks.end(),
                                                  [](const Task &t) { return !t.hasCompleted(); });
        absl::Duration begin;
        absl::Duration remainingBegin;
        for (const int earlier : spec.after) {
            begin = std::max(begin, ends[static_cast<std::size_t>(earlier)]);
            remainingBegin =
                std::max(remainingBegin, remainingEnds[static_cast<std::size_t>(earlier)]);
        }
        ends.push_back(begin + time * waves(record, spec, round));
        remainingEnds.push_back(remainingTasks > 0 ? remainingBegin + time : remainingBegin);
        criticalPath = std::max(criticalPath, ends.back());
        unit.remainingCriticalPath = std::max(unit.remainingCriticalPath, remainingEnds.back());
        const double workPerTask = weightedCores(spec.perTask) * absl::ToDoubleSeconds(time);
        work += workPerTask * spec.tasks;
        remainingWork += workPerTask * static_cast<double>(remainingTasks);
    }
    const core::Instant objectiveStart =
        job.scheduled ? unit.progress->readySince : record.acceptedAt();
    const absl::Duration objective =
        criticalPath * job.terms.stretch + absl::Milliseconds(job.terms.targetMs);
    unit.deadline = objectiveStart + objective;
    unit.zeroValueAt = objectiveStart + objective * ZeroValueObjectiveMultiple;
    const double savedValueFraction =
        (1 - LateValueFraction) * urgency(now, unit.remainingCriticalPath, unit.deadline)
        + LateValueFraction * urgency(now, unit.remainingCriticalPath, unit.zeroValueAt)
        + ExpiredValueFraction;
    const double mean = m_estimates.meanJobWork(job.queue);
    const double jobValue = std::min(MaxValueToMeanWorkRatio * mean,
                                     FixedValueFraction * mean + (1 - FixedValueFraction) * work);
    unit.valueDensity = savedValueFraction * jobValue / std::max(remainingWork, MinWorkCoreSeconds);
}

void Planner::applyAccountShares(const Round &round, std::vector<SchedulingUnit> &units)
{
    ShareDemands demands;
    const auto keyOf = [](const JobRecord &record) {
        return ShareKey{record.job().terms.priority, record.job().account};
    };
    // Runs and steps of a job are next to each other.
    const JobRecord *previous = nullptr;
    ShareDemand *demand = nullptr;
    const auto demandOf = [&](const JobRecord *record) -> ShareDemand & {
        if (record != previous)
            demand = &demands[keyOf(*record)];
        previous = record;
        return *demand;
    };
    for (const ActiveRun &run : round.activeRuns)
        demandOf(run.record).occupiedCores += weightedCores(run.spec->perTask);
    for (const SchedulingUnit &unit : units) {
        ShareDemand &waiting = demandOf(unit.record);
        waiting.waitingWork += weightedCores(unit.spec->perTask)
            * absl::ToDoubleSeconds(unit.taskTime) * static_cast<double>(unit.taskIndices.size());
        waiting.longestWait = std::max(waiting.longestWait, round.now - unit.progress->readySince);
    }
    m_accountShares.update(demands, round.now);
    if (!m_accountShares.contended())
        return;
    previous = nullptr;
    double factor = 1;
    for (SchedulingUnit &unit : units) {
        if (unit.record != previous)
            factor = m_accountShares.factor(keyOf(*unit.record));
        previous = unit.record;
        unit.valueDensity *= factor;
    }
}

} // namespace oleandercross::planning
