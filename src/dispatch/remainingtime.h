#pragma once

#include <absl/time/time.h>

namespace oleandercross::dispatch::detail {

// Returns the expected remaining time of a request. Service times are heavy-tailed: a request that
// has exceeded its expected time is likely to run about as long again.
inline absl::Duration remainingTime(absl::Duration expected, absl::Duration elapsed)
{
    return elapsed < expected ? expected - elapsed : elapsed;
}

} // namespace oleandercross::dispatch::detail
