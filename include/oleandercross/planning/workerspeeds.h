#pragma once

#include <oleandercross/core/clock.h>
#include <oleandercross/planning/learnedstate.h>

#include <absl/time/time.h>

#include <cstddef>
#include <map>
#include <set>
#include <string>
#include <tuple>
#include <vector>

namespace oleandercross::planning {

// Identifies the tasks of one step of an occurrence, which do about the same amount of work.
struct StepKey
{
    std::string job;
    int occurrence = 0;
    int step = 0;

    friend auto operator<=>(const StepKey &, const StepKey &) = default;
};

// The observed duration of one run.
struct RunPace
{
    // The workers of the run: one, or those of all members of a gang, which runs at the pace of the
    // slowest.
    std::vector<std::string> workers;
    // The duration of the whole task, extrapolated from its progress while it runs.
    absl::Duration duration;
    // From 0 to 1: how much of the task the observation covers.
    double weight = 1;
    core::Instant observedAt;

    friend bool operator==(const RunPace &, const RunPace &) = default;
};

// Estimates the speeds of workers from the paces of runs. Neither the work of a step nor the speeds
// are known, so both are fitted at the same time: the logarithm of a duration is that of the work
// of the step minus that of the speed of the worker. The expected time of a step, which comes from
// its estimate, counts as one more observation of its work.
class WorkerSpeeds
{
public:
    // Records the expected time of a step on a worker of average speed. `confidence` is its weight
    // relative to one complete run, from 0 to 1.
    void expect(const StepKey &step, absl::Duration time, double confidence);
    // Records the pace of a run of a step. `sample` identifies the run within the step; a later
    // pace replaces an earlier one. Ignores durations that are not positive.
    void observe(const StepKey &step, int sample, RunPace pace);
    // Fits the speeds to the recent observations, a few times a second at most.
    void update(core::Instant now);
    void removeWorker(const std::string &worker);

    // Returns the speed relative to an average worker: 1 for average, 2 for twice as fast.
    double speed(const std::string &worker) const;
    // Returns how certain the speed is, from 0 without observations to 1.
    double confidence(const std::string &worker) const;

    // Returns the keys of the workers with a speed.
    std::set<std::string> workers() const;
    // Returns the stored form of the speeds of the selected workers, of at most `maxBytes`.
    std::string encode(const WorkerFilter &selects, std::size_t maxBytes) const;
    // Adds the speeds of the stored form. Each counts as an observation made now, whose weight
    // decays like that of the others. Fails with BadJson or BadField if the form, or a part of it,
    // is unreadable; the other parts are restored.
    bool restore(const std::string &text, core::Instant now);

private:
    struct Step
    {
        double logExpected = 0;
        double expectedWeight = 0;
        std::map<int, RunPace> paces;
    };

    struct Speed
    {
        double logSpeed = 0;
        double weight = 0;
        // A restored observation, and its weight at the time of the fit.
        double restoredLogSpeed = 0;
        double restoredWeight = 0;
        core::Instant restoredAt = absl::InfinitePast();
        double priorWeight = 0;
    };

    struct Sample;
    struct Work;

    void dropOldObservations(core::Instant now);
    // Returns the observations, and adds the speeds that they refer to by index.
    std::vector<Sample> collectSamples(core::Instant now, std::vector<Speed *> &speeds);
    // The two halves of an iteration of the fit: the work of each step from the speeds, and the
    // speeds from the work.
    std::vector<Work> fitWork(std::vector<Sample> &samples, const std::vector<Speed *> &speeds,
                              const std::vector<Work> &previous) const;
    static void fitSpeeds(const std::vector<Sample> &samples, const std::vector<Work> &work,
                          const std::vector<Speed *> &speeds);

    std::map<StepKey, Step> m_steps;
    std::map<std::string, Speed> m_speeds;
    core::Instant m_nextFit = absl::InfinitePast();
};

} // namespace oleandercross::planning
