#include <oleandercross/planning/jobrecord.h>

#include <oleandercross/core/json.h>
#include <oleandercross/core/resultcode.h>

#include <algorithm>
#include <array>
#include <utility>

namespace oleandercross::planning {

namespace {

constexpr std::array<const char *, 5> JobStateNames = {"queued", "running", "completed", "failed",
                                                       "cancelled"};
constexpr std::array<const char *, 6> RunEndNames = {"completed", "failed", "stopped",
                                                     "lapsed",    "broken", "alone"};

// A job fails when this many workers have crashed right after the start of one of its tasks. A task
// that did not cause the first crash seldom gets there, since suspected tasks start apart from
// others.
constexpr int MaxStartCrashes = 3;
// A job also fails when this many workers have crashed under one of its tasks without a new
// checkpoint in between; the crashes of weeks must not add up for a task that advances. The
// platform allows two more starts after three crashes.
constexpr int MaxCrashes = 5;
// A crash of the worker within this time of a confirmed start is attributed to the task. Agents
// notice a crash within 0.3 s; the rest is for the report to the leader.
constexpr absl::Duration CrashAttributionTime = absl::Seconds(1);

void resetRun(Task &task)
{
    task.phase = TaskPhase::Pending;
    if (task.completedRun > 0) {
        task.phase = TaskPhase::Done;
        task.run = std::exchange(task.completedRun, 0);
    }
    task.running = false;
    task.stopRequested = false;
    task.percent = 0;
}

} // namespace

const char *toString(JobState state)
{
    return JobStateNames.at(static_cast<std::size_t>(state));
}

std::optional<JobState> parseJobState(const std::string &text)
{
    const auto found = std::find(JobStateNames.begin(), JobStateNames.end(), text);
    if (found == JobStateNames.end())
        return core::fail(core::ResultCode::BadField, "\"" + text + "\" is not a job state");
    return static_cast<JobState>(found - JobStateNames.begin());
}

bool ended(JobState state)
{
    return state != JobState::Queued && state != JobState::Running;
}

const char *toString(RunEnd end)
{
    return RunEndNames.at(static_cast<std::size_t>(end));
}

bool Task::startedRecently(core::Instant now) const
{
    return now - runningSince < CrashAttributionTime;
}

bool Occurrence::complete() const
{
    return std::all_of(steps.begin(), steps.end(), [](const StepProgress &step) {
        return std::all_of(step.tasks.begin(), step.tasks.end(),
                           [](const Task &task) { return task.phase == TaskPhase::Done; });
    });
}

JobRecord::JobRecord(workload::Job job, core::Instant acceptedAt)
    : m_job(std::move(job))
    , m_acceptedAt(acceptedAt)
{
    for (const workload::Step &step : m_job.steps)
        m_tasksPerOccurrence += step.tasks;
    m_hasParts = m_tasksPerOccurrence * m_job.occurrences > TasksPerPart;
    if (!m_job.scheduled) {
        m_occurrences.emplace(0, newOccurrence());
        m_nextOccurrence = 1;
    }
}

Occurrence JobRecord::newOccurrence() const
{
    Occurrence occurrence;
    for (const workload::Step &step : m_job.steps) {
        occurrence.steps.emplace_back();
        occurrence.steps.back().tasks.resize(static_cast<std::size_t>(step.tasks));
    }
    return occurrence;
}

Task *JobRecord::task(const workload::TaskKey &key)
{
    return const_cast<Task *>(std::as_const(*this).task(key));
}

const Task *JobRecord::task(const workload::TaskKey &key) const
{
    const auto found = m_occurrences.find(key.occurrence);
    if (found == m_occurrences.end() || key.step < 0 || key.index < 0)
        return nullptr;
    const auto step = static_cast<std::size_t>(key.step);
    const auto index = static_cast<std::size_t>(key.index);
    if (step >= found->second.steps.size() || index >= found->second.steps[step].tasks.size())
        return nullptr;
    return &found->second.steps[step].tasks[index];
}

StepProgress *JobRecord::step(const workload::TaskKey &key)
{
    const auto found = m_occurrences.find(key.occurrence);
    const auto step = static_cast<std::size_t>(key.step);
    if (found == m_occurrences.end() || key.step < 0 || step >= found->second.steps.size())
        return nullptr;
    return &found->second.steps[step];
}

bool JobRecord::hasActiveTasks() const
{
    for (const auto &[number, occurrence] : m_occurrences) {
        for (const StepProgress &step : occurrence.steps) {
            for (const Task &task : step.tasks) {
                if (task.phase == TaskPhase::Active)
                    return true;
            }
        }
    }
    return false;
}

double JobRecord::completedFraction() const
{
    int done = 0;
    int all = 0;
    for (const auto &[number, occurrence] : m_occurrences) {
        for (const StepProgress &step : occurrence.steps) {
            all += static_cast<int>(step.tasks.size());
            done += static_cast<int>(
                std::count_if(step.tasks.begin(), step.tasks.end(),
                              [](const Task &task) { return task.phase == TaskPhase::Done; }));
        }
    }
    return all == 0 ? 0 : static_cast<double>(done) / all;
}

void JobRecord::openDueOccurrences(std::int64_t unixMs)
{
    if (ended(m_state))
        return;
    const auto mayOpen = [this] {
        const auto open = static_cast<std::int64_t>(m_occurrences.size());
        return open == 0 || (open + 1) * m_tasksPerOccurrence <= MaxOpenTasks;
    };
    while (m_nextOccurrence < m_job.occurrences && mayOpen()
           && m_job.firstDueMs + m_nextOccurrence * m_job.intervalMs <= unixMs) {
        m_occurrences.emplace(m_nextOccurrence, newOccurrence());
        ++m_nextOccurrence;
    }
}

bool JobRecord::ready(const Occurrence &occurrence, int step) const
{
    for (const int earlier : m_job.steps[static_cast<std::size_t>(step)].after) {
        for (const Task &task : occurrence.steps[static_cast<std::size_t>(earlier)].tasks) {
            if (!task.hasCompleted())
                return false;
        }
    }
    return true;
}

void JobRecord::start(const workload::TaskKey &key, int run, const std::string &worker,
                      core::Instant now)
{
    Task *target = task(key);
    target->phase = TaskPhase::Active;
    target->run = run;
    target->worker = worker;
    target->running = false;
    target->startNotSent = false;
    target->savedCheckpoint = false;
    target->runningSince = absl::InfiniteFuture();
    target->stopRequested = false;
    target->orderSentAt = absl::InfinitePast();
    target->startedAt = now;
    target->percent = 0;
    target->percentChangedAt = now;
    target->lastListedAt = now;
    target->progressRate = 0;
    target->bestProgressRate = 0;
    target->startedWithoutCheckpoint = target->checkpoint.empty();
    target->rateBasePercent = target->startedWithoutCheckpoint ? 0 : -1;
    target->rateBaseAt = now;
    markChanged(key);
    m_begun = true;
    if (m_state == JobState::Queued)
        m_state = JobState::Running;
}

bool JobRecord::awaitsEnd(const workload::RunKey &key, const std::string &worker) const
{
    const Task *latest = task(key.task);
    return latest && latest->phase != TaskPhase::Done && latest->run == key.run
        && latest->worker == worker;
}

bool JobRecord::end(const workload::RunKey &key, const std::string &worker, RunEnd outcome,
                    const std::string &checkpoint, core::Instant now)
{
    if (!awaitsEnd(key, worker))
        return outcome == RunEnd::Completed && completeByEarlierRun(key, now);
    Task *target = task(key.task);
    const bool superseded = target->completedRun > 0;
    // The worker lists the end until it is acknowledged, and a run that has been given up could be
    // counted again.
    target->worker.clear();
    resetRun(*target);
    markChanged(key.task);
    if (superseded) {
        closeCompletedOccurrences(now);
        return true;
    }
    StepProgress &step =
        m_occurrences.at(key.task.occurrence).steps[static_cast<std::size_t>(key.task.step)];
    saveCheckpoint(key.task, checkpoint);
    if (outcome == RunEnd::Completed)
        target->phase = TaskPhase::Done;
    if (outcome == RunEnd::Failed) {
        ++target->failures;
        target->workersWithFailedRuns.insert(worker);
    }
    if (m_job.steps[static_cast<std::size_t>(key.task.step)].gang)
        applyRunEndToGang(step, key, outcome, checkpoint);
    const int failures = m_job.steps[static_cast<std::size_t>(key.task.step)].gang
        ? step.gangFailures
        : target->failures;
    if (!ended(m_state) && failures >= m_job.terms.attempts)
        finish(JobState::Failed, now);
    closeCompletedOccurrences(now);
    return true;
}

bool JobRecord::completeByEarlierRun(const workload::RunKey &key, core::Instant now)
{
    const Task *target = task(key.task);
    if (!target || ended(m_state) || key.run <= 0)
        return false;
    bool changed = false;
    std::vector<Task> &tasks = step(key.task)->tasks;
    const bool gang = m_job.steps[static_cast<std::size_t>(key.task.step)].gang;
    for (std::size_t i = 0; i < tasks.size(); ++i) {
        Task &completed = tasks[i];
        // The members of a gang complete together.
        if ((!gang && &completed != target) || completed.hasCompleted() || key.run >= completed.run)
            continue;
        completed.completedRun = key.run;
        // The capacity of an active run stays occupied until its end is confirmed.
        if (completed.phase == TaskPhase::Pending)
            resetRun(completed);
        workload::TaskKey member = key.task;
        member.index = static_cast<int>(i);
        markChanged(member);
        changed = true;
    }
    if (changed)
        closeCompletedOccurrences(now);
    return changed;
}

void JobRecord::applyRunEndToGang(StepProgress &step, const workload::RunKey &key, RunEnd outcome,
                                  const std::string &checkpoint)
{
    if (outcome == RunEnd::Failed && step.lastFailedRun != key.run) {
        step.lastFailedRun = key.run;
        ++step.gangFailures;
    }
    for (std::size_t i = 0; i < step.tasks.size(); ++i) {
        Task &member = step.tasks[i];
        const workload::TaskKey memberKey{key.task.job, key.task.occurrence, key.task.step,
                                          static_cast<int>(i)};
        markChanged(memberKey);
        saveCheckpoint(memberKey, checkpoint);
        // The members of a gang complete together, so the completion of one applies to all.
        if (outcome == RunEnd::Completed && member.run == key.run) {
            resetRun(member);
            member.phase = TaskPhase::Done;
        }
    }
}

bool JobRecord::requeue(const workload::RunKey &key, const std::string &worker, core::Instant now)
{
    Task *target = task(key.task);
    if (!target || target->phase != TaskPhase::Active || target->run != key.run
        || target->worker != worker)
        return false;
    resetRun(*target);
    markChanged(key.task);
    if (target->phase == TaskPhase::Done)
        closeCompletedOccurrences(now);
    return true;
}

bool JobRecord::move(const workload::RunKey &key, const std::string &from, const std::string &to)
{
    Task *target = task(key.task);
    if (!target || target->phase != TaskPhase::Active || target->run != key.run
        || target->worker != from)
        return false;
    target->worker = to;
    markChanged(key.task);
    return true;
}

bool JobRecord::saveCheckpoint(const workload::TaskKey &key, const std::string &checkpoint)
{
    Task *target = task(key);
    if (!target || checkpoint.empty() || checkpoint == target->checkpoint
        || core::writeJson(checkpoint).size() > MaxCheckpointBytes)
        return false;
    target->checkpoint = checkpoint;
    markChanged(key);
    return true;
}

void JobRecord::markChanged(const workload::TaskKey &key)
{
    if (m_hasParts)
        m_changedParts.insert({key.occurrence, key.step, key.index / TasksPerPart});
}

bool JobRecord::workerCrashed(const workload::RunKey &key, const std::string &worker,
                              core::Instant now)
{
    if (!requeue(key, worker, now))
        return false;
    Task *target = task(key.task);
    if (!target || target->phase == TaskPhase::Done)
        return true;
    target->crashes = target->savedCheckpoint ? 1 : target->crashes + 1;
    if (target->startedRecently(now))
        ++target->startCrashes;
    const bool tooMany = target->startCrashes >= MaxStartCrashes || target->crashes >= MaxCrashes;
    if (!ended(m_state) && tooMany)
        finish(JobState::Failed, now);
    return true;
}

bool JobRecord::cancel(core::Instant now)
{
    if (ended(m_state))
        return false;
    finish(JobState::Cancelled, now);
    return true;
}

bool JobRecord::fail(core::Instant now)
{
    if (ended(m_state))
        return false;
    finish(JobState::Failed, now);
    return true;
}

void JobRecord::closeCompletedOccurrences(core::Instant now)
{
    if (ended(m_state))
        return;
    for (auto it = m_occurrences.begin(); it != m_occurrences.end();) {
        if (!it->second.complete()) {
            ++it;
            continue;
        }
        const auto end = m_storedParts.lower_bound({it->first + 1, 0, 0});
        m_changedParts.insert(m_storedParts.lower_bound({it->first, 0, 0}), end);
        it = m_occurrences.erase(it);
    }
    if (m_occurrences.empty() && m_nextOccurrence >= m_job.occurrences)
        finish(JobState::Completed, now);
}

void JobRecord::finish(JobState state, core::Instant now)
{
    m_state = state;
    m_endedAt = now;
    m_changedParts.insert(m_storedParts.begin(), m_storedParts.end());
}

} // namespace oleandercross::planning
