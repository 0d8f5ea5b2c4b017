#pragma once

#include <absl/time/time.h>

#include <cstdint>
#include <optional>
#include <string>

namespace oleandercross::standin {

// How a task behaves, from its command: clauses of `run SECONDS` (succeeds after that much
// progress), `fail SECONDS`, `grow MB` (memory rises to this size within the first two seconds of
// progress), `never` (does not end) and `checkpoint SECONDS` (can checkpoint, which takes this
// long). A throttled task progresses more slowly.
struct TaskCommand
{
    absl::Duration run = absl::InfiniteDuration();
    absl::Duration fail = absl::InfiniteDuration();
    std::optional<absl::Duration> checkpoint;
    std::optional<std::int64_t> growMb;

    friend bool operator==(const TaskCommand &, const TaskCommand &) = default;
};

// Empty for a command that is not understood.
std::optional<TaskCommand> parseTaskCommand(const std::string &text);

} // namespace oleandercross::standin
