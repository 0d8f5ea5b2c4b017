#include "heldgang.h"

#include "watchgroups.h"

#include <algorithm>

namespace oleandercross::gang {

bool HeldTask::live() const
{
    return listed && !gone
        && (status.state == platform::TaskState::Running
            || status.state == platform::TaskState::Checkpointing);
}

bool HeldTask::succeeded() const
{
    return listed && status.state == platform::TaskState::Succeeded;
}

HeldGang::HeldGang(const TaskIdentity &identity, core::Instant reservedAt)
    : key(identity.key)
    , epoch(identity.epoch)
    , member(identity.member)
    , memberCount(identity.memberCount)
    , reservedAt(reservedAt)
{ }

bool HeldGang::active() const
{
    return machine.is("starting") || machine.is("running") || machine.is("finished");
}

bool HeldGang::holds(const HeldTask &task) const
{
    if (machine.is("stopping"))
        return !task.gone;
    return machine.is("reserved") || active();
}

bool HeldGang::allGone() const
{
    return std::all_of(tasks.begin(), tasks.end(), [](const auto &task) { return task.gone; });
}

bool HeldGang::allProven() const
{
    if (solo())
        return true;
    return !members.empty() && std::all_of(watched.begin(), watched.end(), [](const auto &entry) {
        return entry.second.proven;
    });
}

bool HeldGang::allFinished() const
{
    if (!machine.is("finished"))
        return false;
    if (solo())
        return true;
    return !members.empty() && std::all_of(watched.begin(), watched.end(), [](const auto &entry) {
        return entry.second.finished;
    });
}

core::Instant HeldGang::lastSign() const
{
    if (members.empty())
        return absl::InfinitePast();
    core::Instant oldest = absl::InfiniteFuture();
    for (const auto &[index, sign] : watched)
        oldest = std::min(oldest, sign.at);
    return oldest;
}

core::Instant HeldGang::leaseLimit(core::Instant now) const
{
    if (solo())
        return now + SoloLease;
    return std::min(lastSign(), now) + LeaseAfterSignOfLife;
}

MemberState HeldGang::state() const
{
    if (machine.is("reserved"))
        return MemberState::Reserved;
    if (machine.is("starting"))
        return MemberState::Starting;
    if (machine.is("running"))
        return MemberState::Running;
    if (machine.is("finished"))
        return MemberState::Finished;
    if (machine.is("completed"))
        return MemberState::Completed;
    return MemberState::Stopped;
}

WatchAnswer HeldGang::watchAnswer(core::Instant now) const
{
    WatchAnswer answer;
    answer.state = state();
    answer.membersWanted = active() && members.empty();
    if (!machine.is("running") && !machine.is("finished"))
        return answer;
    answer.evidenceAge = now - evidenceAt;
    if (members.empty())
        return answer;
    core::Instant oldest = evidenceAt;
    bool proven = true;
    bool finished = machine.is("finished");
    for (const auto &[index, sign] : watched) {
        if (sign.relayed)
            continue;
        oldest = std::min(oldest, sign.at);
        proven = proven && sign.proven;
        finished = finished && sign.finished;
    }
    if (!proven)
        return answer;
    answer.groupState = finished ? MemberState::Finished : MemberState::Running;
    answer.groupEvidenceAge = now - oldest;
    return answer;
}

void HeldGang::learnMembers(const std::vector<Peer> &all, core::Instant firstSign)
{
    members = all;
    watched.clear();
    const WatchGroups groups(memberCount);
    for (const int index : groups.watchedBy(member)) {
        PeerSign sign;
        sign.at = firstSign;
        sign.relayed = !groups.sameGroup(index, member);
        watched[index] = sign;
    }
}

std::vector<platform::TaskStatus> HeldGang::statuses() const
{
    std::vector<platform::TaskStatus> all;
    for (const HeldTask &task : tasks) {
        if (task.listed)
            all.push_back(task.status);
    }
    return all;
}

} // namespace oleandercross::gang
