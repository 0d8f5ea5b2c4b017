#pragma once

#include <oleandercross/core/clock.h>

#include <absl/time/time.h>

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>

namespace oleandercross::planning {

// Predicts the run time of tasks for each queue and records the mean work of its jobs. Combines the
// caller's estimate with the mean run time of the queue's completed tasks; the larger the past
// errors of the queue's estimates, the smaller the weight of an estimate.
class WorkEstimates
{
public:
    // Records the estimate of a submitted step. Ignores estimates that are not positive.
    void recordEstimate(const std::string &queue, std::int64_t estimateMs);

    // Records the duration of a task that completed without starting from a checkpoint, together
    // with the estimate of its step.
    void recordCompletion(const std::string &queue, std::int64_t estimateMs,
                          absl::Duration duration);

    // Records the work of a submitted job, in accelerator-weighted core seconds.
    void recordJobWork(const std::string &queue, double work);
    // Returns the mean work of the queue's jobs, 0 if there were none.
    double meanJobWork(const std::string &queue) const;

    // Returns the expected run time of a task. An estimate that is not positive counts as missing.
    absl::Duration expectedTime(const std::string &queue, std::int64_t estimateMs) const;
    // Returns the weight of expectedTime() relative to the run time of one completed task of the
    // same step, from 0 to 1.
    double confidence(const std::string &queue) const;

    // Returns the stored form, of at most `maxBytes`. Queues with most samples come first.
    std::string encode(std::size_t maxBytes) const;
    // Adds the queues of the stored form. Fails with BadJson or BadField if it, or a part of it, is
    // unreadable; the other parts are restored.
    bool restore(const std::string &text, core::Instant now);

private:
    // Running mean and variance; the weight of old samples decays once the sample limit is reached.
    class Moments
    {
    public:
        void add(double value);
        double count() const { return m_count; }
        double mean() const { return m_mean; }
        double variance() const { return m_count > 0 ? m_squaredDeviations / m_count : 0; }
        // Return the mean and variance, combined with a prior that weighs as much as `samples`
        // samples.
        double meanWithPrior(double mean, double samples) const;
        double varianceWithPrior(double variance, double samples) const;
        void restore(double count, double mean, double variance);

    private:
        double m_count = 0;
        double m_mean = 0;
        double m_squaredDeviations = 0;
    };

    struct QueueStatistics
    {
        // Logarithms of estimates, run times and the ratio of run time to estimate.
        Moments estimates;
        Moments times;
        Moments ratios;
        // The work of jobs in accelerator-weighted core seconds, not as a logarithm.
        Moments jobWork;
    };

    // The part of the variance of the logarithms of estimates that is attributed to errors.
    static double estimateSpread(const QueueStatistics &statistics);
    // The variances of the logarithms of run times and of estimation errors.
    static double timeVariance(const QueueStatistics &statistics);
    static double errorVariance(const QueueStatistics &statistics);

    std::map<std::string, QueueStatistics> m_queues;
};

// Records the recent urgent jobs (of priority 0): forecasts how many accelerators they request, so
// that capacity can be reserved for them, and how long they can wait.
class UrgentDemandForecast
{
public:
    void recordJob(std::int64_t accelerators, absl::Duration objective, core::Instant now);

    // Returns the geometric mean of the latency objectives of recent urgent jobs, infinite if there
    // were none.
    absl::Duration typicalObjective() const;

    // Returns the accelerators that urgent jobs request within the horizon if the number of
    // these jobs is one standard deviation above its mean.
    double forecastAccelerators(core::Instant now, absl::Duration horizon) const;

    // Returns the stored form, of at most MaxUrgentDemandBytes. It holds the sums as they have
    // decayed until now.
    std::string encode(core::Instant now) const;
    static constexpr std::size_t MaxUrgentDemandBytes = 256;
    // Replaces the recorded jobs by those of the stored form. Fails with BadJson or BadField,
    // without a change, if it is unreadable.
    bool restore(const std::string &text, core::Instant now);

private:
    // Exponentially decaying sums.
    double m_jobs = 0;
    double m_accelerators = 0;
    // Logarithms of the objectives in milliseconds.
    double m_logObjectives = 0;
    core::Instant m_updatedAt = absl::InfinitePast();
};

} // namespace oleandercross::planning
