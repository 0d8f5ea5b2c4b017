#pragma once

#include <oleandercross/platform/tableservice.h>

#include <map>
#include <optional>
#include <set>
#include <string>

namespace oleandercross::fuzz {

// In-memory table service with the transaction rules of the real one and without faults.
class TableFake
{
public:
    std::optional<platform::Row> read(const std::string &key) const
    {
        const auto it = m_rows.find(key);
        return it == m_rows.end() ? std::nullopt : std::optional(it->second);
    }

    // Returns the new version, or an empty optional if a condition does not hold.
    std::optional<std::int64_t> write(const platform::Transaction &transaction)
    {
        for (const platform::Condition &condition : transaction.conditions) {
            const auto row = read(condition.key);
            if ((row ? row->version : 0) != condition.version)
                return std::nullopt;
        }
        ++m_version;
        for (const platform::Put &put : transaction.puts)
            m_rows[put.key] = {put.key, put.value, m_version};
        m_applied.insert(transaction.writeId);
        return m_version;
    }

    bool applied(const std::string &writeId) const { return m_applied.contains(writeId); }

private:
    std::map<std::string, platform::Row> m_rows;
    std::set<std::string> m_applied;
    std::int64_t m_version = 0;
};

} // namespace oleandercross::fuzz
