#include <oleandercross/planning/planner.h>

#include "planninground.h"

#include <algorithm>
#include <numeric>

namespace oleandercross::planning {

namespace {

// A pre-empted run is expected to end within the stop time plus this margin, which is for messages.
constexpr absl::Duration ReservationMargin = absl::Milliseconds(600);
// The longest time that capacity is held after the last stop order for it.
constexpr absl::Duration MaxReservationTime = absl::Seconds(5);

} // namespace

absl::Duration Planner::reservationTime(bool guaranteed) const
{
    // The start delay of guaranteed work is bounded, so that it looks for other victims if stops
    // are not confirmed in time.
    return guaranteed ? m_options.stopTime + ReservationMargin
                      : std::max(MaxReservationTime, m_options.stopTime);
}

bool Planner::isOverdueStop(const Task &task, bool guaranteed, core::Instant now) const
{
    return task.stopRequested && now - task.preemptedAt >= reservationTime(guaranteed);
}

int Planner::reservedTasks(const StepProgress &progress)
{
    return std::accumulate(progress.reservation.begin(), progress.reservation.end(), 0,
                           [](int sum, const auto &entry) { return sum + entry.second; });
}

void Planner::deductReservations(const std::vector<SchedulingUnit> &units, Round &round)
{
    for (const SchedulingUnit &unit : units) {
        if (unit.progress->reservation.empty())
            continue;
        deductReservation(unit, round);
        round.reservations.push_back({unit.record, unit.progress, unit.spec});
    }
}

void Planner::dropFinishedReservation(const SchedulingUnit &unit, core::Instant now)
{
    StepProgress &progress = *unit.progress;
    if (progress.reservation.empty())
        return;
    bool awaitsStop = false;
    bool awaitsEnd = false;
    std::erase_if(progress.awaitedRuns, [&](const workload::RunKey &run) {
        const JobRecord *record = job(run.task.job);
        const Task *task = record ? record->task(run.task) : nullptr;
        if (!task || task->phase != TaskPhase::Active || task->run != run.run)
            return true;
        (task->stopRequested ? awaitsStop : awaitsEnd) = true;
        return false;
    });
    // Members of a completed gang occupy their workers until these list the end.
    for (const auto &[worker, count] : progress.reservation)
        awaitsEnd = awaitsEnd || m_heldByEndingMembers.contains(worker);
    // The time of an end is an estimate, which may be wrong.
    const bool endIsLikely =
        awaitsEnd && now < progress.reservedAt + m_options.stopTime + ReservationMargin;
    const bool isHeld = awaitsStop && now < progress.reservedAt + reservationTime(unit.guaranteed);
    if (!isHeld && !endIsLikely)
        clearReservation(progress);
}

void Planner::clearReservation(StepProgress &progress)
{
    progress.reservation.clear();
    progress.awaitedRuns.clear();
}

void Planner::addReservationVictims(const SchedulingUnit &unit, std::vector<VictimGroup> &groups,
                                    const Round &round) const
{
    for (std::size_t i = 0; i < round.reservations.size(); ++i) {
        const ReservationHolder &holder = round.reservations[i];
        if (holder.progress->reservation.empty() || holder.progress == unit.progress
            || !mayPreempt(unit, *holder.record))
            continue;
        VictimGroup group;
        group.reservation = i;
        for (const auto &[key, count] : holder.progress->reservation) {
            const int worker = round.indexOf(key);
            for (int task = 0; worker != Round::NoWorker && task < count; ++task)
                group.free(worker, holder.spec->perTask);
        }
        groups.push_back(std::move(group));
    }
}

void Planner::takeReservation(const VictimGroup &victim, const SchedulingUnit &unit, Round &round)
{
    if (!victim.reservation)
        return;
    const ReservationHolder &holder = round.reservations[*victim.reservation];
    for (const auto &[worker, count] : holder.progress->reservation)
        round.deduct(worker, holder.spec->perTask, -count);
    std::vector<workload::RunKey> &awaited = unit.progress->awaitedRuns;
    awaited.insert(awaited.end(), holder.progress->awaitedRuns.begin(),
                   holder.progress->awaitedRuns.end());
    clearReservation(*holder.progress);
    holder.progress->reservedAt = absl::InfinitePast();
}

void Planner::reserve(const SchedulingUnit &unit, const Placement &placed,
                      const VictimIndex &candidates, Round &round)
{
    StepProgress &progress = *unit.progress;
    for (const std::size_t index : placed.victims) {
        const VictimGroup &victim = candidates.group(index);
        for (const auto *runs : {&victim.runs, &victim.endingRuns}) {
            for (const std::size_t run : *runs)
                progress.awaitedRuns.push_back(round.activeRuns[run].key());
        }
        takeReservation(victim, unit, round);
    }
    for (const auto &[worker, count] : placed.tasks) {
        progress.reservation[round.worker(worker).key] += count;
        round.deduct(round.worker(worker).key, unit.spec->perTask, count);
    }
    progress.reservedAt = round.now;
    if (std::none_of(round.reservations.begin(), round.reservations.end(),
                     [&progress](const auto &holder) { return holder.progress == &progress; }))
        round.reservations.push_back({unit.record, unit.progress, unit.spec});
}

void Planner::startOnTakenReservation(const SchedulingUnit &unit, const PlacementRequest &request,
                                      const std::map<int, int> &tasks, Round &round)
{
    const auto deduct = [&](int sign) {
        for (const auto &[worker, count] : tasks)
            round.deduct(round.worker(worker).key, unit.spec->perTask, sign * count);
    };
    deduct(-1);
    if (!tryFree(unit, request, round))
        deduct(1);
}

void Planner::releaseReservation(const SchedulingUnit &unit, const std::map<int, int> &tasks,
                                 const Round &round)
{
    StepProgress &progress = *unit.progress;
    for (const auto &[worker, count] : tasks) {
        const auto found = progress.reservation.find(round.worker(worker).key);
        if (found != progress.reservation.end() && (found->second -= count) <= 0)
            progress.reservation.erase(found);
    }
    // Tasks that started elsewhere need their reserved capacity no longer.
    const auto pending =
        std::count_if(progress.tasks.begin(), progress.tasks.end(),
                      [](const Task &task) { return task.phase == TaskPhase::Pending; });
    for (auto surplus = reservedTasks(progress) - pending; surplus > 0; --surplus) {
        const auto last = std::prev(progress.reservation.end());
        if (--last->second == 0)
            progress.reservation.erase(last);
    }
    if (progress.reservation.empty()) {
        clearReservation(progress);
        progress.reservedAt = absl::InfinitePast();
    }
}

} // namespace oleandercross::planning
