#include "daysimulation.h"

namespace oleandercross::bench {

DayScenario initialDeploymentDay(const std::string &accountMix, double load)
{
    const bool prairie = accountMix == "prairie";
    const std::int64_t scale = prairie ? 2 : 1;
    DayScenario scenario;
    scenario.capacity = {32000 * scale, 65536 * scale, 8};
    scenario.stopTime = prairie ? absl::Milliseconds(900) : absl::Milliseconds(200);
    const std::vector<std::int64_t> acceleratorCounts = {1, 2, 4, 8, 8};
    const double urgentEstimateError = prairie ? 0.2 : 0.9;
    const double regularEstimateError = prairie ? 0.9 : 0.5;
    scenario.queues = {{0, 0.38 * load, 2100, 0.5, 3.2, 3700 * scale, 10000, acceleratorCounts, 0.5,
                        0.8, 0, urgentEstimateError, 1.5, 250, 4, 0.2},
                       {1, 0.28 * load, 9400, 0.3, 1.5, 13000 * scale, 19000 * scale,
                        acceleratorCounts, 0.5, 0.6, 0.45, regularEstimateError, 3, 1000, 3, 0.3},
                       {2,
                        0.13 * load,
                        8100,
                        0.3,
                        11,
                        2800 * scale,
                        prairie ? 15000 : 4100,
                        {1},
                        0,
                        0,
                        0.45,
                        0.9,
                        3,
                        3000,
                        1,
                        0.3}};
    return scenario;
}

DayScenario grownDeploymentDay(const std::string &accountMix, double load)
{
    DayScenario scenario = initialDeploymentDay(accountMix, load);
    scenario.workers = 57;
    scenario.workersPerRack = 8;
    scenario.queues[0].submissionsPerSecond = 1.8 * load;
    scenario.queues[0].meanTasks = 4.8;
    scenario.queues[1].submissionsPerSecond = 0.55 * load;
    scenario.queues[1].meanTasks = 6;
    scenario.queues[2].submissionsPerSecond = 0.28 * load;
    scenario.queues[2].meanTasks = 40;
    scenario.queues[2].meanWorkMs = 8100;
    return scenario;
}

DayScenario scaledDeploymentDay(const std::string &accountMix, int workers)
{
    DayScenario scenario = grownDeploymentDay(accountMix, 1);
    const double factor = static_cast<double>(workers) / scenario.workers;
    scenario.workers = workers;
    scenario.workersPerRack = 12;
    for (QueueLoad &queue : scenario.queues)
        queue.submissionsPerSecond *= factor;
    return scenario;
}

} // namespace oleandercross::bench
