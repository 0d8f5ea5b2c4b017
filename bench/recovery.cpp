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

constexpr int Entries = 2;
constexpr int Agents = 4;
constexpr int TasksPerGang = 2;
constexpr char Command[] = "run 0.1";
constexpr absl::Duration SubmitPeriod = absl::Milliseconds(50);
constexpr int Submitters = 32;
constexpr absl::Duration SubmitTimeout = absl::Seconds(3);
constexpr absl::Duration Before = absl::Seconds(3);
// How long placements are watched from the event on.
constexpr absl::Duration Watched = absl::Seconds(12);
constexpr absl::Duration SamplePeriod = absl::Milliseconds(5);
constexpr absl::Duration StopTimeout = absl::Seconds(40);
constexpr int Rounds = 3;
constexpr double KillTargetSeconds = 5;
constexpr double HandoverTargetSeconds = 0.5;

std::int64_t tasksStarted(Cluster &cluster)
{
    std::int64_t started = 0;
    for (int a = 0; a < Agents; ++a)
        started += cluster.metric(Cluster::agent(a), "tasks_started");
    return started;
}

// Submits gangs at a steady rate through one entry until destroyed.
class Submissions
{
public:
    Submissions(Cluster &cluster, int entry, absl::Duration duration)
        : m_thread([this, &cluster, entry, duration] { run(cluster, entry, duration); })
    { }
    ~Submissions() { m_thread.join(); }
    Submissions(const Submissions &) = delete;
    Submissions &operator=(const Submissions &) = delete;

private:
    void run(Cluster &cluster, int entry, absl::Duration duration)
    {
        std::vector<Arrival> arrivals;
        for (absl::Duration at; at < duration; at += SubmitPeriod)
            arrivals.push_back({at, static_cast<int>(arrivals.size()) % Cluster::Accounts, 0});
        const auto samples =
            sendAll(arrivals, Submitters, [&](const Arrival &arrival, std::size_t) {
                return cluster.pool().send(
                    Cluster::entry(entry),
                    cluster.jobRequest(arrival.account, TasksPerGang, Command), SubmitTimeout);
            });
        std::map<std::pair<int, int>, int> counts;
        for (const Sample &sample : samples)
            ++counts[{sample.status, sample.code}];
        std::fprintf(stderr, "recovery: %zu gangs submitted;", samples.size());
        for (const auto &[answer, count] : counts)
            std::fprintf(stderr, " %d of status %d code %d", count, answer.first, answer.second);
        std::fprintf(stderr, "\n");
    }

    std::thread m_thread;
};

// The longest time without a task's start, watched from now on.
double longestGap(Cluster &cluster)
{
    const core::SteadyClock clock;
    const core::Instant begin = clock.now();
    core::Instant last = begin;
    std::int64_t seen = tasksStarted(cluster);
    absl::Duration longest;
    while (clock.now() - begin < Watched) {
        const std::int64_t started = tasksStarted(cluster);
        const core::Instant now = clock.now();
        longest = std::max(longest, now - last);
        if (started != seen)
            last = now;
        seen = started;
        absl::SleepFor(SamplePeriod);
    }
    return absl::ToDoubleSeconds(longest);
}

// Ends the leading entry with a signal and returns the gap; starts the entry again.
double gapAfter(Cluster &cluster, int signal)
{
    std::optional<int> leading;
    waitUntil([&] { return (leading = cluster.leader()).has_value(); }, StopTimeout, "a leader");
    const std::string name = Cluster::entryName(*leading);
    const int other = 1 - *leading;
    double gap = 0;
    {
        const Submissions submissions(cluster, other, Before + Watched);
        absl::SleepFor(Before);
        if (tasksStarted(cluster) == 0)
            throw std::runtime_error("no gang was placed before the leader ended");
        cluster.processes().signal(name, signal);
        gap = longestGap(cluster);
    }
    if (!cluster.processes().join(name, StopTimeout))
        throw std::runtime_error(name + " did not stop");
    cluster.startEntry(*leading);
    waitUntil([&] { return cluster.status(*leading).has_value(); }, StopTimeout, name);
    std::fprintf(stderr, "recovery: signal %d, gap %.3f s\n", signal, gap);
    return gap;
}

std::vector<Line> measureRecovery(const Options &options)
{
    ClusterOptions clusterOptions;
    clusterOptions.accountMix = options.accountMix;
    clusterOptions.entries = Entries;
    clusterOptions.agents = Agents;
    Cluster cluster(clusterOptions);
    cluster.start();
    double killed = 0;
    double handedOver = 0;
    for (int i = 0; i < Rounds; ++i) {
        killed = std::max(killed, gapAfter(cluster, SIGKILL));
        handedOver = std::max(handedOver, gapAfter(cluster, SIGTERM));
    }
    const Target kill = {Target::On::Value, Target::Direction::AtMost, KillTargetSeconds};
    const Target handover = {Target::On::Value, Target::Direction::AtMost, HandoverTargetSeconds};
    return {{"gap_after_kill", killed, "s", std::nullopt, kill},
            {"gap_on_handover", handedOver, "s", std::nullopt, handover}};
}

const Registration Registered("recovery", measureRecovery);

} // namespace

} // namespace oleandercross::bench
