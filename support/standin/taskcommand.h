#pragma once

#include <absl/time/time.h>

#include <cstdint>
#include <optional>
#include <string>

namespace oleandercross::standin {

// Behaviour of a simulated task, parsed from its command. The command consists of the clauses
// `run SECONDS` (succeeds after this much progress), `fail SECONDS` (fails after it), `grow MB`
// (memory grows to this size during the first two seconds of progress), `never` (does not end) and
// `checkpoint SECONDS` (supports checkpoints, which take this long). A throttled task makes
// progress more slowly.
struct TaskCommand
{
    absl::Duration run = absl::InfiniteDuration();
    absl::Duration fail = absl::InfiniteDuration();
    std::optional<absl::Duration> checkpoint;
    std::optional<std::int64_t> growMb;

    friend bool operator==(const TaskCommand &, const TaskCommand &) = default;
};

// Returns an empty optional for an invalid command.
std::optional<TaskCommand> parseTaskCommand(const std::string &text);

} // namespace oleandercross::standin
