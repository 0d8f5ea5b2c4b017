#pragma once

#include <absl/synchronization/mutex.h>
#include <absl/time/time.h>

namespace oleandercross::core {

// A point in monotonic time. The origin is arbitrary, so values from different processes cannot be
// compared; messages between processes carry durations instead.
using Instant = absl::Time;

// Source of monotonic time, replaced by ManualClock in tests.
class Clock
{
public:
    virtual ~Clock() = default;
    virtual Instant now() const = 0;
};

// The system's monotonic clock.
class SteadyClock : public Clock
{
public:
    Instant now() const override;
};

// The monotonic clock that includes time during which the machine was suspended, so that a process
// detects after a resume that its leases have expired.
class BootClock : public Clock
{
public:
    Instant now() const override;
};

// A clock that only changes through advance(), for tests. Thread-safe.
class ManualClock : public Clock
{
public:
    Instant now() const override;
    void advance(absl::Duration by);

private:
    mutable absl::Mutex m_mutex;
    Instant m_now ABSL_GUARDED_BY(m_mutex) = absl::UnixEpoch() + absl::Hours(1);
};

// Returns the wall-clock time in microseconds since the Unix epoch, for span timestamps and job
// records. Must not be used for decisions.
std::int64_t wallClockMicros();

} // namespace oleandercross::core
