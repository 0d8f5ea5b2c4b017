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

#include <array>
#include <functional>
#include <thread>

namespace oleandercross::telemetry {

namespace {

namespace acc = boost::accumulators;

constexpr std::size_t ShardCount = 8;
const std::array<double, 3> Quantiles = {0.5, 0.9, 0.99};

using Accumulator =
    acc::accumulator_set<double,
                         acc::stats<acc::tag::count, acc::tag::mean, acc::tag::max,
                                    acc::tag::extended_p_square_quantile_quadratic>>;

Accumulator makeAccumulator()
{
    return Accumulator(acc::tag::extended_p_square_quantile_quadratic::probabilities = Quantiles);
}

struct Shard
{
    absl::Mutex mutex;
    absl::btree_map<std::string, Accumulator> distributions ABSL_GUARDED_BY(mutex);
};

struct Summary
{
    std::size_t count = 0;
    double sum = 0;
    double max = 0;
    std::array<double, Quantiles.size()> weightedQuantiles = {};
};

// Quantiles of shards are averaged by their counts; threads see similar distributions.
void merge(Summary &summary, const Accumulator &shard)
{
    const std::size_t count = acc::count(shard);
    summary.count += count;
    summary.sum += acc::mean(shard) * static_cast<double>(count);
    summary.max = std::max(summary.max, acc::max(shard));
    for (std::size_t i = 0; i < Quantiles.size(); ++i) {
        const double value = acc::quantile(shard, acc::quantile_probability = Quantiles[i]);
        summary.weightedQuantiles[i] += value * static_cast<double>(count);
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
    auto it = shard.distributions.find(name);
    if (it == shard.distributions.end())
        it = shard.distributions.emplace(name, makeAccumulator()).first;
    it->second(absl::ToDoubleSeconds(value));
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
