#include <oleandercross/planning/planner.h>

#include "schedulingunit.h"

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
// jobs that would be late otherwise, and other jobs with slack.
constexpr double UrgentStopBudget = 3;
constexpr double LateStopBudget = 0.7;
constexpr double EarlyStopBudget = 0.08;
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

std::vector<VictimGroup> Planner::victims(const SchedulingUnit &unit, core::Instant now) const
{
    std::vector<VictimGroup> victims;
    // A task that ends soon is not stopped, but only on the first attempt to place the unit, since
    // the estimate may be wrong.
    const absl::Duration endWait = unit.progress->reservedUntil == absl::InfinitePast()
        ? m_options.stopTime * EndWaitFraction
        : absl::ZeroDuration();
    for (const auto &[id, record] : m_jobs) {
        const double jobWeight = stopWeight(record);
        for (const auto &[number, occurrence] : record.occurrences()) {
            for (std::size_t s = 0; s < occurrence.steps.size(); ++s) {
                const workload::Step &spec = record.job().steps[s];
                VictimGroup gang;
                for (std::size_t i = 0; i < occurrence.steps[s].tasks.size(); ++i) {
                    const Task &task = occurrence.steps[s].tasks[i];
                    const auto worker = m_workers.find(task.worker);
                    if (task.phase != TaskPhase::Active || worker == m_workers.end()
                        || (!task.stopRequested && !mayPreempt(unit, record)))
                        continue;
                    const bool endsSoon = task.percent > 0
                        && now - task.percentChangedAt < MaxProgressAge
                        && remainingTime(task, m_options.stopTime, now) < endWait;
                    VictimGroup single;
                    VictimGroup &victim = spec.gang ? gang : single;
                    victim.freedCapacity[task.worker] =
                        victim.freedCapacity[task.worker] + spec.perTask;
                    // Capacity that is about to become free has no pre-emption cost.
                    if (!task.stopRequested && !endsSoon) {
                        victim.runs.push_back(
                            {{id, number, static_cast<int>(s), static_cast<int>(i)}, task.run});
                        victim.cost += stopCost(spec, task, now) * jobWeight;
                    }
                    if (!spec.gang)
                        victims.push_back(std::move(single));
                }
                if (!gang.freedCapacity.empty())
                    victims.push_back(std::move(gang));
            }
        }
    }
    return victims;
}

bool Planner::mayUseUrgentReserve(const SchedulingUnit &unit, const Worker &worker,
                                  core::Instant now) const
{
    if (unit.spec->inputRack == worker.rack)
        return true;
    if (unit.spec->checkpointable && m_options.stopTime <= CheapStopTime)
        return true;
    return unit.record->job().terms.priority == 1 && isAboutToBeLate(unit, now);
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
    return isAboutToBeLate(unit, now) && !unit.willBeLate(now) ? LateStopBudget : EarlyStopBudget;
}

void Planner::preemptGroup(const VictimGroup &victim, const SchedulingUnit &unit, core::Instant now,
                           Plan &plan)
{
    for (const workload::RunKey &run : victim.runs) {
        Task *task = m_jobs.at(run.task.job).task(run.task);
        requestStop(*task, "pre-empted by " + unit.record->job().id);
        task->orderSentAt = now;
        plan.orders.push_back({Order::Kind::Stop, task->worker, run, {}, {}, task->stopReason});
    }
}

} // namespace oleandercross::planning
