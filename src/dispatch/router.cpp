#include "router.h"

#include <algorithm>

namespace oleandercross::dispatch::detail {

namespace {

// Lost messages are made good by asking again.
constexpr absl::Duration AskPeriod = absl::Milliseconds(50);
// Slots asked for per waiting request; Sparrow found two probes per task sufficient.
constexpr int AsksPerRequest = 2;
// Times that a target's slots may be granted to this entry before it asks again. With fewer, slots
// of requests shorter than the asking period stayed empty in front of full queues.
constexpr int AskedTurnovers = 8;

// Without a grant for this long, requests go to targets with reported free slots all the same,
// because messages may be lost.
constexpr absl::Duration GrantPatience = absl::Milliseconds(100);

bool avoided(const Target &target, const Need &need, std::size_t targets)
{
    return need.avoid && targets > 1 && target.id() == *need.avoid;
}

// The targets with room in the nearest data centre that has any.
template <typename Room>
Targets nearestWithRoom(const Targets &targets, const Need &need, Room room)
{
    Targets found;
    for (Target *target : targets) {
        if (!found.empty() && target->distance() > found.front()->distance())
            break;
        if (!avoided(*target, need, targets.size()) && room(*target) > 0)
            found.push_back(target);
    }
    return found;
}

Target *lessLoadedOfTwo(const Targets &targets, std::mt19937_64 &generator, core::Instant now)
{
    if (targets.empty())
        return nullptr;
    if (targets.size() == 1)
        return targets.front();
    const std::size_t first = generator() % targets.size();
    const std::size_t second = (first + 1 + generator() % (targets.size() - 1)) % targets.size();
    Target *a = targets[first];
    Target *b = targets[second];
    return b->backlog(now) < a->backlog(now) ? b : a;
}

// True if telling the agents the new number would hardly change what they grant.
bool closeEnough(int asked, int needed)
{
    return (asked == 0) == (needed == 0) && needed <= 2 * asked && asked <= 2 * needed;
}

} // namespace

std::vector<AskSlots> Router::waiting(const core::ServiceId &, const Targets &, const Waiting &,
                                      core::Instant)
{
    return {};
}

std::unique_ptr<Router> makeRouter(Routing routing, std::mt19937_64 generator)
{
    if (routing == Routing::LateBinding)
        return std::make_unique<LateBinding>(generator);
    return std::make_unique<TwoChoices>(generator);
}

Target *TwoChoices::choose(const Targets &targets, const Need &need, core::Instant now)
{
    const Targets candidates = nearestWithRoom(
        targets, need, [&](const Target &target) { return target.room(need, now); });
    return lessLoadedOfTwo(candidates, m_generator, now);
}

Target *LateBinding::choose(const Targets &targets, const Need &need, core::Instant now)
{
    m_granted = true;
    Target *best = nullptr;
    for (Target *target : targets) {
        if (avoided(*target, need, targets.size()) || !target->hasGrant(need, now))
            continue;
        if (!best || target->grantedUntil() < best->grantedUntil())
            best = target;
    }
    if (targets.empty())
        return nullptr;
    Demand &demand = m_demands[targets.front()->info().service];
    if (best) {
        demand.lastGrant = now;
        m_agentsGrant = true;
        best->useGrant(need);
        return best;
    }
    m_granted = false;
    const bool waits = demand.asked != Waiting();
    if (waits && now - demand.lastGrant < GrantPatience && !m_gaveUp)
        return nullptr;
    m_gaveUp = !m_agentsGrant && (waits || m_gaveUp);
    const Targets candidates = nearestWithRoom(targets, need, [&](const Target &target) {
        return m_gaveUp ? target.room(need, now) : target.knownRoom(need, now);
    });
    return lessLoadedOfTwo(candidates, m_generator, now);
}

std::vector<AskSlots> LateBinding::waiting(const core::ServiceId &service, const Targets &targets,
                                           const Waiting &waiting, core::Instant now)
{
    Demand &demand = m_demands[service];
    if (waiting == Waiting())
        return withdraw(demand, targets, now);
    if (now - demand.askedAt < AskPeriod && closeEnough(demand.asked.shortWork, waiting.shortWork)
        && closeEnough(demand.asked.longWork, waiting.longWork))
        return {};
    std::vector<AskSlots> messages;
    for (const TargetId &id : demand.targets)
        messages.push_back({id, 0, 0});
    Targets chosen = targets;
    std::shuffle(chosen.begin(), chosen.end(), m_generator);
    const int total = AsksPerRequest * (waiting.shortWork + waiting.longWork);
    chosen.resize(std::min(chosen.size(), static_cast<std::size_t>(total)));
    demand.lastGrant = demand.asked == Waiting() ? now : demand.lastGrant;
    demand.asked = waiting;
    demand.askedAt = now;
    demand.targets.clear();
    const int count = std::max<int>(1, static_cast<int>(chosen.size()));
    for (const Target *target : chosen) {
        const int slots =
            std::min(AskedTurnovers * target->info().slots, (total + count - 1) / count);
        const int shortSlots =
            std::min(slots, (AsksPerRequest * waiting.shortWork + count - 1) / count);
        std::erase_if(messages, [&](const AskSlots &m) { return m.target == target->id(); });
        messages.push_back({target->id(), slots, shortSlots});
        demand.targets.push_back(target->id());
    }
    return messages;
}

std::vector<AskSlots> LateBinding::withdraw(Demand &demand, const Targets &targets,
                                            core::Instant now)
{
    std::vector<AskSlots> messages;
    for (const TargetId &id : demand.targets)
        messages.push_back({id, 0, 0});
    for (Target *target : targets) {
        const auto same = [&](const AskSlots &m) { return m.target == target->id(); };
        if (target->dropGrants(now) && std::none_of(messages.begin(), messages.end(), same))
            messages.push_back({target->id(), 0, 0});
    }
    demand = {};
    return messages;
}

} // namespace oleandercross::dispatch::detail
