#include <oleandercross/core/executor.h>

namespace oleandercross::core {

Executor::Executor(int threadCount)
{
    for (int i = 0; i < threadCount; ++i)
        m_threads.emplace_back([this] { runThread(); });
}

Executor::~Executor()
{
    stop();
}

void Executor::post(Task task)
{
    after(absl::ZeroDuration(), std::move(task));
}

void Executor::after(absl::Duration delay, Task task)
{
    absl::MutexLock lock(&m_mutex);
    if (!m_stopping)
        m_tasks.emplace(m_clock.now() + delay, std::move(task));
    m_tasksChanged.signal();
}

void Executor::every(absl::Duration period, Task task)
{
    repeat([period, task = std::move(task)] {
        task();
        return period;
    });
}

void Executor::repeat(std::function<absl::Duration()> task)
{
    post([this, task = std::move(task)] { runAndRepeat(task); });
}

void Executor::runAndRepeat(const std::function<absl::Duration()> &task)
{
    const absl::Duration delay = task();
    after(delay, [this, task] { runAndRepeat(task); });
}

void Executor::stop()
{
    {
        absl::MutexLock lock(&m_mutex);
        m_stopping = true;
        m_tasks.clear();
        m_tasksChanged.signalAll();
    }
    for (std::thread &thread : m_threads) {
        if (thread.joinable())
            thread.join();
    }
}

void Executor::runThread()
{
    const auto mayProceed = [this] {
        m_mutex.AssertHeld();
        return m_stopping || (!m_tasks.empty() && !m_hasTimedWaiter);
    };
    absl::MutexLock lock(&m_mutex);
    while (true) {
        m_mutex.Await(absl::Condition(&mayProceed));
        if (m_stopping)
            return;
        const auto first = m_tasks.begin();
        const Instant dueTime = first->first;
        const absl::Duration wait = dueTime - m_clock.now();
        if (wait > absl::ZeroDuration()) {
            waitUntilDue(dueTime, wait);
            continue;
        }
        const Task task = std::move(first->second);
        m_tasks.erase(first);
        m_mutex.Unlock();
        task();
        m_mutex.Lock();
    }
}

// Called by one thread at a time, since otherwise all idle threads would wake up for every task.
void Executor::waitUntilDue(Instant dueTime, absl::Duration wait)
{
    m_hasTimedWaiter = true;
    while (!m_stopping && !m_tasks.empty() && m_tasks.begin()->first >= dueTime
           && wait > absl::ZeroDuration()) {
        m_tasksChanged.waitFor(m_mutex, wait);
        wait = dueTime - m_clock.now();
    }
    m_hasTimedWaiter = false;
}

} // namespace oleandercross::core
