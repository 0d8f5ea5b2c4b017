#include <oleandercross/control/jobmarker.h>

#include <oleandercross/core/json.h>

#include <absl/strings/match.h>

namespace oleandercross::control {

namespace {

constexpr char RefusalText[] = R"({"refused":true})";
// The stored form of a job has no such member, so that its rows need not be parsed.
constexpr char CancellationPrefix[] = R"({"cancelled":)";

} // namespace

JobMarker::JobMarker(std::set<std::string> cancellers)
    : m_cancellers(std::move(cancellers))
{ }

std::optional<JobMarker> JobMarker::parse(const std::string &value)
{
    if (value == RefusalText)
        return refusal();
    if (!absl::StartsWith(value, CancellationPrefix))
        return std::nullopt;
    const std::optional<Json::Value> json = core::parseJson(value);
    if (!json)
        return std::nullopt;
    std::set<std::string> cancellers;
    for (const Json::Value &account : core::member(*json, "cancelled")) {
        if (account.isString())
            cancellers.insert(account.asString());
    }
    return JobMarker(std::move(cancellers));
}

JobMarker JobMarker::cancelledBy(const std::string &account) const
{
    std::set<std::string> cancellers = m_cancellers;
    cancellers.insert(account);
    return JobMarker(std::move(cancellers));
}

bool JobMarker::cancels(const std::string &account) const
{
    return m_cancellers.contains(account) || m_cancellers.contains({});
}

std::string JobMarker::encode() const
{
    if (m_cancellers.empty())
        return RefusalText;
    Json::Value value(Json::objectValue);
    for (const std::string &account : m_cancellers)
        value["cancelled"].append(account);
    return core::writeJson(value);
}

} // namespace oleandercross::control
