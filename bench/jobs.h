#pragma once

#include "measure.h"

#include <oleandercross/scheduling/scheduler.h>

#include <absl/time/time.h>

#include <string>
#include <vector>

namespace oleandercross::bench {

// A job of a generated load, with the time at which it is submitted and how long it really runs.
struct LoadedJob
{
    scheduling::JobSpec spec;
    absl::Duration arrival;
    absl::Duration runTime;
};

struct LoadedCluster
{
    config::Manifest manifest;
    std::vector<scheduling::WorkerJoined> workers;
};

// Ten workers with 8 accelerators, three to a rack, and the accounts of the mix.
LoadedCluster smallCluster(const std::string &mix);

// Heavy-tailed run times (bounded Pareto), gangs of 1 to 32 accelerators, declared run times wrong
// by up to ten times both ways. The load is the fraction of the cluster's accelerator time.
std::vector<LoadedJob> generateJobs(const std::string &mix, std::uint64_t seed, int count,
                                    double load);

struct Outcome
{
    // Seconds from submission to completion, by job.
    std::vector<double> completion;
    // Seconds from submission to the first time that all tasks run, by job.
    std::vector<double> start;
    // Fragmented share of all accelerators, averaged over the time between first and last arrival.
    double fragmentation = 0;
    int preemptions = 0;
};

struct RunOptions
{
    absl::Duration tick = absl::Seconds(10);
    // Time that a checkpoint takes.
    absl::Duration checkpoint = absl::Seconds(3);
};

// Runs the load in virtual time with the scheduler, and with first-in first-out order where the
// head of the queue waits for the first workers that have room, as a naive baseline.
Outcome runScheduler(const LoadedCluster &cluster, const std::vector<LoadedJob> &jobs,
                     const RunOptions &options = {});
Outcome runFifoFirstFit(const LoadedCluster &cluster, const std::vector<LoadedJob> &jobs);

// Share of free accelerators that the average job of the load cannot use, as in FGD (ATC 2023).
class Fragmentation
{
public:
    explicit Fragmentation(const std::vector<LoadedJob> &jobs);

    // `free` holds the free accelerators by worker.
    double of(const std::vector<int> &free) const;

private:
    // Weight of jobs by the accelerators that they need on one worker.
    std::vector<double> m_weights;
};

} // namespace oleandercross::bench
