#pragma once

#include <oleandercross/core/clock.h>

namespace oleandercross::dispatch::detail {

// Circuit breaker of one target, which counts consecutive failures. TargetSet decides whether it
// opens, because it bounds the number of ejected targets.
class CircuitBreaker
{
public:
    // Records an answer that reports success.
    void recordSuccess();

    // Records that the target was unreachable or did not answer. Returns true if the breaker should
    // open.
    bool recordFailure();

    // Records a failure that the minion reported. It has a lower weight, because invalid requests
    // cause such failures too. Returns true if the breaker should open.
    bool recordMinionFailure();

    void open(core::Instant now);
    void close();

    bool isOpen() const { return m_open; }
    core::Instant openedAt() const { return m_openedAt; }

    // Returns true if one request may probe the target while the breaker is open. Idempotent
    // requests are used earlier than others, because the outcome of a failed probe may be unknown.
    bool isProbeDue(bool idempotent, core::Instant now) const;

private:
    bool addFailures(double failures);

    bool m_open = false;
    double m_failures = 0;
    absl::Duration m_backOff;
    core::Instant m_openedAt;
    core::Instant m_nextProbeAt;
};

} // namespace oleandercross::dispatch::detail
