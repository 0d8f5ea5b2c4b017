#include "cluster.h"
#include "load.h"
#include "naiverouter.h"

#include <oleandercross/core/resultcode.h>

#include <absl/strings/str_cat.h>
#include <absl/time/clock.h>

#include <algorithm>
#include <array>
#include <cstdio>
#include <map>
#include <random>

namespace oleandercross::bench {

namespace {

// Two minions with 8 slots. The work takes less than 100 ms, the limit of short work, so that all
// slots may serve it.
constexpr int AgentCount = 2;
constexpr int SlotsPerMinion = 8;
constexpr int TotalSlots = AgentCount * SlotsPerMinion;
constexpr int WorkMs = 50;
constexpr double NominalPerSecond = TotalSlots * 1000.0 / WorkMs;
constexpr double BurstFactor = 10;
// Load of the first account relative to the capacity. Each of the other three accounts demands the
// whole capacity, so that all are limited to their fair share.
constexpr double FloodFactor = 7;
constexpr absl::Duration Deadline = absl::Seconds(1);
constexpr absl::Duration CallerTimeout = absl::Milliseconds(1200);
constexpr absl::Duration BurstDuration = absl::Seconds(8);
// The queues fill up during this time, which is not measured.
constexpr absl::Duration WarmUp = absl::Seconds(2);
// Calls from which the entries estimate the service time before the measurement.
constexpr int WarmUpCallCount = 200;
constexpr int WarmUpCallerCount = 8;
constexpr int CapacityCallerCount = 2 * TotalSlots;
// Pause of a refused caller during the capacity measurement, so that refusals do not use up the
// calls.
constexpr absl::Duration RefusedPause = absl::Milliseconds(20);
constexpr int CapacityCallCount = static_cast<int>(NominalPerSecond * 6);
constexpr int SenderThreads = 1600;
constexpr double MinGoodput = 0.95;
constexpr double MinInDeadline = 0.99;
constexpr double MinFairness = 0.95;

struct BurstResult
{
    double goodputPerSecond = 0;
    double acceptedInDeadline = 0;
    double fairness = 0;
};

// Returns whether the request was refused on arrival. A request that was not run because its
// deadline passed in the queue counts as accepted.
bool wasRefused(const Sample &sample)
{
    const core::ResultCode code = core::resultCodeFromNumber(sample.code);
    return sample.status >= 400 && core::provablyNotRun(code)
        && code != core::ResultCode::DeadlineExpired;
}

bool metDeadline(const Sample &sample)
{
    return sample.status == 200 && sample.time <= Deadline;
}

// Returns Jain's fairness index.
double jainIndex(const std::array<double, Cluster::Accounts> &values)
{
    double sum = 0;
    double squares = 0;
    for (const double value : values) {
        sum += value;
        squares += value * value;
    }
    return squares == 0 ? 0 : sum * sum / (values.size() * squares);
}

void printCounts(const char *name, const std::vector<Sample> &samples)
{
    std::map<int, int> counts;
    std::vector<double> sendDelayMs;
    std::vector<double> answeredMs;
    for (const Sample &sample : samples) {
        ++counts[sample.status == 200 ? 200 : sample.code];
        sendDelayMs.push_back(absl::ToDoubleMilliseconds(sample.sendDelay));
        if (sample.status == 200)
            answeredMs.push_back(absl::ToDoubleMilliseconds(sample.time));
    }
    std::string text;
    for (const auto &[code, count] : counts)
        absl::StrAppend(&text, " ", code, ":", count);
    std::fprintf(stderr,
                 "crest: %s: codes%s; answered p50 %.0f p99 %.0f ms; send delay p99 %.0f max %.0f "
                 "ms\n",
                 name, text.c_str(), quantile(answeredMs, 0.5), quantile(answeredMs, 0.99),
                 quantile(sendDelayMs, 0.99), quantile(sendDelayMs, 1));
}

BurstResult evaluate(const char *name, const std::vector<Arrival> &arrivals,
                     const std::vector<Sample> &samples)
{
    std::array<double, Cluster::Accounts> goodPerAccount = {};
    int acceptedCount = 0;
    int metCount = 0;
    for (std::size_t i = 0; i < arrivals.size(); ++i) {
        const Sample &sample = samples[i];
        const bool isMeasured = arrivals[i].at >= WarmUp;
        acceptedCount += isMeasured && !wasRefused(sample);
        metCount += isMeasured && metDeadline(sample);
        const absl::Duration end = arrivals[i].at + sample.sendDelay + sample.time;
        if (metDeadline(sample) && end >= WarmUp && end < BurstDuration)
            ++goodPerAccount[arrivals[i].account];
    }
    printCounts(name, samples);
    double total = 0;
    for (const double count : goodPerAccount)
        total += count;
    std::fprintf(stderr,
                 "crest: %s: in deadline per account %.0f %.0f %.0f %.0f, accepted %d, of these in "
                 "deadline %d\n",
                 name, goodPerAccount[0], goodPerAccount[1], goodPerAccount[2], goodPerAccount[3],
                 acceptedCount, metCount);
    return {total / absl::ToDoubleSeconds(BurstDuration - WarmUp),
            acceptedCount == 0 ? 0 : static_cast<double>(metCount) / acceptedCount,
            jainIndex(goodPerAccount)};
}

// Sends calls back to back from a fixed number of callers.
std::vector<Sample> callClosedLoop(Cluster &cluster, int calls, int callers)
{
    std::vector<Arrival> arrivals;
    arrivals.reserve(calls);
    for (int i = 0; i < calls; ++i)
        arrivals.push_back({{}, i % Cluster::Accounts, 0});
    return sendArrivals(arrivals, callers, [&](const Arrival &arrival, std::size_t index) {
        auto response = cluster.pool().send(Cluster::entry(index % 2),
                                            cluster.shortRequest(arrival.account, WorkMs, Deadline),
                                            CallerTimeout);
        if (!response || response->status != 200)
            absl::SleepFor(RefusedPause);
        return response;
    });
}

// Measures the answered calls per second of twice as many callers as slots, which keep all slots
// busy.
double measureCapacityPerSecond(Cluster &cluster)
{
    callClosedLoop(cluster, WarmUpCallCount, WarmUpCallerCount);
    const auto samples = callClosedLoop(cluster, CapacityCallCount, CapacityCallerCount);
    const absl::Duration measureFrom = absl::Seconds(1);
    const absl::Duration measureUntil = absl::Seconds(5);
    int answeredCount = 0;
    for (const Sample &sample : samples) {
        const absl::Duration end = sample.sendDelay + sample.time;
        answeredCount += sample.status == 200 && end >= measureFrom && end < measureUntil;
    }
    printCounts("at capacity", samples);
    return answeredCount / absl::ToDoubleSeconds(measureUntil - measureFrom);
}

std::vector<Arrival> burstArrivals(std::uint64_t seed)
{
    std::mt19937_64 generator(seed);
    std::vector<Arrival> arrivals;
    for (int account = 0; account < Cluster::Accounts; ++account) {
        const double factor = account == 0 ? FloodFactor : 1;
        addPoisson(arrivals, generator, factor * NominalPerSecond, {}, BurstDuration, account, 0);
    }
    return arrivals;
}
static_assert(FloodFactor + Cluster::Accounts - 1 == BurstFactor);

BurstResult measureBurst(Cluster &cluster, const Options &options, const char *name,
                         const NaiveRouter *naive)
{
    std::vector<Arrival> arrivals = burstArrivals(options.seed);
    const auto samples =
        sendArrivals(arrivals, SenderThreads, [&](const Arrival &arrival, std::size_t index) {
            http::Request request = cluster.shortRequest(arrival.account, WorkMs, Deadline);
            if (naive)
                request.path = "/";
            const http::Endpoint endpoint = naive ? naive->endpoint() : Cluster::entry(index % 2);
            return cluster.pool().send(endpoint, request, CallerTimeout);
        });
    return evaluate(name, arrivals, samples);
}

std::vector<Line> measureCrest(const Options &options)
{
    ClusterOptions clusterOptions;
    clusterOptions.accountMix = options.accountMix;
    clusterOptions.agents = AgentCount;
    clusterOptions.minionsPerAgent = 1;
    clusterOptions.slotsPerMinion = SlotsPerMinion;
    Cluster cluster(clusterOptions);
    cluster.start();
    const double capacity = measureCapacityPerSecond(cluster);
    std::fprintf(stderr, "crest: capacity %.1f a second, nominal %.1f\n", capacity,
                 NominalPerSecond);
    const BurstResult routed = measureBurst(cluster, options, "burst", nullptr);
    const NaiveRouter router(cluster.minions(), SlotsPerMinion);
    const BurstResult naive = measureBurst(cluster, options, "naive burst", &router);
    const auto atLeast = [](double bound) {
        return Target{Target::On::Value, Target::Direction::AtLeast, bound};
    };
    const double naiveGoodput = capacity > 0 ? naive.goodputPerSecond / capacity : 0;
    const double goodput = capacity > 0 ? routed.goodputPerSecond / capacity : 0;
    return {{"goodput_fraction", goodput, "fraction", naiveGoodput, atLeast(MinGoodput)},
            {"accepted_in_deadline", routed.acceptedInDeadline, "fraction",
             naive.acceptedInDeadline, atLeast(MinInDeadline)},
            {"fairness_jain", routed.fairness, "fraction", naive.fairness, atLeast(MinFairness)}};
}

const Registration Registered("crest", measureCrest);

} // namespace

} // namespace oleandercross::bench
