#pragma once

#include <oleandercross/core/clock.h>

namespace oleandercross::platform {

// Limits a rate. Tokens come in steadily and at most `burst` are kept, so a long pause does not
// allow a flood afterwards. Not thread safe.
class TokenBucket
{
public:
    // Starts full. Both numbers are positive.
    TokenBucket(double perSecond, double burst);

    // Takes a token if there is one.
    bool take(core::Instant now);

    // When a token will be there, `now` if there is one.
    core::Instant ready(core::Instant now);

private:
    void refill(core::Instant now);

    const double m_perSecond;
    const double m_burst;
    double m_tokens;
    core::Instant m_refilled = absl::InfinitePast();
};

} // namespace oleandercross::platform
