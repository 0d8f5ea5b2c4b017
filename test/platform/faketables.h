#pragma once

#include <oleandercross/core/resultcode.h>
#include <oleandercross/platform/tableservice.h>

#include <algorithm>
#include <map>
#include <vector>

namespace oleandercross::test {

// An in-memory table service that counts how often each write took effect. Not thread-safe.
class FakeTables
{
public:
    std::optional<platform::Row> read(const std::string &key) const
    {
        const auto it = m_rows.find(key);
        return it == m_rows.end() ? std::nullopt : std::optional(it->second);
    }

    std::int64_t versionOf(const std::string &key) const
    {
        const auto it = m_rows.find(key);
        return it == m_rows.end() ? 0 : it->second.version;
    }

    std::vector<platform::Row> scan(const std::string &prefix, const std::string &after,
                                    int limit) const
    {
        std::vector<platform::Row> rows;
        for (const auto &[key, row] : m_rows) {
            if (key.rfind(prefix, 0) == 0 && key > after && static_cast<int>(rows.size()) < limit)
                rows.push_back(row);
        }
        return rows;
    }

    // Returns the new version, or an empty optional if a condition does not hold.
    std::optional<std::int64_t> write(const platform::Transaction &transaction)
    {
        for (const platform::Condition &condition : transaction.conditions) {
            if (versionOf(condition.key) != condition.version)
                return std::nullopt;
        }
        ++m_version;
        for (const std::string &key : transaction.deletes)
            m_rows.erase(key);
        for (const platform::Put &put : transaction.puts)
            m_rows[put.key] = {put.key, put.value, m_version};
        ++m_effects[transaction.writeId];
        return m_version;
    }

    int effects(const std::string &writeId) const
    {
        const auto it = m_effects.find(writeId);
        return it == m_effects.end() ? 0 : it->second;
    }

    int markerCount() const
    {
        return static_cast<int>(std::count_if(m_rows.begin(), m_rows.end(), [](const auto &row) {
            return row.first.rfind("write-marker/", 0) == 0;
        }));
    }

private:
    std::map<std::string, platform::Row> m_rows;
    std::map<std::string, int> m_effects;
    std::int64_t m_version = 0;
};

} // namespace oleandercross::test
