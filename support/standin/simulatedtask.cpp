#include "simulatedtask.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>

#include <algorithm>

namespace oleandercross::standin {

namespace {

constexpr absl::Duration MemoryGrowthTime = absl::Seconds(2);
// Minimum processor share of a throttled task.
constexpr double MinShare = 0.01;

// The name of a checkpoint ends with the saved progress in milliseconds.
absl::Duration progressOf(const std::string &checkpoint)
{
    std::int64_t ms = 0;
    const auto colon = checkpoint.rfind(':');
    if (colon == std::string::npos || !absl::SimpleAtoi(checkpoint.substr(colon + 1), &ms))
        return absl::ZeroDuration();
    return absl::Milliseconds(ms);
}

} // namespace

SimulatedTask::SimulatedTask(platform::TaskStart start, core::Instant now, bool failAtOnce)
    : m_start(std::move(start))
    , m_startedAt(now)
    , m_last(now)
    , m_leaseUntil(now + m_start.lease)
    , m_progress(progressOf(m_start.checkpoint))
    , m_checkpoint(m_start.checkpoint)
{
    const auto command = parseTaskCommand(m_start.command);
    m_command = command.value_or(TaskCommand());
    if (failAtOnce)
        end(platform::TaskState::Failed, now, "injected failure");
    else if (!command)
        end(platform::TaskState::Failed, now, "invalid command");
}

void SimulatedTask::advance(core::Instant now)
{
    if (!running())
        return;
    const core::Instant until = std::min(now, m_leaseUntil);
    // A checkpoint saves the progress at its completion.
    const core::Instant pause = std::min(until, m_checkpointDone);
    m_progress += std::max(absl::ZeroDuration(), pause - m_last) * m_share;
    m_last = std::max(m_last, pause);
    endIfDone(pause);
    if (running() && m_checkpointDone <= until) {
        m_checkpoint =
            absl::StrCat("checkpoint:", m_start.taskId, ":", absl::ToInt64Milliseconds(m_progress));
        m_state = platform::TaskState::Running;
        m_checkpointDone = absl::InfiniteFuture();
        m_progress += std::max(absl::ZeroDuration(), until - m_last) * m_share;
        m_last = until;
        endIfDone(until);
    }
    if (running() && now >= m_leaseUntil)
        end(platform::TaskState::Stopped, m_leaseUntil, "lease expired");
}

void SimulatedTask::endIfDone(core::Instant when)
{
    const absl::Duration limit = std::min(m_command.run, m_command.fail);
    if (m_progress < limit)
        return;
    // The task has ended before `when` if the last step went beyond the limit.
    const core::Instant exact = when - (m_progress - limit) / m_share;
    if (m_command.fail <= m_command.run)
        end(platform::TaskState::Failed, exact, "the command failed");
    else
        end(platform::TaskState::Succeeded, exact, "");
}

void SimulatedTask::end(platform::TaskState state, core::Instant when, const std::string &message)
{
    m_state = state;
    m_endedAt = when;
    m_message = message;
}

void SimulatedTask::stop()
{
    if (running())
        end(platform::TaskState::Stopped, m_last, "stopped");
}

void SimulatedTask::checkpoint(core::Instant now)
{
    if (!running() || !m_command.checkpoint || m_state == platform::TaskState::Checkpointing)
        return;
    m_state = platform::TaskState::Checkpointing;
    m_checkpointDone = now + *m_command.checkpoint;
}

void SimulatedTask::throttle(double share)
{
    m_share = std::clamp(share, MinShare, 1.0);
}

void SimulatedTask::renew(core::Instant until)
{
    if (running())
        m_leaseUntil = until;
}

bool SimulatedTask::running() const
{
    return m_state == platform::TaskState::Running || m_state == platform::TaskState::Checkpointing;
}

std::int64_t SimulatedTask::memoryMb(absl::Duration progress) const
{
    if (!m_command.growMb)
        return m_start.resources.memoryMb;
    const double part = std::min(1.0, absl::FDivDuration(progress, MemoryGrowthTime));
    return static_cast<std::int64_t>(part * static_cast<double>(*m_command.growMb));
}

platform::TaskStatus SimulatedTask::status(absl::Duration lag) const
{
    platform::TaskStatus status;
    status.taskId = m_start.taskId;
    status.job = m_start.job;
    status.state = m_state;
    status.declared = m_start.resources;
    status.accelerators = m_start.accelerators;
    status.message = m_message;
    status.checkpoint = m_checkpoint;
    const absl::Duration seen = m_progress - lag * m_share;
    if (seen > absl::ZeroDuration()) {
        status.used = m_start.resources;
        status.used.memoryMb = memoryMb(seen);
    }
    return status;
}

} // namespace oleandercross::standin
