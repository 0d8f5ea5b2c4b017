#include "ledger_p.h"

#include <absl/strings/str_cat.h>

#include <algorithm>

namespace oleandercross::gang {

namespace {

// How long the worker keeps the records of ended tasks. A restarted agent can then still report to
// slow peers that its member has finished.
constexpr absl::Duration EndedTaskRetention = absl::Seconds(10);
// How long ended gangs are kept. Longer than any message can be delayed.
constexpr absl::Duration EndedGangRetention = absl::Seconds(60);

} // namespace

void Ledger::Private::on(const Watch &message)
{
    LedgerGang *gang = find(message.key);
    if (gang == nullptr || gang->epoch != message.epoch) {
        result.watch.state = ready ? MemberState::Unknown : MemberState::NotReady;
        result.watch.membersWanted = !ready;
        return;
    }
    if (gang->active() && gang->members.empty() && checkMembers(*gang, message.members)) {
        // There is no evidence yet: leases are renewed only after all peers have answered.
        gang->setMembers(message.members, absl::InfinitePast());
        pollPeers(*gang);
    }
    result.watch = gang->watchAnswer(now);
}

void Ledger::Private::on(const PeerAnswered &event)
{
    LedgerGang *gang = find(event.key);
    if (gang == nullptr || !gang->active())
        return;
    const auto member =
        std::find_if(gang->members.begin(), gang->members.end(),
                     [&event](const Peer &peer) { return peer.agent == event.peer; });
    const auto index = static_cast<int>(member - gang->members.begin());
    const auto it = gang->watched.find(index);
    if (it == gang->watched.end())
        return;
    PeerEvidence &evidence = it->second;
    const WatchAnswer &answer = event.answer;
    evidence.wantsMembers = answer.membersWanted;
    if (answer.state == MemberState::Unknown || answer.state == MemberState::Stopped) {
        return stop(*gang, "fail", TaskEvent::Kind::LostMember,
                    {core::ResultCode::JobLostMember,
                     absl::StrCat("member ", event.peer.str(), " is not running")});
    }
    if (answer.state == MemberState::Completed) {
        // All members have finished, including this one.
        for (auto &[other, peerEvidence] : gang->watched) {
            peerEvidence.proven = true;
            peerEvidence.finished = true;
            peerEvidence.at = std::max(peerEvidence.at, event.sentAt);
        }
        return completeIfFinished(*gang);
    }
    const MemberState state = evidence.relayed ? answer.groupState : answer.state;
    const absl::Duration age = evidence.relayed ? answer.groupEvidenceAge : answer.evidenceAge;
    if (state != MemberState::Running && state != MemberState::Finished)
        return;
    evidence.proven = true;
    evidence.finished = evidence.finished || state == MemberState::Finished;
    evidence.at = std::max(evidence.at, event.sentAt - std::max(age, absl::ZeroDuration()));
    completeIfFinished(*gang);
}

void Ledger::Private::completeIfFinished(LedgerGang &gang)
{
    if (gang.allFinished())
        finish(gang, "peersFinished");
}

void Ledger::Private::on(const LedgerTick &)
{
    const bool watchDue = now >= nextWatchAt;
    for (auto &[key, gang] : gangs) {
        checkDeadlines(gang);
        if (watchDue)
            runWatchCycle(gang);
    }
    if (watchDue) {
        nextWatchAt = now + WatchPeriod;
        emit(ListWorkerTasks{});
    }
    purgeEnded();
}

void Ledger::Private::checkDeadlines(LedgerGang &gang)
{
    const bool startTimedOut = now >= gang.reservedAt + ReservationLifetime;
    if (gang.machine.is("reserved")) {
        if (startTimedOut)
            finish(gang, "expire");
        return;
    }
    if (!gang.active())
        return;
    if (startTimedOut && (gang.machine.is("starting") || !gang.allProven())) {
        return stop(gang, "fail", TaskEvent::Kind::LostMember,
                    {core::ResultCode::JobLostMember, "not all members started in time"});
    }
    if (!gang.isSingleMember())
        checkLiveness(gang);
}

void Ledger::Private::checkLiveness(LedgerGang &gang)
{
    if (!gang.machine.is("starting") && now - gang.evidenceAt >= LivenessTimeout) {
        return stop(
            gang, "fail", TaskEvent::Kind::LostMember,
            {core::ResultCode::JobLostMember, "this agent's worker has stopped responding"});
    }
    for (const auto &[index, evidence] : gang.watched) {
        const absl::Duration limit = evidence.relayed ? RelayedLivenessTimeout : LivenessTimeout;
        if (!evidence.proven || now - evidence.at < limit)
            continue;
        const std::string &agent = gang.members[static_cast<std::size_t>(index)].agent.str();
        return stop(gang, "fail", TaskEvent::Kind::LostMember,
                    {core::ResultCode::JobLostMember,
                     absl::StrCat("member ", agent, " has stopped responding")});
    }
}

void Ledger::Private::runWatchCycle(LedgerGang &gang)
{
    if (gang.machine.is("stopping"))
        stopTasks(gang);
    if (!gang.active())
        return;
    renewLeases(gang);
    pollPeers(gang);
}

void Ledger::Private::renewLeases(const LedgerGang &gang)
{
    RenewTaskLeases renewal;
    renewal.until = gang.leaseDeadline(now);
    for (const LedgerTask &task : gang.tasks) {
        if (task.live())
            renewal.taskIds.push_back(task.start.taskId);
    }
    if (!renewal.taskIds.empty() && renewal.until > now)
        emit(renewal);
}

void Ledger::Private::pollPeers(LedgerGang &gang)
{
    for (const auto &[index, evidence] : gang.watched) {
        Watch message{gang.key, gang.epoch, settings.self.agent, {}};
        if (evidence.wantsMembers)
            message.members = gang.members;
        emit(PollPeer{gang.members[static_cast<std::size_t>(index)], std::move(message)});
    }
}

void Ledger::Private::purgeEnded()
{
    ForgetWorkerTasks forget;
    for (auto it = gangs.begin(); it != gangs.end();) {
        LedgerGang &gang = it->second;
        if (gang.ended() && !gang.forgotten && now >= gang.endedAt + EndedTaskRetention) {
            for (const LedgerTask &task : gang.tasks) {
                if (task.listed)
                    forget.taskIds.push_back(task.start.taskId);
            }
            gang.forgotten = true;
        }
        if (gang.ended() && now >= gang.endedAt + EndedGangRetention)
            it = gangs.erase(it);
        else
            ++it;
    }
    if (!forget.taskIds.empty())
        emit(forget);
}

} // namespace oleandercross::gang
