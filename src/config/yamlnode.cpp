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

// Thrown by event handlers, because the YAML parser cannot be stopped in another way.
struct ParseError
{
    core::ResultCode code;
    int line;
    std::string message;
};

int lineNumber(const YAML::Mark &mark)
{
    return mark.line < 0 ? 1 : mark.line + 1;
}

YamlNode makeNode(YamlNode::Kind kind, const YAML::Mark &mark)
{
    YamlNode node;
    node.kind = kind;
    node.line = lineNumber(mark);
    return node;
}

// Builds the tree of nodes from the events of the parser.
class TreeBuilder : public YAML::EventHandler
{
public:
    YamlNode takeRoot() { return std::move(m_root); }

    void OnDocumentStart(const YAML::Mark &) override { }
    void OnDocumentEnd() override { }

    void OnNull(const YAML::Mark &mark, YAML::anchor_t anchor) override
    {
        rejectAnchor(mark, anchor);
        add(makeNode(YamlNode::Kind::Null, mark));
    }

    void OnAlias(const YAML::Mark &mark, YAML::anchor_t) override
    {
        throw ParseError{core::ResultCode::ConfigSyntax, lineNumber(mark),
                         "aliases are not allowed"};
    }

    void OnScalar(const YAML::Mark &mark, const std::string &tag, YAML::anchor_t anchor,
                  const std::string &value) override
    {
        rejectAnchor(mark, anchor);
        // The parser reports plain scalars as "?" and quoted ones as "!".
        if (tag != "?" && tag != "!")
            throw ParseError{core::ResultCode::ConfigSyntax, lineNumber(mark),
                             "tags are not allowed"};
        YamlNode node = makeNode(YamlNode::Kind::Scalar, mark);
        node.text = value;
        node.quoted = tag == "!";
        add(std::move(node));
    }

    void OnSequenceStart(const YAML::Mark &mark, const std::string &tag, YAML::anchor_t anchor,
                         YAML::EmitterStyle::value) override
    {
        beginCollection(YamlNode::Kind::Sequence, mark, tag, anchor);
    }

    void OnSequenceEnd() override { endCollection(); }

    void OnMapStart(const YAML::Mark &mark, const std::string &tag, YAML::anchor_t anchor,
                    YAML::EmitterStyle::value) override
    {
        beginCollection(YamlNode::Kind::Map, mark, tag, anchor);
    }

    void OnMapEnd() override { endCollection(); }

private:
    struct Frame
    {
        YamlNode node;
        // The key whose value comes next; empty if a key comes next.
        std::optional<YamlNode> key;
        absl::flat_hash_set<std::string> keys;
    };

    static void rejectAnchor(const YAML::Mark &mark, YAML::anchor_t anchor)
    {
        if (anchor != 0)
            throw ParseError{core::ResultCode::ConfigSyntax, lineNumber(mark),
                             "anchors are not allowed"};
    }

    void beginCollection(YamlNode::Kind kind, const YAML::Mark &mark, const std::string &tag,
                         YAML::anchor_t anchor)
    {
        rejectAnchor(mark, anchor);
        if (!tag.empty() && tag != "?")
            throw ParseError{core::ResultCode::ConfigSyntax, lineNumber(mark),
                             "tags are not allowed"};
        if (static_cast<int>(m_frames.size()) >= MaxFileDepth)
            throw ParseError{core::ResultCode::ConfigTooLarge, lineNumber(mark),
                             absl::StrCat("nested deeper than ", MaxFileDepth, " levels")};
        m_frames.push_back({makeNode(kind, mark), std::nullopt, {}});
    }

    void endCollection()
    {
        YamlNode node = std::move(m_frames.back().node);
        m_frames.pop_back();
        add(std::move(node));
    }

    void add(YamlNode node)
    {
        if (m_frames.empty()) {
            m_root = std::move(node);
            return;
        }
        Frame &frame = m_frames.back();
        if (frame.node.kind == YamlNode::Kind::Sequence)
            frame.node.items.push_back(std::move(node));
        else if (!frame.key)
            addKey(frame, std::move(node));
        else
            addMember(frame, std::move(node));
    }

    static void addKey(Frame &frame, YamlNode key)
    {
        if (key.kind != YamlNode::Kind::Scalar)
            throw ParseError{core::ResultCode::ConfigWrongType, key.line, "a key must be a string"};
        if (!frame.keys.insert(key.text).second)
            throw ParseError{core::ResultCode::ConfigDuplicateKey, key.line,
                             absl::StrCat("key '", key.text, "' occurs twice")};
        frame.key = std::move(key);
    }

    static void addMember(Frame &frame, YamlNode value)
    {
        // The parser reports a missing value at the next token, which may be some lines below.
        if (value.kind == YamlNode::Kind::Null)
            value.line = frame.key->line;
        frame.node.members.push_back(
            {.key = frame.key->text, .line = frame.key->line, .value = std::move(value)});
        frame.key.reset();
    }

    YamlNode m_root;
    std::vector<Frame> m_frames;
};

std::nullopt_t failWith(const std::string &fileName, const ParseError &reason)
{
    return core::fail(reason.code, absl::StrCat(fileName, ":", reason.line, ": ", reason.message));
}

} // namespace

std::optional<YamlNode> parseYaml(const std::string &text, const std::string &fileName)
{
    if (text.size() > MaxFileBytes)
        return failWith(
            fileName,
            {core::ResultCode::ConfigTooLarge, 1,
             absl::StrCat("the file has ", text.size(), " bytes, the limit is ", MaxFileBytes)});
    try {
        std::istringstream stream(text);
        YAML::Parser parser(stream);
        TreeBuilder builder;
        parser.HandleNextDocument(builder);
        YamlNode root = builder.takeRoot();
        TreeBuilder extraDocument;
        if (parser.HandleNextDocument(extraDocument))
            return failWith(fileName,
                            {core::ResultCode::ConfigSyntax, extraDocument.takeRoot().line,
                             "only one document is allowed"});
        return root;
    } catch (const ParseError &reason) {
        return failWith(fileName, reason);
    } catch (const YAML::Exception &e) {
        return failWith(fileName, {core::ResultCode::ConfigSyntax, lineNumber(e.mark), e.msg});
    }
}

} // namespace oleandercross::config::detail
