#include <oleandercross/dispatch/admission.h>

#include "remainingtime.h"

#include <absl/container/btree_map.h>
#include <absl/container/flat_hash_map.h>

#include <algorithm>
#include <deque>

namespace oleandercross::dispatch {

namespace {

using core::ResultCode;

// Covers a round trip between data centres plus the delay of a busy entry. Must be short because an
// unused grant blocks its slot.
constexpr absl::Duration GrantValidity = absl::Milliseconds(50);
// Entries repeat their demand every 100 ms while requests are waiting.
constexpr absl::Duration DemandValidity = absl::Milliseconds(400);

struct Grant
{
    core::EntryId entry;
    bool shortOnly = false;
    core::Instant until;
};

struct Demand
{
    core::EntryId entry;
    int longSlots = 0;
    int shortSlots = 0;
    core::Instant until;
};

struct RunningRequest
{
    core::MinionId minion;
    bool shortWork = true;
    core::Instant startedAt;
    absl::Duration expectedTime;
};

struct Minion
{
    core::ServiceId service;
    int slots = 0;
    bool draining = false;
    absl::flat_hash_map<core::RequestId, RunningRequest> running;
    std::vector<Grant> grants;
    // The front entry is served next.
    std::deque<Demand> demands;

    int usedSlots() const { return static_cast<int>(running.size() + grants.size()); }
    int freeSlots() const { return std::max(0, slots - usedSlots()); }
};

} // namespace

class Admission::Private
{
public:
    Private(AdmissionSettings settings, core::Instant startedAt)
        : settings(std::move(settings))
        , startedAt(startedAt)
    { }

    ResultCode check(const DispatchMessage &message, core::Instant now) const;
    int freeLongSlots(const Minion &minion, core::Instant now) const;
    bool isAccepting(const Minion &minion, core::Instant now) const;
    bool consumeGrant(Minion &minion, const DispatchMessage &message) const;
    std::optional<SlotGrant> grantNext(Minion &minion, core::Instant now) const;
    static void expire(Minion &minion, core::Instant now);

    AdmissionSettings settings;
    core::Instant startedAt;
    core::Instant confirmedAt = absl::InfinitePast();
    bool draining = false;
    absl::btree_map<core::MinionId, Minion> minions;
    absl::flat_hash_map<core::RequestId, core::MinionId> minionByRequest;
};

// Returns the number of free slots that long work may use, excluding the slots reserved for short
// work. Long work may use at least one slot of every minion.
int Admission::Private::freeLongSlots(const Minion &minion, core::Instant now) const
{
    int used = 0;
    for (const auto &[id, request] : minion.running)
        used += !request.shortWork || now - request.startedAt > settings.shortLimit ? 1 : 0;
    for (const Grant &grant : minion.grants)
        used += grant.shortOnly ? 0 : 1;
    const int limit = std::max(1, minion.slots - settings.shortSlots);
    return std::clamp(limit - used, 0, minion.freeSlots());
}

bool Admission::Private::isAccepting(const Minion &minion, core::Instant now) const
{
    return !draining && !minion.draining && now - confirmedAt <= settings.maxConfigurationAge;
}

ResultCode Admission::Private::check(const DispatchMessage &message, core::Instant now) const
{
    if (message.target.agent != settings.agent
        || message.target.incarnation != settings.incarnation)
        return ResultCode::StaleIncarnation;
    const auto it = minions.find(message.target.minion);
    if (it == minions.end() || it->second.service != message.service)
        return ResultCode::NoTarget;
    if (draining || it->second.draining)
        return ResultCode::Draining;
    if (!isAccepting(it->second, now))
        return ResultCode::StaleConfiguration;
    if (now - startedAt - message.agentUptime > settings.maxMessageAge)
        return ResultCode::DeadlineExpired;
    if (message.timeLeft <= absl::ZeroDuration())
        return ResultCode::DeadlineExpired;
    return ResultCode::Ok;
}

void Admission::Private::expire(Minion &minion, core::Instant now)
{
    std::erase_if(minion.grants, [&](const Grant &grant) { return now >= grant.until; });
    std::erase_if(minion.demands, [&](const Demand &demand) { return now >= demand.until; });
}

// Consumes a grant of the entry that fits the request; short work uses grants for short work first.
// Returns false if there is none.
bool Admission::Private::consumeGrant(Minion &minion, const DispatchMessage &message) const
{
    auto best = minion.grants.end();
    for (auto it = minion.grants.begin(); it != minion.grants.end(); ++it) {
        if (it->entry != message.entry || (it->shortOnly && !message.shortWork))
            continue;
        if (best == minion.grants.end() || it->shortOnly)
            best = it;
    }
    if (best == minion.grants.end())
        return false;
    minion.grants.erase(best);
    return true;
}

// Grants one slot to the next entry in round-robin order.
std::optional<SlotGrant> Admission::Private::grantNext(Minion &minion, core::Instant now) const
{
    if (!isAccepting(minion, now) || minion.freeSlots() == 0)
        return std::nullopt;
    const bool longFree = freeLongSlots(minion, now) > 0;
    const auto it =
        std::find_if(minion.demands.begin(), minion.demands.end(), [&](const Demand &demand) {
            return demand.shortSlots > 0 || (longFree && demand.longSlots > 0);
        });
    if (it == minion.demands.end())
        return std::nullopt;
    Demand demand = std::move(*it);
    minion.demands.erase(it);
    const bool shortOnly = demand.shortSlots > 0;
    --(shortOnly ? demand.shortSlots : demand.longSlots);
    minion.grants.push_back({demand.entry, shortOnly, now + GrantValidity});
    SlotGrant grant = {demand.entry, {}, 1, shortOnly ? 1 : 0, GrantValidity};
    if (demand.shortSlots + demand.longSlots > 0)
        minion.demands.push_back(std::move(demand));
    return grant;
}

Admission::Admission(AdmissionSettings settings, core::Instant startedAt)
    : d(std::make_unique<Private>(std::move(settings), startedAt))
{ }

Admission::~Admission() = default;

void Admission::setMinion(const core::MinionId &minion, const core::ServiceId &service, int slots)
{
    Minion &state = d->minions[minion];
    state.service = service;
    state.slots = slots;
}

void Admission::setDraining(const core::MinionId &minion, bool draining)
{
    const auto it = d->minions.find(minion);
    if (it != d->minions.end())
        it->second.draining = draining;
}

void Admission::setDraining(bool draining)
{
    d->draining = draining;
}

void Admission::configurationConfirmed(core::Instant now)
{
    d->confirmedAt = std::max(d->confirmedAt, now);
}

ResultCode Admission::start(const DispatchMessage &message, core::Instant now)
{
    const ResultCode code = d->check(message, now);
    if (code != ResultCode::Ok)
        return code;
    Minion &minion = d->minions[message.target.minion];
    Private::expire(minion, now);
    if (!(message.granted && d->consumeGrant(minion, message))) {
        const int free = message.shortWork ? minion.freeSlots() : d->freeLongSlots(minion, now);
        if (free == 0)
            return ResultCode::TargetBusy;
    }
    minion.running[message.id] = {message.target.minion, message.shortWork, now,
                                  message.expectedTime};
    d->minionByRequest[message.id] = message.target.minion;
    return ResultCode::Ok;
}

void Admission::release(const core::RequestId &id)
{
    const auto it = d->minionByRequest.find(id);
    if (it == d->minionByRequest.end())
        return;
    d->minions[it->second].running.erase(id);
    d->minionByRequest.erase(it);
}

void Admission::demand(const core::EntryId &entry, const core::MinionId &minion, int slots,
                       int shortSlots, core::Instant now)
{
    const auto it = d->minions.find(minion);
    if (it == d->minions.end())
        return;
    Minion &target = it->second;
    if (slots <= 0) {
        std::erase_if(target.demands, [&](const Demand &demand) { return demand.entry == entry; });
        std::erase_if(target.grants, [&](const Grant &grant) { return grant.entry == entry; });
        return;
    }
    const Demand wanted = {entry, slots - shortSlots, shortSlots, now + DemandValidity};
    const auto known = std::find_if(target.demands.begin(), target.demands.end(),
                                    [&](const Demand &demand) { return demand.entry == entry; });
    // An entry that repeats its demand keeps its position.
    if (known != target.demands.end())
        *known = wanted;
    else
        target.demands.push_back(wanted);
}

std::vector<SlotGrant> Admission::grant(core::Instant now)
{
    std::vector<SlotGrant> grants;
    for (auto &[id, minion] : d->minions) {
        Private::expire(minion, now);
        while (std::optional<SlotGrant> grant = d->grantNext(minion, now)) {
            grant->minion = id;
            grants.push_back(*std::move(grant));
        }
    }
    return grants;
}

TargetLoad Admission::load(const core::MinionId &minion, core::Instant now) const
{
    const auto it = d->minions.find(minion);
    if (it == d->minions.end())
        return {};
    TargetLoad load;
    load.freeSlots = it->second.freeSlots();
    load.freeShortSlots = load.freeSlots - d->freeLongSlots(it->second, now);
    for (const auto &[id, request] : it->second.running)
        load.expectedWork += detail::remainingTime(request.expectedTime, now - request.startedAt);
    return load;
}

int Admission::running(const core::MinionId &minion) const
{
    const auto it = d->minions.find(minion);
    return it == d->minions.end() ? 0 : static_cast<int>(it->second.running.size());
}

absl::Duration Admission::uptime(core::Instant now) const
{
    return now - d->startedAt;
}

const AdmissionSettings &Admission::settings() const
{
    return d->settings;
}

} // namespace oleandercross::dispatch
