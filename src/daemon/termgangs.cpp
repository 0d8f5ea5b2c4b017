#include <oleandercross/daemon/term.h>

#include <oleandercross/core/digest.h>
#include <oleandercross/core/json.h>
#include <oleandercross/core/resultcode.h>
#include <oleandercross/daemon/gangmessages.h>

#include <algorithm>

namespace oleandercross::daemon {

namespace {

constexpr absl::Duration MessageTimeout = absl::Seconds(1);
constexpr absl::Duration DecisionTimeout = absl::Milliseconds(1500);
// A member's report may have been made before the latest start or stop of its gang.
constexpr absl::Duration ReportGracePeriod = absl::Seconds(5);

gang::WriteOutcome toGangOutcome(platform::WriteOutcome outcome)
{
    switch (outcome) {
    case platform::WriteOutcome::Applied:
        return gang::WriteOutcome::Applied;
    case platform::WriteOutcome::Conflict:
        return gang::WriteOutcome::Conflict;
    case platform::WriteOutcome::NotApplied:
        return gang::WriteOutcome::NotApplied;
    case platform::WriteOutcome::Unknown:
        break;
    }
    return gang::WriteOutcome::Unknown;
}

gang::MessageKind kindOf(const gang::LeaderMessage &message)
{
    return static_cast<gang::MessageKind>(message.index());
}

int roundOf(const gang::LeaderMessage &message)
{
    const auto *reserve = std::get_if<gang::Reserve>(&message);
    return reserve ? reserve->round : 0;
}

} // namespace

// Groups the tasks of a placement by agent. Returns false if a worker has no live agent.
bool Term::assignMembers(ActiveJob &job, const scheduling::Placement &placement)
{
    std::map<gang::Peer, std::vector<int>> members;
    bool complete = true;
    for (std::size_t i = 0; i < placement.tasks.size(); ++i) {
        const auto agent = m_workers.find(placement.tasks[i].worker);
        if (agent == m_workers.end()) {
            complete = false;
            continue;
        }
        const gang::Peer peer{agent->second.id, http::toString(agent->second.rpc)};
        members[peer].push_back(static_cast<int>(i));
    }
    job.members.assign(members.begin(), members.end());
    job.membersComplete = complete;
    return complete;
}

void Term::startGang(ActiveJob &job, const scheduling::StartGang &start)
{
    if (job.writing) {
        job.pendingStart = start;
        return;
    }
    const core::JobId id = job.record.spec.id;
    if (!assignMembers(job, start.placement)) {
        apply(scheduling::GangRefused{id, start.attempt, core::ResultCode::NoTarget, {}});
        return;
    }
    JobRecord &record = job.record;
    record.attempt = start.attempt;
    record.placement = start.placement;
    record.perTask = start.perTask;
    record.startedAtMicros = core::wallClockMicros();
    record.checkpoints.resize(static_cast<std::size_t>(record.spec.tasks));
    job.finishedTasks.clear();
    job.pendingCheckpoints.clear();
    job.stopRequested = false;

    gang::GangOperation operation;
    operation.kind = gang::GangOperation::Kind::Start;
    operation.key = {id, start.attempt};
    operation.epoch = m_epoch;
    operation.recordRequired = !record.spec.repeatable;
    for (const auto &[peer, indices] : job.members) {
        gang::Member member{peer, {}};
        for (const int index : indices) {
            platform::TaskStart task;
            task.job = id;
            task.resources = start.perTask;
            task.accelerators = start.placement.tasks[static_cast<std::size_t>(index)].accelerators;
            task.command = record.command;
            if (start.resume)
                task.checkpoint = record.checkpoints[static_cast<std::size_t>(index)];
            member.tasks.push_back(std::move(task));
        }
        operation.members.push_back(std::move(member));
    }
    JobRecord decided = record;
    decided.state = scheduling::JobState::Running;
    const std::string key = jobKey(record.dataCentre, id);
    operation.decision.writeId = core::randomHexId();
    operation.decision.conditions = {{key, job.rowVersion}, m_epochCondition};
    operation.decision.puts = {{key, core::writeJson(encode(decided))}};

    job.writing = true;
    job.coordinator = std::make_shared<gang::Coordinator>(std::move(operation));
    coordinate(id, gang::BeginOperation{});
}

void Term::stopGang(ActiveJob &job)
{
    const core::JobId id = job.record.spec.id;
    if (job.pendingStart) {
        const int attempt = job.pendingStart->attempt;
        job.pendingStart.reset();
        apply(scheduling::GangStopped{id, attempt});
        return;
    }
    if (job.coordinator) {
        job.stopRequested = true;
        if (job.coordinator->operation().kind == gang::GangOperation::Kind::Start)
            coordinate(id, gang::CancelOperation{{core::ResultCode::Cancelled, "stop requested"}});
        return;
    }
    beginStop(job);
}

void Term::beginStop(ActiveJob &job)
{
    const core::JobId id = job.record.spec.id;
    gang::GangOperation operation;
    operation.kind = gang::GangOperation::Kind::Stop;
    operation.key = {id, job.record.attempt};
    operation.epoch = m_epoch;
    for (const auto &[peer, indices] : job.members)
        operation.members.push_back({peer, {}});
    job.coordinator = std::make_shared<gang::Coordinator>(std::move(operation));
    coordinate(id, gang::BeginOperation{});
}

void Term::coordinate(const core::JobId &id, const gang::CoordinatorEvent &event)
{
    const auto job = m_jobs.find(id);
    if (job == m_jobs.end() || !job->second.coordinator)
        return;
    // Executing the actions may replace the job's coordinator, so this keeps it alive.
    const std::shared_ptr<gang::Coordinator> coordinator = job->second.coordinator;
    for (const gang::CoordinatorAction &action : coordinator->apply(event, m_clock.now()))
        execute(id, action);
}

void Term::execute(const core::JobId &id, const gang::CoordinatorAction &action)
{
    if (const auto *send = std::get_if<gang::SendToMember>(&action)) {
        const int attempt = m_jobs.at(id).record.attempt;
        m_executor.post([this, id, attempt, send = *send] { sendToMember(id, attempt, send); });
    } else if (const auto *write = std::get_if<gang::WriteDecision>(&action)) {
        m_executor.post(
            [this, id, transaction = write->transaction] { writeDecision(id, transaction); });
    } else if (std::holds_alternative<gang::CheckDecision>(action)) {
        // The store writer has already tried to resolve the outcome by reading back.
        m_executor.after(MessageTimeout, [this, id] {
            absl::MutexLock lock(&m_mutex);
            coordinate(id, gang::DecisionChecked{std::nullopt});
        });
    } else {
        operationFinished(id, action);
    }
}

void Term::sendToMember(const core::JobId &id, int attempt, const gang::SendToMember &send)
{
    // The lease may have expired while this call was queued for a thread.
    if (std::holds_alternative<gang::Commit>(send.message) && !m_context.mayDecide())
        return;
    const std::optional<http::Endpoint> endpoint = http::parseEndpoint(send.peer.address);
    if (!endpoint)
        return;
    const std::string method =
        std::visit([](const auto &message) { return methodOf(message); }, send.message);
    const Json::Value params =
        std::visit([](const auto &message) { return encode(message); }, send.message);
    const auto reply = m_context.client.call(*endpoint, method, params, MessageTimeout);
    if (!reply)
        return;
    const gang::Answer answer = decodeGangAnswer(*reply);
    if (answer.epoch > m_epoch)
        m_context.epochSeen(answer.epoch);
    absl::MutexLock lock(&m_mutex);
    const auto job = m_jobs.find(id);
    if (m_stopping || job == m_jobs.end() || job->second.record.attempt != attempt)
        return;
    coordinate(
        id,
        gang::MemberAnswered{send.peer.agent, kindOf(send.message), roundOf(send.message), answer});
}

void Term::writeDecision(const core::JobId &id, const platform::Transaction &transaction)
{
    const platform::WriteResult result =
        m_context.store.write(transaction, platform::WritePriority::GangDecision, DecisionTimeout);
    absl::MutexLock lock(&m_mutex);
    const auto job = m_jobs.find(id);
    if (m_stopping || job == m_jobs.end())
        return;
    if (result.outcome == platform::WriteOutcome::Applied)
        job->second.rowVersion = result.version;
    coordinate(id, gang::DecisionWritten{toGangOutcome(result.outcome)});
}

void Term::operationFinished(const core::JobId &id, const gang::CoordinatorAction &action)
{
    ActiveJob &job = m_jobs.at(id);
    const int attempt = job.record.attempt;
    job.coordinator.reset();
    job.changedAt = m_clock.now();
    if (std::holds_alternative<gang::GangStopped>(action)) {
        apply(scheduling::GangStopped{id, attempt});
        return;
    }
    if (const auto *started = std::get_if<gang::GangStarted>(&action)) {
        m_context.metrics.add("gangs_started");
        if (started->recorded) {
            writeFinished(job);
        } else {
            job.dirty = true;
            m_executor.post([this, id] { resync(id); });
        }
        if (job.stopRequested)
            beginStop(job);
        else
            apply(scheduling::GangStarted{id, attempt});
        return;
    }
    const auto &failed = std::get<gang::GangNotStarted>(action);
    m_context.metrics.add("gangs_not_started");
    if (failed.mayBeRecorded)
        m_executor.post([this, id] { resync(id); });
    else
        writeFinished(job);
    if (job.stopRequested) {
        beginStop(job);
        return;
    }
    core::WorkerId worker;
    for (const auto &[candidate, agent] : m_workers) {
        if (agent.id == failed.failedAgent)
            worker = candidate;
    }
    apply(scheduling::GangRefused{id, attempt, failed.reason.code, worker});
}

void Term::checkpointGang(ActiveJob &job)
{
    for (int i = 0; i < job.record.spec.tasks; ++i)
        job.pendingCheckpoints[i] = job.record.checkpoints[static_cast<std::size_t>(i)];
    const gang::CheckpointTask message{m_epoch, {job.record.spec.id, job.record.attempt}};
    for (const auto &[peer, indices] : job.members) {
        const std::optional<http::Endpoint> endpoint = http::parseEndpoint(peer.address);
        if (!endpoint)
            continue;
        m_executor.post([this, endpoint = *endpoint, message] {
            m_context.client.call(endpoint, "checkpointTask", encode(message), MessageTimeout);
        });
    }
}

void Term::throttleTask(const scheduling::ThrottleTask &action)
{
    const ActiveJob &job = m_jobs.at(action.job);
    const gang::ThrottleTask message{m_epoch, {action.job, action.attempt}, action.share};
    for (const auto &[peer, indices] : job.members) {
        if (std::find(indices.begin(), indices.end(), action.task) == indices.end())
            continue;
        if (const auto endpoint = http::parseEndpoint(peer.address)) {
            m_executor.post([this, endpoint = *endpoint, message] {
                m_context.client.call(endpoint, "throttleTask", encode(message), MessageTimeout);
            });
        }
    }
}

int Term::taskIndex(const ActiveJob &job, const platform::TaskStatus &task) const
{
    const std::optional<gang::TaskIdentity> identity = gang::parseTaskId(task.taskId);
    if (!identity || !job.membersComplete || identity->key.job != job.record.spec.id
        || identity->key.attempt != job.record.attempt)
        return -1;
    const auto member = static_cast<std::size_t>(identity->member);
    if (member >= job.members.size())
        return -1;
    const std::vector<int> &indices = job.members[member].second;
    const auto index = static_cast<std::size_t>(identity->task);
    return index < indices.size() ? indices[index] : -1;
}

void Term::recordUsage(ActiveJob &job, int task, const platform::TaskStatus &status)
{
    const core::JobId id = job.record.spec.id;
    const int attempt = job.record.attempt;
    job.record.checkpoints[static_cast<std::size_t>(task)] = status.checkpoint;
    apply(scheduling::UsageReported{id, attempt, task, status.used});
    const auto pending = job.pendingCheckpoints.find(task);
    if (pending == job.pendingCheckpoints.end() || pending->second == status.checkpoint)
        return;
    job.pendingCheckpoints.erase(pending);
    if (job.pendingCheckpoints.empty())
        apply(scheduling::CheckpointDone{id, attempt, true});
}

void Term::recordTaskStates(ActiveJob &job, const std::vector<platform::TaskStatus> &tasks)
{
    const core::JobId id = job.record.spec.id;
    const int attempt = job.record.attempt;
    for (const platform::TaskStatus &status : tasks) {
        const int task = taskIndex(job, status);
        if (task < 0)
            continue;
        if (status.state == platform::TaskState::Succeeded) {
            if (job.finishedTasks.insert(task).second)
                apply(scheduling::TaskFinished{id, attempt, task});
        } else if (status.state == platform::TaskState::Failed) {
            if (job.finishedTasks.insert(task).second)
                apply(scheduling::TaskFailed{id, attempt, task, status.message});
        } else {
            recordUsage(job, task, status);
        }
        // The event may have ended the job.
        if (m_jobs.count(id) == 0)
            return;
    }
}

// Reports one lost task to the scheduler: a task of the agent itself if `reporterIsLost`, otherwise
// a task of another member, whose loss the agent reported.
void Term::reportLostMember(ActiveJob &job, const core::AgentId &agent, bool reporterIsLost)
{
    int task = 0;
    for (const auto &[peer, indices] : job.members) {
        if ((peer.agent == agent) == reporterIsLost && !indices.empty())
            task = indices.front();
    }
    apply(scheduling::TaskLost{job.record.spec.id, job.record.attempt, task});
}

void Term::taskEvent(const gang::TaskEvent &event)
{
    absl::MutexLock lock(&m_mutex);
    const auto found = m_jobs.find(event.key.job);
    if (m_stopping || !m_restored || found == m_jobs.end()
        || found->second.record.attempt != event.key.attempt)
        return;
    recordTaskStates(found->second, event.tasks);
    const auto job = m_jobs.find(event.key.job);
    if (job == m_jobs.end() || job->second.record.state != scheduling::JobState::Running)
        return;
    if (event.kind == gang::TaskEvent::Kind::LostMember)
        reportLostMember(job->second, event.agent, false);
    else if (event.kind == gang::TaskEvent::Kind::Stopped)
        reportLostMember(job->second, event.agent, true);
}

void Term::taskUsage(const std::vector<platform::TaskStatus> &tasks)
{
    absl::MutexLock lock(&m_mutex);
    if (m_stopping || !m_restored)
        return;
    for (const platform::TaskStatus &status : tasks) {
        const auto job = m_jobs.find(status.job);
        if (job != m_jobs.end())
            recordTaskStates(job->second, {status});
    }
}

// Requests the ledger of the next agent in turn, since task events can be lost. One call per period
// bounds the cost regardless of the number of agents.
void Term::reconcileNextAgent()
{
    std::optional<AgentInfo> agent;
    {
        absl::MutexLock lock(&m_mutex);
        if (m_stopping || m_workers.empty())
            return;
        m_reconcileIndex = (m_reconcileIndex + 1) % m_workers.size();
        auto worker = m_workers.begin();
        std::advance(worker, m_reconcileIndex);
        agent = worker->second;
    }
    Json::Value params;
    params["epoch"] = static_cast<Json::Int64>(m_epoch);
    const auto reply = m_context.client.call(agent->rpc, "report", params, MessageTimeout);
    if (!reply)
        return;
    const gang::Answer answer = decodeGangAnswer(*reply);
    if (answer.epoch > m_epoch)
        m_context.epochSeen(answer.epoch);
    if (answer.code == core::ResultCode::Ok)
        reconcile(*agent, decodeLedgerReport(core::member(*reply, "report")));
}

void Term::reconcile(const AgentInfo &agent, const gang::LedgerReport &report)
{
    absl::MutexLock lock(&m_mutex);
    if (m_stopping || !m_restored)
        return;
    std::set<core::JobId> present;
    for (const gang::GangStatus &gang : report.gangs) {
        const auto found = m_jobs.find(gang.key.job);
        const bool current =
            found != m_jobs.end() && found->second.record.attempt == gang.key.attempt;
        const bool runs = gang.state == gang::MemberState::Running
            || gang.state == gang::MemberState::Starting
            || gang.state == gang::MemberState::Finished;
        if (current) {
            if (runs || gang.state == gang::MemberState::Completed)
                present.insert(gang.key.job);
            recordTaskStates(found->second, gang.tasks);
        } else if (runs) {
            // The gang belongs to an earlier attempt or to a job that has ended.
            const gang::StopTask stop{m_epoch, gang.key};
            m_executor.post([this, endpoint = agent.rpc, stop] {
                m_context.client.call(endpoint, "stopTask", encode(stop), MessageTimeout);
            });
        }
    }
    std::vector<core::JobId> lost;
    for (const auto &[id, job] : m_jobs) {
        const bool stable = !job.coordinator && job.record.state == scheduling::JobState::Running
            && m_clock.now() - job.changedAt > ReportGracePeriod;
        const bool member =
            std::any_of(job.members.begin(), job.members.end(),
                        [&agent](const auto &entry) { return entry.first.agent == agent.id; });
        if (stable && member && present.count(id) == 0)
            lost.push_back(id);
    }
    for (const core::JobId &id : lost) {
        const auto job = m_jobs.find(id);
        if (job != m_jobs.end())
            reportLostMember(job->second, agent.id, true);
    }
}

} // namespace oleandercross::daemon
