#pragma once

#include <oleandercross/core/clock.h>
#include <oleandercross/workload/job.h>

#include <map>
#include <string>
#include <vector>

namespace oleandercross::planning {

// One life of a worker as the leader knows it.
struct Worker
{
    // Names this life of the worker: a worker that starts again gets another key.
    std::string key;
    std::string agent;
    std::string service;
    std::string rack;
    std::vector<std::string> labels;
    workload::Demand capacity;
    // Registered, not draining and in contact.
    bool accepting = false;
    bool draining = false;
    // While draining: the worker stays at least until then.
    core::Instant leavesAt = absl::InfiniteFuture();
    // Held by runs that no job knows any more and that are being stopped.
    workload::Demand strays;

    friend bool operator==(const Worker &, const Worker &) = default;
};

using Workers = std::map<std::string, Worker>;

// Judges workers by the runs that failed on them lately.
class WorkerHealth
{
public:
    void recordFailure(const std::string &worker, core::Instant now);
    void recordSuccess(const std::string &worker, core::Instant now);
    // Takes back a failure that turned out to be the job's own fault.
    void forgive(const std::string &worker, core::Instant now);
    void forget(const std::string &worker) { m_scores.erase(worker); }

    // 0 for a sound worker, 1 for one to avoid, 2 for one that gets no work.
    int suspicion(const std::string &worker, core::Instant now) const;

private:
    struct Score
    {
        double failures = 0;
        core::Instant at;
    };

    double decayed(const Score &score, core::Instant now) const;
    void add(const std::string &worker, double by, core::Instant now);

    std::map<std::string, Score> m_scores;
};

} // namespace oleandercross::planning
