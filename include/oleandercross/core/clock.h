#pragma once

#include <absl/synchronization/mutex.h>
#include <absl/time/time.h>

namespace oleandercross::core {

// Monotonic time. The origin is arbitrary, so values of different processes cannot be compared;
// messages between processes carry durations instead.
using Instant = absl::Time;

// Source of monotonic time, replaced in tests.
class Clock
{
public:
    virtual ~Clock() = default;
    virtual Instant now() const = 0;
};

// Reads the system's monotonic clock.
class SteadyClock : public Clock
{
public:
    Instant now() const override;
};

// Reads the monotonic clock that also counts the time during which the machine was suspended, so
// that a process that was frozen sees that its leases are over.
class BootClock : public Clock
{
public:
    Instant now() const override;
};

// A clock that a test moves by hand. Thread safe.
class ManualClock : public Clock
{
public:
    Instant now() const override;
    void advance(absl::Duration by);

private:
    mutable absl::Mutex m_mutex;
    Instant m_now ABSL_GUARDED_BY(m_mutex) = absl::UnixEpoch() + absl::Hours(1);
};

// Wall-clock microseconds since 1970 for span timestamps and job records, never for decisions.
std::int64_t wallClockMicros();

} // namespace oleandercross::core
