#include "dispatchsimulation.h"
#include "measure.h"

#include "../test/support/naiverouter.h"

#include <algorithm>
#include <cmath>

namespace oleandercross::bench {

namespace {

constexpr double ShortMeanSeconds = 0.02;
constexpr double ParetoShape = 1.5;
constexpr double MaxShortSeconds = 1;
constexpr double LongMeanSeconds = 2;
constexpr absl::Duration ShortDeadline = absl::Seconds(1);
constexpr absl::Duration LongDeadline = absl::Seconds(30);
// Fraction of the long requests with a small body, since the body size predicts the service time
// only roughly.
constexpr double SmallLongBodyFraction = 0.05;
// Time at the start of a simulation that is not measured.
constexpr absl::Duration WarmUp = absl::Seconds(3);

// Draws random numbers with its own transformations, so that results do not depend on the standard
// library.
class Sampler
{
public:
    explicit Sampler(std::uint64_t seed)
        : m_generator(seed)
    { }

    double uniform()
    {
        return (static_cast<double>(m_generator() >> 11) + 0.5) / 9007199254740992.0;
    }
    double exponential(double mean) { return -mean * std::log(uniform()); }

    // Returns a service time of short work, which is heavy-tailed (bounded Pareto).
    double shortSeconds()
    {
        const double scale = ShortMeanSeconds * (ParetoShape - 1) / ParetoShape;
        return std::min(MaxShortSeconds, scale / std::pow(uniform(), 1 / ParetoShape));
    }

private:
    std::mt19937_64 m_generator;
};

// Adds requests with Poisson arrivals. `load` is the fraction of all slots that they keep busy.
void addRequests(std::vector<LoadRequest> &requests, Sampler &sampler, const std::string &account,
                 double load, bool isLong, double fromSeconds, double toSeconds)
{
    const double meanServiceSeconds = isLong ? LongMeanSeconds : ShortMeanSeconds;
    const double meanGapSeconds = meanServiceSeconds / (load * DispatchSimulation::TotalSlots);
    for (double atSeconds = fromSeconds + sampler.exponential(meanGapSeconds);
         atSeconds < toSeconds; atSeconds += sampler.exponential(meanGapSeconds)) {
        LoadRequest request;
        request.arrival = absl::Seconds(atSeconds);
        request.account = account;
        request.isLong = isLong;
        request.serviceTime =
            absl::Seconds(isLong ? sampler.exponential(LongMeanSeconds) : sampler.shortSeconds());
        request.deadline = isLong ? LongDeadline : ShortDeadline;
        const bool largeBody = isLong && sampler.uniform() > SmallLongBodyFraction;
        request.bodyBytes = largeBody ? 5000 : 100;
        requests.push_back(std::move(request));
    }
}

std::vector<LoadRequest> sortedByArrival(std::vector<LoadRequest> requests)
{
    std::stable_sort(
        requests.begin(), requests.end(),
        [](const LoadRequest &a, const LoadRequest &b) { return a.arrival < b.arrival; });
    return requests;
}

// A variant of routing to compare.
struct RoutingDesign
{
    std::string name;
    DispatchLogicFactory makeLogic;
    DispatchSimulation::GrantDelivery grantDelivery = DispatchSimulation::GrantDelivery::Pushed;
};

DispatchLogicFactory dispatcher(dispatch::Routing routing)
{
    return [routing](const core::EntryId &entry, std::uint64_t seed) -> DispatchLogic {
        dispatch::DispatcherSettings settings;
        settings.entry = entry;
        settings.routing = routing;
        auto dispatcher = std::make_shared<dispatch::Dispatcher>(settings, std::mt19937_64(seed));
        return [dispatcher](const dispatch::Event &event, core::Instant now) {
            return dispatcher->apply(event, now);
        };
    };
}

std::vector<RoutingDesign> designs()
{
    const DispatchLogicFactory naive = [](const core::EntryId &entry,
                                          std::uint64_t) -> DispatchLogic {
        auto router = std::make_shared<test::NaiveRouter>(entry);
        return [router](const dispatch::Event &event, core::Instant now) {
            return router->apply(event, now);
        };
    };
    return {{"two_choices", dispatcher(dispatch::Routing::TwoChoices)},
            {"late_binding", dispatcher(dispatch::Routing::LateBinding)},
            {"late_binding_replies", dispatcher(dispatch::Routing::LateBinding),
             DispatchSimulation::GrantDelivery::WithReplies},
            {"naive", naive}};
}

double quantile(std::vector<double> values, double fraction)
{
    if (values.empty())
        return 0;
    const auto rank = static_cast<std::size_t>(fraction * static_cast<double>(values.size() - 1));
    std::nth_element(values.begin(), values.begin() + static_cast<std::ptrdiff_t>(rank),
                     values.end());
    return values[rank];
}

// Returns, in milliseconds, the latency of answered short requests minus their service time.
std::vector<double> shortQueueingDelays(const std::vector<LoadResult> &results)
{
    std::vector<double> delays;
    for (const LoadResult &result : results) {
        if (!result.request.isLong && result.request.arrival >= WarmUp
            && result.outcome.kind == dispatch::OutcomeKind::Answered)
            delays.push_back(
                absl::ToDoubleMilliseconds(result.latency - result.request.serviceTime));
    }
    return delays;
}

// Returns the latency of answered short requests in milliseconds.
std::vector<double> shortLatencies(const std::vector<LoadResult> &results)
{
    std::vector<double> latencies;
    for (const LoadResult &result : results) {
        if (!result.request.isLong && result.request.arrival >= WarmUp
            && result.outcome.kind == dispatch::OutcomeKind::Answered)
            latencies.push_back(absl::ToDoubleMilliseconds(result.latency));
    }
    return latencies;
}

// Returns the fraction of the short or the long requests that were answered within their deadline.
double metDeadlineFraction(const std::vector<LoadResult> &results, bool isLong)
{
    double total = 0;
    double metDeadline = 0;
    for (const LoadResult &result : results) {
        if (result.request.isLong != isLong || result.request.arrival < WarmUp)
            continue;
        total += 1;
        metDeadline += result.metDeadline() ? 1 : 0;
    }
    return total == 0 ? 0 : metDeadline / total;
}

// Returns the fraction of all slot time that was spent on requests answered within their deadline.
double goodput(const std::vector<LoadResult> &results, double fromSeconds, double toSeconds)
{
    double seconds = 0;
    for (const LoadResult &result : results) {
        const double end = absl::ToDoubleSeconds(result.request.arrival + result.latency);
        if (result.metDeadline() && end >= fromSeconds && end < toSeconds)
            seconds += absl::ToDoubleSeconds(result.request.serviceTime);
    }
    return seconds / (DispatchSimulation::TotalSlots * (toSeconds - fromSeconds));
}

// Returns Jain's fairness index.
double jainIndex(const std::vector<double> &values)
{
    double sum = 0;
    double squares = 0;
    for (const double value : values) {
        sum += value;
        squares += value * value;
    }
    return sum == 0 ? 0 : sum * sum / (static_cast<double>(values.size()) * squares);
}

const std::vector<std::string> Accounts = {"a", "b", "c", "d"};

std::vector<LoadRequest> mixedLoad(std::uint64_t seed, double shortLoad, double longLoad,
                                   double seconds)
{
    Sampler sampler(seed);
    std::vector<LoadRequest> requests;
    for (const std::string &account : Accounts) {
        addRequests(requests, sampler, account, shortLoad / 4, false, 0, seconds);
        if (longLoad > 0)
            addRequests(requests, sampler, account, longLoad / 4, true, 0, seconds);
    }
    return sortedByArrival(std::move(requests));
}

void measureHeadOfLineBlocking(const RoutingDesign &design, std::uint64_t seed,
                               std::vector<Line> &lines)
{
    constexpr double DurationSeconds = 20;
    // More long work than its part of the slots can serve.
    constexpr double ShortLoad = 0.15;
    constexpr double LongLoad = 0.8;
    const auto withoutLong = DispatchSimulation(design.makeLogic, seed, design.grantDelivery)
                                 .run(mixedLoad(seed, ShortLoad, 0, DurationSeconds));
    DispatchSimulation simulation(design.makeLogic, seed, design.grantDelivery);
    const auto withLong = simulation.run(mixedLoad(seed, ShortLoad, LongLoad, DurationSeconds));
    lines.push_back({design.name + "_short_p99_with_long",
                     quantile(shortLatencies(withLong), 0.99),
                     "ms",
                     quantile(shortLatencies(withoutLong), 0.99),
                     {}});
    lines.push_back({design.name + "_short_delay_p99_with_long",
                     quantile(shortQueueingDelays(withLong), 0.99),
                     "ms",
                     quantile(shortQueueingDelays(withoutLong), 0.99),
                     {}});
    lines.push_back({design.name + "_short_delay_p50",
                     quantile(shortQueueingDelays(withoutLong), 0.5),
                     "ms",
                     {},
                     {}});
    lines.push_back({design.name + "_short_answered_with_long",
                     metDeadlineFraction(withLong, false),
                     "fraction",
                     metDeadlineFraction(withoutLong, false),
                     {}});
    lines.push_back(
        {design.name + "_long_answered", metDeadlineFraction(withLong, true), "fraction", {}, {}});
    const double requests = static_cast<double>(withLong.size());
    lines.push_back({design.name + "_refusals",
                     static_cast<double>(simulation.refusals()) / requests,
                     "fraction",
                     {},
                     {}});
    lines.push_back({design.name + "_slot_messages",
                     static_cast<double>(simulation.slotMessages()) / requests,
                     "per_request",
                     {},
                     {}});
}

void measureBurst(const RoutingDesign &design, std::uint64_t seed, std::vector<Line> &lines)
{
    constexpr double BurstStartSeconds = 5;
    constexpr double BurstEndSeconds = 9;
    const auto atCapacity = DispatchSimulation(design.makeLogic, seed, design.grantDelivery)
                                .run(mixedLoad(seed, 1, 0, BurstEndSeconds));
    Sampler sampler(seed);
    std::vector<LoadRequest> requests;
    for (const std::string &account : Accounts) {
        addRequests(requests, sampler, account, 0.8 / 4, false, 0, BurstEndSeconds);
        addRequests(requests, sampler, account, 9.2 / 4, false, BurstStartSeconds, BurstEndSeconds);
    }
    DispatchSimulation simulation(design.makeLogic, seed, design.grantDelivery);
    const auto results = simulation.run(sortedByArrival(std::move(requests)));
    lines.push_back({design.name + "_burst_goodput",
                     goodput(results, BurstStartSeconds, BurstEndSeconds),
                     "fraction",
                     goodput(atCapacity, BurstStartSeconds, BurstEndSeconds),
                     {}});
    std::vector<double> accepted;
    double late = 0;
    for (const LoadResult &result : results) {
        if (result.outcome.kind == dispatch::OutcomeKind::NotRun)
            continue;
        accepted.push_back(absl::ToDoubleMilliseconds(result.latency));
        late += result.metDeadline() ? 0 : 1;
    }
    lines.push_back({design.name + "_burst_accepted_p99",
                     quantile(accepted, 0.99),
                     "ms",
                     absl::ToDoubleMilliseconds(ShortDeadline),
                     {}});
    lines.push_back({design.name + "_burst_accepted_late",
                     late / static_cast<double>(accepted.size()),
                     "fraction",
                     {},
                     {}});
    lines.push_back(
        {design.name + "_burst_slot_messages",
         static_cast<double>(simulation.slotMessages()) / static_cast<double>(accepted.size()),
         "per_accepted",
         {},
         {}});
}

void measureFlood(const RoutingDesign &design, std::uint64_t seed, std::vector<Line> &lines)
{
    constexpr double DurationSeconds = 10;
    Sampler sampler(seed);
    std::vector<LoadRequest> requests;
    for (const std::string &account : Accounts)
        addRequests(requests, sampler, account, account == "a" ? 5 : 0.3, false, 0,
                    DurationSeconds);
    const auto results = DispatchSimulation(design.makeLogic, seed, design.grantDelivery)
                             .run(sortedByArrival(std::move(requests)));
    std::map<std::string, double> served;
    for (const LoadResult &result : results) {
        if (result.metDeadline() && result.request.arrival >= WarmUp)
            served[result.request.account] += 1;
    }
    std::vector<double> values;
    values.reserve(Accounts.size());
    for (const std::string &account : Accounts)
        values.push_back(served[account]);
    lines.push_back({design.name + "_flood_jain", jainIndex(values), "fraction", {}, {}});
}

// Compares the routing designs in virtual time. The verbs `blocking` and `crest` measure the real
// processes and check the targets.
std::vector<Line> measureRouting(const Options &options)
{
    std::vector<Line> lines;
    for (const RoutingDesign &design : designs()) {
        measureHeadOfLineBlocking(design, options.seed, lines);
        measureBurst(design, options.seed, lines);
        measureFlood(design, options.seed, lines);
    }
    return lines;
}

const Registration Registered("routing", measureRouting);

} // namespace

} // namespace oleandercross::bench
