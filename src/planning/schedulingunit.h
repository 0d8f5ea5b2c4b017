#pragma once

#include <oleandercross/planning/planner.h>

#include <tuple>

namespace oleandercross::planning {

// The pending tasks of one step of one occurrence, ready to be placed.
struct Planner::SchedulingUnit
{
    JobRecord *record = nullptr;
    StepProgress *progress = nullptr;
    const workload::Step *spec = nullptr;
    int occurrence = 0;
    int step = 0;
    std::vector<int> indices;
    // The job has priority 0 and its account is within its guarantee.
    bool guaranteed = false;
    // The expected run time of one task.
    absl::Duration taskTime;
    // The expected time until the occurrence is complete if its tasks run without waiting.
    absl::Duration remainingCriticalPath;
    // The value saved by placing the unit now, per unit of remaining work.
    double valueDensity = 0;
    core::Instant deadline;
    // The time from which the job has no value.
    core::Instant zeroValueAt;

    bool isLate(core::Instant now) const { return now + remainingCriticalPath > deadline; }

    // Units are placed in ascending order.
    std::tuple<bool, int, double> sortKey() const
    {
        return {!guaranteed, record->job().terms.priority, -valueDensity};
    }
};

// Returns the remaining time of a run, extrapolated from its progress if there is some, otherwise
// the expected run time of the task.
absl::Duration remainingTime(const Task &task, absl::Duration expected, core::Instant now);

// Returns the cores of the demand, with accelerators converted to cores.
double weight(const workload::Demand &demand);

} // namespace oleandercross::planning
