#pragma once

#include "yamlnode.h"

#include <oleandercross/core/resources.h>
#include <oleandercross/core/resultcode.h>
#include <oleandercross/http/message.h>

#include <absl/time/time.h>

#include <cstdint>
#include <initializer_list>
#include <optional>
#include <string>
#include <vector>

namespace oleandercross::config::detail {

// Keeps the first error in a file. Readers continue with default values after an error, so that
// callers check first() once at the end.
class Errors
{
public:
    explicit Errors(std::string fileName)
        : m_fileName(std::move(fileName))
    { }

    void report(core::ResultCode code, int line, const std::string &message);
    const std::optional<core::Reason> &first() const { return m_first; }

private:
    const std::string m_fileName;
    std::optional<core::Reason> m_first;
};

struct Range
{
    std::int64_t min = 0;
    std::int64_t max = 0;
};

constexpr std::size_t MaxNameLength = 64;

// Reads the members of a map and reports keys other than `keys`. Methods without a fallback report
// ConfigMissingValue if the key is absent.
class MapReader
{
public:
    MapReader(Errors &errors, const YamlNode &node, std::initializer_list<const char *> keys);

    // Returns the value, or null if the key is absent. A key without a value is an error.
    const YamlNode *optional(const char *key);
    const YamlNode *required(const char *key);
    // Returns the elements of a list. An absent optional list is empty.
    const std::vector<YamlNode> &list(const char *key);
    const std::vector<YamlNode> &requiredList(const char *key);

    std::int64_t integer(const char *key, Range range);
    std::int64_t integer(const char *key, Range range, std::int64_t fallback);
    absl::Duration seconds(const char *key, absl::Duration min, absl::Duration max,
                           absl::Duration fallback);
    std::string text(const char *key);
    http::Endpoint endpoint(const char *key);

    template <typename Id>
    Id name(const char *key);

    int line() const { return m_node.line; }
    // Returns the line of a member's value, or of the map if the member is absent.
    int line(const char *key) const;

private:
    const YamlNode *find(const char *key) const;

    Errors &m_errors;
    const YamlNode &m_node;
};

// Convert a single value. On failure, they report an error and return a default or the invalid
// text. `what` names the value in messages.
std::string readText(Errors &errors, const YamlNode &node, const char *what);
std::string readName(Errors &errors, const YamlNode &node, const char *what);
std::string readDigest(Errors &errors, const YamlNode &node, const char *what);
std::int64_t readInteger(Errors &errors, const YamlNode &node, const char *what, Range range);
http::Endpoint readEndpoint(Errors &errors, const YamlNode &node, const char *what);

// Reads {accelerators, cores, memoryMb}.
core::Resources readResources(Errors &errors, const YamlNode &node);

template <typename Id>
Id MapReader::name(const char *key)
{
    const YamlNode *value = required(key);
    return value ? Id(readName(m_errors, *value, key)) : Id();
}

} // namespace oleandercross::config::detail
