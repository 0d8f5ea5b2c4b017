#pragma once

#include <oleandercross/planning/planner.h>

#include <tuple>

namespace oleandercross::planning {

// The pending tasks of one step of one occurrence, ready to be placed.
struct Planner::Unit
{
    JobRecord *record = nullptr;
    StepProgress *progress = nullptr;
    const workload::Step *spec = nullptr;
    int occurrence = 0;
    int step = 0;
    std::vector<int> indices;
    // Priority 0 within the guarantee of the account.
    bool guaranteed = false;
    // The latency objective cannot be met any more.
    bool late = false;
    // The job earns nothing any more.
    bool worthless = false;
    core::Instant deadline;

    // Units are placed in ascending order.
    std::tuple<bool, int, bool, bool, core::Instant> order() const
    {
        return {!guaranteed, record->job().terms.priority, worthless, late, deadline};
    }
};

// The time that a run still needs, from its progress if there is some, else from the estimate.
absl::Duration remainingTime(const workload::Step &step, const Task &task, core::Instant now);

// The time within which a job earns most.
absl::Duration latencyObjective(const workload::Job &job);

// The cores that a task holds, with accelerators counted as cores.
double weight(const workload::Demand &demand);

} // namespace oleandercross::planning
