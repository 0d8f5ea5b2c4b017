#pragma once

#include <absl/time/time.h>

#include <cstdint>
#include <memory>
#include <string>

namespace oleandercross::telemetry {

// Named counters, gauges and distributions of one process. Thread-safe. Distributions are kept in
// shards with a lock each, because Boost.Accumulators are not thread-safe, and merged when read.
class Metrics
{
public:
    Metrics();
    ~Metrics();
    Metrics(const Metrics &) = delete;
    Metrics &operator=(const Metrics &) = delete;

    // Adds to a counter, which starts at zero. Names match [a-z_]+; labels are part of the name,
    // as in `name{label="value"}`.
    void add(const std::string &name, std::int64_t by = 1);

    void set(const std::string &name, std::int64_t value);

    // Adds a duration to a distribution, which is reported in seconds.
    void observe(const std::string &name, absl::Duration value);

    // Returns the value of a counter or gauge, or 0 if it does not exist.
    std::int64_t value(const std::string &name) const;

    // Returns all metrics as lines of the form `name value`. A distribution is reported as its
    // count, mean, maximum and quantiles.
    std::string text() const;

private:
    class Private;
    std::unique_ptr<Private> d;
};

} // namespace oleandercross::telemetry
