#include "jobs.h"

#include <algorithm>
#include <random>

namespace oleandercross::bench {

namespace {

// Generates the jobs of an account without a guarantee that borrows all 80 accelerators, followed
// by jobs with which the other accounts claim their guarantees.
std::vector<GeneratedJob> generateBorrowersAndClaims(std::uint64_t seed, bool urgent)
{
    std::mt19937_64 random(seed);
    std::vector<GeneratedJob> jobs;
    const auto add = [&](int account, int tasks, int accelerators, double arrival) {
        GeneratedJob job;
        job.spec.id = core::JobId("j" + std::to_string(jobs.size()));
        job.spec.account = core::AccountId("account" + std::to_string(account));
        job.spec.team = core::TeamId("team");
        job.spec.tasks = tasks;
        job.spec.perTask = {accelerators, 2 * accelerators, 4096L * accelerators};
        job.spec.repeatable = true;
        job.arrival = absl::Seconds(arrival);
        jobs.push_back(job);
        return &jobs.back();
    };
    for (int i = 0; i < 40; ++i) {
        GeneratedJob *job = add(3, 1, 2, 0.001 * i);
        job->spec.checkpointable = i % 2 == 0;
        job->runTime = absl::Hours(1);
    }
    for (int claim = 0; claim < 200; ++claim) {
        const int account = static_cast<int>(random() % 3);
        const int accelerators = 1 << random() % 4;
        const double arrival = 60 + 15.0 * claim + 0.001 * static_cast<double>(random() % 1000);
        GeneratedJob *job = add(account, 8 / accelerators, accelerators, arrival);
        job->spec.urgent = urgent;
        job->spec.adjacency = scheduling::Adjacency::Worker;
        job->runTime = absl::Seconds(2);
    }
    return jobs;
}

// Returns the longest time that a claim waits for its start. Checkpoints never complete, which is
// the worst case: each preemption takes the whole checkpoint timeout.
double longestClaimWaitSeconds(const Options &options, bool urgent)
{
    const auto jobs = generateBorrowersAndClaims(options.seed, urgent);
    SimulationOptions simulationOptions;
    simulationOptions.tickInterval = absl::Milliseconds(100);
    simulationOptions.checkpointTime = absl::Hours(10);
    const SimulationResult result =
        simulateScheduler(makeSmallCluster(options.accountMix), jobs, simulationOptions);
    return *std::max_element(result.startSeconds.begin() + 40, result.startSeconds.end());
}

std::vector<Line> measureUrgent(const Options &options)
{
    const Target bound{Target::On::Value, Target::Direction::AtMost, 1.8};
    return {{"urgent_start_max", longestClaimWaitSeconds(options, true), "s", std::nullopt, bound},
            {"guaranteed_claim_wait_max", longestClaimWaitSeconds(options, false), "s",
             std::nullopt, std::nullopt}};
}

const Registration RegisterUrgent("urgent", measureUrgent);

} // namespace

} // namespace oleandercross::bench
