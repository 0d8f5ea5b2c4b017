#include "yamlnode.h"

#include <oleandercross/core/resultcode.h>

#include <absl/container/flat_hash_set.h>
#include <absl/strings/str_cat.h>
#include <yaml-cpp/eventhandler.h>
#include <yaml-cpp/exceptions.h>
#include <yaml-cpp/parser.h>

#include <sstream>

namespace oleandercross::config::detail {

namespace {

// Leaves the YAML parser from inside an event.
struct Refused
{
    core::ResultCode code;
    int line;
    std::string message;
};

int lineOf(const YAML::Mark &mark)
{
    return mark.line < 0 ? 1 : mark.line + 1;
}

YamlNode nodeOf(YamlNode::Kind kind, const YAML::Mark &mark)
{
    YamlNode node;
    node.kind = kind;
    node.line = lineOf(mark);
    return node;
}

// Builds the tree. The parser reports nesting through start and end events.
class TreeBuilder : public YAML::EventHandler
{
public:
    YamlNode takeRoot() { return std::move(m_root); }

    void OnDocumentStart(const YAML::Mark &) override { }
    void OnDocumentEnd() override { }

    void OnNull(const YAML::Mark &mark, YAML::anchor_t anchor) override
    {
        refuseAnchor(mark, anchor);
        add(nodeOf(YamlNode::Kind::Null, mark));
    }

    void OnAlias(const YAML::Mark &mark, YAML::anchor_t) override
    {
        throw Refused{core::ResultCode::ConfigSyntax, lineOf(mark), "aliases are not allowed"};
    }

    void OnScalar(const YAML::Mark &mark, const std::string &tag, YAML::anchor_t anchor,
                  const std::string &value) override
    {
        refuseAnchor(mark, anchor);
        // The parser reports plain scalars as "?" and quoted ones as "!".
        if (tag != "?" && tag != "!")
            throw Refused{core::ResultCode::ConfigSyntax, lineOf(mark), "tags are not allowed"};
        YamlNode node = nodeOf(YamlNode::Kind::Scalar, mark);
        node.text = value;
        node.quoted = tag == "!";
        add(std::move(node));
    }

    void OnSequenceStart(const YAML::Mark &mark, const std::string &tag, YAML::anchor_t anchor,
                         YAML::EmitterStyle::value) override
    {
        open(YamlNode::Kind::Sequence, mark, tag, anchor);
    }

    void OnSequenceEnd() override { close(); }

    void OnMapStart(const YAML::Mark &mark, const std::string &tag, YAML::anchor_t anchor,
                    YAML::EmitterStyle::value) override
    {
        open(YamlNode::Kind::Map, mark, tag, anchor);
    }

    void OnMapEnd() override { close(); }

private:
    struct Level
    {
        YamlNode node;
        // The key that waits for its value; none while a key is expected.
        std::optional<YamlNode> key;
        absl::flat_hash_set<std::string> keys;
    };

    static void refuseAnchor(const YAML::Mark &mark, YAML::anchor_t anchor)
    {
        if (anchor != 0)
            throw Refused{core::ResultCode::ConfigSyntax, lineOf(mark), "anchors are not allowed"};
    }

    void open(YamlNode::Kind kind, const YAML::Mark &mark, const std::string &tag,
              YAML::anchor_t anchor)
    {
        refuseAnchor(mark, anchor);
        if (!tag.empty() && tag != "?")
            throw Refused{core::ResultCode::ConfigSyntax, lineOf(mark), "tags are not allowed"};
        if (static_cast<int>(m_levels.size()) >= MaxFileDepth)
            throw Refused{core::ResultCode::ConfigTooLarge, lineOf(mark),
                          absl::StrCat("nested deeper than ", MaxFileDepth, " levels")};
        m_levels.push_back({nodeOf(kind, mark), std::nullopt, {}});
    }

    void close()
    {
        YamlNode node = std::move(m_levels.back().node);
        m_levels.pop_back();
        add(std::move(node));
    }

    void add(YamlNode node)
    {
        if (m_levels.empty()) {
            m_root = std::move(node);
            return;
        }
        Level &level = m_levels.back();
        if (level.node.kind == YamlNode::Kind::Sequence)
            level.node.items.push_back(std::move(node));
        else if (!level.key)
            addKey(level, std::move(node));
        else
            addMember(level, std::move(node));
    }

    static void addKey(Level &level, YamlNode key)
    {
        if (key.kind != YamlNode::Kind::Scalar)
            throw Refused{core::ResultCode::ConfigWrongType, key.line, "a key must be a text"};
        if (!level.keys.insert(key.text).second)
            throw Refused{core::ResultCode::ConfigDuplicateKey, key.line,
                          absl::StrCat("key '", key.text, "' occurs twice")};
        level.key = std::move(key);
    }

    static void addMember(Level &level, YamlNode value)
    {
        // The parser notices a missing value only at the next token, which may be lines below.
        if (value.kind == YamlNode::Kind::Null)
            value.line = level.key->line;
        level.node.members.push_back(
            {.key = level.key->text, .line = level.key->line, .value = std::move(value)});
        level.key.reset();
    }

    YamlNode m_root;
    std::vector<Level> m_levels;
};

std::nullopt_t refuse(const std::string &fileName, const Refused &reason)
{
    return core::fail(reason.code, absl::StrCat(fileName, ":", reason.line, ": ", reason.message));
}

} // namespace

std::optional<YamlNode> parseYaml(const std::string &text, const std::string &fileName)
{
    if (text.size() > MaxFileBytes)
        return refuse(
            fileName,
            {core::ResultCode::ConfigTooLarge, 1,
             absl::StrCat("the file has ", text.size(), " bytes, the limit is ", MaxFileBytes)});
    try {
        std::istringstream stream(text);
        YAML::Parser parser(stream);
        TreeBuilder builder;
        parser.HandleNextDocument(builder);
        YamlNode root = builder.takeRoot();
        TreeBuilder second;
        if (parser.HandleNextDocument(second))
            return refuse(fileName,
                          {core::ResultCode::ConfigSyntax, second.takeRoot().line,
                           "only one document is allowed"});
        return root;
    } catch (const Refused &reason) {
        return refuse(fileName, reason);
    } catch (const YAML::Exception &e) {
        return refuse(fileName, {core::ResultCode::ConfigSyntax, lineOf(e.mark), e.msg});
    }
}

} // namespace oleandercross::config::detail
