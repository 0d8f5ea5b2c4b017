#include <oleandercross/control/members.h>

#include <oleandercross/core/json.h>
#include <oleandercross/core/resultcode.h>
#include <oleandercross/core/text.h>
#include <oleandercross/telemetry/eventlog.h>

#include <algorithm>

namespace oleandercross::control {

std::string encodeMember(const Member &member)
{
    Json::Value value(Json::objectValue);
    value["role"] = member.role == MemberRole::Entry ? "entry" : "agent";
    value["address"] = toString(member.address);
    value["incarnation"] = member.incarnation;
    if (member.milliCores > 0)
        value["milliCores"] = static_cast<Json::Int64>(member.milliCores);
    return core::writeJson(value);
}

std::optional<Member> decodeMember(const std::string &name, const std::string &text)
{
    const std::optional<Json::Value> value = core::parseJson(text);
    if (!value)
        return std::nullopt;
    // The leader joins the names of agents and workers with slashes.
    if (!core::isKeyPart(name))
        return core::fail(core::ResultCode::BadField, "the name of the member is not a plain name");
    const auto address = http::parseEndpoint(core::stringMember(*value, "address"));
    if (!address)
        return std::nullopt;
    if (!http::isUnicast(*address))
        return core::fail(core::ResultCode::BadField,
                          "\"" + toString(*address) + "\" is not the address of one process");
    const std::string role = core::stringMember(*value, "role");
    if (role != "entry" && role != "agent")
        return core::fail(core::ResultCode::BadField, "\"" + role + "\" is not a member role");
    const std::string incarnation = core::stringMember(*value, "incarnation");
    if (incarnation.empty())
        return core::fail(core::ResultCode::BadField, "the member has no incarnation");
    const auto milliCores = core::optionalInt(*value, "milliCores", 0);
    if (!milliCores)
        return std::nullopt;
    return Member{name, role == "entry" ? MemberRole::Entry : MemberRole::Agent, *address,
                  incarnation, *milliCores};
}

Members::Members(Member self)
    : m_self(std::move(self))
{ }

bool Members::isOutdated(const StoredRow &row, const http::Endpoint &address) const
{
    return std::any_of(m_members.begin(), m_members.end(), [&](const auto &entry) {
        const auto &[name, known] = entry;
        return known.announced && known.version >= row.version
            && (name == row.key || known.member.address == address);
    });
}

void Members::applyRow(const StoredRow &row)
{
    m_newestRow = std::max(m_newestRow, row.version);
    if (row.removed) {
        const auto found = m_members.find(row.key);
        if (found != m_members.end() && found->second.version < row.version)
            m_members.erase(found);
        return;
    }
    const std::optional<Member> member = decodeMember(row.key, row.value);
    if (!member) {
        telemetry::Event("member_row_unreadable")
            .with("member", row.key)
            .with("reason", core::lastReason().message);
        return;
    }
    if (isOutdated(row, member->address))
        return;
    // An address that another member now uses no longer belongs to its former user.
    std::erase_if(m_members, [&member](const auto &entry) {
        return entry.second.member.address == member->address && entry.first != member->name;
    });
    m_members[row.key] = {*member, false, row.version};
}

void Members::replaceAll(const std::vector<StoredRow> &rows)
{
    absl::MutexLock lock(&m_mutex);
    std::erase_if(m_members, [](const auto &entry) { return !entry.second.announced; });
    std::vector<StoredRow> sorted = rows;
    std::sort(sorted.begin(), sorted.end(),
              [](const StoredRow &a, const StoredRow &b) { return a.version < b.version; });
    for (const StoredRow &row : sorted)
        applyRow(row);
    ++m_version;
}

void Members::apply(const std::vector<StoredRow> &rows)
{
    absl::MutexLock lock(&m_mutex);
    for (const StoredRow &row : rows)
        applyRow(row);
    ++m_version;
}

void Members::add(const Member &member)
{
    absl::MutexLock lock(&m_mutex);
    Known &known = m_members[member.name];
    const bool changed = known.member != member;
    known = {member, true, m_newestRow};
    if (changed)
        ++m_version;
}

void Members::setSeeds(std::vector<http::Endpoint> seeds)
{
    absl::MutexLock lock(&m_mutex);
    m_seeds = std::move(seeds);
}

std::vector<http::Endpoint> Members::peers() const
{
    absl::MutexLock lock(&m_mutex);
    std::vector<http::Endpoint> peers;
    for (const auto &[name, known] : m_members) {
        if (known.member.role == MemberRole::Entry && known.member.address != m_self.address)
            peers.push_back(known.member.address);
    }
    if (!peers.empty())
        return peers;
    for (const http::Endpoint &seed : m_seeds) {
        if (seed != m_self.address)
            peers.push_back(seed);
    }
    return peers;
}

std::map<std::string, http::Endpoint> Members::agents() const
{
    absl::MutexLock lock(&m_mutex);
    std::map<std::string, http::Endpoint> agents;
    for (const auto &[name, known] : m_members) {
        if (known.member.role == MemberRole::Agent)
            agents[name] = known.member.address;
    }
    return agents;
}

std::vector<Candidate> Members::candidates() const
{
    absl::MutexLock lock(&m_mutex);
    std::vector<Candidate> candidates{{m_self.name, m_self.milliCores}};
    for (const auto &[name, known] : m_members) {
        if (known.member.role == MemberRole::Entry && name != m_self.name)
            candidates.push_back({name, known.member.milliCores});
    }
    return candidates;
}

std::int64_t Members::version() const
{
    absl::MutexLock lock(&m_mutex);
    return m_version;
}

} // namespace oleandercross::control
