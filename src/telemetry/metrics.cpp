#include <oleandercross/telemetry/metrics.h>

#include <absl/container/btree_map.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>
#include <absl/synchronization/mutex.h>
#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square_quantile.hpp>
#include <boost/accumulators/statistics/max.hpp>
#include <boost/accumulators/statistics/mean.hpp>
#include <boost/accumulators/statistics/stats.hpp>

#include <algorithm>
#include <array>
#include <cmath>
#include <functional>
#include <thread>

namespace oleandercross::telemetry {

namespace {

namespace acc = boost::accumulators;

constexpr std::size_t ShardCount = 8;
// Up to this count, quantiles are computed from the values themselves: the P-square estimate is
// only valid from 9 values on and inaccurate for the next few.
constexpr std::size_t MaxExactValues = 32;
const std::array<double, 3> Quantiles = {0.5, 0.9, 0.99};

using Accumulator =
    acc::accumulator_set<double,
                         acc::stats<acc::tag::count, acc::tag::mean, acc::tag::max,
                                    acc::tag::extended_p_square_quantile_quadratic>>;

Accumulator makeAccumulator()
{
    return Accumulator(acc::tag::extended_p_square_quantile_quadratic::probabilities = Quantiles);
}

struct Distribution
{
    void add(double value)
    {
        accumulator(value);
        if (firstValues.size() < MaxExactValues)
            firstValues.push_back(value);
    }

    double quantile(double probability) const
    {
        if (acc::count(accumulator) > MaxExactValues)
            return acc::quantile(accumulator, acc::quantile_probability = probability);
        std::vector<double> sorted = firstValues;
        std::sort(sorted.begin(), sorted.end());
        const double rank = std::ceil(probability * static_cast<double>(sorted.size()));
        return sorted[static_cast<std::size_t>(rank) - 1];
    }

    Accumulator accumulator = makeAccumulator();
    // Values for exact quantiles, at most MaxExactValues.
    std::vector<double> firstValues;
};

struct Shard
{
    absl::Mutex mutex;
    absl::btree_map<std::string, Distribution> distributions ABSL_GUARDED_BY(mutex);
};

struct Summary
{
    std::size_t count = 0;
    double sum = 0;
    double max = 0;
    std::array<double, Quantiles.size()> weightedQuantiles = {};
};

// Adds a shard to the summary. Quantiles are averaged, weighted by the shards' counts, which is
// accurate enough because all threads observe similar distributions.
void merge(Summary &summary, const Distribution &shard)
{
    const std::size_t count = acc::count(shard.accumulator);
    summary.count += count;
    summary.sum += acc::mean(shard.accumulator) * static_cast<double>(count);
    summary.max = std::max(summary.max, acc::max(shard.accumulator));
    for (std::size_t i = 0; i < Quantiles.size(); ++i) {
        summary.weightedQuantiles[i] += shard.quantile(Quantiles[i]) * static_cast<double>(count);
    }
}

} // namespace

class Metrics::Private
{
public:
    Shard &shard()
    {
        const std::size_t hash = std::hash<std::thread::id>()(std::this_thread::get_id());
        return shards[hash % ShardCount];
    }

    mutable absl::Mutex mutex;
    absl::btree_map<std::string, std::int64_t> values ABSL_GUARDED_BY(mutex);
    std::array<Shard, ShardCount> shards;
};

Metrics::Metrics()
    : d(std::make_unique<Private>())
{ }

Metrics::~Metrics() = default;

void Metrics::add(const std::string &name, std::int64_t by)
{
    absl::MutexLock lock(&d->mutex);
    d->values[name] += by;
}

void Metrics::set(const std::string &name, std::int64_t value)
{
    absl::MutexLock lock(&d->mutex);
    d->values[name] = value;
}

void Metrics::observe(const std::string &name, absl::Duration value)
{
    Shard &shard = d->shard();
    absl::MutexLock lock(&shard.mutex);
    shard.distributions[name].add(absl::ToDoubleSeconds(value));
}

std::int64_t Metrics::value(const std::string &name) const
{
    absl::MutexLock lock(&d->mutex);
    const auto it = d->values.find(name);
    return it == d->values.end() ? 0 : it->second;
}

std::string Metrics::text() const
{
    std::string out;
    {
        absl::MutexLock lock(&d->mutex);
        for (const auto &[name, value] : d->values)
            absl::StrAppend(&out, name, " ", value, "\n");
    }
    absl::btree_map<std::string, Summary> summaries;
    for (Shard &shard : d->shards) {
        absl::MutexLock lock(&shard.mutex);
        for (const auto &[name, distribution] : shard.distributions)
            merge(summaries[name], distribution);
    }
    for (const auto &[name, summary] : summaries) {
        const auto count = static_cast<double>(summary.count);
        absl::StrAppend(&out, name, "_count ", summary.count, "\n");
        absl::StrAppendFormat(&out, "%s_mean %.6f\n%s_max %.6f\n", name, summary.sum / count, name,
                              summary.max);
        for (std::size_t i = 0; i < Quantiles.size(); ++i)
            absl::StrAppendFormat(&out, "%s{quantile=\"%g\"} %.6f\n", name, Quantiles[i],
                                  summary.weightedQuantiles[i] / count);
    }
    return out;
}

} // namespace oleandercross::telemetry
