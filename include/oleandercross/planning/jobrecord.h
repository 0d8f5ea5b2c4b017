#pragma once

#include <oleandercross/core/clock.h>
#include <oleandercross/planning/progress.h>
#include <oleandercross/workload/job.h>

#include <json/value.h>

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace oleandercross::planning {

enum class JobState { Queued, Running, Completed, Failed, Cancelled };

// Returns "queued", "running", "completed", "failed" or "cancelled", as in stored rows and logs.
const char *toString(JobState state);
std::optional<JobState> parseJobState(const std::string &text);

// Returns true for Completed, Failed and Cancelled.
bool ended(JobState state);

// How a run ended, as reported by its worker. Lapsed: the lease of the worker expired. Broken:
// another member of the gang ended without completing. Alone: the other members of the gang did not
// start in time.
enum class RunEnd { Completed, Failed, Stopped, Lapsed, Broken, Alone };

const char *toString(RunEnd end);

// A task is Active from the decision to start it until the end of its run is confirmed.
enum class TaskPhase { Pending, Active, Done };

struct Task
{
    TaskPhase phase = TaskPhase::Pending;
    // The number of the latest run; 0 before the first.
    int run = 0;
    int failures = 0;
    // Workers that crashed while they ran this task since it last saved a new checkpoint, and those
    // that crashed right after its start, so that the task is the likely cause.
    int crashes = 0;
    int startCrashes = 0;
    // The key of the worker of the latest run; empty once the end of that run is recorded.
    std::string worker;
    // The latest checkpoint that a worker reported, passed to the next run unchanged; empty if
    // there is none.
    std::string checkpoint;
    // An earlier run that turned out to have completed after the latest one was started; 0 if there
    // is none. The latest run is then only to be stopped.
    int completedRun = 0;

    // The members below are not stored; a restore resets them.
    // The worker confirmed the start, or listed the run in its latest listing.
    bool running = false;
    // The worker has not received the latest start order.
    bool startNotSent = false;
    // When the worker first confirmed or listed the run; infinite future before that, infinite past
    // after a restore.
    core::Instant runningSince = absl::InfinitePast();
    // A stop is to be ordered, or is ordered and not confirmed.
    bool stopRequested = false;
    // The reason of the stop, for the log.
    std::string stopReason;
    // When the latest start or stop order for this run was sent; reset when a stop is requested.
    core::Instant orderSentAt = absl::InfinitePast();
    // The time of the decision to start the run, or of the restore.
    core::Instant startedAt = absl::InfinitePast();
    int percent = 0;
    core::Instant percentChangedAt = absl::InfinitePast();
    // When the worker last listed the run.
    core::Instant lastListedAt = absl::InfinitePast();
    // The latest and the highest progress rate in percent per second.
    double progressRate = 0;
    double bestProgressRate = 0;
    // The progress from which the next rate is measured; negative until the first progress report
    // if the run started from a checkpoint or the record was restored.
    int rateBasePercent = 0;
    core::Instant rateBaseAt = absl::InfinitePast();
    // Keys of the workers on which a run of this task failed, and of those that refused to start
    // one.
    std::set<std::string> workersWithFailedRuns;
    std::set<std::string> refusingWorkers;
    // The run has saved a new checkpoint.
    bool savedCheckpoint = false;
    // The run did not start from a checkpoint, so its progress allows an estimate of the run time.
    bool startedWithoutCheckpoint = false;

    // Returns true while the run may be the cause if its worker crashes: its start is not
    // confirmed, or was confirmed less than a second ago.
    bool startedRecently(core::Instant now) const;
    // Returns true if a run has completed, also if another one is still to be stopped.
    bool hasCompleted() const { return phase == TaskPhase::Done || completedRun > 0; }
    // Returns true if the task probably has crashed a worker.
    bool isSuspect() const { return startCrashes > 0; }
};

// The progress of one step of one occurrence.
struct StepProgress
{
    std::vector<Task> tasks;
    // Failed runs of the gang; a run that several members report as failed counts once.
    int gangFailures = 0;
    int lastFailedRun = 0;

    // The members below are not stored.
    // The run time of a task on a worker of average speed, extrapolated from the run with the most
    // progress, and the progress of that run in percent.
    absl::Duration observedTaskTime = absl::ZeroDuration();
    int observedPercent = 0;
    // The number of tasks that completed without starting from a checkpoint, and their mean run
    // time, scaled to a worker of average speed.
    int timedTaskCount = 0;
    absl::Duration meanTaskTime = absl::ZeroDuration();
    core::Instant readySince = absl::InfiniteFuture();
    // Capacity reserved for this step while pre-empted tasks stop: the number of tasks by worker.
    std::map<std::string, int> reservation;
    core::Instant reservedUntil = absl::InfinitePast();
};

struct Occurrence
{
    std::vector<StepProgress> steps;

    bool complete() const;
};

// The progress of an accepted job. end(), requeue(), workerCrashed() and cancel() return whether
// the stored form changed.
class JobRecord
{
public:
    JobRecord(workload::Job job, core::Instant acceptedAt);

    const workload::Job &job() const { return m_job; }
    JobState state() const { return m_state; }
    core::Instant acceptedAt() const { return m_acceptedAt; }
    // Returns when this process recorded the end of the job or restored the ended job; infinite
    // future before.
    core::Instant endedAt() const { return m_endedAt; }
    std::map<int, Occurrence> &occurrences() { return m_occurrences; }
    const std::map<int, Occurrence> &occurrences() const { return m_occurrences; }

    // Returns null if the occurrence is not open or the task does not exist.
    Task *task(const workload::TaskKey &key);
    const Task *task(const workload::TaskKey &key) const;
    // Returns null if the occurrence is not open or the step does not exist.
    StepProgress *step(const workload::TaskKey &key);
    bool hasActiveTasks() const;
    // Returns the fraction of the tasks of the open occurrences that are done, from 0 to 1.
    double completedFraction() const;
    // Returns true once a task of the job has been started.
    bool begun() const { return m_begun; }

    // Opens the occurrences that are due at this Unix time, within MaxOpenTasks.
    void openDueOccurrences(std::int64_t unixMs);
    // Returns true if the tasks of all steps that the step depends on have completed.
    bool ready(const Occurrence &occurrence, int step) const;

    // Records the decision to start a run on a worker.
    void start(const workload::TaskKey &key, int run, const std::string &worker, core::Instant now);
    // Returns true if the run is the task's latest one, was started on that worker, and its end has
    // not been recorded. The run may have been given up.
    bool awaitsEnd(const workload::RunKey &key, const std::string &worker) const;
    // Records the end of a run that awaits it, or the completion of an earlier run, which is as
    // good as one of the latest run. Returns false for other ends, which change nothing.
    bool end(const workload::RunKey &key, const std::string &worker, RunEnd outcome,
             const std::string &checkpoint, core::Instant now);
    // Makes the task pending again after its run was confirmed absent or its worker was removed.
    // The run is given up, but its end may still be recorded. Returns false if it is not the task's
    // current run on that worker.
    bool requeue(const workload::RunKey &key, const std::string &worker, core::Instant now);
    // Makes the task pending again after its worker crashed. The job fails if its tasks have
    // crashed too many workers. Returns false if it is not the task's current run on that worker.
    bool workerCrashed(const workload::RunKey &key, const std::string &worker, core::Instant now);
    // Return false if the job has already ended.
    bool cancel(core::Instant now);
    bool fail(core::Instant now);

    // Moves the task's current run to another worker. Returns false if it is not on `from`.
    bool move(const workload::RunKey &key, const std::string &from, const std::string &to);
    // Records a checkpoint of a task. Returns true if it is a new one; an empty or too large one is
    // ignored.
    bool saveCheckpoint(const workload::TaskKey &key, const std::string &checkpoint);

    // Returns the stored form of the progress.
    ProgressRows encode() const;
    // Returns the changes of the stored form since the last call or the restore. The groups must
    // take effect in this order.
    std::vector<ProgressGroup> takeProgressChanges();
    // Returns true if the restored progress differs from the rows that it was read from.
    bool differsFromStore() const { return m_headChanged || !m_changedParts.empty(); }
    bool hasStoredParts() const { return !m_storedParts.empty(); }
    // Restores the progress from its stored form. Fails with BadJson or BadField.
    bool restore(const ProgressRows &rows, core::Instant now);

private:
    void closeCompletedOccurrences(core::Instant now);
    void finish(JobState state, core::Instant now);
    // Records that a run before the latest one has completed. Returns false if nothing changes.
    bool completeByEarlierRun(const workload::RunKey &key, core::Instant now);
    void applyRunEndToGang(StepProgress &step, const workload::RunKey &key, RunEnd outcome,
                           const std::string &checkpoint);
    // Read parts of the stored progress. Rows with a number out of range and rows that name no open
    // occurrence, step or task of this job are ignored.
    void restoreGangFailures(const Json::Value &row);
    void restoreTask(const Json::Value &row);
    void restoreCrashes(const Json::Value &row);
    void restoreCompletedRun(const Json::Value &row);
    void restoreDone(const Json::Value &row);
    void restoreTasks(const Json::Value &value);
    bool restorePart(const std::string &name, const std::string &text);
    // Completes all members of gangs of which one has completed.
    void completeGangs();
    std::string encodeHead() const;
    // Returns nothing if there is nothing to store.
    std::optional<std::string> encodePart(const ProgressPart &part) const;
    void markChanged(const workload::TaskKey &key);
    // Fails with BadField if the number of the next occurrence is missing or out of range.
    bool restoreOccurrences(const Json::Value &progress);
    Occurrence newOccurrence() const;

    workload::Job m_job;
    core::Instant m_acceptedAt;
    core::Instant m_endedAt = absl::InfiniteFuture();
    JobState m_state = JobState::Queued;
    bool m_begun = false;
    // Occurrences that have been opened and are not complete.
    std::map<int, Occurrence> m_occurrences;
    // Occurrences 0 to m_nextOccurrence - 1 have been opened.
    int m_nextOccurrence = 0;
    std::int64_t m_tasksPerOccurrence = 0;
    // The tasks are stored in parts, not in the head.
    bool m_hasParts = false;
    std::set<ProgressPart> m_storedParts;
    // The parts that differ from their stored form, or are to be removed.
    std::set<ProgressPart> m_changedParts;
    bool m_headChanged = false;
};

} // namespace oleandercross::planning
