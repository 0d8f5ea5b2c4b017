#pragma once

#include <oleandercross/planning/planner.h>

#include <memory>
#include <string>
#include <vector>

namespace oleandercross::bench {

// The scheduler of a simulated day.
class DayScheduler
{
public:
    virtual ~DayScheduler() = default;
    virtual void addWorker(const planning::Worker &worker) = 0;
    virtual void addJob(const workload::Job &job, core::Instant now) = 0;
    // A listing of a worker is one call of beginListing() followed by runSeen() for each of its
    // runs.
    virtual void beginListing(const std::string &worker) = 0;
    virtual void runSeen(const std::string &worker, const workload::RunKey &run, int percent,
                         core::Instant now) = 0;
    virtual void runEnded(const std::string &worker, const workload::RunKey &run,
                          planning::RunEnd how, const std::string &checkpoint,
                          core::Instant now) = 0;
    // Reports that the worker does not have a run that it was ordered to stop.
    virtual void runAbsent(const std::string &worker, const workload::RunKey &run,
                           core::Instant now) = 0;
    // Returns the start and stop orders that are due.
    virtual planning::Plan plan(core::Instant now) = 0;
    // Returns what a leader would store of what the scheduler has learned.
    virtual planning::LearnedState learnedState(core::Instant) const { return {}; }
    // Returns the jobs that completed since the last call.
    virtual std::vector<std::string> takeCompleted() = 0;
};

// Returns the first-come first-fit baseline if `fifo`, otherwise the planner. `stopTime` is the
// longest time that a worker takes to stop a run.
std::unique_ptr<DayScheduler> makeScheduler(absl::Duration stopTime, bool fifo);

} // namespace oleandercross::bench
