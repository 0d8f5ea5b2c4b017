#include <oleandercross/core/condvar.h>

#include <algorithm>
#include <chrono>

namespace oleandercross::core {

namespace {

// Longer waits are shortened to keep the sum of current time and timeout from overflowing.
constexpr absl::Duration MaxWait = absl::Hours(24);

// Adapts absl::Mutex to the BasicLockable requirements of the standard library.
class LockableMutex
{
public:
    explicit LockableMutex(absl::Mutex &mutex)
        : m_mutex(mutex)
    { }

    void lock() ABSL_NO_THREAD_SAFETY_ANALYSIS { m_mutex.Lock(); }
    void unlock() ABSL_NO_THREAD_SAFETY_ANALYSIS { m_mutex.Unlock(); }

private:
    absl::Mutex &m_mutex;
};

} // namespace

void CondVar::waitFor(absl::Mutex &mutex, absl::Duration timeout)
{
    if (timeout <= absl::ZeroDuration())
        return;
    LockableMutex lock(mutex);
    m_condition.wait_for(lock, absl::ToChronoNanoseconds(std::min(timeout, MaxWait)));
}

} // namespace oleandercross::core
