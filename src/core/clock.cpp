#include <oleandercross/core/clock.h>

#include <chrono>
#include <ctime>

namespace oleandercross::core {

Instant SteadyClock::now() const
{
    const auto sinceOrigin = std::chrono::steady_clock::now().time_since_epoch();
    return absl::UnixEpoch() + absl::FromChrono(sinceOrigin);
}

Instant BootClock::now() const
{
    timespec time{};
    clock_gettime(CLOCK_BOOTTIME, &time);
    return absl::UnixEpoch() + absl::DurationFromTimespec(time);
}

Instant ManualClock::now() const
{
    absl::MutexLock lock(&m_mutex);
    return m_now;
}

void ManualClock::advance(absl::Duration by)
{
    absl::MutexLock lock(&m_mutex);
    m_now += by;
}

std::int64_t wallClockMicros()
{
    // absl::Now() extrapolates from the CPU's cycle counter and takes seconds to follow an adjusted
    // wall clock.
    const auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::microseconds>(sinceEpoch).count();
}

} // namespace oleandercross::core
