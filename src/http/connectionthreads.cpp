#include "connectionthreads.h"

namespace oleandercross::http::detail {

namespace {

thread_local bool onRefusalThread = false;

} // namespace

ConnectionThreads::ConnectionThreads(int maxThreads, int maxWaiting)
    : m_maxThreads(maxThreads)
    , m_maxWaiting(maxWaiting)
    , m_refusalThread([this] { refuse(); })
{ }

ConnectionThreads::~ConnectionThreads() = default;

bool ConnectionThreads::isRefusalThread()
{
    return onRefusalThread;
}

bool ConnectionThreads::hasBacklog() const
{
    absl::MutexLock lock(&m_mutex);
    return static_cast<int>(m_waiting.size()) > m_idle;
}

void ConnectionThreads::enqueue(std::function<void()> task)
{
    absl::MutexLock lock(&m_mutex);
    const int waiting = static_cast<int>(m_waiting.size());
    if (waiting < m_idle) {
        m_waiting.push_back(std::move(task));
        return;
    }
    if (static_cast<int>(m_threads.size()) < m_maxThreads) {
        m_waiting.push_back(std::move(task));
        m_threads.emplace_back([this] { serve(); });
        return;
    }
    if (waiting < m_maxWaiting)
        m_waiting.push_back(std::move(task));
    else
        m_refused.push_back(std::move(task));
}

void ConnectionThreads::serve()
{
    absl::MutexLock lock(&m_mutex);
    while (true) {
        ++m_idle;
        m_mutex.Await(absl::Condition(
            +[](ConnectionThreads *self) { return !self->m_waiting.empty() || self->m_stopping; },
            this));
        --m_idle;
        if (m_waiting.empty())
            return;
        const std::function<void()> task = std::move(m_waiting.front());
        m_waiting.pop_front();
        m_mutex.Unlock();
        task();
        m_mutex.Lock();
    }
}

void ConnectionThreads::refuse()
{
    onRefusalThread = true;
    absl::MutexLock lock(&m_mutex);
    while (true) {
        m_mutex.Await(absl::Condition(
            +[](ConnectionThreads *self) { return !self->m_refused.empty() || self->m_stopping; },
            this));
        if (m_refused.empty())
            return;
        const std::function<void()> task = std::move(m_refused.front());
        m_refused.pop_front();
        m_mutex.Unlock();
        task();
        m_mutex.Lock();
    }
}

void ConnectionThreads::shutdown()
{
    std::vector<std::thread> threads;
    {
        absl::MutexLock lock(&m_mutex);
        m_stopping = true;
        threads.swap(m_threads);
    }
    for (std::thread &thread : threads)
        thread.join();
    m_refusalThread.join();
}

} // namespace oleandercross::http::detail
