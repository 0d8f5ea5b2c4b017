#include "cluster.h"
#include "load.h"
#include "naiverouter.h"

#include <oleandercross/core/clock.h>
#include <oleandercross/core/digest.h>

#include <algorithm>
#include <cstdio>
#include <random>
#include <stdexcept>

namespace oleandercross::bench {

namespace {

// Three agents with two minions of 8 slots: 48 slots, of which long work may occupy 36.
constexpr int AgentCount = 3;
constexpr int MinionsPerAgent = 2;
constexpr int SlotsPerMinion = 8;
constexpr int ShortWorkMs = 5;
constexpr double ShortPerSecond = 200;
// 20 requests per second of 2.5 s on average need 50 slots, more than long work may occupy.
constexpr double LongPerSecond = 20;
constexpr int MinLongMs = 1000;
constexpr int MaxLongMs = 4000;
// Long requests, such as contract drafts, have larger bodies.
constexpr std::size_t ShortBodyBytes = 40;
constexpr std::size_t LongBodyBytes = 1500;
constexpr absl::Duration ShortDeadline = absl::Seconds(2);
constexpr absl::Duration LongDeadline = absl::Seconds(15);
// Service times are estimated and the slots fill up during this time, which is not measured.
constexpr absl::Duration WarmUp = absl::Seconds(8);
constexpr absl::Duration MeasuredDuration = absl::Seconds(20);
constexpr int SenderThreads = 512;
constexpr int HopCallCount = 500;
constexpr double MaxP99Ratio = 1.5;
constexpr double MaxHopMs = 1;

enum WorkClass { Short, Long };

std::vector<Arrival> makeArrivals(std::uint64_t seed, bool withLong)
{
    std::mt19937_64 generator(seed);
    std::vector<Arrival> arrivals;
    const absl::Duration end = WarmUp + MeasuredDuration;
    for (int account = 0; account < Cluster::Accounts; ++account)
        addPoisson(arrivals, generator, ShortPerSecond / Cluster::Accounts, {}, end, account,
                   Short);
    for (int account = 0; withLong && account < Cluster::Accounts; ++account)
        addPoisson(arrivals, generator, LongPerSecond / Cluster::Accounts, {}, end, account, Long);
    return arrivals;
}

http::Request makeRequest(const Cluster &cluster, const Arrival &arrival, std::size_t index,
                          std::uint64_t seed)
{
    if (arrival.kind == Short)
        return cluster.shortRequest(arrival.account, ShortWorkMs, ShortDeadline, ShortBodyBytes);
    std::mt19937_64 generator(seed ^ index);
    const int workMs = std::uniform_int_distribution<int>(MinLongMs, MaxLongMs)(generator);
    return cluster.shortRequest(arrival.account, workMs, LongDeadline, LongBodyBytes);
}

// Returns the 99th percentile of the latency of the short requests. A request without an answer
// counts with at least its deadline.
double measureShortP99Ms(Cluster &cluster, const Options &options, bool withLong,
                         const std::function<http::Endpoint(std::size_t)> &endpoint, bool naive,
                         const char *name)
{
    std::vector<Arrival> arrivals = makeArrivals(options.seed, withLong);
    const auto samples =
        sendArrivals(arrivals, SenderThreads, [&](const Arrival &arrival, std::size_t index) {
            http::Request request = makeRequest(cluster, arrival, index, options.seed);
            if (naive)
                request.path = "/";
            const absl::Duration timeout = arrival.kind == Short ? ShortDeadline : LongDeadline;
            return cluster.pool().send(endpoint(index), request, timeout + absl::Seconds(1));
        });
    std::vector<double> shortMs;
    std::vector<double> sendDelayMs;
    int shortFailed = 0;
    int longAnswered = 0;
    int longTotal = 0;
    for (std::size_t i = 0; i < arrivals.size(); ++i) {
        sendDelayMs.push_back(absl::ToDoubleMilliseconds(samples[i].sendDelay));
        const bool answered = samples[i].status == 200;
        if (arrivals[i].kind == Long) {
            ++longTotal;
            longAnswered += answered;
            continue;
        }
        if (arrivals[i].at < WarmUp)
            continue;
        if (!answered) {
            ++shortFailed;
            std::fprintf(stderr, "blocking: short request at %.2f s: status %d code %d, %.1f ms\n",
                         absl::ToDoubleSeconds(arrivals[i].at), samples[i].status, samples[i].code,
                         absl::ToDoubleMilliseconds(samples[i].time));
        }
        const double ms = absl::ToDoubleMilliseconds(samples[i].time);
        shortMs.push_back(answered ? ms : std::max(ms, absl::ToDoubleMilliseconds(ShortDeadline)));
    }
    std::fprintf(stderr,
                 "blocking: %s: short p50 %.1f p90 %.1f p99 %.1f p99.9 %.1f ms, %d of %zu failed; "
                 "long %d of %d answered; send delay p99 %.1f ms\n",
                 name, quantile(shortMs, 0.5), quantile(shortMs, 0.9), quantile(shortMs, 0.99),
                 quantile(shortMs, 0.999), shortFailed, shortMs.size(), longAnswered, longTotal,
                 quantile(sendDelayMs, 0.99));
    return quantile(shortMs, 0.99);
}

// Returns the latency of a call, which must succeed.
double callMs(Cluster &cluster, const http::Endpoint &endpoint, const http::Request &request)
{
    const core::SteadyClock clock;
    const core::Instant begin = clock.now();
    const auto response = cluster.pool().send(endpoint, request, ShortDeadline);
    if (!response || response->status != 200)
        throw std::runtime_error("a request of the hop latency measurement failed");
    return absl::ToDoubleMilliseconds(clock.now() - begin);
}

// Measures the latency that the entry and the agent add to a direct call of a minion, one call at a
// time.
Line measureHop(Cluster &cluster)
{
    std::vector<double> directMs;
    std::vector<double> routedMs;
    for (int i = 0; i < HopCallCount; ++i) {
        const http::Request routed =
            cluster.shortRequest(i % Cluster::Accounts, ShortWorkMs, ShortDeadline, ShortBodyBytes);
        http::Request direct = routed;
        direct.path = "/v1/execute";
        direct.headers = {{"x-request-id", core::randomHexId()}};
        const int agent = i % AgentCount;
        directMs.push_back(callMs(cluster, cluster.minion(agent, i % MinionsPerAgent), direct));
        routedMs.push_back(callMs(cluster, Cluster::entry(i % 2), routed));
    }
    const double direct = quantile(directMs, 0.5);
    const Target target = {Target::On::Value, Target::Direction::AtMost, MaxHopMs};
    return {"hop_p50", quantile(routedMs, 0.5) - direct, "ms", direct, target};
}

std::vector<Line> measureBlocking(const Options &options)
{
    ClusterOptions clusterOptions;
    clusterOptions.accountMix = options.accountMix;
    clusterOptions.agents = AgentCount;
    clusterOptions.minionsPerAgent = MinionsPerAgent;
    clusterOptions.slotsPerMinion = SlotsPerMinion;
    Cluster cluster(clusterOptions);
    cluster.start();
    const Line hop = measureHop(cluster);
    const auto entries = [](std::size_t index) { return Cluster::entry(index % 2); };
    const double shortOnlyMs =
        measureShortP99Ms(cluster, options, false, entries, false, "short only");
    const double withLongMs =
        measureShortP99Ms(cluster, options, true, entries, false, "with long");
    const NaiveRouter router(cluster.minions(), SlotsPerMinion);
    const auto naive = [&](std::size_t) { return router.endpoint(); };
    const double naiveShortOnlyMs =
        measureShortP99Ms(cluster, options, false, naive, true, "naive, short only");
    const double naiveWithLongMs =
        measureShortP99Ms(cluster, options, true, naive, true, "naive, with long");
    const Target target = {Target::On::RatioToBaseline, Target::Direction::AtMost, MaxP99Ratio};
    return {{"short_p99_with_long", withLongMs, "ms", shortOnlyMs, target},
            {"short_p99_naive_router", naiveWithLongMs, "ms", naiveShortOnlyMs, std::nullopt},
            hop};
}

const Registration Registered("blocking", measureBlocking);

} // namespace

} // namespace oleandercross::bench
