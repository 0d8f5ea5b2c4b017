#pragma once

#include <oleandercross/core/ids.h>
#include <oleandercross/core/resources.h>

#include <absl/time/time.h>

#include <optional>
#include <string>
#include <vector>

namespace oleandercross::platform {

enum class TaskState { Running, Checkpointing, Succeeded, Failed, Stopped };

// The parameters of a task start. The worker validates nothing, not even whether the task fits.
struct TaskStart
{
    std::string taskId;
    core::JobId job;
    core::Resources resources;
    // Indices of the accelerators on this worker that the task may use.
    std::vector<int> accelerators;
    std::string command;
    // The task stops on its own if its lease is not renewed within this time.
    absl::Duration lease;
    // The checkpoint to resume from, or empty.
    std::string checkpoint;

    friend bool operator==(const TaskStart &, const TaskStart &) = default;
};

struct TaskStatus
{
    std::string taskId;
    core::JobId job;
    TaskState state = TaskState::Running;
    core::Resources declared;
    // Measured by the worker and reported with a delay.
    core::Resources used;
    std::vector<int> accelerators;
    std::string message;
    // The latest complete checkpoint, or empty.
    std::string checkpoint;

    friend bool operator==(const TaskStatus &, const TaskStatus &) = default;
};

// Interface to the platform's control of one worker. Implementations are thread-safe. All functions
// fail with PlatformError, Timeout, ConnectionFailed or ConnectionLost. All calls are idempotent.
class WorkerControl
{
public:
    virtual ~WorkerControl() = default;

    // Starts a task. Starting the same task id again has no effect.
    virtual bool start(const TaskStart &task) = 0;
    virtual bool stop(const std::string &taskId) = 0;
    // Requests a checkpoint. TaskStatus::checkpoint changes when it is complete.
    virtual bool checkpoint(const std::string &taskId) = 0;
    // Limits the task to a share of its processors, with 0 < share <= 1.
    virtual bool throttle(const std::string &taskId, double share) = 0;
    virtual bool renewLeases(const std::vector<std::string> &taskIds, absl::Duration lease) = 0;
    // Returns all running tasks and all ended tasks whose records were not removed by forget().
    virtual std::optional<std::vector<TaskStatus>> tasks() = 0;
    // Removes the records of ended tasks.
    virtual bool forget(const std::vector<std::string> &taskIds) = 0;
};

} // namespace oleandercross::platform
