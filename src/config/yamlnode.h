#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

namespace oleandercross::config::detail {

// A manifest must fit into the body of a commit request, including its JSON escapes.
constexpr std::size_t MaxFileBytes = 512 << 10;
constexpr int MaxFileDepth = 16;

// A YAML value with the line on which it starts, numbered from 1.
struct YamlNode
{
    enum class Kind { Null, Scalar, Sequence, Map };
    struct Member;

    Kind kind = Kind::Null;
    int line = 1;
    // The value of a scalar.
    std::string text;
    // True for quoted and block scalars, which are always strings.
    bool quoted = false;
    std::vector<YamlNode> items;
    std::vector<Member> members;
};

struct YamlNode::Member
{
    std::string key;
    int line = 1;
    YamlNode value;
};

// Parses a single document. Rejects anchors, aliases and tags, which bounds the size of the result
// by the size of the text. Fails with ConfigSyntax, ConfigTooLarge, ConfigDuplicateKey or
// ConfigWrongType and "FILE:LINE: message".
std::optional<YamlNode> parseYaml(const std::string &text, const std::string &fileName);

} // namespace oleandercross::config::detail
