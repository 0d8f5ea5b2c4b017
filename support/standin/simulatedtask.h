#pragma once

#include "taskcommand.h"

#include <oleandercross/core/clock.h>
#include <oleandercross/platform/workercontrol.h>

namespace oleandercross::standin {

// Task of a simulated worker. Its state is computed from the time, without a thread.
class SimulatedTask
{
public:
    SimulatedTask(platform::TaskStart start, core::Instant now, bool failAtOnce);

    // Advances the state to `now`, but not beyond the end of the lease.
    void advance(core::Instant now);

    void stop();
    void checkpoint(core::Instant now);
    void throttle(double share);
    void renew(core::Instant until);

    bool running() const;
    // Returns the status, with the resource usage as of `lag` ago.
    platform::TaskStatus status(absl::Duration lag) const;
    const platform::TaskStart &start() const { return m_start; }
    core::Instant startedAt() const { return m_startedAt; }
    core::Instant endedAt() const { return m_endedAt; }

private:
    void end(platform::TaskState state, core::Instant when, const std::string &message);
    void endIfDone(core::Instant when);
    std::int64_t memoryMb(absl::Duration progress) const;

    platform::TaskStart m_start;
    TaskCommand m_command;
    platform::TaskState m_state = platform::TaskState::Running;
    core::Instant m_startedAt;
    core::Instant m_endedAt = absl::InfiniteFuture();
    core::Instant m_last;
    core::Instant m_leaseUntil;
    core::Instant m_checkpointDone = absl::InfiniteFuture();
    // Run time of the task, weighted by its processor share.
    absl::Duration m_progress;
    double m_share = 1;
    std::string m_checkpoint;
    std::string m_message;
};

} // namespace oleandercross::standin
