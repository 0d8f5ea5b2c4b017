#include "ledger_p.h"

#include <absl/strings/str_cat.h>

#include <algorithm>

namespace oleandercross::gang {

namespace {

// Ended tasks stay listed by the worker for a while, so that a restarted agent can still tell slow
// peers that its part has finished.
constexpr absl::Duration ForgetDelay = absl::Seconds(10);
// Gangs that ended are remembered longer than any message is delayed.
constexpr absl::Duration EndedLifetime = absl::Seconds(60);

} // namespace

void Ledger::Private::on(const Watch &message)
{
    HeldGang *gang = find(message.key);
    if (gang == nullptr || gang->epoch != message.epoch) {
        result.watch.state = ready ? MemberState::Unknown : MemberState::NotReady;
        result.watch.membersWanted = !ready;
        return;
    }
    if (gang->active() && gang->members.empty() && checkMembers(*gang, message.members)) {
        // No sign of life yet: the tasks' leases are not renewed before all peers have answered.
        gang->learnMembers(message.members, absl::InfinitePast());
        poll(*gang);
    }
    result.watch = gang->watchAnswer(now);
}

void Ledger::Private::on(const PeerAnswered &event)
{
    HeldGang *gang = find(event.key);
    if (gang == nullptr || !gang->active())
        return;
    const auto member =
        std::find_if(gang->members.begin(), gang->members.end(),
                     [&event](const Peer &peer) { return peer.agent == event.peer; });
    const auto index = static_cast<int>(member - gang->members.begin());
    const auto it = gang->watched.find(index);
    if (it == gang->watched.end())
        return;
    PeerSign &sign = it->second;
    const WatchAnswer &answer = event.answer;
    sign.wantsMembers = answer.membersWanted;
    if (answer.state == MemberState::Unknown || answer.state == MemberState::Stopped) {
        return stop(*gang, "fail", TaskEvent::Kind::LostMember,
                    {core::ResultCode::JobLostMember,
                     absl::StrCat("member ", event.peer.str(), " does not run")});
    }
    if (answer.state == MemberState::Completed) {
        // All members had finished, this one included.
        for (auto &[other, known] : gang->watched) {
            known.proven = true;
            known.finished = true;
            known.at = std::max(known.at, event.sentAt);
        }
        return completeIfFinished(*gang);
    }
    const MemberState state = sign.relayed ? answer.groupState : answer.state;
    const absl::Duration age = sign.relayed ? answer.groupEvidenceAge : answer.evidenceAge;
    if (state != MemberState::Running && state != MemberState::Finished)
        return;
    sign.proven = true;
    sign.finished = sign.finished || state == MemberState::Finished;
    sign.at = std::max(sign.at, event.sentAt - std::max(age, absl::ZeroDuration()));
    completeIfFinished(*gang);
}

void Ledger::Private::completeIfFinished(HeldGang &gang)
{
    if (gang.allFinished())
        finish(gang, "peersFinished");
}

void Ledger::Private::on(const LedgerTick &)
{
    const bool watchDue = now >= nextWatch;
    for (auto &[key, gang] : gangs) {
        judge(gang);
        if (watchDue)
            watch(gang);
    }
    if (watchDue) {
        nextWatch = now + WatchPeriod;
        act(ListWorkerTasks{});
    }
    purge();
}

void Ledger::Private::judge(HeldGang &gang)
{
    const bool startOver = now >= gang.reservedAt + ReservationLifetime;
    if (gang.machine.is("reserved")) {
        if (startOver)
            finish(gang, "expire");
        return;
    }
    if (!gang.active())
        return;
    if (startOver && (gang.machine.is("starting") || !gang.allProven())) {
        return stop(gang, "fail", TaskEvent::Kind::LostMember,
                    {core::ResultCode::JobLostMember, "not all members started in time"});
    }
    if (!gang.solo())
        judgeSilence(gang);
}

void Ledger::Private::judgeSilence(HeldGang &gang)
{
    if (!gang.machine.is("starting") && now - gang.evidenceAt >= SilenceLimit) {
        return stop(gang, "fail", TaskEvent::Kind::LostMember,
                    {core::ResultCode::JobLostMember, "the own worker is silent"});
    }
    for (const auto &[index, sign] : gang.watched) {
        const absl::Duration limit = sign.relayed ? RelayedSilenceLimit : SilenceLimit;
        if (!sign.proven || now - sign.at < limit)
            continue;
        const std::string &agent = gang.members[static_cast<std::size_t>(index)].agent.str();
        return stop(
            gang, "fail", TaskEvent::Kind::LostMember,
            {core::ResultCode::JobLostMember, absl::StrCat("member ", agent, " is silent")});
    }
}

void Ledger::Private::watch(HeldGang &gang)
{
    if (gang.machine.is("stopping"))
        stopTasks(gang);
    if (!gang.active())
        return;
    renew(gang);
    poll(gang);
}

void Ledger::Private::renew(const HeldGang &gang)
{
    RenewTaskLeases renewal;
    renewal.until = gang.leaseLimit(now);
    for (const HeldTask &task : gang.tasks) {
        if (task.live())
            renewal.taskIds.push_back(task.start.taskId);
    }
    if (!renewal.taskIds.empty() && renewal.until > now)
        act(renewal);
}

void Ledger::Private::poll(HeldGang &gang)
{
    for (const auto &[index, sign] : gang.watched) {
        Watch message{gang.key, gang.epoch, settings.self.agent, {}};
        if (sign.wantsMembers)
            message.members = gang.members;
        act(PollPeer{gang.members[static_cast<std::size_t>(index)], std::move(message)});
    }
}

void Ledger::Private::purge()
{
    ForgetWorkerTasks forget;
    for (auto it = gangs.begin(); it != gangs.end();) {
        HeldGang &gang = it->second;
        if (gang.ended() && !gang.forgotten && now >= gang.endedAt + ForgetDelay) {
            for (const HeldTask &task : gang.tasks) {
                if (task.listed)
                    forget.taskIds.push_back(task.start.taskId);
            }
            gang.forgotten = true;
        }
        if (gang.ended() && now >= gang.endedAt + EndedLifetime)
            it = gangs.erase(it);
        else
            ++it;
    }
    if (!forget.taskIds.empty())
        act(forget);
}

} // namespace oleandercross::gang
