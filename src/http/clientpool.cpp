#include <oleandercross/http/clientpool.h>

#include "clientconnection.h"
#include "sockettraffic.h"

#include <oleandercross/core/clock.h>
#include <oleandercross/core/condvar.h>
#include <oleandercross/core/resultcode.h>

#include <absl/cleanup/cleanup.h>
#include <absl/container/btree_map.h>
#include <absl/strings/ascii.h>
#include <absl/synchronization/mutex.h>
#include <arpa/inet.h>
#include <httplib.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <map>
#include <thread>

namespace oleandercross::http {

namespace {

// A host that is up refuses a connection within this time.
constexpr absl::Duration MaxRefusalTime = absl::Milliseconds(60);

struct PooledClient
{
    std::unique_ptr<detail::ClientConnection> connection;
    core::Instant since;
    // Bytes of this connection that are already included in the totals of the pool.
    Traffic traffic;
};

// Returns true if the host of the endpoint refuses a connection. The HTTP library does not tell a
// refusal from a failure of this process, such as a lack of file descriptors.
bool refuses(const Endpoint &endpoint)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(endpoint.port));
    if (inet_pton(AF_INET, endpoint.address.c_str(), &address.sin_addr) != 1)
        return false;
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (socket < 0)
        return false;
    const absl::Cleanup close = [socket] { ::close(socket); };
    if (connect(socket, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) == 0)
        return false;
    if (errno != EINPROGRESS)
        return errno == ECONNREFUSED;
    pollfd event{socket, POLLOUT, 0};
    if (poll(&event, 1, static_cast<int>(absl::ToInt64Milliseconds(MaxRefusalTime))) <= 0)
        return false;
    int error = 0;
    socklen_t size = sizeof(error);
    return getsockopt(socket, SOL_SOCKET, SO_ERROR, &error, &size) == 0 && error == ECONNREFUSED;
}

core::ResultCode codeOf(httplib::Error error)
{
    switch (error) {
    case httplib::Error::Connection:
    case httplib::Error::BindIPAddress:
    case httplib::Error::SSLConnection:
    case httplib::Error::SSLLoadingCerts:
    case httplib::Error::SSLServerVerification:
    case httplib::Error::ConnectionTimeout:
        return core::ResultCode::ConnectionFailed;
    case httplib::Error::Canceled:
        return core::ResultCode::Timeout;
    default:
        return core::ResultCode::ConnectionLost;
    }
}

Response toResponse(const httplib::Response &from)
{
    Response response;
    response.status = from.status;
    response.body = from.body;
    response.contentType = from.get_header_value("Content-Type");
    for (const auto &[key, value] : from.headers)
        response.headers[absl::AsciiStrToLower(key)] = value;
    return response;
}

bool isExpired(absl::Duration timeout)
{
    if (timeout > absl::ZeroDuration())
        return false;
    core::fail(core::ResultCode::ConnectionFailed, "deadline expired before the request was sent");
    return true;
}

// Returns true if an idle connection is open and can be reused. Data on it is either a second
// response to an earlier request or the end of the stream.
bool hasNoUnreadData(const httplib::ClientImpl &client)
{
    pollfd fd{client.socket(), POLLIN, 0};
    return fd.fd >= 0 && poll(&fd, 1, 0) == 0;
}

// Aborts exchanges at their deadline. The library's timeouts apply to single reads and writes, so a
// peer that sends a byte from time to time could extend an exchange indefinitely.
class Watchdog
{
public:
    Watchdog()
        : m_thread([this] { run(); })
    { }

    ~Watchdog()
    {
        {
            absl::MutexLock lock(&m_mutex);
            m_stopping = true;
            m_changed.signal();
        }
        m_thread.join();
    }

    void add(httplib::ClientImpl *client, core::Instant deadline)
    {
        absl::MutexLock lock(&m_mutex);
        m_deadlines.emplace(deadline, client);
        // Most exchanges end long before their deadline, so few of them need to wake the thread.
        if (deadline < m_wakeAt)
            m_changed.signal();
    }

    void remove(const httplib::ClientImpl *client, core::Instant deadline)
    {
        absl::MutexLock lock(&m_mutex);
        auto [it, end] = m_deadlines.equal_range(deadline);
        while (it != end && it->second != client)
            ++it;
        if (it != end)
            m_deadlines.erase(it);
        else
            removeExpired(client);
    }

private:
    // httplib::ClientImpl::stop() has no effect while the connection is being opened, so it is
    // repeated until the exchange ends.
    static constexpr absl::Duration RepeatInterval = absl::Milliseconds(20);

    void removeExpired(const httplib::ClientImpl *client) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex)
    {
        for (auto it = m_deadlines.begin(); it != m_deadlines.end(); ++it) {
            if (it->second == client) {
                m_deadlines.erase(it);
                return;
            }
        }
    }

    void run()
    {
        absl::MutexLock lock(&m_mutex);
        while (!m_stopping) {
            const auto first = m_deadlines.begin();
            const core::Instant now = m_clock.now();
            m_wakeAt = first == m_deadlines.end() ? absl::InfiniteFuture() : first->first;
            if (m_wakeAt > now) {
                m_changed.waitFor(m_mutex, m_wakeAt - now);
                continue;
            }
            httplib::ClientImpl *client = first->second;
            m_deadlines.erase(first);
            m_deadlines.emplace(now + RepeatInterval, client);
            client->stop();
        }
    }

    const core::SteadyClock m_clock;
    absl::Mutex m_mutex;
    core::CondVar m_changed;
    std::multimap<core::Instant, httplib::ClientImpl *> m_deadlines ABSL_GUARDED_BY(m_mutex);
    core::Instant m_wakeAt ABSL_GUARDED_BY(m_mutex) = absl::InfiniteFuture();
    bool m_stopping ABSL_GUARDED_BY(m_mutex) = false;
    std::thread m_thread;
};

} // namespace

class ClientPool::Private
{
public:
    // Returns an idle connection, preferably one to the given peer, or a new one.
    PooledClient acquire(const Endpoint &endpoint, const std::string &peer = {})
    {
        {
            absl::MutexLock lock(&mutex);
            std::vector<PooledClient> &clients = idle[endpoint];
            const core::Instant oldest = clock.now() - options.maxIdle;
            while (!clients.empty()) {
                PooledClient client = takeIdle(clients, peer);
                if (client.since >= oldest && hasNoUnreadData(client.connection->client()))
                    return client;
            }
        }
        return {detail::makeClientConnection(endpoint, options.tls), {}, {}};
    }

    // Keeps the connection for reuse unless the peer closes it after this response.
    void release(const Endpoint &endpoint, PooledClient client, const Response &response)
    {
        const auto header = response.headers.find("connection");
        if (header != response.headers.end() && absl::AsciiStrToLower(header->second) == "close")
            return;
        client.since = clock.now();
        absl::MutexLock lock(&mutex);
        std::vector<PooledClient> &clients = idle[endpoint];
        if (static_cast<int>(clients.size()) < options.maxIdlePerEndpoint)
            clients.push_back(std::move(client));
    }

    // Adds the bytes transferred since the last call for this connection to the totals.
    void countTraffic(PooledClient &client)
    {
        const Traffic total = detail::socketTraffic(client.connection->client().socket());
        // If the exchange reopened the connection, the kernel's counts started at zero again.
        const Traffic before =
            total.received < client.traffic.received ? Traffic{} : client.traffic;
        received += std::max<std::int64_t>(0, total.received - before.received);
        sent += std::max<std::int64_t>(0, total.sent - before.sent);
        client.traffic = total;
    }

    // Sends a request and waits for the response. The connection may only be reused after success.
    std::optional<Response> exchange(PooledClient &pooled, const Endpoint &endpoint,
                                     const Request &request, absl::Duration timeout);

    void closeIdle(const Endpoint &endpoint)
    {
        absl::MutexLock lock(&mutex);
        idle.erase(endpoint);
    }

    ClientOptions options;
    core::SteadyClock clock;
    std::atomic<std::int64_t> received = 0;
    std::atomic<std::int64_t> sent = 0;
    Watchdog watchdog;
    absl::Mutex mutex;
    absl::btree_map<Endpoint, std::vector<PooledClient>> idle ABSL_GUARDED_BY(mutex);

private:
    static PooledClient takeIdle(std::vector<PooledClient> &clients, const std::string &peer)
    {
        auto chosen = std::prev(clients.end());
        if (!peer.empty()) {
            const auto toPeer =
                std::find_if(clients.begin(), clients.end(), [&peer](const PooledClient &c) {
                    return c.connection->peer() == peer;
                });
            chosen = toPeer == clients.end() ? chosen : toPeer;
        }
        PooledClient client = std::move(*chosen);
        clients.erase(chosen);
        return client;
    }
};

ClientPool::ClientPool(ClientOptions options)
    : d(std::make_unique<Private>())
{
    d->options = std::move(options);
}

ClientPool::~ClientPool() = default;

std::optional<Response> ClientPool::Private::exchange(PooledClient &pooled,
                                                      const Endpoint &endpoint,
                                                      const Request &request,
                                                      absl::Duration timeout)
{
    if (isExpired(timeout))
        return std::nullopt;
    httplib::ClientImpl *client = &pooled.connection->client();
    client->set_connection_timeout(
        absl::ToChronoMilliseconds(std::min(timeout, options.connectTimeout)));
    client->set_read_timeout(absl::ToChronoMilliseconds(timeout));
    client->set_write_timeout(absl::ToChronoMilliseconds(timeout));

    httplib::Request message;
    message.method = request.method;
    message.path = request.path;
    message.body = request.body;
    for (const auto &[key, value] : request.headers)
        message.headers.emplace(key, value);
    if (!request.body.empty() && request.headers.count("content-type") == 0)
        message.headers.emplace("Content-Type", "application/json");

    bool tooLarge = false;
    bool responseStarted = false;
    core::Instant deadline = clock.now() + timeout;
    core::Instant lastProgress = clock.now();
    message.response_handler = [&](const httplib::Response &) {
        responseStarted = true;
        lastProgress = clock.now();
        if (request.transferTime > absl::ZeroDuration()) {
            watchdog.remove(client, deadline);
            deadline += request.transferTime;
            watchdog.add(client, deadline);
        }
        return true;
    };
    message.progress = [&](std::uint64_t current, std::uint64_t total) {
        tooLarge = std::max(current, total) > options.maxBodyBytes;
        lastProgress = clock.now();
        return !tooLarge;
    };
    watchdog.add(client, deadline);
    const httplib::Result result = client->send(message);
    watchdog.remove(client, deadline);
    countTraffic(pooled);
    if (!result) {
        core::ResultCode code = codeOf(result.error());
        const bool lost = code == core::ResultCode::ConnectionLost;
        const core::Instant end = clock.now();
        const bool late = lost && (end >= deadline || end - lastProgress >= timeout);
        if (late && !tooLarge)
            code = core::ResultCode::Timeout;
        else if (tooLarge || (lost && responseStarted))
            code = core::ResultCode::BadAnswer;
        // A fault that makes one connection unresponsive often affects the others as well.
        if (code == core::ResultCode::Timeout)
            closeIdle(endpoint);
        return core::fail(code, toString(endpoint) + ": " + httplib::to_string(result.error()));
    }
    return toResponse(*result);
}

std::optional<Response> ClientPool::send(const Endpoint &endpoint, const Request &request,
                                         absl::Duration timeout, const ResponseCheck &check)
{
    if (isExpired(timeout))
        return std::nullopt;
    PooledClient pooled = d->acquire(endpoint);
    std::optional<Response> response = d->exchange(pooled, endpoint, request, timeout);
    if (!response)
        return std::nullopt;
    if (check && !check(*response))
        return core::fail(core::ResultCode::BadAnswer,
                          toString(endpoint) + ": response does not match the request");
    d->release(endpoint, std::move(pooled), *response);
    return response;
}

std::optional<Response> ClientPool::sendTo(const PeerProof &proof, const Endpoint &endpoint,
                                           const Request &request, absl::Duration timeout)
{
    if (isExpired(timeout))
        return std::nullopt;
    const core::Instant deadline = d->clock.now() + timeout;
    PooledClient pooled = d->acquire(endpoint, proof.peer);
    detail::ClientConnection &connection = *pooled.connection;
    if (connection.peer() != proof.peer) {
        const auto answer = d->exchange(pooled, endpoint, proof.probe, timeout);
        if (!answer)
            return core::fail(core::ResultCode::ConnectionFailed,
                              "not sent, as the peer has not identified itself: "
                                  + core::lastReason().message);
        if (!proof.check(*answer)) {
            d->release(endpoint, std::move(pooled), *answer);
            return core::fail(core::ResultCode::StaleIncarnation,
                              toString(endpoint) + ": the peer is not " + proof.peer);
        }
        connection.setPeer(proof.peer);
    }
    connection.setPinned(true);
    auto response = d->exchange(pooled, endpoint, request, deadline - d->clock.now());
    connection.setPinned(false);
    if (response)
        d->release(endpoint, std::move(pooled), *response);
    return response;
}

Traffic ClientPool::traffic() const
{
    return {d->received, d->sent};
}

void ClientPool::closeIdle(const Endpoint &endpoint)
{
    d->closeIdle(endpoint);
}

bool wasConnectionRefused(const Endpoint &endpoint)
{
    return core::lastReason().code == core::ResultCode::ConnectionFailed && refuses(endpoint);
}

} // namespace oleandercross::http
