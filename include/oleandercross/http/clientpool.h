#pragma once

#include <oleandercross/http/server.h>

namespace oleandercross::http {

struct ClientOptions
{
    absl::Duration connectTimeout = absl::Seconds(1);
    // Must be shorter than the keep-alive time of the servers, so that no request is sent on a
    // connection that the server is closing.
    absl::Duration maxIdle = absl::Seconds(20);
    int maxIdlePerEndpoint = 64;
    std::size_t maxBodyBytes = 16 << 20;
    std::optional<TlsFiles> tls;
};

// Returns whether a response belongs to the request that was sent.
using ResponseCheck = std::function<bool(const Response &)>;

// Tells whether a connection leads to a certain one of the processes that listen at an address in
// turn.
struct PeerProof
{
    // Identifies the process.
    std::string peer;
    // Has no effect on any process at the address.
    Request probe;
    // Returns whether the response to the probe is from the process.
    ResponseCheck check;
};

// An HTTP client that keeps connections to any number of endpoints alive. Thread-safe.
class ClientPool
{
public:
    explicit ClientPool(ClientOptions options);
    ~ClientPool();
    ClientPool(const ClientPool &) = delete;
    ClientPool &operator=(const ClientPool &) = delete;

    // Sends a request and waits at most `timeout` for the complete response, or for the first part
    // of it if the request has a transfer time. Fails with
    // ConnectionFailed if nothing was sent, with ConnectionLost or Timeout if the peer may have
    // received the request, and with BadAnswer if the response is truncated, too large or rejected
    // by `check`. The connection is not reused after a failure, since a late or wrong response
    // could be taken for that of the next request. A timeout also closes the idle connections to
    // the endpoint, which may have become unresponsive as well.
    std::optional<Response> send(const Endpoint &endpoint, const Request &request,
                                 absl::Duration timeout, const ResponseCheck &check = {});

    // Sends a request on a connection that leads to the process of `proof`. A connection is probed
    // before its first such request, and leads to no other process later, since it ends with the
    // process that has accepted it. Probe and request share the timeout. Fails like send(), with
    // ConnectionFailed also if the probe gets no response, and with StaleIncarnation if another
    // process responds to it; in both cases the request is not sent.
    std::optional<Response> sendTo(const PeerProof &proof, const Endpoint &endpoint,
                                   const Request &request, absl::Duration timeout);

    // Returns the bytes of all exchanges whose connection was still open when they ended.
    Traffic traffic() const;

    // Closes the idle connections to an endpoint.
    void closeIdle(const Endpoint &endpoint);

private:
    class Private;
    std::unique_ptr<Private> d;
};

// Returns true if the last failed call on this thread, which was to this endpoint, got no
// connection because the peer's host refuses them. The host is then up but nothing listens on the
// port, whereas an unreachable address does not respond at all.
bool wasConnectionRefused(const Endpoint &endpoint);

} // namespace oleandercross::http
