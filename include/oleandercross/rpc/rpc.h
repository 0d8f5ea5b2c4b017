#pragma once

#include <oleandercross/http/clientpool.h>
#include <oleandercross/http/server.h>

#include <absl/time/time.h>
#include <json/value.h>

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace oleandercross::rpc {

// Receives the parameters of a call (an object) and returns its result, or an empty optional with
// the last reason set, which is passed on to the caller.
using Handler = std::function<std::optional<Json::Value>(const Json::Value &params)>;

// Serves JSON-RPC 2.0 calls between processes of this project on POST /rpc. Calls without a valid
// HMAC-SHA256 under the shared key are refused with Unauthorized.
class Server
{
public:
    Server(http::ServerOptions options, std::string sharedKey);
    ~Server();

    // Adds a method. Must be called before start().
    void add(const std::string &method, Handler handler);

    // Returns the underlying HTTP server, to which routes such as /metrics can be added before
    // start().
    http::Server &httpServer();

    bool start();
    int port() const;
    void stop();

private:
    class Private;
    std::unique_ptr<Private> d;
};

// Calls methods of other processes. Thread-safe; concurrent calls use separate connections.
class Client
{
public:
    Client(http::ClientOptions options, std::string sharedKey);
    ~Client();

    // Calls a method and waits at most `timeout`, which is added to the parameters as the member
    // "timeLeftMs". An answer of which parts have arrived in time may take `transferTime` longer.
    // Fails with the reason given by the callee or with the reasons of http::ClientPool::send().
    std::optional<Json::Value> call(const http::Endpoint &endpoint, const std::string &method,
                                    Json::Value params, absl::Duration timeout,
                                    absl::Duration transferTime = absl::ZeroDuration());

    http::Traffic traffic() const;

private:
    class Private;
    std::unique_ptr<Private> d;
};

} // namespace oleandercross::rpc
