#include <oleandercross/platform/tokenbucket.h>

#include <algorithm>

namespace oleandercross::platform {

TokenBucket::TokenBucket(double perSecond, double burst)
    : m_perSecond(perSecond)
    , m_burst(burst)
    , m_tokens(burst)
{ }

bool TokenBucket::take(core::Instant now)
{
    refill(now);
    if (m_tokens < 1)
        return false;
    m_tokens -= 1;
    return true;
}

core::Instant TokenBucket::ready(core::Instant now)
{
    refill(now);
    if (m_tokens >= 1)
        return now;
    // Rounded up, or the token would be a fraction short at that time.
    return now + absl::Seconds((1 - m_tokens) / m_perSecond) + absl::Microseconds(1);
}

void TokenBucket::refill(core::Instant now)
{
    if (m_refilled != absl::InfinitePast() && now > m_refilled) {
        const double gained = absl::ToDoubleSeconds(now - m_refilled) * m_perSecond;
        m_tokens = std::min(m_burst, m_tokens + gained);
    }
    m_refilled = std::max(m_refilled, now);
}

} // namespace oleandercross::platform
