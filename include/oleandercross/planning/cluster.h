#pragma once

#include <oleandercross/core/clock.h>
#include <oleandercross/planning/learnedstate.h>
#include <oleandercross/workload/job.h>

#include <cstddef>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace oleandercross::planning {

// The leader's view of one incarnation of a worker.
struct Worker
{
    // Identifies the incarnation; a worker that restarts gets a new key.
    std::string key;
    std::string agent;
    std::string service;
    std::string rack;
    std::string dataCentre;
    std::vector<std::string> labels;
    workload::Demand capacity;
    // True if the worker is registered, reachable and not draining.
    bool accepting = false;
    bool draining = false;
    // The earliest time at which a draining worker leaves.
    core::Instant leavesAt = absl::InfiniteFuture();
    // Until this time the worker is slow because it has started recently.
    core::Instant warmAt = absl::InfinitePast();
    // Resources held by orphaned runs, which are being stopped, and by members of completed gangs
    // that have not ended yet.
    workload::Demand orphanedDemand;

    friend bool operator==(const Worker &, const Worker &) = default;
};

// Why an incarnation of a worker ended. Crashed: its process ended without being asked to. Left: it
// was draining or deregistered. LeaseExpired: it was out of contact for so long that all its runs
// have ended.
enum class WorkerEnd { Crashed, Left, LeaseExpired };

// Returns "crashed", "left" or "lease expired".
const char *toString(WorkerEnd end);

// Returns true if the worker has the label or the label is empty.
bool hasLabel(const Worker &worker, const std::string &label);

using Workers = std::map<std::string, Worker>;

// Scores workers by recent failed and stalled runs.
class WorkerHealth
{
public:
    void recordFailure(const std::string &worker, const std::string &job, core::Instant now);
    void recordSuccess(const std::string &worker, core::Instant now);
    // Excludes the worker for a limited time because a run on it is stalled; recordProgress() ends
    // the exclusion early.
    void recordStall(const std::string &worker, core::Instant now);
    void recordProgress(const std::string &worker);
    // Retracts a recorded failure that was caused by the job and not by the worker.
    void retractFailure(const std::string &worker, core::Instant now);
    void removeWorker(const std::string &worker);

    // Returns true if runs of other jobs have failed on the worker recently and none has succeeded
    // there since, so that the worker is a likelier cause of a failure than the job.
    bool hasFailedOtherJobs(const std::string &worker, const std::string &job,
                            core::Instant now) const;
    // Returns 0 for a healthy worker, 1 for one to avoid and 2 for one that gets no work.
    int suspicionLevel(const std::string &worker, core::Instant now) const;

    // Returns the keys of the workers with recorded failures or stalls.
    std::set<std::string> workers() const;
    // Returns the stored form of the marks that have not aged yet of the selected workers, of at
    // most `maxBytes`. Marks are as they have decayed until now; stalls have their age.
    std::string encode(core::Instant now, const WorkerFilter &selects, std::size_t maxBytes) const;
    // Adds the marks of the stored form. Fails with BadJson or BadField if it, or a part of it, is
    // unreadable; the other parts are restored.
    bool restore(const std::string &text, core::Instant now);

private:
    struct Score
    {
        double failures = 0;
        core::Instant updatedAt;
        // The latest recorded failure of each job since the last success. Not stored.
        std::map<std::string, core::Instant> failedJobs;
    };

    double decayedFailures(const Score &score, core::Instant now) const;
    void add(const std::string &worker, double amount, core::Instant now);

    std::map<std::string, Score> m_scores;
    std::map<std::string, core::Instant> m_stalledAt;
};

} // namespace oleandercross::planning
