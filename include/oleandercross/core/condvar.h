#pragma once

#include <absl/synchronization/mutex.h>
#include <absl/time/time.h>

#include <condition_variable>

namespace oleandercross::core {

// A condition variable for absl::Mutex whose timed waits use the monotonic clock. Abseil's timed
// waits use the wall clock and end early or late when it is adjusted.
class CondVar
{
public:
    void signal() { m_condition.notify_one(); }
    void signalAll() { m_condition.notify_all(); }

    // Releases the mutex, which the caller must hold, until a signal or the timeout, and reacquires
    // it. Spurious wakeups are possible.
    void waitFor(absl::Mutex &mutex, absl::Duration timeout);

private:
    std::condition_variable_any m_condition;
};

} // namespace oleandercross::core
