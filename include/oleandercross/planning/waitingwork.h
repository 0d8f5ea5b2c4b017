#pragma once

#include <absl/time/time.h>

#include <cstdint>
#include <map>

namespace oleandercross::planning {

// The tasks of one priority that are ready and not started after a round.
struct WaitingTasks
{
    std::int64_t tasks = 0;
    std::int64_t steps = 0;
    // The time since the first of these steps became ready.
    absl::Duration longestWait;
    // Tasks for which free capacity is kept for more urgent jobs, and tasks that fit elsewhere but
    // are held back by another rule. Steps are counted one by one, so that several may count the
    // same capacity.
    std::int64_t fitInReserve = 0;
    std::int64_t fitElsewhere = 0;

    friend bool operator==(const WaitingTasks &, const WaitingTasks &) = default;
};

// The waiting work beside the free capacity of open workers.
struct WaitingWork
{
    std::map<int, WaitingTasks> priorities;
    std::int64_t freeAccelerators = 0;
    // The part of the free accelerators that is kept for urgent jobs.
    std::int64_t reservedAccelerators = 0;

    friend bool operator==(const WaitingWork &, const WaitingWork &) = default;
};

} // namespace oleandercross::planning
