#pragma once

#include <oleandercross/core/clock.h>

namespace oleandercross::dispatch::detail {

// Counts failures of one target in a row. Whether an open breaker takes the target out is decided
// by TargetSet, which bounds the number of targets that are out.
class CircuitBreaker
{
public:
    // The target gave an answer that the request's caller can use.
    void succeeded();

    // The target could not be reached or did not answer. Returns true if the breaker should open.
    bool failed();

    // The minion reported a failure. Bad requests cause these too, so more of them are needed.
    bool minionFailed();

    void open(core::Instant now);
    void close();

    bool isOpen() const { return m_open; }
    core::Instant opened() const { return m_opened; }

    // True when one request may test an open target. `idempotent` ones go first, because a failing
    // probe may leave its outcome unknown.
    bool probeDue(bool idempotent, core::Instant now) const;

private:
    bool add(double failures);

    bool m_open = false;
    double m_failures = 0;
    absl::Duration m_backOff;
    core::Instant m_opened;
    core::Instant m_probeAt;
};

} // namespace oleandercross::dispatch::detail
