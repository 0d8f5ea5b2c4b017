#include "router.h"

#include <algorithm>

namespace oleandercross::dispatch::detail {

namespace {

// Repeating the demand compensates for lost messages.
constexpr absl::Duration DemandPeriod = absl::Milliseconds(100);
// Slots requested per waiting request. Two probes per task are sufficient in Sparrow.
constexpr int SlotsPerRequest = 2;
// Number of times that each slot of a target may be granted to this entry between two demands. A
// lower value leaves slots idle despite full queues if requests are shorter than DemandPeriod.
constexpr int MaxGrantsPerSlot = 16;

// Without a grant for this long, requests are sent to targets with reported free slots anyway,
// because messages may be lost.
constexpr absl::Duration GrantTimeout = absl::Milliseconds(100);

bool isAvoided(const Target &target, const RequestNeeds &need, std::size_t targets)
{
    return need.avoid && targets > 1 && target.id() == *need.avoid;
}

// Returns the targets with free slots in the nearest data centre that has any.
template <typename FreeSlots>
Targets nearestWithFreeSlots(const Targets &targets, const RequestNeeds &need, FreeSlots freeSlots)
{
    Targets found;
    for (Target *target : targets) {
        if (!found.empty() && target->distance() > found.front()->distance())
            break;
        if (!isAvoided(*target, need, targets.size()) && freeSlots(*target) > 0)
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

std::vector<SendSlotDemand> Router::updateDemand(const core::ServiceId &, const Targets &,
                                                 const WorkCounts &, core::Instant)
{
    return {};
}

std::unique_ptr<Router> makeRouter(Routing routing, std::mt19937_64 generator)
{
    if (routing == Routing::LateBinding)
        return std::make_unique<LateBinding>(generator);
    return std::make_unique<TwoChoices>(generator);
}

Target *TwoChoices::choose(const Targets &targets, const RequestNeeds &need, core::Instant now)
{
    const Targets candidates = nearestWithFreeSlots(
        targets, need, [&](const Target &target) { return target.estimatedFreeSlots(need, now); });
    return lessLoadedOfTwo(candidates, m_generator, now);
}

Target *LateBinding::choose(const Targets &targets, const RequestNeeds &need, core::Instant now)
{
    m_lastChoiceUsesGrant = true;
    Target *best = nullptr;
    for (Target *target : targets) {
        if (isAvoided(*target, need, targets.size()) || !target->hasGrant(need, now))
            continue;
        if (!best || target->grantedUntil() < best->grantedUntil())
            best = target;
    }
    if (targets.empty())
        return nullptr;
    Demand &demand = m_demands[targets.front()->info().service];
    if (best) {
        demand.lastProgressAt = now;
        m_grantUsed = true;
        best->useGrant(need);
        return best;
    }
    m_lastChoiceUsesGrant = false;
    // Waiting long work does not prevent short work from using free slots, and vice versa.
    const WorkCounts requested = demand.total();
    const bool demandPending = (need.shortWork ? requested.shortCount : requested.longCount) > 0;
    const bool awaitingGrant = demandPending && now - demand.lastProgressAt < GrantTimeout;
    m_useEstimates = !m_grantUsed && ((demandPending && !awaitingGrant) || m_useEstimates);
    const Targets candidates = nearestWithFreeSlots(targets, need, [&](const Target &target) {
        if (m_useEstimates)
            return target.estimatedFreeSlots(need, now);
        // A target that has received a demand grants its free slots.
        return awaitingGrant && demand.hasDemandOn(target.id()) ? 0
                                                                : target.knownFreeSlots(need, now);
    });
    return lessLoadedOfTwo(candidates, m_generator, now);
}

std::vector<SendSlotDemand> LateBinding::updateDemand(const core::ServiceId &service,
                                                      const Targets &targets,
                                                      const WorkCounts &waiting, core::Instant now)
{
    Demand &demand = m_demands[service];
    if (waiting == WorkCounts())
        return withdrawDemand(demand, targets, now);
    std::vector<SendSlotDemand> messages;
    if (waiting.shortCount == 0)
        returnShortGrants(demand, targets, now, messages);
    // A lower demand is sent with the next repetition.
    const bool repeat = now - demand.lastSentAt >= DemandPeriod;
    const WorkCounts requested = demand.total();
    const bool moreShortNeeded = waiting.shortCount > requested.shortCount;
    const bool moreLongNeeded = waiting.longCount > requested.longCount;
    if (!repeat && !moreShortNeeded && !moreLongNeeded)
        return messages;
    if (!demand.isActive())
        demand.lastProgressAt = now;
    const auto before = demand.perTarget;
    if (repeat)
        demand.lastSentAt = now;
    if (repeat || moreShortNeeded)
        distributeDemand(demand, targets, &WorkCounts::shortCount, waiting.shortCount);
    if (repeat || moreLongNeeded)
        distributeDemand(demand, targets, &WorkCounts::longCount, waiting.longCount);
    for (const auto &[id, requested] : demand.perTarget) {
        const auto known = before.find(id);
        const bool renewed = repeat && requested != WorkCounts();
        if (renewed || known == before.end() || known->second != requested)
            messages.push_back(
                {id, requested.shortCount + requested.longCount, requested.shortCount});
    }
    absl::erase_if(demand.perTarget,
                   [](const auto &entry) { return entry.second == WorkCounts(); });
    return messages;
}

bool LateBinding::Demand::hasDemandOn(const TargetId &id) const
{
    const auto it = perTarget.find(id);
    return it != perTarget.end() && it->second != WorkCounts();
}

void LateBinding::recordGrant(const core::ServiceId &service, const SlotsGranted &grant)
{
    Demand &demand = m_demands[service];
    const auto it = demand.perTarget.find(grant.target);
    if (it == demand.perTarget.end())
        return;
    WorkCounts &requested = it->second;
    requested.shortCount = std::max(0, requested.shortCount - grant.shortSlots);
    requested.longCount = std::max(0, requested.longCount - (grant.slots - grant.shortSlots));
}

WorkCounts LateBinding::Demand::total() const
{
    WorkCounts sum;
    for (const auto &[id, requested] : perTarget) {
        sum.shortCount += requested.shortCount;
        sum.longCount += requested.longCount;
    }
    return sum;
}

void LateBinding::distributeDemand(Demand &demand, const Targets &targets, int WorkCounts::*kind,
                                   int waiting)
{
    for (auto &[id, requested] : demand.perTarget)
        requested.*kind = 0;
    Targets chosen = targets;
    std::shuffle(chosen.begin(), chosen.end(), m_generator);
    const int total = SlotsPerRequest * waiting;
    chosen.resize(std::min(chosen.size(), static_cast<std::size_t>(total)));
    const int count = std::max<int>(1, static_cast<int>(chosen.size()));
    for (const Target *target : chosen)
        demand.perTarget[target->id()].*kind =
            std::min(MaxGrantsPerSlot * target->info().slots, (total + count - 1) / count);
}

void LateBinding::returnShortGrants(Demand &demand, const Targets &targets, core::Instant now,
                                    std::vector<SendSlotDemand> &messages)
{
    for (Target *target : targets) {
        if (!target->hasShortGrant(now))
            continue;
        target->dropGrants(now);
        demand.perTarget.erase(target->id());
        messages.push_back({target->id(), 0, 0});
    }
}

std::vector<SendSlotDemand> LateBinding::withdrawDemand(Demand &demand, const Targets &targets,
                                                        core::Instant now)
{
    std::vector<SendSlotDemand> messages;
    for (const auto &[id, requested] : demand.perTarget)
        messages.push_back({id, 0, 0});
    for (Target *target : targets) {
        const auto same = [&](const SendSlotDemand &m) { return m.target == target->id(); };
        if (target->dropGrants(now) && std::none_of(messages.begin(), messages.end(), same))
            messages.push_back({target->id(), 0, 0});
    }
    demand = {};
    return messages;
}

} // namespace oleandercross::dispatch::detail
