#pragma once

#include <oleandercross/control/rowstore.h>

#include <absl/synchronization/mutex.h>

#include <deque>
#include <map>
#include <utility>

namespace oleandercross::control::testing {

// An in-memory store whose next transactions can be lost, delayed or refused.
class FakeRowStore : public RowStore
{
public:
    enum class Fault {
        None,
        // The transaction is not applied, and commit() returns Refused.
        Refuse,
        // The transaction is applied, but the response is lost.
        LoseAnswer,
        // There is no response, and the transaction is applied by applyDelayed() only.
        Delay,
    };

    // Adds faults for the next transactions, one each.
    void injectFaults(std::initializer_list<Fault> faults)
    {
        absl::MutexLock lock(&m_mutex);
        m_faults.insert(m_faults.end(), faults);
    }

    void clearFaults()
    {
        absl::MutexLock lock(&m_mutex);
        m_faults.clear();
    }

    // Returns the version of the latest transaction.
    std::int64_t version() const
    {
        absl::MutexLock lock(&m_mutex);
        return m_version;
    }

    // Applies the delayed transactions whose conditions still hold; returns their number.
    int applyDelayed()
    {
        absl::MutexLock lock(&m_mutex);
        int applied = 0;
        for (const RowChanges &changes : std::exchange(m_delayed, {}))
            applied += apply(changes).outcome == CommitOutcome::Applied ? 1 : 0;
        return applied;
    }

    void setUnavailable(bool unavailable)
    {
        absl::MutexLock lock(&m_mutex);
        m_unavailable = unavailable;
    }

    // Requests for the changes of this table get no answer until it is called with another one.
    void holdChanges(const std::string &table)
    {
        absl::MutexLock lock(&m_mutex);
        m_heldTable = table;
    }

    // Returns how many transactions exceeded a limit of the store.
    int rejections() const
    {
        absl::MutexLock lock(&m_mutex);
        return m_rejections;
    }

    // Limits the size of rows further.
    void setMaxRowBytes(std::size_t bytes)
    {
        absl::MutexLock lock(&m_mutex);
        m_maxRowBytes = bytes;
    }

    int commits() const
    {
        absl::MutexLock lock(&m_mutex);
        return m_commits;
    }

    // Returns how many calls have asked for the changes of the table.
    int reads(const std::string &table) const
    {
        absl::MutexLock lock(&m_mutex);
        const auto found = m_reads.find(table);
        return found == m_reads.end() ? 0 : found->second;
    }

    std::optional<std::string> value(const std::string &table, const std::string &key) const
    {
        absl::MutexLock lock(&m_mutex);
        const auto found = m_rows.find({table, key});
        return found == m_rows.end() ? std::nullopt : std::optional(found->second.value);
    }

    CommitResult commit(const RowChanges &changes, absl::Duration) override
    {
        absl::MutexLock lock(&m_mutex);
        ++m_commits;
        const Fault fault = m_faults.empty() ? Fault::None : m_faults.front();
        if (!m_faults.empty())
            m_faults.pop_front();
        if (m_unavailable || fault == Fault::Refuse)
            return {CommitOutcome::Refused, 0, {}, "refused by the test"};
        if (exceedsLimits(changes)) {
            ++m_rejections;
            return {CommitOutcome::Rejected, 0, {}, "the transaction or a row is too large"};
        }
        if (fault == Fault::Delay) {
            m_delayed.push_back(changes);
            return {CommitOutcome::Unknown, 0, {}, "delayed by the test"};
        }
        CommitResult result = apply(changes);
        if (fault == Fault::LoseAnswer)
            return {CommitOutcome::Unknown, 0, {}, "lost by the test"};
        return result;
    }

    // Applies a transaction of another writer, to which the limits do not apply.
    CommitResult commitUnlimited(const RowChanges &changes)
    {
        absl::MutexLock lock(&m_mutex);
        return apply(changes);
    }

    std::optional<RowPage> range(const std::string &table, const std::string &partition,
                                 const std::string &from, int limit, absl::Duration) override
    {
        absl::MutexLock lock(&m_mutex);
        if (m_unavailable)
            return std::nullopt;
        RowPage page;
        page.version = m_version;
        for (auto it = m_rows.lower_bound({table, from});
             it != m_rows.end() && it->first.first == table; ++it) {
            if (partitionOf(table, it->first.second) != partition)
                continue;
            if (static_cast<int>(page.rows.size()) == limit) {
                page.more = true;
                break;
            }
            page.rows.push_back(it->second);
        }
        return page;
    }

    std::optional<RowFeed> changes(const std::string &table, std::int64_t after,
                                   absl::Duration wait) override
    {
        absl::MutexLock lock(&m_mutex);
        ++m_reads[table];
        const auto answers = [&] { return table != m_heldTable; };
        m_mutex.Await(absl::Condition(&answers));
        if (m_unavailable)
            return std::nullopt;
        const auto hasChanges = [&] { return m_version > after || m_unavailable; };
        m_mutex.AwaitWithTimeout(absl::Condition(&hasChanges), wait);
        RowFeed feed;
        feed.version = m_version;
        for (const auto &[key, row] : m_rows) {
            if (key.first == table && row.version > after)
                feed.rows.push_back(row);
        }
        for (const auto &[key, version] : m_removed) {
            if (key.first == table && version > after)
                feed.rows.push_back({key.first, key.second, {}, version, true});
        }
        return feed;
    }

private:
    bool exceedsLimits(const RowChanges &changes) const ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex)
    {
        std::size_t bytes = 0;
        bool rowTooLarge = false;
        for (const StoredRow &put : changes.puts) {
            bytes += sentSize(put);
            rowTooLarge = rowTooLarge || put.value.size() > m_maxRowBytes;
        }
        for (const StoredRow &removal : changes.removals)
            bytes += sentSize(removal);
        return rowTooLarge || bytes > MaxTransactionBytes
            || changes.conditions.size() + changes.puts.size() + changes.removals.size()
            > MaxChanges;
    }

    CommitResult apply(const RowChanges &changes) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex)
    {
        CommitResult result;
        result.outcome = CommitOutcome::Applied;
        for (const RowCondition &condition : changes.conditions) {
            const auto found = m_rows.find({condition.table, condition.key});
            const std::int64_t version = found == m_rows.end() ? 0 : found->second.version;
            if (version != condition.version)
                result.outcome = CommitOutcome::Conflict;
            if (found != m_rows.end())
                result.current.push_back(found->second);
        }
        if (result.outcome == CommitOutcome::Conflict)
            return result;
        result.current.clear();
        result.version = ++m_version;
        for (const StoredRow &put : changes.puts) {
            m_rows[{put.table, put.key}] = {put.table, put.key, put.value, m_version, false};
            m_removed.erase({put.table, put.key});
        }
        for (const StoredRow &removal : changes.removals) {
            if (m_rows.erase({removal.table, removal.key}) > 0)
                m_removed[{removal.table, removal.key}] = m_version;
        }
        return result;
    }

    mutable absl::Mutex m_mutex;
    std::map<std::pair<std::string, std::string>, StoredRow> m_rows ABSL_GUARDED_BY(m_mutex);
    // The versions at which rows were removed.
    std::map<std::pair<std::string, std::string>, std::int64_t> m_removed ABSL_GUARDED_BY(m_mutex);
    std::string m_heldTable ABSL_GUARDED_BY(m_mutex);
    std::int64_t m_version ABSL_GUARDED_BY(m_mutex) = 0;
    std::deque<Fault> m_faults ABSL_GUARDED_BY(m_mutex);
    std::vector<RowChanges> m_delayed ABSL_GUARDED_BY(m_mutex);
    bool m_unavailable ABSL_GUARDED_BY(m_mutex) = false;
    int m_commits ABSL_GUARDED_BY(m_mutex) = 0;
    int m_rejections ABSL_GUARDED_BY(m_mutex) = 0;
    std::size_t m_maxRowBytes ABSL_GUARDED_BY(m_mutex) = MaxRowBytes;
    std::map<std::string, int> m_reads ABSL_GUARDED_BY(m_mutex);
};

} // namespace oleandercross::control::testing
