#include "text.h"

#include <oleandercross/core/json.h>

#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>
#include <absl/strings/str_join.h>

#include <algorithm>

namespace oleandercross::cli {

namespace {

// Limits the node table so that the status of a large cluster fits on one screen.
constexpr std::size_t MaxNodeRows = 24;

std::string valueText(const Json::Value &value)
{
    return value.isString() ? value.asString() : core::writeJson(value);
}

void appendMemberLines(std::string &text, const std::string &prefix, const Json::Value &object)
{
    for (const std::string &key : object.getMemberNames()) {
        const Json::Value &value = object[key];
        const std::string name = prefix.empty() ? key : absl::StrCat(prefix, ".", key);
        if (value.isObject())
            appendMemberLines(text, name, value);
        else
            absl::StrAppend(&text, name, ": ", valueText(value), "\n");
    }
}

const char *yesNo(bool value)
{
    return value ? "yes" : "no";
}

std::string leaderText(const Json::Value &status)
{
    std::vector<std::vector<std::string>> rows = {{"DATA CENTRE", "LEADER", "EPOCH"}};
    for (const Json::Value &leader : core::member(status, "leaders"))
        rows.push_back({core::stringMember(leader, "dataCentre"),
                        core::stringMember(leader, "entry", "none"),
                        absl::StrCat(core::intMember(leader, "epoch"))});
    return table(rows);
}

// Returns the sort key of a node; nodes that need attention have lower ranks.
int nodeSortRank(const Json::Value &node, std::int64_t revision)
{
    if (!core::boolMember(node, "live"))
        return 0;
    if (core::intMember(node, "revision") < revision)
        return 1;
    return core::boolMember(node, "draining") ? 2 : 3;
}

std::string nodeText(const Json::Value &status)
{
    const std::int64_t revision = core::intMember(status, "revision");
    std::vector<const Json::Value *> nodes;
    for (const Json::Value &node : core::member(status, "nodes"))
        nodes.push_back(&node);
    std::stable_sort(nodes.begin(), nodes.end(), [&](const auto *a, const auto *b) {
        return nodeSortRank(*a, revision) < nodeSortRank(*b, revision);
    });
    std::vector<std::vector<std::string>> rows = {
        {"NODE", "ROLE", "DATA CENTRE", "REVISION", "LIVE", "DRAINING"}};
    const std::size_t shown = std::min(nodes.size(), MaxNodeRows);
    for (std::size_t i = 0; i < shown; ++i) {
        const Json::Value &node = *nodes[i];
        rows.push_back({core::stringMember(node, "id"), core::stringMember(node, "role"),
                        core::stringMember(node, "dataCentre"),
                        absl::StrCat(core::intMember(node, "revision")),
                        yesNo(core::boolMember(node, "live")),
                        yesNo(core::boolMember(node, "draining"))});
    }
    std::string text = table(rows);
    if (nodes.size() > shown)
        absl::StrAppend(&text, "and ", nodes.size() - shown, " more nodes\n");
    return text;
}

std::string shortfallText(const Json::Value &status)
{
    std::string text;
    for (const Json::Value &shortfall : core::member(status, "shortfalls")) {
        absl::StrAppend(&text, "shortfall: ", core::stringMember(shortfall, "account"), " in ",
                        core::stringMember(shortfall, "dataCentre"), " misses ",
                        core::stringMember(shortfall, "missing"), "\n");
    }
    return text;
}

} // namespace

std::string table(const std::vector<std::vector<std::string>> &rows)
{
    std::vector<std::size_t> widths;
    for (const auto &row : rows) {
        widths.resize(std::max(widths.size(), row.size()));
        for (std::size_t i = 0; i < row.size(); ++i)
            widths[i] = std::max(widths[i], row[i].size());
    }
    std::string text;
    for (const auto &row : rows) {
        std::string line;
        for (std::size_t i = 0; i < row.size(); ++i)
            absl::StrAppendFormat(&line, "%-*s  ", static_cast<int>(widths[i]), row[i]);
        line.erase(line.find_last_not_of(' ') + 1);
        absl::StrAppend(&text, line, "\n");
    }
    return text;
}

std::string memberLines(const Json::Value &object)
{
    std::string text;
    appendMemberLines(text, {}, object);
    return text;
}

std::string statusText(const Json::Value &status)
{
    std::string text =
        absl::StrCat("entry ", core::stringMember(status, "entry"), " in ",
                     core::stringMember(status, "dataCentre"), ", revision ",
                     core::intMember(status, "revision"), ", store ",
                     core::boolMember(status, "storeAvailable") ? "available" : "UNAVAILABLE",
                     ", jobs ", core::intMember(status, "queuedJobs"), " queued ",
                     core::intMember(status, "runningJobs"), " running\n");
    absl::StrAppend(&text, shortfallText(status), "\n", leaderText(status), "\n", nodeText(status));
    return text;
}

} // namespace oleandercross::cli
