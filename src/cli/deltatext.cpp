#include "text.h"

#include <oleandercross/config/manifestcodec.h>
#include <oleandercross/core/json.h>

#include <absl/strings/str_cat.h>

#include <algorithm>

namespace oleandercross::cli {

namespace {

// Longer values are reported as changed without the values, to keep a difference on one line.
constexpr std::size_t MaxValueLength = 60;

const Json::Value &findByName(const Json::Value &elements, const std::string &name)
{
    static const Json::Value null;
    const auto it = std::find_if(elements.begin(), elements.end(), [&](const Json::Value &element) {
        return core::stringMember(element, "name") == name;
    });
    return it == elements.end() ? null : *it;
}

std::string describeMemberChange(const std::string &key, const Json::Value &from,
                                 const Json::Value &to)
{
    const std::string before = core::writeJson(from);
    const std::string after = core::writeJson(to);
    if (before.size() + after.size() > MaxValueLength)
        return absl::StrCat(key, " changed");
    return absl::StrCat(key, " ", before, " -> ", after);
}

std::string describeElementChange(const Json::Value &from, const Json::Value &to)
{
    std::string text;
    for (const std::string &key : to.getMemberNames()) {
        if (from[key] == to[key])
            continue;
        absl::StrAppend(&text, text.empty() ? " " : ", ",
                        describeMemberChange(key, from[key], to[key]));
    }
    return text;
}

void appendElements(std::string &text, const Json::Value &changes, const Json::Value &base,
                    const char *what)
{
    for (const Json::Value &element : core::member(changes, "added"))
        absl::StrAppend(&text, "+ ", what, " ", core::stringMember(element, "name"), "\n");
    for (const Json::Value &name : core::member(changes, "removed"))
        absl::StrAppend(&text, "- ", what, " ", name.asString(), "\n");
    for (const Json::Value &element : core::member(changes, "changed")) {
        const std::string name = core::stringMember(element, "name");
        absl::StrAppend(&text, "~ ", what, " ", name, ":",
                        describeElementChange(findByName(base, name), element), "\n");
    }
}

void appendDrains(std::string &text, const Json::Value &changes, const char *what)
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
    appendElements(text, core::member(changes, "dataCentres"), from["dataCentres"], "data centre");
    appendElements(text, core::member(changes, "accounts"), from["accounts"], "account");
    appendElements(text, core::member(changes, "services"), from["services"], "service");
    appendDrains(text, core::member(changes, "drainWorkers"), "worker");
    appendDrains(text, core::member(changes, "drainMinions"), "minion");
    return text;
}

} // namespace oleandercross::cli
