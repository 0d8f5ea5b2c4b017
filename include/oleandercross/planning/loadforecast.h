#pragma once

#include <oleandercross/planning/cluster.h>
#include <oleandercross/planning/estimates.h>
#include <oleandercross/planning/jobrecord.h>

#include <json/value.h>

#include <array>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace oleandercross::planning {

// The times in seconds for which a forecast says how much work can be done until then.
inline constexpr std::array<std::int64_t, 9> ForecastHorizons{3, 5, 10, 20, 40, 80, 160, 320, 640};

// The work of one priority that is ahead of a new job, in whole accelerator-weighted core seconds.
struct PriorityLoad
{
    // The remaining work of all jobs that have not ended.
    std::int64_t remainingWork = 0;
    // How much of the work that the planner places first could be done within each of the
    // ForecastHorizons if every task started as soon as the steps that it depends on are complete:
    // active runs, and tasks of jobs that can still end within their objective, since the planner
    // places late jobs after them. A long task or a chain of steps occupies little capacity for a
    // long time and does not delay other jobs like as much work in parallel.
    std::array<std::int64_t, ForecastHorizons.size()> workWithin{};

    friend bool operator==(const PriorityLoad &, const PriorityLoad &) = default;
};

// Open workers with the same capacity.
struct WorkerGroup
{
    workload::Demand capacity;
    int count = 0;

    friend bool operator==(const WorkerGroup &, const WorkerGroup &) = default;
};

struct ServiceLoad
{
    std::vector<WorkerGroup> openWorkers;
    // The work that the open workers did per second during the last 5 s, scaled to full occupancy,
    // in thousandths of an accelerator-weighted core.
    std::int64_t workRate = 0;
    std::map<int, PriorityLoad> priorities;

    // Returns the weighted cores of the open workers.
    double capacity() const;
    // Returns the remaining work of all priorities.
    std::int64_t remainingWork() const;
    // Returns the time until the work of this priority and of more urgent ones is done.
    absl::Duration timeUntilDone(int priority) const;

    friend bool operator==(const ServiceLoad &, const ServiceLoad &) = default;
};

// The expected run times of a queue's tasks by their estimate, in microseconds. The logarithm of
// the expected time is linear in that of the estimate, see WorkEstimates.
struct TaskTimes
{
    static constexpr std::int64_t ShortEstimateMs = 1000;
    static constexpr std::int64_t LongEstimateMs = 100000;

    std::int64_t withoutEstimate = 0;
    std::int64_t withShortEstimate = 0;
    std::int64_t withLongEstimate = 0;

    absl::Duration expectedTime(std::int64_t estimateMs) const;

    friend bool operator==(const TaskTimes &, const TaskTimes &) = default;
};

// What a forecast says about a job that is not accepted yet.
struct JobForecast
{
    // The time until the work of the job's own and more urgent priorities is done.
    absl::Duration wait;
    // The time that the job then needs.
    absl::Duration criticalPath;
    absl::Duration objective;

    absl::Duration expectedTime() const { return wait + criticalPath; }
};

// The load of the installation at one time, as the leader sees it.
struct LoadForecast
{
    // Services with open workers.
    std::map<std::string, ServiceLoad> services;
    // The queues of jobs that have not ended.
    std::map<std::string, TaskTimes> queues;

    // Returns nothing if the forecast does not allow a statement about the job: its service has no
    // open workers, it starts at a given time, or a step has no estimate and its queue is unknown.
    std::optional<JobForecast> forecastFor(const workload::Job &job) const;

    friend bool operator==(const LoadForecast &, const LoadForecast &) = default;
};

Json::Value toJson(const LoadForecast &forecast);
// Fails with BadField if a value is missing, of another type or out of range.
std::optional<LoadForecast> loadForecastFromJson(const Json::Value &value);

// Computes forecasts, and keeps what the work rate is measured from. Deterministic; uses no clock.
class LoadForecaster
{
public:
    // Returns the forecast, or nothing while the backlog of every service is below 2 s of its
    // capacity. Should be called a few times a second with increasing times.
    std::optional<LoadForecast> update(const std::map<std::string, JobRecord *> &openJobs,
                                       const Workers &workers, const WorkEstimates &estimates,
                                       core::Instant now);

private:
    // The work rate of the active runs in weighted cores, and the fraction of the service that they
    // occupy, from 0 to 1.
    struct Occupancy
    {
        double workRate = 0;
        double occupied = 0;
    };

    struct Sample
    {
        core::Instant time;
        std::map<std::string, Occupancy> services;
    };

    class Computation;

    double meanWorkRate(const std::string &service, double capacity) const;

    std::deque<Sample> m_samples;
};

} // namespace oleandercross::planning
