#include "target.h"

#include "remainingtime.h"

#include <algorithm>
#include <cmath>

namespace oleandercross::dispatch::detail {

namespace {

// Announcements come at least every 10 s; one may be lost.
constexpr absl::Duration AnnouncementLimit = absl::Seconds(20);
// Announced loads are as old as a heartbeat and an exchange; a reply's load is better for longer.
constexpr absl::Duration ReplyLoadValid = absl::Seconds(1);
// Attempts whose end is not reported this long after the deadline are forgotten.
constexpr absl::Duration ReportLimit = absl::Seconds(5);
constexpr double MeanWeight = 0.05;
constexpr double SlowdownWeight = 0.05;
constexpr absl::Duration ShortestTime = absl::Microseconds(10);
constexpr double LimitDecrease = 0.8;
constexpr absl::Duration ShortestCutPeriod = absl::Milliseconds(20);

} // namespace

Target::Target(const TargetAnnounced &announcement, absl::Duration slowStart, core::Instant now)
    : m_info(announcement)
    , m_slowStart(slowStart)
    , m_limit(announcement.slots)
{
    announce(announcement, now);
}

void Target::announce(const TargetAnnounced &announcement, core::Instant now)
{
    m_info = announcement;
    m_announced = now;
    m_servingSince = now - announcement.servingFor;
    m_limit = std::clamp(m_limit, 1.0, std::max(1.0, static_cast<double>(announcement.slots)));
    if (now - m_loadAt > ReplyLoadValid)
        setLoad(announcement.load, now, now);
}

void Target::replied(const TargetLoad &load, core::Instant now)
{
    // Attempts sent within the last round trip had not arrived when the load was taken.
    setLoad(load, now - 2 * m_info.distance, now);
}

void Target::setLoad(const TargetLoad &load, core::Instant basis, core::Instant now)
{
    int own = 0;
    int ownLong = 0;
    for (const InFlight &attempt : m_inFlight) {
        if (attempt.sent > basis)
            continue;
        ++own;
        ownLong += attempt.shortWork ? 0 : 1;
    }
    const int longSlots = m_info.slots - m_info.shortSlots;
    const int freeLong = load.freeSlots - load.freeShortSlots;
    m_othersBusy = std::max(0, m_info.slots - load.freeSlots - own);
    m_othersLong = std::max(0, longSlots - freeLong - ownLong);
    m_othersWork = std::max(absl::ZeroDuration(), load.expectedWork - ownWork(now));
    m_loadAt = now;
}

double Target::decay(core::Instant now) const
{
    return std::exp(-absl::ToDoubleSeconds(now - m_loadAt) / m_meanSeconds);
}

absl::Duration Target::ownWork(core::Instant now) const
{
    absl::Duration work;
    for (const InFlight &attempt : m_inFlight)
        work += remainingTime(attempt.expected, now - attempt.sent);
    return work;
}

int Target::ownLong() const
{
    return static_cast<int>(std::count_if(m_inFlight.begin(), m_inFlight.end(),
                                          [](const InFlight &a) { return !a.shortWork; }));
}

bool Target::accepts(const Need &need, core::Instant now) const
{
    if (m_info.draining || now < m_avoidUntil || now - m_announced > AnnouncementLimit)
        return false;
    if (!m_breaker.isOpen())
        return true;
    return m_inFlight.empty() && m_breaker.probeDue(need.idempotent, now);
}

int Target::limited(const Need &need, double othersBusy, double othersLong, core::Instant now) const
{
    if (!accepts(need, now))
        return 0;
    const double warm = m_slowStart > absl::ZeroDuration()
        ? std::min(1.0, absl::FDivDuration(now - m_servingSince, m_slowStart))
        : 1.0;
    const int limit = std::max(1, static_cast<int>(m_limit * warm));
    const int own = static_cast<int>(m_inFlight.size());
    const int free = m_info.slots - own - static_cast<int>(std::lround(othersBusy));
    const int room = std::min(limit - own, free);
    if (need.shortWork)
        return std::max(0, room);
    const int longSlots = std::max(1, m_info.slots - m_info.shortSlots);
    const int freeLong = longSlots - ownLong() - static_cast<int>(std::lround(othersLong));
    return std::max(0, std::min(room, freeLong));
}

int Target::room(const Need &need, core::Instant now) const
{
    const double factor = decay(now);
    return limited(need, m_othersBusy * factor, m_othersLong * factor, now);
}

int Target::knownRoom(const Need &need, core::Instant now) const
{
    return limited(need, m_othersBusy, m_othersLong, now);
}

absl::Duration Target::backlog(core::Instant now) const
{
    const absl::Duration work = ownWork(now) + m_othersWork * decay(now);
    return work * std::exp(m_logSlowdown) / std::max(1, m_info.slots);
}

void Target::sent(InFlight attempt)
{
    m_inFlight.push_back(std::move(attempt));
}

std::optional<InFlight> Target::ended(const core::RequestId &id, int attempt)
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
    const auto late = [&](const InFlight &a) { return now > a.deadline + ReportLimit; };
    std::copy_if(m_inFlight.begin(), m_inFlight.end(), std::back_inserter(expired), late);
    std::erase_if(m_inFlight, late);
    return expired;
}

void Target::observe(absl::Duration time, absl::Duration typical)
{
    m_meanSeconds += MeanWeight * (absl::ToDoubleSeconds(time) - m_meanSeconds);
    const double ratio =
        absl::FDivDuration(std::max(ShortestTime, time), std::max(ShortestTime, typical));
    m_logSlowdown += SlowdownWeight * (std::log(ratio) - m_logSlowdown);
}

void Target::raiseLimit()
{
    m_limit = std::min(static_cast<double>(m_info.slots), m_limit + 1 / m_limit);
}

void Target::congested(core::Instant now)
{
    const absl::Duration period = std::max(ShortestCutPeriod, absl::Seconds(m_meanSeconds));
    if (now - m_limitCut < period)
        return;
    m_limit = std::max(1.0, m_limit * LimitDecrease);
    m_limitCut = now;
}

void Target::grant(const SlotsGranted &grant, core::Instant now)
{
    if (now >= m_grantedUntil)
        m_grantedSlots = m_grantedShort = 0;
    m_grantedSlots += grant.slots - grant.shortSlots;
    m_grantedShort += grant.shortSlots;
    m_grantedUntil = std::max(m_grantedUntil, now + grant.validFor);
}

bool Target::hasGrant(const Need &need, core::Instant now) const
{
    if (now >= m_grantedUntil || !accepts(need, now))
        return false;
    return m_grantedSlots > 0 || (need.shortWork && m_grantedShort > 0);
}

void Target::useGrant(const Need &need)
{
    if (need.shortWork && m_grantedShort > 0)
        --m_grantedShort;
    else
        --m_grantedSlots;
}

bool Target::dropGrants(core::Instant now)
{
    const bool had = now < m_grantedUntil && m_grantedSlots + m_grantedShort > 0;
    m_grantedSlots = m_grantedShort = 0;
    return had;
}

} // namespace oleandercross::dispatch::detail
