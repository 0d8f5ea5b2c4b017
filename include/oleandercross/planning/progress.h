#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace oleandercross::planning {

// The progress of a job is stored in rows of bounded size: the head, and parts that each hold up to
// this many tasks of one step. Jobs that never have more tasks than this have no parts.
inline constexpr int TasksPerPart = 32;
// The parts of a gang are grouped up to this size in bytes, so that a group fits into a
// transaction.
inline constexpr std::size_t MaxGroupBytes = 262144;
// The largest checkpoint that is kept, in the encoded form that is stored.
inline constexpr std::size_t MaxCheckpointBytes = 512;
// Occurrences are opened while a job has fewer open tasks than this; one is always open.
inline constexpr std::int64_t MaxOpenTasks = 16384;

// Identifies the tasks from `number` times TasksPerPart on of one step of an occurrence.
struct ProgressPart
{
    int occurrence = 0;
    int step = 0;
    int number = 0;

    friend auto operator<=>(const ProgressPart &, const ProgressPart &) = default;
};

// Returns "OCCURRENCE.STEP.NUMBER", the name of the part's row.
std::string toString(const ProgressPart &part);
// Fails with BadField.
std::optional<ProgressPart> parseProgressPart(const std::string &name);

// The rows of a job's stored progress by name. The name of the head is empty.
using ProgressRows = std::map<std::string, std::string>;

// A change of one row. Without a value the row is removed.
struct ProgressChange
{
    std::string name;
    std::optional<std::string> value;

    friend bool operator==(const ProgressChange &, const ProgressChange &) = default;
};

// Changes that are stored in one transaction if its limits allow.
using ProgressGroup = std::vector<ProgressChange>;

} // namespace oleandercross::planning
