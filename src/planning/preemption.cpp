#include <oleandercross/planning/planner.h>

#include "planninground.h"

#include <algorithm>

namespace oleandercross::planning {

namespace {

// The number of cores that count as much as one accelerator when work is compared.
constexpr double CoresPerAccelerator = 8;
// Work lost by stopping a task and restoring it from its checkpoint, in seconds of its run time.
constexpr double CheckpointedStopSeconds = 1.0;
// Added to the lost run time of a task without checkpoints, so that stopping one that has just
// started is not free.
constexpr double UncheckpointedStopSeconds = 0.3;
// A job may pre-empt up to these multiples of its own work: urgent jobs without a guarantee, other
// jobs that would be late otherwise, and other jobs that are late. Jobs with slack wait for free
// capacity, since they would starve lower priorities without need.
constexpr double UrgentStopBudget = 3;
constexpr double LateStopBudget = 0.7;
constexpr double OverdueStopBudget = 0.08;
// A job is about to be late if its slack is less than this fraction of its remaining critical path.
constexpr double LateSlackFraction = 0.3;
// A task that is expected to complete within this fraction of the stop time is not pre-empted.
constexpr double EndWaitFraction = 0.7;
// If stops take no longer than this, tasks with checkpoints may use the urgent reserve.
constexpr absl::Duration CheapStopTime = absl::Milliseconds(400);
// Progress that has not changed for this time does not predict the end of a task.
constexpr absl::Duration MaxProgressAge = absl::Milliseconds(1000);

// Returns the cost of losing a core second, relative to work of the lowest priority. The lost
// resources cost the same for every job, while the value of the work rises with its priority.
double stopWeight(const JobRecord &record)
{
    constexpr double UrgentWeight = 5;
    constexpr double MiddleWeight = 1.8;
    constexpr double ProgressWeight = 3;
    const workload::Job &job = record.job();
    const double weight = job.terms.priority == 0 ? UrgentWeight
        : job.terms.priority == 1                 ? MiddleWeight
                                                  : 1;
    // Prefers jobs far from completion as victims, so that nearly complete jobs can finish.
    return weight * (1 + ProgressWeight * record.completedFraction());
}

double stopCost(const workload::Step &step, const Task &task, core::Instant now)
{
    const double elapsed = absl::ToDoubleSeconds(now - task.startedAt);
    const double lost = step.checkpointable ? std::min(CheckpointedStopSeconds, elapsed)
                                            : elapsed + UncheckpointedStopSeconds;
    return lost * weightedCores(step.perTask);
}

} // namespace

double weightedCores(const workload::Demand &demand)
{
    return static_cast<double>(demand.milliCores) / 1000
        + CoresPerAccelerator * static_cast<double>(demand.accelerators);
}

absl::Duration remainingTime(const Task &task, absl::Duration expected, core::Instant now)
{
    if (task.progressRate > 0)
        return absl::Seconds((100 - task.percent) / task.progressRate)
            - (now - task.percentChangedAt);
    if (task.percent <= 0 || !task.startedWithoutCheckpoint)
        return expected;
    const absl::Duration duration = task.percentChangedAt - task.startedAt;
    return duration * (static_cast<double>(100 - task.percent) / task.percent)
        - (now - task.percentChangedAt);
}

bool Planner::mayPreempt(const SchedulingUnit &unit, const JobRecord &victim) const
{
    const workload::Job &job = victim.job();
    const int priority = unit.record->job().terms.priority;
    if (job.terms.priority > priority)
        return true;
    if (!unit.guaranteed || job.terms.priority != 0)
        return false;
    return !withinGuarantee(job.account);
}

const VictimIndex &Planner::victims(const SchedulingUnit &unit, Round &round) const
{
    const Round::VictimKind kind{unit.record->job().terms.priority, unit.guaranteed,
                                 unit.progress->reservedUntil == absl::InfinitePast()};
    const auto found = round.victims.find(kind);
    if (found != round.victims.end())
        return found->second;
    // A task that ends soon is not stopped, but only on the first attempt to place the unit, since
    // the estimate may be wrong.
    const absl::Duration endWait =
        kind.waitsForEnds ? m_options.stopTime * EndWaitFraction : absl::ZeroDuration();
    std::vector<VictimGroup> groups;
    const JobRecord *job = nullptr;
    const StepProgress *gang = nullptr;
    double jobWeight = 0;
    bool preemptible = false;
    for (std::size_t i = 0; i < round.activeRuns.size(); ++i) {
        const ActiveRun &run = round.activeRuns[i];
        if (run.record != job) {
            job = run.record;
            jobWeight = stopWeight(*job);
            preemptible = mayPreempt(unit, *job);
        }
        const Task &task = *run.task;
        if (run.worker == Round::NoWorker || (!task.stopRequested && !preemptible))
            continue;
        if (!run.spec->gang || run.progress != gang)
            groups.emplace_back();
        gang = run.spec->gang ? run.progress : nullptr;
        VictimGroup &victim = groups.back();
        victim.free(run.worker, run.spec->perTask);
        const bool endsSoon = task.percent > 0 && round.now - task.percentChangedAt < MaxProgressAge
            && remainingTime(task, m_options.stopTime, round.now) < endWait;
        // Capacity that is about to become free has no pre-emption cost.
        if (task.stopRequested || endsSoon)
            continue;
        victim.runs.push_back(i);
        victim.cost += stopCost(*run.spec, task, round.now) * jobWeight;
    }
    return round.victims.emplace(kind, VictimIndex(std::move(groups), round.workers.size()))
        .first->second;
}

bool Planner::mayUseUrgentReserve(const SchedulingUnit &unit, int index, const Round &round) const
{
    const Worker &worker = round.worker(index);
    const core::Instant now = round.now;
    if (unit.spec->inputRack == worker.rack)
        return true;
    if (unit.spec->checkpointable && m_options.stopTime <= CheapStopTime)
        return true;
    return isAboutToBeLate(unit, now)
        && (!unit.willBeLate(now) || round.openToLateWork[static_cast<std::size_t>(index)]);
}

bool Planner::isAboutToBeLate(const SchedulingUnit &unit, core::Instant now)
{
    return now + unit.remainingCriticalPath * (1 + LateSlackFraction) > unit.deadline;
}

double Planner::preemptionBudget(const SchedulingUnit &unit, core::Instant now) const
{
    const workload::Job &job = unit.record->job();
    if (job.terms.priority == 0)
        return UrgentStopBudget;
    if (!isAboutToBeLate(unit, now))
        return 0;
    return unit.willBeLate(now) ? OverdueStopBudget : LateStopBudget;
}

void Planner::preemptGroup(const VictimGroup &victim, const SchedulingUnit &unit, Round &round)
{
    for (const std::size_t index : victim.runs) {
        const ActiveRun &run = round.activeRuns[index];
        requestStop(*run.task, "pre-empted by " + unit.record->job().id);
        run.task->orderSentAt = round.now;
        round.plan.orders.push_back(
            {Order::Kind::Stop, run.task->worker, run.key(), {}, {}, run.task->stopReason});
    }
}

} // namespace oleandercross::planning
