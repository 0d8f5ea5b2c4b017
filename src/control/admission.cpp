#include <oleandercross/control/admission.h>

#include <xxhash.h>

#include <algorithm>
#include <cmath>

namespace oleandercross::control {

namespace {

constexpr absl::Duration MinRetryAfter = absl::Seconds(1);
constexpr absl::Duration MaxRetryAfter = absl::Seconds(30);
// The fraction by which a hash of the job id shortens the time, so that refused callers do not come
// back together.
constexpr double SpreadFraction = 0.5;
// Shorter than 1 s from the fifth refusal on, whatever the first time was.
constexpr int MaxHalvings = 5;

// Returns a number from 0 to 1 that is derived from the id.
double hashFraction(const std::string &id)
{
    return static_cast<double>(XXH64(id.data(), id.size(), 0) >> 32) / 4294967296.0;
}

absl::Duration retryAfter(const planning::JobForecast &forecast, const std::string &id,
                          int earlierRefusals)
{
    const absl::Duration untilInTime = forecast.expectedTime() - forecast.objective;
    const absl::Duration time = std::clamp(untilInTime, MinRetryAfter, MaxRetryAfter)
        * (1 - SpreadFraction * hashFraction(id))
        / std::exp2(std::min(earlierRefusals, MaxHalvings));
    return std::max(MinRetryAfter, absl::Ceil(time, absl::Seconds(1)));
}

} // namespace

std::optional<Refusal> Admission::decide(const workload::Job &job, const DatedForecast &forecast,
                                         core::Instant now, bool guaranteed) const
{
    if (guaranteed || !forecast.forecast || now - forecast.computedAt > MaxForecastAge)
        return std::nullopt;
    const auto expected = forecast.forecast->forecastFor(job);
    if (!expected || expected->expectedTime() <= expected->objective * ObjectiveMultiple)
        return std::nullopt;
    const int earlier = refusals(job.id);
    return Refusal{*expected, retryAfter(*expected, job.id, earlier), earlier};
}

void Admission::recordRefusal(const std::string &job)
{
    const int count = refusals(job) + 1;
    if (m_recent.size() >= MaxRefusedJobs) {
        m_older = std::move(m_recent);
        m_recent.clear();
    }
    m_recent[job] = count;
}

void Admission::recordAcceptance(const std::string &job)
{
    m_recent.erase(job);
    m_older.erase(job);
}

int Admission::refusals(const std::string &job) const
{
    for (const auto *counts : {&m_recent, &m_older}) {
        if (const auto found = counts->find(job); found != counts->end())
            return found->second;
    }
    return 0;
}

} // namespace oleandercross::control
