#include <oleandercross/control/learnedrows.h>

#include <oleandercross/core/json.h>

#include <algorithm>
#include <cmath>

namespace oleandercross::control {

namespace {

// Smaller differences are not worth a write.
constexpr double MinRelativeChange = 0.1;

bool differs(const Json::Value &before, const Json::Value &after)
{
    if (before.isNumeric() && after.isNumeric()) {
        const double a = before.asDouble();
        const double b = after.asDouble();
        return std::abs(a - b) > MinRelativeChange * std::max(std::abs(a), std::abs(b));
    }
    if (before.type() != after.type() || before.size() != after.size())
        return true;
    if (before.isArray())
        return !std::equal(before.begin(), before.end(), after.begin(),
                           [](const auto &a, const auto &b) { return !differs(a, b); });
    if (!before.isObject())
        return before != after;
    const std::vector<std::string> names = before.getMemberNames();
    return std::any_of(names.begin(), names.end(), [&](const std::string &name) {
        return !after.isMember(name) || differs(before[name], after[name]);
    });
}

} // namespace

planning::LearnedState LearnedRows::takeStored(const std::vector<StoredRow> &rows)
{
    planning::LearnedState state;
    for (const StoredRow &row : rows) {
        if (row.removed || !planning::isLearnedKey(row.key))
            continue;
        state[row.key] = row.value;
    }
    keep(rows);
    return state;
}

std::vector<StoredRow> LearnedRows::changes(const planning::LearnedState &state, core::Instant now)
{
    m_nextCheck = now + CheckPeriod;
    std::vector<StoredRow> changed;
    for (const auto &[key, text] : state) {
        const auto found = m_stored.find(key);
        const std::optional<Json::Value> value = core::parseJson(text);
        if (value && (found == m_stored.end() || differs(found->second, *value)))
            changed.push_back({LearnedTable, key, text});
    }
    return changed;
}

void LearnedRows::stored(const std::vector<StoredRow> &rows, core::Instant now)
{
    keep(rows);
    std::size_t bytes = 0;
    for (const StoredRow &row : rows)
        bytes += sentSize(row);
    m_nextCheck =
        std::max(m_nextCheck, now + absl::Seconds(static_cast<double>(bytes) / MaxBytesPerSecond));
}

void LearnedRows::keep(const std::vector<StoredRow> &rows)
{
    for (const StoredRow &row : rows) {
        if (row.removed || row.value.size() > planning::MaxLearnedRowBytes)
            continue;
        if (std::optional<Json::Value> value = core::parseJson(row.value))
            m_stored[row.key] = *std::move(value);
    }
}

} // namespace oleandercross::control
