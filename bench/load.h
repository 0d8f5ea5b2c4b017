#pragma once

#include <oleandercross/http/message.h>

#include <absl/time/time.h>

#include <functional>
#include <optional>
#include <random>
#include <vector>

namespace oleandercross::bench {

// One request of a generated load.
struct Arrival
{
    // Since the start of the load.
    absl::Duration at;
    int account = 0;
    // Of the measure's own classes of requests.
    int kind = 0;
};

// What became of an arrival.
struct Sample
{
    // Between the planned and the real time of sending; the load generator's own delay.
    absl::Duration late;
    // From sending to the whole response.
    absl::Duration time;
    // HTTP status; 0 if there was no response.
    int status = 0;
    // The result code of an error response.
    int code = 0;
};

using Send = std::function<std::optional<http::Response>(const Arrival &, std::size_t index)>;

// Appends arrivals of a Poisson process in the given order of time.
void addPoisson(std::vector<Arrival> &arrivals, std::mt19937_64 &generator, double perSecond,
                absl::Duration from, absl::Duration until, int account, int kind);

// Sends every arrival at its time, whether or not earlier ones were answered, from at most
// `threads` threads, and returns the samples in the order of the arrivals sorted by time.
std::vector<Sample> sendAll(std::vector<Arrival> &arrivals, int threads, const Send &send);

// The value below which this share of the values lies; 0 for no values.
double quantile(std::vector<double> values, double share);

} // namespace oleandercross::bench
