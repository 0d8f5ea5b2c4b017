#pragma once

#include <oleandercross/http/clientpool.h>
#include <oleandercross/http/server.h>

#include <absl/synchronization/mutex.h>
#include <absl/synchronization/notification.h>

#include <deque>
#include <thread>
#include <vector>

namespace oleandercross::bench {

// Baseline: one first-come first-served queue and one thread per slot, which sends to the minions
// in turn. It knows neither classes nor accounts nor deadlines, and its queue has no bound but the
// server's connections.
class NaiveRouter
{
public:
    NaiveRouter(std::vector<http::Endpoint> minions, int slotsPerMinion);
    ~NaiveRouter();
    NaiveRouter(const NaiveRouter &) = delete;
    NaiveRouter &operator=(const NaiveRouter &) = delete;

    http::Endpoint endpoint() const;

private:
    struct Job
    {
        std::string body;
        std::optional<http::Response> response;
        absl::Notification done;
    };

    http::Response handle(const http::Request &request);
    void serve();

    const std::vector<http::Endpoint> m_minions;
    http::ClientPool m_pool;
    absl::Mutex m_mutex;
    std::deque<Job *> m_queue ABSL_GUARDED_BY(m_mutex);
    std::size_t m_turn ABSL_GUARDED_BY(m_mutex) = 0;
    bool m_stopping ABSL_GUARDED_BY(m_mutex) = false;
    std::vector<std::thread> m_threads;
    http::Server m_server;
};

} // namespace oleandercross::bench
