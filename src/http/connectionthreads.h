#pragma once

#include <absl/synchronization/mutex.h>
#include <httplib.h>

#include <deque>
#include <thread>
#include <vector>

namespace oleandercross::http::detail {

// Runs each connection of a server on a thread. Threads are started up to a limit, then
// connections wait in a bounded queue; beyond that they are handed to one thread that runs them
// with `refusing()` set, so that every caller gets an answer.
class ConnectionThreads : public httplib::TaskQueue
{
public:
    ConnectionThreads(int maxThreads, int maxWaiting);
    ~ConnectionThreads() override;

    void enqueue(std::function<void()> task) override;
    void shutdown() override;

    // True while connections wait for a thread.
    bool crowded() const;

    // True on the thread that only refuses connections.
    static bool refusing();

private:
    void serve();
    void refuse();

    const int m_maxThreads;
    const int m_maxWaiting;
    mutable absl::Mutex m_mutex;
    std::deque<std::function<void()>> m_waiting ABSL_GUARDED_BY(m_mutex);
    std::deque<std::function<void()>> m_refused ABSL_GUARDED_BY(m_mutex);
    std::vector<std::thread> m_threads ABSL_GUARDED_BY(m_mutex);
    int m_idle ABSL_GUARDED_BY(m_mutex) = 0;
    bool m_stopping ABSL_GUARDED_BY(m_mutex) = false;
    std::thread m_refuser;
};

} // namespace oleandercross::http::detail
