#include <oleandercross/gang/coordinator.h>

#include <absl/container/btree_map.h>
#include <absl/strings/str_cat.h>

#include <algorithm>

namespace oleandercross::gang {

namespace {

// Interval between repetitions of unanswered messages and of checks of the decision.
constexpr absl::Duration RetryPeriod = absl::Milliseconds(250);
// Maximum time for all members to reserve in one round.
constexpr absl::Duration ReserveTimeout = absl::Seconds(2);
// Maximum time from the beginning of the operation to the decision. Reservations are renewed
// meanwhile.
constexpr absl::Duration DecisionTimeout = absl::Seconds(5);
constexpr absl::Duration RenewReservationsPeriod = absl::Seconds(1);
// Older reservations are renewed before the commit, because the time that the members have for
// starting begins with the reservation.
constexpr absl::Duration MaxReservationAgeAtCommit = absl::Milliseconds(500);

struct MemberProgress
{
    Incarnation incarnation = 0;
    int reservedRound = 0;
    bool committed = false;
    // The member confirmed an Abort or StopTask.
    bool confirmedStop = false;
};

// Recording waits for the store to record the start; Renewing waits for new reservations after
// that.
enum class Phase { Idle, Reserving, Recording, Renewing, Committing, Aborting, Stopping, Done };

} // namespace

class Coordinator::Private
{
public:
    explicit Private(GangOperation gangOperation)
        : operation(std::move(gangOperation))
    {
        for (std::size_t i = 0; i < operation.members.size(); ++i) {
            initializeTasks(i);
            m_progress[operation.members[i].peer.agent] = {};
        }
    }

    void on(const BeginOperation &);
    void on(const MemberAnswered &event);
    void on(const DecisionWritten &event);
    void on(const DecisionChecked &event);
    void on(const CancelOperation &event);
    void on(const CoordinatorTick &);

    GangOperation operation;
    Phase phase = Phase::Idle;
    core::Instant now;
    std::vector<CoordinatorAction> actions;

private:
    void initializeTasks(std::size_t index);
    template <typename Predicate>
    bool allMembers(Predicate predicate) const
    {
        return std::all_of(m_progress.begin(), m_progress.end(),
                           [&predicate](const auto &entry) { return predicate(entry.second); });
    }

    void startReservationRound();
    void onReserved(const MemberAnswered &event, MemberProgress &member);
    void onCommitted(const MemberAnswered &event, MemberProgress &member);
    void onStopConfirmed(const MemberAnswered &event, MemberProgress &member);
    bool reservedByAll() const;
    void writeDecision();
    void continueAfterDecision(bool recorded);
    void commit();
    void abort(core::Reason reason, const core::AgentId &agent = {});
    void onLeadershipLost();
    void finishStart();
    void sendPending();
    void send(const Member &member, LeaderMessage message);
    core::AgentId firstUnanswered(Phase during) const;

    absl::btree_map<core::AgentId, MemberProgress> m_progress;
    int m_round = 0;
    core::Instant m_beganAt;
    core::Instant m_roundSentAt;
    core::Instant m_lastSentAt;
    core::Instant m_firstStopConfirmedAt = absl::InfiniteFuture();
    // The outcome of a write of the decision was unknown.
    bool m_writeUnknown = false;
    // A later write failed with a conflict.
    bool m_conflicted = false;
    // The latest check of the decision failed and has to be repeated.
    bool m_checkRetryDue = false;
    // The store has confirmed the decision.
    bool m_recorded = false;
    // A write of the decision was sent and may have taken effect.
    bool m_mayBeRecorded = false;
    bool m_commitSent = false;
    core::Reason m_reason;
    core::AgentId m_failedAgent;
};

void Coordinator::Private::initializeTasks(std::size_t index)
{
    Member &member = operation.members[index];
    TaskIdentity identity;
    identity.key = operation.key;
    identity.epoch = operation.epoch;
    identity.member = static_cast<int>(index);
    identity.memberCount = static_cast<int>(operation.members.size());
    identity.taskCount = static_cast<int>(member.tasks.size());
    for (platform::TaskStart &task : member.tasks) {
        task.taskId = formatTaskId(identity);
        task.job = operation.key.job;
        task.lease = absl::ZeroDuration();
        ++identity.task;
    }
}

void Coordinator::Private::on(const BeginOperation &)
{
    if (phase != Phase::Idle)
        return;
    m_beganAt = now;
    if (operation.kind == GangOperation::Kind::Stop) {
        phase = Phase::Stopping;
        return sendPending();
    }
    phase = Phase::Reserving;
    startReservationRound();
}

void Coordinator::Private::startReservationRound()
{
    ++m_round;
    m_roundSentAt = now;
    sendPending();
}

void Coordinator::Private::send(const Member &member, LeaderMessage message)
{
    actions.push_back(SendToMember{member.peer, std::move(message)});
}

// Sends the current phase's message to every member that has not answered it.
void Coordinator::Private::sendPending()
{
    m_lastSentAt = now;
    std::vector<Peer> peers;
    for (const Member &member : operation.members)
        peers.push_back(member.peer);
    for (const Member &member : operation.members) {
        const MemberProgress &state = m_progress[member.peer.agent];
        switch (phase) {
        case Phase::Reserving:
        case Phase::Recording:
        case Phase::Renewing:
            if (state.reservedRound < m_round)
                send(member, Reserve{operation.epoch, operation.key, m_round, member.tasks});
            break;
        case Phase::Committing:
            if (!state.committed)
                send(member, Commit{operation.epoch, operation.key, state.incarnation, peers});
            break;
        case Phase::Aborting:
            if (!state.confirmedStop)
                send(member, Abort{operation.epoch, operation.key});
            break;
        case Phase::Stopping:
            if (!state.confirmedStop)
                send(member, StopTask{operation.epoch, operation.key});
            break;
        case Phase::Idle:
        case Phase::Done:
            break;
        }
    }
}

void Coordinator::Private::on(const MemberAnswered &event)
{
    const auto it = m_progress.find(event.agent);
    if (it == m_progress.end() || phase == Phase::Idle)
        return;
    if (event.answer.code == core::ResultCode::StaleEpoch)
        return onLeadershipLost();
    switch (event.kind) {
    case MessageKind::Reserve:
        return onReserved(event, it->second);
    case MessageKind::Commit:
        return onCommitted(event, it->second);
    case MessageKind::Abort:
    case MessageKind::StopTask:
        return onStopConfirmed(event, it->second);
    }
}

void Coordinator::Private::onReserved(const MemberAnswered &event, MemberProgress &member)
{
    const bool reserving =
        phase == Phase::Reserving || phase == Phase::Recording || phase == Phase::Renewing;
    if (!reserving || event.round != m_round)
        return;
    if (event.answer.code != core::ResultCode::Ok)
        return abort({event.answer.code, event.answer.message}, event.agent);
    member.reservedRound = m_round;
    member.incarnation = event.answer.incarnation;
    if (!reservedByAll())
        return;
    if (phase == Phase::Reserving)
        writeDecision();
    else if (phase == Phase::Renewing)
        commit();
}

bool Coordinator::Private::reservedByAll() const
{
    return allMembers(
        [this](const MemberProgress &member) { return member.reservedRound == m_round; });
}

void Coordinator::Private::writeDecision()
{
    phase = Phase::Recording;
    m_mayBeRecorded = true;
    actions.push_back(WriteDecision{operation.decision});
}

void Coordinator::Private::on(const DecisionWritten &event)
{
    if (phase != Phase::Recording)
        return;
    switch (event.outcome) {
    case WriteOutcome::Applied:
        return continueAfterDecision(true);
    case WriteOutcome::Unknown:
        m_writeUnknown = true;
        m_checkRetryDue = false;
        actions.push_back(CheckDecision{operation.decision});
        return;
    case WriteOutcome::Conflict:
        // After an unknown outcome, the conflict may be with this operation's earlier write.
        if (m_writeUnknown) {
            m_conflicted = true;
            actions.push_back(CheckDecision{operation.decision});
            return;
        }
        m_mayBeRecorded = false;
        return abort({core::ResultCode::VersionConflict,
                      "the job row or the epoch was changed by another writer"});
    case WriteOutcome::NotApplied:
        m_mayBeRecorded = m_writeUnknown;
        if (!operation.recordRequired)
            return continueAfterDecision(false);
        return abort({core::ResultCode::StoreUnavailable, "the start decision cannot be recorded"});
    }
}

void Coordinator::Private::on(const DecisionChecked &event)
{
    if (phase != Phase::Recording)
        return;
    if (event.applied == true)
        return continueAfterDecision(true);
    if (event.applied == false && m_conflicted) {
        // The transaction's conditions failed once and versions only grow, so no earlier write can
        // take effect any more.
        m_mayBeRecorded = false;
        return abort({core::ResultCode::VersionConflict,
                      "the job row or the epoch was changed by another writer"});
    }
    if (event.applied == false) {
        // An earlier write may still be in flight. The conditions allow only one of the two writes
        // to take effect.
        actions.push_back(WriteDecision{operation.decision});
        return;
    }
    if (!operation.recordRequired)
        return continueAfterDecision(false);
    m_checkRetryDue = true;
}

void Coordinator::Private::continueAfterDecision(bool recorded)
{
    m_recorded = recorded;
    if (now - m_roundSentAt <= MaxReservationAgeAtCommit && reservedByAll())
        return commit();
    phase = Phase::Renewing;
    startReservationRound();
}

void Coordinator::Private::commit()
{
    phase = Phase::Committing;
    m_commitSent = true;
    sendPending();
}

void Coordinator::Private::onCommitted(const MemberAnswered &event, MemberProgress &member)
{
    if (phase != Phase::Committing)
        return;
    if (event.answer.code != core::ResultCode::Ok)
        return abort({event.answer.code, event.answer.message}, event.agent);
    member.committed = true;
    if (!allMembers([](const MemberProgress &each) { return each.committed; }))
        return;
    phase = Phase::Done;
    actions.push_back(GangStarted{operation.key, m_recorded});
}

void Coordinator::Private::abort(core::Reason reason, const core::AgentId &agent)
{
    m_reason = std::move(reason);
    m_failedAgent = agent;
    phase = Phase::Aborting;
    sendPending();
    // Without a commit no task runs, and the reservations expire.
    if (!m_commitSent)
        finishStart();
}

// Ends the operation. The new leader finds the gang in the agents' reports.
void Coordinator::Private::onLeadershipLost()
{
    if (phase == Phase::Done)
        return;
    const core::Reason reason{core::ResultCode::StaleEpoch, "another leader has taken over"};
    if (operation.kind == GangOperation::Kind::Stop) {
        phase = Phase::Done;
        actions.push_back(GangStopped{operation.key, reason});
        return;
    }
    if (phase != Phase::Aborting)
        abort(reason);
    m_reason = reason;
    if (phase != Phase::Done)
        finishStart();
}

void Coordinator::Private::finishStart()
{
    phase = Phase::Done;
    actions.push_back(
        GangNotStarted{operation.key, m_reason, m_failedAgent, m_commitSent, m_mayBeRecorded});
}

void Coordinator::Private::onStopConfirmed(const MemberAnswered &event, MemberProgress &member)
{
    if (event.answer.code != core::ResultCode::Ok)
        return;
    member.confirmedStop = true;
    m_firstStopConfirmedAt = std::min(m_firstStopConfirmedAt, now);
    // One stopped member is sufficient, because the others stop within GangStopBound when one has
    // stopped.
    if (phase == Phase::Aborting)
        return finishStart();
    if (phase == Phase::Stopping
        && allMembers([](const MemberProgress &each) { return each.confirmedStop; })) {
        phase = Phase::Done;
        actions.push_back(GangStopped{operation.key, {}});
    }
}

void Coordinator::Private::on(const CancelOperation &event)
{
    const bool starting = phase == Phase::Reserving || phase == Phase::Recording
        || phase == Phase::Renewing || phase == Phase::Committing;
    if (starting)
        abort(event.reason);
}

core::AgentId Coordinator::Private::firstUnanswered(Phase during) const
{
    for (const Member &member : operation.members) {
        const MemberProgress &state = m_progress.at(member.peer.agent);
        const bool missing =
            during == Phase::Committing ? !state.committed : state.reservedRound < m_round;
        if (missing)
            return member.peer.agent;
    }
    return {};
}

void Coordinator::Private::on(const CoordinatorTick &)
{
    const core::Reason timeout{core::ResultCode::Timeout, "a member did not answer in time"};
    switch (phase) {
    case Phase::Idle:
    case Phase::Done:
        return;
    case Phase::Reserving:
    case Phase::Renewing:
        if (now - m_roundSentAt >= ReserveTimeout)
            return abort(timeout, firstUnanswered(phase));
        break;
    case Phase::Recording:
        if (now - m_beganAt >= DecisionTimeout)
            return abort({core::ResultCode::StoreUnavailable,
                          "the outcome of the start decision is still unknown"});
        if (now - m_roundSentAt >= RenewReservationsPeriod && reservedByAll())
            startReservationRound();
        if (m_checkRetryDue && now - m_lastSentAt >= RetryPeriod) {
            m_checkRetryDue = false;
            actions.push_back(CheckDecision{operation.decision});
        }
        break;
    case Phase::Committing:
        if (now - m_roundSentAt >= ReservationLifetime)
            return abort(timeout, firstUnanswered(phase));
        break;
    case Phase::Stopping:
        if (now - m_firstStopConfirmedAt >= GangStopBound) {
            phase = Phase::Done;
            actions.push_back(GangStopped{operation.key, {}});
            return;
        }
        break;
    case Phase::Aborting:
        break;
    }
    if (now - m_lastSentAt >= RetryPeriod)
        sendPending();
}

Coordinator::Coordinator(GangOperation operation)
    : d(std::make_unique<Private>(std::move(operation)))
{ }

Coordinator::~Coordinator() = default;
Coordinator::Coordinator(Coordinator &&) noexcept = default;
Coordinator &Coordinator::operator=(Coordinator &&) noexcept = default;

std::vector<CoordinatorAction> Coordinator::apply(const CoordinatorEvent &event, core::Instant now)
{
    d->now = now;
    d->actions.clear();
    std::visit([this](const auto &concrete) { d->on(concrete); }, event);
    return std::move(d->actions);
}

const GangOperation &Coordinator::operation() const
{
    return d->operation;
}

bool Coordinator::finished() const
{
    return d->phase == Phase::Done;
}

} // namespace oleandercross::gang
