#pragma once

#include <oleandercross/planning/planner.h>

#include <absl/time/time.h>

#include <cstdint>
#include <string>
#include <vector>

namespace oleandercross::bench {

// The jobs submitted to one queue. Work is the run time of one task on a worker of speed 1.
struct QueueLoad
{
    int priority = 0;
    // Mean submission rate outside of bursts.
    double submissionsPerSecond = 1;
    double meanWorkMs = 1000;
    // Standard deviation of the logarithm of the work.
    double workLogStdDev = 0.3;
    double meanTasks = 1;
    std::int64_t milliCores = 1000;
    std::int64_t memoryMb = 1000;
    // The number of accelerators per task is drawn from these with equal probability.
    std::vector<std::int64_t> accelerators;
    // Fraction of the jobs with several tasks that are gangs.
    double gangFraction = 0;
    // Fraction of the gangs that need all members on one rack.
    double sameRackFraction = 0;
    // Fraction of all jobs that write checkpoints.
    double checkpointableFraction = 0;
    // Estimates are wrong by a factor of up to 1 + estimateError in either direction.
    double estimateError = 0.2;
    // The latency objective is `stretch` times the run time of the job plus `targetMs`.
    double stretch = 3;
    std::int64_t targetMs = 1000;
    // Value of a job of mean size.
    double value = 1;
    // Fraction of its value that a job keeps if it completes late, within three times its
    // objective.
    double lateValueFraction = 0.3;
};

// A simulated day of a data centre: its workers, their faults and the jobs of its queues.
struct DayScenario
{
    int workers = 11;
    int workersPerRack = 3;
    workload::Demand capacity;
    // Longest time that a worker takes to stop a run.
    absl::Duration stopTime = absl::Milliseconds(200);
    absl::Duration submissionPeriod = absl::Seconds(34);
    // Simulated time after the last submissions, for the queued jobs to complete.
    absl::Duration completionPeriod = absl::Seconds(14);
    // The submission rate of priority 0 is multiplied by this for 6 s.
    double burstFactor = 2;
    // Fractions of the workers that are slow, hang or fail all their runs for 6 s.
    double slowWorkerFraction = 0.15;
    double hangingWorkerFraction = 0.1;
    double failingWorkerFraction = 0.1;
    // Standard deviation of the logarithm of the task times within a step.
    double taskTimeLogStdDev = 0.2;
    std::vector<QueueLoad> queues;
};

// The result of a simulated day. Only jobs that completed or whose latency objective has passed are
// counted.
struct DayOutcome
{
    // Value of the completed jobs by the value of all.
    double valueFraction = 0;
    // Fraction of the jobs that completed within three times their latency objective.
    double servedFraction = 0;
    // Lowest value fraction of any queue.
    double worstQueueValueFraction = 0;
    // Core seconds of work lost by stops, failures and lost gang members, by the core seconds of
    // all work. An accelerator counts as eight cores.
    double wastedWorkFraction = 0;
    // How long each call of the scheduler's plan() took on this machine.
    std::vector<absl::Duration> planTimes;
    // The rows of the learned state that a leader would write, their bytes as sent and the size of
    // the largest text, and how long each check for changes took on this machine.
    int learnedRows = 0;
    std::size_t learnedBytes = 0;
    std::size_t largestLearnedText = 0;
    std::vector<absl::Duration> learnedCheckTimes;
    // The length of the day in virtual time.
    absl::Duration length;
    // A digest of all orders in sequence; equal digests mean equal decisions.
    std::uint64_t orderDigest = 0;
};

// Return the scenario of an account mix at the initial and at the grown size of the deployment,
// with `load` times the usual submission rates.
DayScenario initialDeploymentDay(const std::string &accountMix, double load);
DayScenario grownDeploymentDay(const std::string &accountMix, double load);

// Returns the scenario of the grown deployment with this number of workers, 12 to a rack, and
// submission rates in proportion.
DayScenario scaledDeploymentDay(const std::string &accountMix, int workers);

// Simulates a day in virtual time, scheduled by the planner or, if `fifo`, by the first-come
// first-fit baseline.
DayOutcome simulateDay(const DayScenario &scenario, std::uint64_t seed, bool fifo);

} // namespace oleandercross::bench
