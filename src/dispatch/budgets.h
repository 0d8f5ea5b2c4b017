#pragma once

#include <oleandercross/core/clock.h>

#include <algorithm>

namespace oleandercross::dispatch::detail {

// Admits `rate` requests a second on average, with bursts of up to one second's worth.
class TokenBucket
{
public:
    void setRate(double perSecond, core::Instant now)
    {
        refill(now);
        // A new limit starts full, so that a commit does not refuse traffic within the limit.
        m_tokens = m_rate == 0 ? capacity(perSecond) : std::min(m_tokens, capacity(perSecond));
        m_rate = perSecond;
    }

    // Takes a token; always succeeds without a limit.
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

    // Time until the next token.
    absl::Duration untilNext() const
    {
        return m_rate == 0 ? absl::ZeroDuration() : absl::Seconds((1 - m_tokens) / m_rate);
    }

private:
    static double capacity(double rate) { return std::max(1.0, rate); }

    void refill(core::Instant now)
    {
        if (now > m_filled && m_rate > 0) {
            const double added = absl::ToDoubleSeconds(now - m_filled) * m_rate;
            m_tokens = std::min(capacity(m_rate), m_tokens + added);
        }
        m_filled = std::max(m_filled, now);
    }

    double m_rate = 0;
    double m_tokens = 0;
    core::Instant m_filled = absl::InfinitePast();
};

// Limits re-sent attempts to a fraction of first attempts, plus a reserve that lets an entry with
// little traffic retry at all.
class RetryBudget
{
public:
    explicit RetryBudget(double fraction)
        : m_fraction(fraction)
    { }

    static constexpr double Reserve = 10;

    void firstAttempt() { m_tokens = std::min(Reserve, m_tokens + m_fraction); }

    bool take()
    {
        if (m_tokens < 1)
            return false;
        m_tokens -= 1;
        return true;
    }

private:
    double m_fraction;
    double m_tokens = Reserve;
};

} // namespace oleandercross::dispatch::detail
