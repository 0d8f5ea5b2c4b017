#include "apiclient.h"

#include <oleandercross/core/json.h>

#include <absl/strings/ascii.h>
#include <absl/strings/str_cat.h>

#include <algorithm>

namespace oleandercross::cli {

namespace {

using core::ResultCode;

constexpr std::size_t MaxSegmentLength = 128;
constexpr int MinErrorStatus = 400;

http::ClientOptions clientOptions(const ApiOptions &options)
{
    http::ClientOptions result;
    result.tls = options.tls;
    return result;
}

bool isWrite(const ApiCall &call)
{
    return call.method != "GET";
}

} // namespace

bool mayRetryOnNextEntry(ResultCode code)
{
    switch (code) {
    case ResultCode::ConnectionFailed:
        return true;
    // These depend on the caller or the request, not on the entry.
    case ResultCode::RateLimited:
    case ResultCode::DeadlineExpired:
    case ResultCode::Cancelled:
        return false;
    default:
        return core::provablyNotRun(code);
    }
}

core::Reason reasonFromResponse(const http::Response &response)
{
    const std::optional<Json::Value> body = core::parseJson(response.body);
    const auto number = body ? core::intMember(*body, "code") : 0;
    if (number <= 0)
        return {ResultCode::BadAnswer,
                absl::StrCat("HTTP status ", response.status, " without a result code")};
    std::string message = core::stringMember(*body, "message");
    const auto retryAfterMs = core::intMember(*body, "retryAfterMs");
    if (retryAfterMs > 0)
        message += absl::StrCat(" (retry after ", retryAfterMs, " ms)");
    return {core::resultCodeFromNumber(static_cast<int>(number)), message};
}

bool isSafePathSegment(const std::string &segment)
{
    return !segment.empty() && segment.size() <= MaxSegmentLength
        && std::all_of(segment.begin(), segment.end(),
                       [](unsigned char c) {
                           return absl::ascii_isalnum(c) || c == '-' || c == '.' || c == '_';
                       })
        && segment.find_first_not_of('.') != std::string::npos;
}

ApiClient::ApiClient(ApiOptions options)
    : m_options(std::move(options))
    , m_pool(clientOptions(m_options))
{ }

std::optional<http::Response> ApiClient::sendTo(const http::Endpoint &entry, const ApiCall &call)
{
    http::Request request;
    request.method = call.method;
    request.path = call.path;
    request.body = call.body;
    request.headers = call.headers;
    if (!m_options.token.empty())
        request.headers["authorization"] = "Bearer " + m_options.token;
    std::optional<http::Response> response = m_pool.send(entry, request, call.timeout);
    if (response && response->status >= MinErrorStatus)
        return core::fail(reasonFromResponse(*response));
    if (response)
        return response;
    const core::Reason &reason = core::lastReason();
    if (reason.code == ResultCode::ConnectionFailed || !isWrite(call))
        return std::nullopt;
    return core::fail(ResultCode::OutcomeUnknown,
                      absl::StrCat(reason.message, "; the call may have taken effect"));
}

std::optional<http::Response> ApiClient::send(const ApiCall &call)
{
    if (m_options.entries.empty())
        return core::fail(ResultCode::BadCommandLine,
                          "no entry specified: use --entry or OLEANDERCROSS_ENTRY");
    for (const http::Endpoint &entry : m_options.entries) {
        std::optional<http::Response> response = sendTo(entry, call);
        if (response || !mayRetryOnNextEntry(core::lastReason().code))
            return response;
    }
    return std::nullopt;
}

std::optional<Json::Value> ApiClient::json(const ApiCall &call)
{
    const std::optional<http::Response> response = send(call);
    if (!response)
        return std::nullopt;
    std::optional<Json::Value> value = core::parseJson(response->body);
    if (!value || !value->isObject())
        return core::fail(ResultCode::BadAnswer, "the entry's response is not a JSON object");
    return value;
}

} // namespace oleandercross::cli
