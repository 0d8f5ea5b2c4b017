#include "text.h"

#include <oleandercross/core/json.h>

#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>

#include <algorithm>
#include <limits>

namespace oleandercross::cli {

namespace {

constexpr double MicrosPerMilli = 1000;

struct SpanTree
{
    std::vector<const Json::Value *> roots;
    absl::flat_hash_map<std::string, std::vector<const Json::Value *>> children;
    std::int64_t start = std::numeric_limits<std::int64_t>::max();
};

std::int64_t startMicros(const Json::Value &span)
{
    return core::intMember(span, "timestamp");
}

void sortByStart(std::vector<const Json::Value *> &spans)
{
    std::stable_sort(spans.begin(), spans.end(), [](const auto *a, const auto *b) {
        return startMicros(*a) < startMicros(*b);
    });
}

SpanTree buildTree(const Json::Value &spans)
{
    absl::flat_hash_set<std::string> ids;
    for (const Json::Value &span : spans)
        ids.insert(core::stringMember(span, "id"));
    SpanTree tree;
    for (const Json::Value &span : spans) {
        tree.start = std::min(tree.start, startMicros(span));
        const std::string parent = core::stringMember(span, "parentId");
        if (ids.contains(parent) && parent != core::stringMember(span, "id"))
            tree.children[parent].push_back(&span);
        else
            tree.roots.push_back(&span);
    }
    sortByStart(tree.roots);
    for (auto &[parent, children] : tree.children)
        sortByStart(children);
    return tree;
}

std::string spanLine(const SpanTree &tree, const Json::Value &span, std::size_t depth)
{
    const std::string service =
        core::stringMember(core::member(span, "localEndpoint"), "serviceName");
    std::string line = absl::StrFormat(
        "%10.3f ms %10.3f ms  %s%s", (startMicros(span) - tree.start) / MicrosPerMilli,
        core::intMember(span, "duration") / MicrosPerMilli, std::string(2 * depth, ' '),
        core::stringMember(span, "name"));
    if (!service.empty())
        absl::StrAppend(&line, " [", service, "]");
    const Json::Value &tags = core::member(span, "tags");
    if (tags.isObject()) {
        for (const std::string &key : tags.getMemberNames())
            absl::StrAppend(&line, " ", key, "=", core::stringMember(tags, key.c_str()));
    }
    return line + "\n";
}

struct StackItem
{
    const Json::Value *span = nullptr;
    std::size_t depth = 0;
};

} // namespace

std::string traceTree(const Json::Value &spans)
{
    const SpanTree tree = buildTree(spans);
    std::string text = "     START      DURATION    SPAN\n";
    // Uses a stack instead of recursion, because the depth of the collector's response is
    // unbounded.
    std::vector<StackItem> stack;
    const auto push = [&](const std::vector<const Json::Value *> &level, std::size_t depth) {
        for (auto it = level.rbegin(); it != level.rend(); ++it)
            stack.push_back({*it, depth});
    };
    push(tree.roots, 0);
    absl::flat_hash_set<std::string> expanded;
    while (!stack.empty()) {
        const StackItem next = stack.back();
        stack.pop_back();
        absl::StrAppend(&text, spanLine(tree, *next.span, next.depth));
        const std::string id = core::stringMember(*next.span, "id");
        const auto children = tree.children.find(id);
        // Children of duplicate ids are printed once.
        if (children != tree.children.end() && expanded.insert(id).second)
            push(children->second, next.depth + 1);
    }
    return text;
}

} // namespace oleandercross::cli
