#include "cluster.h"
#include "load.h"

#include <oleandercross/core/clock.h>

#include <absl/time/clock.h>

#include <atomic>
#include <csignal>
#include <cstdio>
#include <map>
#include <stdexcept>
#include <thread>

namespace oleandercross::bench {

namespace {

constexpr int EntryCount = 2;
constexpr int AgentCount = 4;
constexpr int TasksPerGang = 2;
constexpr char Command[] = "run 0.1";
constexpr absl::Duration SubmitPeriod = absl::Milliseconds(50);
constexpr int SubmitterThreads = 32;
constexpr absl::Duration SubmitTimeout = absl::Seconds(3);
// Time of submissions before the leader is stopped.
constexpr absl::Duration PlacementWarmUp = absl::Seconds(3);
// Time after the stop of the leader during which placements are observed.
constexpr absl::Duration WatchDuration = absl::Seconds(12);
constexpr absl::Duration SamplePeriod = absl::Milliseconds(5);
constexpr absl::Duration StateChangeTimeout = absl::Seconds(40);
constexpr int RoundCount = 3;
constexpr double MaxKillGapSeconds = 5;
constexpr double MaxHandoverGapSeconds = 0.5;

std::int64_t tasksStarted(Cluster &cluster)
{
    std::int64_t started = 0;
    for (int a = 0; a < AgentCount; ++a)
        started += cluster.metric(Cluster::agent(a), "tasks_started");
    return started;
}

// Submits gangs at a constant rate through one entry. The destructor waits for the last submission.
class BackgroundSubmissions
{
public:
    BackgroundSubmissions(Cluster &cluster, int entry, absl::Duration duration)
        : m_thread([this, &cluster, entry, duration] { run(cluster, entry, duration); })
    { }
    ~BackgroundSubmissions() { m_thread.join(); }
    BackgroundSubmissions(const BackgroundSubmissions &) = delete;
    BackgroundSubmissions &operator=(const BackgroundSubmissions &) = delete;

private:
    void run(Cluster &cluster, int entry, absl::Duration duration)
    {
        std::vector<Arrival> arrivals;
        for (absl::Duration at; at < duration; at += SubmitPeriod)
            arrivals.push_back({at, static_cast<int>(arrivals.size()) % Cluster::Accounts, 0});
        const auto samples =
            sendArrivals(arrivals, SubmitterThreads, [&](const Arrival &arrival, std::size_t) {
                return cluster.pool().send(
                    Cluster::entry(entry),
                    cluster.jobRequest(arrival.account, TasksPerGang, Command), SubmitTimeout);
            });
        std::map<std::pair<int, int>, int> counts;
        for (const Sample &sample : samples)
            ++counts[{sample.status, sample.code}];
        std::fprintf(stderr, "recovery: %zu gangs submitted;", samples.size());
        for (const auto &[answer, count] : counts)
            std::fprintf(stderr, " %d with status %d code %d", count, answer.first, answer.second);
        std::fprintf(stderr, "\n");
    }

    std::thread m_thread;
};

// Returns the longest time without the start of a task within the next WatchDuration.
double longestGapSeconds(Cluster &cluster)
{
    const core::SteadyClock clock;
    const core::Instant begin = clock.now();
    core::Instant lastStartAt = begin;
    std::int64_t lastStarted = tasksStarted(cluster);
    absl::Duration longest;
    while (clock.now() - begin < WatchDuration) {
        const std::int64_t started = tasksStarted(cluster);
        const core::Instant now = clock.now();
        longest = std::max(longest, now - lastStartAt);
        if (started != lastStarted)
            lastStartAt = now;
        lastStarted = started;
        absl::SleepFor(SamplePeriod);
    }
    return absl::ToDoubleSeconds(longest);
}

// Stops the leader with a signal, measures the gap in placements and restarts the entry.
double gapSecondsAfter(Cluster &cluster, int signal)
{
    std::optional<int> leaderEntry;
    waitUntil([&] { return (leaderEntry = cluster.leader()).has_value(); }, StateChangeTimeout,
              "a leader");
    const std::string name = Cluster::entryName(*leaderEntry);
    const int otherEntry = 1 - *leaderEntry;
    double gapSeconds = 0;
    {
        const BackgroundSubmissions submissions(cluster, otherEntry,
                                                PlacementWarmUp + WatchDuration);
        absl::SleepFor(PlacementWarmUp);
        if (tasksStarted(cluster) == 0)
            throw std::runtime_error("no task started before the leader was stopped");
        cluster.processes().signal(name, signal);
        gapSeconds = longestGapSeconds(cluster);
    }
    if (!cluster.processes().join(name, StateChangeTimeout))
        throw std::runtime_error(name + " did not stop in time");
    cluster.startEntry(*leaderEntry);
    waitUntil([&] { return cluster.status(*leaderEntry).has_value(); }, StateChangeTimeout, name);
    std::fprintf(stderr, "recovery: signal %d, gap %.3f s\n", signal, gapSeconds);
    return gapSeconds;
}

std::vector<Line> measureRecovery(const Options &options)
{
    ClusterOptions clusterOptions;
    clusterOptions.accountMix = options.accountMix;
    clusterOptions.entries = EntryCount;
    clusterOptions.agents = AgentCount;
    Cluster cluster(clusterOptions);
    cluster.start();
    double maxKillGap = 0;
    double maxHandoverGap = 0;
    for (int i = 0; i < RoundCount; ++i) {
        maxKillGap = std::max(maxKillGap, gapSecondsAfter(cluster, SIGKILL));
        maxHandoverGap = std::max(maxHandoverGap, gapSecondsAfter(cluster, SIGTERM));
    }
    const Target kill = {Target::On::Value, Target::Direction::AtMost, MaxKillGapSeconds};
    const Target handover = {Target::On::Value, Target::Direction::AtMost, MaxHandoverGapSeconds};
    return {{"gap_after_kill", maxKillGap, "s", std::nullopt, kill},
            {"gap_on_handover", maxHandoverGap, "s", std::nullopt, handover}};
}

const Registration Registered("recovery", measureRecovery);

} // namespace

} // namespace oleandercross::bench
