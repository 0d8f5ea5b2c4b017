#include <oleandercross/core/text.h>

#include <absl/strings/ascii.h>

#include <algorithm>
#include <cstdint>

namespace oleandercross::core {

namespace {

// The smallest code point that is encoded in a number of bytes; longer encodings are invalid.
constexpr std::uint32_t MinCodePoints[] = {0, 0, 0x80, 0x800, 0x10000};
constexpr std::uint32_t MaxCodePoint = 0x10FFFF;

// Returns the number of bytes of the encoded character that begins with this byte, 0 if none does.
std::size_t encodedSize(unsigned char first)
{
    if (first < 0x80)
        return 1;
    if (first >= 0xC0 && first < 0xE0)
        return 2;
    if (first >= 0xE0 && first < 0xF0)
        return 3;
    return first >= 0xF0 && first < 0xF8 ? 4 : 0;
}

bool isPrintable(std::uint32_t codePoint)
{
    const bool surrogate = codePoint >= 0xD800 && codePoint < 0xE000;
    const bool control = codePoint < 0x20 || (codePoint >= 0x7F && codePoint < 0xA0);
    return !surrogate && !control && codePoint <= MaxCodePoint;
}

} // namespace

bool isPrintableUtf8(std::string_view text)
{
    for (std::size_t i = 0; i < text.size();) {
        const auto first = static_cast<unsigned char>(text[i]);
        const std::size_t size = encodedSize(first);
        if (size == 0 || i + size > text.size())
            return false;
        std::uint32_t codePoint = size == 1 ? first : first & (0x7FU >> size);
        for (std::size_t k = 1; k < size; ++k) {
            const auto next = static_cast<unsigned char>(text[i + k]);
            if ((next & 0xC0U) != 0x80)
                return false;
            codePoint = (codePoint << 6) | (next & 0x3FU);
        }
        if (codePoint < MinCodePoints[size] || !isPrintable(codePoint))
            return false;
        i += size;
    }
    return true;
}

bool isKeyPart(std::string_view text)
{
    return !text.empty() && text.size() <= MaxNameBytes
        && std::all_of(text.begin(), text.end(), [](char c) {
               return absl::ascii_isgraph(static_cast<unsigned char>(c)) && c != '/';
           });
}

} // namespace oleandercross::core
