#pragma once

#include <absl/time/time.h>

#include <compare>
#include <cstdint>
#include <limits>
#include <optional>
#include <string>
#include <vector>

namespace oleandercross::workload {

// The largest number in a demand, so that sums over tasks and workers stay within 64 bits.
inline constexpr std::int64_t MaxDemand = std::numeric_limits<std::int32_t>::max();
// The longest estimate, target or interval, so that sums over the steps and occurrences of a job
// stay within 64 bits.
inline constexpr std::int64_t MaxDurationMs = std::int64_t{10} * 365 * 24 * 3600 * 1000;

// Resources that a task needs or a worker offers: thousandths of a core, memory in MiB and whole
// accelerators.
struct Demand
{
    std::int64_t milliCores = 0;
    std::int64_t memoryMb = 0;
    std::int64_t accelerators = 0;

    friend bool operator==(const Demand &, const Demand &) = default;
};

constexpr Demand operator+(const Demand &a, const Demand &b)
{
    return {a.milliCores + b.milliCores, a.memoryMb + b.memoryMb, a.accelerators + b.accelerators};
}

constexpr Demand operator-(const Demand &a, const Demand &b)
{
    return {a.milliCores - b.milliCores, a.memoryMb - b.memoryMb, a.accelerators - b.accelerators};
}

// Returns true if `need` does not exceed `available` in any dimension.
constexpr bool fits(const Demand &need, const Demand &available)
{
    return need.milliCores <= available.milliCores && need.memoryMb <= available.memoryMb
        && need.accelerators <= available.accelerators;
}

// Returns how many tasks that each need `need` fit into `available` at the same time.
int fittingTaskCount(const Demand &need, const Demand &available);

// A set of identical tasks of a job.
struct Step
{
    int tasks = 1;
    Demand perTask;
    // The caller's rough estimate of the run time of one task; 0 if there is none.
    std::int64_t estimateMs = 0;
    // Indices of the earlier steps that must have completed before this step starts.
    std::vector<int> after;
    // All tasks of a run start together and complete together.
    bool gang = false;
    // Placement on one rack is preferred, since a run spread over several racks is slower.
    bool sameRack = false;
    bool checkpointable = false;
    // Copies of a task may run at the same time; the first to complete counts.
    bool speculative = false;
    // A label that the worker must have; empty for any worker.
    std::string neededLabel;
    // The rack of the input data; empty for no preference.
    std::string inputRack;
    // The maximum number of tasks of one occurrence on a worker; 0 for no limit.
    int maxPerWorker = 0;

    friend bool operator==(const Step &, const Step &) = default;
};

// The configured terms of the queue that a job was submitted to.
struct QueueTerms
{
    std::string service;
    // 0 is the most urgent and may pre-empt the others.
    int priority = 0;
    // The number of failed runs of a task at which the job fails.
    int attempts = 1;
    // The latency objective is `stretch` times the critical path plus `targetMs`.
    double stretch = 1;
    std::int64_t targetMs = 0;

    friend bool operator==(const QueueTerms &, const QueueTerms &) = default;
};

// An accepted job. The caller chooses its id, which is the idempotency key of the submission.
struct Job
{
    std::string id;
    std::string account;
    std::string queue;
    // The terms at the time of acceptance; they apply even after the queue is removed.
    QueueTerms terms;
    // Opaque data that is passed to the workers unchanged.
    std::string payload;
    std::vector<Step> steps;
    // The number of times that the steps run; 1 for a job that is not scheduled.
    int occurrences = 1;
    bool scheduled = false;
    // Unix milliseconds at which occurrence 0 is due, and the time between occurrences.
    std::int64_t firstDueMs = 0;
    std::int64_t intervalMs = 0;
    // Unix milliseconds on the clock of the entry that accepted the job.
    std::int64_t acceptedMs = 0;

    friend bool operator==(const Job &, const Job &) = default;
};

// Identifies a task of a job by occurrence, step and index within the step, all counted from 0.
struct TaskKey
{
    std::string job;
    int occurrence = 0;
    int step = 0;
    int index = 0;

    friend auto operator<=>(const TaskKey &, const TaskKey &) = default;
};

// Returns "JOB.OCCURRENCE.STEP.INDEX", for logs and as a key.
std::string toString(const TaskKey &key);

// Parses the output of toString(). Fails with BadField if the text is invalid.
std::optional<TaskKey> parseTaskKey(const std::string &text);

// Identifies one run of a task. The run numbers of a task increase.
struct RunKey
{
    TaskKey task;
    int run = 0;

    friend auto operator<=>(const RunKey &, const RunKey &) = default;
};

std::string toString(const RunKey &key);

// Returns the estimated duration of the longest chain of dependent steps, in milliseconds.
std::int64_t criticalPathMs(const Job &job);

// Returns the time within which a job should complete to have its full value, from its estimates.
absl::Duration latencyObjective(const Job &job);

// Returns a summary of the steps for logs: "2 x 9400 ms, 13000 mc, 19000 MB, 8 acc, gang; 1 x ...".
std::string describeSteps(const Job &job);

// Checks counts, dependencies and sizes. Returns the reason why the job is invalid, or nothing.
std::optional<std::string> findDefect(const Job &job);

} // namespace oleandercross::workload
