#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace oleandercross::platform {

// A row of the table service. The version of a key increases with every write and is never reused.
struct Row
{
    std::string key;
    std::string value;
    std::int64_t version = 0;

    friend bool operator==(const Row &, const Row &) = default;
};

// Holds if the row has exactly this version. Version 0 requires that the row does not exist.
struct Condition
{
    std::string key;
    std::int64_t version = 0;

    friend bool operator==(const Condition &, const Condition &) = default;
};

struct Put
{
    std::string key;
    std::string value;

    friend bool operator==(const Put &, const Put &) = default;
};

// Takes effect atomically if all conditions hold, otherwise not at all. The write id identifies the
// transaction when its response was lost.
struct Transaction
{
    std::string writeId;
    std::vector<Condition> conditions;
    std::vector<Put> puts;
    std::vector<std::string> deletes;

    friend bool operator==(const Transaction &, const Transaction &) = default;
};

// Interface to the platform's transactional table service. Implementations are thread-safe and
// block for at most their configured timeout.
class TableService
{
public:
    virtual ~TableService() = default;

    // Returns the row, or an empty inner optional if it does not exist. Fails with
    // StoreUnavailable.
    virtual std::optional<std::optional<Row>> read(const std::string &key) = 0;

    // Returns up to `limit` rows in key order whose keys start with `prefix` and are greater than
    // `after`. Fails with StoreUnavailable.
    virtual std::optional<std::vector<Row>> scan(const std::string &prefix,
                                                 const std::string &after, int limit) = 0;

    // Returns the new version of the rows written. Fails with VersionConflict if a condition does
    // not hold (nothing was written), with StoreUnavailable if the transaction was certainly not
    // applied, and with OutcomeUnknown if it may have been.
    virtual std::optional<std::int64_t> write(const Transaction &transaction) = 0;

    // Returns whether the transaction with this write id was applied. Fails with StoreUnavailable.
    virtual std::optional<bool> applied(const Transaction &transaction) = 0;
};

} // namespace oleandercross::platform
