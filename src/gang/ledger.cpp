#include "ledger_p.h"

#include <absl/strings/str_cat.h>

#include <algorithm>

namespace oleandercross::gang {

namespace {

// A start whose result is unknown can take effect until then: the daemon starts the call within
// ReservationLifetime, and a call ends within a few seconds.
constexpr absl::Duration StartHold = absl::Seconds(10);

core::Resources sum(const std::vector<platform::TaskStart> &tasks)
{
    core::Resources total;
    for (const platform::TaskStart &task : tasks)
        total = total + task.resources;
    return total;
}

} // namespace

void Ledger::Private::refuse(core::ResultCode code, const std::string &message)
{
    result.answer.code = code;
    result.answer.message = message;
}

void Ledger::Private::notify(const HeldGang &gang, TaskEvent::Kind kind, core::Reason reason)
{
    act(SendTaskEvent{{gang.key, settings.self.agent, kind, std::move(reason), gang.statuses()}});
}

HeldGang *Ledger::Private::find(const GangKey &key)
{
    const auto it = gangs.find(key);
    return it == gangs.end() ? nullptr : &it->second;
}

bool Ledger::Private::acceptEpoch(Epoch offered)
{
    if (offered < epoch) {
        refuse(core::ResultCode::StaleEpoch,
               absl::StrCat("epoch ", offered, " is over, ", epoch, " is known here"));
        return false;
    }
    on(EpochLearned{offered});
    return true;
}

void Ledger::Private::on(const EpochLearned &event)
{
    if (event.epoch <= epoch)
        return;
    epoch = event.epoch;
    for (auto &[key, gang] : gangs) {
        if (gang.machine.is("reserved") && gang.epoch < epoch)
            finish(gang, "abort");
    }
}

bool Ledger::Private::acceptWork()
{
    if (!ready)
        refuse(core::ResultCode::NotReady, "the worker's tasks are not known yet");
    else if (draining)
        refuse(core::ResultCode::Draining, "the agent is draining");
    else if (gate != core::ResultCode::Ok)
        refuse(gate, "the agent takes no new work");
    return result.answer.code == core::ResultCode::Ok;
}

// All tasks must be those of one member of this gang, each with accelerators of its own.
bool Ledger::Private::checkTasks(const Reserve &message, TaskIdentity &identity)
{
    std::set<int> used;
    for (std::size_t i = 0; i < message.tasks.size(); ++i) {
        const platform::TaskStart &task = message.tasks[i];
        const auto parsed = parseTaskId(task.taskId);
        if (!parsed || parsed->key != message.key || parsed->epoch != message.epoch
            || parsed->task != static_cast<int>(i)
            || parsed->taskCount != static_cast<int>(message.tasks.size()))
            return false;
        if (i == 0)
            identity = *parsed;
        if (parsed->member != identity.member || parsed->memberCount != identity.memberCount)
            return false;
        for (const int index : task.accelerators) {
            if (index < 0 || index >= settings.total.accelerators || !used.insert(index).second)
                return false;
        }
        if (static_cast<int>(task.accelerators.size()) != task.resources.accelerators)
            return false;
        if (task.resources.cores < 0 || task.resources.memoryMb < 0)
            return false;
    }
    return !message.tasks.empty();
}

void Ledger::Private::on(const Reserve &message)
{
    if (!acceptEpoch(message.epoch) || !acceptWork())
        return;
    TaskIdentity identity;
    if (!checkTasks(message, identity))
        return refuse(core::ResultCode::BadField, "the reservation contradicts itself");
    if (HeldGang *held = find(message.key)) {
        if (!held->machine.is("reserved") || held->epoch != message.epoch)
            return refuse(core::ResultCode::ReservationExpired, "the attempt was started before");
        if (held->tasks.size() != message.tasks.size())
            return refuse(core::ResultCode::BadField, "the attempt was reserved with other tasks");
        for (std::size_t i = 0; i < message.tasks.size(); ++i) {
            if (held->tasks[i].start != message.tasks[i])
                return refuse(core::ResultCode::BadField,
                              "the attempt was reserved with other tasks");
        }
        // A repeated or delayed message must not extend a reservation.
        if (message.round > held->round) {
            held->round = message.round;
            held->reservedAt = now;
        }
        return;
    }
    const std::vector<int> unused = freeAccelerators();
    bool available = fits(sum(message.tasks), free());
    HeldGang gang(identity, now);
    gang.round = message.round;
    for (const platform::TaskStart &task : message.tasks) {
        for (const int index : task.accelerators)
            available = available && std::binary_search(unused.begin(), unused.end(), index);
        gang.tasks.emplace_back().start = task;
    }
    if (!available)
        return refuse(core::ResultCode::NoResources, "the resources are taken");
    gangs.emplace(message.key, std::move(gang));
}

// A late start of an earlier gang can appear after the reservation.
bool Ledger::Private::disturbed(const HeldGang &gang) const
{
    for (const HeldTask &task : gang.tasks) {
        for (const int index : task.start.accelerators) {
            const auto uses = [index](const platform::TaskStatus &stray) {
                const auto &used = stray.accelerators;
                return std::find(used.begin(), used.end(), index) != used.end();
            };
            if (std::any_of(strays.begin(), strays.end(), uses))
                return true;
        }
    }
    return false;
}

bool Ledger::Private::checkMembers(const HeldGang &gang, const std::vector<Peer> &members) const
{
    return static_cast<int>(members.size()) == gang.memberCount
        && members[gang.member].agent == settings.self.agent;
}

void Ledger::Private::on(const Commit &message)
{
    if (!acceptEpoch(message.epoch))
        return;
    if (message.incarnation != settings.incarnation)
        return refuse(core::ResultCode::StaleIncarnation, "the agent restarted");
    HeldGang *gang = find(message.key);
    if (gang != nullptr && gang->epoch == message.epoch
        && (gang->active() || gang->machine.is("completed")))
        return;
    if (!acceptWork())
        return;
    if (gang == nullptr || !gang->machine.is("reserved") || gang->epoch != message.epoch
        || now >= gang->reservedAt + ReservationLifetime)
        return refuse(core::ResultCode::ReservationExpired, "there is no such reservation");
    if (!checkMembers(*gang, message.members))
        return refuse(core::ResultCode::BadField, "the members contradict the reservation");
    if (disturbed(*gang))
        return refuse(core::ResultCode::NoResources, "a stray task uses a reserved accelerator");
    gang->learnMembers(message.members, gang->reservedAt);
    start(*gang);
}

void Ledger::Private::start(HeldGang &gang)
{
    gang.machine.fire("commit");
    const core::Instant notAfter = gang.reservedAt + ReservationLifetime;
    for (HeldTask &task : gang.tasks) {
        task.absentAfter = now + StartHold;
        act(StartWorkerTask{task.start, notAfter, gang.leaseLimit(now)});
    }
    poll(gang);
}

void Ledger::Private::stopByLeader(Epoch offered, const GangKey &key, const std::string &why)
{
    if (!acceptEpoch(offered))
        return;
    if (!ready)
        return refuse(core::ResultCode::NotReady, "the worker's tasks are not known yet");
    HeldGang *gang = find(key);
    if (gang == nullptr) {
        // Remembers the end, so that a delayed reservation is refused.
        TaskIdentity identity;
        identity.key = key;
        identity.epoch = offered;
        identity.memberCount = 1;
        HeldGang ended(identity, now);
        gang = &gangs.emplace(key, std::move(ended)).first->second;
    }
    if (gang->machine.is("reserved"))
        finish(*gang, "abort");
    else
        stop(*gang, "abort", TaskEvent::Kind::Stopped, {core::ResultCode::Cancelled, why});
    // The leader places other gangs here as soon as this one counts as stopped.
    if (!gang->ended() || hasStray(key))
        refuse(core::ResultCode::StillRunning, "the worker has not stopped the task yet");
}

bool Ledger::Private::hasStray(const GangKey &key) const
{
    return std::any_of(strays.begin(), strays.end(), [&key](const auto &stray) {
        const auto identity = parseTaskId(stray.taskId);
        return identity && identity->key == key;
    });
}

// Stops a member that was committed. Its resources stay held until the tasks are gone.
void Ledger::Private::stop(HeldGang &gang, const char *event, TaskEvent::Kind kind,
                           core::Reason reason)
{
    if (!gang.machine.fire(event))
        return;
    notify(gang, kind, std::move(reason));
    stopTasks(gang);
    act(ListWorkerTasks{});
}

void Ledger::Private::stopTasks(const HeldGang &gang)
{
    for (const HeldTask &task : gang.tasks) {
        if (!task.gone)
            act(StopWorkerTask{task.start.taskId});
    }
}

void Ledger::Private::finish(HeldGang &gang, const char *event)
{
    if (gang.machine.fire(event))
        gang.endedAt = now;
}

void Ledger::Private::on(const CheckpointTask &message)
{
    if (!acceptEpoch(message.epoch))
        return;
    HeldGang *gang = find(message.key);
    if (gang == nullptr || !gang->active())
        return refuse(core::ResultCode::UnknownJob, "the gang does not run here");
    for (const HeldTask &task : gang->tasks)
        act(CheckpointWorkerTask{task.start.taskId});
}

void Ledger::Private::on(const ThrottleTask &message)
{
    if (!acceptEpoch(message.epoch))
        return;
    if (message.share <= 0 || message.share > 1)
        return refuse(core::ResultCode::BadField, "the share must be above 0 and at most 1");
    HeldGang *gang = find(message.key);
    if (gang == nullptr || !gang->active())
        return refuse(core::ResultCode::UnknownJob, "the gang does not run here");
    for (const HeldTask &task : gang->tasks)
        act(ThrottleWorkerTask{task.start.taskId, message.share});
}

void Ledger::Private::on(const ReportRequest &message)
{
    if (acceptEpoch(message.epoch) && !ready)
        refuse(core::ResultCode::NotReady, "the worker's tasks are not known yet");
}

void Ledger::Private::on(const BeginDrain &)
{
    if (draining)
        return;
    draining = true;
    for (auto &[key, gang] : gangs) {
        if (gang.machine.is("reserved"))
            finish(gang, "abort");
        for (const HeldTask &task : gang.tasks) {
            if (task.live())
                act(CheckpointWorkerTask{task.start.taskId});
        }
    }
}

std::vector<int> Ledger::Private::freeAccelerators() const
{
    std::vector<bool> taken(static_cast<std::size_t>(settings.total.accelerators));
    const auto take = [&taken](const std::vector<int> &indices) {
        for (const int index : indices) {
            if (index >= 0 && index < static_cast<int>(taken.size()))
                taken[static_cast<std::size_t>(index)] = true;
        }
    };
    for (const auto &[key, gang] : gangs) {
        for (const HeldTask &task : gang.tasks) {
            if (gang.holds(task))
                take(task.start.accelerators);
        }
    }
    for (const platform::TaskStatus &stray : strays)
        take(stray.accelerators);
    std::vector<int> unused;
    for (int index = 0; index < settings.total.accelerators; ++index) {
        if (!taken[static_cast<std::size_t>(index)])
            unused.push_back(index);
    }
    return unused;
}

core::Resources Ledger::Private::free() const
{
    core::Resources left = settings.total;
    for (const auto &[key, gang] : gangs) {
        for (const HeldTask &task : gang.tasks) {
            if (gang.holds(task))
                left = left - task.start.resources;
        }
    }
    left.accelerators = static_cast<int>(freeAccelerators().size());
    for (const platform::TaskStatus &stray : strays) {
        left.cores -= stray.declared.cores;
        left.memoryMb -= stray.declared.memoryMb;
        if (stray.accelerators.empty())
            left.accelerators -= stray.declared.accelerators;
    }
    return left;
}

LedgerReport Ledger::Private::report() const
{
    LedgerReport report;
    report.incarnation = settings.incarnation;
    report.epoch = epoch;
    report.total = settings.total;
    report.free = free();
    report.freeAccelerators = freeAccelerators();
    report.draining = draining;
    for (const auto &[key, gang] : gangs)
        report.gangs.push_back({key, gang.epoch, gang.state(), gang.members, gang.statuses()});
    return report;
}

bool Ledger::Private::drained() const
{
    return draining && std::all_of(gangs.begin(), gangs.end(), [](const auto &entry) {
               return entry.second.ended();
           });
}

Ledger::Ledger(LedgerSettings settings)
    : d(std::make_unique<Private>(std::move(settings)))
{ }

Ledger::~Ledger() = default;
Ledger::Ledger(Ledger &&) noexcept = default;
Ledger &Ledger::operator=(Ledger &&) noexcept = default;

LedgerResult Ledger::apply(const LedgerEvent &event, core::Instant now)
{
    d->now = now;
    d->result = {};
    std::visit([this](const auto &concrete) { d->on(concrete); }, event);
    d->result.answer.incarnation = d->settings.incarnation;
    d->result.answer.epoch = d->epoch;
    return std::move(d->result);
}

LedgerReport Ledger::report() const
{
    return d->report();
}

bool Ledger::ready() const
{
    return d->ready;
}

bool Ledger::draining() const
{
    return d->draining;
}

bool Ledger::drained() const
{
    return d->drained();
}

Epoch Ledger::epoch() const
{
    return d->epoch;
}

core::Resources Ledger::free() const
{
    return d->free();
}

std::vector<int> Ledger::freeAccelerators() const
{
    return d->freeAccelerators();
}

} // namespace oleandercross::gang
