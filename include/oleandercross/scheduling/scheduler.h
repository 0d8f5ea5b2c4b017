#pragma once

#include <oleandercross/scheduling/action.h>
#include <oleandercross/scheduling/event.h>

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace oleandercross::scheduling {

// Tunable constants of the decisions, with the reasons in docs/design/queueing.md.
struct Policy
{
    // Accelerator time at which a job leaves each level of the queue.
    std::vector<absl::Duration> levels = {absl::Minutes(20), absl::Hours(4)};
    // A waiting large gang rises one level each time it has waited this long.
    absl::Duration ageing = absl::Hours(6);
    // A large gang that has waited this long may reserve accelerators.
    absl::Duration reserveAfter = absl::Minutes(2);
    // A job is not pre-empted for the order of the queue before it has run this long.
    absl::Duration quantum = absl::Minutes(2);
    // A job without checkpoints may be stopped for the oldest large gang until it has run this
    // long.
    absl::Duration smallLoss = absl::Minutes(30);
    // Most pre-emptions of a job for the order of the queue or defragmentation.
    int maxPreemptions = 6;
    // Time for a checkpoint before the stop.
    absl::Duration grace = absl::Seconds(10);
    // The same when an urgent job waits: leaves 0.8 s of 1.8 s for stop and start.
    absl::Duration urgentGrace = absl::Seconds(1);
    // Attempts of a failing job.
    int maxFailures = 3;
    // Distinct jobs that must fail on a worker and nowhere else before it is quarantined.
    int quarantineAfter = 3;
    absl::Duration quarantine = absl::Minutes(10);
    // Tasks that must succeed in probation.
    int probationTasks = 3;
    int maxEnlargements = 2;
    // Time between throttling a task that exceeds its memory and its requeue.
    absl::Duration throttleTime = absl::Seconds(30);
    // Most placements tried for waiting jobs in one pass over the queue.
    int attemptsPerPass = 128;
};

// Why a job is not running and what would let it start.
struct Explanation
{
    JobState state = JobState::Waiting;
    std::string reason;
    std::string remedy;
};

// Decides for one data centre which job runs where. Pure: the same events at the same times give
// the same actions. Not thread safe. Events about unknown jobs or earlier attempts are ignored.
class Scheduler
{
public:
    explicit Scheduler(core::DataCentreId dataCentre, Policy policy = {});
    ~Scheduler();
    Scheduler(const Scheduler &) = delete;
    Scheduler &operator=(const Scheduler &) = delete;

    // Takes an event and returns what has to be done, in order. Times never decrease.
    std::vector<Action> apply(const Event &event, core::Instant now);

    // Fails with UnknownJob.
    std::optional<Explanation> explain(const core::JobId &job, core::Instant now) const;
    std::optional<JobView> job(const core::JobId &job) const;
    // Jobs that have not ended, in ascending order of id.
    std::vector<JobView> jobs() const;

    // True if, with the reported shortfall left out, all unclaimed guaranteed cells can be placed
    // at the same time without touching guaranteed or surplus work. Computed afresh.
    bool guaranteesHold() const;
    // The reported shortfall in ascending order of account; only accounts with one.
    std::vector<ShortfallChanged> shortfall() const;
    std::vector<core::WorkerId> quarantined() const;

private:
    class Private;
    std::unique_ptr<Private> d;
};

} // namespace oleandercross::scheduling
