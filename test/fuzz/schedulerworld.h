#pragma once

#include <oleandercross/scheduling/guarantees.h>
#include <oleandercross/scheduling/scheduler.h>

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace oleandercross::scheduling::fuzz {

// Model of the workers of a small data centre and of what they run, driven by encoded steps. It
// answers the scheduler's actions out of order, late, incorrectly or not at all.
class SchedulerWorld
{
public:
    explicit SchedulerWorld(std::uint32_t layout);

    // Performs one step and checks all invariants. Returns the violated one, if any.
    std::optional<std::string> step(std::uint32_t code);

    std::uint64_t events() const { return m_events; }

private:
    struct Worker
    {
        core::WorkerId id;
        core::RackId rack;
        core::Resources nominalSize;
        core::Resources size;
        bool present = true;
        // Whether the leader has seen the worker. Lost workers must join again after a change of
        // leader.
        bool knownToLeader = true;
        bool draining = false;
        HealthState healthState = HealthState::Healthy;

        bool usable() const { return present && !draining && healthState == HealthState::Healthy; }
    };

    // A gang that occupies resources of workers.
    struct Gang
    {
        JobSpec spec;
        int attempt = 0;
        Placement placement;
        core::Resources perTask;
        bool started = false;
        bool stopping = false;
        std::optional<core::Instant> checkpointSince;
        std::set<int> finished;
    };

    struct TrackedJob
    {
        JobSpec spec;
        JobState state = JobState::Waiting;
        int attempt = 0;
        core::Resources perTask;
        int failures = 0;
        int enlargements = 0;
        // The scheduler temporarily avoids workers after a failure or refusal.
        bool avoidsWorkers = false;
        // Whether the event gives a reason to stop the job other than pre-emption.
        bool mayStop = false;
    };

    void makeManifest(std::uint32_t code);
    std::optional<std::string> send(const Event &event);
    std::optional<std::string> submit(std::uint32_t code);
    std::optional<std::string> gangStep(std::uint32_t kind, std::uint32_t code);
    std::optional<std::string> workerStep(std::uint32_t kind, std::uint32_t code);
    std::optional<std::string> replaceLeader();
    std::optional<std::string> advanceTime(std::uint32_t code);
    static void recordJoin(Worker &worker);
    void allowStops(const core::WorkerId &worker);

    std::optional<std::string> recordAction(const Action &action);
    std::optional<std::string> recordStart(const StartGang &action);
    std::optional<std::string> recordStop(const core::JobId &job, int attempt, bool checkpoint);
    std::optional<std::string> recordStateChange(const JobStateChanged &action);
    std::optional<std::string> check();
    std::optional<std::string> checkGuarantees() const;
    std::optional<std::string> checkUntouchedGuarantees() const;
    std::optional<std::string> checkReservations() const;
    std::optional<std::string> checkIdle() const;
    std::optional<std::string> checkClaim(const JobSpec &spec) const;
    bool usableChanged() const;
    int missingAccelerators() const;
    std::vector<std::uint64_t> freeSlots(bool withBorrowed) const;
    core::Resources freeResources(const Worker &worker) const;
    const config::Account &account(const core::AccountId &name) const;
    Worker *worker(const core::WorkerId &id);
    const Worker *worker(const core::WorkerId &id) const;
    const JobView *previousView(const core::JobId &id) const;
    static bool overlap(const Placement &a, const Placement &b);

    core::Instant m_now = absl::UnixEpoch();
    Policy m_policy;
    std::unique_ptr<Scheduler> m_scheduler;
    std::vector<Worker> m_workers;
    std::shared_ptr<config::Manifest> m_manifest;
    std::map<core::JobId, Gang> m_gangs;
    std::map<core::JobId, TrackedJob> m_jobs;
    std::vector<JobView> m_previousViews;
    std::vector<JobView> m_views;
    int m_previouslyMissing = 0;
    std::vector<bool> m_previouslyUsable;
    bool m_storeAvailable = true;
    bool m_restoring = false;
    bool m_manifestChanged = false;
    // Index of the last event's type in the variant.
    std::size_t m_eventKind = 0;
    int m_nextJob = 0;
    std::uint64_t m_events = 0;
};

} // namespace oleandercross::scheduling::fuzz
