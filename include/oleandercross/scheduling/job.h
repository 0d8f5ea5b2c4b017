#pragma once

#include <oleandercross/core/clock.h>
#include <oleandercross/core/ids.h>
#include <oleandercross/core/resources.h>

#include <absl/time/time.h>

#include <vector>

namespace oleandercross::scheduling {

// How close together the accelerators of a gang have to be.
enum class Adjacency { Worker, Rack, DataCentre };

// A job as its caller declares it. A job is one gang of equal tasks that run at the same time.
struct JobSpec
{
    core::JobId id;
    core::AccountId account;
    core::TeamId team;
    // 1 to 64.
    int tasks = 1;
    core::Resources perTask;
    Adjacency adjacency = Adjacency::DataCentre;
    // A hard level is required; a preferred one is given up when it cannot be had.
    bool adjacencyHard = false;
    bool urgent = false;
    // The job may be stopped and started again from the beginning. Only repeatable jobs borrow.
    bool repeatable = false;
    bool checkpointable = false;
    // Highly inaccurate; only reported, never relied upon.
    absl::Duration declaredRunTime;

    friend bool operator==(const JobSpec &, const JobSpec &) = default;
};

// The most tasks that a job may have.
inline constexpr int MaxTasks = 64;

struct TaskPlacement
{
    core::WorkerId worker;
    // Indices on the worker, ascending.
    std::vector<int> accelerators;

    friend bool operator==(const TaskPlacement &, const TaskPlacement &) = default;
};

// One entry per task.
struct Placement
{
    std::vector<TaskPlacement> tasks;

    friend bool operator==(const Placement &, const Placement &) = default;
};

enum class JobState { Waiting, Starting, Running, Stopping, Succeeded, Failed, Cancelled };

// True for Succeeded, Failed and Cancelled.
constexpr bool ended(JobState state)
{
    return state >= JobState::Succeeded;
}

// The hold that a placed job has on its accelerators. Guaranteed work lies inside its account's
// cells. Surplus work cannot be stopped and lies outside of all guarantees. Borrowed work is
// stopped when the owner of a guarantee claims it.
enum class Hold { None, Guaranteed, Surplus, Borrowed };

// A job as the scheduler sees it.
struct JobView
{
    JobSpec spec;
    JobState state = JobState::Waiting;
    Hold hold = Hold::None;
    // Number of the latest start, 0 before the first.
    int attempt = 0;
    // The placement that is held, or reserved while other gangs stop; empty if there is none.
    Placement placement;
    bool reserved = false;
    // The reservation is the one of the oldest large gang, which nothing behind it may delay.
    bool oldestLarge = false;
    // Per-task size in force, larger than declared after it was outgrown.
    core::Resources perTask;
    // Accelerator time received so far.
    absl::Duration attained;
    int failures = 0;
    int preemptions = 0;
};

// A job found in the store or on workers at take-over.
struct RestoredJob
{
    JobSpec spec;
    // Waiting or Running.
    JobState state = JobState::Waiting;
    int attempt = 0;
    // Of a running job, one entry per task.
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
