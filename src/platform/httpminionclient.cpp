#include <oleandercross/core/json.h>
#include <oleandercross/core/resultcode.h>
#include <oleandercross/platform/httpadapters.h>

#include "exchange.h"

namespace oleandercross::platform {

namespace {

constexpr int StatusOk = 200;
constexpr int StatusFailed = 422;
constexpr int StatusNotRun = 503;

} // namespace

HttpMinionClient::HttpMinionClient(http::ClientPool &pool, http::Endpoint endpoint)
    : m_pool(pool)
    , m_endpoint(std::move(endpoint))
{ }

std::optional<MinionResponse> HttpMinionClient::execute(const MinionRequest &request,
                                                        absl::Duration timeout)
{
    http::Request message;
    message.method = "POST";
    message.path = "/v1/execute";
    message.body = request.body;
    message.headers["x-account"] = request.account.str();
    message.headers["x-service"] = request.service.str();
    if (!request.traceparent.empty())
        message.headers["traceparent"] = request.traceparent;
    auto response =
        detail::exchangeWithId(m_pool, m_endpoint, std::move(message), request.id.str(), timeout);
    if (!response)
        return std::nullopt;
    if (response->status == StatusNotRun)
        return core::fail(core::ResultCode::ConnectionFailed,
                          "minion refused the request before execution");
    if (response->status != StatusOk && response->status != StatusFailed)
        return core::fail(core::ResultCode::BadAnswer,
                          "unexpected status from minion: " + std::to_string(response->status));
    return MinionResponse{request.id, response->status == StatusOk, std::move(response->body)};
}

bool HttpMinionClient::cancel(const core::RequestId &id)
{
    Json::Value body;
    body["request_id"] = id.str();
    const auto response = detail::exchange(m_pool, m_endpoint, detail::post("/v1/cancel", body),
                                           DefaultPlatformTimeout);
    return response && response->status == StatusOk;
}

bool HttpMinionClient::healthy(absl::Duration timeout)
{
    http::Request request;
    request.method = "GET";
    request.path = "/v1/health";
    const auto response = detail::exchange(m_pool, m_endpoint, std::move(request), timeout);
    return response && response->status == StatusOk;
}

} // namespace oleandercross::platform
