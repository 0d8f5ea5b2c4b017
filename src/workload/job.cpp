#include <oleandercross/workload/job.h>

#include <oleandercross/core/resultcode.h>
#include <oleandercross/core/text.h>

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>

#include <algorithm>
#include <limits>

namespace oleandercross::workload {

namespace {

// Limits of one submission, since the progress of a job must fit into one row of the store.
constexpr int MaxSteps = 32;
constexpr int MaxTasksPerStep = 1000;
constexpr int MaxOccurrences = 1000;
constexpr std::size_t MaxPayloadBytes = 4000;
// Bounds the product with the longest critical path.
constexpr double MaxStretch = 1e6;
// The end of the year 9999.
constexpr std::int64_t MaxUnixMs = 253402300799999;
// Used for steps without an estimate.
constexpr std::int64_t DefaultEstimateMs = 1000;

bool dependsOnEarlierStepsOnly(const Step &step, int index)
{
    return std::all_of(step.after.begin(), step.after.end(),
                       [index](int earlier) { return earlier >= 0 && earlier < index; });
}

std::optional<std::string> findStepDefect(const Step &step, int index)
{
    if (step.tasks < 1 || step.tasks > MaxTasksPerStep)
        return absl::StrCat("step ", index, " has ", step.tasks, " tasks, but must have 1 to ",
                            MaxTasksPerStep);
    if (!dependsOnEarlierStepsOnly(step, index))
        return absl::StrCat("step ", index, " depends on a step that does not precede it");
    const Demand &demand = step.perTask;
    if (demand.milliCores < 0 || demand.memoryMb < 0 || demand.accelerators < 0
        || step.estimateMs < 0 || step.maxPerWorker < 0)
        return absl::StrCat("step ", index, " has a negative demand, estimate or task limit");
    if (demand.milliCores > MaxDemand || demand.memoryMb > MaxDemand
        || demand.accelerators > MaxDemand || step.estimateMs > MaxDurationMs)
        return absl::StrCat("step ", index, " has a demand or an estimate that is too large");
    return std::nullopt;
}

std::optional<std::string> findTermsDefect(const QueueTerms &terms)
{
    if (terms.priority < 0 || terms.attempts < 0 || !(terms.stretch >= 0)
        || terms.stretch > MaxStretch || terms.targetMs < 0 || terms.targetMs > MaxDurationMs)
        return "a number in the terms of the queue is out of range";
    return std::nullopt;
}

// Returns true if the id can be a part of task keys, which are joined with dots.
bool isJobId(const std::string &id)
{
    return core::isKeyPart(id) && id.find('.') == std::string::npos;
}

std::optional<std::string> findScheduleDefect(const Job &job)
{
    if (job.occurrences < 1 || job.occurrences > MaxOccurrences)
        return absl::StrCat("the job has ", job.occurrences, " occurrences, but must have 1 to ",
                            MaxOccurrences);
    if (job.scheduled && job.intervalMs < 0)
        return "the interval between occurrences is negative";
    if (job.intervalMs > MaxDurationMs || job.firstDueMs < 0 || job.firstDueMs > MaxUnixMs)
        return "the times of the occurrences are out of range";
    return std::nullopt;
}

} // namespace

int fittingTaskCount(const Demand &need, const Demand &available)
{
    std::int64_t count = std::numeric_limits<int>::max();
    const auto limit = [&count](std::int64_t one, std::int64_t all) {
        if (one > 0)
            count = std::min(count, std::max<std::int64_t>(0, all) / one);
        else if (all < 0)
            count = 0;
    };
    limit(need.milliCores, available.milliCores);
    limit(need.memoryMb, available.memoryMb);
    limit(need.accelerators, available.accelerators);
    return static_cast<int>(count);
}

std::string toString(const TaskKey &key)
{
    return absl::StrCat(key.job, ".", key.occurrence, ".", key.step, ".", key.index);
}

std::optional<TaskKey> parseTaskKey(const std::string &text)
{
    const std::vector<std::string> parts = absl::StrSplit(text, '.');
    TaskKey key;
    if (parts.size() != 4 || parts[0].empty() || !absl::SimpleAtoi(parts[1], &key.occurrence)
        || !absl::SimpleAtoi(parts[2], &key.step) || !absl::SimpleAtoi(parts[3], &key.index))
        return core::fail(core::ResultCode::BadField, "\"" + text + "\" is not a task key");
    key.job = parts[0];
    return key;
}

std::string toString(const RunKey &key)
{
    return absl::StrCat(toString(key.task), "#", key.run);
}

std::int64_t criticalPathMs(const Job &job)
{
    std::vector<std::int64_t> ends;
    std::int64_t longest = 0;
    for (const Step &step : job.steps) {
        std::int64_t begin = 0;
        for (const int earlier : step.after)
            begin = std::max(begin, ends[static_cast<std::size_t>(earlier)]);
        ends.push_back(begin + (step.estimateMs > 0 ? step.estimateMs : DefaultEstimateMs));
        longest = std::max(longest, ends.back());
    }
    return longest;
}

absl::Duration latencyObjective(const Job &job)
{
    return absl::Milliseconds(criticalPathMs(job)) * job.terms.stretch
        + absl::Milliseconds(job.terms.targetMs);
}

std::string describeSteps(const Job &job)
{
    std::string text;
    for (const Step &step : job.steps) {
        absl::StrAppend(&text, text.empty() ? "" : "; ", step.tasks, " x ", step.estimateMs,
                        " ms, ", step.perTask.milliCores, " mc, ", step.perTask.memoryMb, " MB, ",
                        step.perTask.accelerators, " acc");
        absl::StrAppend(&text, step.gang ? ", gang" : "", step.sameRack ? ", same rack" : "",
                        step.checkpointable ? ", checkpoints" : "",
                        step.speculative ? ", speculative" : "");
        if (!step.neededLabel.empty())
            absl::StrAppend(&text, ", needs ", step.neededLabel);
        if (!step.inputRack.empty())
            absl::StrAppend(&text, ", input on ", step.inputRack);
        if (step.maxPerWorker > 0)
            absl::StrAppend(&text, ", at most ", step.maxPerWorker, " per worker");
    }
    return text;
}

std::optional<std::string> findDefect(const Job &job)
{
    if (!isJobId(job.id))
        return "the id of the job is not a plain name";
    if (job.payload.size() > MaxPayloadBytes)
        return absl::StrCat("the payload has ", job.payload.size(), " bytes, but the maximum is ",
                            MaxPayloadBytes);
    if (job.steps.empty() || job.steps.size() > MaxSteps)
        return absl::StrCat("the job has ", job.steps.size(), " steps, but must have 1 to ",
                            MaxSteps);
    if (auto defect = findTermsDefect(job.terms))
        return defect;
    if (auto defect = findScheduleDefect(job))
        return defect;
    for (std::size_t i = 0; i < job.steps.size(); ++i) {
        if (auto defect = findStepDefect(job.steps[i], static_cast<int>(i)))
            return defect;
    }
    return std::nullopt;
}

} // namespace oleandercross::workload
