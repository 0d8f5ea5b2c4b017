#pragma once

#include "target.h"

#include <absl/container/btree_map.h>

#include <memory>

namespace oleandercross::dispatch::detail {

// Targets of one service, nearest first.
using Targets = std::vector<Target *>;

// All targets of an entry. Keeps circuit breakers from taking out more than a third of a service's
// targets, so that a fault seen on all of them (a bad request, a fault of the entry) cannot stop
// the service.
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

    // Adapts the target's concurrency limit to a service time. Slow is a target that takes longer
    // than the others of its service, since a change of the work itself shows on all of them.
    void observe(Target &target, absl::Duration time, absl::Duration typical, core::Instant now);
    void failed(Target &target, core::Instant now);
    void minionFailed(Target &target, core::Instant now);

    // Removes and returns attempts whose end was never reported.
    std::vector<InFlight> expire(core::Instant now);

    int size() const { return static_cast<int>(m_targets.size()); }
    int out() const;

private:
    void open(Target &target, core::Instant now);
    void withdraw(const core::ServiceId &service, const Target *target);
    void keepBound(const core::ServiceId &service);
    static int outOf(const Targets &targets);

    absl::Duration m_slowStart;
    absl::btree_map<TargetId, std::unique_ptr<Target>> m_targets;
    absl::btree_map<core::ServiceId, Targets> m_byService;
};

} // namespace oleandercross::dispatch::detail
