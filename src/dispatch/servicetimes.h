#pragma once

#include <oleandercross/core/ids.h>

#include <absl/container/btree_map.h>
#include <absl/time/time.h>

#include <tuple>

namespace oleandercross::dispatch::detail {

// Expected service time of a request.
struct ServiceTime
{
    // Arithmetic mean, for sums of work.
    absl::Duration mean = absl::Milliseconds(10);
    // Geometric mean, which is robust against a few very long requests; for classification.
    absl::Duration typical = absl::Milliseconds(10);
    // False if the values are defaults.
    bool fromObservations = false;
};

// Estimates service times per service, account and power of two of the body size from observations,
// because declared values are inaccurate. Uses coarser groups until a finer one has enough
// observations.
class ServiceTimes
{
public:
    ServiceTime expected(const core::ServiceId &service, const core::AccountId &account,
                         std::size_t bodyBytes) const;

    void observe(const core::ServiceId &service, const core::AccountId &account,
                 std::size_t bodyBytes, absl::Duration time);

private:
    struct Group
    {
        int count = 0;
        double mean = 0;
        double logMean = 0;
    };
    // Service, account and size bucket. An empty account and bucket -1 match all.
    using Key = std::tuple<core::ServiceId, core::AccountId, int>;

    static void update(Group &group, double seconds);

    absl::btree_map<Key, Group> m_groups;
};

} // namespace oleandercross::dispatch::detail
