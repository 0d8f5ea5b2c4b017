#pragma once

#include <oleandercross/core/clock.h>
#include <oleandercross/core/ids.h>
#include <oleandercross/core/resources.h>

#include <absl/time/time.h>

#include <vector>

namespace oleandercross::scheduling {

// The domain inside which all accelerators of a gang are placed.
enum class Adjacency { Worker, Rack, DataCentre };

// A job as declared by its submitter. A job is one gang of equal tasks that run at the same time.
struct JobSpec
{
    core::JobId id;
    core::AccountId account;
    core::TeamId team;
    // 1 to MaxTasks.
    int tasks = 1;
    core::Resources perTask;
    Adjacency adjacency = Adjacency::DataCentre;
    // Whether the adjacency is required. Otherwise a wider one is used if no placement is found.
    bool adjacencyHard = false;
    bool urgent = false;
    // The job may be stopped and started again from the beginning. Only repeatable jobs may use
    // borrowed capacity.
    bool repeatable = false;
    bool checkpointable = false;
    // Highly inaccurate. Only reported; no decision depends on it.
    absl::Duration declaredRunTime;

    friend bool operator==(const JobSpec &, const JobSpec &) = default;
};

// The maximum number of tasks of a job.
inline constexpr int MaxTasks = 64;

struct TaskPlacement
{
    core::WorkerId worker;
    // Indices on the worker, ascending.
    std::vector<int> accelerators;

    friend bool operator==(const TaskPlacement &, const TaskPlacement &) = default;
};

// The placement of a gang, one entry per task.
struct Placement
{
    std::vector<TaskPlacement> tasks;

    friend bool operator==(const Placement &, const Placement &) = default;
};

enum class JobState { Waiting, Starting, Running, Stopping, Succeeded, Failed, Cancelled };

// Returns true for Succeeded, Failed and Cancelled.
constexpr bool ended(JobState state)
{
    return state >= JobState::Succeeded;
}

// The kind of capacity that a placed job uses. Guaranteed jobs run inside their account's cells.
// Surplus jobs are not repeatable and run on capacity that no guarantee needs. Borrowed jobs are
// stopped when the owner of a guarantee claims the capacity.
enum class CapacityClass { None, Guaranteed, Surplus, Borrowed };

// A snapshot of a job in the scheduler.
struct JobView
{
    JobSpec spec;
    JobState state = JobState::Waiting;
    CapacityClass capacityClass = CapacityClass::None;
    // Number of the latest start, counted from 1; 0 before the first start.
    int attempt = 0;
    // The placement in use, or the one reserved while other gangs stop. Empty if there is none.
    Placement placement;
    bool reserved = false;
    // The reservation belongs to the oldest large gang. Jobs behind it in the queue may not delay
    // it.
    bool oldestLargeGang = false;
    // Per-task size in force. Larger than declared after a requeue with larger tasks.
    core::Resources perTask;
    // Accelerator time received so far, the job's attained service.
    absl::Duration attained;
    int failures = 0;
    int preemptions = 0;
};

// A job that a new leader found in the store or on workers.
struct RestoredJob
{
    JobSpec spec;
    // Waiting or Running.
    JobState state = JobState::Waiting;
    int attempt = 0;
    // For a running job, one entry per task.
    Placement placement;
    // Indices of tasks that have succeeded in this attempt.
    std::vector<int> finishedTasks;
    core::Resources perTask;
    absl::Duration attained;
    int failures = 0;
    int enlargements = 0;
    bool hasCheckpoint = false;

    friend bool operator==(const RestoredJob &, const RestoredJob &) = default;
};

} // namespace oleandercross::scheduling
