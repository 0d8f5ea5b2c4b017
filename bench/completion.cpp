#include "jobs.h"

#include <algorithm>
#include <numeric>

namespace oleandercross::bench {

namespace {

constexpr int JobCount = 3000;
constexpr double LoadFraction = 0.85;

double mean(const std::vector<double> &values)
{
    return std::accumulate(values.begin(), values.end(), 0.0) / values.size();
}

// Returns the 99th percentile; `values` must not be empty.
double p99(std::vector<double> values)
{
    const auto rank = values.begin() + static_cast<std::ptrdiff_t>(values.size() * 99 / 100);
    std::nth_element(values.begin(), rank, values.end());
    return *rank;
}

Target atMostRatio(double bound)
{
    return {Target::On::RatioToBaseline, Target::Direction::AtMost, bound};
}

// Returns the results of the scheduler and of the FIFO baseline for the same load.
std::pair<SimulationResult, SimulationResult> simulateBoth(const Options &options)
{
    const SimulatedCluster cluster = makeSmallCluster(options.accountMix);
    const auto jobs = generateJobs(options.accountMix, options.seed, JobCount, LoadFraction);
    return {simulateScheduler(cluster, jobs), simulateFifoFirstFit(cluster, jobs)};
}

std::vector<Line> measureCompletion(const Options &options)
{
    const auto [scheduler, fifo] = simulateBoth(options);
    return {{"completion_mean", mean(scheduler.completionSeconds), "s",
             mean(fifo.completionSeconds), atMostRatio(0.6)},
            {"completion_p99", p99(scheduler.completionSeconds), "s", p99(fifo.completionSeconds),
             atMostRatio(0.8)}};
}

std::vector<Line> measureFragmentation(const Options &options)
{
    const auto [scheduler, fifo] = simulateBoth(options);
    return {{"fragmentation_time_weighted", scheduler.fragmentation, "fraction", fifo.fragmentation,
             atMostRatio(0.5)}};
}

const Registration RegisterCompletion("completion", measureCompletion);
const Registration RegisterFragmentation("fragmentation", measureFragmentation);

} // namespace

} // namespace oleandercross::bench
