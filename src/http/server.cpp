#include <oleandercross/http/server.h>

#include "connectionthreads.h"

#include <oleandercross/core/clock.h>
#include <oleandercross/core/resultcode.h>

#include <absl/strings/ascii.h>
#include <absl/strings/str_cat.h>
#include <httplib.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>

#include <atomic>
#include <thread>

namespace oleandercross::http {

namespace {

// The kernel closes a connection if sent data stays unacknowledged for this time.
constexpr int TcpUserTimeoutMs = 2000;
constexpr int ListenBacklog = 1024;
// Limits how long one slow peer delays the thread that all refused connections share. Applies to
// reading the request and to waiting for the peer to close.
constexpr absl::Duration RefusalTimeout = absl::Milliseconds(50);

thread_local const Connection *currentConnection = nullptr;
// Set while a handler runs to close its connection after the response.
thread_local bool closeAfterResponse = false;

class SocketConnection : public Connection
{
public:
    explicit SocketConnection(int socket)
        : m_socket(socket)
    { }

    bool closedByPeer() const override
    {
        char byte = 0;
        const ssize_t n = recv(m_socket, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
        return n == 0 || (n < 0 && errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR);
    }

private:
    const int m_socket;
};

bool waitFor(int socket, short events, absl::Duration timeout)
{
    pollfd fd{socket, events, 0};
    return poll(&fd, 1, static_cast<int>(absl::ToInt64Milliseconds(timeout))) > 0;
}

// Byte counts of all connections of a server.
struct TrafficCounter
{
    std::atomic<std::int64_t> received = 0;
    std::atomic<std::int64_t> sent = 0;
};

// Replaces the library's socket stream, which is not part of its public interface.
class SocketStream : public httplib::Stream
{
public:
    SocketStream(int socket, TrafficCounter &traffic, absl::Duration readTimeout,
                 absl::Duration writeTimeout)
        : m_socket(socket)
        , m_traffic(traffic)
        , m_readTimeout(readTimeout)
        , m_writeTimeout(writeTimeout)
    { }

    // Starts the timeouts for the next request. They apply to the complete request and response, so
    // a peer cannot occupy the thread by sending or receiving a byte from time to time.
    void beginRequest()
    {
        m_readDeadline = m_clock.now() + m_readTimeout;
        m_writeDeadline = absl::InfiniteFuture();
    }

    bool is_readable() const override { return waitUntil(POLLIN, m_readDeadline); }
    bool is_writable() const override { return waitUntil(POLLOUT, m_writeDeadline); }

    ssize_t read(char *data, std::size_t size) override
    {
        if (m_offset == m_filled) {
            if (!is_readable())
                return -1;
            const ssize_t n = recv(m_socket, m_buffer, sizeof(m_buffer), 0);
            if (n <= 0)
                return n;
            m_traffic.received += n;
            m_offset = 0;
            m_filled = static_cast<std::size_t>(n);
        }
        const std::size_t n = std::min(size, m_filled - m_offset);
        std::copy_n(m_buffer + m_offset, n, data);
        m_offset += n;
        return static_cast<ssize_t>(n);
    }

    ssize_t write(const char *data, std::size_t size) override
    {
        if (m_writeDeadline == absl::InfiniteFuture())
            m_writeDeadline = m_clock.now() + m_writeTimeout;
        if (!is_writable())
            return -1;
        // Counted before the call, since the receiver may have the data before send() returns.
        const auto requested = static_cast<std::int64_t>(size);
        m_traffic.sent += requested;
        const ssize_t n = ::send(m_socket, data, size, MSG_NOSIGNAL);
        m_traffic.sent -= requested - std::max<ssize_t>(n, 0);
        return n;
    }

    void get_remote_ip_and_port(std::string &ip, int &port) const override
    {
        sockaddr_storage address{};
        socklen_t length = sizeof(address);
        if (getpeername(m_socket, reinterpret_cast<sockaddr *>(&address), &length) == 0)
            describe(address, length, ip, port);
    }

    void get_local_ip_and_port(std::string &ip, int &port) const override
    {
        sockaddr_storage address{};
        socklen_t length = sizeof(address);
        if (getsockname(m_socket, reinterpret_cast<sockaddr *>(&address), &length) == 0)
            describe(address, length, ip, port);
    }

    socket_t socket() const override { return m_socket; }

    bool hasBufferedData() const { return m_offset < m_filled; }

private:
    static void describe(const sockaddr_storage &address, socklen_t length, std::string &ip,
                         int &port)
    {
        char host[NI_MAXHOST];
        char service[NI_MAXSERV];
        if (getnameinfo(reinterpret_cast<const sockaddr *>(&address), length, host, sizeof(host),
                        service, sizeof(service), NI_NUMERICHOST | NI_NUMERICSERV)
            != 0)
            return;
        ip = host;
        port = std::atoi(service);
    }

    bool waitUntil(short events, core::Instant deadline) const
    {
        const absl::Duration remaining = deadline - m_clock.now();
        return remaining > absl::ZeroDuration()
            && waitFor(m_socket, events, std::min(remaining, absl::Hours(1)));
    }

    const core::SteadyClock m_clock;
    const int m_socket;
    TrafficCounter &m_traffic;
    const absl::Duration m_readTimeout;
    const absl::Duration m_writeTimeout;
    core::Instant m_readDeadline = absl::InfiniteFuture();
    core::Instant m_writeDeadline = absl::InfiniteFuture();
    char m_buffer[4096];
    std::size_t m_offset = 0;
    std::size_t m_filled = 0;
};

void setSocketOptions(int socket)
{
    const int on = 1;
    const int userTimeout = TcpUserTimeoutMs;
    setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    setsockopt(socket, IPPROTO_TCP, TCP_USER_TIMEOUT, &userTimeout, sizeof(userTimeout));
}

// Replaces the library's connection loop to give handlers access to the socket of their request and
// to refuse connections beyond the limits.
class PlainServer : public httplib::Server
{
public:
    PlainServer(absl::Duration readTimeout, absl::Duration writeTimeout, absl::Duration keepAlive)
        : m_readTimeout(readTimeout)
        , m_writeTimeout(writeTimeout)
        , m_keepAlive(keepAlive)
    { }

    void stopKeepAlive() { m_stopping = true; }

    Traffic traffic() const { return {m_traffic.received, m_traffic.sent}; }

    // The library listens with a backlog of 5, which drops connections during bursts.
    void raiseBacklog() { ::listen(svr_sock_, ListenBacklog); }

private:
    bool process_and_close_socket(socket_t socket) override
    {
        SocketStream stream(socket, m_traffic, m_readTimeout, m_writeTimeout);
        if (detail::ConnectionThreads::isRefusalThread())
            refuse(stream);
        else
            serve(stream, socket);
        shutdown(socket, SHUT_RDWR);
        close(socket);
        return true;
    }

    void serve(SocketStream &stream, int socket)
    {
        const SocketConnection connection(socket);
        currentConnection = &connection;
        bool closed = false;
        closeAfterResponse = false;
        while (!closed && !closeAfterResponse && nextRequest(stream, socket)) {
            stream.beginRequest();
            if (!process_request(stream, m_stopping, closed, nullptr))
                break;
        }
        currentConnection = nullptr;
    }

    // Waits for the next request in short steps, so that idle connections do not delay stop().
    bool nextRequest(const SocketStream &stream, int socket) const
    {
        if (stream.hasBufferedData())
            return true;
        constexpr absl::Duration Step = absl::Milliseconds(100);
        for (absl::Duration waited; waited < m_keepAlive; waited += Step) {
            if (waitFor(socket, POLLIN, Step))
                return true;
            if (m_stopping)
                return false;
        }
        return false;
    }

    // Sends a 503 response. Closing a connection with unread data resets it, which can destroy the
    // response in flight. Therefore the request is read first, and the peer gets a short time to
    // close the connection.
    static void refuse(SocketStream &stream)
    {
        stream.beginRequest();
        discardInput(stream.socket(), true);
        const std::string body =
            absl::StrCat(R"({"code":)", static_cast<int>(core::ResultCode::TooManyConnections),
                         R"(,"outcome":"not run","message":"too many connections"})");
        const std::string text =
            absl::StrCat("HTTP/1.1 503 Service Unavailable\r\nContent-Type: application/json\r\n"
                         "Retry-After: 1\r\nConnection: close\r\nContent-Length: ",
                         body.size(), "\r\n\r\n", body);
        stream.write(text.data(), text.size());
        shutdown(stream.socket(), SHUT_WR);
        discardInput(stream.socket(), false);
    }

    // Discards received data: only the data available now if `availableOnly` is set, otherwise all
    // data until the peer closes the connection.
    static void discardInput(int socket, bool availableOnly)
    {
        const core::SteadyClock clock;
        const core::Instant deadline = clock.now() + RefusalTimeout;
        char buffer[16384];
        while (clock.now() < deadline && waitFor(socket, POLLIN, deadline - clock.now())) {
            const ssize_t n = recv(socket, buffer, sizeof(buffer), MSG_DONTWAIT);
            if (n <= 0 || (availableOnly && n < static_cast<ssize_t>(sizeof(buffer))))
                return;
        }
    }

    const absl::Duration m_readTimeout;
    const absl::Duration m_writeTimeout;
    const absl::Duration m_keepAlive;
    std::atomic<bool> m_stopping = false;
    TrafficCounter m_traffic;
};

Request toRequest(const httplib::Request &from)
{
    Request request;
    request.method = from.method;
    request.path = from.path;
    for (const auto &[key, value] : from.params)
        request.query[key] = value;
    for (std::size_t i = 1; i < from.matches.size(); ++i)
        request.captures.push_back(from.matches[i]);
    for (const auto &[key, value] : from.headers)
        request.headers[absl::AsciiStrToLower(key)] = value;
    request.body = from.body;
    request.connection = currentConnection;
    return request;
}

void setErrorBody(const httplib::Request &, httplib::Response &response)
{
    if (!response.body.empty())
        return;
    const core::ResultCode code = response.status == 413 ? core::ResultCode::BodyTooLarge
        : response.status == 404                         ? core::ResultCode::UnknownPath
                                                         : core::ResultCode::BadField;
    response.set_content(absl::StrCat(R"({"code":)", static_cast<int>(code), R"(,"message":")",
                                      std::string(core::name(code)), R"("})"),
                         "application/json");
}

} // namespace

class Server::Private
{
public:
    explicit Private(ServerOptions o)
        : options(std::move(o))
    {
        if (options.tls)
            server = std::make_unique<httplib::SSLServer>(
                options.tls->certificateFile.c_str(), options.tls->keyFile.c_str(), authority());
        else
            server = std::make_unique<PlainServer>(options.readTimeout, options.writeTimeout,
                                                   options.keepAlive);
        configure();
    }

    const char *authority() const
    {
        return options.tls->authorityFile.empty() ? nullptr : options.tls->authorityFile.c_str();
    }

    void configure()
    {
        server->new_task_queue = [this] {
            threads = new detail::ConnectionThreads(options.maxConnections,
                                                    options.maxWaitingConnections);
            return threads.load();
        };
        server->set_socket_options(setSocketOptions);
        server->set_payload_max_length(options.maxBodyBytes);
        server->set_read_timeout(absl::ToChronoMilliseconds(options.readTimeout));
        server->set_write_timeout(absl::ToChronoMilliseconds(options.writeTimeout));
        server->set_keep_alive_timeout(absl::ToInt64Seconds(options.keepAlive));
        server->set_keep_alive_max_count(std::numeric_limits<std::size_t>::max());
        server->set_error_handler(httplib::Server::Handler(setErrorBody));
    }

    httplib::Server::Handler adapt(Handler handler) const
    {
        return [this, handler = std::move(handler)](const httplib::Request &from,
                                                    httplib::Response &to) {
            const Response response = handler(toRequest(from));
            to.status = response.status;
            for (const auto &[key, value] : response.headers)
                to.set_header(key, value);
            to.set_content(response.body, response.contentType);
            // A kept-alive connection would occupy its thread while others wait for one. The header
            // keeps the peer from sending another request on the closing connection.
            if (threads.load()->hasBacklog()) {
                to.set_header("Connection", "close");
                closeAfterResponse = true;
            }
        };
    }

    ServerOptions options;
    // Owned by the library; not null while a handler runs.
    std::atomic<detail::ConnectionThreads *> threads = nullptr;
    std::unique_ptr<httplib::Server> server;
    std::thread thread;
    int port = 0;
};

Server::Server(ServerOptions options)
    : d(std::make_unique<Private>(std::move(options)))
{ }

Server::~Server()
{
    stop();
}

void Server::route(const std::string &method, const std::string &pattern, Handler handler)
{
    if (method == "GET")
        d->server->Get(pattern, d->adapt(std::move(handler)));
    else if (method == "POST")
        d->server->Post(pattern, d->adapt(std::move(handler)));
    else if (method == "PUT")
        d->server->Put(pattern, d->adapt(std::move(handler)));
    else if (method == "DELETE")
        d->server->Delete(pattern, d->adapt(std::move(handler)));
}

bool Server::start()
{
    const Endpoint &listen = d->options.listen;
    if (listen.port == 0) {
        d->port = d->server->bind_to_any_port(listen.address);
        if (d->port < 0)
            d->port = 0;
    } else if (d->server->bind_to_port(listen.address, listen.port)) {
        d->port = listen.port;
    }
    if (d->port == 0) {
        core::fail(core::ResultCode::ConnectionFailed, "cannot listen on " + toString(listen));
        return false;
    }
    if (auto *plain = dynamic_cast<PlainServer *>(d->server.get()))
        plain->raiseBacklog();
    d->thread = std::thread([this] { d->server->listen_after_bind(); });
    while (!d->server->is_running())
        std::this_thread::yield();
    return true;
}

int Server::port() const
{
    return d->port;
}

Traffic Server::traffic() const
{
    const auto *plain = dynamic_cast<const PlainServer *>(d->server.get());
    return plain ? plain->traffic() : Traffic{};
}

void Server::stop()
{
    if (!d->thread.joinable())
        return;
    if (auto *plain = dynamic_cast<PlainServer *>(d->server.get()))
        plain->stopKeepAlive();
    d->server->stop();
    d->thread.join();
}

} // namespace oleandercross::http
