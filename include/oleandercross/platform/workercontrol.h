#pragma once

#include <oleandercross/core/ids.h>
#include <oleandercross/core/resources.h>

#include <absl/time/time.h>

#include <optional>
#include <string>
#include <vector>

namespace oleandercross::platform {

enum class TaskState { Running, Checkpointing, Succeeded, Failed, Stopped };

// What a worker is told to start. The worker checks nothing, not even whether it fits.
struct TaskStart
{
    std::string taskId;
    core::JobId job;
    core::Resources resources;
    // Indices of the accelerators on this worker that the task may use.
    std::vector<int> accelerators;
    std::string command;
    // The task stops by itself when its lease is not renewed within this time.
    absl::Duration lease;
    // A checkpoint to resume from, or empty.
    std::string checkpoint;

    friend bool operator==(const TaskStart &, const TaskStart &) = default;
};

struct TaskStatus
{
    std::string taskId;
    core::JobId job;
    TaskState state = TaskState::Running;
    core::Resources declared;
    // Measured by the worker, with a lag.
    core::Resources used;
    std::vector<int> accelerators;
    std::string message;
    // The newest complete checkpoint, or empty.
    std::string checkpoint;

    friend bool operator==(const TaskStatus &, const TaskStatus &) = default;
};

// The platform's control of one worker. Implementations are thread safe. All functions fail with
// PlatformError, Timeout, ConnectionFailed or ConnectionLost; repeating a call is harmless.
class WorkerControl
{
public:
    virtual ~WorkerControl() = default;

    // Starts a task; starting the same task id twice runs it once.
    virtual bool start(const TaskStart &task) = 0;
    virtual bool stop(const std::string &taskId) = 0;
    // Asks for a checkpoint; TaskStatus::checkpoint changes when it is complete.
    virtual bool checkpoint(const std::string &taskId) = 0;
    // Limits the task to a share of its processors, 0 < share <= 1.
    virtual bool throttle(const std::string &taskId, double share) = 0;
    virtual bool renewLeases(const std::vector<std::string> &taskIds, absl::Duration lease) = 0;
    // All tasks that run or ended since they were last forgotten.
    virtual std::optional<std::vector<TaskStatus>> tasks() = 0;
    // Drops the records of ended tasks.
    virtual bool forget(const std::vector<std::string> &taskIds) = 0;
};

} // namespace oleandercross::platform
