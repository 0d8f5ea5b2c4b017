#include <oleandercross/core/executor.h>

namespace oleandercross::core {

namespace {

constexpr absl::Duration MaxWait = absl::Seconds(1);

} // namespace

Executor::Executor(int threads)
{
    for (int i = 0; i < threads; ++i)
        m_threads.emplace_back([this] { serve(); });
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
    post([this, task = std::move(task)]() mutable {
        const absl::Duration delay = task();
        after(delay, [this, task = std::move(task)]() mutable { repeat(std::move(task)); });
    });
}

void Executor::stop()
{
    {
        absl::MutexLock lock(&m_mutex);
        m_stopping = true;
        m_tasks.clear();
    }
    for (std::thread &thread : m_threads) {
        if (thread.joinable())
            thread.join();
    }
}

void Executor::serve()
{
    absl::MutexLock lock(&m_mutex);
    while (!m_stopping) {
        const Instant now = m_clock.now();
        const auto first = m_tasks.begin();
        if (first != m_tasks.end() && first->first <= now) {
            const Task task = std::move(first->second);
            m_tasks.erase(first);
            m_mutex.Unlock();
            task();
            m_mutex.Lock();
            continue;
        }
        const absl::Duration wait = first == m_tasks.end() ? MaxWait : first->first - now;
        const Instant next = first == m_tasks.end() ? absl::InfiniteFuture() : first->first;
        const auto changed = [this, next] {
            m_mutex.AssertHeld();
            return m_stopping || (!m_tasks.empty() && m_tasks.begin()->first < next);
        };
        m_mutex.AwaitWithTimeout(absl::Condition(&changed), wait);
    }
}

} // namespace oleandercross::core
