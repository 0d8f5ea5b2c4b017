#include "daysimulation.h"
#include "measure.h"

#include <algorithm>
#include <string>

namespace oleandercross::bench {

namespace {

// The bound of one decision of the leader, in milliseconds.
constexpr double MaxDecisionP99Ms = 5;
// Worker counts from today's deployments to the size of two years, which the target applies to.
constexpr int WorkerCounts[] = {11, 57, 160, 510};
constexpr int TargetWorkerCount = 510;
// Shortens the digest to the six digits that are printed.
constexpr std::uint64_t DigestModulus = 999'983;

double percentileMs(std::vector<absl::Duration> times, double fraction)
{
    if (times.empty())
        return 0;
    std::sort(times.begin(), times.end());
    const auto index = static_cast<std::size_t>(fraction * static_cast<double>(times.size() - 1));
    return absl::ToDoubleMilliseconds(times[index]);
}

// Measures the time of the planner's decisions during a simulated day at several sizes of the
// deployment, with load in proportion.
std::vector<Line> measurePlanning(const Options &options)
{
    std::vector<Line> lines;
    for (const int workers : WorkerCounts) {
        const DayOutcome day =
            simulateDay(scaledDeploymentDay(options.accountMix, workers), options.seed, false);
        const std::string suffix = "_" + std::to_string(workers);
        std::optional<Target> target;
        if (workers == TargetWorkerCount)
            target = {Target::On::Value, Target::Direction::AtMost, MaxDecisionP99Ms};
        lines.push_back(
            {"plan_p50" + suffix, percentileMs(day.planTimes, 0.5), "ms", std::nullopt, {}});
        lines.push_back(
            {"plan_p99" + suffix, percentileMs(day.planTimes, 0.99), "ms", std::nullopt, target});
        lines.push_back({"plan_worth" + suffix, day.valueFraction, "fraction", std::nullopt, {}});
        lines.push_back({"plan_orders" + suffix,
                         static_cast<double>(day.orderDigest % DigestModulus),
                         "digest",
                         std::nullopt,
                         {}});
    }
    return lines;
}

const Registration RegisterPlanning("planning", measurePlanning);

} // namespace

} // namespace oleandercross::bench
