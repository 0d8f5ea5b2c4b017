#pragma once

#include "target.h"

#include <absl/container/btree_map.h>

#include <memory>

namespace oleandercross::dispatch::detail {

// Targets of one service in order of distance.
using Targets = std::vector<Target *>;

// All targets of an entry. Prevents circuit breakers from ejecting more than a third of a service's
// targets, so that a failure that affects all of them (an invalid request, a fault of the entry)
// cannot make the service unavailable.
class TargetSet
{
public:
    explicit TargetSet(absl::Duration slowStart)
        : m_slowStart(slowStart)
    { }

    Target &announce(const TargetAnnounced &announcement, core::Instant now);
    void remove(const TargetId &id);
    Target *find(const TargetId &id);
    const Targets &serving(const core::ServiceId &service) const;

    // Adapts the target's concurrency limit to an observed service time. A target is slow if it
    // takes longer than the other targets of its service, because a change of the workload affects
    // all of them.
    void observe(Target &target, absl::Duration time, absl::Duration typical, core::Instant now);
    void recordFailure(Target &target, core::Instant now);
    void recordMinionFailure(Target &target, core::Instant now);

    // Removes and returns attempts whose end was not reported in time.
    std::vector<InFlight> expire(core::Instant now);

    int size() const { return static_cast<int>(m_targets.size()); }
    int totalEjected() const;

private:
    void openBreaker(Target &target, core::Instant now);
    void removeFromService(const core::ServiceId &service, const Target *target);
    void enforceEjectionLimit(const core::ServiceId &service);
    static int ejectedCount(const Targets &targets);

    absl::Duration m_slowStart;
    absl::btree_map<TargetId, std::unique_ptr<Target>> m_targets;
    absl::btree_map<core::ServiceId, Targets> m_byService;
};

} // namespace oleandercross::dispatch::detail
