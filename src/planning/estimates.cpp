#include <oleandercross/planning/estimates.h>

#include "learnedtext.h"

#include <algorithm>
#include <cmath>
#include <utility>
#include <vector>

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

// The limits of numbers that are restored. Durations are in milliseconds, work is in
// accelerator-weighted core seconds.
constexpr double MaxRestoredMs = 1e13;
constexpr double MaxRestoredRatio = 1e12;
constexpr double MaxRestoredWork = 1e18;
constexpr double MaxRestoredLogVariance = 1e4;
constexpr double MaxRestoredUrgentJobs = 1e6;
constexpr double MaxRestoredAccelerators = 1e12;
// Lower bound of the stored number of urgent jobs, which keeps their typical objective.
constexpr double MinStoredUrgentJobs = 1e-3;
constexpr char UrgentJobsName[] = "recent";

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

void WorkEstimates::Moments::restore(double count, double mean, double variance)
{
    m_count = count;
    m_mean = mean;
    m_squaredDeviations = variance * count;
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

std::string WorkEstimates::encode(std::size_t maxBytes) const
{
    std::vector<std::pair<double, const std::string *>> queues;
    for (const auto &[queue, statistics] : m_queues)
        queues.emplace_back(-statistics.times.count() - statistics.jobWork.count(), &queue);
    std::stable_sort(queues.begin(), queues.end(),
                     [](const auto &a, const auto &b) { return a.first < b.first; });
    EntryText text(maxBytes);
    for (const auto &[order, queue] : queues) {
        const QueueStatistics &s = m_queues.at(*queue);
        // Geometric means instead of means of logarithms, so that a change of a tenth means the
        // same for each of the numbers.
        text.add(
            *queue,
            numberArray({s.estimates.count(), std::exp(s.estimates.mean()), s.estimates.variance(),
                         s.times.count(), std::exp(s.times.mean()), s.times.variance(),
                         s.ratios.count(), std::exp(s.ratios.mean()), s.ratios.variance(),
                         s.jobWork.count(), s.jobWork.mean(), s.jobWork.variance()}));
    }
    return text.text();
}

bool WorkEstimates::restore(const std::string &text, core::Instant)
{
    const NumberRange count{0, MaxSampleCount};
    const NumberRange ms{1 / MaxRestoredMs, MaxRestoredMs};
    const NumberRange ratio{1 / MaxRestoredRatio, MaxRestoredRatio};
    const NumberRange logVariance{0, MaxRestoredLogVariance};
    const NumberRange work{0, MaxRestoredWork};
    const NumberRange workVariance{0, MaxRestoredWork * MaxRestoredWork};
    const std::vector<NumberRange> ranges = {count, ms,    logVariance, count, ms,   logVariance,
                                             count, ratio, logVariance, count, work, workVariance};
    return restoreEntries(text, [&](const std::string &queue, const Json::Value &value) {
        const auto n = readNumbers(value, ranges);
        if (!n)
            return false;
        QueueStatistics &statistics = m_queues[queue];
        statistics.estimates.restore((*n)[0], std::log((*n)[1]), (*n)[2]);
        statistics.times.restore((*n)[3], std::log((*n)[4]), (*n)[5]);
        statistics.ratios.restore((*n)[6], std::log((*n)[7]), (*n)[8]);
        statistics.jobWork.restore((*n)[9], (*n)[10], (*n)[11]);
        return true;
    });
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

std::string UrgentDemandForecast::encode(core::Instant now) const
{
    if (m_jobs <= 0)
        return "{}";
    const double decayFactor =
        std::exp2(-absl::FDivDuration(now - m_updatedAt, UrgentDemandHalfLife));
    const double jobs =
        std::clamp(m_jobs * decayFactor, MinStoredUrgentJobs, MaxRestoredUrgentJobs);
    EntryText text(MaxUrgentDemandBytes);
    text.add(UrgentJobsName,
             numberArray({jobs, m_accelerators / m_jobs, std::exp(m_logObjectives / m_jobs)}));
    return text.text();
}

bool UrgentDemandForecast::restore(const std::string &text, core::Instant now)
{
    return restoreEntries(text, [&](const std::string &name, const Json::Value &value) {
        const auto numbers = readNumbers(value,
                                         {{MinStoredUrgentJobs / 2, MaxRestoredUrgentJobs},
                                          {0, MaxRestoredAccelerators},
                                          {0.5, MaxRestoredMs}});
        if (name != UrgentJobsName || !numbers)
            return false;
        m_jobs = (*numbers)[0];
        m_accelerators = m_jobs * (*numbers)[1];
        m_logObjectives = m_jobs * std::log((*numbers)[2]);
        m_updatedAt = now;
        return true;
    });
}

} // namespace oleandercross::planning
