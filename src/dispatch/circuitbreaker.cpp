#include "circuitbreaker.h"

#include <algorithm>

namespace oleandercross::dispatch::detail {

namespace {

constexpr double FailureThreshold = 3;
constexpr double MinionFailureWeight = 0.3;
constexpr absl::Duration InitialBackOff = absl::Seconds(1);
constexpr absl::Duration MaxBackOff = absl::Seconds(16);

} // namespace

void CircuitBreaker::recordSuccess()
{
    close();
}

bool CircuitBreaker::recordFailure()
{
    return addFailures(1);
}

bool CircuitBreaker::recordMinionFailure()
{
    return addFailures(MinionFailureWeight);
}

bool CircuitBreaker::addFailures(double failures)
{
    m_failures += failures;
    return m_failures >= FailureThreshold;
}

void CircuitBreaker::open(core::Instant now)
{
    m_backOff = m_open ? std::min(2 * m_backOff, MaxBackOff) : InitialBackOff;
    if (!m_open)
        m_openedAt = now;
    m_open = true;
    m_nextProbeAt = now + m_backOff;
}

void CircuitBreaker::close()
{
    m_open = false;
    m_failures = 0;
}

bool CircuitBreaker::isProbeDue(bool idempotent, core::Instant now) const
{
    return now >= (idempotent ? m_nextProbeAt : m_nextProbeAt + m_backOff);
}

} // namespace oleandercross::dispatch::detail
