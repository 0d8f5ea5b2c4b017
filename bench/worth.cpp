#include "daysimulation.h"
#include "measure.h"

namespace oleandercross::bench {

namespace {

constexpr int DayCount = 4;

// Returns the mean outcome of days with consecutive seeds.
DayOutcome meanOutcome(const DayScenario &scenario, std::uint64_t seed, bool fifo)
{
    DayOutcome meanOfDays;
    for (int i = 0; i < DayCount; ++i) {
        const DayOutcome outcome =
            simulateDay(scenario, seed + static_cast<std::uint64_t>(i), fifo);
        meanOfDays.valueFraction += outcome.valueFraction / DayCount;
        meanOfDays.servedFraction += outcome.servedFraction / DayCount;
        meanOfDays.worstQueueValueFraction += outcome.worstQueueValueFraction / DayCount;
        meanOfDays.wastedWorkFraction += outcome.wastedWorkFraction / DayCount;
    }
    return meanOfDays;
}

void addLines(std::vector<Line> &lines, const std::string &name, const DayScenario &scenario,
              std::uint64_t seed)
{
    const DayOutcome planner = meanOutcome(scenario, seed, false);
    const DayOutcome fifo = meanOutcome(scenario, seed, true);
    lines.push_back(
        {name + "_worth", planner.valueFraction, "fraction", fifo.valueFraction, std::nullopt});
    lines.push_back(
        {name + "_served", planner.servedFraction, "fraction", fifo.servedFraction, std::nullopt});
    lines.push_back({name + "_worst_queue", planner.worstQueueValueFraction, "fraction",
                     fifo.worstQueueValueFraction, std::nullopt});
    lines.push_back({name + "_wasted", planner.wastedWorkFraction, "fraction",
                     fifo.wastedWorkFraction, std::nullopt});
}

std::vector<Line> measureWorth(const Options &options)
{
    std::vector<Line> lines;
    addLines(lines, "usual", initialDeploymentDay(options.accountMix, 1), options.seed);
    addLines(lines, "busy", initialDeploymentDay(options.accountMix, 1.3), options.seed);
    addLines(lines, "grown", grownDeploymentDay(options.accountMix, 1), options.seed);
    return lines;
}

const Registration RegisterWorth("worth", measureWorth);

} // namespace

} // namespace oleandercross::bench
