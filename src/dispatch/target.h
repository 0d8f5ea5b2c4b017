#pragma once

#include "circuitbreaker.h"

#include <oleandercross/dispatch/dispatcher.h>

#include <vector>

namespace oleandercross::dispatch::detail {

// An attempt that was sent to a target and whose end was not reported yet.
struct InFlight
{
    core::RequestId id;
    int attempt = 0;
    core::Instant sent;
    core::Instant deadline;
    absl::Duration expected;
    bool shortWork = true;
};

// What a request needs from a target.
struct Need
{
    bool shortWork = true;
    bool idempotent = false;
    // A target where it failed before, or null.
    const TargetId *avoid = nullptr;
};

// One target as this entry sees it: announced load corrected by what the entry itself sent since,
// the concurrency limit, slow start, circuit breaker and granted slots.
class Target
{
public:
    Target(const TargetAnnounced &announcement, absl::Duration slowStart, core::Instant now);

    void announce(const TargetAnnounced &announcement, core::Instant now);
    // The load that the agent attached to a reply.
    void replied(const TargetLoad &load, core::Instant now);

    const TargetAnnounced &info() const { return m_info; }
    const TargetId &id() const { return m_info.target; }
    absl::Duration distance() const { return m_info.distance; }
    CircuitBreaker &breaker() { return m_breaker; }
    const CircuitBreaker &breaker() const { return m_breaker; }

    // Slots that the request could probably use now. Other entries' use of slots is assumed to end
    // at the rate of this target's service times after the last report.
    int room(const Need &need, core::Instant now) const;
    // As room(), but counts only slots that were free in the last report.
    int knownRoom(const Need &need, core::Instant now) const;
    // Expected remaining work per slot, scaled by how slow the target is compared to others.
    absl::Duration backlog(core::Instant now) const;

    void sent(InFlight attempt);
    // Removes and returns the attempt, if it was in flight here.
    std::optional<InFlight> ended(const core::RequestId &id, int attempt);
    const std::vector<InFlight> &inFlight() const { return m_inFlight; }
    // Removes and returns attempts whose end was never reported.
    std::vector<InFlight> expire(core::Instant now);

    // Learns from a service time and what is typical of such requests.
    void observe(absl::Duration time, absl::Duration typical);
    // Smoothed logarithm of service times divided by typical ones.
    double logSlowdown() const { return m_logSlowdown; }
    // Raises the concurrency limit after an answer in usual time.
    void raiseLimit();
    // Lowers the concurrency limit after a request without an answer or a slow one.
    void congested(core::Instant now);
    double concurrencyLimit() const { return m_limit; }

    void drain() { m_info.draining = true; }
    // Sends nothing here for a while.
    void avoidUntil(core::Instant time) { m_avoidUntil = std::max(m_avoidUntil, time); }

    void grant(const SlotsGranted &grant, core::Instant now);
    // Whether a granted slot is left for the request.
    bool hasGrant(const Need &need, core::Instant now) const;
    void useGrant(const Need &need);
    bool hasShortGrant(core::Instant now) const
    {
        return now < m_grantedUntil && m_grantedShort > 0;
    }
    // Gives up unused grants. Returns false if there were none.
    bool dropGrants(core::Instant now);
    core::Instant grantedUntil() const { return m_grantedUntil; }

private:
    bool accepts(const Need &need, core::Instant now) const;
    int limited(const Need &need, double othersBusy, double othersLong, core::Instant now) const;
    int ownLong() const;
    void setLoad(const TargetLoad &load, core::Instant basis, core::Instant now);
    double decay(core::Instant now) const;
    absl::Duration ownWork(core::Instant now) const;

    TargetAnnounced m_info;
    absl::Duration m_slowStart;
    core::Instant m_servingSince;
    core::Instant m_announced;
    core::Instant m_avoidUntil = absl::InfinitePast();
    // Slots and work of other entries when the load was reported.
    core::Instant m_loadAt = absl::InfinitePast();
    double m_othersBusy = 0;
    double m_othersLong = 0;
    absl::Duration m_othersWork;
    std::vector<InFlight> m_inFlight;
    double m_limit;
    // A mean of the ratios themselves rises with every long request and lowered the limits of
    // healthy targets.
    double m_logSlowdown = 0;
    double m_meanSeconds = 0.01;
    core::Instant m_limitCut = absl::InfinitePast();
    CircuitBreaker m_breaker;
    int m_grantedSlots = 0;
    int m_grantedShort = 0;
    core::Instant m_grantedUntil = absl::InfinitePast();
};

} // namespace oleandercross::dispatch::detail
