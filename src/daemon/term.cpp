#include <oleandercross/daemon/term.h>

#include <oleandercross/core/json.h>
#include <oleandercross/core/resultcode.h>
#include <oleandercross/daemon/gangmessages.h>
#include <oleandercross/telemetry/log.h>

#include <absl/strings/str_cat.h>

#include <algorithm>

namespace oleandercross::daemon {

namespace {

constexpr int ThreadCount = 16;
constexpr absl::Duration TickPeriod = absl::Milliseconds(100);
constexpr absl::Duration RestorePeriod = absl::Milliseconds(50);
constexpr absl::Duration ReconcilePeriod = absl::Milliseconds(500);
constexpr absl::Duration ScanPeriod = absl::Seconds(10);
constexpr absl::Duration ScanTimeout = absl::Seconds(2);
constexpr int ScanPageRowCount = 500;
constexpr absl::Duration ReportTimeout = absl::Seconds(1);
// A gang whose agent has been unreachable for longer than this has stopped its own tasks.
const absl::Duration RestoreLimit = gang::GangStopBound + absl::Seconds(1);

} // namespace

Term::Term(const TermContext &context, std::int64_t epoch, platform::Condition epochCondition)
    : m_context(context)
    , m_epoch(epoch)
    , m_epochCondition(std::move(epochCondition))
    , m_scheduler(context.settings.dataCentre)
    , m_executor(ThreadCount)
{ }

Term::~Term()
{
    stop();
}

void Term::start()
{
    {
        absl::MutexLock lock(&m_mutex);
        m_restoreDeadline = m_clock.now() + RestoreLimit;
    }
    m_executor.post([this] { restore(); });
}

void Term::stop()
{
    {
        absl::MutexLock lock(&m_mutex);
        m_stopping = true;
    }
    m_executor.stop();
}

bool Term::restored() const
{
    absl::MutexLock lock(&m_mutex);
    return m_restored;
}

// Repeats until the manifest, the job rows and the ledgers of all required agents are available.
void Term::restore()
{
    if (m_context.manifests.current() && loadRows() && restoreWorkers()) {
        finishRestore();
        return;
    }
    m_executor.after(RestorePeriod, [this] { restore(); });
}

bool Term::loadRows()
{
    {
        absl::MutexLock lock(&m_mutex);
        if (m_rowsLoaded)
            return true;
    }
    std::string after;
    Jobs jobs;
    while (true) {
        const auto rows = m_context.store.scan(jobPrefix(m_context.settings.dataCentre), after,
                                               ScanPageRowCount, ScanTimeout);
        if (!rows)
            return false;
        for (const platform::Row &row : *rows) {
            if (std::optional<JobRecord> record = decodeJobRecord(row.value)) {
                ActiveJob job;
                job.record = std::move(*record);
                job.rowVersion = row.version;
                job.changedAt = m_clock.now();
                jobs[job.record.spec.id] = std::move(job);
            }
        }
        if (static_cast<int>(rows->size()) < ScanPageRowCount)
            break;
        after = rows->back().key;
    }
    absl::MutexLock lock(&m_mutex);
    m_jobs = std::move(jobs);
    m_rowsLoaded = true;
    return true;
}

// Returns true when every worker of a running job has reported its ledger, or at the deadline.
bool Term::restoreWorkers()
{
    collectReports();
    absl::MutexLock lock(&m_mutex);
    for (const auto &agent : m_context.cluster.agents()) {
        if (agent->dataCentre == m_context.settings.dataCentre && m_reports.count(agent->id) > 0)
            updateWorker(*agent);
    }
    if (m_clock.now() >= m_restoreDeadline)
        return true;
    for (const auto &[id, job] : m_jobs) {
        if (job.record.state != scheduling::JobState::Running)
            continue;
        for (const scheduling::TaskPlacement &task : job.record.placement.tasks) {
            if (m_workers.count(task.worker) == 0)
                return false;
        }
    }
    return true;
}

void Term::collectReports()
{
    std::vector<std::shared_ptr<const AgentInfo>> missing;
    {
        absl::MutexLock lock(&m_mutex);
        for (const auto &agent : m_context.cluster.agents()) {
            if (agent->dataCentre == m_context.settings.dataCentre && agent->worker
                && m_reports.count(agent->id) == 0)
                missing.push_back(agent);
        }
    }
    std::vector<std::thread> calls;
    calls.reserve(missing.size());
    for (const auto &agent : missing) {
        calls.emplace_back([this, agent] {
            Json::Value params;
            params["epoch"] = static_cast<Json::Int64>(m_epoch);
            params["leader"] = http::toString(m_context.settings.rpcListen);
            const auto reply = m_context.client.call(agent->rpc, "report", params, ReportTimeout);
            if (!reply)
                return;
            const gang::Answer answer = decodeGangAnswer(*reply);
            if (answer.epoch > m_epoch)
                m_context.epochSeen(answer.epoch);
            if (answer.code != core::ResultCode::Ok)
                return;
            absl::MutexLock lock(&m_mutex);
            m_reports[agent->id] = decodeLedgerReport(core::member(*reply, "report"));
        });
    }
    for (std::thread &call : calls)
        call.join();
}

void Term::finishRestore()
{
    {
        absl::MutexLock lock(&m_mutex);
        const auto manifest = m_context.manifests.current();
        m_revision = manifest->number;
        apply(scheduling::ManifestChanged{manifest->manifest});
        scheduling::StateRestored restored;
        std::vector<core::JobId> lost;
        for (auto &[id, job] : m_jobs) {
            if (job.record.state == scheduling::JobState::Running
                && !assignMembers(job, job.record.placement))
                lost.push_back(id);
            restoreFinishedTasks(job);
            restored.jobs.push_back(restoredJob(job));
        }
        m_restored = true;
        apply(restored);
        for (const core::JobId &id : lost)
            reportLostMember(m_jobs.at(id), {}, true);
        for (auto &[id, job] : m_jobs) {
            if (job.record.cancelRequested)
                apply(scheduling::JobCancelled{id});
        }
        telemetry::logInfo(
            "scheduling",
            absl::StrCat("restored ", m_jobs.size(), " jobs and ", m_workers.size(), " workers"));
    }
    for (const auto &agent : m_context.cluster.agents()) {
        std::optional<gang::LedgerReport> report;
        {
            absl::MutexLock lock(&m_mutex);
            const auto found = m_reports.find(agent->id);
            if (found != m_reports.end())
                report = found->second;
        }
        if (report)
            reconcile(*agent, *report);
    }
    m_executor.every(TickPeriod, [this] { tick(); });
    m_executor.every(ReconcilePeriod, [this] { reconcileNextAgent(); });
    m_executor.every(ScanPeriod, [this] { scanRows(); });
}

scheduling::RestoredJob Term::restoredJob(const ActiveJob &job) const
{
    scheduling::RestoredJob restored;
    restored.spec = job.record.spec;
    restored.state = job.record.state == scheduling::JobState::Running
        ? scheduling::JobState::Running
        : scheduling::JobState::Waiting;
    restored.attempt = job.record.attempt;
    if (restored.state == scheduling::JobState::Running)
        restored.placement = job.record.placement;
    restored.finishedTasks.assign(job.finishedTasks.begin(), job.finishedTasks.end());
    restored.perTask = job.record.perTask;
    restored.attained = job.record.attained;
    restored.failures = job.record.failures;
    restored.enlargements = job.record.enlargements;
    restored.hasCheckpoint =
        std::any_of(job.record.checkpoints.begin(), job.record.checkpoints.end(),
                    [](const std::string &checkpoint) { return !checkpoint.empty(); });
    return restored;
}

// Adds the tasks that succeeded while the data centre had no leader. A job whose tasks have all
// succeeded is restored as running and ended by the first reconciliation, since the scheduler ends
// a job only on the event of its last task.
void Term::restoreFinishedTasks(ActiveJob &job) const
{
    const gang::GangKey key{job.record.spec.id, job.record.attempt};
    for (const auto &[agent, report] : m_reports) {
        for (const gang::GangStatus &gang : report.gangs) {
            if (gang.key != key)
                continue;
            for (const platform::TaskStatus &task : gang.tasks) {
                const int index = taskIndex(job, task);
                if (index >= 0 && task.state == platform::TaskState::Succeeded)
                    job.finishedTasks.insert(index);
            }
        }
    }
    if (static_cast<int>(job.finishedTasks.size()) == job.record.spec.tasks)
        job.finishedTasks.clear();
}

void Term::updateWorker(const AgentInfo &info)
{
    if (!info.worker)
        return;
    const auto known = m_workers.find(info.worker->id);
    const bool changed = known == m_workers.end() || known->second.worker != info.worker;
    const bool draining = info.draining;
    const bool drainChanged =
        known == m_workers.end() ? draining : known->second.draining != draining;
    m_workers[info.worker->id] = info;
    if (changed) {
        apply(scheduling::WorkerJoined{info.worker->id, info.worker->rack, info.worker->resources});
    }
    if (drainChanged)
        apply(scheduling::WorkerDraining{info.worker->id, draining});
}

void Term::agentChanged(const AgentInfo &info, bool alive)
{
    if (info.dataCentre != m_context.settings.dataCentre || !info.worker)
        return;
    absl::MutexLock lock(&m_mutex);
    if (m_stopping || !m_restored)
        return;
    if (alive) {
        updateWorker(info);
    } else if (m_workers.erase(info.worker->id) > 0) {
        apply(scheduling::WorkerLost{info.worker->id});
    }
}

void Term::manifestChanged()
{
    const auto current = m_context.manifests.current();
    absl::MutexLock lock(&m_mutex);
    if (!current || m_stopping || !m_restored || m_revision >= current->number)
        return;
    m_revision = current->number;
    apply(scheduling::ManifestChanged{current->manifest});
}

void Term::tick()
{
    manifestChanged();
    const bool storeAvailable = !m_context.leadsDuringStoreOutage();
    absl::MutexLock lock(&m_mutex);
    if (m_stopping)
        return;
    std::vector<core::JobId> coordinated;
    for (const auto &[id, job] : m_jobs) {
        if (job.coordinator)
            coordinated.push_back(id);
    }
    for (const core::JobId &id : coordinated)
        coordinate(id, gang::CoordinatorTick{});
    if (!m_context.mayDecide())
        return;
    if (storeAvailable != m_storeAvailable) {
        m_storeAvailable = storeAvailable;
        apply(scheduling::StoreChanged{storeAvailable});
    }
    apply(scheduling::Tick{});
}

void Term::apply(const scheduling::Event &event)
{
    for (const scheduling::Action &action : m_scheduler.apply(event, m_clock.now()))
        perform(action);
}

void Term::perform(const scheduling::Action &action)
{
    if (const auto *start = std::get_if<scheduling::StartGang>(&action)) {
        startGang(m_jobs.at(start->job), *start);
    } else if (const auto *stop = std::get_if<scheduling::StopGang>(&action)) {
        stopGang(m_jobs.at(stop->job));
    } else if (const auto *checkpoint = std::get_if<scheduling::CheckpointGang>(&action)) {
        checkpointGang(m_jobs.at(checkpoint->job));
    } else if (const auto *throttle = std::get_if<scheduling::ThrottleTask>(&action)) {
        throttleTask(*throttle);
    } else if (const auto *larger = std::get_if<scheduling::RequeueLarger>(&action)) {
        JobRecord &record = m_jobs.at(larger->job).record;
        record.perTask = larger->perTask;
        ++record.enlargements;
    } else if (const auto *change = std::get_if<scheduling::JobStateChanged>(&action)) {
        jobStateChanged(*change);
    } else if (const auto *quarantine = std::get_if<scheduling::QuarantineChanged>(&action)) {
        telemetry::logInfo("scheduling",
                           absl::StrCat("worker ", quarantine->worker.str(),
                                        " changed to health state ",
                                        static_cast<int>(quarantine->healthState)));
    } else if (const auto *shortfall = std::get_if<scheduling::ShortfallChanged>(&action)) {
        telemetry::logInfo("scheduling",
                           absl::StrCat("guarantee of account ", shortfall->account.str(),
                                        " is short of cells on ", shortfall->missing.size(),
                                        " levels"));
    }
}

void Term::jobStateChanged(const scheduling::JobStateChanged &change)
{
    const auto found = m_jobs.find(change.job);
    if (found == m_jobs.end())
        return;
    ActiveJob &job = found->second;
    JobRecord &record = job.record;
    const scheduling::JobState before = record.state;
    record.state = change.state;
    record.code = change.code;
    record.message = change.message;
    job.changedAt = m_clock.now();
    m_context.metrics.add("job_state_changes{state=\"" + name(change.state) + "\"}");
    if (const auto view = m_scheduler.job(change.job)) {
        record.failures = view->failures;
        record.attained = view->attained;
    }
    if (scheduling::ended(change.state)) {
        record.endedAtMicros = core::wallClockMicros();
        persist(job);
    } else if (change.state == scheduling::JobState::Waiting
               && before != scheduling::JobState::Waiting) {
        persist(job);
    }
}

void Term::scanRows()
{
    std::string after;
    const std::string prefix = jobPrefix(m_context.settings.dataCentre);
    while (true) {
        const auto rows = m_context.store.scan(prefix, after, ScanPageRowCount, ScanTimeout);
        if (!rows || rows->empty())
            return;
        for (const platform::Row &row : *rows) {
            const core::JobId id(row.key.substr(prefix.size()));
            bool known = false;
            bool stale = false;
            {
                absl::MutexLock lock(&m_mutex);
                const auto job = m_jobs.find(id);
                known = job != m_jobs.end();
                stale = known && !job->second.writing && job->second.rowVersion != row.version;
            }
            if (!known)
                addJob(id);
            else if (stale)
                resync(id);
        }
        if (static_cast<int>(rows->size()) < ScanPageRowCount)
            return;
        after = rows->back().key;
    }
}

bool Term::addJob(const core::JobId &id)
{
    {
        absl::MutexLock lock(&m_mutex);
        // The row scans that start after the restore find the job.
        if (m_stopping || !m_restored)
            return false;
        if (m_jobs.count(id) > 0)
            return true;
        ++m_addingJobs;
    }
    bool missing = false;
    std::optional<ActiveJob> job = readRow(id, missing);
    absl::MutexLock lock(&m_mutex);
    const bool removed = m_removedWhileAdding.count(id) > 0;
    if (--m_addingJobs == 0)
        m_removedWhileAdding.clear();
    // A job without a row has already ended.
    if (!job)
        return missing;
    if (m_stopping || removed || m_jobs.count(id) > 0)
        return true;
    // During a store outage the scheduler would fail the job, although it has been accepted. The
    // caller retries after the scheduler has been notified of the end of the outage.
    if (!m_storeAvailable)
        return false;
    const JobRecord &record = m_jobs.emplace(id, std::move(*job)).first->second.record;
    const scheduling::JobSpec spec = record.spec;
    const bool cancelled = record.cancelRequested;
    apply(scheduling::JobSubmitted{spec});
    if (cancelled)
        apply(scheduling::JobCancelled{id});
    return true;
}

std::optional<JobRecord> Term::cancelJob(const core::JobId &id)
{
    absl::MutexLock lock(&m_mutex);
    const auto job = m_jobs.find(id);
    if (!m_restored || job == m_jobs.end())
        return core::fail(core::ResultCode::UnknownJob, "no job '" + id.str() + "' is active");
    job->second.record.cancelRequested = true;
    apply(scheduling::JobCancelled{id});
    const auto after = m_jobs.find(id);
    if (after == m_jobs.end())
        return core::fail(core::ResultCode::UnknownJob, "the job has already ended");
    return after->second.record;
}

std::optional<JobRecord> Term::jobRecord(const core::JobId &id, const std::string &knownState,
                                         absl::Duration wait)
{
    absl::MutexLock lock(&m_mutex);
    const auto changed = [this, &id, &knownState] {
        m_mutex.AssertHeld();
        const auto job = m_jobs.find(id);
        return m_stopping || job == m_jobs.end() || name(job->second.record.state) != knownState;
    };
    m_mutex.AwaitWithTimeout(absl::Condition(&changed), wait);
    const auto job = m_jobs.find(id);
    if (job == m_jobs.end())
        return core::fail(core::ResultCode::UnknownJob, "no job '" + id.str() + "' is active");
    return job->second.record;
}

std::optional<scheduling::Explanation> Term::explain(const core::JobId &id)
{
    absl::MutexLock lock(&m_mutex);
    return m_scheduler.explain(id, m_clock.now());
}

Term::Status Term::status() const
{
    absl::MutexLock lock(&m_mutex);
    Status status;
    for (const auto &[id, job] : m_jobs) {
        const bool waiting = job.record.state == scheduling::JobState::Waiting;
        ++(waiting ? status.waiting : status.running);
    }
    status.shortfalls = m_scheduler.shortfall();
    status.quarantined = m_scheduler.quarantined();
    return status;
}

} // namespace oleandercross::daemon
