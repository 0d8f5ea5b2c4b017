#include "naiverouter.h"

#include <oleandercross/core/digest.h>

#include <stdexcept>

namespace oleandercross::bench {

namespace {

constexpr int MaxConnections = 2048;
constexpr absl::Duration MinionTimeout = absl::Seconds(30);

http::ServerOptions serverOptions()
{
    http::ServerOptions options;
    options.listen = {"127.0.0.1", 23050};
    options.maxConnections = MaxConnections;
    return options;
}

} // namespace

NaiveRouter::NaiveRouter(std::vector<http::Endpoint> minions, int slotsPerMinion)
    : m_minions(std::move(minions))
    , m_pool(http::ClientOptions{})
    , m_server(serverOptions())
{
    m_server.route("POST", "/", [this](const http::Request &request) { return handle(request); });
    const std::size_t slots = m_minions.size() * slotsPerMinion;
    for (std::size_t i = 0; i < slots; ++i)
        m_threads.emplace_back([this] { dispatchLoop(); });
    if (!m_server.start())
        throw std::runtime_error("the naive router cannot listen on its port");
}

// Answers the queued requests with status 503.
NaiveRouter::~NaiveRouter()
{
    {
        absl::MutexLock lock(&m_mutex);
        m_stopping = true;
        for (PendingRequest *pending : m_queue)
            pending->done.Notify();
        m_queue.clear();
    }
    for (std::thread &thread : m_threads)
        thread.join();
    m_server.stop();
}

http::Endpoint NaiveRouter::endpoint() const
{
    return {"127.0.0.1", m_server.port()};
}

http::Response NaiveRouter::handle(const http::Request &request)
{
    PendingRequest pending;
    pending.body = request.body;
    {
        absl::MutexLock lock(&m_mutex);
        if (m_stopping)
            return {503, {}, {}, {}};
        m_queue.push_back(&pending);
    }
    pending.done.WaitForNotification();
    return pending.response.value_or(http::Response{503, {}, {}, {}});
}

void NaiveRouter::dispatchLoop()
{
    absl::MutexLock lock(&m_mutex);
    while (true) {
        m_mutex.Await(absl::Condition(
            +[](NaiveRouter *self) { return !self->m_queue.empty() || self->m_stopping; }, this));
        if (m_stopping)
            return;
        PendingRequest *pending = m_queue.front();
        m_queue.pop_front();
        const http::Endpoint minion = m_minions[m_nextMinion++ % m_minions.size()];
        m_mutex.Unlock();
        http::Request request;
        request.method = "POST";
        request.path = "/v1/execute";
        request.headers["x-request-id"] = core::randomHexId();
        request.body = pending->body;
        pending->response = m_pool.send(minion, request, MinionTimeout);
        pending->done.Notify();
        m_mutex.Lock();
    }
}

} // namespace oleandercross::bench
