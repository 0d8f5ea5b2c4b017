#include "targetset.h"

#include <algorithm>
#include <cmath>

namespace oleandercross::dispatch::detail {

namespace {

// At most one target in this many of a service is out.
constexpr int OutFraction = 3;
// A target that takes twice the time of the others is treated as overloaded.
constexpr double SlowdownLimit = 2;

bool nearer(const Target *a, const Target *b)
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
        withdraw(slot->info().service, slot.get());
        m_byService[announcement.service].push_back(slot.get());
        slot->announce(announcement, now);
    } else {
        slot->announce(announcement, now);
    }
    Targets &targets = m_byService[announcement.service];
    std::stable_sort(targets.begin(), targets.end(), nearer);
    keepBound(announcement.service);
    return *slot;
}

void TargetSet::remove(const TargetId &id)
{
    const auto it = m_targets.find(id);
    if (it == m_targets.end())
        return;
    withdraw(it->second->info().service, it->second.get());
    m_targets.erase(it);
}

void TargetSet::withdraw(const core::ServiceId &service, const Target *target)
{
    std::erase(m_byService[service], target);
    keepBound(service);
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

int TargetSet::outOf(const Targets &targets)
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
    if (count > 0 && target.logSlowdown() - others / count > std::log(SlowdownLimit))
        target.congested(now);
    else
        target.raiseLimit();
}

void TargetSet::failed(Target &target, core::Instant now)
{
    target.congested(now);
    if (target.breaker().failed())
        open(target, now);
}

void TargetSet::minionFailed(Target &target, core::Instant now)
{
    if (target.breaker().minionFailed())
        open(target, now);
}

void TargetSet::open(Target &target, core::Instant now)
{
    const Targets &targets = serving(target.info().service);
    const int bound = static_cast<int>(targets.size()) / OutFraction;
    if (target.breaker().isOpen() || outOf(targets) < bound)
        target.breaker().open(now);
}

// Closes breakers, longest open first, when targets left and too few remain.
void TargetSet::keepBound(const core::ServiceId &service)
{
    const Targets &targets = serving(service);
    while (outOf(targets) > static_cast<int>(targets.size()) / OutFraction) {
        Target *oldest = nullptr;
        for (Target *target : targets) {
            if (target->breaker().isOpen()
                && (!oldest || target->breaker().opened() < oldest->breaker().opened()))
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

int TargetSet::out() const
{
    return static_cast<int>(std::count_if(m_targets.begin(), m_targets.end(), [](const auto &t) {
        return t.second->breaker().isOpen();
    }));
}

} // namespace oleandercross::dispatch::detail
