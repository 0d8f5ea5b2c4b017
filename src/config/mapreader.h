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

// The first error of a file. Reading goes on after an error with default values, so that callers
// check once at the end.
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

// Reads the members of a map. `keys` are all that are allowed. Every method without a fallback
// reports ConfigMissingValue if the key is absent.
class MapReader
{
public:
    MapReader(Errors &errors, const YamlNode &node, std::initializer_list<const char *> keys);

    // The member's value, or null if the key is absent. A key without a value is an error.
    const YamlNode *optional(const char *key);
    const YamlNode *required(const char *key);
    // The elements of a list; an absent optional list is empty.
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
    // The line of a member, or of the map if the member is absent.
    int line(const char *key) const;

private:
    const YamlNode *find(const char *key) const;

    Errors &m_errors;
    const YamlNode &m_node;
};

// Conversions of single values; each reports an error and returns a default on failure. `what`
// names the value in messages.
std::string textOf(Errors &errors, const YamlNode &node, const char *what);
std::string nameOf(Errors &errors, const YamlNode &node, const char *what);
std::string digestOf(Errors &errors, const YamlNode &node, const char *what);
std::int64_t integerOf(Errors &errors, const YamlNode &node, const char *what, Range range);
http::Endpoint endpointOf(Errors &errors, const YamlNode &node, const char *what);

// Reads {accelerators, cores, memoryMb}.
core::Resources resourcesOf(Errors &errors, const YamlNode &node);

template <typename Id>
Id MapReader::name(const char *key)
{
    const YamlNode *value = required(key);
    return value ? Id(nameOf(m_errors, *value, key)) : Id();
}

} // namespace oleandercross::config::detail
