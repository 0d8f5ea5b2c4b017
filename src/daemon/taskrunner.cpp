#include <oleandercross/daemon/taskrunner.h>

#include <oleandercross/core/json.h>
#include <oleandercross/core/resultcode.h>
#include <oleandercross/daemon/gangmessages.h>

namespace oleandercross::daemon {

namespace {

// Separate threads for calls to other processes, since an unresponsive one must not delay ticks and
// lease renewals.
constexpr int RemoteThreadCount = 6;
constexpr int WorkerThreadCount = 4;
constexpr absl::Duration TickPeriod = absl::Milliseconds(200);
constexpr absl::Duration EventTimeout = absl::Seconds(2);
constexpr absl::Duration EventRetryDelay = absl::Milliseconds(100);
constexpr absl::Duration EventRetryLimit = absl::Seconds(10);

gang::LedgerSettings ledgerSettings(const config::Settings &settings, std::int64_t incarnation)
{
    gang::LedgerSettings ledger;
    ledger.self = {core::AgentId(settings.id), http::toString(settings.rpcListen)};
    ledger.incarnation = incarnation;
    if (settings.worker)
        ledger.total = settings.worker->resources;
    return ledger;
}

gang::CallOutcome outcomeOf(bool done, core::ResultCode code)
{
    if (done)
        return gang::CallOutcome::Done;
    return code == core::ResultCode::ConnectionFailed ? gang::CallOutcome::NotDone
                                                      : gang::CallOutcome::Unknown;
}

// Returns true if the leader needs the new status: the task uses more memory than declared, or has
// a new checkpoint.
bool shouldReport(const platform::TaskStatus &task, const platform::TaskStatus *reported)
{
    if (task.state != platform::TaskState::Running
        && task.state != platform::TaskState::Checkpointing)
        return false;
    if (reported && reported->checkpoint == task.checkpoint && reported->used == task.used)
        return false;
    const bool exceeds = task.used.memoryMb > task.declared.memoryMb;
    const bool newCheckpoint = (reported ? reported->checkpoint : "") != task.checkpoint;
    return exceeds || newCheckpoint;
}

} // namespace

TaskRunner::TaskRunner(const config::Settings &settings, std::int64_t incarnation,
                       std::shared_ptr<platform::WorkerControl> worker, rpc::Client &client,
                       telemetry::Metrics &metrics)
    : m_agent(settings.id)
    , m_worker(std::move(worker))
    , m_client(client)
    , m_metrics(metrics)
    , m_ledger(ledgerSettings(settings, incarnation))
    , m_remoteExecutor(RemoteThreadCount)
    , m_workerExecutor(WorkerThreadCount)
{ }

TaskRunner::~TaskRunner()
{
    stop();
}

void TaskRunner::addHandlers(rpc::Server &server)
{
    server.add("reserve", [this](const Json::Value &p) { return handle(decodeReserve(p)); });
    server.add("commit", [this](const Json::Value &p) { return handle(decodeCommit(p)); });
    server.add("abort", [this](const Json::Value &p) { return handle(decodeAbort(p)); });
    server.add("stopTask", [this](const Json::Value &p) { return handle(decodeStopTask(p)); });
    server.add("checkpointTask",
               [this](const Json::Value &p) { return handle(decodeCheckpointTask(p)); });
    server.add("throttleTask",
               [this](const Json::Value &p) { return handle(decodeThrottleTask(p)); });
    server.add("report", [this](const Json::Value &p) -> std::optional<Json::Value> {
        std::optional<Json::Value> answer =
            handle(gang::ReportRequest{core::intMember(p, "epoch")});
        (*answer)["report"] = encode(report());
        if (decodeGangAnswer(*answer).code == core::ResultCode::Ok) {
            absl::MutexLock lock(&m_mutex);
            if (auto leader = http::parseEndpoint(core::stringMember(p, "leader")))
                m_leader = std::move(leader);
        }
        return answer;
    });
    server.add("watch", [this](const Json::Value &p) -> std::optional<Json::Value> {
        gang::LedgerResult result;
        {
            absl::MutexLock lock(&m_mutex);
            result = m_ledger.apply(decodeWatch(p), m_clock.now());
        }
        executeAll(std::move(result.actions));
        return encode(result.watch);
    });
}

void TaskRunner::start()
{
    if (!m_worker)
        return;
    m_workerExecutor.every(TickPeriod, [this] { apply(gang::LedgerTick{}); });
}

void TaskRunner::stop()
{
    m_workerExecutor.stop();
    m_remoteExecutor.stop();
}

std::optional<Json::Value> TaskRunner::handle(const gang::LedgerEvent &event)
{
    gang::LedgerResult result;
    {
        absl::MutexLock lock(&m_mutex);
        result = m_ledger.apply(event, m_clock.now());
    }
    executeAll(std::move(result.actions));
    return encode(result.answer);
}

void TaskRunner::apply(const gang::LedgerEvent &event)
{
    gang::LedgerResult result;
    {
        absl::MutexLock lock(&m_mutex);
        result = m_ledger.apply(event, m_clock.now());
    }
    executeAll(std::move(result.actions));
}

void TaskRunner::executeAll(std::vector<gang::LedgerAction> actions)
{
    if (!m_worker)
        return;
    // Calls to the worker are executed in order, so that a task list reflects a preceding stop.
    // Calls to other processes may block, so they have threads of their own.
    std::vector<gang::LedgerAction> workerCalls;
    for (gang::LedgerAction &action : actions) {
        if (std::holds_alternative<gang::PollPeer>(action)
            || std::holds_alternative<gang::SendTaskEvent>(action))
            m_remoteExecutor.post([this, action = std::move(action)] { execute(action); });
        else
            workerCalls.push_back(std::move(action));
    }
    if (workerCalls.empty())
        return;
    m_workerExecutor.post([this, calls = std::move(workerCalls)] {
        for (const gang::LedgerAction &action : calls)
            execute(action);
    });
}

void TaskRunner::execute(const gang::LedgerAction &action)
{
    std::visit([this](const auto &a) { execute(a); }, action);
}

void TaskRunner::execute(const gang::StartWorkerTask &action)
{
    const core::Instant now = m_clock.now();
    if (now >= action.notAfter) {
        apply(gang::StartAnswered{action.task.taskId, gang::CallOutcome::NotDone});
        return;
    }
    platform::TaskStart task = action.task;
    task.lease = action.leaseUntil - now;
    const bool done = m_worker->start(task);
    m_metrics.add("tasks_started");
    apply(gang::StartAnswered{task.taskId, outcomeOf(done, core::lastReason().code)});
}

void TaskRunner::execute(const gang::StopWorkerTask &action)
{
    m_worker->stop(action.taskId);
}

void TaskRunner::execute(const gang::RenewTaskLeases &action)
{
    const absl::Duration lease = action.until - m_clock.now();
    if (lease > absl::ZeroDuration())
        m_worker->renewLeases(action.taskIds, lease);
}

void TaskRunner::execute(const gang::CheckpointWorkerTask &action)
{
    m_worker->checkpoint(action.taskId);
}

void TaskRunner::execute(const gang::ThrottleWorkerTask &action)
{
    m_worker->throttle(action.taskId, action.share);
}

void TaskRunner::execute(const gang::ListWorkerTasks &)
{
    const core::Instant sentAt = m_clock.now();
    std::optional<std::vector<platform::TaskStatus>> tasks = m_worker->tasks();
    if (!tasks)
        return;
    reportStatusChanges(*tasks);
    apply(gang::TasksListed{sentAt, std::move(*tasks)});
}

void TaskRunner::execute(const gang::ForgetWorkerTasks &action)
{
    m_worker->forget(action.taskIds);
    absl::MutexLock lock(&m_mutex);
    for (const std::string &taskId : action.taskIds)
        m_lastReported.erase(taskId);
}

void TaskRunner::execute(const gang::PollPeer &action)
{
    const std::optional<http::Endpoint> endpoint = http::parseEndpoint(action.peer.address);
    if (!endpoint)
        return;
    const core::Instant sentAt = m_clock.now();
    const auto answer =
        m_client.call(*endpoint, "watch", encode(action.message), gang::WatchPeriod);
    if (answer) {
        apply(gang::PeerAnswered{action.message.key, action.peer.agent, sentAt,
                                 decodeWatchAnswer(*answer)});
    }
}

void TaskRunner::execute(const gang::SendTaskEvent &action)
{
    sendEvent(action.event, m_clock.now() + EventRetryLimit);
}

// No leader accepts the event while leadership changes, so it is retried. If all attempts fail, the
// leader receives the state by reconciliation.
void TaskRunner::sendEvent(const gang::TaskEvent &event, core::Instant deadline)
{
    std::optional<http::Endpoint> leader;
    {
        absl::MutexLock lock(&m_mutex);
        leader = m_leader;
    }
    if (leader && m_client.call(*leader, "taskEvent", encode(event), EventTimeout))
        return;
    if (m_clock.now() < deadline) {
        m_remoteExecutor.after(EventRetryDelay,
                               [this, event, deadline] { sendEvent(event, deadline); });
    }
}

void TaskRunner::reportStatusChanges(const std::vector<platform::TaskStatus> &tasks)
{
    Json::Value changed(Json::arrayValue);
    std::optional<http::Endpoint> leader;
    {
        absl::MutexLock lock(&m_mutex);
        leader = m_leader;
        for (const platform::TaskStatus &task : tasks) {
            const auto reported = m_lastReported.find(task.taskId);
            if (shouldReport(task, reported == m_lastReported.end() ? nullptr : &reported->second))
                changed.append(encode(task));
        }
    }
    if (changed.empty() || !leader)
        return;
    Json::Value message;
    message["agent"] = m_agent.str();
    message["tasks"] = changed;
    if (!m_client.call(*leader, "taskUsage", message, EventTimeout))
        return;
    absl::MutexLock lock(&m_mutex);
    for (const Json::Value &task : changed) {
        const platform::TaskStatus status = decodeTaskStatus(task);
        m_lastReported[status.taskId] = status;
    }
}

void TaskRunner::setLeader(std::optional<http::Endpoint> leader, gang::Epoch epoch)
{
    {
        absl::MutexLock lock(&m_mutex);
        // A heartbeat reply can be older than a message received from the new leader.
        if (epoch < m_ledger.epoch())
            return;
        m_leader = std::move(leader);
    }
    apply(gang::EpochObserved{epoch});
}

void TaskRunner::setAdmissionCode(core::ResultCode code)
{
    {
        absl::MutexLock lock(&m_mutex);
        if (m_admissionCode == code)
            return;
        m_admissionCode = code;
    }
    apply(gang::AdmissionCodeChanged{code});
}

void TaskRunner::drain()
{
    apply(gang::BeginDrain{});
}

bool TaskRunner::drained() const
{
    absl::MutexLock lock(&m_mutex);
    return m_ledger.drained();
}

gang::LedgerReport TaskRunner::report() const
{
    absl::MutexLock lock(&m_mutex);
    return m_ledger.report();
}

} // namespace oleandercross::daemon
