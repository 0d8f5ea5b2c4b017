#pragma once

#include <absl/synchronization/mutex.h>
#include <httplib.h>

#include <deque>
#include <thread>
#include <vector>

namespace oleandercross::http::detail {

// Runs each connection of a server on a thread. Threads are started up to a limit, beyond which
// connections wait in a bounded queue. When the queue is full, connections run on one separate
// thread, on which isRefusalThread() is true, so that every client receives a response.
class ConnectionThreads : public httplib::TaskQueue
{
public:
    ConnectionThreads(int maxThreads, int maxWaiting);
    ~ConnectionThreads() override;

    void enqueue(std::function<void()> task) override;
    void shutdown() override;

    // Returns true while connections wait for a thread.
    bool hasBacklog() const;

    // Returns true on the thread that only refuses connections.
    static bool isRefusalThread();

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
    std::thread m_refusalThread;
};

} // namespace oleandercross::http::detail
