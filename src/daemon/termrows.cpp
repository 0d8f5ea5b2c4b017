#include <oleandercross/daemon/term.h>

#include <oleandercross/core/json.h>
#include <oleandercross/core/resultcode.h>

namespace oleandercross::daemon {

namespace {

constexpr absl::Duration WriteTimeout = absl::Seconds(10);
constexpr absl::Duration ReadTimeout = absl::Seconds(2);
constexpr absl::Duration RetryDelay = absl::Seconds(1);

} // namespace

// Writes the job's row. The record of an ended job is moved to its done row.
void Term::persist(ActiveJob &job)
{
    if (job.writing) {
        job.dirty = true;
        return;
    }
    job.writing = true;
    job.dirty = false;
    const JobRecord &record = job.record;
    const core::JobId id = record.spec.id;
    const bool ended = scheduling::ended(record.state);
    const std::string key = jobKey(record.dataCentre, id);
    platform::Transaction transaction;
    transaction.conditions = {{key, job.rowVersion}, m_epochCondition};
    const std::string value = core::writeJson(encode(record));
    if (ended) {
        transaction.deletes = {key};
        transaction.puts = {{doneKey(record.dataCentre, id), value}};
    } else {
        transaction.puts = {{key, value}};
    }
    m_context.store.submit(std::move(transaction), platform::WritePriority::Job, WriteTimeout,
                           [this, id, ended](const platform::WriteResult &result) {
                               m_executor.post(
                                   [this, id, ended, result] { persisted(id, ended, result); });
                           });
}

void Term::persisted(const core::JobId &id, bool ended, const platform::WriteResult &result)
{
    if (result.outcome == platform::WriteOutcome::Applied) {
        absl::MutexLock lock(&m_mutex);
        const auto job = m_jobs.find(id);
        if (job == m_jobs.end())
            return;
        if (ended) {
            removeEndedJob(job);
            return;
        }
        job->second.rowVersion = result.version;
        writeFinished(job->second);
        return;
    }
    m_context.metrics.add("job_writes_failed");
    // The version of the row has to be read again before the next attempt.
    m_executor.after(RetryDelay, [this, id] { resync(id); });
}

void Term::writeFinished(ActiveJob &job)
{
    job.writing = false;
    if (job.dirty) {
        persist(job);
        return;
    }
    if (job.pendingStart) {
        const scheduling::StartGang start = *job.pendingStart;
        job.pendingStart.reset();
        startGang(job, start);
    }
}

std::optional<Term::ActiveJob> Term::readRow(const core::JobId &id, bool &missing)
{
    missing = false;
    const auto row = m_context.store.read(jobKey(m_context.settings.dataCentre, id), ReadTimeout);
    if (!row)
        return std::nullopt;
    if (!*row) {
        missing = true;
        return std::nullopt;
    }
    std::optional<JobRecord> record = decodeJobRecord((*row)->value);
    if (!record)
        return std::nullopt;
    ActiveJob job;
    job.record = std::move(*record);
    job.rowVersion = (*row)->version;
    job.changedAt = m_clock.now();
    return job;
}

void Term::removeEndedJob(Jobs::iterator job)
{
    if (m_addingJobs > 0)
        m_removedWhileAdding.insert(job->first);
    m_jobs.erase(job);
}

// Reads the row's version after a failed write or a change by another entry, then writes again.
// Only the current epoch may change the state of a job, so a change by another entry can only be a
// cancellation request.
void Term::resync(const core::JobId &id)
{
    bool missing = false;
    const std::optional<ActiveJob> row = readRow(id, missing);
    absl::MutexLock lock(&m_mutex);
    const auto found = m_jobs.find(id);
    if (m_stopping || found == m_jobs.end())
        return;
    ActiveJob &job = found->second;
    if (missing) {
        // The write that moved the job to its done row was applied, but its answer was lost.
        if (scheduling::ended(job.record.state))
            removeEndedJob(found);
        else
            job.rowVersion = 0;
        return;
    }
    if (!row) {
        m_executor.after(RetryDelay, [this, id] { resync(id); });
        return;
    }
    const bool cancel = row->record.cancelRequested && !job.record.cancelRequested;
    job.rowVersion = row->rowVersion;
    job.writing = false;
    job.record.cancelRequested = job.record.cancelRequested || cancel;
    persist(job);
    if (cancel)
        apply(scheduling::JobCancelled{id});
}

} // namespace oleandercross::daemon
