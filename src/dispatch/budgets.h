#pragma once

#include <oleandercross/core/clock.h>

#include <algorithm>

namespace oleandercross::dispatch::detail {

// Token bucket that limits the average rate of requests. Bursts are limited to the tokens of one
// second.
class TokenBucket
{
public:
    // Sets the limit; 0 means no limit, which is also the initial state.
    void setRate(double perSecond, core::Instant now)
    {
        refill(now);
        // A new limit starts with a full bucket, so that a configuration change does not cause
        // refusals of traffic that is within the limit.
        m_tokens = m_rate == 0 ? capacity(perSecond) : std::min(m_tokens, capacity(perSecond));
        m_rate = perSecond;
    }

    // Takes a token and returns true if one is available. Always succeeds if there is no limit.
    bool take(core::Instant now)
    {
        refill(now);
        if (m_rate == 0)
            return true;
        if (m_tokens < 1)
            return false;
        m_tokens -= 1;
        return true;
    }

    // Returns the time until the next token is available.
    absl::Duration timeUntilToken() const
    {
        return m_rate == 0 ? absl::ZeroDuration() : absl::Seconds((1 - m_tokens) / m_rate);
    }

private:
    static double capacity(double rate) { return std::max(1.0, rate); }

    void refill(core::Instant now)
    {
        if (now > m_lastRefill && m_rate > 0) {
            const double added = absl::ToDoubleSeconds(now - m_lastRefill) * m_rate;
            m_tokens = std::min(capacity(m_rate), m_tokens + added);
        }
        m_lastRefill = std::max(m_lastRefill, now);
    }

    double m_rate = 0;
    double m_tokens = 0;
    core::Instant m_lastRefill = absl::InfinitePast();
};

// Limits retries to a fraction of first attempts. The balance starts at MaxTokens and never exceeds
// it, which allows retries at entries with little traffic.
class RetryBudget
{
public:
    explicit RetryBudget(double fraction)
        : m_fraction(fraction)
    { }

    static constexpr double MaxTokens = 10;

    void recordFirstAttempt() { m_tokens = std::min(MaxTokens, m_tokens + m_fraction); }

    bool take()
    {
        if (m_tokens < 1)
            return false;
        m_tokens -= 1;
        return true;
    }

private:
    double m_fraction;
    double m_tokens = MaxTokens;
};

} // namespace oleandercross::dispatch::detail
