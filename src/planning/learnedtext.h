#pragma once

#include <json/value.h>

#include <cstddef>
#include <functional>
#include <initializer_list>
#include <optional>
#include <string>
#include <vector>

namespace oleandercross::planning {

// Inclusive limits of a number.
struct NumberRange
{
    double min = 0;
    double max = 0;
};

// Returns a JSON array of the numbers with six significant digits.
std::string numberArray(std::initializer_list<double> numbers);

// Returns the numbers of a JSON array that has exactly one number in each of the ranges, otherwise
// nothing.
std::optional<std::vector<double>> readNumbers(const Json::Value &array,
                                               const std::vector<NumberRange> &ranges);

// Builds the text of a JSON object of limited size.
class EntryText
{
public:
    explicit EntryText(std::size_t maxBytes);

    // Adds a member whose value is given as JSON. Returns false without adding it if the name
    // cannot be restored or the text would exceed its limit.
    bool add(const std::string &name, const std::string &value);

    std::string text() const { return m_text + "}"; }

private:
    std::size_t m_maxBytes;
    std::string m_text = "{";
};

// Visits the members of a JSON object. The visitor returns false for a member that it ignores.
// Fails with BadJson or BadField if the text is not an object or a member was ignored.
bool restoreEntries(
    const std::string &text,
    const std::function<bool(const std::string &name, const Json::Value &value)> &visit);

} // namespace oleandercross::planning
