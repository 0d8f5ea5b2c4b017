#pragma once

#include <oleandercross/config/manifest.h>
#include <oleandercross/core/resultcode.h>
#include <oleandercross/scheduling/job.h>

#include <string>
#include <variant>
#include <vector>

namespace oleandercross::scheduling {

// Start all tasks of a job; answered by GangStarted or GangRefused.
struct StartGang
{
    core::JobId job;
    int attempt = 0;
    Placement placement;
    core::Resources perTask;
    bool resume = false;
};

// Stop all tasks of a job; answered by GangStopped, also if none runs.
struct StopGang
{
    core::JobId job;
    int attempt = 0;
};

// Checkpoint all tasks; answered by CheckpointDone. A stop follows after a bounded time in any
// case.
struct CheckpointGang
{
    core::JobId job;
    int attempt = 0;
};

// Limit a task to a share of its processors, 0 < share <= 1.
struct ThrottleTask
{
    core::JobId job;
    int attempt = 0;
    int task = 0;
    double share = 1;
};

// The job is started again with larger tasks.
struct RequeueLarger
{
    core::JobId job;
    core::Resources perTask;
};

// Ok unless the job failed, was cancelled or was refused. A refused submission has the state Failed
// with a code of class 2xx or 3xx and leaves no record.
struct JobStateChanged
{
    core::JobId job;
    JobState state = JobState::Waiting;
    core::ResultCode code = core::ResultCode::Ok;
    std::string message;
};

enum class Standing { Healthy, Quarantined, Probation };

struct QuarantineChanged
{
    core::WorkerId worker;
    Standing standing = Standing::Healthy;
};

// Unclaimed cells of a level that cannot be placed at present.
struct MissingCells
{
    config::Level level = config::Level::Accelerator;
    int count = 0;

    friend bool operator==(const MissingCells &, const MissingCells &) = default;
};

// The part of an account's guarantee that lost hosts make impossible; empty when it is restored.
struct ShortfallChanged
{
    core::AccountId account;
    std::vector<MissingCells> missing;
};

using Action = std::variant<StartGang, StopGang, CheckpointGang, ThrottleTask, RequeueLarger,
                            JobStateChanged, QuarantineChanged, ShortfallChanged>;

} // namespace oleandercross::scheduling
