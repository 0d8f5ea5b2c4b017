#include <oleandercross/planning/planner.h>

#include "planninground.h"

#include <algorithm>

namespace oleandercross::planning {

namespace {

// Returns true if no listing or confirmation of this worker contains the run. A restored run counts
// only after its worker has listed its runs, since it may have been confirmed to an earlier leader.
bool isUnconfirmed(const Task &task, const Worker &worker)
{
    if (task.running)
        return false;
    return task.runningSince == absl::InfiniteFuture()
        || (task.runningSince == absl::InfinitePast() && worker.accepting);
}

} // namespace

void Planner::setClosedDataCentres(std::set<std::string> names)
{
    m_closedDataCentres = std::move(names);
}

bool Planner::isClosed(const Worker &worker) const
{
    return m_closedDataCentres.contains(worker.dataCentre);
}

Workers Planner::workersInOpenDataCentres() const
{
    Workers open = m_workers;
    std::erase_if(open, [this](const auto &entry) { return isClosed(entry.second); });
    return open;
}

void Planner::startRefusedByClosure(const std::string &worker, const workload::RunKey &run,
                                    core::Instant now)
{
    if (!hasActiveRun(worker, run))
        return;
    JobRecord *record = find(run.task.job);
    Task *task = record->task(run.task);
    if (task->running || task->stopRequested)
        return;
    // If the order was repeated, the refusal does not cover the copies of it that may still reach
    // the agent after the data centre has opened, so that only a confirmed stop ends the run.
    if (task->orderSentAt != task->startedAt) {
        requestStop(*task, "data centre closed");
        return;
    }
    record->requeue(run, worker, now);
    m_changed.insert(run.task.job);
}

void Planner::stopUnconfirmedRunsOnClosedWorkers(const Round &round)
{
    for (const ActiveRun &run : round.activeRuns) {
        if (run.worker != Round::NoWorker && round.isClosed(run.worker) && !run.task->stopRequested
            && isUnconfirmed(*run.task, round.worker(run.worker)))
            requestStop(*run.task, "data centre closed");
    }
}

void Planner::dropClosedReservation(const SchedulingUnit &unit, const Round &round)
{
    std::map<std::string, int> &reservation = unit.progress->reservation;
    const bool affected =
        std::any_of(reservation.begin(), reservation.end(), [&round](const auto &entry) {
            const int worker = round.indexOf(entry.first);
            return worker != Round::NoWorker && round.isClosed(worker);
        });
    if (!affected)
        return;
    reservation.clear();
    unit.progress->reservedUntil = absl::InfinitePast();
}

bool Planner::isColdForUrgentGang(const SchedulingUnit &unit, const Worker &worker,
                                  core::Instant now)
{
    return unit.spec->gang && unit.record->job().terms.priority == 0 && worker.warmAt > now;
}

} // namespace oleandercross::planning
