#include "mapreader.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>
#include <absl/strings/string_view.h>

#include <algorithm>
#include <cmath>

namespace oleandercross::config::detail {

namespace {

using core::ResultCode;

constexpr std::size_t MaxTextBytes = 4096;
constexpr std::size_t DigestHexDigitCount = 64;
constexpr Range AcceleratorsPerWorkerRange{0, 64};
constexpr Range CoresPerWorkerRange{1, 4096};
constexpr Range MemoryMbPerWorkerRange{1, std::int64_t(64) << 20};

bool isDigit(char c)
{
    return c >= '0' && c <= '9';
}

bool isNameCharacter(char c)
{
    return isDigit(c) || (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || c == '-';
}

bool isLowerHexDigit(char c)
{
    return isDigit(c) || (c >= 'a' && c <= 'f');
}

bool isDecimalInteger(absl::string_view text)
{
    if (!text.empty() && text.front() == '-')
        text.remove_prefix(1);
    return !text.empty() && std::all_of(text.begin(), text.end(), isDigit);
}

bool isDecimalNumber(const std::string &text)
{
    const auto point = text.find('.');
    if (point == std::string::npos)
        return isDecimalInteger(text);
    const std::string fraction = text.substr(point + 1);
    return isDecimalInteger(text.substr(0, point)) && !fraction.empty()
        && std::all_of(fraction.begin(), fraction.end(), isDigit);
}

const YamlNode &missingNode()
{
    static const YamlNode node;
    return node;
}

const std::vector<YamlNode> &readItems(Errors &errors, const YamlNode &node, const char *key)
{
    if (node.kind != YamlNode::Kind::Sequence)
        errors.report(ResultCode::ConfigWrongType, node.line, absl::StrCat(key, " must be a list"));
    return node.items;
}

} // namespace

void Errors::report(ResultCode code, int line, const std::string &message)
{
    if (!m_first)
        m_first = core::Reason{code, absl::StrCat(m_fileName, ":", line, ": ", message)};
}

MapReader::MapReader(Errors &errors, const YamlNode &node, std::initializer_list<const char *> keys)
    : m_errors(errors)
    , m_node(node)
{
    if (node.kind != YamlNode::Kind::Map) {
        const bool absent = node.kind == YamlNode::Kind::Null;
        m_errors.report(absent ? ResultCode::ConfigMissingValue : ResultCode::ConfigWrongType,
                        node.line, "expected a map of keys and values");
        return;
    }
    for (const YamlNode::Member &member : node.members) {
        const bool known = std::any_of(keys.begin(), keys.end(),
                                       [&](const char *key) { return member.key == key; });
        if (!known)
            m_errors.report(ResultCode::ConfigUnknownKey, member.line,
                            absl::StrCat("unknown key '", member.key, "', expected one of ",
                                         absl::StrJoin(keys, ", ")));
    }
}

const YamlNode *MapReader::find(const char *key) const
{
    for (const YamlNode::Member &member : m_node.members) {
        if (member.key == key)
            return &member.value;
    }
    return nullptr;
}

int MapReader::line(const char *key) const
{
    const YamlNode *value = find(key);
    return value ? value->line : m_node.line;
}

const YamlNode *MapReader::optional(const char *key)
{
    const YamlNode *value = find(key);
    if (!value || value->kind != YamlNode::Kind::Null)
        return value;
    m_errors.report(ResultCode::ConfigMissingValue, value->line,
                    absl::StrCat("key '", key, "' has no value"));
    return nullptr;
}

const YamlNode *MapReader::required(const char *key)
{
    if (!find(key)) {
        m_errors.report(ResultCode::ConfigMissingValue, m_node.line,
                        absl::StrCat("key '", key, "' is missing"));
        return nullptr;
    }
    return optional(key);
}

const std::vector<YamlNode> &MapReader::list(const char *key)
{
    const YamlNode *value = optional(key);
    return value ? readItems(m_errors, *value, key) : missingNode().items;
}

const std::vector<YamlNode> &MapReader::requiredList(const char *key)
{
    const YamlNode *value = required(key);
    return value ? readItems(m_errors, *value, key) : missingNode().items;
}

std::int64_t MapReader::integer(const char *key, Range range)
{
    const YamlNode *value = required(key);
    return value ? readInteger(m_errors, *value, key, range) : range.min;
}

std::int64_t MapReader::integer(const char *key, Range range, std::int64_t fallback)
{
    const YamlNode *value = optional(key);
    return value ? readInteger(m_errors, *value, key, range) : fallback;
}

absl::Duration MapReader::seconds(const char *key, absl::Duration min, absl::Duration max,
                                  absl::Duration fallback)
{
    const YamlNode *value = optional(key);
    if (!value)
        return fallback;
    double number = 0;
    if (value->kind != YamlNode::Kind::Scalar || value->quoted || !isDecimalNumber(value->text)
        || !absl::SimpleAtod(value->text, &number)) {
        m_errors.report(ResultCode::ConfigWrongType, value->line,
                        absl::StrCat(key, " must be a number of seconds"));
        return fallback;
    }
    // Messages between processes have a resolution of milliseconds.
    const absl::Duration duration = absl::Milliseconds(std::llround(number * 1000));
    if (duration >= min && duration <= max)
        return duration;
    m_errors.report(ResultCode::ConfigOutOfRange, value->line,
                    absl::StrCat(key, " must be between ", absl::ToDoubleSeconds(min), " and ",
                                 absl::ToDoubleSeconds(max), " seconds"));
    return fallback;
}

std::string MapReader::text(const char *key)
{
    const YamlNode *value = required(key);
    return value ? readText(m_errors, *value, key) : std::string();
}

http::Endpoint MapReader::endpoint(const char *key)
{
    const YamlNode *value = required(key);
    return value ? readEndpoint(m_errors, *value, key) : http::Endpoint();
}

std::string readText(Errors &errors, const YamlNode &node, const char *what)
{
    if (node.kind == YamlNode::Kind::Null) {
        errors.report(ResultCode::ConfigMissingValue, node.line, absl::StrCat(what, " is empty"));
        return {};
    }
    if (node.kind != YamlNode::Kind::Scalar) {
        errors.report(ResultCode::ConfigWrongType, node.line,
                      absl::StrCat(what, " must be a string"));
        return {};
    }
    if (node.text.empty())
        errors.report(ResultCode::ConfigMissingValue, node.line, absl::StrCat(what, " is empty"));
    if (node.text.size() > MaxTextBytes)
        errors.report(ResultCode::ConfigOutOfRange, node.line,
                      absl::StrCat(what, " is longer than ", MaxTextBytes, " bytes"));
    return node.text;
}

std::string readName(Errors &errors, const YamlNode &node, const char *what)
{
    std::string name = readText(errors, node, what);
    if (name.size() > MaxNameLength || !std::all_of(name.begin(), name.end(), isNameCharacter))
        errors.report(ResultCode::ConfigOutOfRange, node.line,
                      absl::StrCat(what, " must consist of at most ", MaxNameLength,
                                   " letters, digits and dashes"));
    return name;
}

std::string readDigest(Errors &errors, const YamlNode &node, const char *what)
{
    std::string digest = readText(errors, node, what);
    if (digest.size() != DigestHexDigitCount
        || !std::all_of(digest.begin(), digest.end(), isLowerHexDigit))
        errors.report(ResultCode::ConfigOutOfRange, node.line,
                      absl::StrCat(what, " must be a SHA-256 hash of ", DigestHexDigitCount,
                                   " hexadecimal digits in lower case"));
    return digest;
}

std::int64_t readInteger(Errors &errors, const YamlNode &node, const char *what, Range range)
{
    if (node.kind != YamlNode::Kind::Scalar || node.quoted || !isDecimalInteger(node.text)) {
        errors.report(ResultCode::ConfigWrongType, node.line,
                      absl::StrCat(what, " must be an integer"));
        return range.min;
    }
    std::int64_t value = 0;
    if (absl::SimpleAtoi(node.text, &value) && value >= range.min && value <= range.max)
        return value;
    errors.report(ResultCode::ConfigOutOfRange, node.line,
                  absl::StrCat(what, " must be between ", range.min, " and ", range.max));
    return range.min;
}

http::Endpoint readEndpoint(Errors &errors, const YamlNode &node, const char *what)
{
    const std::string text = readText(errors, node, what);
    const std::optional<http::Endpoint> endpoint = http::parseEndpoint(text);
    // The comparison rejects blanks, signs and leading zeros, which the number parser accepts.
    if (endpoint && http::toString(*endpoint) == text)
        return *endpoint;
    errors.report(ResultCode::ConfigOutOfRange, node.line,
                  absl::StrCat(what, " must be an IP address and port such as 127.0.0.1:7100"));
    return {};
}

core::Resources readResources(Errors &errors, const YamlNode &node)
{
    MapReader map(errors, node, {"accelerators", "cores", "memoryMb"});
    core::Resources resources;
    resources.accelerators =
        static_cast<int>(map.integer("accelerators", AcceleratorsPerWorkerRange));
    resources.cores = static_cast<int>(map.integer("cores", CoresPerWorkerRange));
    resources.memoryMb = map.integer("memoryMb", MemoryMbPerWorkerRange);
    return resources;
}

} // namespace oleandercross::config::detail
