#pragma once

#include <oleandercross/core/clock.h>

#include <absl/time/time.h>

namespace oleandercross::planning {

// The value of a job that completes late, relative to one that completes within its latency
// objective.
inline constexpr double LateValueFraction = 0.25;

// The expected value of a job by the time at which it completes, in accelerator-weighted core
// seconds. The value falls at the deadline and at the zero-value time; since the completion time is
// an estimate, it falls smoothly around them.
struct ValueCurve
{
    double value = 0;
    core::Instant deadline;
    core::Instant zeroValueAt;
    // The standard error of the estimated completion time.
    absl::Duration uncertainty;

    double at(core::Instant completion) const;
};

} // namespace oleandercross::planning
