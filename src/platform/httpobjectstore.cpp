#include <oleandercross/core/resultcode.h>
#include <oleandercross/platform/httpadapters.h>

#include "exchange.h"

namespace oleandercross::platform {

namespace {

constexpr int StatusOk = 200;
constexpr int StatusNotFound = 404;

// Encodes all characters except the unreserved ones of RFC 3986 as %XX.
std::string percentEncoded(const std::string &text)
{
    constexpr char Digits[] = "0123456789ABCDEF";
    std::string out;
    for (const char c : text) {
        const auto byte = static_cast<unsigned char>(c);
        const bool plain = (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z')
            || (c >= '0' && c <= '9') || c == '-' || c == '_' || c == '.' || c == '~';
        if (plain)
            out += c;
        else
            out += {'%', Digits[byte / 16], Digits[byte % 16]};
    }
    return out;
}

http::Request objectRequest(const std::string &method, const std::string &key)
{
    http::Request request;
    request.method = method;
    request.path = "/v1/object?key=" + percentEncoded(key);
    return request;
}

std::nullopt_t unavailable(const std::optional<http::Response> &response)
{
    return core::fail(core::ResultCode::StoreUnavailable,
                      response ? "unexpected status from object store: "
                              + std::to_string(response->status)
                               : core::lastReason().message);
}

} // namespace

HttpObjectStore::HttpObjectStore(http::ClientPool &pool, http::Endpoint endpoint,
                                 absl::Duration timeout)
    : m_pool(pool)
    , m_endpoint(std::move(endpoint))
    , m_timeout(timeout)
{ }

bool HttpObjectStore::put(const std::string &key, const std::string &bytes)
{
    http::Request request = objectRequest("PUT", key);
    request.body = bytes;
    request.headers["content-type"] = "application/octet-stream";
    const auto response = detail::exchange(m_pool, m_endpoint, std::move(request), m_timeout);
    if (response && response->status == StatusOk)
        return true;
    unavailable(response);
    return false;
}

std::optional<std::optional<std::string>> HttpObjectStore::fetch(const std::string &key)
{
    const auto response =
        detail::exchange(m_pool, m_endpoint, objectRequest("GET", key), m_timeout);
    if (response && response->status == StatusOk)
        return std::optional<std::string>(response->body);
    if (response && response->status == StatusNotFound)
        return std::optional<std::optional<std::string>>(std::in_place, std::nullopt);
    return unavailable(response);
}

} // namespace oleandercross::platform
