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

// What follows the stop of a gang.
enum class After { Requeue, RequeueLarger, Fail, Cancel };

// Why a waiting job did not start in the latest pass.
enum class Wait {
    NotTried,
    NotReady,
    StoreUnavailable,
    Quota,
    BackOff,
    NoCapacity,
    Fragmented,
    NoGuarantee
};

// Position in the queue: urgent jobs first, then by level, then by age.
using QueueKey = std::tuple<int, int, std::uint64_t>;

// The part of a gang on one worker.
struct Share
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
    Hold hold = Hold::None;
    int attempt = 0;
    Layout layout;
    // The layout by worker, in ascending order, while it is held or reserved.
    std::vector<Share> shares;
    // Waits with a reservation for other gangs to stop.
    bool reserved = false;
    std::uint64_t sequence = 0;
    QueueKey key;
    core::Instant waitingSince;
    core::Instant startedAt;
    core::Instant retryAt = absl::InfinitePast();
    // When the next step of a start or stop is taken without an answer.
    core::Instant deadline = absl::InfiniteFuture();
    absl::Duration attained;
    bool checkpointing = false;
    bool hasCheckpoint = false;
    After after = After::Requeue;
    core::ResultCode code = core::ResultCode::Ok;
    std::string message;
    std::vector<int> failedOn;
    std::vector<int> refusedBy;
    int failures = 0;
    int refusals = 0;
    int preemptions = 0;
    int enlargements = 0;
    core::Instant throttledAt = absl::InfiniteFuture();
    std::int64_t largestMemoryMb = 0;
    std::vector<bool> finished;
    Wait wait = Wait::NotTried;

    int accelerators() const { return spec.tasks * perTask.accelerators; }
    bool started() const { return state != JobState::Waiting; }
    // Stopping it loses its work.
    bool fixed() const { return !spec.repeatable || !spec.checkpointable; }
    Shape shape() const
    {
        return {spec.tasks, perTask, spec.adjacency, spec.adjacencyHard, fixed()};
    }
};

// Evidence about a worker since its last success.
struct Health
{
    absl::flat_hash_set<core::JobId> failedJobs;
    core::Instant until = absl::InfiniteFuture();
    int quarantines = 0;
    int probationSuccesses = 0;
};

// Identifies jobs that fit alike on an empty data centre.
using FitKey = std::tuple<Shape, core::AccountId, bool>;

// Identifies placements that fail alike within one pass.
using AttemptKey = std::tuple<Shape, core::AccountId, core::TeamId, int, bool, bool>;

std::vector<Share> sharesOf(const Layout &layout);

} // namespace oleandercross::scheduling::detail

namespace oleandercross::scheduling {

class Scheduler::Private
{
public:
    Private(core::DataCentreId dataCentre, Policy policy);

    std::vector<Action> apply(const Event &event, core::Instant now);
    const detail::Job *find(const core::JobId &id) const;
    Explanation explain(const detail::Job &job, core::Instant now) const;
    JobView view(const detail::Job &job, core::Instant now) const;

    const core::DataCentreId dataCentre;
    const Policy policy;
    detail::Cluster cluster;
    absl::flat_hash_map<core::JobId, std::unique_ptr<detail::Job>> jobs;
    std::vector<detail::Health> health;

private:
    using Job = detail::Job;
    using Layout = detail::Layout;
    using FitKey = detail::FitKey;
    using WorkerState = detail::WorkerState;

    // Events, in scheduler.cpp, workers.cpp and lifecycle.cpp.
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
    void rebaseSurplus(int worker);
    void retireCells(int worker);
    void retireCell(int cell);
    void demote(Job &job, int cell);
    void reportShortfall();
    void adopt(Job &job, const RestoredJob &restored);
    Layout layoutOf(const Placement &placement, const core::Resources &perTask,
                    bool &matches) const;

    // Admission.
    std::optional<core::Reason> refusal(const JobSpec &spec);
    bool canEverFit(const Job &job);
    bool fitsEmpty(const detail::Cluster &scratch, const Job &job) const;
    detail::Cluster emptyCluster(bool planned) const;

    // Gangs.
    Job *running(const core::JobId &id, int attempt);
    WorkerState &worker(int index) { return cluster.workers()[static_cast<std::size_t>(index)]; }
    void hold(Job &job, bool take);
    void reserve(Job &job, bool take);
    void start(Job &job);
    void beginStop(Job &job, detail::After after, absl::Duration grace);
    void stopNow(Job &job);
    void stopped(Job &job);
    void accrue(Job &job);
    void requeue(Job &job);
    void loseGang(Job &job);
    void dropReservation(Job &job);
    void finish(Job &job, JobState state, core::ResultCode code, std::string message = {});
    void erase(Job &job);
    void setState(Job &job, JobState state);
    void moveDrained();
    void stepDeadline(Job &job);

    // Queue.
    int level(const Job &job) const;
    int effectiveLevel(const Job &job) const;
    absl::Duration attained(const Job &job) const;
    bool isLarge(const Job &job) const;
    void enqueue(Job &job);
    void dequeue(Job &job);
    void age();

    // Decisions, in decide.cpp and preempt.cpp.
    void schedule();
    void startReserved();
    bool ready(const Job &job) const;
    void pass();
    bool tryJob(Job &job);
    bool permitted(Job &job);
    bool tryFree(Job &job);
    bool trySurplus(Job &job);
    bool tryClaim(Job &job);
    bool tryOrder(Job &job);
    bool tryUrgent(Job &job);
    bool tryDefragment(Job &job);
    bool tryReservation(Job &job);
    void tryProbation(int worker);
    void promote();
    void pursueReservation();
    const detail::View &freeView();
    std::vector<int> avoided(const Job &job) const;
    template <typename Eligible>
    detail::View viewWithout(Eligible eligible);
    template <typename Eligible>
    std::vector<Job *> victims(const Layout &layout, const core::Resources &perTask,
                               Eligible eligible, bool &complete);
    bool mayStopForOrder(const Job &victim, const Job &job) const;
    bool mayStopForReservation(const Job &victim, const Job &job) const;
    bool replaceable(const std::vector<Job *> &victims, const Layout &layout,
                     const core::Resources &perTask);
    void take(Job &job, Layout layout, Hold hold);
    bool takeAfter(Job &job, Layout layout, const std::vector<Job *> &victims,
                   absl::Duration grace);

    // Bad workers, in health.cpp.
    void blame(Job &job, int worker);
    void praise(int worker);
    void setStanding(int worker, Standing standing);
    bool mayQuarantine() const;
    void stepHealth();

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
    // The large gang whose reservation also waits for work that is not pre-empted.
    Job *m_oldest = nullptr;
    absl::flat_hash_map<std::pair<core::AccountId, core::TeamId>, int> m_quota;
    absl::flat_hash_map<std::pair<core::AccountId, core::TeamId>, int> m_held;
    std::vector<detail::LevelCounts> m_reported;
    absl::flat_hash_map<core::AccountId, ShortfallChanged> m_shortfalls;
    // Set when capacity may have become free, so that the whole queue is tried.
    bool m_passNeeded = false;
    // Where the latest pass was cut short; the next one goes on from there.
    std::optional<detail::QueueKey> m_resume;
    bool m_cellsFreed = false;
    bool m_shortfallStale = true;
    std::vector<Job *> m_new;
    absl::flat_hash_set<detail::AttemptKey> m_failedAttempts;
    absl::flat_hash_map<FitKey, bool> m_fits;
    detail::View m_view;
    bool m_viewStale = true;
    int m_stopAttempts = 0;
    core::Instant m_nextReview = absl::InfinitePast();
    core::Instant m_nextDefragment = absl::InfinitePast();
    friend class Scheduler;
};

} // namespace oleandercross::scheduling
