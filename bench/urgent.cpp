#include "jobs.h"

#include <algorithm>
#include <random>

namespace oleandercross::bench {

namespace {

// An account without a guarantee borrows all 80 accelerators; then the others claim theirs.
std::vector<LoadedJob> borrowersAndClaims(std::uint64_t seed, bool urgent)
{
    std::mt19937_64 random(seed);
    std::vector<LoadedJob> jobs;
    const auto add = [&](int account, int tasks, int accelerators, double arrival) {
        LoadedJob job;
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
        LoadedJob *job = add(3, 1, 2, 0.001 * i);
        job->spec.checkpointable = i % 2 == 0;
        job->runTime = absl::Hours(1);
    }
    for (int claim = 0; claim < 200; ++claim) {
        const int account = static_cast<int>(random() % 3);
        const int accelerators = 1 << random() % 4;
        const double arrival = 60 + 15.0 * claim + 0.001 * static_cast<double>(random() % 1000);
        LoadedJob *job = add(account, 8 / accelerators, accelerators, arrival);
        job->spec.urgent = urgent;
        job->spec.adjacency = scheduling::Adjacency::Worker;
        job->runTime = absl::Seconds(2);
    }
    return jobs;
}

// Checkpoints never complete, which is the worst case.
double longestWait(const Options &options, bool urgent)
{
    const auto jobs = borrowersAndClaims(options.seed, urgent);
    RunOptions run;
    run.tick = absl::Milliseconds(100);
    run.checkpoint = absl::Hours(10);
    const Outcome outcome = runScheduler(smallCluster(options.accountMix), jobs, run);
    return *std::max_element(outcome.start.begin() + 40, outcome.start.end());
}

std::vector<Line> urgent(const Options &options)
{
    const Target bound{Target::On::Value, Target::Direction::AtMost, 1.8};
    return {{"urgent_start_max", longestWait(options, true), "s", std::nullopt, bound},
            {"guaranteed_claim_wait_max", longestWait(options, false), "s", std::nullopt,
             std::nullopt}};
}

const Registration RegisterUrgent("urgent", urgent);

} // namespace

} // namespace oleandercross::bench
