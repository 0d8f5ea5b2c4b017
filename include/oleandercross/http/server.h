#pragma once

#include <oleandercross/http/message.h>
#include <oleandercross/http/traffic.h>

#include <absl/time/time.h>

#include <functional>
#include <memory>

namespace oleandercross::http {

// Certificate and key as PEM files; the peer's certificate is checked when `authorityFile` is set.
struct TlsFiles
{
    std::string certificateFile;
    std::string keyFile;
    std::string authorityFile;

    friend bool operator==(const TlsFiles &, const TlsFiles &) = default;
};

struct ServerOptions
{
    Endpoint listen;
    // A keep-alive connection holds a thread, so this is also the number of connections served at
    // the same time. Threads are started when they are needed.
    int maxConnections = 256;
    // Connections accepted beyond that wait here; further ones are answered 503.
    int maxWaitingConnections = 64;
    std::size_t maxBodyBytes = 1 << 20;
    // For a whole request from its first byte, and for a whole response.
    absl::Duration readTimeout = absl::Seconds(10);
    absl::Duration writeTimeout = absl::Seconds(10);
    // Must exceed the time that clients keep idle connections, see ClientOptions::maxIdle.
    absl::Duration keepAlive = absl::Seconds(60);
    std::optional<TlsFiles> tls;
};

// An HTTP/1.1 server with bounded connections, bodies and times. Handlers run concurrently.
class Server
{
public:
    using Handler = std::function<Response(const Request &)>;

    explicit Server(ServerOptions options);
    ~Server();
    Server(const Server &) = delete;
    Server &operator=(const Server &) = delete;

    // Adds a handler for GET, POST, PUT or DELETE on paths that match the regular expression.
    // Must be called before start().
    void route(const std::string &method, const std::string &pattern, Handler handler);

    // Binds and serves on a thread of its own. Port 0 picks a free one. Fails with
    // ConnectionFailed when the address cannot be bound.
    bool start();

    // The bound port, after start().
    int port() const;

    // Bytes of all connections since the start; connections with TLS are not counted.
    Traffic traffic() const;

    // Answers the requests in flight, closes idle connections and joins all threads.
    void stop();

private:
    class Private;
    std::unique_ptr<Private> d;
};

} // namespace oleandercross::http
