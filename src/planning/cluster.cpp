#include <oleandercross/planning/cluster.h>

#include "learnedtext.h"

#include <algorithm>
#include <array>
#include <cmath>

namespace oleandercross::planning {

namespace {

// The weight of a failure halves in this time, so that a recovered worker gets work again.
constexpr absl::Duration FailureHalfLife = absl::Seconds(6);
// One recent failure makes a worker suspect; two recent failures exclude it.
constexpr double SuspectFailureCount = 0.6;
constexpr double ExcludedFailureCount = 1.6;
// A failure tells little about the worker after three half-lives.
constexpr absl::Duration MaxFailureAge = absl::Seconds(18);
// The exclusion expires, since a worker without runs cannot show progress again.
constexpr absl::Duration StallExclusionTime = absl::Seconds(3);
// The factor that a completed run applies to the failures before it.
constexpr double FailureFractionAfterSuccess = 0.4;
// Fewer failures than this are not stored.
constexpr double MinStoredFailureCount = 0.05;
// The largest number of failures that is stored or restored.
constexpr double MaxStoredFailureCount = 100;
// Stands for the age of a stall in the stored form of a worker without a stall.
constexpr double NoStall = -1;

} // namespace

const char *toString(WorkerEnd end)
{
    constexpr std::array<const char *, 3> Names = {"crashed", "left", "lease expired"};
    return Names.at(static_cast<std::size_t>(end));
}

bool hasLabel(const Worker &worker, const std::string &label)
{
    return label.empty()
        || std::find(worker.labels.begin(), worker.labels.end(), label) != worker.labels.end();
}

double WorkerHealth::decayedFailures(const Score &score, core::Instant now) const
{
    return score.failures * std::exp2(-absl::FDivDuration(now - score.updatedAt, FailureHalfLife));
}

void WorkerHealth::add(const std::string &worker, double amount, core::Instant now)
{
    Score &score = m_scores[worker];
    score.failures = std::max(0.0, decayedFailures(score, now) + amount);
    score.updatedAt = now;
}

void WorkerHealth::recordFailure(const std::string &worker, const std::string &job,
                                 core::Instant now)
{
    add(worker, 1, now);
    std::map<std::string, core::Instant> &failedJobs = m_scores[worker].failedJobs;
    failedJobs[job] = now;
    std::erase_if(failedJobs,
                  [now](const auto &entry) { return now - entry.second > MaxFailureAge; });
}

void WorkerHealth::retractFailure(const std::string &worker, core::Instant now)
{
    add(worker, -1, now);
}

void WorkerHealth::recordSuccess(const std::string &worker, core::Instant now)
{
    const auto found = m_scores.find(worker);
    if (found != m_scores.end())
        found->second = {
            decayedFailures(found->second, now) * FailureFractionAfterSuccess, now, {}};
}

void WorkerHealth::recordStall(const std::string &worker, core::Instant now)
{
    m_stalledAt[worker] = now;
}

void WorkerHealth::recordProgress(const std::string &worker)
{
    m_stalledAt.erase(worker);
}

void WorkerHealth::removeWorker(const std::string &worker)
{
    m_scores.erase(worker);
    m_stalledAt.erase(worker);
}

bool WorkerHealth::hasFailedOtherJobs(const std::string &worker, const std::string &job,
                                      core::Instant now) const
{
    const auto found = m_scores.find(worker);
    if (found == m_scores.end())
        return false;
    const std::map<std::string, core::Instant> &failedJobs = found->second.failedJobs;
    return std::any_of(failedJobs.begin(), failedJobs.end(), [&job, now](const auto &entry) {
        return entry.first != job && now - entry.second <= MaxFailureAge;
    });
}

int WorkerHealth::suspicionLevel(const std::string &worker, core::Instant now) const
{
    const auto stalled = m_stalledAt.find(worker);
    if (stalled != m_stalledAt.end() && now - stalled->second < StallExclusionTime)
        return 2;
    const auto found = m_scores.find(worker);
    if (found == m_scores.end())
        return 0;
    const double failures = decayedFailures(found->second, now);
    return failures >= ExcludedFailureCount ? 2 : failures >= SuspectFailureCount ? 1 : 0;
}

std::set<std::string> WorkerHealth::workers() const
{
    std::set<std::string> keys;
    for (const auto &[worker, score] : m_scores)
        keys.insert(worker);
    for (const auto &[worker, stalledAt] : m_stalledAt)
        keys.insert(worker);
    return keys;
}

std::string WorkerHealth::encode(core::Instant now, const WorkerFilter &selects,
                                 std::size_t maxBytes) const
{
    EntryText text(maxBytes);
    for (const std::string &worker : workers()) {
        if (!selects(worker))
            continue;
        const auto score = m_scores.find(worker);
        const auto stalled = m_stalledAt.find(worker);
        const double failures = score == m_scores.end() ? 0 : decayedFailures(score->second, now);
        const bool isStalled =
            stalled != m_stalledAt.end() && now - stalled->second < StallExclusionTime;
        if (failures < MinStoredFailureCount && !isStalled)
            continue;
        const double stallAge =
            isStalled ? std::max(0.0, absl::ToDoubleMilliseconds(now - stalled->second)) : NoStall;
        text.add(worker, numberArray({std::min(failures, MaxStoredFailureCount), stallAge}));
    }
    return text.text();
}

bool WorkerHealth::restore(const std::string &text, core::Instant now)
{
    const double maxStallAge = absl::ToDoubleMilliseconds(StallExclusionTime);
    return restoreEntries(text, [&](const std::string &worker, const Json::Value &value) {
        const auto numbers =
            readNumbers(value, {{0, MaxStoredFailureCount}, {NoStall, maxStallAge}});
        if (!numbers)
            return false;
        m_scores[worker] = {(*numbers)[0], now, {}};
        if ((*numbers)[1] >= 0)
            m_stalledAt[worker] = now - absl::Milliseconds((*numbers)[1]);
        return true;
    });
}

} // namespace oleandercross::planning
