#pragma once

#include <json/value.h>

#include <optional>
#include <string>
#include <string_view>

namespace oleandercross::core {

// Parses strict JSON: one value, no comments, no duplicate keys, depth at most 32.
// Fails with BadJson.
std::optional<Json::Value> parseJson(std::string_view text);

// Writes compact JSON on one line.
std::string writeJson(const Json::Value &value);

// Typed member access for messages. An absent member or one of another type gives the fallback.
std::string stringMember(const Json::Value &object, const char *key, std::string fallback = {});
std::int64_t intMember(const Json::Value &object, const char *key, std::int64_t fallback = 0);
double doubleMember(const Json::Value &object, const char *key, double fallback = 0);
bool boolMember(const Json::Value &object, const char *key, bool fallback = false);

// The member if it is an array or object, otherwise a shared null value.
const Json::Value &member(const Json::Value &object, const char *key);

} // namespace oleandercross::core
