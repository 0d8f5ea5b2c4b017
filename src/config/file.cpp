#include <oleandercross/config/file.h>

#include "yamlnode.h"

#include <oleandercross/core/resultcode.h>

#include <absl/strings/str_cat.h>

#include <cerrno>
#include <cstring>
#include <fstream>

namespace oleandercross::config {

std::optional<std::string> readFile(const std::string &fileName)
{
    std::ifstream file(fileName, std::ios::binary);
    // The extra byte detects files that exceed the limit.
    std::string text(detail::MaxFileBytes + 1, '\0');
    if (file)
        file.read(text.data(), static_cast<std::streamsize>(text.size()));
    // Reading a directory fails without setting the end-of-file flag.
    if (!file && !file.eof())
        return core::fail(core::ResultCode::ConfigUnreadable,
                          absl::StrCat(fileName, ":1: ", std::strerror(errno)));
    text.resize(static_cast<std::size_t>(file.gcount()));
    if (text.size() > detail::MaxFileBytes)
        return core::fail(
            core::ResultCode::ConfigTooLarge,
            absl::StrCat(fileName, ":1: the file is larger than ", detail::MaxFileBytes, " bytes"));
    return text;
}

} // namespace oleandercross::config
