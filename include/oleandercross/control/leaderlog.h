#pragma once

#include <oleandercross/control/rowstore.h>
#include <oleandercross/core/clock.h>
#include <oleandercross/http/message.h>

#include <absl/synchronization/mutex.h>

#include <atomic>
#include <functional>
#include <optional>
#include <string>

namespace oleandercross::control {

// The only row of the leader table, which names the process that may change the progress of jobs.
struct Leadership
{
    // Increases with every change of leadership; the fencing token of all orders.
    std::int64_t epoch = 0;
    // Empty after a planned handover.
    std::string holder;
    http::Endpoint address;
    // The number of transactions in this epoch.
    std::int64_t sequence = 0;
    // The holder's processor share in thousandths of a core.
    std::int64_t milliCores = 0;
    // Distinguishes successive processes of the same name.
    std::string incarnation;

    friend bool operator==(const Leadership &, const Leadership &) = default;
};

std::string encodeLeadership(const Leadership &leadership);
// Fails with BadJson or BadField.
std::optional<Leadership> decodeLeadership(const std::string &text);

// Writes the leader's transactions. Every transaction replaces the leader row on the condition that
// the row still has the version of the previous transaction. Transactions therefore take effect in
// order and at most once, and none takes effect after another process has become the leader,
// however late the store executes it.
class LeaderLog
{
public:
    // Deposed means that another process is the leader, or may be. Rejected means that the store
    // will never accept the changes; the leadership is not affected.
    enum class Outcome { Committed, Deposed, Rejected, Stopped };

    LeaderLog(RowStore &store, Leadership leadership);

    // Tries to become the leader by replacing the leader row as it was last read, or by creating
    // it. Returns true on success. Polls `shouldAbort` before each attempt.
    bool acquire(const std::optional<StoredRow> &last,
                 const std::function<bool()> &shouldAbort = {});

    // Stores the changes, repeating attempts until the outcome is known. There must be at most
    // MaxRowsPerCommit rows.
    Outcome commit(const std::vector<StoredRow> &puts, const std::vector<StoredRow> &removals);

    // Clears the holder in the leader row, so that another process can become the leader
    // immediately.
    void release();

    // Ends the retries of a pending acquire() or commit().
    void stop() { m_stopping = true; }

    std::int64_t epoch() const;
    const Leadership &leadership() const { return m_leadership; }
    // Returns when the latest confirmed transaction was sent first. Another process can have become
    // the leader at any time after that, however late the confirmation arrived.
    core::Instant lastCommit() const;
    // Returns the version of the leader row after the latest confirmed transaction.
    std::int64_t version() const;

    // The sum of sentSize() that changes of different jobs may have in one commit. Half of the
    // store's limit, so that transactions can also be relayed by peers.
    static constexpr std::size_t MaxBytesPerCommit = MaxTransactionBytes / 2;
    // Two of the MaxChanges are the condition on the leader row and its new value.
    static constexpr std::size_t MaxRowsPerCommit = MaxChanges - 2;

private:
    enum class Attempt { Done, Deposed, Rejected, Retry };

    // `firstBegin` is the time of the first attempt of the same transaction.
    Attempt attempt(const RowChanges &changes, const Leadership &next, core::Instant firstBegin);
    Attempt afterConflict(const CommitResult &result, const Leadership &next,
                          core::Instant firstBegin);

    RowStore &m_store;
    const core::BootClock m_clock;
    std::atomic<bool> m_stopping = false;
    // Held during a commit, so that commits are serialized.
    absl::Mutex m_commitMutex;
    mutable absl::Mutex m_mutex;
    Leadership m_leadership;
    std::int64_t m_version ABSL_GUARDED_BY(m_mutex) = 0;
    core::Instant m_lastCommit ABSL_GUARDED_BY(m_mutex) = absl::InfinitePast();
};

} // namespace oleandercross::control
