#pragma once

#include <oleandercross/planning/loadforecast.h>

#include <cstddef>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>

namespace oleandercross::control {

// A forecast and when it was computed, or earlier, on the clock of this machine.
struct DatedForecast
{
    // Null if there is no forecast.
    std::shared_ptr<const planning::LoadForecast> forecast;
    core::Instant computedAt = absl::InfinitePast();
};

// Why a job was refused and when the caller should try again, in whole seconds.
struct Refusal
{
    planning::JobForecast forecast;
    absl::Duration retryAfter;
    // How often this entry refused the job before.
    int earlierRefusals = 0;
};

// Decides which jobs to refuse because the forecast says that they end long after they have lost
// all their value. Not thread safe; uses no clock.
class Admission
{
public:
    // An older forecast refuses nothing.
    static constexpr absl::Duration MaxForecastAge = absl::Milliseconds(1500);
    // A job has no value from three times its latency objective on; the rest is a margin of half,
    // since a false refusal costs more than a late job.
    static constexpr double ObjectiveMultiple = 4.5;

    // Returns nothing if the job is to be accepted. `guaranteed` is true for a job of priority 0 of
    // an account with guaranteed accelerators, which is never refused.
    std::optional<Refusal> decide(const workload::Job &job, const DatedForecast &forecast,
                                  core::Instant now, bool guaranteed) const;

    // Records that the job was refused, so that it is told a shorter time when it is refused again.
    void recordRefusal(const std::string &job);
    // Forgets the refusals of a job that was accepted.
    void recordAcceptance(const std::string &job);

private:
    int refusals(const std::string &job) const;

    // The refused jobs. Once there are MaxRefusedJobs recent ones, they replace the older ones.
    static constexpr std::size_t MaxRefusedJobs = 4096;
    std::unordered_map<std::string, int> m_recent;
    std::unordered_map<std::string, int> m_older;
};

} // namespace oleandercross::control
