#include <oleandercross/dispatch/admission.h>

#include <absl/container/btree_map.h>
#include <absl/container/flat_hash_map.h>

#include <algorithm>

namespace oleandercross::dispatch {

namespace {

using core::ResultCode;

struct Minion
{
    core::ServiceId service;
    int slots = 0;
    bool draining = false;
    int running = 0;
    // Requests not classified as short.
    int longRunning = 0;
};

struct RunningRequest
{
    core::MinionId minion;
    bool shortWork = true;
    core::Instant started;
    absl::Duration expectedTime;
};

} // namespace

class Admission::Private
{
public:
    Private(AdmissionSettings settings, core::Instant started)
        : settings(std::move(settings))
        , started(started)
    { }

    ResultCode check(const DispatchMessage &message, core::Instant now) const;
    int longLimit(const Minion &minion) const;

    AdmissionSettings settings;
    core::Instant started;
    core::Instant confirmed = absl::InfinitePast();
    bool draining = false;
    absl::btree_map<core::MinionId, Minion> minions;
    absl::flat_hash_map<core::RequestId, RunningRequest> requests;
};

int Admission::Private::longLimit(const Minion &minion) const
{
    // A minion with few slots keeps at least one for either kind.
    return std::max(1, minion.slots - settings.shortSlots);
}

ResultCode Admission::Private::check(const DispatchMessage &message, core::Instant now) const
{
    if (message.target.agent != settings.agent
        || message.target.incarnation != settings.incarnation)
        return ResultCode::StaleIncarnation;
    const auto it = minions.find(message.target.minion);
    if (it == minions.end() || it->second.service != message.service)
        return ResultCode::NoTarget;
    const Minion &minion = it->second;
    if (draining || minion.draining)
        return ResultCode::Draining;
    if (now - confirmed > settings.configurationLimit)
        return ResultCode::StaleConfiguration;
    if (now - started - message.agentUptime > settings.maxMessageAge)
        return ResultCode::DeadlineExpired;
    if (message.timeLeft <= absl::ZeroDuration())
        return ResultCode::DeadlineExpired;
    if (minion.running >= minion.slots)
        return ResultCode::TargetBusy;
    if (!message.shortWork && minion.longRunning >= longLimit(minion))
        return ResultCode::TargetBusy;
    return ResultCode::Ok;
}

Admission::Admission(AdmissionSettings settings, core::Instant started)
    : d(std::make_unique<Private>(std::move(settings), started))
{ }

Admission::~Admission() = default;

void Admission::setMinion(const core::MinionId &minion, const core::ServiceId &service, int slots)
{
    Minion &entry = d->minions[minion];
    entry.service = service;
    entry.slots = slots;
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
    d->confirmed = std::max(d->confirmed, now);
}

ResultCode Admission::start(const DispatchMessage &message, core::Instant now)
{
    const ResultCode code = d->check(message, now);
    if (code != ResultCode::Ok)
        return code;
    Minion &minion = d->minions[message.target.minion];
    ++minion.running;
    minion.longRunning += message.shortWork ? 0 : 1;
    d->requests[message.id] = {message.target.minion, message.shortWork, now, message.expectedTime};
    return ResultCode::Ok;
}

void Admission::release(const core::RequestId &id, core::Instant now)
{
    (void)now;
    const auto it = d->requests.find(id);
    if (it == d->requests.end())
        return;
    Minion &minion = d->minions[it->second.minion];
    --minion.running;
    minion.longRunning -= it->second.shortWork ? 0 : 1;
    d->requests.erase(it);
}

void Admission::demand(const core::EntryId &, const core::MinionId &, int, int, core::Instant) { }

std::vector<SlotGrant> Admission::grant(core::Instant)
{
    return {};
}

TargetLoad Admission::load(const core::MinionId &minion, core::Instant now) const
{
    const auto it = d->minions.find(minion);
    if (it == d->minions.end())
        return {};
    const Minion &entry = it->second;
    TargetLoad load;
    load.freeSlots = std::max(0, entry.slots - entry.running);
    const int freeLong = std::max(0, d->longLimit(entry) - entry.longRunning);
    load.freeShortSlots = std::max(0, load.freeSlots - freeLong);
    for (const auto &[id, request] : d->requests) {
        if (request.minion == minion)
            load.expectedWork +=
                std::max(absl::ZeroDuration(), request.started + request.expectedTime - now);
    }
    return load;
}

int Admission::running(const core::MinionId &minion) const
{
    const auto it = d->minions.find(minion);
    return it == d->minions.end() ? 0 : it->second.running;
}

absl::Duration Admission::uptime(core::Instant now) const
{
    return now - d->started;
}

const AdmissionSettings &Admission::settings() const
{
    return d->settings;
}

} // namespace oleandercross::dispatch
