#pragma once

#include <oleandercross/core/resultcode.h>
#include <oleandercross/http/clientpool.h>

#include <absl/time/time.h>
#include <json/value.h>

#include <optional>
#include <string>
#include <vector>

namespace oleandercross::cli {

// Timeout of a call, in addition to the time that the entry is asked to wait.
constexpr absl::Duration CallTimeout = absl::Seconds(10);

struct ApiOptions
{
    std::vector<http::Endpoint> entries;
    std::string token;
    std::optional<http::TlsFiles> tls;
};

struct ApiCall
{
    ApiCall(std::string httpMethod, std::string httpPath, std::string httpBody = {})
        : method(std::move(httpMethod))
        , path(std::move(httpPath))
        , body(std::move(httpBody))
    { }

    std::string method;
    std::string path;
    std::string body;
    http::Headers headers;
    absl::Duration timeout = CallTimeout;
};

// Calls the HTTP API of the entries. Retries on the next entry only if the call definitely did not
// run and may succeed on another entry.
class ApiClient
{
public:
    explicit ApiClient(ApiOptions options);

    // Fails with the code and message of the entry's error response, with ConnectionFailed if no
    // entry could be reached, with OutcomeUnknown if a write may have run, or with BadAnswer.
    std::optional<http::Response> send(const ApiCall &call);

    // Like send(), but parses the response, which must be a JSON object.
    std::optional<Json::Value> json(const ApiCall &call);

private:
    std::optional<http::Response> sendTo(const http::Endpoint &entry, const ApiCall &call);

    const ApiOptions m_options;
    http::ClientPool m_pool;
};

// Returns true if a call that failed with this code may be sent to the next entry.
bool mayRetryOnNextEntry(core::ResultCode code);

// Returns the reason given in an error response of the API.
core::Reason reasonFromResponse(const http::Response &response);

// Returns true if an id or name can be used as a path segment: at most 128 letters, digits, dashes,
// dots and underscores, not only dots.
bool isSafePathSegment(const std::string &segment);

} // namespace oleandercross::cli
