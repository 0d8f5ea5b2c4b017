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

// Two minions of 8 slots. The work is below the limit of 100 ms for short work, so that all slots
// may serve it.
constexpr int Agents = 2;
constexpr int SlotsPerMinion = 8;
constexpr int Slots = Agents * SlotsPerMinion;
constexpr int WorkMs = 50;
constexpr double NominalPerSecond = Slots * 1000.0 / WorkMs;
constexpr double BurstFactor = 10;
// The other three accounts each want the whole capacity, so that each is limited to its share.
constexpr double FloodFactor = 7;
constexpr absl::Duration Deadline = absl::Seconds(1);
constexpr absl::Duration CallerTimeout = absl::Milliseconds(1200);
constexpr absl::Duration Burst = absl::Seconds(8);
// The queues fill up in this time, which is not measured.
constexpr absl::Duration WarmUp = absl::Seconds(2);
// Teaches the entries the service time before anything is measured.
constexpr int WarmUpCalls = 200;
constexpr int WarmUpCallers = 8;
constexpr int CapacityCallers = 2 * Slots;
// A refused caller of the capacity measurement pauses, so that it does not use up the calls.
constexpr absl::Duration RefusedPause = absl::Milliseconds(20);
constexpr int CapacityCalls = static_cast<int>(NominalPerSecond * 6);
constexpr int Threads = 1600;
constexpr double MinGoodput = 0.95;
constexpr double MinInDeadline = 0.99;
constexpr double MinFairness = 0.95;

struct Outcome
{
    double goodputPerSecond = 0;
    double acceptedInDeadline = 0;
    double fairness = 0;
};

// Refused as not run on arrival. A request whose deadline passed in the queue had been accepted.
bool refused(const Sample &sample)
{
    const core::ResultCode code = core::resultCodeFromNumber(sample.code);
    return sample.status >= 400 && core::provablyNotRun(code)
        && code != core::ResultCode::DeadlineExpired;
}

bool inDeadline(const Sample &sample)
{
    return sample.status == 200 && sample.time <= Deadline;
}

double jain(const std::array<double, Cluster::Accounts> &values)
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
    std::vector<double> lateMs;
    std::vector<double> answeredMs;
    for (const Sample &sample : samples) {
        ++counts[sample.status == 200 ? 200 : sample.code];
        lateMs.push_back(absl::ToDoubleMilliseconds(sample.late));
        if (sample.status == 200)
            answeredMs.push_back(absl::ToDoubleMilliseconds(sample.time));
    }
    std::string text;
    for (const auto &[code, count] : counts)
        absl::StrAppend(&text, " ", code, ":", count);
    std::fprintf(stderr,
                 "crest: %s: codes%s; answered p50 %.0f p99 %.0f ms; sent late p99 %.0f max %.0f "
                 "ms\n",
                 name, text.c_str(), quantile(answeredMs, 0.5), quantile(answeredMs, 0.99),
                 quantile(lateMs, 0.99), quantile(lateMs, 1));
}

Outcome evaluate(const char *name, const std::vector<Arrival> &arrivals,
                 const std::vector<Sample> &samples)
{
    std::array<double, Cluster::Accounts> good = {};
    int accepted = 0;
    int met = 0;
    for (std::size_t i = 0; i < arrivals.size(); ++i) {
        const Sample &sample = samples[i];
        const bool arrived = arrivals[i].at >= WarmUp;
        accepted += arrived && !refused(sample);
        met += arrived && inDeadline(sample);
        const absl::Duration end = arrivals[i].at + sample.late + sample.time;
        if (inDeadline(sample) && end >= WarmUp && end < Burst)
            ++good[arrivals[i].account];
    }
    printCounts(name, samples);
    double total = 0;
    for (const double count : good)
        total += count;
    std::fprintf(stderr, "crest: %s: good per account %.0f %.0f %.0f %.0f, accepted %d, met %d\n",
                 name, good[0], good[1], good[2], good[3], accepted, met);
    return {total / absl::ToDoubleSeconds(Burst - WarmUp),
            accepted == 0 ? 0 : static_cast<double>(met) / accepted, jain(good)};
}

std::vector<Sample> callInTurn(Cluster &cluster, int calls, int callers)
{
    std::vector<Arrival> arrivals;
    arrivals.reserve(calls);
    for (int i = 0; i < calls; ++i)
        arrivals.push_back({{}, i % Cluster::Accounts, 0});
    return sendAll(arrivals, callers, [&](const Arrival &arrival, std::size_t index) {
        auto response = cluster.pool().send(Cluster::entry(index % 2),
                                            cluster.shortRequest(arrival.account, WorkMs, Deadline),
                                            CallerTimeout);
        if (!response || response->status != 200)
            absl::SleepFor(RefusedPause);
        return response;
    });
}

// Calls from a fixed number of callers, twice the slots, which keep all slots busy.
double capacityPerSecond(Cluster &cluster)
{
    callInTurn(cluster, WarmUpCalls, WarmUpCallers);
    const auto samples = callInTurn(cluster, CapacityCalls, CapacityCallers);
    const absl::Duration from = absl::Seconds(1);
    const absl::Duration until = absl::Seconds(5);
    int good = 0;
    for (const Sample &sample : samples) {
        const absl::Duration end = sample.late + sample.time;
        good += sample.status == 200 && end >= from && end < until;
    }
    printCounts("at capacity", samples);
    return good / absl::ToDoubleSeconds(until - from);
}

std::vector<Arrival> burstArrivals(std::uint64_t seed)
{
    std::mt19937_64 generator(seed);
    std::vector<Arrival> arrivals;
    for (int account = 0; account < Cluster::Accounts; ++account) {
        const double factor = account == 0 ? FloodFactor : 1;
        addPoisson(arrivals, generator, factor * NominalPerSecond, {}, Burst, account, 0);
    }
    return arrivals;
}
static_assert(FloodFactor + Cluster::Accounts - 1 == BurstFactor);

Outcome burst(Cluster &cluster, const Options &options, const char *name, const NaiveRouter *naive)
{
    std::vector<Arrival> arrivals = burstArrivals(options.seed);
    const auto samples = sendAll(arrivals, Threads, [&](const Arrival &arrival, std::size_t index) {
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
    clusterOptions.agents = Agents;
    clusterOptions.minionsPerAgent = 1;
    clusterOptions.slotsPerMinion = SlotsPerMinion;
    Cluster cluster(clusterOptions);
    cluster.start();
    const double capacity = capacityPerSecond(cluster);
    std::fprintf(stderr, "crest: capacity %.1f a second, nominal %.1f\n", capacity,
                 NominalPerSecond);
    const Outcome own = burst(cluster, options, "burst", nullptr);
    const NaiveRouter router(cluster.minions(), SlotsPerMinion);
    const Outcome naive = burst(cluster, options, "naive burst", &router);
    const auto atLeast = [](double bound) {
        return Target{Target::On::Value, Target::Direction::AtLeast, bound};
    };
    const double naiveGoodput = capacity > 0 ? naive.goodputPerSecond / capacity : 0;
    const double goodput = capacity > 0 ? own.goodputPerSecond / capacity : 0;
    return {{"goodput_fraction", goodput, "fraction", naiveGoodput, atLeast(MinGoodput)},
            {"accepted_in_deadline", own.acceptedInDeadline, "fraction", naive.acceptedInDeadline,
             atLeast(MinInDeadline)},
            {"fairness_jain", own.fairness, "fraction", naive.fairness, atLeast(MinFairness)}};
}

const Registration Registered("crest", measureCrest);

} // namespace

} // namespace oleandercross::bench
