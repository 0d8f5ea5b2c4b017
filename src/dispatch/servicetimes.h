#pragma once

#include <oleandercross/core/ids.h>

#include <absl/container/btree_map.h>
#include <absl/time/time.h>

#include <tuple>

namespace oleandercross::dispatch::detail {

// What to expect of a request's service time.
struct ServiceTime
{
    // Arithmetic mean, for sums of work.
    absl::Duration mean = absl::Milliseconds(10);
    // Geometric mean, which a few very long requests hardly move; for classification.
    absl::Duration typical = absl::Milliseconds(10);
    // Otherwise the values are defaults.
    bool learned = false;
};

// Learns service times per service, account and power of two of the body size, since declared
// values are inaccurate. Falls back to coarser groups until a fine one has been seen often enough.
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
    // Empty account and bucket -1 stand for all.
    using Key = std::tuple<core::ServiceId, core::AccountId, int>;

    static void update(Group &group, double seconds);

    absl::btree_map<Key, Group> m_groups;
};

} // namespace oleandercross::dispatch::detail
