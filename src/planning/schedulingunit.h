#pragma once

#include <oleandercross/planning/planner.h>

#include <tuple>

namespace oleandercross::planning {

// A step is expected to use at most 1 / WaveCapacityDivisor of the service's task slots at a time;
// a larger step runs in several waves.
inline constexpr int WaveCapacityDivisor = 4;

// The pending tasks of one step of one occurrence, ready to be placed.
struct Planner::SchedulingUnit
{
    JobRecord *record = nullptr;
    StepProgress *progress = nullptr;
    const workload::Step *spec = nullptr;
    int occurrence = 0;
    int step = 0;
    std::vector<int> taskIndices;
    // The job has priority 0 and its account is within its guarantee.
    bool guaranteed = false;
    // The expected run time of one task.
    absl::Duration taskTime;
    // The expected time until the occurrence is complete if its tasks run without waiting.
    absl::Duration remainingCriticalPath;
    // An estimate of the value saved by placing the unit now, per core second of the occurrence's
    // remaining work. Value and work are measured in accelerator-weighted core seconds.
    double valueDensity = 0;
    // The end of the latency objective; a job that completes later loses most of its value.
    core::Instant deadline;
    // The time from which the job has only the minimum value that prevents starvation.
    core::Instant zeroValueAt;

    bool willBeLate(core::Instant now) const { return now + remainingCriticalPath > deadline; }

    // Units are placed in ascending order.
    std::tuple<bool, int, double> sortKey() const
    {
        return {!guaranteed, record->job().terms.priority, -valueDensity};
    }
};

// Returns the remaining time of a run, extrapolated from its progress if there is some, otherwise
// the expected run time of the task.
absl::Duration remainingTime(const Task &task, absl::Duration expected, core::Instant now);

// Returns the expected run time of a task of the step on a worker of average speed, measured from
// the step's own runs where possible.
absl::Duration expectedTaskTime(const StepProgress &progress, const workload::Step &spec,
                                const std::string &queue, const WorkEstimates &estimates);

// Returns the cores of the demand, with each accelerator counted as CoresPerAccelerator cores;
// memory does not count.
double weightedCores(const workload::Demand &demand);

} // namespace oleandercross::planning
