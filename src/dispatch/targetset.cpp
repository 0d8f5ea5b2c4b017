#include "targetset.h"

#include <algorithm>
#include <cmath>

namespace oleandercross::dispatch::detail {

namespace {

// At most one in this many targets of a service may be ejected.
constexpr int TargetsPerEjection = 3;
// A target with more than this multiple of the others' service times is treated as overloaded.
constexpr double SlowdownThreshold = 2;

bool isNearer(const Target *a, const Target *b)
{
    return a->distance() < b->distance();
}

} // namespace

Target &TargetSet::announce(const TargetAnnounced &announcement, core::Instant now)
{
    std::unique_ptr<Target> &slot = m_targets[announcement.target];
    if (!slot) {
        slot = std::make_unique<Target>(announcement, m_slowStart, now);
        m_byService[announcement.service].push_back(slot.get());
    } else if (slot->info().service != announcement.service) {
        removeFromService(slot->info().service, slot.get());
        m_byService[announcement.service].push_back(slot.get());
        slot->announce(announcement, now);
    } else {
        slot->announce(announcement, now);
    }
    Targets &targets = m_byService[announcement.service];
    std::stable_sort(targets.begin(), targets.end(), isNearer);
    enforceEjectionLimit(announcement.service);
    return *slot;
}

void TargetSet::remove(const TargetId &id)
{
    const auto it = m_targets.find(id);
    if (it == m_targets.end())
        return;
    removeFromService(it->second->info().service, it->second.get());
    m_targets.erase(it);
}

void TargetSet::removeFromService(const core::ServiceId &service, const Target *target)
{
    std::erase(m_byService[service], target);
    enforceEjectionLimit(service);
}

Target *TargetSet::find(const TargetId &id)
{
    const auto it = m_targets.find(id);
    return it == m_targets.end() ? nullptr : it->second.get();
}

const Targets &TargetSet::serving(const core::ServiceId &service) const
{
    static const Targets none;
    const auto it = m_byService.find(service);
    return it == m_byService.end() ? none : it->second;
}

int TargetSet::ejectedCount(const Targets &targets)
{
    return static_cast<int>(std::count_if(targets.begin(), targets.end(),
                                          [](const Target *t) { return t->breaker().isOpen(); }));
}

void TargetSet::observe(Target &target, absl::Duration time, absl::Duration typical,
                        core::Instant now)
{
    target.observe(time, typical);
    const Targets &targets = serving(target.info().service);
    double others = 0;
    for (const Target *other : targets)
        others += other == &target ? 0 : other->logSlowdown();
    const double count = static_cast<double>(targets.size()) - 1;
    if (count > 0 && target.logSlowdown() - others / count > std::log(SlowdownThreshold))
        target.lowerLimit(now);
    else
        target.raiseLimit();
}

void TargetSet::recordFailure(Target &target, core::Instant now)
{
    target.lowerLimit(now);
    if (target.breaker().recordFailure())
        openBreaker(target, now);
}

void TargetSet::recordMinionFailure(Target &target, core::Instant now)
{
    if (target.breaker().recordMinionFailure())
        openBreaker(target, now);
}

void TargetSet::openBreaker(Target &target, core::Instant now)
{
    const Targets &targets = serving(target.info().service);
    const int bound = static_cast<int>(targets.size()) / TargetsPerEjection;
    if (target.breaker().isOpen() || ejectedCount(targets) < bound)
        target.breaker().open(now);
}

// Closes breakers, longest open first, until the number of ejected targets is within the bound
// again after targets were removed.
void TargetSet::enforceEjectionLimit(const core::ServiceId &service)
{
    const Targets &targets = serving(service);
    while (ejectedCount(targets) > static_cast<int>(targets.size()) / TargetsPerEjection) {
        Target *oldest = nullptr;
        for (Target *target : targets) {
            if (target->breaker().isOpen()
                && (!oldest || target->breaker().openedAt() < oldest->breaker().openedAt()))
                oldest = target;
        }
        oldest->breaker().close();
    }
}

std::vector<InFlight> TargetSet::expire(core::Instant now)
{
    std::vector<InFlight> expired;
    for (auto &[id, target] : m_targets) {
        std::vector<InFlight> late = target->expire(now);
        expired.insert(expired.end(), late.begin(), late.end());
    }
    return expired;
}

int TargetSet::totalEjected() const
{
    return static_cast<int>(std::count_if(m_targets.begin(), m_targets.end(), [](const auto &t) {
        return t.second->breaker().isOpen();
    }));
}

} // namespace oleandercross::dispatch::detail
