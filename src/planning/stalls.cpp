#include <oleandercross/planning/planner.h>

#include "planninground.h"

#include <algorithm>

namespace oleandercross::planning {

namespace {

// A listed run without progress for this time is stalled. Listings are up to 1.5 s old.
constexpr absl::Duration MinStallTime = absl::Milliseconds(2500);
// The expected time of this many percent must have passed too, since progress is listed in whole
// percent and long tasks show none for a while.
constexpr double MinStallPercentSteps = 4;
// A stalled run without checkpoints is only stopped up to this progress.
constexpr int MaxDiscardedPercent = 10;

} // namespace

bool Planner::isStalled(const ActiveRun &run) const
{
    const Task &task = *run.task;
    const absl::Duration withoutProgress = task.lastListedAt - task.percentChangedAt;
    if (!task.running || task.stopRequested || withoutProgress <= MinStallTime)
        return false;
    const absl::Duration onePercent = task.bestProgressRate > 0
        ? absl::Seconds(1 / task.bestProgressRate)
        : taskTime(*run.record, *run.progress, *run.spec) / m_speeds.speed(task.worker) / 100;
    return withoutProgress > MinStallPercentSteps * onePercent;
}

bool Planner::hasFreeCapacityElsewhere(const ActiveRun &run, const Round &round) const
{
    for (std::size_t i = 0; i < round.workers.size(); ++i) {
        const auto index = static_cast<int>(i);
        if (index != run.worker && hasFreeCapacity(index, *run.record, *run.spec, round)
            && m_health.suspicionLevel(round.worker(index).key, round.now) == 0)
            return true;
    }
    return false;
}

bool Planner::hasFreeCapacity(int worker, const JobRecord &record, const workload::Step &spec,
                              const Round &round)
{
    const Worker &candidate = round.worker(worker);
    return round.isOpen(worker)
        && fits(spec.perTask, round.freeCapacity[static_cast<std::size_t>(worker)])
        && candidate.service == record.job().terms.service && hasLabel(candidate, spec.neededLabel);
}

void Planner::handleStalledRuns(const Round &round)
{
    for (const ActiveRun &run : round.activeRuns) {
        if (!isStalled(run))
            continue;
        Task &task = *run.task;
        m_health.recordStall(task.worker, round.now);
        if ((task.percent <= MaxDiscardedPercent || run.spec->checkpointable)
            && hasFreeCapacityElsewhere(run, round))
            requestStop(task, "run is stalled");
    }
}

} // namespace oleandercross::planning
