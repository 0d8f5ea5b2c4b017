#include "circuitbreaker.h"

#include <algorithm>

namespace oleandercross::dispatch::detail {

namespace {

constexpr double FailuresToOpen = 3;
constexpr double MinionFailureWeight = 0.3;
constexpr absl::Duration FirstBackOff = absl::Seconds(1);
constexpr absl::Duration LongestBackOff = absl::Seconds(16);

} // namespace

void CircuitBreaker::succeeded()
{
    close();
}

bool CircuitBreaker::failed()
{
    return add(1);
}

bool CircuitBreaker::minionFailed()
{
    return add(MinionFailureWeight);
}

bool CircuitBreaker::add(double failures)
{
    m_failures += failures;
    return m_failures >= FailuresToOpen;
}

void CircuitBreaker::open(core::Instant now)
{
    m_backOff = m_open ? std::min(2 * m_backOff, LongestBackOff) : FirstBackOff;
    if (!m_open)
        m_opened = now;
    m_open = true;
    m_probeAt = now + m_backOff;
}

void CircuitBreaker::close()
{
    m_open = false;
    m_failures = 0;
}

bool CircuitBreaker::probeDue(bool idempotent, core::Instant now) const
{
    return now >= (idempotent ? m_probeAt : m_probeAt + m_backOff);
}

} // namespace oleandercross::dispatch::detail
