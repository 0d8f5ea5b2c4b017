#pragma once

#include <absl/time/time.h>

#include <cstdint>
#include <memory>
#include <string>

namespace oleandercross::telemetry {

// Named counters, gauges and distributions of one process. Thread safe: distributions are kept in
// shards, since Boost.Accumulators are not, and merged when they are read.
class Metrics
{
public:
    Metrics();
    ~Metrics();
    Metrics(const Metrics &) = delete;
    Metrics &operator=(const Metrics &) = delete;

    // Adds to a counter, creating it at zero. Names follow [a-z_]+, with labels as
    // `name{label="value"}`.
    void add(const std::string &name, std::int64_t by = 1);

    // Sets a gauge.
    void set(const std::string &name, std::int64_t value);

    // Adds a duration to a distribution, reported in seconds.
    void observe(const std::string &name, absl::Duration value);

    // The value of a counter or gauge, 0 if it does not exist.
    std::int64_t value(const std::string &name) const;

    // All metrics, one per line as `name value`; distributions as count, mean, max and quantiles.
    std::string text() const;

private:
    class Private;
    std::unique_ptr<Private> d;
};

} // namespace oleandercross::telemetry
