#pragma once

#include <optional>
#include <string>

namespace oleandercross::config {

// Returns the content of a settings or manifest file of at most 512 KiB. Fails with
// ConfigUnreadable or ConfigTooLarge and "FILE:1: message".
std::optional<std::string> readFile(const std::string &fileName);

} // namespace oleandercross::config
