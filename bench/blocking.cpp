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

// Three agents with two minions of 8 slots: 48 slots, of which long work may take 36.
constexpr int Agents = 3;
constexpr int MinionsPerAgent = 2;
constexpr int SlotsPerMinion = 8;
constexpr int ShortWorkMs = 5;
constexpr double ShortPerSecond = 200;
// 20 a second of 2.5 s on average want 50 slots, more than long work may take.
constexpr double LongPerSecond = 20;
constexpr int MinLongMs = 1000;
constexpr int MaxLongMs = 4000;
// Long requests carry larger bodies, as contract drafts do.
constexpr std::size_t ShortBodyBytes = 40;
constexpr std::size_t LongBodyBytes = 1500;
constexpr absl::Duration ShortDeadline = absl::Seconds(2);
constexpr absl::Duration LongDeadline = absl::Seconds(15);
// Service times are learned and the slots fill up in this time, which is not measured.
constexpr absl::Duration WarmUp = absl::Seconds(8);
constexpr absl::Duration Measured = absl::Seconds(20);
constexpr int Threads = 512;
constexpr int HopCalls = 500;
constexpr double MaxRatio = 1.5;
constexpr double HopTargetMs = 1;

enum Kind { Short, Long };

std::vector<Arrival> makeArrivals(std::uint64_t seed, bool withLong)
{
    std::mt19937_64 generator(seed);
    std::vector<Arrival> arrivals;
    const absl::Duration end = WarmUp + Measured;
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

// The p99 of the short requests in ms; one without an answer counts as its deadline.
double shortP99(Cluster &cluster, const Options &options, bool withLong,
                const std::function<http::Endpoint(std::size_t)> &endpoint, bool naive,
                const char *name)
{
    std::vector<Arrival> arrivals = makeArrivals(options.seed, withLong);
    const auto samples = sendAll(arrivals, Threads, [&](const Arrival &arrival, std::size_t index) {
        http::Request request = makeRequest(cluster, arrival, index, options.seed);
        if (naive)
            request.path = "/";
        const absl::Duration timeout = arrival.kind == Short ? ShortDeadline : LongDeadline;
        return cluster.pool().send(endpoint(index), request, timeout + absl::Seconds(1));
    });
    std::vector<double> shortMs;
    std::vector<double> lateMs;
    int shortFailed = 0;
    int longAnswered = 0;
    int longAll = 0;
    for (std::size_t i = 0; i < arrivals.size(); ++i) {
        lateMs.push_back(absl::ToDoubleMilliseconds(samples[i].late));
        const bool answered = samples[i].status == 200;
        if (arrivals[i].kind == Long) {
            ++longAll;
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
                 "long %d of %d answered; sent late p99 %.1f ms\n",
                 name, quantile(shortMs, 0.5), quantile(shortMs, 0.9), quantile(shortMs, 0.99),
                 quantile(shortMs, 0.999), shortFailed, shortMs.size(), longAnswered, longAll,
                 quantile(lateMs, 0.99));
    return quantile(shortMs, 0.99);
}

double timedMs(Cluster &cluster, const http::Endpoint &endpoint, const http::Request &request)
{
    const core::SteadyClock clock;
    const core::Instant begin = clock.now();
    const auto response = cluster.pool().send(endpoint, request, ShortDeadline);
    if (!response || response->status != 200)
        throw std::runtime_error("a request of the hop measurement failed");
    return absl::ToDoubleMilliseconds(clock.now() - begin);
}

// What entry and agent add to a direct call of a minion, one call at a time.
Line measureHop(Cluster &cluster)
{
    std::vector<double> directMs;
    std::vector<double> routedMs;
    for (int i = 0; i < HopCalls; ++i) {
        const http::Request routed =
            cluster.shortRequest(i % Cluster::Accounts, ShortWorkMs, ShortDeadline, ShortBodyBytes);
        http::Request direct = routed;
        direct.path = "/v1/execute";
        direct.headers = {{"x-request-id", core::randomHexId()}};
        const int agent = i % Agents;
        directMs.push_back(timedMs(cluster, cluster.minion(agent, i % MinionsPerAgent), direct));
        routedMs.push_back(timedMs(cluster, Cluster::entry(i % 2), routed));
    }
    const double direct = quantile(directMs, 0.5);
    const Target target = {Target::On::Value, Target::Direction::AtMost, HopTargetMs};
    return {"hop_p50", quantile(routedMs, 0.5) - direct, "ms", direct, target};
}

std::vector<Line> measureBlocking(const Options &options)
{
    ClusterOptions clusterOptions;
    clusterOptions.accountMix = options.accountMix;
    clusterOptions.agents = Agents;
    clusterOptions.minionsPerAgent = MinionsPerAgent;
    clusterOptions.slotsPerMinion = SlotsPerMinion;
    Cluster cluster(clusterOptions);
    cluster.start();
    const Line hop = measureHop(cluster);
    const auto entries = [](std::size_t index) { return Cluster::entry(index % 2); };
    const double without = shortP99(cluster, options, false, entries, false, "short only");
    const double with = shortP99(cluster, options, true, entries, false, "with long");
    const NaiveRouter router(cluster.minions(), SlotsPerMinion);
    const auto naive = [&](std::size_t) { return router.endpoint(); };
    const double naiveWithout = shortP99(cluster, options, false, naive, true, "naive, short only");
    const double naiveWith = shortP99(cluster, options, true, naive, true, "naive, with long");
    const Target target = {Target::On::RatioToBaseline, Target::Direction::AtMost, MaxRatio};
    return {{"short_p99_with_long", with, "ms", without, target},
            {"short_p99_naive_router", naiveWith, "ms", naiveWithout, std::nullopt},
            hop};
}

const Registration Registered("blocking", measureBlocking);

} // namespace

} // namespace oleandercross::bench
