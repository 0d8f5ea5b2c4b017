#pragma once

#include <absl/time/time.h>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace oleandercross::control {

// A row of a table. Versions rise with every transaction of the whole store.
struct StoredRow
{
    std::string table;
    std::string key;
    std::string value;
    std::int64_t version = 0;
    // In a list of changes: the row has been removed.
    bool removed = false;

    friend bool operator==(const StoredRow &, const StoredRow &) = default;
};

// Holds if the row has exactly this version; 0 means that the row must not exist.
struct RowCondition
{
    std::string table;
    std::string key;
    std::int64_t version = 0;

    friend bool operator==(const RowCondition &, const RowCondition &) = default;
};

// Takes effect as a whole if all conditions hold, otherwise not at all.
struct RowChanges
{
    std::vector<RowCondition> conditions;
    // Table, key and value are used.
    std::vector<StoredRow> puts;
    // Table and key are used.
    std::vector<StoredRow> removals;

    friend bool operator==(const RowChanges &, const RowChanges &) = default;
};

// The most conditions, puts and removals of one transaction.
inline constexpr std::size_t MaxChanges = 100;

enum class CommitOutcome {
    Applied,
    // A condition does not hold; nothing was done.
    Conflict,
    // Certainly not done, and it never will be.
    Refused,
    // May have been done, or may still be done as long as its conditions hold.
    Unknown,
};

struct CommitResult
{
    CommitOutcome outcome = CommitOutcome::Unknown;
    // The version of the rows put, if applied.
    std::int64_t version = 0;
    // The rows of the conditions as they are, after a conflict.
    std::vector<StoredRow> current;
    // Why it was not applied, for logs.
    std::string reason;
};

struct RowPage
{
    std::vector<StoredRow> rows;
    bool more = false;
    // The newest version of the store at the time.
    std::int64_t version = 0;
};

struct RowFeed
{
    std::vector<StoredRow> rows;
    // Where to continue.
    std::int64_t version = 0;
    // The changes asked for are no longer kept; read the table again.
    bool historyLost = false;
};

// The platform's transactional store of rows. Implementations are thread safe.
class RowStore
{
public:
    virtual ~RowStore() = default;

    virtual CommitResult commit(const RowChanges &changes, absl::Duration timeout) = 0;

    // Rows with keys from `from` on, in key order. Fails with StoreUnavailable.
    virtual std::optional<RowPage> range(const std::string &table, const std::string &from,
                                         int limit, absl::Duration timeout) = 0;

    // Waits up to `wait` for changes after a version. Fails with StoreUnavailable.
    virtual std::optional<RowFeed> changes(const std::string &table, std::int64_t after,
                                           absl::Duration wait) = 0;

    // All rows of a table, page by page, with the version of the first page: changes made while the
    // others are read are seen again in the feed. Fails with StoreUnavailable.
    std::optional<RowPage> table(const std::string &name, absl::Duration timeout);

    // One row, or an inner empty optional if there is none. Fails with StoreUnavailable.
    std::optional<std::optional<StoredRow>> row(const std::string &table, const std::string &key,
                                                absl::Duration timeout);
};

// The tables of the project.
inline constexpr char JobTable[] = "jobs";
inline constexpr char ProgressTable[] = "progress";
inline constexpr char LeaderTable[] = "leader";
inline constexpr char MemberTable[] = "members";
// The only row of the leader table.
inline constexpr char LeaderKey[] = "leader";
// Appended to a job's id, the key of the row in the job table that cancels it.
inline constexpr char CancelSuffix[] = "/cancel";

// How long one call to the store may take; a slow store answers within a third of a second.
inline constexpr absl::Duration StoreTimeout = absl::Seconds(1);

} // namespace oleandercross::control
