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

platform::TaskStart startOf(const platform::TaskStatus &status)
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
    if (event.sentAt <= lastListSent)
        return;
    lastListSent = event.sentAt;
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
    findStrays(listing);
}

// Rebuilds the gangs whose tasks of this member are complete. The others are strays.
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
        HeldGang gang(identity, now);
        gang.adopted = true;
        for (const platform::TaskStatus &status : group.tasks)
            gang.tasks.push_back({startOf(status), status, true, false, sentAt});
        gang.machine.fire("commit");
        gangs.emplace(identity.key, std::move(gang));
    }
}

void Ledger::Private::on(const StartAnswered &event)
{
    for (auto &[key, gang] : gangs) {
        for (HeldTask &task : gang.tasks) {
            if (task.start.taskId != event.taskId || gang.ended())
                continue;
            if (event.outcome == CallOutcome::Done) {
                task.absentAfter = std::min(task.absentAfter, now);
                act(ListWorkerTasks{});
            } else if (event.outcome == CallOutcome::NotDone) {
                task.gone = true;
                stop(gang, "fail", TaskEvent::Kind::Failed,
                     {core::ResultCode::PlatformError, "the worker did not start the task"});
            }
        }
        if (gang.machine.is("stopping") && gang.allGone())
            finish(gang, "gone");
    }
}

void Ledger::Private::update(HeldGang &gang, const Listing &listing, core::Instant sentAt)
{
    for (HeldTask &task : gang.tasks) {
        const auto it = listing.find(task.start.taskId);
        if (it != listing.end()) {
            task.status = it->second;
            task.listed = true;
            task.gone = !isLive(task.status);
        } else if (sentAt > task.absentAfter) {
            task.gone = true;
        }
    }
    judgeTasks(gang, sentAt);
    if (gang.machine.is("stopping") && gang.allGone()) {
        finish(gang, "gone");
        notify(gang, TaskEvent::Kind::Stopped);
    }
}

void Ledger::Private::judgeTasks(HeldGang &gang, core::Instant sentAt)
{
    bool allLive = true;
    bool allSucceeded = true;
    for (const HeldTask &task : gang.tasks) {
        if (task.gone && !task.succeeded()) {
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

bool Ledger::Private::isHeld(const std::string &taskId) const
{
    for (const auto &[key, gang] : gangs) {
        for (const HeldTask &task : gang.tasks) {
            if (task.start.taskId == taskId)
                return !gang.ended();
        }
    }
    return false;
}

// Stops running tasks of gangs that are not in the ledger, such as starts that took effect late.
// Tasks that another system started are only counted.
void Ledger::Private::findStrays(const Listing &listing)
{
    strays.clear();
    std::vector<std::string> ended;
    for (const auto &[taskId, status] : listing) {
        if (isHeld(taskId))
            continue;
        const auto identity = parseTaskId(taskId);
        if (isLive(status)) {
            strays.push_back(status);
            if (identity)
                act(StopWorkerTask{taskId});
        } else if (identity && !gangs.contains(identity->key)) {
            ended.push_back(taskId);
        }
    }
    if (!ended.empty())
        act(ForgetWorkerTasks{ended});
}

} // namespace oleandercross::gang
