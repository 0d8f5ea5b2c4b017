#pragma once

#include <string>
#include <string_view>

namespace oleandercross::core {

// SHA-256 of the text, as 64 hexadecimal digits in lower case.
std::string sha256Hex(std::string_view text);

// HMAC-SHA256 (RFC 2104) of the text under the key, as 64 hexadecimal digits in lower case.
std::string hmacSha256Hex(std::string_view key, std::string_view text);

// Compares without revealing through its duration where the texts differ.
bool equalConstantTime(std::string_view a, std::string_view b);

// A new identifier of 32 hexadecimal digits from the system's random source.
std::string randomHexId();

} // namespace oleandercross::core
