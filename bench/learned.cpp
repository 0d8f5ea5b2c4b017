#include "daysimulation.h"
#include "measure.h"

#include <algorithm>
#include <string>

namespace oleandercross::bench {

namespace {

// Today's larger deployment and the size of two years.
constexpr int WorkerCounts[] = {77, 510};

// Measures the rows that a leader would write to keep what it has learned during a simulated day,
// and the longest check for changes.
std::vector<Line> measureLearnedState(const Options &options)
{
    std::vector<Line> lines;
    for (const int workers : WorkerCounts) {
        const DayOutcome day =
            simulateDay(scaledDeploymentDay(options.accountMix, workers), options.seed, false);
        const std::string suffix = "_" + std::to_string(workers);
        const double seconds = absl::ToDoubleSeconds(day.length);
        const auto longest =
            std::max_element(day.learnedCheckTimes.begin(), day.learnedCheckTimes.end());
        const auto add = [&](const char *name, double value, const char *unit) {
            lines.push_back({name + suffix, value, unit, std::nullopt, {}});
        };
        add("learned_rows", day.learnedRows / seconds, "1/s");
        add("learned_bytes", static_cast<double>(day.learnedBytes) / seconds, "B/s");
        add("learned_largest", static_cast<double>(day.largestLearnedText), "B");
        add("learned_check_max", absl::ToDoubleMilliseconds(*longest), "ms");
    }
    return lines;
}

const Registration RegisterLearnedState("learned", measureLearnedState);

} // namespace

} // namespace oleandercross::bench
