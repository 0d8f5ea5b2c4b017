#include <oleandercross/planning/workerspeeds.h>

#include "learnedtext.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <string_view>
#include <unordered_map>

namespace oleandercross::planning {

namespace {

// Speeds are fitted again after this time, so that the cost of a round stays small.
constexpr absl::Duration FitPeriod = absl::Milliseconds(250);
// The weight of an observation halves in this time, since a worker may become slow and recover.
constexpr absl::Duration ObservationHalfLife = absl::Seconds(15);
// Older observations are dropped.
constexpr absl::Duration MaxObservationAge = absl::Seconds(60);
// The largest number of steps with observations, and of observations of one step.
constexpr std::size_t MaxSteps = 512;
constexpr std::size_t MaxPacesOfStep = 128;
// The weight of the assumption that a worker has average speed, relative to one complete run.
constexpr double PriorWeight = 0.5;
// Beyond this total weight, more observations do not make the speed more certain.
constexpr double MaxWeight = 12;
// A fit starts from the speeds of the previous one, so that a few iterations follow new
// observations.
constexpr int FitIterations = 3;
// With more observations than this, fits are made less often in proportion.
constexpr std::size_t SamplesPerFitPeriod = 400;
// Deviations beyond this (a factor of 1.6) count less, since single tasks take several times as
// long as others of their step.
constexpr double RobustDeviation = 0.47;
// Members of a gang whose logarithmic speeds differ by more than this from that of the slowest
// member are unlikely to be the cause of its pace.
constexpr double SlowestMemberScale = 0.1;
constexpr double MaxLogSpeed = 1.4;
// Speeds with less weight than this are not stored.
constexpr double MinStoredWeight = 0.05;
// The limits of restored speeds, which allow for the rounding of stored ones.
constexpr double MaxRestoredSpeed = 5;

// Returns the weight of an observation that deviates from the fit.
double robustWeight(double deviation)
{
    const double size = std::abs(deviation);
    return size <= RobustDeviation ? 1 : (RobustDeviation * RobustDeviation) / (size * size);
}

} // namespace

// One observation with indices in place of names, for the duration of a fit.
struct WorkerSpeeds::Sample
{
    std::size_t step = 0;
    std::vector<std::size_t> workers;
    double logDuration = 0;
    double weight = 0;
    // The weight after deviating observations have been reduced.
    double usedWeight = 0;
    // The logarithmic speed of its slowest worker.
    double slowest = 0;

    double logWork() const { return logDuration + slowest; }
};

// The weighted sum of the observations of the work of a step.
struct WorkerSpeeds::Work
{
    double sum = 0;
    double weight = 0;

    double mean() const { return weight > 0 ? sum / weight : 0; }
};

void WorkerSpeeds::expect(const StepKey &step, absl::Duration time, double confidence)
{
    if (time <= absl::ZeroDuration())
        return;
    Step &entry = m_steps[step];
    entry.logExpected = std::log(absl::ToDoubleSeconds(time));
    entry.expectedWeight = confidence;
}

void WorkerSpeeds::observe(const StepKey &step, int sample, RunPace pace)
{
    if (pace.duration <= absl::ZeroDuration() || pace.weight <= 0 || pace.workers.empty())
        return;
    std::map<int, RunPace> &paces = m_steps[step].paces;
    if (paces.size() >= MaxPacesOfStep && !paces.contains(sample))
        paces.erase(paces.begin());
    paces.insert_or_assign(sample, std::move(pace));
}

void WorkerSpeeds::removeWorker(const std::string &worker)
{
    m_speeds.erase(worker);
    for (auto &[key, step] : m_steps) {
        std::erase_if(step.paces, [&worker](const auto &entry) {
            const std::vector<std::string> &workers = entry.second.workers;
            return std::find(workers.begin(), workers.end(), worker) != workers.end();
        });
    }
}

void WorkerSpeeds::dropOldObservations(core::Instant now)
{
    for (auto &[key, step] : m_steps) {
        std::erase_if(step.paces, [now](const auto &entry) {
            return now - entry.second.observedAt > MaxObservationAge;
        });
    }
    std::erase_if(m_steps, [](const auto &entry) { return entry.second.paces.empty(); });
    while (m_steps.size() > MaxSteps)
        m_steps.erase(m_steps.begin());
}

std::vector<WorkerSpeeds::Sample> WorkerSpeeds::collectSamples(core::Instant now,
                                                               std::vector<Speed *> &speeds)
{
    std::vector<Sample> samples;
    std::unordered_map<std::string_view, std::size_t> indices;
    std::size_t index = 0;
    for (const auto &[key, step] : m_steps) {
        for (const auto &[number, pace] : step.paces) {
            Sample sample;
            sample.step = index;
            sample.logDuration = std::log(absl::ToDoubleSeconds(pace.duration));
            sample.weight = pace.weight
                * std::exp2(-absl::FDivDuration(now - pace.observedAt, ObservationHalfLife));
            for (const std::string &worker : pace.workers) {
                const auto added = indices.try_emplace(worker, speeds.size());
                if (added.second)
                    speeds.push_back(&m_speeds[worker]);
                sample.workers.push_back(added.first->second);
            }
            samples.push_back(std::move(sample));
        }
        ++index;
    }
    for (auto &[worker, speed] : m_speeds) {
        if (speed.priorWeight > 0 && indices.try_emplace(worker, speeds.size()).second)
            speeds.push_back(&speed);
    }
    return samples;
}

std::vector<WorkerSpeeds::Work> WorkerSpeeds::fitWork(std::vector<Sample> &samples,
                                                      const std::vector<Speed *> &speeds,
                                                      const std::vector<Work> &previous) const
{
    std::vector<Work> work;
    for (const auto &[key, step] : m_steps)
        work.push_back({step.logExpected * step.expectedWeight, step.expectedWeight});
    for (Sample &sample : samples) {
        sample.slowest = std::numeric_limits<double>::infinity();
        for (const std::size_t worker : sample.workers)
            sample.slowest = std::min(sample.slowest, speeds[worker]->logSpeed);
        sample.usedWeight = sample.weight;
        if (!previous.empty())
            sample.usedWeight *= robustWeight(sample.logWork() - previous[sample.step].mean());
        work[sample.step].sum += sample.logWork() * sample.usedWeight;
        work[sample.step].weight += sample.usedWeight;
    }
    return work;
}

void WorkerSpeeds::fitSpeeds(const std::vector<Sample> &samples, const std::vector<Work> &work,
                             const std::vector<Speed *> &speeds)
{
    std::vector<Work> sums;
    sums.reserve(speeds.size());
    for (const Speed *speed : speeds)
        sums.push_back({speed->restoredLogSpeed * speed->priorWeight, speed->priorWeight});
    for (const Sample &sample : samples) {
        // Only the other observations of the step predict the duration of this one.
        const Work others{work[sample.step].sum - sample.logWork() * sample.usedWeight,
                          work[sample.step].weight - sample.usedWeight};
        if (others.weight <= 0)
            continue;
        const double observed = others.mean() - sample.logDuration;
        // The prediction errs too, the more the fewer observations it rests on.
        const double certainty = sample.weight * others.weight / (sample.weight + others.weight);
        // A gang that is faster than expected proves that none of its members is slower than its
        // pace; one that is slower is attributed to its slowest members.
        const auto blame = [&](std::size_t worker) {
            return std::exp((sample.slowest - speeds[worker]->logSpeed) / SlowestMemberScale);
        };
        double totalBlame = 0;
        for (const std::size_t worker : sample.workers)
            totalBlame += blame(worker);
        for (const std::size_t worker : sample.workers) {
            const double logSpeed = speeds[worker]->logSpeed;
            const double share = observed > logSpeed ? 1 : blame(worker) / totalBlame;
            const double weight = certainty * share * robustWeight((observed - logSpeed) / 2);
            sums[worker].sum += weight * observed;
            sums[worker].weight += weight;
        }
    }
    for (std::size_t i = 0; i < speeds.size(); ++i) {
        speeds[i]->logSpeed =
            std::clamp(sums[i].sum / (sums[i].weight + PriorWeight), -MaxLogSpeed, MaxLogSpeed);
        speeds[i]->weight = std::min(MaxWeight, sums[i].weight);
    }
}

void WorkerSpeeds::update(core::Instant now)
{
    if (now < m_nextFit)
        return;
    dropOldObservations(now);
    for (auto &[name, speed] : m_speeds) {
        const absl::Duration age = now - speed.restoredAt;
        speed.weight = 0;
        speed.priorWeight = age > MaxObservationAge
            ? 0
            : speed.restoredWeight * std::exp2(-absl::FDivDuration(age, ObservationHalfLife));
    }
    std::vector<Speed *> speeds;
    std::vector<Sample> samples = collectSamples(now, speeds);
    std::vector<Work> work;
    for (int iteration = 0; iteration < FitIterations; ++iteration) {
        work = fitWork(samples, speeds, work);
        fitSpeeds(samples, work, speeds);
    }
    std::erase_if(m_speeds, [](const auto &entry) { return entry.second.weight <= 0; });
    m_nextFit =
        now + FitPeriod * (1 + static_cast<std::int64_t>(samples.size() / SamplesPerFitPeriod));
}

std::set<std::string> WorkerSpeeds::workers() const
{
    std::set<std::string> keys;
    for (const auto &[worker, speed] : m_speeds)
        keys.insert(worker);
    return keys;
}

std::string WorkerSpeeds::encode(const WorkerFilter &selects, std::size_t maxBytes) const
{
    EntryText text(maxBytes);
    for (const auto &[worker, speed] : m_speeds) {
        if (speed.weight >= MinStoredWeight && selects(worker))
            text.add(worker, numberArray({std::exp(speed.logSpeed), speed.weight}));
    }
    return text.text();
}

bool WorkerSpeeds::restore(const std::string &text, core::Instant now)
{
    return restoreEntries(text, [&](const std::string &worker, const Json::Value &value) {
        const auto numbers =
            readNumbers(value, {{1 / MaxRestoredSpeed, MaxRestoredSpeed}, {0, MaxWeight}});
        if (!numbers || (*numbers)[1] < MinStoredWeight)
            return false;
        Speed &speed = m_speeds[worker];
        speed.logSpeed = std::clamp(std::log((*numbers)[0]), -MaxLogSpeed, MaxLogSpeed);
        speed.weight = (*numbers)[1];
        // The stored speed is the observed one combined with the assumption of average speed.
        speed.restoredLogSpeed = speed.logSpeed * (speed.weight + PriorWeight) / speed.weight;
        speed.restoredWeight = speed.weight;
        speed.restoredAt = now;
        return true;
    });
}

double WorkerSpeeds::speed(const std::string &worker) const
{
    const auto found = m_speeds.find(worker);
    return found == m_speeds.end() ? 1 : std::exp(found->second.logSpeed);
}

double WorkerSpeeds::confidence(const std::string &worker) const
{
    const auto found = m_speeds.find(worker);
    return found == m_speeds.end() ? 0
                                   : found->second.weight / (found->second.weight + PriorWeight);
}

} // namespace oleandercross::planning
