#include <oleandercross/planning/planner.h>

#include "planninground.h"

#include <algorithm>

namespace oleandercross::planning {

namespace {

constexpr absl::Duration WaitingWorkPeriod = absl::Seconds(1);

// Returns how many of the pending tasks fit into `slots`; a gang fits as a whole or not at all.
std::int64_t startableTasks(const workload::Step &spec, std::int64_t pending, std::int64_t slots)
{
    if (spec.gang)
        return slots >= pending ? pending : 0;
    return std::min(pending, slots);
}

} // namespace

std::optional<WaitingWork> Planner::waitingWork(const std::vector<SchedulingUnit> &units,
                                                const Round &round)
{
    if (round.now < m_nextWaitingWork)
        return std::nullopt;
    m_nextWaitingWork = round.now + WaitingWorkPeriod;
    WaitingWork waiting;
    for (std::size_t i = 0; i < round.workers.size(); ++i) {
        if (!round.isOpen(static_cast<int>(i)))
            continue;
        const std::int64_t free = std::max<std::int64_t>(0, round.freeCapacity[i].accelerators);
        waiting.freeAccelerators += free;
        waiting.reservedAccelerators += round.inUrgentReserve[i] ? free : 0;
    }
    for (const SchedulingUnit &unit : units)
        addWaitingTasks(unit, round, waiting);
    return waiting;
}

void Planner::addWaitingTasks(const SchedulingUnit &unit, const Round &round,
                              WaitingWork &waiting) const
{
    const std::vector<Task> &tasks = unit.progress->tasks;
    const std::int64_t pending = std::count_if(tasks.begin(), tasks.end(), [](const Task &task) {
        return task.phase == TaskPhase::Pending;
    });
    if (pending == 0)
        return;
    const std::vector<int> limits = taskLimits(unit, round);
    std::int64_t reservedSlots = 0;
    std::int64_t otherSlots = 0;
    for (std::size_t i = 0; i < round.workers.size(); ++i) {
        const auto index = static_cast<int>(i);
        if (limits[i] <= 0 || !hasFreeCapacity(index, *unit.record, *unit.spec, round))
            continue;
        const int slots =
            std::min(limits[i], fittingTaskCount(unit.spec->perTask, round.freeCapacity[i]));
        const bool kept = round.inUrgentReserve[i] && !isEligible(unit, index, round);
        (kept ? reservedSlots : otherSlots) += slots;
    }
    WaitingTasks &sum = waiting.priorities[unit.record->job().terms.priority];
    sum.tasks += pending;
    ++sum.steps;
    sum.longestWait = std::max(sum.longestWait, round.now - unit.progress->readySince);
    sum.fitInReserve += startableTasks(*unit.spec, pending, reservedSlots);
    sum.fitElsewhere += startableTasks(*unit.spec, pending, otherSlots);
}

} // namespace oleandercross::planning
