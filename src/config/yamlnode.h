#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

namespace oleandercross::config::detail {

// A file must fit into the body of a commit request together with its JSON escapes.
constexpr std::size_t MaxFileBytes = 512 << 10;
constexpr int MaxFileDepth = 16;

// A YAML value with the line on which it starts, counted from 1.
struct YamlNode
{
    enum class Kind { Null, Scalar, Sequence, Map };
    struct Member;

    Kind kind = Kind::Null;
    int line = 1;
    // Text of a scalar.
    std::string text;
    // True for scalars in quotes or blocks, which are always text.
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

// Parses one document. Refuses anchors, aliases and tags, so that the size of the result is bounded
// by the size of the text. Fails with ConfigSyntax, ConfigTooLarge, ConfigDuplicateKey or
// ConfigWrongType and "FILE:LINE: message".
std::optional<YamlNode> parseYaml(const std::string &text, const std::string &fileName);

} // namespace oleandercross::config::detail
