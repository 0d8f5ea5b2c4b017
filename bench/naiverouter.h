#pragma once

#include <oleandercross/http/clientpool.h>
#include <oleandercross/http/server.h>

#include <absl/synchronization/mutex.h>
#include <absl/synchronization/notification.h>

#include <deque>
#include <thread>
#include <vector>

namespace oleandercross::bench {

// Baseline router with one FIFO queue and one thread per slot. The threads send to the minions in
// round-robin order. There are no request classes, accounts or deadlines, and the queue is bounded
// only by the number of the server's connections.
class NaiveRouter
{
public:
    NaiveRouter(std::vector<http::Endpoint> minions, int slotsPerMinion);
    ~NaiveRouter();
    NaiveRouter(const NaiveRouter &) = delete;
    NaiveRouter &operator=(const NaiveRouter &) = delete;

    http::Endpoint endpoint() const;

private:
    struct PendingRequest
    {
        std::string body;
        std::optional<http::Response> response;
        absl::Notification done;
    };

    http::Response handle(const http::Request &request);
    void dispatchLoop();

    const std::vector<http::Endpoint> m_minions;
    http::ClientPool m_pool;
    absl::Mutex m_mutex;
    std::deque<PendingRequest *> m_queue ABSL_GUARDED_BY(m_mutex);
    std::size_t m_nextMinion ABSL_GUARDED_BY(m_mutex) = 0;
    bool m_stopping ABSL_GUARDED_BY(m_mutex) = false;
    std::vector<std::thread> m_threads;
    http::Server m_server;
};

} // namespace oleandercross::bench
