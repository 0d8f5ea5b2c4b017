#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace oleandercross::platform {

// A row of the table service. Versions of a key rise with every write and are never reused.
struct Row
{
    std::string key;
    std::string value;
    std::int64_t version = 0;

    friend bool operator==(const Row &, const Row &) = default;
};

// Holds if the row has exactly this version; 0 means that the row must not exist.
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

// Takes effect as a whole if all conditions hold, otherwise not at all. The write id makes a
// transaction recognisable when its answer was lost.
struct Transaction
{
    std::string writeId;
    std::vector<Condition> conditions;
    std::vector<Put> puts;
    std::vector<std::string> deletes;

    friend bool operator==(const Transaction &, const Transaction &) = default;
};

// The platform's transactional table service. Implementations are thread safe and block for at
// most their configured timeout.
class TableService
{
public:
    virtual ~TableService() = default;

    // The row, or an inner empty optional if there is none. Fails with StoreUnavailable.
    virtual std::optional<std::optional<Row>> read(const std::string &key) = 0;

    // Up to `limit` rows whose keys start with the prefix and are greater than `after`, in key
    // order. Fails with StoreUnavailable.
    virtual std::optional<std::vector<Row>> scan(const std::string &prefix,
                                                 const std::string &after, int limit) = 0;

    // The new version of the rows put. Fails with VersionConflict if a condition does not hold (and
    // nothing was written), StoreUnavailable if the transaction was certainly not applied, and
    // OutcomeUnknown if it may have been.
    virtual std::optional<std::int64_t> write(const Transaction &transaction) = 0;

    // Whether the transaction with this id was applied. Fails with StoreUnavailable.
    virtual std::optional<bool> applied(const Transaction &transaction) = 0;
};

} // namespace oleandercross::platform
