#include "learnedtext.h"

#include <oleandercross/core/json.h>
#include <oleandercross/core/resultcode.h>
#include <oleandercross/core/text.h>

#include <absl/strings/str_cat.h>
#include <json/writer.h>

#include <cmath>

namespace oleandercross::planning {

namespace {

// Enough for a worker's key, which is made of several names.
constexpr std::size_t MaxEntryNameBytes = 3 * core::MaxNameBytes;

bool isEntryName(const std::string &name)
{
    return !name.empty() && name.size() <= MaxEntryNameBytes && core::isPrintableUtf8(name);
}

} // namespace

std::string numberArray(std::initializer_list<double> numbers)
{
    std::string text = "[";
    for (const double number : numbers)
        absl::StrAppend(&text, text.size() > 1 ? "," : "", number);
    return text + "]";
}

std::optional<std::vector<double>> readNumbers(const Json::Value &array,
                                               const std::vector<NumberRange> &ranges)
{
    if (!array.isArray() || array.size() != ranges.size())
        return std::nullopt;
    std::vector<double> numbers;
    for (const Json::Value &element : array) {
        const NumberRange &range = ranges[numbers.size()];
        if (!element.isNumeric())
            return std::nullopt;
        const double number = element.asDouble();
        // The negated comparison also excludes a number that is not finite.
        if (!(number >= range.min && number <= range.max))
            return std::nullopt;
        numbers.push_back(number);
    }
    return numbers;
}

EntryText::EntryText(std::size_t maxBytes)
    : m_maxBytes(maxBytes)
{ }

bool EntryText::add(const std::string &name, const std::string &value)
{
    if (!isEntryName(name))
        return false;
    const std::string member = absl::StrCat(m_text.size() > 1 ? "," : "",
                                            Json::valueToQuotedString(name.c_str()), ":", value);
    // One byte is left for the closing bracket.
    if (m_text.size() + member.size() + 1 > m_maxBytes)
        return false;
    m_text += member;
    return true;
}

bool restoreEntries(
    const std::string &text,
    const std::function<bool(const std::string &name, const Json::Value &value)> &visit)
{
    const std::optional<Json::Value> object = core::parseJson(text);
    if (!object)
        return false;
    if (!object->isObject()) {
        core::fail(core::ResultCode::BadField, "the learned state is not an object");
        return false;
    }
    int ignored = 0;
    for (const std::string &name : object->getMemberNames()) {
        if (!isEntryName(name) || !visit(name, (*object)[name]))
            ++ignored;
    }
    if (ignored > 0)
        core::fail(core::ResultCode::BadField, absl::StrCat(ignored, " entries are unreadable"));
    return ignored == 0;
}

} // namespace oleandercross::planning
