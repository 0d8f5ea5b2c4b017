#pragma once

#include <oleandercross/http/message.h>

#include <absl/time/time.h>

#include <functional>
#include <optional>
#include <random>
#include <vector>

namespace oleandercross::bench {

// A request of a generated load.
struct Arrival
{
    // Time since the start of the load.
    absl::Duration at;
    int account = 0;
    // Class of the request, with a meaning defined by the measurement.
    int kind = 0;
};

// The measured result of an arrival.
struct Sample
{
    // Delay of the load generator itself, from the planned to the actual time of sending.
    absl::Duration sendDelay;
    // Time from sending the request to receiving the complete response.
    absl::Duration time;
    // The HTTP status, or 0 if there was no response.
    int status = 0;
    // The result code of an error response, otherwise 0.
    int code = 0;
};

using Send = std::function<std::optional<http::Response>(const Arrival &, std::size_t index)>;

// Appends the arrivals of a Poisson process between `from` and `until`, in order of time.
void addPoisson(std::vector<Arrival> &arrivals, std::mt19937_64 &generator,
                double arrivalsPerSecond, absl::Duration from, absl::Duration until, int account,
                int kind);

// Sorts the arrivals by time and sends each at its time, whether or not earlier ones were answered,
// from `threads` threads. Returns the samples in the order of the sorted arrivals.
std::vector<Sample> sendArrivals(std::vector<Arrival> &arrivals, int threads, const Send &send);

// Returns the quantile of the values at this fraction, or 0 if there are none.
double quantile(std::vector<double> values, double fraction);

} // namespace oleandercross::bench
