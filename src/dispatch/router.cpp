#include "router.h"

#include <algorithm>

namespace oleandercross::dispatch::detail {

namespace {

// Lost messages are made good by asking again.
constexpr absl::Duration AskPeriod = absl::Milliseconds(100);
// Slots asked for per waiting request; Sparrow found two probes per task sufficient.
constexpr int AsksPerRequest = 2;
// Times that a target's slots may be granted to this entry before it asks again. With fewer, slots
// of requests shorter than the asking period stayed empty in front of full queues.
constexpr int AskedTurnovers = 16;

// Without a grant for this long, requests go to targets with reported free slots all the same,
// because messages may be lost.
constexpr absl::Duration GrantTimeout = absl::Milliseconds(100);

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
    // Long work that waits does not keep short work from free slots.
    const Waiting asked = demand.asked();
    const bool waits = (need.shortWork ? asked.shortWork : asked.longWork) > 0;
    const bool awaiting = waits && now - demand.lastGrant < GrantTimeout;
    m_gaveUp = !m_agentsGrant && ((waits && !awaiting) || m_gaveUp);
    const Targets candidates = nearestWithRoom(targets, need, [&](const Target &target) {
        if (m_gaveUp)
            return target.room(need, now);
        // A target that was asked grants its free slots.
        return awaiting && demand.askedOf(target.id()) ? 0 : target.knownRoom(need, now);
    });
    return lessLoadedOfTwo(candidates, m_generator, now);
}

std::vector<AskSlots> LateBinding::waiting(const core::ServiceId &service, const Targets &targets,
                                           const Waiting &waiting, core::Instant now)
{
    Demand &demand = m_demands[service];
    if (waiting == Waiting())
        return withdraw(demand, targets, now);
    std::vector<AskSlots> messages;
    if (waiting.shortWork == 0)
        giveBackShort(demand, targets, now, messages);
    // Fewer waiting requests are told with the next repetition.
    const bool repeat = now - demand.askedAt >= AskPeriod;
    const Waiting asked = demand.asked();
    const bool moreShort = waiting.shortWork > asked.shortWork;
    const bool moreLong = waiting.longWork > asked.longWork;
    if (!repeat && !moreShort && !moreLong)
        return messages;
    if (!demand.open())
        demand.lastGrant = now;
    const auto before = demand.perTarget;
    if (repeat)
        demand.askedAt = now;
    if (repeat || moreShort)
        spread(demand, targets, &Waiting::shortWork, waiting.shortWork);
    if (repeat || moreLong)
        spread(demand, targets, &Waiting::longWork, waiting.longWork);
    for (const auto &[id, asked] : demand.perTarget) {
        const auto known = before.find(id);
        const bool renewed = repeat && asked != Waiting();
        if (renewed || known == before.end() || known->second != asked)
            messages.push_back({id, asked.shortWork + asked.longWork, asked.shortWork});
    }
    absl::erase_if(demand.perTarget, [](const auto &entry) { return entry.second == Waiting(); });
    return messages;
}

bool LateBinding::Demand::askedOf(const TargetId &id) const
{
    const auto it = perTarget.find(id);
    return it != perTarget.end() && it->second != Waiting();
}

void LateBinding::granted(const core::ServiceId &service, const SlotsGranted &grant)
{
    Demand &demand = m_demands[service];
    const auto it = demand.perTarget.find(grant.target);
    if (it == demand.perTarget.end())
        return;
    Waiting &asked = it->second;
    asked.shortWork = std::max(0, asked.shortWork - grant.shortSlots);
    asked.longWork = std::max(0, asked.longWork - (grant.slots - grant.shortSlots));
}

Waiting LateBinding::Demand::asked() const
{
    Waiting sum;
    for (const auto &[id, asked] : perTarget) {
        sum.shortWork += asked.shortWork;
        sum.longWork += asked.longWork;
    }
    return sum;
}

void LateBinding::spread(Demand &demand, const Targets &targets, int Waiting::*kind, int waiting)
{
    for (auto &[id, asked] : demand.perTarget)
        asked.*kind = 0;
    Targets chosen = targets;
    std::shuffle(chosen.begin(), chosen.end(), m_generator);
    const int total = AsksPerRequest * waiting;
    chosen.resize(std::min(chosen.size(), static_cast<std::size_t>(total)));
    const int count = std::max<int>(1, static_cast<int>(chosen.size()));
    for (const Target *target : chosen)
        demand.perTarget[target->id()].*kind =
            std::min(AskedTurnovers * target->info().slots, (total + count - 1) / count);
}

// Slots granted for short work are of no use to the long requests that wait.
void LateBinding::giveBackShort(Demand &demand, const Targets &targets, core::Instant now,
                                std::vector<AskSlots> &messages)
{
    for (Target *target : targets) {
        if (!target->hasShortGrant(now))
            continue;
        target->dropGrants(now);
        demand.perTarget.erase(target->id());
        messages.push_back({target->id(), 0, 0});
    }
}

std::vector<AskSlots> LateBinding::withdraw(Demand &demand, const Targets &targets,
                                            core::Instant now)
{
    std::vector<AskSlots> messages;
    for (const auto &[id, asked] : demand.perTarget)
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
