#include <oleandercross/rpc/rpc.h>

#include <oleandercross/core/digest.h>
#include <oleandercross/core/resultcode.h>
#include <oleandercross/rpc/detail/jsonrpcbridge.h>

namespace oleandercross::rpc {

namespace {

constexpr char AuthHeader[] = "x-oleandercross-auth";
constexpr char RpcPath[] = "/rpc";
constexpr int TransportFailed = -1;

http::Response unauthorized()
{
    http::Response response;
    response.status = core::httpStatus(core::ResultCode::Unauthorized);
    response.body = R"({"code":206,"message":"missing or wrong message authentication"})";
    return response;
}

detail::CallResult runHandler(const Handler &handler, const Json::Value &params)
{
    std::optional<Json::Value> value = handler(params);
    if (value)
        return {0, {}, std::move(*value)};
    const core::Reason &reason = core::lastReason();
    return {static_cast<int>(reason.code), reason.message, {}};
}

} // namespace

class Server::Private
{
public:
    Private(http::ServerOptions options, std::string key)
        : server(std::move(options))
        , sharedKey(std::move(key))
    { }

    http::Response handle(const http::Request &request)
    {
        const std::string expected = core::hmacSha256Hex(sharedKey, request.body);
        if (!core::equalConstantTime(request.header(AuthHeader), expected))
            return unauthorized();
        http::Response response;
        response.body = bridge.handle(request.body);
        return response;
    }

    http::Server server;
    const std::string sharedKey;
    detail::ServerBridge bridge;
};

Server::Server(http::ServerOptions options, std::string sharedKey)
    : d(std::make_unique<Private>(std::move(options), std::move(sharedKey)))
{
    d->server.route("POST", RpcPath,
                    [this](const http::Request &request) { return d->handle(request); });
}

Server::~Server()
{
    stop();
}

void Server::add(const std::string &method, Handler handler)
{
    d->bridge.add(method, [handler = std::move(handler)](const Json::Value &params) {
        return runHandler(handler, params);
    });
}

http::Server &Server::httpServer()
{
    return d->server;
}

bool Server::start()
{
    return d->server.start();
}

int Server::port() const
{
    return d->server.port();
}

void Server::stop()
{
    d->server.stop();
}

class Client::Private
{
public:
    Private(http::ClientOptions options, std::string key)
        : pool(std::move(options))
        , sharedKey(std::move(key))
    { }

    http::ClientPool pool;
    const std::string sharedKey;
};

Client::Client(http::ClientOptions options, std::string sharedKey)
    : d(std::make_unique<Private>(std::move(options), std::move(sharedKey)))
{ }

Client::~Client() = default;

http::Traffic Client::traffic() const
{
    return d->pool.traffic();
}

std::optional<Json::Value> Client::call(const http::Endpoint &endpoint, const std::string &method,
                                        Json::Value params, absl::Duration timeout,
                                        absl::Duration transferTime)
{
    params["timeLeftMs"] = static_cast<Json::Int64>(absl::ToInt64Milliseconds(timeout));
    core::Reason transportReason;
    const detail::Transport transport = [&](const std::string &requestBody,
                                            std::string &responseBody) {
        http::Request request;
        request.method = "POST";
        request.path = RpcPath;
        request.headers[AuthHeader] = core::hmacSha256Hex(d->sharedKey, requestBody);
        request.body = requestBody;
        request.transferTime = transferTime;
        const std::optional<http::Response> response = d->pool.send(endpoint, request, timeout);
        if (!response) {
            transportReason = core::lastReason();
            return false;
        }
        if (response->status != 200) {
            transportReason = response->status == 401
                ? core::Reason{core::ResultCode::Unauthorized,
                               "peer rejected the message authentication code"}
                : response->status == 503
                ? core::Reason{core::ResultCode::TooManyConnections,
                               "peer has too many connections"}
                : core::Reason{core::ResultCode::BadAnswer, "unexpected HTTP status from the peer"};
            return false;
        }
        responseBody = response->body;
        return true;
    };
    detail::CallResult result = detail::call(transport, method, params);
    if (result.code == 0)
        return std::move(result.value);
    if (result.code == TransportFailed)
        return core::fail(transportReason);
    if (result.code < 0)
        return core::fail(core::ResultCode::BadAnswer, method + ": " + result.message);
    return core::fail(core::resultCodeFromNumber(result.code), result.message);
}

} // namespace oleandercross::rpc
