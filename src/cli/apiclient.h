#pragma once

#include <oleandercross/core/resultcode.h>
#include <oleandercross/http/clientpool.h>

#include <absl/time/time.h>
#include <json/value.h>

#include <optional>
#include <string>
#include <vector>

namespace oleandercross::cli {

// Time for one call, besides the time that the entry was asked to wait.
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

// Calls the HTTP API of the entries. An entry is followed by the next one only if it provably did
// not run the call and another entry may run it.
class ApiClient
{
public:
    explicit ApiClient(ApiOptions options);

    // Fails with the code and message of the entry's error, ConnectionFailed if no entry could be
    // reached, OutcomeUnknown if a call that changes something may have run, and BadAnswer.
    std::optional<http::Response> send(const ApiCall &call);

    // send() whose answer must be a JSON object.
    std::optional<Json::Value> json(const ApiCall &call);

private:
    std::optional<http::Response> sendTo(const http::Endpoint &entry, const ApiCall &call);

    const ApiOptions m_options;
    http::ClientPool m_pool;
};

// True if the next entry may run a call that failed with this code.
bool worthNextEntry(core::ResultCode code);

// The reason in an error answer of the API.
core::Reason reasonOf(const http::Response &response);

// True for the ids and names that may stand in a path: letters, digits, dash, dot and underscore.
bool safeInPath(const std::string &segment);

} // namespace oleandercross::cli
