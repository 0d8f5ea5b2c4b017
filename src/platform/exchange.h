#pragma once

#include <oleandercross/http/clientpool.h>

#include <json/value.h>

#include <optional>
#include <string>

namespace oleandercross::platform::detail {

// Sends a request with a new random id. Accepts the response only if it has the same id and its
// stated length matches its body. Fails with the reasons of http::ClientPool::send().
std::optional<http::Response> exchange(http::ClientPool &pool, const http::Endpoint &endpoint,
                                       http::Request request, absl::Duration timeout);

// Same as exchange(), with the given id.
std::optional<http::Response> exchangeWithId(http::ClientPool &pool, const http::Endpoint &endpoint,
                                             http::Request request, const std::string &id,
                                             absl::Duration timeout);

// Returns a POST request with a JSON body.
http::Request post(const std::string &path, const Json::Value &body);

} // namespace oleandercross::platform::detail
