#include "ledger_p.h"

#include <absl/strings/str_cat.h>

#include <algorithm>

namespace oleandercross::gang {

namespace {

bool isLive(const platform::TaskStatus &status)
{
    return status.state == platform::TaskState::Running
        || status.state == platform::TaskState::Checkpointing;
}

bool isLiveOrSucceeded(const platform::TaskStatus &status)
{
    return isLive(status) || status.state == platform::TaskState::Succeeded;
}

platform::TaskStart taskStartOf(const platform::TaskStatus &status)
{
    platform::TaskStart start;
    start.taskId = status.taskId;
    start.job = status.job;
    start.resources = status.declared;
    start.accelerators = status.accelerators;
    return start;
}

} // namespace

void Ledger::Private::on(const TasksListed &event)
{
    if (event.sentAt <= lastListingSentAt)
        return;
    lastListingSentAt = event.sentAt;
    Listing listing;
    for (const platform::TaskStatus &status : event.tasks)
        listing[status.taskId] = status;
    if (!ready) {
        adopt(listing, event.sentAt);
        ready = true;
    }
    for (auto &[key, gang] : gangs) {
        if (gang.active() || gang.machine.is("stopping"))
            update(gang, listing, event.sentAt);
    }
    findOrphans(listing);
}

// Rebuilds the gangs of which all tasks of this member are listed. Other tasks are orphans.
void Ledger::Private::adopt(const Listing &listing, core::Instant sentAt)
{
    struct Group
    {
        TaskIdentity identity;
        std::vector<platform::TaskStatus> tasks;
    };
    absl::btree_map<std::pair<GangKey, Epoch>, Group> groups;
    for (const auto &[taskId, status] : listing) {
        const auto identity = parseTaskId(taskId);
        if (!identity || !isLiveOrSucceeded(status))
            continue;
        epoch = std::max(epoch, identity->epoch);
        Group &group = groups[{identity->key, identity->epoch}];
        group.identity = *identity;
        group.tasks.push_back(status);
    }
    for (const auto &[key, group] : groups) {
        const TaskIdentity &identity = group.identity;
        if (static_cast<int>(group.tasks.size()) != identity.taskCount)
            continue;
        LedgerGang gang(identity, now);
        gang.adopted = true;
        for (const platform::TaskStatus &status : group.tasks)
            gang.tasks.push_back({taskStartOf(status), status, true, false, sentAt});
        gang.machine.fire("commit");
        gangs.emplace(identity.key, std::move(gang));
    }
}

void Ledger::Private::on(const StartAnswered &event)
{
    for (auto &[key, gang] : gangs) {
        for (LedgerTask &task : gang.tasks) {
            if (task.start.taskId != event.taskId || gang.ended())
                continue;
            if (event.outcome == CallOutcome::Done) {
                task.absenceConclusiveAfter = std::min(task.absenceConclusiveAfter, now);
                emit(ListWorkerTasks{});
            } else if (event.outcome == CallOutcome::NotDone) {
                task.terminated = true;
                stop(gang, "fail", TaskEvent::Kind::Failed,
                     {core::ResultCode::PlatformError, "the worker did not start the task"});
            }
        }
        if (gang.machine.is("stopping") && gang.allTerminated())
            finish(gang, "gone");
    }
}

void Ledger::Private::update(LedgerGang &gang, const Listing &listing, core::Instant sentAt)
{
    for (LedgerTask &task : gang.tasks) {
        const auto it = listing.find(task.start.taskId);
        if (it != listing.end()) {
            task.status = it->second;
            task.listed = true;
            task.terminated = !isLive(task.status);
        } else if (sentAt > task.absenceConclusiveAfter) {
            task.terminated = true;
        }
    }
    evaluateTasks(gang, sentAt);
    if (gang.machine.is("stopping") && gang.allTerminated()) {
        finish(gang, "gone");
        notify(gang, TaskEvent::Kind::Stopped);
    }
}

void Ledger::Private::evaluateTasks(LedgerGang &gang, core::Instant sentAt)
{
    bool allLive = true;
    bool allSucceeded = true;
    for (const LedgerTask &task : gang.tasks) {
        if (task.terminated && !task.succeeded()) {
            const std::string message =
                task.listed ? task.status.message : "the worker lost the task";
            const core::Reason reason{core::ResultCode::JobFailed,
                                      absl::StrCat(task.start.taskId, ": ", message)};
            return stop(gang, "fail", TaskEvent::Kind::Failed, reason);
        }
        allLive = allLive && (task.live() || task.succeeded());
        allSucceeded = allSucceeded && task.succeeded();
    }
    if (!allLive || gang.machine.is("stopping"))
        return;
    gang.evidenceAt = sentAt;
    if (allSucceeded && gang.machine.fire("succeeded"))
        notify(gang, TaskEvent::Kind::Finished);
    else if (!allSucceeded && gang.machine.fire("running") && !gang.adopted)
        notify(gang, TaskEvent::Kind::Started);
    completeIfFinished(gang);
}

bool Ledger::Private::belongsToGang(const std::string &taskId) const
{
    for (const auto &[key, gang] : gangs) {
        for (const LedgerTask &task : gang.tasks) {
            if (task.start.taskId == taskId)
                return !gang.ended();
        }
    }
    return false;
}

// Records running tasks that belong to no gang in the ledger, such as starts that took effect late,
// and stops them. Tasks that another system started are not stopped; they only use resources.
void Ledger::Private::findOrphans(const Listing &listing)
{
    orphans.clear();
    std::vector<std::string> ended;
    for (const auto &[taskId, status] : listing) {
        if (belongsToGang(taskId))
            continue;
        const auto identity = parseTaskId(taskId);
        if (isLive(status)) {
            orphans.push_back(status);
            if (identity)
                emit(StopWorkerTask{taskId});
        } else if (identity && !gangs.contains(identity->key)) {
            ended.push_back(taskId);
        }
    }
    if (!ended.empty())
        emit(ForgetWorkerTasks{ended});
}

} // namespace oleandercross::gang
