#include <oleandercross/planning/planner.h>
#include <oleandercross/planning/valuecurve.h>

#include "planninground.h"

#include <algorithm>
#include <utility>

namespace oleandercross::planning {

namespace {

// The standard error of an estimated completion time, relative to the remaining critical path, and
// its lower bound.
constexpr double RelativeUncertainty = 0.3;
constexpr absl::Duration MinUncertainty = absl::Milliseconds(100);
// The search takes time in proportion to the tasks. The next round continues with the others.
constexpr std::ptrdiff_t MaxTasksOfSearch = 8;
// If the stops for some tasks are not worth it, those for this fraction of them are tried.
constexpr std::size_t PartDivisor = 4;

int slotsIn(const workload::Demand &perTask, const workload::Demand &free)
{
    return fits(perTask, free) ? workload::fittingTaskCount(perTask, free) : 0;
}

std::ptrdiff_t pendingTasks(const StepProgress &progress)
{
    return std::count_if(progress.tasks.begin(), progress.tasks.end(),
                         [](const Task &task) { return task.phase == TaskPhase::Pending; });
}

} // namespace

const std::vector<ExpectedEnd> &Planner::expectedEnds(Round &round) const
{
    if (!round.expectedEnds.empty())
        return round.expectedEnds;
    const StepProgress *step = nullptr;
    absl::Duration time;
    for (const ActiveRun &run : round.activeRuns) {
        if (run.worker == Round::NoWorker)
            continue;
        if (run.progress != step) {
            step = run.progress;
            time = taskTime(*run.record, *run.progress, *run.spec);
        }
        const Task &task = *run.task;
        const absl::Duration expected =
            std::max(absl::ZeroDuration(), time - (round.now - task.startedAt));
        const absl::Duration remaining =
            task.stopRequested ? m_options.stopTime : remainingTime(task, expected, round.now);
        round.expectedEnds.push_back(
            {round.now + std::max(absl::ZeroDuration(), remaining), run.worker, run.spec->perTask});
    }
    std::stable_sort(round.expectedEnds.begin(), round.expectedEnds.end(),
                     [](const ExpectedEnd &a, const ExpectedEnd &b) { return a.at < b.at; });
    return round.expectedEnds;
}

core::Instant Planner::expectedFreeAt(const SchedulingUnit &unit, const PlacementRequest &request,
                                      Round &round) const
{
    const workload::Demand &perTask = unit.spec->perTask;
    const auto waiting = round.waitingCores.find(unit.record->job().terms.service);
    const double waitingCores = waiting == round.waitingCores.end() ? 0 : waiting->second;
    // Work that is placed before this unit and waits gets capacity first.
    const double ahead = waitingCores / std::max(weightedCores(perTask), 1e-3);
    const double needed = static_cast<double>(unit.taskIndices.size()) + ahead;
    FreeCapacity free = round.freeCapacity;
    std::vector<int> slotsOfWorker(free.size());
    double slots = 0;
    const auto isEligible = [&request](int worker) {
        return request.taskLimits[static_cast<std::size_t>(worker)] > 0;
    };
    for (std::size_t i = 0; i < free.size(); ++i) {
        if (isEligible(static_cast<int>(i)))
            slots += slotsOfWorker[i] = slotsIn(perTask, free[i]);
    }
    if (slots >= needed)
        return round.now;
    for (const ExpectedEnd &end : expectedEnds(round)) {
        // The job has no value later on.
        if (end.at > unit.zeroValueAt)
            break;
        if (!isEligible(end.worker))
            continue;
        const auto worker = static_cast<std::size_t>(end.worker);
        free[worker] = free[worker] + end.freed;
        const int before = std::exchange(slotsOfWorker[worker], slotsIn(perTask, free[worker]));
        slots += slotsOfWorker[worker] - before;
        if (slots >= needed)
            return end.at;
    }
    return absl::InfiniteFuture();
}

double Planner::preemptionGain(const SchedulingUnit &unit, const PlacementRequest &request,
                               Round &round) const
{
    const absl::Duration path = unit.remainingCriticalPath;
    const ValueCurve curve{unit.jobValue * priorityWeight(*unit.record), unit.deadline,
                           unit.zeroValueAt, std::max(MinUncertainty, path * RelativeUncertainty)};
    // The value of the job is that of all its tasks.
    const double share = static_cast<double>(unit.taskIndices.size())
        / static_cast<double>(pendingTasks(*unit.progress));
    return share
        * (curve.at(round.now + m_options.stopTime + path)
           - curve.at(expectedFreeAt(unit, request, round) + path));
}

void Planner::recordWaiting(const SchedulingUnit &unit, Round &round)
{
    const auto waiting = pendingTasks(*unit.progress) - reservedTasks(*unit.progress);
    if (waiting > 0)
        round.waitingCores[unit.record->job().terms.service] +=
            weightedCores(unit.spec->perTask) * static_cast<double>(waiting);
}

std::optional<Placement> Planner::placeWithVictims(const SchedulingUnit &unit,
                                                   const PlacementRequest &request,
                                                   bool ordersStops, Round &round) const
{
    const VictimIndex &candidates = victims(unit, ordersStops, round);
    auto placed = place(request, round.racks, round.freeCapacity, &candidates);
    if (!placed || unit.guaranteed || placed->cost <= 0)
        return placed;
    const double ownWork = weightedCores(unit.spec->perTask) * absl::ToDoubleSeconds(unit.taskTime)
        * static_cast<double>(request.tasks);
    if (placed->cost > ownWork * preemptionBudget(unit, round.now)
        || placed->cost > preemptionGain(unit, request, round))
        return std::nullopt;
    return placed;
}

bool Planner::mayPayForTasks(const SchedulingUnit &unit, const PlacementRequest &request,
                             Round &round) const
{
    if (unit.guaranteed || !mayOrderStops(unit, request, round))
        return true;
    PlacementRequest one = request;
    one.tasks = 1;
    const auto placed = place(one, round.racks, round.freeCapacity, &victims(unit, true, round));
    const double gainPerTask =
        preemptionGain(unit, request, round) / static_cast<double>(unit.taskIndices.size());
    return placed && placed->cost <= gainPerTask;
}

void Planner::preemptForTasks(const SchedulingUnit &unit, int first, std::ptrdiff_t limit,
                              const PlacementRequest &request, Round &round)
{
    PlacementRequest wanted = request;
    SchedulingUnit part = unit;
    std::erase_if(part.taskIndices, [&unit, first](int index) {
        const Task &task = unit.progress->tasks[static_cast<std::size_t>(index)];
        return index < first || task.isSuspect() || !task.workersWithFailedRuns.empty()
            || !task.refusingWorkers.empty();
    });
    limit = std::min(limit, MaxTasksOfSearch);
    if (static_cast<std::ptrdiff_t>(part.taskIndices.size()) > limit)
        part.taskIndices.resize(static_cast<std::size_t>(limit));
    if (part.taskIndices.empty() || !mayPayForTasks(part, request, round))
        return;
    // Fewer tasks may be worth their stops if all together are not.
    for (std::size_t count = part.taskIndices.size(); count > 0; count /= PartDivisor) {
        part.taskIndices.resize(count);
        wanted.tasks = static_cast<int>(count);
        if (tryPreempt(part, wanted, round))
            return;
    }
}

} // namespace oleandercross::planning
