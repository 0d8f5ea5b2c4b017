#include "jobs.h"

#include <algorithm>
#include <numeric>

namespace oleandercross::bench {

namespace {

constexpr int Jobs = 3000;
constexpr double Load = 0.85;

double mean(const std::vector<double> &values)
{
    return std::accumulate(values.begin(), values.end(), 0.0) / values.size();
}

double p99(std::vector<double> values)
{
    const auto at = values.begin() + static_cast<std::ptrdiff_t>(values.size() * 99 / 100);
    std::nth_element(values.begin(), at, values.end());
    return *at;
}

Target ratio(double bound)
{
    return {Target::On::RatioToBaseline, Target::Direction::AtMost, bound};
}

std::pair<Outcome, Outcome> both(const Options &options)
{
    const LoadedCluster cluster = smallCluster(options.accountMix);
    const auto jobs = generateJobs(options.accountMix, options.seed, Jobs, Load);
    return {runScheduler(cluster, jobs), runFifoFirstFit(cluster, jobs)};
}

std::vector<Line> completion(const Options &options)
{
    const auto [ours, fifo] = both(options);
    return {{"completion_mean", mean(ours.completion), "s", mean(fifo.completion), ratio(0.6)},
            {"completion_p99", p99(ours.completion), "s", p99(fifo.completion), ratio(0.8)}};
}

std::vector<Line> fragmentation(const Options &options)
{
    const auto [ours, fifo] = both(options);
    return {{"fragmentation_time_weighted", ours.fragmentation, "fraction", fifo.fragmentation,
             ratio(0.5)}};
}

const Registration RegisterCompletion("completion", completion);
const Registration RegisterFragmentation("fragmentation", fragmentation);

} // namespace

} // namespace oleandercross::bench
