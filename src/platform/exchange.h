#pragma once

#include <oleandercross/http/clientpool.h>

#include <json/value.h>

#include <optional>
#include <string>

namespace oleandercross::platform::detail {

// Sends a request under a fresh id and returns the answer only if it carries the same id and the
// length that it states. Fails with the reasons of http::ClientPool::send().
std::optional<http::Response> exchange(http::ClientPool &pool, const http::Endpoint &endpoint,
                                       http::Request request, absl::Duration timeout);

// As exchange(), with the id given.
std::optional<http::Response> exchangeAs(http::ClientPool &pool, const http::Endpoint &endpoint,
                                         http::Request request, const std::string &id,
                                         absl::Duration timeout);

// A POST request with a JSON body.
http::Request post(const std::string &path, const Json::Value &body);

} // namespace oleandercross::platform::detail
