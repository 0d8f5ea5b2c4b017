#include "load.h"

#include <oleandercross/core/clock.h>
#include <oleandercross/core/json.h>

#include <absl/time/clock.h>

#include <algorithm>
#include <atomic>
#include <cmath>
#include <thread>

namespace oleandercross::bench {

namespace {

// Leaves time for all threads to start before the first arrival.
constexpr absl::Duration StartDelay = absl::Milliseconds(200);

Sample sendOne(const Arrival &arrival, std::size_t index, core::Instant start, const Send &send)
{
    const core::SteadyClock clock;
    const core::Instant planned = start + arrival.at;
    absl::SleepFor(planned - clock.now());
    const core::Instant begin = clock.now();
    const auto response = send(arrival, index);
    Sample sample;
    sample.sendDelay = begin - planned;
    sample.time = clock.now() - begin;
    if (!response)
        return sample;
    sample.status = response->status;
    if (response->status >= 400) {
        const auto body = core::parseJson(response->body);
        sample.code = body ? static_cast<int>(core::intMember(*body, "code")) : 0;
    }
    return sample;
}

} // namespace

void addPoisson(std::vector<Arrival> &arrivals, std::mt19937_64 &generator,
                double arrivalsPerSecond, absl::Duration from, absl::Duration until, int account,
                int kind)
{
    std::exponential_distribution<double> drawGapSeconds(arrivalsPerSecond);
    absl::Duration at = from + absl::Seconds(drawGapSeconds(generator));
    for (; at < until; at += absl::Seconds(drawGapSeconds(generator)))
        arrivals.push_back({at, account, kind});
}

std::vector<Sample> sendArrivals(std::vector<Arrival> &arrivals, int threads, const Send &send)
{
    std::stable_sort(arrivals.begin(), arrivals.end(),
                     [](const Arrival &a, const Arrival &b) { return a.at < b.at; });
    std::vector<Sample> samples(arrivals.size());
    std::atomic<std::size_t> next = 0;
    const core::SteadyClock clock;
    const core::Instant start = clock.now() + StartDelay;
    std::vector<std::thread> senders;
    senders.reserve(threads);
    for (int i = 0; i < threads; ++i) {
        senders.emplace_back([&] {
            for (std::size_t index = next++; index < arrivals.size(); index = next++)
                samples[index] = sendOne(arrivals[index], index, start, send);
        });
    }
    for (std::thread &thread : senders)
        thread.join();
    return samples;
}

double quantile(std::vector<double> values, double fraction)
{
    if (values.empty())
        return 0;
    const auto last = static_cast<double>(values.size() - 1);
    const auto rank = static_cast<std::ptrdiff_t>(std::ceil(fraction * last));
    std::nth_element(values.begin(), values.begin() + rank, values.end());
    return values[rank];
}

} // namespace oleandercross::bench
