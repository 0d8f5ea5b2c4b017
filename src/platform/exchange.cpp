#include "exchange.h"

#include <oleandercross/core/digest.h>
#include <oleandercross/core/json.h>

#include <absl/strings/str_cat.h>

namespace oleandercross::platform::detail {

namespace {

constexpr char RequestIdHeader[] = "x-request-id";
constexpr char BodyLengthHeader[] = "x-body-length";

std::string headerValue(const http::Response &response, const char *name)
{
    const auto it = response.headers.find(name);
    return it == response.headers.end() ? std::string() : it->second;
}

} // namespace

std::optional<http::Response> exchange(http::ClientPool &pool, const http::Endpoint &endpoint,
                                       http::Request request, absl::Duration timeout)
{
    return exchangeWithId(pool, endpoint, std::move(request), core::randomHexId(), timeout);
}

std::optional<http::Response> exchangeWithId(http::ClientPool &pool, const http::Endpoint &endpoint,
                                             http::Request request, const std::string &id,
                                             absl::Duration timeout)
{
    request.headers[RequestIdHeader] = id;
    return pool.send(endpoint, request, timeout, [&id](const http::Response &response) {
        return headerValue(response, RequestIdHeader) == id
            && headerValue(response, BodyLengthHeader) == absl::StrCat(response.body.size());
    });
}

http::Request post(const std::string &path, const Json::Value &body)
{
    http::Request request;
    request.method = "POST";
    request.path = path;
    request.body = core::writeJson(body);
    return request;
}

} // namespace oleandercross::platform::detail
