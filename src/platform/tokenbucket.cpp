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

core::Instant TokenBucket::nextTokenTime(core::Instant now)
{
    refill(now);
    if (m_tokens >= 1)
        return now;
    // Rounded up, so that rounding errors do not leave a fraction of a token missing at that time.
    return now + absl::Seconds((1 - m_tokens) / m_perSecond) + absl::Microseconds(1);
}

void TokenBucket::refill(core::Instant now)
{
    if (m_lastRefill != absl::InfinitePast() && now > m_lastRefill) {
        const double added = absl::ToDoubleSeconds(now - m_lastRefill) * m_perSecond;
        m_tokens = std::min(m_burst, m_tokens + added);
    }
    m_lastRefill = std::max(m_lastRefill, now);
}

} // namespace oleandercross::platform
