#include <oleandercross/planning/loadforecast.h>

#include "schedulingunit.h"

#include <oleandercross/core/json.h>
#include <oleandercross/core/resultcode.h>
#include <oleandercross/workload/codec.h>

#include <absl/strings/numbers.h>

#include <algorithm>
#include <cmath>
#include <limits>
#include <tuple>

namespace oleandercross::planning {

namespace {

// The time over which the work rate is averaged.
constexpr absl::Duration RateWindow = absl::Seconds(5);
// Below this multiple of a service's capacity per second its backlog is not forecast, so that
// entries accept every job.
constexpr double MinBacklogSeconds = 2;
// The weight in samples of the assumption that the workers do work at their full capacity. It
// bounds the effect of the few runs that are measured before a burst starts.
constexpr double PriorSampleCount = 1;
// The smallest rate of a service with open workers, so that times are finite.
constexpr std::int64_t MinWorkRate = 1;

using WorkByHorizon = std::array<double, ForecastHorizons.size()>;

// Returns the number as a whole one that JSON represents exactly.
std::int64_t rounded(double value)
{
    return std::llround(std::clamp(value, 0.0, static_cast<double>(core::MaxExactInt)));
}

bool isOpen(const Worker &worker)
{
    return worker.accepting && !worker.draining;
}

// Returns the largest fraction of the capacity that the demand takes in any dimension.
double occupiedFraction(const workload::Demand &demand, const workload::Demand &capacity)
{
    const auto fraction = [](std::int64_t part, std::int64_t whole) {
        return whole > 0 ? static_cast<double>(part) / static_cast<double>(whole) : 0.0;
    };
    return std::min(1.0,
                    std::max({fraction(demand.milliCores, capacity.milliCores),
                              fraction(demand.memoryMb, capacity.memoryMb),
                              fraction(demand.accelerators, capacity.accelerators)}));
}

int slotCount(const std::vector<WorkerGroup> &groups, const workload::Demand &perTask)
{
    std::int64_t slots = 0;
    for (const WorkerGroup &group : groups)
        slots += std::int64_t{group.count} * workload::fittingTaskCount(perTask, group.capacity);
    return static_cast<int>(std::min<std::int64_t>(slots, std::numeric_limits<int>::max()));
}

// Returns the number of consecutive waves in which the objective expects the tasks of a step to
// run.
int waveCount(const std::vector<WorkerGroup> &groups, const workload::Step &spec)
{
    const int perWave =
        std::clamp(slotCount(groups, spec.perTask) / WaveCapacityDivisor, 1, spec.tasks);
    return (spec.tasks + perWave - 1) / perWave;
}

// Returns the latest end of the given steps.
absl::Duration latest(const std::vector<absl::Duration> &ends, const std::vector<int> &steps)
{
    absl::Duration result;
    for (const int step : steps)
        result = std::max(result, ends[static_cast<std::size_t>(step)]);
    return result;
}

absl::Duration longest(const std::vector<absl::Duration> &times)
{
    return times.empty() ? absl::ZeroDuration() : *std::max_element(times.begin(), times.end());
}

absl::Duration remainingRunTime(const Task &task, absl::Duration expected, core::Instant now)
{
    const absl::Duration remaining =
        task.percent > 0 ? remainingTime(task, expected, now) : expected - (now - task.startedAt);
    return std::max(absl::ZeroDuration(), remaining);
}

// Returns the work that a run does per second, relative to one that takes the expected time. A run
// beyond that time counts with its mean pace, as on a slow worker.
double pace(const Task &task, absl::Duration expected, core::Instant now)
{
    if (task.stopRequested)
        return 0;
    const absl::Duration elapsed = now - task.startedAt;
    return elapsed <= expected ? 1.0 : absl::FDivDuration(expected, elapsed);
}

void addWork(WorkByHorizon &work, double weight, absl::Duration begin, absl::Duration time)
{
    for (std::size_t i = 0; i < work.size(); ++i) {
        const absl::Duration horizon = absl::Seconds(ForecastHorizons[i]) - begin;
        work[i] += weight * absl::ToDoubleSeconds(std::clamp(horizon, absl::ZeroDuration(), time));
    }
}

} // namespace

double ServiceLoad::capacity() const
{
    double sum = 0;
    for (const WorkerGroup &group : openWorkers)
        sum += weightedCores(group.capacity) * group.count;
    return sum;
}

std::int64_t ServiceLoad::remainingWork() const
{
    std::int64_t sum = 0;
    for (const auto &[priority, load] : priorities)
        sum += load.remainingWork;
    return sum;
}

absl::Duration ServiceLoad::timeUntilDone(int priority) const
{
    const double rate = static_cast<double>(std::max(workRate, MinWorkRate)) / 1000;
    double previousTime = 0;
    double previousWork = 0;
    for (std::size_t i = 0; i < ForecastHorizons.size(); ++i) {
        const auto time = static_cast<double>(ForecastHorizons[i]);
        double work = 0;
        for (const auto &[other, load] : priorities)
            work += other <= priority ? static_cast<double>(load.workWithin[i]) : 0;
        if (work <= rate * time) {
            // The work grows linearly between two horizons; it is done when the rate reaches it.
            const double slope = (work - previousWork) / (time - previousTime);
            const double excess = previousWork - rate * previousTime;
            return excess <= 0 ? absl::ZeroDuration()
                               : absl::Seconds(previousTime + excess / (rate - slope));
        }
        previousTime = time;
        previousWork = work;
    }
    return absl::Seconds(previousWork / rate);
}

absl::Duration TaskTimes::expectedTime(std::int64_t estimateMs) const
{
    if (estimateMs <= 0)
        return absl::Microseconds(withoutEstimate);
    const auto logOf = [](std::int64_t number) {
        return std::log(static_cast<double>(std::max<std::int64_t>(1, number)));
    };
    const double position = (logOf(estimateMs) - logOf(ShortEstimateMs))
        / (logOf(LongEstimateMs) - logOf(ShortEstimateMs));
    return absl::Microseconds(
        std::exp(logOf(withShortEstimate)
                 + position * (logOf(withLongEstimate) - logOf(withShortEstimate))));
}

std::optional<JobForecast> LoadForecast::forecastFor(const workload::Job &job) const
{
    const auto service = services.find(job.terms.service);
    if (service == services.end() || job.scheduled)
        return std::nullopt;
    const auto times = queues.find(job.queue);
    // The objective allows for the waves in which a wide step runs, as in Planner.
    std::vector<absl::Duration> ends;
    std::vector<absl::Duration> endsInWaves;
    for (const workload::Step &step : job.steps) {
        if (times == queues.end() && step.estimateMs <= 0)
            return std::nullopt;
        const absl::Duration time = times == queues.end()
            ? absl::Milliseconds(step.estimateMs)
            : times->second.expectedTime(step.estimateMs);
        ends.push_back(latest(ends, step.after) + time);
        endsInWaves.push_back(latest(endsInWaves, step.after)
                              + time * waveCount(service->second.openWorkers, step));
    }
    JobForecast result;
    result.criticalPath = longest(ends);
    // An estimate above the learned times gives the caller the longer objective.
    result.objective =
        std::max(workload::latencyObjective(job),
                 longest(endsInWaves) * job.terms.stretch + absl::Milliseconds(job.terms.targetMs));
    result.wait = service->second.timeUntilDone(job.terms.priority);
    return result;
}

// One call of LoadForecaster::update().
class LoadForecaster::Computation
{
public:
    Computation(const Workers &workers, const WorkEstimates &estimates, core::Instant now)
        : m_workers(workers)
        , m_estimates(estimates)
        , m_now(now)
    {
        for (const auto &[key, worker] : workers) {
            if (isOpen(worker))
                addWorker(m_forecast.services[worker.service].openWorkers, worker.capacity);
        }
    }

    void addJob(const JobRecord &record)
    {
        const std::string &service = record.job().terms.service;
        if (!m_forecast.services.contains(service))
            return;
        for (const auto &[number, occurrence] : record.occurrences())
            addOccurrence(record, occurrence);
        const std::string &queue = record.job().queue;
        if (ended(record.state()) || m_forecast.queues.contains(queue))
            return;
        const auto expected = [&](std::int64_t estimateMs) {
            return rounded(absl::ToDoubleMicroseconds(m_estimates.expectedTime(queue, estimateMs)));
        };
        m_forecast.queues[queue] = {expected(0), expected(TaskTimes::ShortEstimateMs),
                                    expected(TaskTimes::LongEstimateMs)};
    }

    // Returns the occupancy of each service with open workers.
    std::map<std::string, Occupancy> occupancy() const
    {
        std::map<std::string, Occupancy> result;
        for (const auto &[service, load] : m_forecast.services) {
            const auto rate = m_workRates.find(service);
            result[service].workRate = rate == m_workRates.end() ? 0 : rate->second;
        }
        for (const auto &[key, demand] : m_demandByWorker) {
            const Worker &worker = m_workers.at(key);
            result[worker.service].occupied += weightedCores(worker.capacity)
                * occupiedFraction(demand, worker.capacity)
                / std::max(1.0, m_forecast.services.at(worker.service).capacity());
        }
        return result;
    }

    LoadForecast finish()
    {
        for (const auto &[key, load] : m_loads) {
            const auto &[service, priority, label, demand] = key;
            // Tasks that need a label run on few workers and delay nothing on the others.
            const double slots = label.empty() ? std::numeric_limits<double>::infinity()
                                               : load.slots * weightedCores(load.perTask);
            PriorityLoad &sum = m_forecast.services.at(service).priorities[priority];
            sum.remainingWork += rounded(load.remainingWork);
            for (std::size_t i = 0; i < ForecastHorizons.size(); ++i)
                sum.workWithin[i] += rounded(
                    std::min(load.workWithin[i], slots * static_cast<double>(ForecastHorizons[i])));
        }
        return std::move(m_forecast);
    }

private:
    using DemandKey = std::tuple<std::int64_t, std::int64_t, std::int64_t>;
    // The service, the priority, the label that the tasks need and their demand.
    using LoadKey = std::tuple<std::string, int, std::string, DemandKey>;

    struct Load
    {
        workload::Demand perTask;
        // The number of these tasks that the open workers hold at the same time.
        int slots = 0;
        double remainingWork = 0;
        WorkByHorizon workWithin{};
    };

    static void addWorker(std::vector<WorkerGroup> &groups, const workload::Demand &capacity)
    {
        const auto same = std::find_if(groups.begin(), groups.end(), [&](const WorkerGroup &g) {
            return g.capacity == capacity;
        });
        if (same == groups.end())
            groups.push_back({capacity, 1});
        else
            ++same->count;
    }

    Load &loadOf(const workload::Job &job, const workload::Step &spec)
    {
        const workload::Demand &need = spec.perTask;
        const LoadKey key{job.terms.service, job.terms.priority, spec.neededLabel,
                          DemandKey{need.milliCores, need.memoryMb, need.accelerators}};
        const auto [found, added] = m_loads.try_emplace(key);
        if (added) {
            found->second.perTask = need;
            found->second.slots = slots(job.terms.service, spec);
        }
        return found->second;
    }

    int slots(const std::string &service, const workload::Step &spec) const
    {
        if (spec.neededLabel.empty())
            return slotCount(m_forecast.services.at(service).openWorkers, spec.perTask);
        std::vector<WorkerGroup> labelled;
        for (const auto &[key, worker] : m_workers) {
            if (worker.service == service && isOpen(worker) && hasLabel(worker, spec.neededLabel))
                addWorker(labelled, worker.capacity);
        }
        return slotCount(labelled, spec.perTask);
    }

    void addOccurrence(const JobRecord &record, const Occurrence &occurrence)
    {
        const bool inTime = canEndInTime(record, occurrence);
        std::vector<absl::Duration> ends;
        for (std::size_t s = 0; s < occurrence.steps.size(); ++s) {
            const workload::Step &spec = record.job().steps[s];
            const StepProgress &progress = occurrence.steps[s];
            const absl::Duration begin = latest(ends, spec.after);
            const absl::Duration time = timeOf(record, progress, spec);
            addStep(record, progress, spec, begin, time, inTime);
            ends.push_back(begin + remainingStepTime(progress, time));
        }
    }

    absl::Duration timeOf(const JobRecord &record, const StepProgress &progress,
                          const workload::Step &spec) const
    {
        return expectedTaskTime(progress, spec, record.job().queue, m_estimates);
    }

    // Returns the time until the step is complete if its pending tasks start now.
    absl::Duration remainingStepTime(const StepProgress &progress, absl::Duration time) const
    {
        absl::Duration longest;
        for (const Task &task : progress.tasks) {
            if (!task.hasCompleted())
                longest = std::max(
                    longest,
                    task.phase == TaskPhase::Pending ? time : remainingRunTime(task, time, m_now));
        }
        return longest;
    }

    // Returns true if the occurrence can end within its latency objective. Otherwise the planner
    // places its tasks after those of jobs that can.
    bool canEndInTime(const JobRecord &record, const Occurrence &occurrence) const
    {
        const workload::Job &job = record.job();
        const std::vector<WorkerGroup> &workers =
            m_forecast.services.at(job.terms.service).openWorkers;
        std::vector<absl::Duration> ends;
        std::vector<absl::Duration> remainingEnds;
        for (std::size_t s = 0; s < occurrence.steps.size(); ++s) {
            const workload::Step &spec = job.steps[s];
            const absl::Duration time = timeOf(record, occurrence.steps[s], spec);
            ends.push_back(latest(ends, spec.after) + time * waveCount(workers, spec));
            remainingEnds.push_back(latest(remainingEnds, spec.after)
                                    + remainingStepTime(occurrence.steps[s], time));
        }
        const absl::Duration objective =
            longest(ends) * job.terms.stretch + absl::Milliseconds(job.terms.targetMs);
        const core::Instant begin =
            job.scheduled ? occurrence.steps[0].readySince : record.acceptedAt();
        return m_now + longest(remainingEnds) <= begin + objective;
    }

    void addStep(const JobRecord &record, const StepProgress &progress, const workload::Step &spec,
                 absl::Duration begin, absl::Duration time, bool inTime)
    {
        const double weight = weightedCores(spec.perTask);
        int pending = 0;
        Load local;
        for (const Task &task : progress.tasks) {
            pending += task.phase == TaskPhase::Pending ? 1 : 0;
            if (task.phase != TaskPhase::Active)
                continue;
            recordRun(record, task, spec, time);
            const absl::Duration left = remainingRunTime(task, time, m_now);
            local.remainingWork += weight * absl::ToDoubleSeconds(left);
            addWork(local.workWithin, weight, absl::ZeroDuration(), left);
        }
        local.remainingWork += pending * weight * absl::ToDoubleSeconds(time);
        if (inTime)
            addWork(local.workWithin, pending * weight, begin, time);
        if (ended(record.state()) || local.remainingWork <= 0)
            return;
        Load &load = loadOf(record.job(), spec);
        // Tasks that the open workers cannot hold wait for other workers and delay nothing.
        if (load.slots == 0 || (spec.gang && load.slots < spec.tasks))
            return;
        load.remainingWork += local.remainingWork;
        for (std::size_t i = 0; i < ForecastHorizons.size(); ++i)
            load.workWithin[i] += local.workWithin[i];
    }

    void recordRun(const JobRecord &record, const Task &task, const workload::Step &spec,
                   absl::Duration time)
    {
        const auto worker = m_workers.find(task.worker);
        if (worker == m_workers.end() || !isOpen(worker->second))
            return;
        workload::Demand &demand = m_demandByWorker[task.worker];
        demand = demand + spec.perTask;
        if (!ended(record.state()))
            m_workRates[worker->second.service] +=
                weightedCores(spec.perTask) * pace(task, time, m_now);
    }

    const Workers &m_workers;
    const WorkEstimates &m_estimates;
    const core::Instant m_now;
    LoadForecast m_forecast;
    std::map<LoadKey, Load> m_loads;
    std::map<std::string, workload::Demand> m_demandByWorker;
    std::map<std::string, double> m_workRates;
};

std::optional<LoadForecast> LoadForecaster::update(
    const std::map<std::string, JobRecord *> &openJobs, const Workers &workers,
    const WorkEstimates &estimates, core::Instant now)
{
    Computation computation(workers, estimates, now);
    for (const auto &[id, record] : openJobs)
        computation.addJob(*record);
    m_samples.push_back({now, computation.occupancy()});
    while (now - m_samples.front().time > RateWindow)
        m_samples.pop_front();
    LoadForecast forecast = computation.finish();
    bool loaded = false;
    for (auto &[name, service] : forecast.services) {
        const double capacity = service.capacity();
        service.workRate = std::max(MinWorkRate, rounded(1000 * meanWorkRate(name, capacity)));
        loaded =
            loaded || static_cast<double>(service.remainingWork()) >= MinBacklogSeconds * capacity;
    }
    return loaded ? std::optional(std::move(forecast)) : std::nullopt;
}

double LoadForecaster::meanWorkRate(const std::string &service, double capacity) const
{
    double work = PriorSampleCount * capacity;
    double occupied = PriorSampleCount;
    for (const Sample &sample : m_samples) {
        const auto found = sample.services.find(service);
        if (found == sample.services.end())
            continue;
        work += found->second.workRate;
        occupied += found->second.occupied;
    }
    return std::min(capacity, work / occupied);
}

namespace {

constexpr core::IntRange CountRange{0, std::numeric_limits<std::int32_t>::max()};

Json::Value toJson(const ServiceLoad &service)
{
    Json::Value value(Json::objectValue);
    value["rate"] = static_cast<Json::Int64>(service.workRate);
    value["workers"] = Json::Value(Json::arrayValue);
    for (const WorkerGroup &group : service.openWorkers) {
        Json::Value element(Json::objectValue);
        element["capacity"] = workload::toJson(group.capacity);
        element["count"] = group.count;
        value["workers"].append(element);
    }
    value["priorities"] = Json::Value(Json::arrayValue);
    for (const auto &[priority, load] : service.priorities) {
        Json::Value element(Json::objectValue);
        element["priority"] = priority;
        element["work"] = static_cast<Json::Int64>(load.remainingWork);
        for (const std::int64_t work : load.workWithin)
            element["within"].append(static_cast<Json::Int64>(work));
        value["priorities"].append(element);
    }
    return value;
}

// Returns `size` numbers, or nothing if the value is no array of that many numbers in range.
std::optional<std::vector<std::int64_t>> numbers(const Json::Value &value, std::size_t size)
{
    std::vector<std::int64_t> result;
    if (!value.isArray() || value.size() != size)
        return core::fail(core::ResultCode::BadField, "a list of numbers has the wrong size");
    for (const Json::Value &element : value) {
        if (!element.isInt64() || element.asInt64() < 0 || element.asInt64() > core::MaxExactInt)
            return core::fail(core::ResultCode::BadField, "a number is not in range");
        result.push_back(element.asInt64());
    }
    return result;
}

std::optional<ServiceLoad> serviceFromJson(const Json::Value &value)
{
    const auto rate = core::requiredInt(value, "rate");
    const Json::Value &workers = core::member(value, "workers");
    const Json::Value &priorities = core::member(value, "priorities");
    if (!rate)
        return std::nullopt;
    if (!workers.isArray() || !priorities.isArray())
        return core::fail(core::ResultCode::BadField, "a service has no workers or no priorities");
    ServiceLoad service;
    service.workRate = *rate;
    for (const Json::Value &element : workers) {
        const auto capacity = workload::demandFromJson(core::member(element, "capacity"));
        const auto count = core::requiredInt(element, "count", CountRange);
        if (!capacity || !count)
            return std::nullopt;
        service.openWorkers.push_back({*capacity, static_cast<int>(*count)});
    }
    for (const Json::Value &element : priorities) {
        const auto priority = core::requiredInt(element, "priority", CountRange);
        const auto work = core::requiredInt(element, "work");
        const auto within = numbers(core::member(element, "within"), ForecastHorizons.size());
        if (!priority || !work || !within)
            return std::nullopt;
        PriorityLoad &load = service.priorities[static_cast<int>(*priority)];
        load.remainingWork = *work;
        std::copy(within->begin(), within->end(), load.workWithin.begin());
    }
    return service;
}

} // namespace

Json::Value toJson(const LoadForecast &forecast)
{
    Json::Value value(Json::objectValue);
    value["services"] = Json::Value(Json::objectValue);
    for (const auto &[name, service] : forecast.services)
        value["services"][name] = toJson(service);
    value["queues"] = Json::Value(Json::objectValue);
    for (const auto &[name, times] : forecast.queues) {
        for (const std::int64_t time :
             {times.withoutEstimate, times.withShortEstimate, times.withLongEstimate})
            value["queues"][name].append(static_cast<Json::Int64>(time));
    }
    return value;
}

std::optional<LoadForecast> loadForecastFromJson(const Json::Value &value)
{
    const Json::Value &services = core::member(value, "services");
    const Json::Value &queues = core::member(value, "queues");
    if (!services.isObject() || !queues.isObject())
        return core::fail(core::ResultCode::BadField, "a forecast has no services or no queues");
    LoadForecast forecast;
    for (const std::string &name : services.getMemberNames()) {
        auto service = serviceFromJson(services[name]);
        if (!service)
            return std::nullopt;
        forecast.services.emplace(name, *std::move(service));
    }
    for (const std::string &name : queues.getMemberNames()) {
        const auto times = numbers(queues[name], 3);
        if (!times)
            return std::nullopt;
        forecast.queues[name] = {(*times)[0], (*times)[1], (*times)[2]};
    }
    return forecast;
}

} // namespace oleandercross::planning
