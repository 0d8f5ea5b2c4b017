#pragma once

#include <stdexcept>
#include <string>

namespace oleandercross::test {

// Replaces the first occurrence of `from`. Throws if there is none, so that a table row cannot
// silently test the unchanged text.
inline std::string replaceFirst(std::string text, const std::string &from, const std::string &to)
{
    const auto at = text.find(from);
    if (at == std::string::npos)
        throw std::logic_error("not in the text: " + from);
    return text.replace(at, from.size(), to);
}

} // namespace oleandercross::test
