#pragma once

#include <absl/time/time.h>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace oleandercross::control {

// A row of a table. Versions increase with every transaction of the whole store.
struct StoredRow
{
    std::string table;
    std::string key;
    std::string value;
    std::int64_t version = 0;
    // Only set in a list of changes: the row has been removed.
    bool removed = false;

    friend bool operator==(const StoredRow &, const StoredRow &) = default;
};

// Requires a row to have exactly this version; 0 requires that the row does not exist.
struct RowCondition
{
    std::string table;
    std::string key;
    std::int64_t version = 0;

    friend bool operator==(const RowCondition &, const RowCondition &) = default;
};

// A transaction. It is applied atomically if all conditions hold, otherwise not at all.
struct RowChanges
{
    std::vector<RowCondition> conditions;
    // Only table, key and value are used.
    std::vector<StoredRow> puts;
    // Only table and key are used.
    std::vector<StoredRow> removals;

    friend bool operator==(const RowChanges &, const RowChanges &) = default;
};

// The maximum number of conditions, puts and removals in one transaction.
inline constexpr std::size_t MaxChanges = 100;
// The maximum size of a row's value and of a transaction as it is sent, in bytes.
inline constexpr std::size_t MaxRowBytes = 65536;
inline constexpr std::size_t MaxTransactionBytes = 1000000;

enum class CommitOutcome {
    Applied,
    // A condition does not hold; nothing was changed.
    Conflict,
    // The transaction has not been applied and will not be applied later. It may be sent again.
    Refused,
    // The transaction can never be applied, since it exceeds a limit of the store or is malformed.
    Rejected,
    // The transaction may have been applied, or may still be while its conditions hold.
    Unknown,
};

struct CommitResult
{
    CommitOutcome outcome = CommitOutcome::Unknown;
    // The version of the written rows, if applied.
    std::int64_t version = 0;
    // After a conflict, the current rows of the conditions.
    std::vector<StoredRow> current;
    // Why the transaction was not applied, for logs.
    std::string reason;
};

struct RowPage
{
    std::vector<StoredRow> rows;
    bool more = false;
    // The newest version of the store when the page was read.
    std::int64_t version = 0;
};

struct RowFeed
{
    std::vector<StoredRow> rows;
    // The version from which to continue.
    std::int64_t version = 0;
    // The store no longer has the requested changes; the table must be read again.
    bool historyLost = false;
};

const char *toString(CommitOutcome outcome);

// Returns an upper bound of the size of a changed row in a transaction as it is sent, in bytes.
std::size_t sentSize(const StoredRow &row);

// The platform's transactional store of rows. Implementations are thread safe.
class RowStore
{
public:
    virtual ~RowStore() = default;

    virtual CommitResult commit(const RowChanges &changes, absl::Duration timeout) = 0;

    // Returns up to `limit` rows of one partition of a table with keys from `from` on, in key
    // order. Fails with StoreUnavailable.
    virtual std::optional<RowPage> range(const std::string &table, const std::string &partition,
                                         const std::string &from, int limit,
                                         absl::Duration timeout) = 0;

    // Returns the changes after a version, waiting up to `wait` for the first one. Fails with
    // StoreUnavailable.
    virtual std::optional<RowFeed> changes(const std::string &table, std::int64_t after,
                                           absl::Duration wait) = 0;

    // Reads all partitions of a table page by page and returns them with the version of the first
    // page. Changes made while the other pages are read appear again in the feed. Fails with
    // StoreUnavailable.
    std::optional<RowPage> table(const std::string &name, absl::Duration timeout);

    // Returns one row, or an empty inner optional if there is none. Fails with StoreUnavailable.
    std::optional<std::optional<StoredRow>> row(const std::string &table, const std::string &key,
                                                absl::Duration timeout);
};

// The tables of the project.
inline constexpr char JobTable[] = "jobs";
inline constexpr char ProgressTable[] = "progress";
inline constexpr char LeaderTable[] = "leader";
inline constexpr char MemberTable[] = "members";
inline constexpr char LearnedTable[] = "learned";
// The only row of the leader table.
inline constexpr char LeaderKey[] = "leader";
// Appended to a job's id to form the key of the row in the job table that cancels the job.
inline constexpr char CancelSuffix[] = "/cancel";
// Returns the id of the job that a row of the job table with this key belongs to.
std::string jobOf(const std::string &key);
// The store executes the transactions of one partition one after another and refuses further ones
// while too many are waiting. Rows that are written independently are therefore in different
// partitions, so that accepted jobs and the announcements of processes do not delay the leader's
// transactions, nor the other way round. Rows of one transaction share a partition, except when
// ended jobs are removed.
//
// Returns the partition of a row.
std::string partitionOf(const std::string &table, const std::string &key);
// Returns all partitions of a table.
std::vector<std::string> partitionsOf(const std::string &table);

// How much longer the answer to a read may take once it has begun to arrive. A configuration of
// 1,800 queues takes half a second on the slowest links, and longer beside other traffic.
inline constexpr absl::Duration BulkTransferTime = absl::Seconds(2);
// The timeout of one call to the store, which responds within a third of a second when it is slow.
inline constexpr absl::Duration StoreTimeout = absl::Seconds(1);

} // namespace oleandercross::control
