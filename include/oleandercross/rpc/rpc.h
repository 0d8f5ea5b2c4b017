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

// A handler gets the call's parameters (an object) and returns the result, or an empty optional
// with the last reason set, which the caller sees as its own last reason.
using Handler = std::function<std::optional<Json::Value>(const Json::Value &params)>;

// Serves JSON-RPC 2.0 calls of the project's own processes on POST /rpc. Calls whose HMAC-SHA256
// under the shared key is missing or wrong are refused with Unauthorized.
class Server
{
public:
    Server(http::ServerOptions options, std::string sharedKey);
    ~Server();

    // Adds a method; before start().
    void add(const std::string &method, Handler handler);

    // The HTTP server below, for further routes such as /metrics; before start().
    http::Server &httpServer();

    bool start();
    int port() const;
    void stop();

private:
    class Private;
    std::unique_ptr<Private> d;
};

// Calls methods of other processes. Thread safe; concurrent calls use separate connections.
class Client
{
public:
    Client(http::ClientOptions options, std::string sharedKey);
    ~Client();

    // Calls a method and waits at most `timeout`. The parameters get the member "timeLeftMs". Fails
    // with the callee's reason, or with the reasons of http::ClientPool::send().
    std::optional<Json::Value> call(const http::Endpoint &endpoint, const std::string &method,
                                    Json::Value params, absl::Duration timeout);

    http::Traffic traffic() const;

private:
    class Private;
    std::unique_ptr<Private> d;
};

} // namespace oleandercross::rpc
