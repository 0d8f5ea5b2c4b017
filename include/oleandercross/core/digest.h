#pragma once

#include <string>
#include <string_view>

namespace oleandercross::core {

// Returns the SHA-256 of the text as 64 hexadecimal digits in lower case.
std::string sha256Hex(std::string_view text);

// Returns the HMAC-SHA256 (RFC 2104) of the text as 64 hexadecimal digits in lower case.
std::string hmacSha256Hex(std::string_view key, std::string_view text);

// Compares two texts in a time that does not depend on where they differ, which prevents timing
// attacks.
bool equalConstantTime(std::string_view a, std::string_view b);

// Returns a new identifier of 32 hexadecimal digits from a cryptographic random generator. Ends the
// process if the generator fails.
std::string randomHexId();

} // namespace oleandercross::core
