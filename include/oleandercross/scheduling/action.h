#pragma once

#include <oleandercross/config/manifest.h>
#include <oleandercross/core/resultcode.h>
#include <oleandercross/scheduling/job.h>

#include <string>
#include <variant>
#include <vector>

namespace oleandercross::scheduling {

// Starts all tasks of a job. The reply is GangStarted or GangRefused.
struct StartGang
{
    core::JobId job;
    int attempt = 0;
    Placement placement;
    core::Resources perTask;
    bool resume = false;
};

// Stops all tasks of a job. The reply is GangStopped, also if no task runs.
struct StopGang
{
    core::JobId job;
    int attempt = 0;
};

// Checkpoints all tasks of a job. The reply is CheckpointDone. StopGang follows after a bounded
// time even without a reply.
struct CheckpointGang
{
    core::JobId job;
    int attempt = 0;
};

// Limits a task to a share of its processors, 0 < share <= 1.
struct ThrottleTask
{
    core::JobId job;
    int attempt = 0;
    int task = 0;
    double share = 1;
};

// Reports that the job will be started again with larger tasks.
struct RequeueLarger
{
    core::JobId job;
    core::Resources perTask;
};

// Reports a job's new state. The code is Ok unless the job failed, was cancelled or was refused. A
// refused submission has the state Failed with a code of class 2xx or 3xx and leaves no record.
struct JobStateChanged
{
    core::JobId job;
    JobState state = JobState::Waiting;
    core::ResultCode code = core::ResultCode::Ok;
    std::string message;
};

// Whether a worker is in service. A worker leaves quarantine on probation.
enum class HealthState { Healthy, Quarantined, Probation };

struct QuarantineChanged
{
    core::WorkerId worker;
    HealthState healthState = HealthState::Healthy;
};

// The number of unclaimed cells of a level that cannot be placed at present.
struct MissingCells
{
    config::Level level = config::Level::Accelerator;
    int count = 0;

    friend bool operator==(const MissingCells &, const MissingCells &) = default;
};

// Reports the part of an account's guarantee that cannot be met because workers are unavailable.
// `missing` is empty when the guarantee can be met again.
struct ShortfallChanged
{
    core::AccountId account;
    std::vector<MissingCells> missing;
};

using Action = std::variant<StartGang, StopGang, CheckpointGang, ThrottleTask, RequeueLarger,
                            JobStateChanged, QuarantineChanged, ShortfallChanged>;

} // namespace oleandercross::scheduling
