#include <oleandercross/control/leader.h>

#include "leaderlimits.h"

#include <oleandercross/control/jobmarker.h>
#include <oleandercross/core/resultcode.h>
#include <oleandercross/telemetry/eventlog.h>
#include <oleandercross/workload/codec.h>

#include <absl/cleanup/cleanup.h>
#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>
#include <absl/time/clock.h>

#include <algorithm>

namespace oleandercross::control {

namespace {

constexpr absl::Duration JobFeedWait = absl::Milliseconds(900);
// The pause after a round equals the round's duration within these limits.
constexpr absl::Duration MinPause = absl::Milliseconds(2);
constexpr absl::Duration MaxPause = absl::Milliseconds(40);
// Jobs that are read within this time after the start of the leader may have been accepted before
// it; jobs that are read later count as new.
constexpr absl::Duration JobAgeWindow = absl::Seconds(2);
// The upper limit of a job's computed age, since the clocks of the two machines that it is computed
// from may differ.
constexpr absl::Duration MaxJobAge = absl::Minutes(10);
// Stands between a job's id and the name of a part of its progress in the key of a row.
constexpr char ProgressSeparator[] = "/";

} // namespace

Leader::Leader(RowStore &store, std::unique_ptr<LeaderLog> log, rpc::Client &client,
               telemetry::Metrics &metrics, std::shared_ptr<ClosureReplica> closures,
               LeaderOptions options)
    : m_store(store)
    , m_log(std::move(log))
    , m_client(client)
    , m_metrics(metrics)
    , m_closures(std::move(closures))
    , m_options(std::move(options))
    , m_startedAt(m_clock.now())
    , m_planner(m_options.planner)
{
    m_planningThread = std::thread([this] { run(); });
}

Leader::~Leader()
{
    stop();
    m_planningThread.join();
    m_jobFollower.reset();
    for (auto &[agent, link] : m_links)
        link->stop();
    m_links.clear();
    m_stoppedLinks.clear();
}

void Leader::stop()
{
    m_stopping = true;
    m_log->stop();
    absl::MutexLock lock(&m_mutex);
    notifyPendingWork();
}

void Leader::release()
{
    stop();
    if (!m_deposed)
        m_log->release();
}

bool Leader::healthy() const
{
    return !m_stopping && !m_deposed && m_clock.now() - m_log->lastCommit() < LeaderHealthTimeout;
}

void Leader::setAgents(std::map<std::string, http::Endpoint> agents)
{
    absl::MutexLock lock(&m_mutex);
    m_inbox.agents = std::move(agents);
    notifyPendingWork();
}

void Leader::setCatalog(std::shared_ptr<const workload::Catalog> catalog)
{
    absl::MutexLock lock(&m_mutex);
    m_inbox.catalog = std::move(catalog);
    notifyPendingWork();
}

std::optional<Leader::View> Leader::view(const std::string &job) const
{
    absl::MutexLock lock(&m_mutex);
    const auto found = m_views.find(job);
    if (found == m_views.end())
        return core::fail(core::ResultCode::UnknownJob,
                          "job " + job + " is not known to this leader");
    return found->second;
}

std::optional<int> Leader::queueLength(const std::string &queue) const
{
    absl::MutexLock lock(&m_mutex);
    if (!m_viewsComplete)
        return core::fail(core::ResultCode::NotReady, "the leader is still reading the jobs");
    int count = 0;
    for (const auto &[id, view] : m_views) {
        if (view.queue == queue && !view.begun && !planning::ended(view.state))
            ++count;
    }
    return count;
}

absl::Duration Leader::jobAge(const workload::Job &job, core::Instant now) const
{
    // Jobs that arrive while this process is the leader count as new, so that their age does not
    // depend on clock differences.
    if (now - m_startedAt > JobAgeWindow)
        return absl::ZeroDuration();
    const auto age = absl::Milliseconds(core::wallClockMicros() / 1000 - job.acceptedMs);
    return std::clamp(age, absl::ZeroDuration(), MaxJobAge);
}

bool Leader::load()
{
    while (!m_stopping) {
        if (const auto page = m_store.table(ProgressTable, StoreTimeout)) {
            for (const StoredRow &row : page->rows) {
                const std::size_t idSize =
                    std::min(row.key.find(ProgressSeparator), row.key.size());
                const std::string name = row.key.substr(std::min(idSize + 1, row.key.size()));
                m_progress[row.key.substr(0, idSize)][name] = row.value;
            }
            break;
        }
        telemetry::Event("leader_load_retried").with("reason", core::lastReason().message);
        absl::SleepFor(LoadRetryPause);
    }
    loadLearnedState();
    TableFollower::Callbacks callbacks;
    callbacks.onUpdate = [this](const TableUpdate &update) {
        absl::MutexLock lock(&m_mutex);
        m_inbox.jobReads.push_back({update.rows, update.version});
        m_loaded = m_loaded || update.wholeTable;
        if (update.wholeTable || !update.rows.empty())
            notifyPendingWork();
    };
    m_jobFollower = std::make_unique<TableFollower>(m_store, JobTable, JobFeedWait, callbacks);
    m_jobFollower->start();
    {
        absl::MutexLock lock(&m_mutex);
        m_mutex.Await(absl::Condition(
            +[](Leader *self) { return self->m_loaded || self->m_stopping.load(); }, this));
    }
    return loadClosures();
}

void Leader::run()
{
    telemetry::Event("leadership_taken").with("epoch", epoch());
    if (!load())
        return;
    telemetry::Event("leader_loaded")
        .with("epoch", epoch())
        .with("progress_rows", static_cast<std::int64_t>(m_progress.size()))
        .with("took_ms", absl::ToInt64Milliseconds(m_clock.now() - m_startedAt));
    core::Instant nextRoundAt = m_clock.now();
    while (!m_stopping && !m_deposed)
        round(nextRoundAt);
    telemetry::Event("leadership_ended").with("epoch", epoch()).with("deposed", m_deposed.load());
}

void Leader::notifyPendingWork()
{
    m_workPending = true;
    m_workArrived.signalAll();
}

Leader::Inbox Leader::takeInbox(core::Instant until)
{
    absl::MutexLock lock(&m_mutex);
    while (!m_workPending && m_clock.now() < until)
        m_workArrived.waitFor(m_mutex, until - m_clock.now());
    m_workPending = false;
    return std::exchange(m_inbox, {});
}

void Leader::round(core::Instant &nextRoundAt)
{
    Inbox inbox = takeInbox(nextRoundAt);
    if (m_stopping)
        return;
    const core::Instant now = m_clock.now();
    const auto pause = absl::MakeCleanup([this, now] { pauseAfter(m_clock.now() - now); });
    if (inbox.catalog) {
        std::map<std::string, std::int64_t> guarantees;
        for (const workload::Account &account : inbox.catalog->accounts)
            guarantees[account.name] = account.guaranteedAccelerators;
        m_planner.setGuarantees(std::move(guarantees));
        applyServices(*inbox.catalog);
    }
    for (const JobRead &read : inbox.jobReads) {
        for (const StoredRow &row : read.rows)
            applyJobRow(row, read.version, now);
        m_removedJobs.forget(read.version);
    }
    {
        // The first round begins after the job table has been read.
        absl::MutexLock lock(&m_mutex);
        m_viewsComplete = true;
    }
    if (inbox.agents)
        applyAgents(*std::move(inbox.agents));
    for (const OrderResults &results : inbox.results)
        applyResults(results);
    for (const auto &[agent, state] : inbox.states)
        applyState(agent, state, now);
    handleUnresponsiveWorkers(now);
    applyClosures(now);
    planning::Plan plan = m_planner.plan(now, core::wallClockMicros() / 1000);
    m_metrics.observe("decision_seconds", m_clock.now() - now);
    reportSpeeds(plan.speeds);
    if (plan.waiting)
        reportWaitingWork(*std::move(plan.waiting));
    const std::set<std::string> changed = m_planner.takeChanged();
    const bool renew = now - m_log->lastCommit() >= LeaderWritePeriod;
    if ((!changed.empty() || renew) && !store(changed, now))
        return;
    publish(changed);
    updateForecast(now);
    acknowledgeEndedRuns();
    // Jobs whose progress was rejected have ended, and their starts are not stored.
    std::erase_if(plan.orders, [this](const planning::Order &order) {
        return order.kind == planning::Order::Kind::Start
            && planning::ended(m_planner.job(order.run.task.job)->state());
    });
    send(std::move(plan.orders));
    if (!removeOldJobs(now))
        return;
    removeOldMarkers(now);
    nextRoundAt = plan.next;
}

void Leader::pauseAfter(absl::Duration roundDuration)
{
    // Under load, events accumulate during the pause, so that one round handles several of them,
    // and the other threads get as much time as the rounds.
    absl::SleepFor(std::clamp(roundDuration, MinPause, MaxPause));
}

void Leader::applyJobRow(const StoredRow &row, std::int64_t readVersion, core::Instant now)
{
    if (row.removed)
        return;
    const std::string id = jobOf(row.key);
    if (m_removedJobs.wasRemoved(id, row.version)) {
        m_metrics.add("removed_job_rows_ignored");
        return;
    }
    if (absl::EndsWith(row.key, CancelSuffix)) {
        const planning::JobRecord *record = m_planner.job(id);
        if (record && !planning::ended(record->state()))
            telemetry::Event("job_cancelled").with("job", id).with("version", row.version);
        m_planner.cancelJob(id, now);
        return;
    }
    if (JobMarker::parse(row.value)) {
        m_markers[row.key] = {row.version, now};
        return;
    }
    m_markers.erase(row.key);
    if (m_planner.job(row.key))
        return;
    std::optional<workload::Job> job = workload::decodeJob(row.key, row.value);
    if (!job) {
        telemetry::Event("job_row_unreadable")
            .with("job", row.key)
            .with("version", row.version)
            .with("reason", core::lastReason().message);
        return;
    }
    const std::string queue = job->queue;
    if (m_services.insert(job->terms.service).second)
        clearRejectedServices();
    const absl::Duration age = jobAge(*job, now);
    const auto progress = m_progress.find(row.key);
    if (progress == m_progress.end()) {
        m_planner.addJob(*std::move(job), now, age);
    } else if (!m_planner.restoreJob(*std::move(job), progress->second, now, age)) {
        telemetry::Event("progress_row_unreadable")
            .with("job", row.key)
            .with("reason", core::lastReason().message);
        return;
    }
    if (progress != m_progress.end())
        m_progress.erase(progress);
    const planning::JobRecord &record = *m_planner.job(row.key);
    telemetry::Event("job_seen")
        .with("job", row.key)
        .with("queue", queue)
        .with("version", row.version)
        .with("read_version", readVersion)
        .with("priority", record.job().terms.priority)
        .with("steps", workload::describeSteps(record.job()))
        .with("objective_ms", absl::ToInt64Milliseconds(workload::latencyObjective(record.job())))
        .with("state", toString(record.state()));
    absl::MutexLock lock(&m_mutex);
    m_views[row.key] = {record.job().account, queue, record.state(), record.begun()};
}

LeaderLog::Outcome Leader::commit(const std::vector<StoredRow> &puts,
                                  const std::vector<StoredRow> &removals)
{
    const core::Instant begin = m_clock.now();
    const LeaderLog::Outcome outcome = m_log->commit(puts, removals);
    m_metrics.observe("commit_seconds", m_clock.now() - begin);
    if (outcome == LeaderLog::Outcome::Deposed)
        m_deposed = true;
    return outcome;
}

bool Leader::leads(LeaderLog::Outcome outcome)
{
    return outcome == LeaderLog::Outcome::Committed || outcome == LeaderLog::Outcome::Rejected;
}

Leader::ProgressWrite Leader::progressWrite(const std::string &job,
                                            const planning::ProgressGroup &group)
{
    ProgressWrite write{job, {}, {}};
    for (const planning::ProgressChange &change : group) {
        const std::string key =
            change.name.empty() ? job : absl::StrCat(job, ProgressSeparator, change.name);
        std::vector<StoredRow> &rows = change.value ? write.puts : write.removals;
        rows.push_back({ProgressTable, key, change.value.value_or(std::string())});
    }
    return write;
}

bool Leader::store(const std::set<std::string> &changed, core::Instant now)
{
    std::set<std::string> rejected;
    std::vector<ProgressWrite> writes;
    std::size_t rowCount = 0;
    std::size_t bytes = 0;
    for (const std::string &id : changed) {
        for (const planning::ProgressGroup &group : m_planner.takeProgressChanges(id)) {
            ProgressWrite write = progressWrite(id, group);
            std::size_t size = 0;
            for (const StoredRow &row : write.puts)
                size += sentSize(row);
            for (const StoredRow &row : write.removals)
                size += sentSize(row);
            if (rowCount + group.size() > LeaderLog::MaxRowsPerCommit
                || (rowCount > 0 && bytes + size > LeaderLog::MaxBytesPerCommit)) {
                if (!commitWrites(writes, rejected))
                    return false;
                writes.clear();
                rowCount = 0;
                bytes = 0;
            }
            rowCount += group.size();
            bytes += size;
            writes.push_back(std::move(write));
        }
    }
    addLearnedRows(writes, rowCount, bytes, now);
    if (!commitWrites(writes, rejected))
        return false;
    if (rejected.erase(NoJob) > 0) {
        telemetry::Event("learned_state_rejected")
            .with("pause_s", absl::ToInt64Seconds(LearnedRows::RejectionPause));
        m_learnedRows.rejected(now);
    } else if (!writes.empty() && writes.back().job == NoJob) {
        m_learnedRows.stored(writes.back().puts, now);
    }
    return rejected.empty() || failRejected(rejected, now);
}

bool Leader::commitWrites(const std::vector<ProgressWrite> &writes, std::set<std::string> &rejected)
{
    std::vector<StoredRow> puts;
    std::vector<StoredRow> removals;
    for (const ProgressWrite &write : writes) {
        // The parts of a job's progress depend on those before them.
        if (rejected.contains(write.job))
            continue;
        puts.insert(puts.end(), write.puts.begin(), write.puts.end());
        removals.insert(removals.end(), write.removals.begin(), write.removals.end());
    }
    const LeaderLog::Outcome outcome = commit(puts, removals);
    if (outcome != LeaderLog::Outcome::Rejected)
        return leads(outcome);
    if (writes.size() == 1) {
        rejected.insert(writes.front().job);
        return true;
    }
    return std::all_of(writes.begin(), writes.end(), [&](const ProgressWrite &write) {
        return rejected.contains(write.job) || commitWrites({write}, rejected);
    });
}

bool Leader::failRejected(const std::set<std::string> &rejected, core::Instant now)
{
    for (const std::string &id : rejected) {
        telemetry::Event("progress_rejected").with("job", id);
        m_metrics.add("jobs_rejected_by_store");
        m_planner.failJob(id, now);
        for (const planning::ProgressGroup &group : m_planner.takeProgressChanges(id)) {
            const ProgressWrite write = progressWrite(id, group);
            if (!leads(commit(write.puts, write.removals)))
                return false;
        }
    }
    return true;
}

void Leader::publish(const std::set<std::string> &changed)
{
    absl::MutexLock lock(&m_mutex);
    for (const std::string &id : changed) {
        const planning::JobRecord &record = *m_planner.job(id);
        View &view = m_views[id];
        if (planning::ended(record.state()) && !planning::ended(view.state)) {
            telemetry::Event("job_ended").with("job", id).with("state", toString(record.state()));
            m_metrics.add(std::string("jobs_ended{state=\"") + toString(record.state()) + "\"}");
        }
        view = {record.job().account, record.job().queue, record.state(), record.begun()};
    }
}

} // namespace oleandercross::control
