#include "measure.h"
#include "virtualdispatch.h"

#include "../test/support/naiverouter.h"

#include <algorithm>
#include <cmath>

namespace oleandercross::bench {

namespace {

constexpr double ShortMeanSeconds = 0.02;
constexpr double ParetoShape = 1.5;
constexpr double LongestShortSeconds = 1;
constexpr double LongMeanSeconds = 2;
constexpr absl::Duration ShortDeadline = absl::Seconds(1);
constexpr absl::Duration LongDeadline = absl::Seconds(30);
// Long requests with a small body, because declared sizes are inaccurate.
constexpr double MisleadingShare = 0.05;
// Left out at the start of a measurement.
constexpr absl::Duration WarmUp = absl::Seconds(3);

// Draws with own transformations, so that results do not depend on the standard library.
class Draw
{
public:
    explicit Draw(std::uint64_t seed)
        : m_generator(seed)
    { }

    double uniform()
    {
        return (static_cast<double>(m_generator() >> 11) + 0.5) / 9007199254740992.0;
    }
    double exponential(double mean) { return -mean * std::log(uniform()); }

    // Heavy-tailed service time of short work.
    double shortSeconds()
    {
        const double scale = ShortMeanSeconds * (ParetoShape - 1) / ParetoShape;
        return std::min(LongestShortSeconds, scale / std::pow(uniform(), 1 / ParetoShape));
    }

private:
    std::mt19937_64 m_generator;
};

// Adds Poisson arrivals; `load` is the busy share of all slots that they cause.
void add(std::vector<LoadRequest> &requests, Draw &draw, const std::string &account, double load,
         bool isLong, double fromSeconds, double toSeconds)
{
    const double mean = isLong ? LongMeanSeconds : ShortMeanSeconds;
    const double gap = mean / (load * VirtualDispatch::Capacity);
    for (double at = fromSeconds + draw.exponential(gap); at < toSeconds;
         at += draw.exponential(gap)) {
        LoadRequest request;
        request.at = absl::Seconds(at);
        request.account = account;
        request.isLong = isLong;
        request.serviceTime =
            absl::Seconds(isLong ? draw.exponential(LongMeanSeconds) : draw.shortSeconds());
        request.deadline = isLong ? LongDeadline : ShortDeadline;
        const bool largeBody = isLong && draw.uniform() > MisleadingShare;
        request.bodyBytes = largeBody ? 5000 : 100;
        requests.push_back(std::move(request));
    }
}

std::vector<LoadRequest> sorted(std::vector<LoadRequest> requests)
{
    std::stable_sort(requests.begin(), requests.end(),
                     [](const LoadRequest &a, const LoadRequest &b) { return a.at < b.at; });
    return requests;
}

struct Design
{
    std::string name;
    MakeRoute make;
    VirtualDispatch::Grants grants = VirtualDispatch::Grants::Pushed;
};

MakeRoute dispatcher(dispatch::Routing routing)
{
    return [routing](const core::EntryId &entry, std::uint64_t seed) -> Route {
        dispatch::DispatcherSettings settings;
        settings.entry = entry;
        settings.routing = routing;
        auto dispatcher = std::make_shared<dispatch::Dispatcher>(settings, std::mt19937_64(seed));
        return [dispatcher](const dispatch::Event &event, core::Instant now) {
            return dispatcher->apply(event, now);
        };
    };
}

std::vector<Design> designs()
{
    const MakeRoute naive = [](const core::EntryId &entry, std::uint64_t) -> Route {
        auto router = std::make_shared<test::NaiveRouter>(entry);
        return [router](const dispatch::Event &event, core::Instant now) {
            return router->apply(event, now);
        };
    };
    return {{"two_choices", dispatcher(dispatch::Routing::TwoChoices)},
            {"late_binding", dispatcher(dispatch::Routing::LateBinding)},
            {"late_binding_replies", dispatcher(dispatch::Routing::LateBinding),
             VirtualDispatch::Grants::WithReplies},
            {"naive", naive}};
}

double quantile(std::vector<double> values, double share)
{
    if (values.empty())
        return 0;
    const auto rank = static_cast<std::size_t>(share * static_cast<double>(values.size() - 1));
    std::nth_element(values.begin(), values.begin() + static_cast<std::ptrdiff_t>(rank),
                     values.end());
    return values[rank];
}

// Milliseconds that answered short requests spent beyond their service time.
std::vector<double> shortDelays(const std::vector<LoadResult> &results)
{
    std::vector<double> delays;
    for (const LoadResult &result : results) {
        if (!result.request.isLong && result.request.at >= WarmUp
            && result.outcome.kind == dispatch::OutcomeKind::Answered)
            delays.push_back(
                absl::ToDoubleMilliseconds(result.latency - result.request.serviceTime));
    }
    return delays;
}

std::vector<double> shortLatencies(const std::vector<LoadResult> &results)
{
    std::vector<double> latencies;
    for (const LoadResult &result : results) {
        if (!result.request.isLong && result.request.at >= WarmUp
            && result.outcome.kind == dispatch::OutcomeKind::Answered)
            latencies.push_back(absl::ToDoubleMilliseconds(result.latency));
    }
    return latencies;
}

double answeredShare(const std::vector<LoadResult> &results, bool isLong)
{
    double all = 0;
    double good = 0;
    for (const LoadResult &result : results) {
        if (result.request.isLong != isLong || result.request.at < WarmUp)
            continue;
        all += 1;
        good += result.inDeadline() ? 1 : 0;
    }
    return all == 0 ? 0 : good / all;
}

// Service time of answers in their deadline, as a share of all slots over the time.
double goodput(const std::vector<LoadResult> &results, double fromSeconds, double toSeconds)
{
    double seconds = 0;
    for (const LoadResult &result : results) {
        const double end = absl::ToDoubleSeconds(result.request.at + result.latency);
        if (result.inDeadline() && end >= fromSeconds && end < toSeconds)
            seconds += absl::ToDoubleSeconds(result.request.serviceTime);
    }
    return seconds / (VirtualDispatch::Capacity * (toSeconds - fromSeconds));
}

double jain(const std::vector<double> &values)
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
    Draw draw(seed);
    std::vector<LoadRequest> requests;
    for (const std::string &account : Accounts) {
        add(requests, draw, account, shortLoad / 4, false, 0, seconds);
        if (longLoad > 0)
            add(requests, draw, account, longLoad / 4, true, 0, seconds);
    }
    return sorted(std::move(requests));
}

void headOfLine(const Design &design, std::uint64_t seed, std::vector<Line> &lines)
{
    constexpr double Seconds = 20;
    // More long work than the slots that it may use.
    constexpr double ShortLoad = 0.15;
    constexpr double LongLoad = 0.8;
    const auto without = VirtualDispatch(design.make, seed, design.grants)
                             .run(mixedLoad(seed, ShortLoad, 0, Seconds));
    VirtualDispatch driver(design.make, seed, design.grants);
    const auto with = driver.run(mixedLoad(seed, ShortLoad, LongLoad, Seconds));
    lines.push_back({design.name + "_short_p99_with_long",
                     quantile(shortLatencies(with), 0.99),
                     "ms",
                     quantile(shortLatencies(without), 0.99),
                     {}});
    lines.push_back({design.name + "_short_delay_p99_with_long",
                     quantile(shortDelays(with), 0.99),
                     "ms",
                     quantile(shortDelays(without), 0.99),
                     {}});
    lines.push_back(
        {design.name + "_short_delay_p50", quantile(shortDelays(without), 0.5), "ms", {}, {}});
    lines.push_back({design.name + "_short_answered_with_long",
                     answeredShare(with, false),
                     "fraction",
                     answeredShare(without, false),
                     {}});
    lines.push_back(
        {design.name + "_long_answered", answeredShare(with, true), "fraction", {}, {}});
    const double requests = static_cast<double>(with.size());
    lines.push_back({design.name + "_refusals",
                     static_cast<double>(driver.refusals()) / requests,
                     "fraction",
                     {},
                     {}});
    lines.push_back({design.name + "_slot_messages",
                     static_cast<double>(driver.slotMessages()) / requests,
                     "per_request",
                     {},
                     {}});
}

void burst(const Design &design, std::uint64_t seed, std::vector<Line> &lines)
{
    constexpr double Before = 5;
    constexpr double Until = 9;
    const auto atCapacity =
        VirtualDispatch(design.make, seed, design.grants).run(mixedLoad(seed, 1, 0, Until));
    Draw draw(seed);
    std::vector<LoadRequest> requests;
    for (const std::string &account : Accounts) {
        add(requests, draw, account, 0.8 / 4, false, 0, Until);
        add(requests, draw, account, 9.2 / 4, false, Before, Until);
    }
    VirtualDispatch driver(design.make, seed, design.grants);
    const auto results = driver.run(sorted(std::move(requests)));
    lines.push_back({design.name + "_burst_goodput",
                     goodput(results, Before, Until),
                     "fraction",
                     goodput(atCapacity, Before, Until),
                     {}});
    std::vector<double> accepted;
    double late = 0;
    for (const LoadResult &result : results) {
        if (result.outcome.kind == dispatch::OutcomeKind::NotRun)
            continue;
        accepted.push_back(absl::ToDoubleMilliseconds(result.latency));
        late += result.inDeadline() ? 0 : 1;
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
         static_cast<double>(driver.slotMessages()) / static_cast<double>(accepted.size()),
         "per_accepted",
         {},
         {}});
}

void flood(const Design &design, std::uint64_t seed, std::vector<Line> &lines)
{
    constexpr double Seconds = 10;
    Draw draw(seed);
    std::vector<LoadRequest> requests;
    for (const std::string &account : Accounts)
        add(requests, draw, account, account == "a" ? 5 : 0.3, false, 0, Seconds);
    const auto results =
        VirtualDispatch(design.make, seed, design.grants).run(sorted(std::move(requests)));
    std::map<std::string, double> served;
    for (const LoadResult &result : results) {
        if (result.inDeadline() && result.request.at >= WarmUp)
            served[result.request.account] += 1;
    }
    std::vector<double> values;
    values.reserve(Accounts.size());
    for (const std::string &account : Accounts)
        values.push_back(served[account]);
    lines.push_back({design.name + "_flood_jain", jain(values), "fraction", {}, {}});
}

// Compares the routing designs in virtual time. The verbs `blocking` and `crest` measure the real
// processes and check the targets.
std::vector<Line> routing(const Options &options)
{
    std::vector<Line> lines;
    for (const Design &design : designs()) {
        headOfLine(design, options.seed, lines);
        burst(design, options.seed, lines);
        flood(design, options.seed, lines);
    }
    return lines;
}

const Registration Registered("routing", routing);

} // namespace

} // namespace oleandercross::bench
