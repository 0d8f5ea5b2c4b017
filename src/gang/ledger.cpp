#include "ledger_p.h"

#include <absl/strings/str_cat.h>

#include <algorithm>

namespace oleandercross::gang {

namespace {

// Time after the commit in which a start with an unknown result may still take effect. The daemon
// makes the call within ReservationLifetime, and a call ends within a few seconds.
constexpr absl::Duration LateStartWindow = absl::Seconds(10);

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

void Ledger::Private::notify(const LedgerGang &gang, TaskEvent::Kind kind, core::Reason reason)
{
    emit(SendTaskEvent{{gang.key, settings.self.agent, kind, std::move(reason), gang.statuses()}});
}

LedgerGang *Ledger::Private::find(const GangKey &key)
{
    const auto it = gangs.find(key);
    return it == gangs.end() ? nullptr : &it->second;
}

bool Ledger::Private::acceptEpoch(Epoch offered)
{
    if (offered < epoch) {
        refuse(core::ResultCode::StaleEpoch,
               absl::StrCat("epoch ", offered, " is stale, ", epoch, " is the current epoch"));
        return false;
    }
    on(EpochObserved{offered});
    return true;
}

void Ledger::Private::on(const EpochObserved &event)
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
        refuse(core::ResultCode::NotReady, "the worker's task list has not been received yet");
    else if (draining)
        refuse(core::ResultCode::Draining, "the agent is draining");
    else if (admissionCode != core::ResultCode::Ok)
        refuse(admissionCode, "the agent does not accept new work");
    return result.answer.code == core::ResultCode::Ok;
}

// Returns true if all tasks belong to one member of this gang and share no accelerators.
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
        return refuse(core::ResultCode::BadField, "the reservation is inconsistent");
    if (LedgerGang *existing = find(message.key)) {
        if (!existing->machine.is("reserved") || existing->epoch != message.epoch)
            return refuse(core::ResultCode::ReservationExpired,
                          "the attempt is no longer reserved in this epoch");
        if (existing->tasks.size() != message.tasks.size())
            return refuse(core::ResultCode::BadField,
                          "the attempt was already reserved with different tasks");
        for (std::size_t i = 0; i < message.tasks.size(); ++i) {
            if (existing->tasks[i].start != message.tasks[i])
                return refuse(core::ResultCode::BadField,
                              "the attempt was already reserved with different tasks");
        }
        // A repeated or delayed message must not extend the reservation.
        if (message.round > existing->round) {
            existing->round = message.round;
            existing->reservedAt = now;
        }
        return;
    }
    const std::vector<int> unused = freeAccelerators();
    bool available = fits(sum(message.tasks), free());
    LedgerGang gang(identity, now);
    gang.round = message.round;
    for (const platform::TaskStart &task : message.tasks) {
        for (const int index : task.accelerators)
            available = available && std::binary_search(unused.begin(), unused.end(), index);
        gang.tasks.emplace_back().start = task;
    }
    if (!available)
        return refuse(core::ResultCode::NoResources, "the resources are in use or reserved");
    gangs.emplace(message.key, std::move(gang));
}

// Returns true if an orphaned task uses a reserved accelerator. A late start of an earlier gang may
// appear after the reservation.
bool Ledger::Private::conflictsWithOrphan(const LedgerGang &gang) const
{
    for (const LedgerTask &task : gang.tasks) {
        for (const int index : task.start.accelerators) {
            const auto uses = [index](const platform::TaskStatus &orphan) {
                const auto &used = orphan.accelerators;
                return std::find(used.begin(), used.end(), index) != used.end();
            };
            if (std::any_of(orphans.begin(), orphans.end(), uses))
                return true;
        }
    }
    return false;
}

bool Ledger::Private::checkMembers(const LedgerGang &gang, const std::vector<Peer> &members) const
{
    return static_cast<int>(members.size()) == gang.memberCount
        && members[gang.member].agent == settings.self.agent;
}

void Ledger::Private::on(const Commit &message)
{
    if (!acceptEpoch(message.epoch))
        return;
    if (message.incarnation != settings.incarnation)
        return refuse(core::ResultCode::StaleIncarnation,
                      "the agent restarted after the reservation");
    LedgerGang *gang = find(message.key);
    if (gang != nullptr && gang->epoch == message.epoch
        && (gang->active() || gang->machine.is("completed")))
        return;
    if (!acceptWork())
        return;
    if (gang == nullptr || !gang->machine.is("reserved") || gang->epoch != message.epoch
        || now >= gang->reservedAt + ReservationLifetime)
        return refuse(core::ResultCode::ReservationExpired,
                      "the reservation does not exist or has expired");
    if (!checkMembers(*gang, message.members))
        return refuse(core::ResultCode::BadField, "the members do not match the reservation");
    if (conflictsWithOrphan(*gang))
        return refuse(core::ResultCode::NoResources,
                      "an orphaned task uses a reserved accelerator");
    gang->setMembers(message.members, gang->reservedAt);
    start(*gang);
}

void Ledger::Private::start(LedgerGang &gang)
{
    gang.machine.fire("commit");
    const core::Instant notAfter = gang.reservedAt + ReservationLifetime;
    for (LedgerTask &task : gang.tasks) {
        task.absenceConclusiveAfter = now + LateStartWindow;
        emit(StartWorkerTask{task.start, notAfter, gang.leaseDeadline(now)});
    }
    pollPeers(gang);
}

void Ledger::Private::stopByLeader(Epoch offered, const GangKey &key, const std::string &why)
{
    if (!acceptEpoch(offered))
        return;
    if (!ready)
        return refuse(core::ResultCode::NotReady,
                      "the worker's task list has not been received yet");
    LedgerGang *gang = find(key);
    if (gang == nullptr) {
        // Records the end of the gang, so that a delayed reservation is refused.
        TaskIdentity identity;
        identity.key = key;
        identity.epoch = offered;
        identity.memberCount = 1;
        LedgerGang ended(identity, now);
        gang = &gangs.emplace(key, std::move(ended)).first->second;
    }
    if (gang->machine.is("reserved"))
        finish(*gang, "abort");
    else
        stop(*gang, "abort", TaskEvent::Kind::Stopped, {core::ResultCode::Cancelled, why});
    // The leader may place other gangs on this worker as soon as it receives Ok.
    if (!gang->ended() || hasOrphan(key))
        refuse(core::ResultCode::StillRunning, "the worker has not stopped the task yet");
}

bool Ledger::Private::hasOrphan(const GangKey &key) const
{
    return std::any_of(orphans.begin(), orphans.end(), [&key](const auto &orphan) {
        const auto identity = parseTaskId(orphan.taskId);
        return identity && identity->key == key;
    });
}

// Stops a committed member. Its resources stay in use until the tasks have terminated.
void Ledger::Private::stop(LedgerGang &gang, const char *event, TaskEvent::Kind kind,
                           core::Reason reason)
{
    if (!gang.machine.fire(event))
        return;
    notify(gang, kind, std::move(reason));
    stopTasks(gang);
    emit(ListWorkerTasks{});
}

void Ledger::Private::stopTasks(const LedgerGang &gang)
{
    for (const LedgerTask &task : gang.tasks) {
        if (!task.terminated)
            emit(StopWorkerTask{task.start.taskId});
    }
}

void Ledger::Private::finish(LedgerGang &gang, const char *event)
{
    if (gang.machine.fire(event))
        gang.endedAt = now;
}

void Ledger::Private::on(const CheckpointTask &message)
{
    if (!acceptEpoch(message.epoch))
        return;
    LedgerGang *gang = find(message.key);
    if (gang == nullptr || !gang->active())
        return refuse(core::ResultCode::UnknownJob, "the gang does not run on this agent");
    for (const LedgerTask &task : gang->tasks)
        emit(CheckpointWorkerTask{task.start.taskId});
}

void Ledger::Private::on(const ThrottleTask &message)
{
    if (!acceptEpoch(message.epoch))
        return;
    if (message.share <= 0 || message.share > 1)
        return refuse(core::ResultCode::BadField, "the share must be above 0 and at most 1");
    LedgerGang *gang = find(message.key);
    if (gang == nullptr || !gang->active())
        return refuse(core::ResultCode::UnknownJob, "the gang does not run on this agent");
    for (const LedgerTask &task : gang->tasks)
        emit(ThrottleWorkerTask{task.start.taskId, message.share});
}

void Ledger::Private::on(const ReportRequest &message)
{
    if (acceptEpoch(message.epoch) && !ready)
        refuse(core::ResultCode::NotReady, "the worker's task list has not been received yet");
}

void Ledger::Private::on(const BeginDrain &)
{
    if (draining)
        return;
    draining = true;
    for (auto &[key, gang] : gangs) {
        if (gang.machine.is("reserved"))
            finish(gang, "abort");
        for (const LedgerTask &task : gang.tasks) {
            if (task.live())
                emit(CheckpointWorkerTask{task.start.taskId});
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
        for (const LedgerTask &task : gang.tasks) {
            if (gang.holdsResources(task))
                take(task.start.accelerators);
        }
    }
    for (const platform::TaskStatus &orphan : orphans)
        take(orphan.accelerators);
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
        for (const LedgerTask &task : gang.tasks) {
            if (gang.holdsResources(task))
                left = left - task.start.resources;
        }
    }
    left.accelerators = static_cast<int>(freeAccelerators().size());
    for (const platform::TaskStatus &orphan : orphans) {
        left.cores -= orphan.declared.cores;
        left.memoryMb -= orphan.declared.memoryMb;
        if (orphan.accelerators.empty())
            left.accelerators -= orphan.declared.accelerators;
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
