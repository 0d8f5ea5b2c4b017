#pragma once

#include "measure.h"

#include <oleandercross/scheduling/scheduler.h>

#include <absl/time/time.h>

#include <string>
#include <vector>

namespace oleandercross::bench {

// A job of a generated load with its submission time and its actual run time.
struct GeneratedJob
{
    scheduling::JobSpec spec;
    absl::Duration arrival;
    absl::Duration runTime;
};

// The manifest and the workers of a simulated data centre.
struct SimulatedCluster
{
    config::Manifest manifest;
    std::vector<scheduling::WorkerJoined> workers;
};

// Returns a cluster of ten workers with 8 accelerators each, three workers to a rack, and four
// accounts with guarantees of 2, 1, 1 and 0 workers.
SimulatedCluster makeSmallCluster(const std::string &accountMix);

// Generates jobs with heavy-tailed run times (bounded Pareto), gangs of 1 to 32 accelerators and
// declared run times that are wrong by a factor of up to ten in either direction. `load` is the
// fraction of the cluster's accelerator time that the jobs need.
std::vector<GeneratedJob> generateJobs(const std::string &accountMix, std::uint64_t seed, int count,
                                       double load);

struct SimulationResult
{
    // Time from submission to completion of each job.
    std::vector<double> completionSeconds;
    // Time from submission to the first time that all tasks of a job run.
    std::vector<double> startSeconds;
    // Fragmented fraction of all accelerators, averaged over the time until the last arrival.
    double fragmentation = 0;
    int preemptions = 0;
};

struct SimulationOptions
{
    absl::Duration tickInterval = absl::Seconds(10);
    // Time that a gang takes to write a checkpoint.
    absl::Duration checkpointTime = absl::Seconds(3);
};

// Simulates the load in virtual time with the scheduler.
SimulationResult simulateScheduler(const SimulatedCluster &cluster,
                                   const std::vector<GeneratedJob> &jobs,
                                   const SimulationOptions &options = {});

// Simulates the load with a naive baseline: strict FIFO order, where the head of the queue takes
// the first workers with enough free capacity and blocks all jobs behind it until there are such
// workers.
SimulationResult simulateFifoFirstFit(const SimulatedCluster &cluster,
                                      const std::vector<GeneratedJob> &jobs);

// Measures fragmentation as in FGD (ATC 2023): the free accelerators that the average job of the
// load cannot use.
class Fragmentation
{
public:
    explicit Fragmentation(const std::vector<GeneratedJob> &jobs);

    // Returns the fraction of all accelerators that is free and unusable. `free` holds the number
    // of free accelerators of each worker.
    double unusableFraction(const std::vector<int> &free) const;

private:
    // Fraction of the jobs by the number of accelerators that they need on one worker.
    std::vector<double> m_jobFractions;
};

} // namespace oleandercross::bench
