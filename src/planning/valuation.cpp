#include <oleandercross/planning/planner.h>

#include "schedulingunit.h"

#include <algorithm>
#include <cmath>

namespace oleandercross::planning {

namespace {

// The value of a job is zero beyond this multiple of its latency objective.
constexpr int ObjectivesUntilZeroValue = 3;
// The value of a late job, relative to one that completes in time.
constexpr double LateValueFraction = 0.25;
// The relative value of completing a job past its zero-value time, so that it is not starved.
constexpr double ExpiredValueFraction = 0.01;
// The fraction of a job's value that does not depend on its size.
constexpr double FixedValueFraction = 0.3;
// The value of a job is capped at this multiple of the mean work of its queue.
constexpr double MaxJobWorkRatio = 4;
// Lower bound of the remaining work, so that a nearly complete job has a finite value density.
constexpr double MinWorkCoreSeconds = 1e-3;
// Slack of this multiple of a job's remaining critical path reduces its urgency to 1/e.
constexpr double SlackScale = 2;
// A step that needs more than one in this many of the service's task slots runs in waves.
constexpr int WaveCapacityDivisor = 4;

// Returns the fraction of the value lost at `limit` that is saved by starting now.
double urgency(core::Instant now, absl::Duration remainingCriticalPath, core::Instant limit)
{
    const absl::Duration slack = limit - now - remainingCriticalPath;
    if (slack < absl::ZeroDuration())
        return 0;
    return std::exp(-absl::FDivDuration(slack, remainingCriticalPath * SlackScale));
}

} // namespace

absl::Duration Planner::taskTime(const JobRecord &record, const StepProgress &progress,
                                 const workload::Step &spec) const
{
    if (progress.observedPercent > 0)
        return progress.observedTaskTime;
    return std::max(absl::Milliseconds(1),
                    m_estimates.expectedTime(record.job().queue, spec.estimateMs));
}

int Planner::waves(const JobRecord &record, const workload::Step &spec) const
{
    int totalSlots = 0;
    for (const auto &[key, worker] : m_workers) {
        if (worker.service == record.job().terms.service)
            totalSlots += fittingTaskCount(spec.perTask, worker.capacity);
    }
    const int wave = std::max(1, totalSlots / WaveCapacityDivisor);
    return (spec.tasks + wave - 1) / wave;
}

void Planner::estimateValue(SchedulingUnit &unit, const Occurrence &occurrence,
                            core::Instant now) const
{
    const JobRecord &record = *unit.record;
    const workload::Job &job = record.job();
    unit.taskTime = taskTime(record, *unit.progress, *unit.spec);
    std::vector<absl::Duration> ends;
    std::vector<absl::Duration> endsLeft;
    absl::Duration criticalPath;
    double workLeft = 0;
    double work = 0;
    for (std::size_t s = 0; s < job.steps.size(); ++s) {
        const workload::Step &spec = job.steps[s];
        const StepProgress &progress = occurrence.steps[s];
        const absl::Duration time = taskTime(record, progress, spec);
        const auto left = std::count_if(progress.tasks.begin(), progress.tasks.end(),
                                        [](const Task &t) { return t.phase != TaskPhase::Done; });
        absl::Duration begin;
        absl::Duration beginLeft;
        for (const int earlier : spec.after) {
            begin = std::max(begin, ends[static_cast<std::size_t>(earlier)]);
            beginLeft = std::max(beginLeft, endsLeft[static_cast<std::size_t>(earlier)]);
        }
        ends.push_back(begin + time * waves(record, spec));
        endsLeft.push_back(left > 0 ? beginLeft + time : beginLeft);
        criticalPath = std::max(criticalPath, ends.back());
        unit.remainingCriticalPath = std::max(unit.remainingCriticalPath, endsLeft.back());
        const double perTask = weight(spec.perTask) * absl::ToDoubleSeconds(time);
        work += perTask * spec.tasks;
        workLeft += perTask * static_cast<double>(left);
    }
    const core::Instant base = job.scheduled ? unit.progress->readySince : record.acceptedAt();
    const absl::Duration objective =
        criticalPath * job.terms.stretch + absl::Milliseconds(job.terms.targetMs);
    unit.deadline = base + objective;
    unit.zeroValueAt = base + objective * ObjectivesUntilZeroValue;
    const double savedValueFraction =
        (1 - LateValueFraction) * urgency(now, unit.remainingCriticalPath, unit.deadline)
        + LateValueFraction * urgency(now, unit.remainingCriticalPath, unit.zeroValueAt)
        + ExpiredValueFraction;
    const double mean = m_estimates.meanJobWork(job.queue);
    const double jobValue = std::min(MaxJobWorkRatio * mean,
                                     FixedValueFraction * mean + (1 - FixedValueFraction) * work);
    unit.valueDensity = savedValueFraction * jobValue / std::max(workLeft, MinWorkCoreSeconds);
}

} // namespace oleandercross::planning
