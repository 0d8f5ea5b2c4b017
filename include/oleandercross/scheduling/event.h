#pragma once

#include <oleandercross/config/manifest.h>
#include <oleandercross/core/resultcode.h>
#include <oleandercross/scheduling/job.h>

#include <memory>
#include <variant>
#include <vector>

namespace oleandercross::scheduling {

// A worker announced itself, came back after a loss, or changed its size or rack. Joining with
// other values than before counts as a change.
struct WorkerJoined
{
    core::WorkerId worker;
    core::RackId rack;
    core::Resources resources;
};

struct WorkerChanged
{
    core::WorkerId worker;
    core::RackId rack;
    core::Resources resources;
};

// Starts or ends a planned drain; tasks on a draining worker are checkpointed and moved.
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

// All members of the gang run.
struct GangStarted
{
    core::JobId job;
    int attempt = 0;
};

// No member of the gang runs, because `worker` (may be empty) refused or the start was aborted.
struct GangRefused
{
    core::JobId job;
    int attempt = 0;
    core::ResultCode code = core::ResultCode::TargetBusy;
    core::WorkerId worker;
};

// Answers StopGang: no member of the gang runs any more.
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

// The task is gone without a result, or its member no longer answers.
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

// Answers CheckpointGang.
struct CheckpointDone
{
    core::JobId job;
    int attempt = 0;
    bool succeeded = true;
};

// Time passed; expected every 100 ms, since an urgent job waits for the end of a grace period.
struct Tick
{ };

// Ends the start-up of a new leader: workers have joined, the manifest is known, and these are the
// jobs. Nothing is placed before.
struct StateRestored
{
    std::vector<RestoredJob> jobs;
};

struct StoreChanged
{
    bool available = true;
};

using Event = std::variant<WorkerJoined, WorkerChanged, WorkerDraining, WorkerLost, WorkerReturned,
                           ManifestChanged, JobSubmitted, JobCancelled, GangStarted, GangRefused,
                           GangStopped, TaskFinished, TaskFailed, TaskLost, UsageReported,
                           CheckpointDone, Tick, StateRestored, StoreChanged>;

} // namespace oleandercross::scheduling
