#include <oleandercross/control/closeddatacentres.h>

#include <oleandercross/core/json.h>
#include <oleandercross/core/resultcode.h>
#include <oleandercross/core/text.h>
#include <oleandercross/telemetry/eventlog.h>

#include <algorithm>

namespace oleandercross::control {

std::set<std::string> ClosedDataCentres::names() const
{
    std::set<std::string> names;
    for (const auto &[name, version] : rows)
        names.insert(name);
    return names;
}

Json::Value toJson(const ClosedDataCentres &closed)
{
    Json::Value value(Json::objectValue);
    value["version"] = static_cast<Json::Int64>(closed.version);
    value["rows"] = Json::Value(Json::objectValue);
    for (const auto &[name, version] : closed.rows)
        value["rows"][name] = static_cast<Json::Int64>(version);
    return value;
}

std::optional<ClosedDataCentres> closedDataCentresFromJson(const Json::Value &value)
{
    const auto version = core::requiredInt(value, "version", {-1, core::MaxExactInt});
    if (!version)
        return std::nullopt;
    ClosedDataCentres closed;
    closed.version = *version;
    const Json::Value &rows = core::member(value, "rows");
    if (!rows.isObject())
        return core::fail(core::ResultCode::BadField, "\"rows\" is not an object");
    for (const std::string &name : rows.getMemberNames()) {
        const auto rowVersion = core::requiredInt(rows, name.c_str());
        if (!rowVersion)
            return std::nullopt;
        closed.rows.emplace(name, *rowVersion);
    }
    return closed;
}

ClosureReplica::ClosureReplica(std::string keyPrefix, telemetry::Metrics &metrics)
    : m_keyPrefix(std::move(keyPrefix))
    , m_metrics(metrics)
    , m_current(std::make_shared<const ClosedDataCentres>())
{ }

std::optional<std::string> ClosureReplica::nameIn(const StoredRow &row) const
{
    if (!row.key.starts_with(m_keyPrefix))
        return std::nullopt;
    std::string name = row.key.substr(m_keyPrefix.size());
    if (!name.empty() && name.size() <= core::MaxNameBytes && core::isPrintableUtf8(name))
        return name;
    telemetry::Event("data_centre_row_unreadable")
        .with("bytes", static_cast<std::int64_t>(name.size()))
        .with("version", row.version);
    return std::nullopt;
}

void ClosureReplica::apply(const TableUpdate &update)
{
    if (!enabled())
        return;
    absl::MutexLock lock(&m_mutex);
    if (update.version < m_current->version)
        return;
    ClosedDataCentres next;
    if (!update.wholeTable)
        next = *m_current;
    next.version = update.version;
    for (const StoredRow &row : update.rows) {
        // A set that was adopted from a peer contains the changes up to its version.
        if (!update.wholeTable && row.version <= m_current->version)
            continue;
        const auto name = nameIn(row);
        if (!name)
            continue;
        if (row.removed)
            next.rows.erase(*name);
        else
            next.rows[*name] = row.version;
    }
    replace(std::move(next), update.askedAt, "store");
}

void ClosureReplica::adopt(const ClosedDataCentres &closed, core::Instant confirmedAt)
{
    absl::MutexLock lock(&m_mutex);
    if (enabled() && closed.version >= m_current->version)
        replace(closed, confirmedAt, "peer");
}

void ClosureReplica::replace(ClosedDataCentres next, core::Instant confirmedAt, const char *source)
{
    const auto log = [source](const char *event, const std::string &name, std::int64_t version) {
        telemetry::Event(event)
            .with("data_centre", name)
            .with("version", version)
            .with("source", source);
    };
    for (const auto &[name, version] : next.rows) {
        if (!m_current->contains(name))
            log("data_centre_closed", name, version);
    }
    for (const auto &[name, version] : m_current->rows) {
        if (!next.contains(name))
            log("data_centre_opened", name, version);
    }
    if (next.rows != m_current->rows)
        m_changedVersion = next.version;
    m_confirmedAt = std::max(m_confirmedAt, confirmedAt);
    m_metrics.set("data_centres_closed", static_cast<std::int64_t>(next.rows.size()));
    if (next != *m_current)
        m_current = std::make_shared<const ClosedDataCentres>(std::move(next));
}

std::shared_ptr<const ClosedDataCentres> ClosureReplica::current() const
{
    absl::MutexLock lock(&m_mutex);
    return m_current;
}

std::int64_t ClosureReplica::changedVersion() const
{
    absl::MutexLock lock(&m_mutex);
    return m_changedVersion;
}

core::Instant ClosureReplica::confirmedAt() const
{
    absl::MutexLock lock(&m_mutex);
    return m_confirmedAt;
}

} // namespace oleandercross::control
