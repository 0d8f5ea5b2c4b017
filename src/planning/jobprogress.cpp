#include <oleandercross/planning/jobrecord.h>

#include <oleandercross/core/json.h>
#include <oleandercross/core/resultcode.h>

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>

#include <algorithm>

namespace oleandercross::planning {

namespace {

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

Json::Value encodeCounts(std::initializer_list<int> counts)
{
    Json::Value row(Json::arrayValue);
    for (const int count : counts)
        row.append(count);
    return row;
}

void appendGangFailures(Json::Value &value, int occurrence, int step, const StepProgress &progress)
{
    if (progress.gangFailures > 0)
        value["gangs"].append(
            encodeCounts({occurrence, step, progress.gangFailures, progress.lastFailedRun}));
}

void appendCrashes(Json::Value &value, const workload::TaskKey &key, const Task &task)
{
    if (task.crashes > 0)
        value["crashes"].append(
            encodeCounts({key.occurrence, key.step, key.index, task.crashes, task.startCrashes}));
}

void appendCompletedRun(Json::Value &value, const workload::TaskKey &key, const Task &task)
{
    if (task.completedRun > 0)
        value["completed"].append(
            encodeCounts({key.occurrence, key.step, key.index, task.completedRun}));
}

// Adds a completed task to the last range of completed tasks if it continues it.
void appendDone(Json::Value &value, const workload::TaskKey &key, int run)
{
    Json::Value &ranges = value["done"];
    if (!ranges.empty()) {
        Json::Value &last = ranges[ranges.size() - 1];
        if (last[2U].asInt() + last[3U].asInt() == key.index && last[4U].asInt() == run) {
            last[3U] = last[3U].asInt() + 1;
            return;
        }
    }
    ranges.append(encodeCounts({key.occurrence, key.step, key.index, 1, run}));
}

} // namespace

std::string toString(const ProgressPart &part)
{
    return absl::StrCat(part.occurrence, ".", part.step, ".", part.number);
}

std::optional<ProgressPart> parseProgressPart(const std::string &name)
{
    const std::vector<std::string> numbers = absl::StrSplit(name, '.');
    ProgressPart part;
    if (numbers.size() != 3 || !absl::SimpleAtoi(numbers[0], &part.occurrence)
        || !absl::SimpleAtoi(numbers[1], &part.step) || !absl::SimpleAtoi(numbers[2], &part.number)
        || toString(part) != name)
        return core::fail(core::ResultCode::BadField,
                          "\"" + name + "\" is not the name of a part of a job's progress");
    return part;
}

std::string JobRecord::encodeHead() const
{
    Json::Value value(Json::objectValue);
    value["state"] = toString(m_state);
    value["next"] = m_nextOccurrence;
    for (const auto &[number, occurrence] : m_occurrences) {
        value["open"].append(number);
        for (std::size_t s = 0; !m_hasParts && s < occurrence.steps.size(); ++s) {
            const StepProgress &step = occurrence.steps[s];
            appendGangFailures(value, number, static_cast<int>(s), step);
            for (std::size_t i = 0; i < step.tasks.size(); ++i) {
                const Task &task = step.tasks[i];
                const workload::TaskKey key{{}, number, static_cast<int>(s), static_cast<int>(i)};
                appendCrashes(value, key, task);
                appendCompletedRun(value, key, task);
                // An ended job only stores the tasks that still have to be stopped.
                if (task.run > 0 && (!ended(m_state) || task.phase == TaskPhase::Active))
                    value["tasks"].append(encodeTask(key, task));
            }
        }
    }
    return core::writeJson(value);
}

std::optional<std::string> JobRecord::encodePart(const ProgressPart &part) const
{
    const auto found = m_occurrences.find(part.occurrence);
    if (found == m_occurrences.end())
        return std::nullopt;
    const StepProgress &step = found->second.steps[static_cast<std::size_t>(part.step)];
    Json::Value value(Json::objectValue);
    if (part.number == 0 && !ended(m_state))
        appendGangFailures(value, part.occurrence, part.step, step);
    const int first = part.number * TasksPerPart;
    const int end = std::min(first + TasksPerPart, static_cast<int>(step.tasks.size()));
    for (int i = first; i < end; ++i) {
        const Task &task = step.tasks[static_cast<std::size_t>(i)];
        const workload::TaskKey key{{}, part.occurrence, part.step, i};
        if (task.phase == TaskPhase::Active || (task.run > 0 && !ended(m_state))) {
            if (task.phase == TaskPhase::Done) {
                appendDone(value, key, task.run);
                continue;
            }
            value["tasks"].append(encodeTask(key, task));
            appendCrashes(value, key, task);
            appendCompletedRun(value, key, task);
        }
    }
    return value.empty() ? std::nullopt : std::optional(core::writeJson(value));
}

ProgressRows JobRecord::encode() const
{
    ProgressRows rows;
    rows[{}] = encodeHead();
    for (const auto &[number, occurrence] : m_occurrences) {
        for (std::size_t s = 0; m_hasParts && s < occurrence.steps.size(); ++s) {
            const int count = static_cast<int>(occurrence.steps[s].tasks.size());
            for (int i = 0; i * TasksPerPart < count; ++i) {
                const ProgressPart part{number, static_cast<int>(s), i};
                if (auto value = encodePart(part))
                    rows[toString(part)] = *std::move(value);
            }
        }
    }
    return rows;
}

std::vector<ProgressGroup> JobRecord::takeProgressChanges()
{
    std::vector<ProgressGroup> parts;
    ProgressGroup removals;
    m_headChanged = false;
    std::optional<ProgressPart> previous;
    std::size_t groupBytes = 0;
    for (const ProgressPart &part : std::exchange(m_changedParts, {})) {
        std::optional<std::string> value = encodePart(part);
        if (!value) {
            if (m_storedParts.erase(part) > 0)
                removals.push_back({toString(part), std::nullopt});
            continue;
        }
        m_storedParts.insert(part);
        const bool sameGang = previous && previous->occurrence == part.occurrence
            && previous->step == part.step && m_job.steps[static_cast<std::size_t>(part.step)].gang;
        groupBytes += value->size();
        if (!sameGang || groupBytes > MaxGroupBytes) {
            parts.emplace_back();
            groupBytes = value->size();
        }
        parts.back().push_back({toString(part), std::move(value)});
        previous = part;
    }
    // The head says which occurrences are open and whether the job has ended. A process that reads
    // only the first of these groups must never take a completed task for one to be started: parts
    // go first, unless the job has ended and they lose their completed tasks, and rows that are not
    // needed any more are removed last.
    std::vector<ProgressGroup> groups;
    groups.push_back({{{}, encodeHead()}});
    groups.insert(ended(m_state) ? groups.end() : groups.begin(), parts.begin(), parts.end());
    for (ProgressChange &removal : removals)
        groups.push_back({std::move(removal)});
    return groups;
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

void JobRecord::restoreCompletedRun(const Json::Value &row)
{
    if (!startsWithCounts(row, 4))
        return;
    Task *target = task({{}, row[0].asInt(), row[1].asInt(), row[2].asInt()});
    if (target && target->phase == TaskPhase::Active)
        target->completedRun = row[3].asInt();
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

void JobRecord::restoreDone(const Json::Value &row)
{
    if (!startsWithCounts(row, 5))
        return;
    const StepProgress *target = step({{}, row[0].asInt(), row[1].asInt(), 0});
    const std::int64_t end = std::int64_t{row[2].asInt()} + row[3].asInt();
    if (!target || end > static_cast<std::int64_t>(target->tasks.size()))
        return;
    for (int i = row[2].asInt(); i < end; ++i) {
        Task *completed = task({{}, row[0].asInt(), row[1].asInt(), i});
        completed->phase = TaskPhase::Done;
        completed->run = row[4].asInt();
    }
    m_begun = true;
}

void JobRecord::restoreTasks(const Json::Value &value)
{
    for (const Json::Value &row : core::member(value, "gangs"))
        restoreGangFailures(row);
    for (const Json::Value &row : core::member(value, "tasks"))
        restoreTask(row);
    for (const Json::Value &row : core::member(value, "done"))
        restoreDone(row);
    for (const Json::Value &row : core::member(value, "crashes"))
        restoreCrashes(row);
    for (const Json::Value &row : core::member(value, "completed"))
        restoreCompletedRun(row);
}

bool JobRecord::restorePart(const std::string &name, const std::string &text)
{
    const std::optional<ProgressPart> part = parseProgressPart(name);
    const std::optional<Json::Value> value = core::parseJson(text);
    if (!part || !value)
        return false;
    m_storedParts.insert(*part);
    // Parts of occurrences that are complete are still to be removed.
    if (!m_occurrences.contains(part->occurrence))
        m_changedParts.insert(*part);
    restoreTasks(*value);
    return true;
}

void JobRecord::completeGangs()
{
    for (auto &[number, occurrence] : m_occurrences) {
        for (std::size_t s = 0; s < occurrence.steps.size(); ++s) {
            if (!m_job.steps[s].gang)
                continue;
            std::vector<Task> &members = occurrence.steps[s].tasks;
            const auto done = std::find_if(members.begin(), members.end(), [](const Task &task) {
                return task.phase == TaskPhase::Done;
            });
            if (done == members.end())
                continue;
            const int run = done->run;
            for (std::size_t i = 0; i < members.size(); ++i) {
                if (members[i].run != run || members[i].phase == TaskPhase::Done)
                    continue;
                members[i].phase = TaskPhase::Done;
                markChanged({{}, number, static_cast<int>(s), static_cast<int>(i)});
            }
        }
    }
}

bool JobRecord::restore(const ProgressRows &rows, core::Instant now)
{
    const auto head = rows.find({});
    if (head == rows.end()) {
        // The process before ended while it stored the job for the first time, so that it has
        // ordered nothing. Its parts are replaced or removed.
        for (const auto &[name, text] : rows) {
            const std::optional<ProgressPart> part = parseProgressPart(name);
            if (!part)
                return false;
            m_storedParts.insert(*part);
            m_changedParts.insert(*part);
        }
        return true;
    }
    const std::optional<Json::Value> value = core::parseJson(head->second);
    if (!value)
        return false;
    const std::optional<JobState> state = parseJobState(core::stringMember(*value, "state"));
    if (!state)
        return false;
    if (!restoreOccurrences(*value))
        return false;
    restoreTasks(*value);
    // Earlier versions store all tasks in the head.
    for (const auto &[number, occurrence] : m_occurrences) {
        for (std::size_t s = 0; s < occurrence.steps.size(); ++s) {
            for (std::size_t i = 0; i < occurrence.steps[s].tasks.size(); ++i) {
                if (occurrence.steps[s].tasks[i].run > 0)
                    markChanged({{}, number, static_cast<int>(s), static_cast<int>(i)});
            }
        }
    }
    for (const auto &[name, text] : rows) {
        if (!name.empty() && !restorePart(name, text))
            return false;
    }
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
    if (ended(m_state)) {
        m_endedAt = now;
        m_changedParts.insert(m_storedParts.begin(), m_storedParts.end());
        return true;
    }
    // The process before may have ended between the transactions that store the end of a gang or of
    // an occurrence.
    const std::size_t openCount = m_occurrences.size();
    completeGangs();
    closeCompletedOccurrences(now);
    m_headChanged = m_occurrences.size() != openCount;
    return true;
}

} // namespace oleandercross::planning
