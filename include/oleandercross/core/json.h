#pragma once

#include <json/value.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace oleandercross::core {

// Parses strict JSON: a single value without comments or duplicate keys, nested at most 32 levels
// deep. Fails with BadJson.
std::optional<Json::Value> parseJson(std::string_view text);

// Returns compact JSON on one line.
std::string writeJson(const Json::Value &value);

// Return the member, or the fallback if it is absent or of another type.
std::string stringMember(const Json::Value &object, const char *key, std::string fallback = {});
std::int64_t intMember(const Json::Value &object, const char *key, std::int64_t fallback = 0);
double doubleMember(const Json::Value &object, const char *key, double fallback = 0);
bool boolMember(const Json::Value &object, const char *key, bool fallback = false);

// Returns the member, or a null value if it is absent or `object` is not an object.
const Json::Value &member(const Json::Value &object, const char *key);

// The largest integer that every JSON implementation represents exactly (RFC 8259, section 6).
inline constexpr std::int64_t MaxExactInt = (std::int64_t{1} << 53) - 1;

// Inclusive limits of an integer.
struct IntRange
{
    std::int64_t min = 0;
    std::int64_t max = MaxExactInt;
};

// Return the member. Fail with BadField if it is absent, of another type or out of range.
std::optional<std::int64_t> requiredInt(const Json::Value &object, const char *key,
                                        IntRange range = {});
std::optional<std::string> requiredString(const Json::Value &object, const char *key);

// Returns the member, or the fallback if it is absent. Fails with BadField if it is of another type
// or out of range.
std::optional<std::int64_t> optionalInt(const Json::Value &object, const char *key,
                                        std::int64_t fallback, IntRange range = {});

} // namespace oleandercross::core
