#pragma once

#include "taskcommand.h"

#include <oleandercross/core/clock.h>
#include <oleandercross/platform/workercontrol.h>

namespace oleandercross::standin {

// One task of a worker. Its state follows from the time, without a thread.
class SimulatedTask
{
public:
    SimulatedTask(platform::TaskStart start, core::Instant now, bool failAtOnce);

    // Brings the state up to `now`, at most until the lease ends.
    void advance(core::Instant now);

    void stop();
    void checkpoint(core::Instant now);
    void throttle(double share);
    void renew(core::Instant until);

    bool running() const;
    // Usage is reported as it was `lag` ago.
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
    // Time that the task would have run unthrottled.
    absl::Duration m_progress;
    double m_share = 1;
    std::string m_checkpoint;
    std::string m_message;
};

} // namespace oleandercross::standin
