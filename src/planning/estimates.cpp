#include <oleandercross/planning/estimates.h>

#include <algorithm>
#include <cmath>

namespace oleandercross::planning {

namespace {

// Used if there is neither an estimate nor a completed task of the queue.
constexpr absl::Duration DefaultTaskTime = absl::Seconds(1);
// Beyond this number old samples are displaced, so that the statistics follow changes of the queue.
constexpr double MaxSampleCount = 100;
// The weight of the priors below in samples.
constexpr double PriorSampleCount = 2;
// Lower bounds of the prior variances of the logarithms of run times and of estimation errors,
// since no estimate is exact.
constexpr double MinTimeVariance = 0.09;
constexpr double MinEstimateVariance = 0.02;
// The fraction of the variance of estimates that is attributed to errors before run times are
// recorded.
constexpr double PriorErrorFraction = 0.5;
// The variance of the logarithm of the run time of the tasks of one step on equal workers.
constexpr double TaskTimeVariance = 0.09;

// The time in which the weight of an urgent job halves.
constexpr absl::Duration UrgentDemandHalfLife = absl::Seconds(10);

} // namespace

void WorkEstimates::Moments::add(double value)
{
    if (m_count >= MaxSampleCount) {
        m_squaredDeviations *= (MaxSampleCount - 1) / m_count;
        m_count = MaxSampleCount - 1;
    }
    m_count += 1;
    const double before = value - m_mean;
    m_mean += before / m_count;
    m_squaredDeviations += before * (value - m_mean);
}

double WorkEstimates::Moments::meanWithPrior(double mean, double samples) const
{
    return (m_mean * m_count + mean * samples) / (m_count + samples);
}

double WorkEstimates::Moments::varianceWithPrior(double variance, double samples) const
{
    return (m_squaredDeviations + variance * samples) / (m_count + samples);
}

void WorkEstimates::recordEstimate(const std::string &queue, std::int64_t estimateMs)
{
    if (estimateMs > 0)
        m_queues[queue].estimates.add(std::log(static_cast<double>(estimateMs)));
}

void WorkEstimates::recordCompletion(const std::string &queue, std::int64_t estimateMs,
                                     absl::Duration duration)
{
    const double ms = std::max(1.0, absl::ToDoubleMilliseconds(duration));
    QueueStatistics &statistics = m_queues[queue];
    statistics.times.add(std::log(ms));
    if (estimateMs > 0)
        statistics.ratios.add(std::log(ms / static_cast<double>(estimateMs)));
}

void WorkEstimates::recordJobWork(const std::string &queue, double work)
{
    m_queues[queue].jobWork.add(work);
}

double WorkEstimates::meanJobWork(const std::string &queue) const
{
    const auto found = m_queues.find(queue);
    return found == m_queues.end() ? 0 : found->second.jobWork.mean();
}

double WorkEstimates::estimateSpread(const QueueStatistics &statistics)
{
    return statistics.estimates.varianceWithPrior(0, 0.5) * PriorErrorFraction;
}

double WorkEstimates::timeVariance(const QueueStatistics &statistics)
{
    return statistics.times.varianceWithPrior(std::max(MinTimeVariance, estimateSpread(statistics)),
                                              PriorSampleCount);
}

double WorkEstimates::errorVariance(const QueueStatistics &statistics)
{
    return statistics.ratios.varianceWithPrior(
        std::max(MinEstimateVariance, estimateSpread(statistics)), PriorSampleCount);
}

double WorkEstimates::confidence(const std::string &queue) const
{
    const auto found = m_queues.find(queue);
    if (found == m_queues.end())
        return 0;
    const double ofTimes = timeVariance(found->second);
    const double ofErrors = errorVariance(found->second);
    return std::min(1.0, TaskTimeVariance * (ofTimes + ofErrors) / (ofTimes * ofErrors));
}

absl::Duration WorkEstimates::expectedTime(const std::string &queue, std::int64_t estimateMs) const
{
    const auto found = m_queues.find(queue);
    if (found == m_queues.end())
        return estimateMs > 0 ? absl::Milliseconds(estimateMs) : DefaultTaskTime;
    const QueueStatistics &statistics = found->second;
    if (estimateMs <= 0)
        return statistics.times.count() > 0 ? absl::Milliseconds(std::exp(statistics.times.mean()))
                                            : DefaultTaskTime;
    const double mean =
        statistics.times.meanWithPrior(statistics.estimates.mean(), PriorSampleCount);
    const double ofTimes = timeVariance(statistics);
    const double ofErrors = errorVariance(statistics);
    const double corrected = std::log(static_cast<double>(estimateMs))
        + statistics.ratios.meanWithPrior(0, PriorSampleCount);
    const double expectedLogMs = (mean * ofErrors + corrected * ofTimes) / (ofErrors + ofTimes);
    return absl::Milliseconds(std::exp(expectedLogMs));
}

void UrgentDemandForecast::recordJob(std::int64_t accelerators, absl::Duration objective,
                                     core::Instant now)
{
    const double decayFactor =
        m_jobs > 0 ? std::exp2(-absl::FDivDuration(now - m_updatedAt, UrgentDemandHalfLife)) : 0;
    m_jobs = m_jobs * decayFactor + 1;
    m_accelerators = m_accelerators * decayFactor + static_cast<double>(accelerators);
    m_logObjectives = m_logObjectives * decayFactor
        + std::log(std::max(1.0, absl::ToDoubleMilliseconds(objective)));
    m_updatedAt = now;
}

absl::Duration UrgentDemandForecast::typicalObjective() const
{
    return m_jobs > 0 ? absl::Milliseconds(std::exp(m_logObjectives / m_jobs))
                      : absl::InfiniteDuration();
}

double UrgentDemandForecast::forecastAccelerators(core::Instant now, absl::Duration horizon) const
{
    if (m_jobs <= 0)
        return 0;
    const double decayFactor =
        std::exp2(-absl::FDivDuration(now - m_updatedAt, UrgentDemandHalfLife));
    // In a steady state the decaying sum is the rate times the mean lifetime of its terms.
    const double rate =
        m_jobs * decayFactor * std::log(2) / absl::ToDoubleSeconds(UrgentDemandHalfLife);
    const double expectedJobs = rate * absl::ToDoubleSeconds(horizon);
    // One standard deviation above the mean number of arrivals.
    return (expectedJobs + std::sqrt(expectedJobs)) * m_accelerators / m_jobs;
}

} // namespace oleandercross::planning
