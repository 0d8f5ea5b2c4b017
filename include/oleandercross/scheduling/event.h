#pragma once

#include <oleandercross/config/manifest.h>
#include <oleandercross/core/resultcode.h>
#include <oleandercross/scheduling/job.h>

#include <memory>
#include <variant>
#include <vector>

namespace oleandercross::scheduling {

// A worker registered, or registered again after a loss. Values that differ from the previous ones
// count as a change.
struct WorkerJoined
{
    core::WorkerId worker;
    core::RackId rack;
    core::Resources resources;
};

// A known worker changed its size or rack.
struct WorkerChanged
{
    core::WorkerId worker;
    core::RackId rack;
    core::Resources resources;
};

// Starts or ends a planned drain. Repeatable gangs on a draining worker are checkpointed and moved.
struct WorkerDraining
{
    core::WorkerId worker;
    bool draining = true;
};

struct WorkerLost
{
    core::WorkerId worker;
};

struct WorkerReturned
{
    core::WorkerId worker;
};

struct ManifestChanged
{
    std::shared_ptr<const config::Manifest> manifest;
};

struct JobSubmitted
{
    JobSpec spec;
};

struct JobCancelled
{
    core::JobId job;
};

// Replies to StartGang: all members of the gang run.
struct GangStarted
{
    core::JobId job;
    int attempt = 0;
};

// Replies to StartGang: no member of the gang runs, because `worker` refused the start or the start
// was aborted. `worker` may be empty.
struct GangRefused
{
    core::JobId job;
    int attempt = 0;
    core::ResultCode code = core::ResultCode::TargetBusy;
    core::WorkerId worker;
};

// Replies to StopGang: no member of the gang runs any more. It may also arrive without a request,
// when the agents stopped the gang after the loss of a member.
struct GangStopped
{
    core::JobId job;
    int attempt = 0;
};

struct TaskFinished
{
    core::JobId job;
    int attempt = 0;
    int task = 0;
};

// The task exited with a failure.
struct TaskFailed
{
    core::JobId job;
    int attempt = 0;
    int task = 0;
    std::string message;
};

// The task ended without a result, or its member no longer answers.
struct TaskLost
{
    core::JobId job;
    int attempt = 0;
    int task = 0;
};

struct UsageReported
{
    core::JobId job;
    int attempt = 0;
    int task = 0;
    core::Resources used;
};

// Replies to CheckpointGang.
struct CheckpointDone
{
    core::JobId job;
    int attempt = 0;
    bool succeeded = true;
};

// Advances the time. Expected every 100 ms, because an urgent job may wait for a checkpoint to time
// out.
struct Tick
{ };

// Ends the start-up of a new leader: the workers have joined, the manifest is in force, and `jobs`
// are the known jobs. No job is placed before this event.
struct StateRestored
{
    std::vector<RestoredJob> jobs;
};

// The table service became available or unavailable.
struct StoreChanged
{
    bool available = true;
};

using Event = std::variant<WorkerJoined, WorkerChanged, WorkerDraining, WorkerLost, WorkerReturned,
                           ManifestChanged, JobSubmitted, JobCancelled, GangStarted, GangRefused,
                           GangStopped, TaskFinished, TaskFailed, TaskLost, UsageReported,
                           CheckpointDone, Tick, StateRestored, StoreChanged>;

} // namespace oleandercross::scheduling
