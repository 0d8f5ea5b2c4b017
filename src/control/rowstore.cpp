#include <oleandercross/control/rowstore.h>

#include <absl/strings/str_cat.h>
#include <absl/strings/strip.h>
#include <xxhash.h>

#include <array>

namespace oleandercross::control {

namespace {

constexpr int RowsPerPage = 500;
// Each partition is read on its own when a leader loads the jobs, so that there are few.
constexpr std::uint64_t JobPartitionCount = 4;
constexpr char LeaderPartition[] = "leader";
constexpr char MemberPartition[] = "members";

std::string jobPartition(std::uint64_t index)
{
    return absl::StrCat("jobs-", index);
}

} // namespace

const char *toString(CommitOutcome outcome)
{
    constexpr std::array<const char *, 5> Names = {"applied", "conflict", "refused", "rejected",
                                                   "unknown"};
    return Names.at(static_cast<std::size_t>(outcome));
}

std::string jobOf(const std::string &key)
{
    return std::string(absl::StripSuffix(key, CancelSuffix));
}

std::size_t sentSize(const StoredRow &row)
{
    // The names of the fields, the partition and the punctuation.
    constexpr std::size_t OverheadBytes = 128;
    // Values are sent in Base64.
    return OverheadBytes + row.table.size() + row.key.size() + (row.value.size() + 2) / 3 * 4;
}

std::string partitionOf(const std::string &table, const std::string &key)
{
    if (table == LeaderTable || table == ProgressTable || table == LearnedTable)
        return LeaderPartition;
    if (table == MemberTable)
        return MemberPartition;
    if (table != JobTable)
        return {};
    // A cancellation is conditional on the row of its job.
    const std::string job = jobOf(key);
    return jobPartition(XXH64(job.data(), job.size(), 0) % JobPartitionCount);
}

std::vector<std::string> partitionsOf(const std::string &table)
{
    if (table != JobTable)
        return {partitionOf(table, {})};
    std::vector<std::string> partitions;
    for (std::uint64_t i = 0; i < JobPartitionCount; ++i)
        partitions.push_back(jobPartition(i));
    return partitions;
}

std::optional<RowPage> RowStore::table(const std::string &name, absl::Duration timeout)
{
    std::optional<RowPage> all;
    for (const std::string &partition : partitionsOf(name)) {
        std::string from;
        bool more = true;
        while (more) {
            std::optional<RowPage> page = range(name, partition, from, RowsPerPage, timeout);
            if (!page)
                return std::nullopt;
            more = page->more && !page->rows.empty();
            if (more)
                from = page->rows.back().key + '\0';
            if (!all)
                all = std::move(page);
            else
                all->rows.insert(all->rows.end(), page->rows.begin(), page->rows.end());
        }
    }
    all->more = false;
    return all;
}

std::optional<std::optional<StoredRow>> RowStore::row(const std::string &table,
                                                      const std::string &key,
                                                      absl::Duration timeout)
{
    const std::optional<RowPage> page = range(table, partitionOf(table, key), key, 1, timeout);
    if (!page)
        return std::nullopt;
    if (page->rows.empty() || page->rows.front().key != key)
        return std::optional<StoredRow>();
    return page->rows.front();
}

} // namespace oleandercross::control
