#include <oleandercross/planning/cluster.h>

#include <algorithm>
#include <cmath>

namespace oleandercross::planning {

namespace {

// The weight of a failure halves in this time, so that a worker that recovered gets work again.
constexpr absl::Duration FailureHalfLife = absl::Seconds(6);
// A recent failure makes a worker suspect; two of them keep work away from it.
constexpr double SuspectFailures = 0.6;
constexpr double UnfitFailures = 1.6;
// What a completed run leaves of the failures before it.
constexpr double AfterSuccess = 0.4;

} // namespace

double WorkerHealth::decayed(const Score &score, core::Instant now) const
{
    return score.failures * std::exp2(-absl::FDivDuration(now - score.at, FailureHalfLife));
}

void WorkerHealth::add(const std::string &worker, double by, core::Instant now)
{
    Score &score = m_scores[worker];
    score.failures = std::max(0.0, decayed(score, now) + by);
    score.at = now;
}

void WorkerHealth::recordFailure(const std::string &worker, core::Instant now)
{
    add(worker, 1, now);
}

void WorkerHealth::forgive(const std::string &worker, core::Instant now)
{
    add(worker, -1, now);
}

void WorkerHealth::recordSuccess(const std::string &worker, core::Instant now)
{
    const auto found = m_scores.find(worker);
    if (found != m_scores.end())
        found->second = {decayed(found->second, now) * AfterSuccess, now};
}

int WorkerHealth::suspicion(const std::string &worker, core::Instant now) const
{
    const auto found = m_scores.find(worker);
    if (found == m_scores.end())
        return 0;
    const double failures = decayed(found->second, now);
    return failures >= UnfitFailures ? 2 : failures >= SuspectFailures ? 1 : 0;
}

} // namespace oleandercross::planning
