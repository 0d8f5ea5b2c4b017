#pragma once

#include <oleandercross/planning/accountshares.h>
#include <oleandercross/planning/cluster.h>
#include <oleandercross/planning/estimates.h>
#include <oleandercross/planning/jobrecord.h>
#include <oleandercross/planning/learnedstate.h>
#include <oleandercross/planning/placement.h>
#include <oleandercross/planning/waitingwork.h>
#include <oleandercross/planning/workerspeeds.h>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace oleandercross::planning {

struct ActiveRun;

struct PlannerOptions
{
    // The platform's slowdown factor for work on another rack than its data or spread over racks.
    double crossRackFactor = 3;
    // The longest time that a worker takes to stop a task, as given by the platform.
    absl::Duration stopTime = absl::Milliseconds(500);
    // The time after which an order without effect is repeated.
    absl::Duration orderRepeat = absl::Milliseconds(700);
    // The time after which a start without effect is revoked by a stop.
    absl::Duration startTimeout = absl::Milliseconds(2500);
};

// An instruction to a worker. Orders are sent in sequence, after the changed jobs are stored.
struct Order
{
    enum class Kind { Start, Stop };

    Kind kind = Kind::Start;
    std::string worker;
    workload::RunKey run;
    std::string payload;
    std::string checkpoint;
    // The reason of the order, for the log.
    std::string reason;

    friend bool operator==(const Order &, const Order &) = default;
};

// What is known of the speeds of the workers.
struct SpeedSummary
{
    // Workers whose speed is known well enough to choose between them, and slow ones of these.
    int measuredWorkers = 0;
    int slowWorkers = 0;
    // Work is placed by its expected end, since some workers take much longer than others.
    bool uneven = false;

    friend bool operator==(const SpeedSummary &, const SpeedSummary &) = default;
};

struct Plan
{
    std::vector<Order> orders;
    SpeedSummary speeds;
    // The work that waits after this round, about once a second.
    std::optional<WaitingWork> waiting;
    // The time of the next plan if no event triggers one earlier.
    core::Instant next = absl::InfiniteFuture();
};

// Assigns tasks to workers. The planner is deterministic: it takes events and times and returns
// orders, and uses no threads, sockets or clock.
class Planner
{
public:
    explicit Planner(PlannerOptions options);

    // Sets the accelerators guaranteed to each account's jobs of priority 0.
    void setGuarantees(std::map<std::string, std::int64_t> accelerators);

    // Replaces the data centres that are closed to new work. Nothing is started on their workers;
    // confirmed runs there continue.
    void setClosedDataCentres(std::set<std::string> names);
    // While starts are suspended, plan() orders no start and stops nothing to make room for one.
    void setStartsSuspended(bool suspended) { m_startsSuspended = suspended; }

    // Adds a job that was accepted `age` ago. Ignored if the job is already recorded.
    void addJob(workload::Job job, core::Instant now, absl::Duration age = absl::ZeroDuration());
    // Adds or replaces a job with progress stored by an earlier leader. Fails if
    // JobRecord::restore() fails.
    bool restoreJob(workload::Job job, const ProgressRows &progress, core::Instant now,
                    absl::Duration age = absl::ZeroDuration());
    void cancelJob(const std::string &id, core::Instant now);
    // Ends a job as failed whose progress cannot be stored.
    void failJob(const std::string &id, core::Instant now);
    void removeJob(const std::string &id);

    void updateWorker(const Worker &worker);
    // Removes an incarnation of a worker that is permanently lost or was replaced by a new one; all
    // its runs have ended but those in `kept`, which stay active on the removed incarnation. A
    // crash counts against the runs that have ended, see JobRecord. Returns these runs.
    std::vector<workload::RunKey> removeWorker(const std::string &key, WorkerEnd end,
                                               core::Instant now,
                                               const std::set<workload::RunKey> &kept = {});

    // Moves an active run to another incarnation of its worker, which turned out to execute it.
    // Returns false if the run is not active on `from`.
    bool moveRun(const std::string &from, const std::string &to, const workload::RunKey &run);

    // Starts a complete listing of the worker's runs, which is passed by calls of runSeen() and
    // runEnded().
    void beginListing(const std::string &worker);
    void runSeen(const std::string &worker, const workload::RunKey &run,
                 const std::string &checkpoint, int percent, core::Instant now);
    // Returns false if the end changes nothing, see JobRecord::end().
    bool runEnded(const std::string &worker, const workload::RunKey &run, RunEnd outcome,
                  const std::string &checkpoint, core::Instant now);
    // Handles the worker's confirmation that the run does not exist and can no longer start.
    void runAbsent(const std::string &worker, const workload::RunKey &run, core::Instant now);
    // Handles the worker's confirmation of a start.
    void startConfirmed(const std::string &worker, const workload::RunKey &run, core::Instant now);
    // Records that the worker has not received the latest start order of the run. The order is
    // repeated, but the job is not blamed for a crash of the worker.
    void startNotSent(const std::string &worker, const workload::RunKey &run);
    // Handles the worker's refusal to start a run.
    void startRefused(const std::string &worker, const workload::RunKey &run);

    // Handles the agent's refusal of a start because the worker's data centre is closed. The agent
    // has not sent the start to the worker. The worker is not avoided after the data centre opens.
    void startRefusedByClosure(const std::string &worker, const workload::RunKey &run,
                               core::Instant now);

    Plan plan(core::Instant now, std::int64_t unixMs);

    // Returns what the planner has learned, in its stored form.
    LearnedState learnedState(core::Instant now) const;
    // Restores what an earlier planner has learned; called before the first job is added. Returns
    // what is unreadable and was ignored.
    std::vector<UnreadableLearnedState> restoreLearnedState(const LearnedState &state,
                                                            core::Instant now);

    // Returns the jobs whose stored form changed since the last call.
    std::set<std::string> takeChanged();

    // See JobRecord::takeProgressChanges(). The job must exist.
    std::vector<ProgressGroup> takeProgressChanges(const std::string &id);

    const JobRecord *job(const std::string &id) const;
    const std::map<std::string, JobRecord> &jobs() const { return m_jobs; }
    const Workers &workers() const { return m_workers; }
    Workers workersInOpenDataCentres() const;
    // Returns the jobs that have not ended or have active tasks, and may return ended ones until
    // the next round.
    const std::map<std::string, JobRecord *> &openJobs() const { return m_openJobs; }
    const WorkEstimates &estimates() const { return m_estimates; }
    // Returns the keys with this prefix of all workers and of all incarnations that have active
    // tasks.
    std::set<std::string> workerKeys(const std::string &prefix = {});
    // Returns true if a start of the run was decided and its end is not confirmed.
    bool hasActiveRun(const std::string &worker, const workload::RunKey &run) const;
    // Returns the number of active runs of an incarnation of a worker.
    int activeRunCount(const std::string &worker);
    // Returns true if the run completed. Members of a gang complete together, so the worker may
    // still list the run as running.
    bool completed(const workload::RunKey &run) const;
    // Returns the resources that the task needs, none if its job is unknown.
    workload::Demand demandOf(const workload::TaskKey &task) const;

private:
    struct SchedulingUnit;
    struct Round;

    JobRecord *find(const std::string &id);
    // Keeps the capacity of the other members of a gang that completed with this run occupied until
    // their workers list them as ended.
    void holdCapacityOfGangMembers(const JobRecord &record, const workload::RunKey &run,
                                   const std::string &worker);
    void indexActiveTasks(const JobRecord &record);
    void recordEstimates(const workload::Job &job, core::Instant now);
    // Returns true if an earlier planner has recorded the job and its records were restored.
    bool isIncludedInRestoredState(bool hasProgress, absl::Duration age) const;
    // Drops what was restored for workers that have not appeared since.
    void dropMissingWorkers(core::Instant now);
    void recordCompletion(const JobRecord &record, const workload::TaskKey &key, core::Instant now);
    // Records the pace of a run that has done `fraction` of its task after `elapsed`, unless it
    // says nothing about the speeds of its workers.
    void recordPace(const JobRecord &record, const workload::TaskKey &key, double fraction,
                    absl::Duration elapsed, core::Instant now);
    static void requestStop(Task &task, const std::string &reason);
    // The following functions are the phases of plan(), in sequence.
    void indexWorkers(Round &round) const;
    void collectActiveRuns(Round &round);
    // Requests stops of runs on workers of closed data centres that the worker has not confirmed,
    // since their starts may still be carried out.
    static void stopUnconfirmedRunsOnClosedWorkers(const Round &round);
    // Excludes workers with stalled runs, and stops a stalled run if little progress is lost and
    // another worker has free capacity.
    void handleStalledRuns(const Round &round);
    void rankWorkers(Round &round) const;
    void orderStops(Round &round);
    std::vector<SchedulingUnit> readyUnits(const Round &round);
    void chooseUrgentReserve(Round &round) const;
    void placeUnit(const SchedulingUnit &unit, Round &round);
    // Returns the work that waits after the placements, or nothing if the last summary is recent.
    std::optional<WaitingWork> waitingWork(const std::vector<SchedulingUnit> &units,
                                           const Round &round);

    // Adds the pending tasks of a unit to the sums of its priority.
    void addWaitingTasks(const SchedulingUnit &unit, const Round &round,
                         WaitingWork &waiting) const;
    bool isClosed(const Worker &worker) const;
    // Drops the unit's reservation if a part of it is on a worker of a closed data centre. The rest
    // would keep capacity from other units without letting this one start.
    static void dropClosedReservation(const SchedulingUnit &unit, const Round &round);
    // Returns true for a cold worker and a gang of priority 0, which waits for its slowest member.
    static bool isColdForUrgentGang(const SchedulingUnit &unit, const Worker &worker,
                                    core::Instant now);
    bool isStalled(const ActiveRun &run) const;
    bool hasFreeCapacityElsewhere(const ActiveRun &run, const Round &round) const;
    // Returns true if the worker is open, suits the step and has free capacity for one task of it.
    static bool hasFreeCapacity(int worker, const JobRecord &record, const workload::Step &spec,
                                const Round &round);
    void orderStop(const ActiveRun &run, bool gangIncomplete, Round &round);
    void repeatStart(const ActiveRun &run, Round &round);
    // Returns the expected run time of a task of the step on a worker of average speed, measured
    // from the step's own runs where possible.
    absl::Duration taskTime(const JobRecord &record, const StepProgress &progress,
                            const workload::Step &spec) const;
    // Returns how many tasks of a step form a wave: as many as fit into a quarter of the service.
    static int tasksPerWave(const JobRecord &record, const workload::Step &spec,
                            const Round &round);
    // Returns how many tasks of the unit's step may run at the same time. Other jobs of priority 0
    // cannot pre-empt them. If they run for longer than such jobs can wait, the step runs only as
    // wide as its deadline requires, but at least one wave.
    int maxParallelTasks(const SchedulingUnit &unit, const Round &round) const;
    // Returns the number of consecutive waves in which the tasks of a step are expected to run.
    static int waves(const JobRecord &record, const workload::Step &spec, const Round &round);
    // Sets the expected times, the deadlines and the value density of a unit from the remaining
    // work of its occurrence.
    void estimateTimesAndValue(SchedulingUnit &unit, const Occurrence &occurrence,
                               const Round &round) const;
    void collectUnits(JobRecord &record, const Round &round, std::vector<SchedulingUnit> &units);
    // Multiplies the value density of the units by the factors of their accounts.
    void applyAccountShares(const Round &round, std::vector<SchedulingUnit> &units);
    std::map<std::string, std::int64_t> urgentNeeds() const;
    bool withinGuarantee(const std::string &account) const;
    // Visits the active tasks of a worker. The visitor may end their runs.
    void forEachActiveTask(const std::string &worker,
                           const std::function<void(const workload::TaskKey &, Task &)> &visit);
    PlacementRequest request(const SchedulingUnit &unit, const Round &round) const;
    // Returns the speed class of each worker for the unit: fast workers come first for urgent work,
    // and last for work that ends in time on slow ones.
    static std::vector<int> speedClasses(const SchedulingUnit &unit, const Round &round);
    // Returns true if tasks may be spread over idle workers to learn their speeds, although this
    // leaves fewer whole workers for gangs.
    static bool hasIdleWorkersToMeasure(const Round &round);
    // Return true if the unit is expected to end within the time, or before its deadline, if it
    // starts on the worker.
    static bool endsWithin(const SchedulingUnit &unit, int worker, absl::Duration time,
                           const Round &round);
    static bool endsInTime(const SchedulingUnit &unit, int worker, const Round &round);
    // Returns the request, restricted in turn to the groups of workers on which a gang is placed
    // best, so that its members have like speeds. Empty if the workers have like speeds anyway.
    static std::vector<PlacementRequest> bySpeed(const SchedulingUnit &unit,
                                                 const PlacementRequest &request,
                                                 const Round &round);
    // Returns the request without the workers on which the unit would end late.
    static PlacementRequest onWorkersInTime(const SchedulingUnit &unit,
                                            const PlacementRequest &request, const Round &round);
    // Returns true if the unit should rather wait than start on workers that make it late.
    static bool waitsForWorkersInTime(const SchedulingUnit &unit, const PlacementRequest &request,
                                      const PlacementRequest &inTime, const Round &round);
    // Returns how many more tasks of the step each worker may get.
    static std::vector<int> taskLimits(const SchedulingUnit &unit, const Round &round);
    // Returns true if a pending task of the unit is suspected to crash workers and has been started
    // recently; after a while it may start beside others, so that it does not wait without a limit.
    static bool isSuspect(const SchedulingUnit &unit, core::Instant now);
    // Returns true if a run of a pending task of the unit has failed.
    static bool hasFailures(const SchedulingUnit &unit);
    // Returns true if the unit may start beside the worker's recent starts, so that a crash of the
    // worker can still be attributed to one task: a suspected task starts only where no other start
    // is recent, and nothing starts beside it until it has run for a while.
    static bool mayShareWorker(bool suspect, int worker, const Round &round);
    static std::vector<bool> workersWithFailedRuns(const SchedulingUnit &unit, const Round &round);
    // Returns true if a worker of a suitable class may run the unit's tasks.
    bool isEligible(const SchedulingUnit &unit, int worker, const Round &round) const;
    // Restricts the request to the workers on the rack of the input data, if there are any.
    static void restrictToDataRack(PlacementRequest &request, const Round &round);
    const VictimIndex &victims(const SchedulingUnit &unit, Round &round) const;
    bool mayPreempt(const SchedulingUnit &unit, const JobRecord &victim) const;
    // Returns true if work of lower priority may run on a worker of the urgent reserve. All work
    // may once it is about to be late, since the reserve lasts as long as urgent jobs are expected.
    bool mayUseUrgentReserve(const SchedulingUnit &unit, int worker, const Round &round) const;
    // Returns true if the job is late or has almost no slack left before its deadline.
    static bool isAboutToBeLate(const SchedulingUnit &unit, core::Instant now);
    // Returns the work that may be lost for the unit by pre-emption, as a multiple of its own.
    double preemptionBudget(const SchedulingUnit &unit, core::Instant now) const;
    static void deductReservation(const SchedulingUnit &unit, Round &round);
    // Returns how long the unit waits for its preferred rack, or for a single rack.
    static absl::Duration longestRackWait(const SchedulingUnit &unit);
    void placeGang(const SchedulingUnit &unit, Round &round);
    bool tryPlace(const SchedulingUnit &unit, const PlacementRequest &request, Round &round);
    // Place the unit on free capacity, and on capacity that is freed by pre-emption or is already
    // reserved for it. Return false if there is none.
    bool tryFree(const SchedulingUnit &unit, const PlacementRequest &request, Round &round);
    bool tryPreempt(const SchedulingUnit &unit, const PlacementRequest &request, Round &round);
    void startTasks(const SchedulingUnit &unit, const std::map<int, int> &tasks, Round &round);
    static void preemptGroup(const VictimGroup &victim, const SchedulingUnit &unit, Round &round);

    PlannerOptions m_options;
    std::map<std::string, std::int64_t> m_guarantees;
    std::map<std::string, std::int64_t> m_urgentNeeds;
    std::set<std::string> m_closedDataCentres;
    bool m_startsSuspended = false;
    std::map<std::string, JobRecord> m_jobs;
    // The jobs that have not ended or have active tasks, and ended ones until the next round.
    std::map<std::string, JobRecord *> m_openJobs;
    Workers m_workers;
    // The active tasks by worker. Tasks whose run has ended are removed when the entry is next
    // visited.
    std::map<std::string, std::set<workload::TaskKey>> m_tasksByWorker;
    // Resources held by members of completed gangs until their worker's next listing.
    std::map<std::string, workload::Demand> m_heldByEndingMembers;
    WorkerHealth m_health;
    WorkEstimates m_estimates;
    WorkerSpeeds m_speeds;
    std::set<std::string> m_changed;
    UrgentDemandForecast m_urgentDemand;
    AccountShares m_accountShares;
    // The records of jobs that an earlier planner made have been restored completely.
    bool m_estimatesRestored = false;
    // Workers with restored marks, and when they are dropped unless they have appeared.
    std::set<std::string> m_restoredWorkers;
    core::Instant m_restoredWorkersUntil = absl::InfiniteFuture();
    core::Instant m_nextWaitingWork = absl::InfinitePast();
};

} // namespace oleandercross::planning
