#pragma once

#include <cstddef>
#include <string_view>

namespace oleandercross::core {

// The maximum length of names, which is also the store's limit for keys.
inline constexpr std::size_t MaxNameBytes = 200;

// Returns true for valid UTF-8 without control characters.
bool isPrintableUtf8(std::string_view text);

// Returns true for 1 to MaxNameBytes visible ASCII characters without a slash. Such names can be
// sent in headers and joined with slashes to unambiguous keys.
bool isKeyPart(std::string_view text);

} // namespace oleandercross::core
