#include "ledgergang.h"

#include "watchgroups.h"

#include <algorithm>

namespace oleandercross::gang {

bool LedgerTask::live() const
{
    return listed && !terminated
        && (status.state == platform::TaskState::Running
            || status.state == platform::TaskState::Checkpointing);
}

bool LedgerTask::succeeded() const
{
    return listed && status.state == platform::TaskState::Succeeded;
}

LedgerGang::LedgerGang(const TaskIdentity &identity, core::Instant reservedAt)
    : key(identity.key)
    , epoch(identity.epoch)
    , member(identity.member)
    , memberCount(identity.memberCount)
    , reservedAt(reservedAt)
{ }

bool LedgerGang::active() const
{
    return machine.is("starting") || machine.is("running") || machine.is("finished");
}

bool LedgerGang::holdsResources(const LedgerTask &task) const
{
    if (machine.is("stopping"))
        return !task.terminated;
    return machine.is("reserved") || active();
}

bool LedgerGang::allTerminated() const
{
    return std::all_of(tasks.begin(), tasks.end(),
                       [](const auto &task) { return task.terminated; });
}

bool LedgerGang::allProven() const
{
    if (isSingleMember())
        return true;
    return !members.empty() && std::all_of(watched.begin(), watched.end(), [](const auto &entry) {
        return entry.second.proven;
    });
}

bool LedgerGang::allFinished() const
{
    if (!machine.is("finished"))
        return false;
    if (isSingleMember())
        return true;
    return !members.empty() && std::all_of(watched.begin(), watched.end(), [](const auto &entry) {
        return entry.second.finished;
    });
}

core::Instant LedgerGang::oldestEvidenceAt() const
{
    if (members.empty())
        return absl::InfinitePast();
    core::Instant oldest = absl::InfiniteFuture();
    for (const auto &[index, evidence] : watched)
        oldest = std::min(oldest, evidence.at);
    return oldest;
}

core::Instant LedgerGang::leaseDeadline(core::Instant now) const
{
    if (isSingleMember())
        return now + SingleMemberLease;
    return std::min(oldestEvidenceAt(), now) + LeaseAfterEvidence;
}

MemberState LedgerGang::state() const
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

WatchAnswer LedgerGang::watchAnswer(core::Instant now) const
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
    for (const auto &[index, evidence] : watched) {
        if (evidence.relayed)
            continue;
        oldest = std::min(oldest, evidence.at);
        proven = proven && evidence.proven;
        finished = finished && evidence.finished;
    }
    if (!proven)
        return answer;
    answer.groupState = finished ? MemberState::Finished : MemberState::Running;
    answer.groupEvidenceAge = now - oldest;
    return answer;
}

void LedgerGang::setMembers(const std::vector<Peer> &all, core::Instant initialEvidenceAt)
{
    members = all;
    watched.clear();
    const WatchGroups groups(memberCount);
    for (const int index : groups.watchedBy(member)) {
        PeerEvidence evidence;
        evidence.at = initialEvidenceAt;
        evidence.relayed = !groups.sameGroup(index, member);
        watched[index] = evidence;
    }
}

std::vector<platform::TaskStatus> LedgerGang::statuses() const
{
    std::vector<platform::TaskStatus> all;
    for (const LedgerTask &task : tasks) {
        if (task.listed)
            all.push_back(task.status);
    }
    return all;
}

} // namespace oleandercross::gang
