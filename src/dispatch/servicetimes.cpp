#include "servicetimes.h"

#include <algorithm>
#include <bit>
#include <cmath>

namespace oleandercross::dispatch::detail {

namespace {

// Number of observations that a group needs before it is used.
constexpr int MinObservations = 3;
// Minimum weight of a new observation. The averages follow a change within about 50 requests.
constexpr double SmoothingWeight = 0.02;
constexpr double MinServiceTimeSeconds = 1e-5;
constexpr int AllSizes = -1;

int sizeBucket(std::size_t bytes)
{
    return std::bit_width(bytes);
}

} // namespace

ServiceTime ServiceTimes::expected(const core::ServiceId &service, const core::AccountId &account,
                                   std::size_t bodyBytes) const
{
    const Key keys[] = {{service, account, sizeBucket(bodyBytes)},
                        {service, account, AllSizes},
                        {service, core::AccountId(), sizeBucket(bodyBytes)},
                        {service, core::AccountId(), AllSizes}};
    for (const Key &key : keys) {
        const auto it = m_groups.find(key);
        if (it != m_groups.end() && it->second.count >= MinObservations)
            return {absl::Seconds(it->second.mean), absl::Seconds(std::exp(it->second.logMean)),
                    true};
    }
    return {};
}

void ServiceTimes::observe(const core::ServiceId &service, const core::AccountId &account,
                           std::size_t bodyBytes, absl::Duration time)
{
    const double seconds = std::max(MinServiceTimeSeconds, absl::ToDoubleSeconds(time));
    const int bucket = sizeBucket(bodyBytes);
    update(m_groups[{service, account, bucket}], seconds);
    update(m_groups[{service, account, AllSizes}], seconds);
    update(m_groups[{service, core::AccountId(), bucket}], seconds);
    update(m_groups[{service, core::AccountId(), AllSizes}], seconds);
}

void ServiceTimes::update(Group &group, double seconds)
{
    ++group.count;
    const double weight = std::max(1.0 / group.count, SmoothingWeight);
    group.mean += weight * (seconds - group.mean);
    group.logMean += weight * (std::log(seconds) - group.logMean);
}

} // namespace oleandercross::dispatch::detail
