#pragma once

#include "circuitbreaker.h"

#include <oleandercross/dispatch/dispatcher.h>

#include <vector>

namespace oleandercross::dispatch::detail {

// An attempt that was sent to a target and whose end has not been reported yet.
struct InFlight
{
    core::RequestId id;
    int attempt = 0;
    core::Instant sentAt;
    core::Instant deadline;
    absl::Duration expected;
    bool shortWork = true;
};

// Properties of a request that determine which targets are suitable.
struct RequestNeeds
{
    bool shortWork = true;
    bool idempotent = false;
    // Target of a previous failed attempt, or null.
    const TargetId *avoid = nullptr;
};

// State of one target at this entry: announced load corrected by the attempts that this entry sent
// since, concurrency limit, slow start, circuit breaker and granted slots.
class Target
{
public:
    Target(const TargetAnnounced &announcement, absl::Duration slowStart, core::Instant now);

    void announce(const TargetAnnounced &announcement, core::Instant now);
    // Updates the load from a reply of the agent.
    void updateLoad(const TargetLoad &load, core::Instant now);

    const TargetAnnounced &info() const { return m_info; }
    const TargetId &id() const { return m_info.target; }
    absl::Duration distance() const { return m_info.distance; }
    CircuitBreaker &breaker() { return m_breaker; }
    const CircuitBreaker &breaker() const { return m_breaker; }

    // Returns the estimated number of slots that the request can use now. Slots that other entries
    // occupied in the last report are assumed to be released at the rate of this target's service
    // times.
    int estimatedFreeSlots(const RequestNeeds &need, core::Instant now) const;
    // Like estimatedFreeSlots(), but counts only slots that were free in the last report.
    int knownFreeSlots(const RequestNeeds &need, core::Instant now) const;
    // Returns the expected remaining work per slot, scaled by the slowdown of the target.
    absl::Duration backlog(core::Instant now) const;

    void recordSent(InFlight attempt);
    // Removes and returns the attempt if it is in flight.
    std::optional<InFlight> removeAttempt(const core::RequestId &id, int attempt);
    const std::vector<InFlight> &inFlight() const { return m_inFlight; }
    // Removes and returns attempts whose end was not reported in time.
    std::vector<InFlight> expire(core::Instant now);

    // Updates the averages with an observed service time and the typical one of such requests.
    void observe(absl::Duration time, absl::Duration typical);
    // Returns the smoothed logarithm of the ratio of observed to typical service times.
    double logSlowdown() const { return m_logSlowdown; }
    // Raises the concurrency limit after an answer in normal time.
    void raiseLimit();
    // Lowers the concurrency limit after a slow answer or none. Has no effect if the limit was
    // lowered within the last mean service time.
    void lowerLimit(core::Instant now);
    double concurrencyLimit() const { return m_concurrencyLimit; }

    void drain() { m_info.draining = true; }
    // Excludes the target from routing until `time`.
    void avoidUntil(core::Instant time) { m_avoidUntil = std::max(m_avoidUntil, time); }

    void grant(const SlotsGranted &grant, core::Instant now);
    // Returns whether the request can use a granted slot.
    bool hasGrant(const RequestNeeds &need, core::Instant now) const;
    void useGrant(const RequestNeeds &need);
    bool hasShortGrant(core::Instant now) const
    {
        return now < m_grantedUntil && m_grantedShortSlots > 0;
    }
    // Discards unused grants. Returns false if there were none.
    bool dropGrants(core::Instant now);
    core::Instant grantedUntil() const { return m_grantedUntil; }

private:
    bool accepts(const RequestNeeds &need, core::Instant now) const;
    int usableSlots(const RequestNeeds &need, double otherBusySlots, double otherLongSlots,
                    core::Instant now) const;
    int ownLong() const;
    void setLoad(const TargetLoad &load, core::Instant basis, core::Instant now);
    double decay(core::Instant now) const;
    absl::Duration ownWork(core::Instant now) const;

    TargetAnnounced m_info;
    absl::Duration m_slowStart;
    core::Instant m_servingSince;
    core::Instant m_announcedAt;
    core::Instant m_avoidUntil = absl::InfinitePast();
    // Slots and work of other entries at the time of the last load report.
    core::Instant m_loadReportedAt = absl::InfinitePast();
    double m_otherBusySlots = 0;
    double m_otherLongSlots = 0;
    absl::Duration m_otherWork;
    std::vector<InFlight> m_inFlight;
    double m_concurrencyLimit;
    // Logarithmic, because every long request raises a mean of the ratios themselves, which lowers
    // the limits of healthy targets.
    double m_logSlowdown = 0;
    double m_meanSeconds = 0.01;
    core::Instant m_limitLoweredAt = absl::InfinitePast();
    CircuitBreaker m_breaker;
    int m_grantedSlots = 0;
    int m_grantedShortSlots = 0;
    core::Instant m_grantedUntil = absl::InfinitePast();
};

} // namespace oleandercross::dispatch::detail
