#include "cluster.h"

#include <oleandercross/core/clock.h>
#include <oleandercross/core/json.h>

#include <absl/time/clock.h>

#include <algorithm>
#include <cstdio>
#include <random>

namespace oleandercross::bench {

namespace {

constexpr int EntryCount = 2;
constexpr int AgentCount = 10;
constexpr int CommitCount = 20;
constexpr double MaxSecondsToInForce = 7;
constexpr absl::Duration CommitTimeout = absl::Seconds(30);

// Returns whether the status of the entry shows this or a later revision on all nodes.
bool isInForce(Cluster &cluster, int entry, std::int64_t revision)
{
    const auto status = cluster.status(entry);
    if (!status)
        return false;
    int nodes = 0;
    for (const Json::Value &node : core::member(*status, "nodes"))
        nodes += core::boolMember(node, "live") && core::intMember(node, "revision") >= revision;
    return nodes == EntryCount + AgentCount;
}

std::vector<Line> measureConfig(const Options &options)
{
    ClusterOptions clusterOptions;
    clusterOptions.accountMix = options.accountMix;
    clusterOptions.entries = EntryCount;
    clusterOptions.agents = AgentCount;
    Cluster cluster(clusterOptions);
    cluster.start();
    const core::SteadyClock clock;
    std::mt19937_64 generator(options.seed);
    // Distributes the commits over the time between two heartbeats.
    std::uniform_int_distribution<int> pauseMs(0, 2000);
    std::int64_t revision = 1;
    std::vector<double> seconds;
    for (int i = 0; i < CommitCount; ++i) {
        absl::SleepFor(absl::Milliseconds(pauseMs(generator)));
        const core::Instant begin = clock.now();
        revision = cluster.commit(i % EntryCount, revision);
        waitUntil(
            [&] { return isInForce(cluster, 0, revision) && isInForce(cluster, 1, revision); },
            CommitTimeout, "a revision in force");
        seconds.push_back(absl::ToDoubleSeconds(clock.now() - begin));
    }
    std::sort(seconds.begin(), seconds.end());
    std::fprintf(stderr, "config: %d commits, shortest %.3f s, median %.3f s\n", CommitCount,
                 seconds.front(), seconds[seconds.size() / 2]);
    const Target target = {Target::On::Value, Target::Direction::AtMost, MaxSecondsToInForce};
    return {{"commit_to_in_force_max", seconds.back(), "s", std::nullopt, target}};
}

const Registration Registered("config", measureConfig);

} // namespace

} // namespace oleandercross::bench
