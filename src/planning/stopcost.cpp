#include <oleandercross/planning/stopcost.h>

#include <algorithm>
#include <cmath>

namespace oleandercross::planning {

namespace {

// The smallest loss of a run that starts again from the beginning, so that stopping one that has
// just started is not free. Also the time that the start of a gang takes if it was not measured.
constexpr absl::Duration MinRestartLoss = absl::Milliseconds(300);
// The start of a gang takes longer than this only if orders get lost.
constexpr absl::Duration MaxGangStartup = absl::Seconds(1);
// Pre-emptions within this time are one stop of the step.
constexpr absl::Duration SameStopTime = absl::Milliseconds(500);
// Keeps the factor finite; no budget allows a pre-emption at a thousandth of it.
constexpr int MaxDoublings = 30;
// The number of pre-emptions for each start of the step as a whole after which it is left alone.
constexpr int MaxPreemptionsPerTask = 3;

} // namespace

bool StopHistory::isExhausted(int tasks, bool gang) const
{
    return m_preemptions >= MaxPreemptionsPerTask * (gang ? 1 : tasks);
}

void StopHistory::recordPreemption(core::Instant now)
{
    ++m_preemptions;
    if (now - m_stoppedAt <= SameStopTime)
        return;
    ++m_stops;
    m_stoppedAt = now;
}

double StopHistory::costFactor() const
{
    return std::ldexp(1.0, std::clamp(m_stops, 0, MaxDoublings));
}

absl::Duration untilNextCheckpoint(absl::Duration sinceLast, absl::Duration interval)
{
    if (interval <= absl::ZeroDuration() || interval == absl::InfiniteDuration())
        return absl::InfiniteDuration();
    return interval - sinceLast % interval;
}

absl::Duration lostTime(const RunAtRisk &run, absl::Duration restoreTime, absl::Duration stopTime)
{
    absl::Duration lost = std::min(run.sinceStart, run.sinceCheckpoint);
    bool hasCheckpoint = run.hasCheckpoint;
    if (run.untilCheckpoint <= stopTime && stopTime - run.untilCheckpoint < lost) {
        lost = stopTime - run.untilCheckpoint;
        hasCheckpoint = true;
    }
    if (hasCheckpoint)
        lost += restoreTime;
    if (run.gang)
        return lost + std::clamp(run.startup, MinRestartLoss, MaxGangStartup);
    return hasCheckpoint ? lost : lost + MinRestartLoss;
}

} // namespace oleandercross::planning
