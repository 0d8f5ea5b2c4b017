#pragma once

#include <oleandercross/core/clock.h>

#include <absl/time/time.h>

namespace oleandercross::planning {

// How often a step was pre-empted.
class StopHistory
{
public:
    StopHistory() = default;
    StopHistory(int preemptions, int stops)
        : m_preemptions(preemptions)
        , m_stops(stops)
    { }

    // Records that a gang or another task of the step is pre-empted.
    void recordPreemption(core::Instant now);
    // Returns the number of pre-empted gangs or other tasks.
    int preemptions() const { return m_preemptions; }
    // Returns the number of times at which tasks were pre-empted; several at nearly the same time
    // count once, so that a burst of urgent jobs can pre-empt many tasks of a wide step.
    int stops() const { return m_stops; }

    // Returns the factor by which earlier stops raise the cost of the next one: doubled by each
    // stop, so that stops are not repeated on the same step.
    double costFactor() const;

    // Returns true if the step has been stopped so often that only guaranteed work may stop it
    // again: a gang three times, another step three times its tasks.
    bool isExhausted(int tasks, bool gang) const;

private:
    int m_preemptions = 0;
    int m_stops = 0;
    core::Instant m_stoppedAt = absl::InfinitePast();
};

// The state of an active run that determines how much of its run time a stop throws away.
struct RunAtRisk
{
    bool gang = false;
    // The time since the decision to start the run.
    absl::Duration sinceStart;
    // The time since the run saved its latest new checkpoint; infinite if it has saved none.
    absl::Duration sinceCheckpoint = absl::InfiniteDuration();
    // The next run can start from a checkpoint, which may be from an earlier run.
    bool hasCheckpoint = false;
    // The time from the decision to start the run until its worker confirmed it; not positive if
    // unknown.
    absl::Duration startup;
    // The time until the run is expected to save its next checkpoint; infinite if unknown.
    absl::Duration untilCheckpoint = absl::InfiniteDuration();
};

// Returns the time until a run is expected to save its next checkpoint: a multiple of the interval
// after the latest one or, if it has saved none, after its start.
absl::Duration untilNextCheckpoint(absl::Duration sinceLast, absl::Duration interval);

// Returns the run time that is lost if the run is stopped now: its work since the latest
// checkpoint, the restore from it, and the start-up of a gang. Of a run that saves a checkpoint
// within the stop time, only what follows that checkpoint is lost.
absl::Duration lostTime(const RunAtRisk &run, absl::Duration restoreTime, absl::Duration stopTime);

} // namespace oleandercross::planning
