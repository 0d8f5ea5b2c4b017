#pragma once

#include "cluster.h"

#include <oleandercross/scheduling/scheduler.h>

#include <absl/container/btree_map.h>
#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>

#include <memory>
#include <string>
#include <tuple>
#include <vector>

namespace oleandercross::scheduling::detail {

// What happens to a job after its gang has stopped.
enum class AfterStop { Requeue, RequeueLarger, Fail, Cancel };

// Why a waiting job did not start in the latest pass.
enum class WaitReason {
    // Jobs ahead in the queue are tried first.
    NotTried,
    // The scheduler's state has not been restored yet.
    NotReady,
    // The job is not repeatable, so its start has to be recorded first.
    StoreUnavailable,
    // The quota of the job's team has too few accelerators left.
    Quota,
    // A worker refused the latest start.
    BackOff,
    NoCapacity,
    // Enough accelerators are free, but no placement of the gang fits them.
    Fragmented,
    // The job is not repeatable and fits neither its account's guarantee nor the surplus.
    NoUnborrowedCapacity
};

// Position in the queue: urgent jobs first, then by level, then by order of submission.
using QueueKey = std::tuple<int, int, std::uint64_t>;

// The part of a gang that runs on one worker.
struct WorkerShare
{
    int worker = -1;
    Slots accelerators = 0;
    int tasks = 0;
};

struct Job
{
    JobSpec spec;
    core::Resources perTask;
    JobState state = JobState::Waiting;
    CapacityClass capacityClass = CapacityClass::None;
    int attempt = 0;
    Layout layout;
    // The layout grouped by worker, in ascending order, while it is in use or reserved.
    std::vector<WorkerShare> shares;
    // The job has a reservation and waits for other gangs on it to stop.
    bool reserved = false;
    // The order of submission.
    std::uint64_t sequence = 0;
    QueueKey key;
    core::Instant waitingSince;
    core::Instant startedAt;
    // No start is tried before this time, because a worker refused the latest one.
    core::Instant retryAt = absl::InfinitePast();
    // When an unanswered start is abandoned, a checkpoint times out or a stop is repeated.
    core::Instant deadline = absl::InfiniteFuture();
    // Accelerator time received before `startedAt`. A job without accelerators counts as one
    // accelerator.
    absl::Duration attainedService;
    bool checkpointing = false;
    bool hasCheckpoint = false;
    AfterStop afterStop = AfterStop::Requeue;
    core::ResultCode code = core::ResultCode::Ok;
    std::string message;
    // Indices of workers on which the job failed, and of those that refused it since its latest
    // successful start.
    std::vector<int> failedWorkers;
    std::vector<int> refusingWorkers;
    int failures = 0;
    int consecutiveRefusals = 0;
    int preemptions = 0;
    // How often the memory of the tasks was increased.
    int enlargements = 0;
    core::Instant throttledAt = absl::InfiniteFuture();
    // The highest reported memory use of a task that exceeded its declared memory.
    std::int64_t peakTaskMemoryMb = 0;
    std::vector<bool> finishedTasks;
    WaitReason waitReason = WaitReason::NotTried;

    int acceleratorCount() const { return spec.tasks * perTask.accelerators; }
    bool isActive() const { return state != JobState::Waiting; }
    // Stopping the job loses its work, so it is not moved.
    bool immovable() const { return !spec.repeatable || !spec.checkpointable; }
    Shape shape() const
    {
        return {spec.tasks, perTask, spec.adjacency, spec.adjacencyHard, immovable()};
    }
};

struct WorkerHealth
{
    // Jobs that failed on the worker since a task last succeeded there.
    absl::flat_hash_set<core::JobId> failedJobs;
    core::Instant quarantinedUntil = absl::InfiniteFuture();
    // Number of quarantines since the worker was last healthy.
    int quarantineCount = 0;
    // Tasks that succeeded during the current probation.
    int probationSuccesses = 0;
};

// Identifies jobs for which the check against an empty data centre has the same result: shape,
// account and whether the job is repeatable.
using FitKey = std::tuple<Shape, core::AccountId, bool>;

// Identifies jobs whose placement fails for the same reason within one pass: shape, account, team,
// queue level, and whether the job is repeatable and urgent.
using PlacementKey = std::tuple<Shape, core::AccountId, core::TeamId, int, bool, bool>;

std::vector<WorkerShare> workerShares(const Layout &layout);

} // namespace oleandercross::scheduling::detail

namespace oleandercross::scheduling {

class Scheduler::Private
{
public:
    Private(core::DataCentreId dataCentre, Policy policy);

    std::vector<Action> apply(const Event &event, core::Instant now);
    const detail::Job *find(const core::JobId &id) const;
    Explanation explain(const detail::Job &job, core::Instant now) const;
    JobView jobView(const detail::Job &job, core::Instant now) const;

    const core::DataCentreId dataCentre;
    const Policy policy;
    detail::Cluster cluster;
    absl::flat_hash_map<core::JobId, std::unique_ptr<detail::Job>> jobs;
    std::vector<detail::WorkerHealth> workerHealth;

private:
    using Job = detail::Job;
    using Layout = detail::Layout;
    using FitKey = detail::FitKey;
    using WorkerState = detail::WorkerState;

    // Event handlers.
    void handle(const WorkerJoined &event);
    void handle(const WorkerChanged &event);
    void handle(const WorkerDraining &event);
    void handle(const WorkerLost &event);
    void handle(const WorkerReturned &event);
    void handle(const ManifestChanged &event);
    void handle(const JobSubmitted &event);
    void handle(const JobCancelled &event);
    void handle(const GangStarted &event);
    void handle(const GangRefused &event);
    void handle(const GangStopped &event);
    void handle(const TaskFinished &event);
    void handle(const TaskFailed &event);
    void handle(const TaskLost &event);
    void handle(const UsageReported &event);
    void handle(const CheckpointDone &event);
    void handle(const Tick &event);
    void handle(const StateRestored &event);
    void handle(const StoreChanged &event);

    // Workers and cells.
    void updateWorker(const core::WorkerId &id, const core::RackId &rack,
                      const core::Resources &resources);
    void recomputeSurplus(int worker);
    void revokeCells(int worker);
    void revokeCell(int cell);
    void withdrawClaim(Job &job, int cell);
    void reportShortfall();
    void restoreGang(Job &job, const RestoredJob &restored);
    Layout restoredLayout(const Placement &placement, const core::Resources &perTask,
                          bool &matches) const;

    // Admission.
    std::optional<core::Reason> refusalReason(const JobSpec &spec);
    bool canEverFit(const Job &job);
    bool fitsWhenEmpty(const detail::Cluster &emptyDataCentre, const Job &job) const;
    detail::Cluster makeEmptyCluster(bool planned) const;

    // Gangs.
    Job *findActive(const core::JobId &id, int attempt);
    WorkerState &worker(int index) { return cluster.workers()[static_cast<std::size_t>(index)]; }
    // Both functions undo the change if `add` is false.
    void updateUsage(Job &job, bool add);
    void reserve(Job &job, bool add);
    void start(Job &job);
    void beginStop(Job &job, detail::AfterStop afterStop, absl::Duration checkpointTimeout);
    void sendStop(Job &job);
    void completeStop(Job &job);
    void accrueService(Job &job);
    void requeue(Job &job);
    void handleLostGang(Job &job);
    void dropReservation(Job &job);
    void finish(Job &job, JobState state, core::ResultCode code, std::string message = {});
    void erase(Job &job);
    void setState(Job &job, JobState state);
    void moveFromDrainingWorkers();
    void handleDeadline(Job &job);

    // Queue.
    int queueLevel(const Job &job) const;
    int agedQueueLevel(const Job &job) const;
    absl::Duration attainedService(const Job &job) const;
    bool isLarge(const Job &job) const;
    void enqueue(Job &job);
    void dequeue(Job &job);
    void updateQueueLevels();

    // Decisions.
    void schedule();
    void startReserved();
    bool isReservationReady(const Job &job) const;
    void runPass();
    bool tryStart(Job &job);
    // Records the wait reason and returns false if the job may not start now.
    bool checkPermitted(Job &job);
    bool tryFreeCapacity(Job &job);
    bool trySurplus(Job &job);
    bool tryClaim(Job &job);
    bool tryPreemptByLevel(Job &job);
    bool tryPreemptForUrgent(Job &job);
    bool tryDefragment(Job &job);
    bool tryReservation(Job &job);
    void tryStartOnProbation(int worker);
    void promoteBorrowed();
    void preemptForReservation();
    const detail::CapacityView &freeCapacity();
    std::vector<int> avoidedWorkers(const Job &job) const;
    template <typename Eligible>
    detail::CapacityView capacityAfterPreempting(Eligible eligible);
    template <typename Eligible>
    std::vector<Job *> selectVictims(const Layout &layout, const core::Resources &perTask,
                                     Eligible eligible, bool &complete);
    bool mayPreemptByLevel(const Job &victim, const Job &job) const;
    bool mayPreemptForReservation(const Job &victim, const Job &job) const;
    bool canRelocate(const std::vector<Job *> &victims, const Layout &layout,
                     const core::Resources &perTask);
    void startOn(Job &job, Layout layout, CapacityClass capacityClass);
    bool reserveAndPreempt(Job &job, Layout layout, const std::vector<Job *> &victims,
                           absl::Duration checkpointTimeout);

    // Worker health.
    void recordFailure(Job &job, int worker);
    void recordSuccess(int worker);
    void setHealthState(int worker, HealthState healthState);
    bool mayQuarantine() const;
    void updateHealth();

    template <typename T>
    void emit(T action)
    {
        m_actions.emplace_back(std::move(action));
    }

    core::Instant m_now = absl::InfinitePast();
    std::vector<Action> m_actions;
    std::shared_ptr<const config::Manifest> m_manifest;
    bool m_restored = false;
    bool m_storeAvailable = true;
    std::uint64_t m_nextSequence = 0;
    absl::btree_map<detail::QueueKey, Job *> m_queue;
    std::vector<Job *> m_reserved;
    // The large gang that had waited longest when it reserved. Only its reservation may include
    // accelerators of gangs that cannot be pre-empted yet.
    Job *m_oldestLargeGang = nullptr;
    absl::flat_hash_map<std::pair<core::AccountId, core::TeamId>, int> m_quota;
    absl::flat_hash_map<std::pair<core::AccountId, core::TeamId>, int> m_heldAccelerators;
    std::vector<detail::LevelCounts> m_reported;
    absl::flat_hash_map<core::AccountId, ShortfallChanged> m_reportedShortfalls;
    // Set when capacity may have become free and the whole queue has to be tried.
    bool m_passNeeded = false;
    // Where the latest pass reached its limit; the next pass continues from there.
    std::optional<detail::QueueKey> m_resumeKey;
    // Set when cells may have been released and borrowed jobs may be promoted.
    bool m_cellsFreed = false;
    bool m_shortfallStale = true;
    std::vector<Job *> m_newJobs;
    absl::flat_hash_set<detail::PlacementKey> m_failedPlacements;
    absl::flat_hash_map<FitKey, bool> m_fitCache;
    detail::CapacityView m_freeCapacity;
    bool m_freeCapacityStale = true;
    int m_preemptionTries = 0;
    // When the health, queue levels and promotions are updated next.
    core::Instant m_nextPeriodicUpdate = absl::InfinitePast();
    core::Instant m_nextDefragmentation = absl::InfinitePast();
    friend class Scheduler;
};

} // namespace oleandercross::scheduling
