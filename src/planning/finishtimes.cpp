#include <oleandercross/planning/planner.h>

#include "planninground.h"

#include <algorithm>

namespace oleandercross::planning {

namespace {

// Work with slack goes to slow workers if it is expected to end in this fraction of the time that
// is left until its deadline there, since estimates err and runs get lost.
constexpr double SlackFraction = 0.75;
// A worker whose speed is less certain than this is measured by work that can wait.
constexpr double UnmeasuredConfidence = 0.25;
// While it is not known whether speeds are uneven, measuring leaves at least this many workers, and
// half of all, idle for gangs that need whole workers.
constexpr std::size_t MinIdleWorkersToMeasure = 24;
// Follows the classes of the workers on which a unit ends in time.
constexpr int LateClassOffset = 3;

// Returns the request without the workers that do not suit it.
template <typename Predicate>
PlacementRequest onWorkers(const PlacementRequest &request, const Predicate &suits)
{
    PlacementRequest restricted = request;
    for (std::size_t i = 0; i < restricted.taskLimits.size(); ++i) {
        if (!suits(static_cast<int>(i)))
            restricted.taskLimits[i] = 0;
    }
    return restricted;
}

} // namespace

bool Planner::endsWithin(const SchedulingUnit &unit, int worker, absl::Duration time,
                         const Round &round)
{
    return unit.remainingCriticalPath / round.speeds[static_cast<std::size_t>(worker)] <= time;
}

bool Planner::endsInTime(const SchedulingUnit &unit, int worker, const Round &round)
{
    return endsWithin(unit, worker, unit.deadline - round.now, round);
}

std::vector<int> Planner::speedClasses(const SchedulingUnit &unit, const Round &round)
{
    std::vector<int> classes = round.speedClasses;
    if (unit.record->job().terms.priority == 0)
        return classes;
    const bool measures = !unit.spec->gang && hasIdleWorkersToMeasure(round);
    const absl::Duration available = (unit.deadline - round.now) * SlackFraction;
    for (std::size_t i = 0; i < classes.size(); ++i) {
        const bool inTime = endsWithin(unit, static_cast<int>(i), available, round);
        if (round.unevenSpeeds)
            classes[i] = inTime ? SlowestClass - classes[i] : classes[i] + LateClassOffset;
        if (measures && !round.busy[i] && round.speedConfidence[i] < UnmeasuredConfidence)
            classes[i] = UnmeasuredClass;
    }
    return classes;
}

bool Planner::hasIdleWorkersToMeasure(const Round &round)
{
    return round.unevenSpeeds
        || (round.idleCount >= MinIdleWorkersToMeasure
            && 2 * round.idleCount > round.acceptingCount);
}

std::vector<PlacementRequest> Planner::bySpeed(const SchedulingUnit &unit,
                                               const PlacementRequest &request, const Round &round)
{
    std::vector<PlacementRequest> requests;
    if (!round.unevenSpeeds)
        return requests;
    const auto isClass = [&round](int worker, int speedClass) {
        return round.speedClasses[static_cast<std::size_t>(worker)] == speedClass;
    };
    if (unit.record->job().terms.priority == 0) {
        requests.push_back(onWorkers(request, [&](int worker) {
            return isClass(worker, FastestClass) && endsInTime(unit, worker, round);
        }));
        requests.push_back(onWorkersInTime(unit, request, round));
        return requests;
    }
    const absl::Duration available = (unit.deadline - round.now) * SlackFraction;
    requests.push_back(onWorkers(request, [&](int worker) {
        return isClass(worker, SlowestClass) && endsWithin(unit, worker, available, round);
    }));
    requests.push_back(
        onWorkers(request, [&](int worker) { return !isClass(worker, SlowestClass); }));
    return requests;
}

PlacementRequest Planner::onWorkersInTime(const SchedulingUnit &unit,
                                          const PlacementRequest &request, const Round &round)
{
    return onWorkers(request, [&](int worker) { return endsInTime(unit, worker, round); });
}

bool Planner::waitsForWorkersInTime(const SchedulingUnit &unit, const PlacementRequest &request,
                                    const PlacementRequest &inTime, const Round &round)
{
    if (inTime.taskLimits == request.taskLimits)
        return false;
    const bool mustStart =
        unit.guaranteed && round.now - unit.progress->readySince >= longestRackWait(unit);
    return !mustStart
        && (inTime.singleRack ? fitsOnSingleRack(inTime, round.racks, round.capacities)
                              : fitsOnAllRacks(inTime, round.capacities));
}

} // namespace oleandercross::planning
