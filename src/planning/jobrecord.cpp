#include <oleandercross/planning/jobrecord.h>

#include <oleandercross/core/json.h>
#include <oleandercross/core/resultcode.h>

#include <algorithm>
#include <array>

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
    task.running = false;
    task.stopRequested = false;
    task.percent = 0;
}

Json::Value encodeTask(const workload::TaskKey &key, const Task &task)
{
    Json::Value row(Json::arrayValue);
    row.append(key.occurrence);
    row.append(key.step);
    row.append(key.index);
    row.append(static_cast<int>(task.phase));
    row.append(task.run);
    row.append(task.failures);
    row.append(task.worker);
    row.append(task.checkpoint);
    return row;
}

// Run numbers and counts beyond this limit do not occur; it leaves room for counting further.
constexpr int MaxStoredCount = 1 << 30;

// Returns true if the row is an array that starts with `count` integers from 0 to MaxStoredCount.
bool startsWithCounts(const Json::Value &row, Json::ArrayIndex count)
{
    if (!row.isArray() || row.size() < count)
        return false;
    for (Json::ArrayIndex i = 0; i < count; ++i) {
        if (!row[i].isInt() || row[i].asInt() < 0 || row[i].asInt() > MaxStoredCount)
            return false;
    }
    return true;
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
    while (m_nextOccurrence < m_job.occurrences
           && m_job.firstDueMs + m_nextOccurrence * m_job.intervalMs <= unixMs) {
        m_occurrences.emplace(m_nextOccurrence, newOccurrence());
        ++m_nextOccurrence;
    }
}

bool JobRecord::ready(const Occurrence &occurrence, int step) const
{
    for (const int earlier : m_job.steps[static_cast<std::size_t>(step)].after) {
        for (const Task &task : occurrence.steps[static_cast<std::size_t>(earlier)].tasks) {
            if (task.phase != TaskPhase::Done)
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
    m_begun = true;
    if (m_state == JobState::Queued)
        m_state = JobState::Running;
}

bool JobRecord::end(const workload::RunKey &key, const std::string &worker, RunEnd outcome,
                    const std::string &checkpoint, core::Instant now)
{
    Task *target = task(key.task);
    if (!target || target->phase != TaskPhase::Active || target->run != key.run
        || target->worker != worker)
        return false;
    StepProgress &step =
        m_occurrences.at(key.task.occurrence).steps[static_cast<std::size_t>(key.task.step)];
    if (!checkpoint.empty())
        target->checkpoint = checkpoint;
    resetRun(*target);
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

void JobRecord::applyRunEndToGang(StepProgress &step, const workload::RunKey &key, RunEnd outcome,
                                  const std::string &checkpoint)
{
    if (outcome == RunEnd::Failed && step.lastFailedRun != key.run) {
        step.lastFailedRun = key.run;
        ++step.gangFailures;
    }
    for (Task &member : step.tasks) {
        if (!checkpoint.empty())
            member.checkpoint = checkpoint;
        // The members of a gang complete together, so the completion of one applies to all.
        if (outcome == RunEnd::Completed && member.run == key.run) {
            resetRun(member);
            member.phase = TaskPhase::Done;
        }
    }
}

bool JobRecord::requeue(const workload::RunKey &key, const std::string &worker)
{
    Task *target = task(key.task);
    if (!target || target->phase != TaskPhase::Active || target->run != key.run
        || target->worker != worker)
        return false;
    resetRun(*target);
    return true;
}

bool JobRecord::workerCrashed(const workload::RunKey &key, const std::string &worker,
                              core::Instant now)
{
    if (!requeue(key, worker))
        return false;
    Task *target = task(key.task);
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

void JobRecord::closeCompletedOccurrences(core::Instant now)
{
    if (ended(m_state))
        return;
    for (auto it = m_occurrences.begin(); it != m_occurrences.end();)
        it = it->second.complete() ? m_occurrences.erase(it) : std::next(it);
    if (m_occurrences.empty() && m_nextOccurrence >= m_job.occurrences)
        finish(JobState::Completed, now);
}

void JobRecord::finish(JobState state, core::Instant now)
{
    m_state = state;
    m_endedAt = now;
}

std::string JobRecord::encode() const
{
    Json::Value value(Json::objectValue);
    value["state"] = toString(m_state);
    value["next"] = m_nextOccurrence;
    for (const auto &[number, occurrence] : m_occurrences) {
        value["open"].append(number);
        for (std::size_t s = 0; s < occurrence.steps.size(); ++s) {
            const StepProgress &step = occurrence.steps[s];
            if (step.gangFailures > 0) {
                Json::Value row(Json::arrayValue);
                row.append(number);
                row.append(static_cast<int>(s));
                row.append(step.gangFailures);
                row.append(step.lastFailedRun);
                value["gangs"].append(row);
            }
            for (std::size_t i = 0; i < step.tasks.size(); ++i) {
                const Task &task = step.tasks[i];
                if (task.crashes > 0) {
                    Json::Value row(Json::arrayValue);
                    row.append(number);
                    row.append(static_cast<int>(s));
                    row.append(static_cast<int>(i));
                    row.append(task.crashes);
                    row.append(task.startCrashes);
                    value["crashes"].append(row);
                }
                // An ended job only stores the tasks that still have to be stopped.
                if (task.run > 0 && (!ended(m_state) || task.phase == TaskPhase::Active))
                    value["tasks"].append(
                        encodeTask({{}, number, static_cast<int>(s), static_cast<int>(i)}, task));
            }
        }
    }
    return core::writeJson(value);
}

void JobRecord::restoreGangFailures(const Json::Value &row)
{
    if (!startsWithCounts(row, 4))
        return;
    StepProgress *target = step({{}, row[0].asInt(), row[1].asInt(), 0});
    if (!target)
        return;
    target->gangFailures = row[2].asInt();
    target->lastFailedRun = row[3].asInt();
}

void JobRecord::restoreTask(const Json::Value &row)
{
    if (!startsWithCounts(row, 6) || row.size() != 8 || !row[6].isString() || !row[7].isString())
        return;
    Task *target = task({{}, row[0].asInt(), row[1].asInt(), row[2].asInt()});
    if (!target || row[3].asInt() > static_cast<int>(TaskPhase::Done))
        return;
    target->phase = static_cast<TaskPhase>(row[3].asInt());
    target->run = row[4].asInt();
    target->failures = row[5].asInt();
    target->worker = row[6].asString();
    target->checkpoint = row[7].asString();
    m_begun = true;
}

void JobRecord::restoreCrashes(const Json::Value &row)
{
    if (!startsWithCounts(row, 5))
        return;
    Task *target = task({{}, row[0].asInt(), row[1].asInt(), row[2].asInt()});
    if (!target)
        return;
    target->crashes = row[3].asInt();
    target->startCrashes = row[4].asInt();
}

bool JobRecord::restoreOccurrences(const Json::Value &progress)
{
    const auto next = core::requiredInt(progress, "next", {0, m_job.occurrences});
    if (!next)
        return false;
    m_nextOccurrence = static_cast<int>(*next);
    m_occurrences.clear();
    for (const Json::Value &number : core::member(progress, "open")) {
        if (number.isInt() && number.asInt() >= 0 && number.asInt() < m_nextOccurrence)
            m_occurrences.emplace(number.asInt(), newOccurrence());
    }
    return true;
}

bool JobRecord::restore(const std::string &text, core::Instant now)
{
    const std::optional<Json::Value> value = core::parseJson(text);
    if (!value)
        return false;
    const std::optional<JobState> state = parseJobState(core::stringMember(*value, "state"));
    if (!state)
        return false;
    if (!restoreOccurrences(*value))
        return false;
    for (const Json::Value &row : core::member(*value, "gangs"))
        restoreGangFailures(row);
    for (const Json::Value &row : core::member(*value, "tasks"))
        restoreTask(row);
    for (const Json::Value &row : core::member(*value, "crashes"))
        restoreCrashes(row);
    for (auto &[number, occurrence] : m_occurrences) {
        for (StepProgress &step : occurrence.steps) {
            for (Task &task : step.tasks) {
                task.startedAt = now;
                task.percentChangedAt = now;
                task.lastListedAt = now;
                task.rateBaseAt = now;
                task.rateBasePercent = -1;
            }
        }
    }
    m_begun = m_begun || *state != JobState::Queued;
    m_state = *state;
    if (ended(m_state))
        m_endedAt = now;
    return true;
}

} // namespace oleandercross::planning
