#pragma once

#include <oleandercross/scheduling/action.h>
#include <oleandercross/scheduling/event.h>

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace oleandercross::scheduling {

// Parameters of the scheduling decisions; docs/design/queueing.md gives the reasons.
struct Policy
{
    // Attained service at which a job leaves each level of the queue.
    std::vector<absl::Duration> levels = {absl::Minutes(20), absl::Hours(4)};
    // A waiting large gang rises one queue level after each interval. Smaller jobs rise more
    // slowly.
    absl::Duration ageingInterval = absl::Hours(6);
    // A large gang that has waited this long may reserve accelerators.
    absl::Duration reserveAfter = absl::Minutes(2);
    // Minimum run time before a job is pre-empted for a job of a better queue level.
    absl::Duration quantum = absl::Minutes(2);
    // Run time up to which a job without checkpoints may be pre-empted for the oldest large gang.
    absl::Duration maxLostWork = absl::Minutes(30);
    // Maximum number of pre-emptions of a job for queue order, reservations or defragmentation.
    int maxPreemptions = 6;
    // Maximum time for a checkpoint before the stop.
    absl::Duration checkpointTimeout = absl::Seconds(10);
    // The same when an urgent job waits. Leaves 0.8 s of 1.8 s for the stop and the start.
    absl::Duration urgentCheckpointTimeout = absl::Seconds(1);
    // Number of failed attempts after which a job fails.
    int maxFailures = 3;
    // Number of distinct jobs that must fail on a worker and nowhere else before the worker is
    // quarantined.
    int quarantineThreshold = 3;
    absl::Duration quarantineDuration = absl::Minutes(10);
    // Number of tasks that must succeed on a worker in probation before it is healthy again.
    int probationTasks = 3;
    // Maximum number of requeues of a job with larger tasks.
    int maxEnlargements = 2;
    // Time between throttling a task that exceeds its declared memory and stopping it.
    absl::Duration throttleDuration = absl::Seconds(30);
    // Maximum number of placements tried for waiting jobs in one pass over the queue.
    int triesPerPass = 128;
};

// Explains why a job is not running and what has to change for it to start.
struct Explanation
{
    JobState state = JobState::Waiting;
    std::string reason;
    std::string remedy;
};

// Decides which job runs where in one data centre. Deterministic: the same events at the same times
// give the same actions. Not thread safe. Events about unknown jobs or earlier attempts are
// ignored.
class Scheduler
{
public:
    explicit Scheduler(core::DataCentreId dataCentre, Policy policy = {});
    ~Scheduler();
    Scheduler(const Scheduler &) = delete;
    Scheduler &operator=(const Scheduler &) = delete;

    // Applies an event and returns the resulting actions in order of execution. `now` must not
    // decrease between calls.
    std::vector<Action> apply(const Event &event, core::Instant now);

    // Both functions fail with UnknownJob.
    std::optional<Explanation> explain(const core::JobId &job, core::Instant now) const;
    std::optional<JobView> job(const core::JobId &job) const;
    // Returns the jobs that have not ended, in ascending order of id.
    std::vector<JobView> jobs() const;

    // Returns true if, apart from the reported shortfall, all unclaimed guaranteed cells can be
    // placed at the same time without stopping guaranteed or surplus jobs. Recomputed on each call.
    bool guaranteesHold() const;
    // Returns the reported shortfalls in ascending order of account.
    std::vector<ShortfallChanged> shortfall() const;
    // Returns the workers that are in quarantine or on probation.
    std::vector<core::WorkerId> quarantined() const;

private:
    class Private;
    std::unique_ptr<Private> d;
};

} // namespace oleandercross::scheduling
