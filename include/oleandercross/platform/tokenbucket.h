#pragma once

#include <oleandercross/core/clock.h>

namespace oleandercross::platform {

// A token bucket rate limiter. Tokens are added at a constant rate up to `burst`, which bounds the
// number of calls after a long pause. Not thread-safe.
class TokenBucket
{
public:
    // Starts with a full bucket. Both arguments must be positive.
    TokenBucket(double perSecond, double burst);

    // Takes a token and returns true, or returns false if none is available.
    bool take(core::Instant now);

    // Returns the time at which a token will be available, which is `now` if there is one.
    core::Instant nextTokenTime(core::Instant now);

private:
    void refill(core::Instant now);

    const double m_perSecond;
    const double m_burst;
    double m_tokens;
    core::Instant m_lastRefill = absl::InfinitePast();
};

} // namespace oleandercross::platform
