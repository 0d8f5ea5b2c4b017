#include "target.h"

#include "remainingtime.h"

#include <algorithm>
#include <cmath>

namespace oleandercross::dispatch::detail {

namespace {

// Announcements arrive at least every 10 s, and one may be lost.
constexpr absl::Duration MaxAnnouncementAge = absl::Seconds(20);
// Announced loads are delayed by a heartbeat and an exchange, so the load of a reply takes
// precedence for this long.
constexpr absl::Duration ReplyLoadValidity = absl::Seconds(1);
// Attempts whose end has not been reported this long after the deadline are removed.
constexpr absl::Duration EndReportTimeout = absl::Seconds(5);
constexpr double MeanWeight = 0.05;
constexpr double SlowdownWeight = 0.05;
constexpr absl::Duration MinServiceTime = absl::Microseconds(10);
constexpr double LimitDecreaseFactor = 0.8;
constexpr absl::Duration MinDecreasePeriod = absl::Milliseconds(20);

} // namespace

Target::Target(const TargetAnnounced &announcement, absl::Duration slowStart, core::Instant now)
    : m_info(announcement)
    , m_slowStart(slowStart)
    , m_concurrencyLimit(announcement.slots)
{
    announce(announcement, now);
}

void Target::announce(const TargetAnnounced &announcement, core::Instant now)
{
    m_info = announcement;
    m_announcedAt = now;
    m_servingSince = now - announcement.servingFor;
    m_concurrencyLimit =
        std::clamp(m_concurrencyLimit, 1.0, std::max(1.0, static_cast<double>(announcement.slots)));
    if (now - m_loadReportedAt > ReplyLoadValidity)
        setLoad(announcement.load, now, now);
}

void Target::updateLoad(const TargetLoad &load, core::Instant now)
{
    // Attempts sent within the last round trip had not arrived when the load was measured.
    setLoad(load, now - 2 * m_info.distance, now);
}

void Target::setLoad(const TargetLoad &load, core::Instant basis, core::Instant now)
{
    int own = 0;
    int ownLong = 0;
    for (const InFlight &attempt : m_inFlight) {
        if (attempt.sentAt > basis)
            continue;
        ++own;
        ownLong += attempt.shortWork ? 0 : 1;
    }
    const int longSlots = m_info.slots - m_info.shortSlots;
    const int freeLong = load.freeSlots - load.freeShortSlots;
    m_otherBusySlots = std::max(0, m_info.slots - load.freeSlots - own);
    m_otherLongSlots = std::max(0, longSlots - freeLong - ownLong);
    m_otherWork = std::max(absl::ZeroDuration(), load.expectedWork - ownWork(now));
    m_loadReportedAt = now;
}

double Target::decay(core::Instant now) const
{
    return std::exp(-absl::ToDoubleSeconds(now - m_loadReportedAt) / m_meanSeconds);
}

absl::Duration Target::ownWork(core::Instant now) const
{
    absl::Duration work;
    for (const InFlight &attempt : m_inFlight)
        work += remainingTime(attempt.expected, now - attempt.sentAt);
    return work;
}

int Target::ownLong() const
{
    return static_cast<int>(std::count_if(m_inFlight.begin(), m_inFlight.end(),
                                          [](const InFlight &a) { return !a.shortWork; }));
}

bool Target::accepts(const RequestNeeds &need, core::Instant now) const
{
    if (m_info.draining || now < m_avoidUntil || now - m_announcedAt > MaxAnnouncementAge)
        return false;
    if (!m_breaker.isOpen())
        return true;
    return m_inFlight.empty() && m_breaker.isProbeDue(need.idempotent, now);
}

int Target::usableSlots(const RequestNeeds &need, double otherBusySlots, double otherLongSlots,
                        core::Instant now) const
{
    if (!accepts(need, now))
        return 0;
    const double rampUp = m_slowStart > absl::ZeroDuration()
        ? std::min(1.0, absl::FDivDuration(now - m_servingSince, m_slowStart))
        : 1.0;
    const int limit = std::max(1, static_cast<int>(m_concurrencyLimit * rampUp));
    const int own = static_cast<int>(m_inFlight.size());
    const int free = m_info.slots - own - static_cast<int>(std::lround(otherBusySlots));
    const int usable = std::min(limit - own, free);
    if (need.shortWork)
        return std::max(0, usable);
    const int longSlots = std::max(1, m_info.slots - m_info.shortSlots);
    const int freeLong = longSlots - ownLong() - static_cast<int>(std::lround(otherLongSlots));
    return std::max(0, std::min(usable, freeLong));
}

int Target::estimatedFreeSlots(const RequestNeeds &need, core::Instant now) const
{
    const double factor = decay(now);
    return usableSlots(need, m_otherBusySlots * factor, m_otherLongSlots * factor, now);
}

int Target::knownFreeSlots(const RequestNeeds &need, core::Instant now) const
{
    return usableSlots(need, m_otherBusySlots, m_otherLongSlots, now);
}

absl::Duration Target::backlog(core::Instant now) const
{
    const absl::Duration work = ownWork(now) + m_otherWork * decay(now);
    return work * std::exp(m_logSlowdown) / std::max(1, m_info.slots);
}

void Target::recordSent(InFlight attempt)
{
    m_inFlight.push_back(std::move(attempt));
}

std::optional<InFlight> Target::removeAttempt(const core::RequestId &id, int attempt)
{
    const auto it = std::find_if(m_inFlight.begin(), m_inFlight.end(), [&](const InFlight &a) {
        return a.id == id && a.attempt == attempt;
    });
    if (it == m_inFlight.end())
        return std::nullopt;
    InFlight result = std::move(*it);
    m_inFlight.erase(it);
    return result;
}

std::vector<InFlight> Target::expire(core::Instant now)
{
    std::vector<InFlight> expired;
    const auto late = [&](const InFlight &a) { return now > a.deadline + EndReportTimeout; };
    std::copy_if(m_inFlight.begin(), m_inFlight.end(), std::back_inserter(expired), late);
    std::erase_if(m_inFlight, late);
    return expired;
}

void Target::observe(absl::Duration time, absl::Duration typical)
{
    m_meanSeconds += MeanWeight * (absl::ToDoubleSeconds(time) - m_meanSeconds);
    const double ratio =
        absl::FDivDuration(std::max(MinServiceTime, time), std::max(MinServiceTime, typical));
    m_logSlowdown += SlowdownWeight * (std::log(ratio) - m_logSlowdown);
}

void Target::raiseLimit()
{
    m_concurrencyLimit =
        std::min(static_cast<double>(m_info.slots), m_concurrencyLimit + 1 / m_concurrencyLimit);
}

void Target::lowerLimit(core::Instant now)
{
    const absl::Duration period = std::max(MinDecreasePeriod, absl::Seconds(m_meanSeconds));
    if (now - m_limitLoweredAt < period)
        return;
    m_concurrencyLimit = std::max(1.0, m_concurrencyLimit * LimitDecreaseFactor);
    m_limitLoweredAt = now;
}

void Target::grant(const SlotsGranted &grant, core::Instant now)
{
    if (now >= m_grantedUntil)
        m_grantedSlots = m_grantedShortSlots = 0;
    m_grantedSlots += grant.slots - grant.shortSlots;
    m_grantedShortSlots += grant.shortSlots;
    m_grantedUntil = std::max(m_grantedUntil, now + grant.validFor);
}

bool Target::hasGrant(const RequestNeeds &need, core::Instant now) const
{
    if (now >= m_grantedUntil || !accepts(need, now))
        return false;
    return m_grantedSlots > 0 || (need.shortWork && m_grantedShortSlots > 0);
}

void Target::useGrant(const RequestNeeds &need)
{
    if (need.shortWork && m_grantedShortSlots > 0)
        --m_grantedShortSlots;
    else
        --m_grantedSlots;
}

bool Target::dropGrants(core::Instant now)
{
    const bool had = now < m_grantedUntil && m_grantedSlots + m_grantedShortSlots > 0;
    m_grantedSlots = m_grantedShortSlots = 0;
    return had;
}

} // namespace oleandercross::dispatch::detail
