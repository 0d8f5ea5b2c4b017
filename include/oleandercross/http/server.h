#pragma once

#include <oleandercross/http/message.h>
#include <oleandercross/http/traffic.h>

#include <absl/time/time.h>

#include <functional>
#include <memory>

namespace oleandercross::http {

// Certificate and key as PEM files. The peer's certificate is verified if `authorityFile` is set.
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
    // A keep-alive connection occupies a thread, so this also limits the number of threads. Threads
    // are started on demand.
    int maxConnections = 256;
    // Connections beyond maxConnections that are queued; further ones are refused with status 503.
    int maxWaitingConnections = 64;
    std::size_t maxBodyBytes = 1 << 20;
    // Limits for receiving a complete request, from its first byte, and for sending a complete
    // response.
    absl::Duration readTimeout = absl::Seconds(10);
    absl::Duration writeTimeout = absl::Seconds(10);
    // Must be longer than clients keep idle connections, see ClientOptions::maxIdle.
    absl::Duration keepAlive = absl::Seconds(60);
    std::optional<TlsFiles> tls;
};

// An HTTP/1.1 server with limits on connections, body sizes and times. Handlers run concurrently.
class Server
{
public:
    using Handler = std::function<Response(const Request &)>;

    explicit Server(ServerOptions options);
    ~Server();
    Server(const Server &) = delete;
    Server &operator=(const Server &) = delete;

    // Adds a handler for GET, POST, PUT or DELETE requests whose path matches the regular
    // expression. Must be called before start().
    void route(const std::string &method, const std::string &pattern, Handler handler);

    // Binds the address and starts serving on a background thread. Port 0 selects a free port.
    // Fails with ConnectionFailed if the address cannot be bound.
    bool start();

    // Returns the bound port. Valid after start().
    int port() const;

    // Returns the bytes of all connections since the start. TLS connections are not counted.
    Traffic traffic() const;

    // Completes the requests in flight, closes idle connections and joins all threads.
    void stop();

private:
    class Private;
    std::unique_ptr<Private> d;
};

} // namespace oleandercross::http
