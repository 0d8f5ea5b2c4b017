#include <oleandercross/planning/planner.h>

#include "schedulingunit.h"

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

bool Planner::isStalled(const JobRecord &record, const StepProgress &progress,
                        const workload::Step &spec, const Task &task) const
{
    if (!task.running || task.stopRequested)
        return false;
    const absl::Duration onePercent = task.bestProgressRate > 0
        ? absl::Seconds(1 / task.bestProgressRate)
        : taskTime(record, progress, spec) / m_speeds.speed(task.worker) / 100;
    return task.lastListedAt - task.percentChangedAt
        > std::max(MinStallTime, MinStallPercentSteps * onePercent);
}

bool Planner::hasFreeCapacityElsewhere(const JobRecord &record, const workload::Step &spec,
                                       const Task &task, const FreeCapacity &freeCapacity,
                                       core::Instant now) const
{
    return std::any_of(m_workers.begin(), m_workers.end(), [&](const auto &entry) {
        const Worker &worker = entry.second;
        return entry.first != task.worker && worker.accepting
            && worker.service == record.job().terms.service && hasLabel(worker, spec.neededLabel)
            && m_health.suspicionLevel(entry.first, now) == 0
            && fits(spec.perTask, freeCapacity.at(entry.first));
    });
}

void Planner::handleStalledRuns(core::Instant now)
{
    const FreeCapacity freeCapacity = computeFreeCapacity();
    for (auto &[id, record] : m_jobs) {
        for (auto &[number, occurrence] : record.occurrences()) {
            for (std::size_t s = 0; s < occurrence.steps.size(); ++s) {
                const workload::Step &spec = record.job().steps[s];
                for (Task &task : occurrence.steps[s].tasks) {
                    if (task.phase != TaskPhase::Active
                        || !isStalled(record, occurrence.steps[s], spec, task))
                        continue;
                    m_health.recordStall(task.worker, now);
                    if ((task.percent <= MaxDiscardedPercent || spec.checkpointable)
                        && hasFreeCapacityElsewhere(record, spec, task, freeCapacity, now))
                        requestStop(task, "run is stalled");
                }
            }
        }
    }
}

} // namespace oleandercross::planning
