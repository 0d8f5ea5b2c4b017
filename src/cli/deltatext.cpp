#include "text.h"

#include <oleandercross/config/manifestcodec.h>
#include <oleandercross/core/json.h>

#include <absl/strings/str_cat.h>

#include <algorithm>

namespace oleandercross::cli {

namespace {

// Longer values are only named, so that a difference stays on one line.
constexpr std::size_t MaxValueLength = 60;

const Json::Value &partNamed(const Json::Value &parts, const std::string &name)
{
    static const Json::Value null;
    const auto it = std::find_if(parts.begin(), parts.end(), [&](const Json::Value &part) {
        return core::stringMember(part, "name") == name;
    });
    return it == parts.end() ? null : *it;
}

std::string memberDifference(const std::string &key, const Json::Value &from, const Json::Value &to)
{
    const std::string before = core::writeJson(from);
    const std::string after = core::writeJson(to);
    if (before.size() + after.size() > MaxValueLength)
        return absl::StrCat(key, " changed");
    return absl::StrCat(key, " ", before, " -> ", after);
}

std::string partDifference(const Json::Value &from, const Json::Value &to)
{
    std::string text;
    for (const std::string &key : to.getMemberNames()) {
        if (from[key] == to[key])
            continue;
        absl::StrAppend(&text, text.empty() ? " " : ", ",
                        memberDifference(key, from[key], to[key]));
    }
    return text;
}

void addParts(std::string &text, const Json::Value &changes, const Json::Value &base,
              const char *what)
{
    for (const Json::Value &part : core::member(changes, "added"))
        absl::StrAppend(&text, "+ ", what, " ", core::stringMember(part, "name"), "\n");
    for (const Json::Value &name : core::member(changes, "removed"))
        absl::StrAppend(&text, "- ", what, " ", name.asString(), "\n");
    for (const Json::Value &part : core::member(changes, "changed")) {
        const std::string name = core::stringMember(part, "name");
        absl::StrAppend(&text, "~ ", what, " ", name, ":",
                        partDifference(partNamed(base, name), part), "\n");
    }
}

void addDrains(std::string &text, const Json::Value &changes, const char *what)
{
    for (const Json::Value &name : core::member(changes, "added"))
        absl::StrAppend(&text, "+ drain ", what, " ", name.asString(), "\n");
    for (const Json::Value &name : core::member(changes, "removed"))
        absl::StrAppend(&text, "- drain ", what, " ", name.asString(), "\n");
}

} // namespace

std::string deltaText(const config::ManifestDelta &delta, const config::Manifest &base)
{
    const Json::Value changes = config::encode(delta);
    const Json::Value from = config::encode(base);
    std::string text;
    addParts(text, core::member(changes, "dataCentres"), from["dataCentres"], "data centre");
    addParts(text, core::member(changes, "accounts"), from["accounts"], "account");
    addParts(text, core::member(changes, "services"), from["services"], "service");
    addDrains(text, core::member(changes, "drainWorkers"), "worker");
    addDrains(text, core::member(changes, "drainMinions"), "minion");
    return text;
}

} // namespace oleandercross::cli
