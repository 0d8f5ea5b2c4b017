#pragma once

#include <oleandercross/config/settings.h>
#include <oleandercross/core/executor.h>
#include <oleandercross/daemon/clusterview.h>
#include <oleandercross/daemon/jobrecord.h>
#include <oleandercross/gang/coordinator.h>
#include <oleandercross/platform/storewriter.h>
#include <oleandercross/rpc/rpc.h>
#include <oleandercross/scheduling/scheduler.h>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>

namespace oleandercross::daemon {

// Dependencies of a term on its entry process. All of them outlive the term.
struct TermContext
{
    const config::Settings &settings;
    ClusterView &cluster;
    ManifestService &manifests;
    platform::StoreWriter &store;
    rpc::Client &client;
    telemetry::Metrics &metrics;
    // Returns true while the lease permits scheduling decisions.
    std::function<bool()> mayDecide;
    std::function<bool()> leadsDuringStoreOutage;
    // Called with a higher epoch than the term's when an agent's answer contains one.
    std::function<void(std::int64_t)> epochSeen;
};

// Leadership of a data centre for one epoch: restores the jobs, runs the scheduler, and starts and
// stops gangs until the epoch ends. Thread safe. Held by shared pointers because table writes may
// complete after the term has ended.
class Term : public std::enable_shared_from_this<Term>
{
public:
    Term(const TermContext &context, std::int64_t epoch, platform::Condition epochCondition);
    ~Term();

    void start();
    // Ends the term. Nothing is sent or written afterwards; running gangs are not stopped.
    void stop();

    std::int64_t epoch() const { return m_epoch; }
    bool restored() const;

    // Events from the cluster view, the manifest service and the agents.
    void agentChanged(const AgentInfo &info, bool alive);
    void manifestChanged();
    void taskEvent(const gang::TaskEvent &event);
    void taskUsage(const std::vector<platform::TaskStatus> &tasks);

    // Adds a job whose row exists to the scheduler. Returns false if the row could not be read.
    bool addJob(const core::JobId &job);
    // Requests cancellation and returns the job's record afterwards. Fails with UnknownJob.
    std::optional<JobRecord> cancelJob(const core::JobId &job);
    // Returns the job's record as soon as its state differs from `knownState`, after `wait` at the
    // latest. Fails with UnknownJob.
    std::optional<JobRecord> jobRecord(const core::JobId &job, const std::string &knownState,
                                       absl::Duration wait);
    std::optional<scheduling::Explanation> explain(const core::JobId &job);

    struct Status
    {
        int waiting = 0;
        int running = 0;
        std::vector<scheduling::ShortfallChanged> shortfalls;
        std::vector<core::WorkerId> quarantined;
    };
    Status status() const;

private:
    struct ActiveJob
    {
        JobRecord record;
        // Version of the job's row; 0 if there is none.
        std::int64_t rowVersion = 0;
        // A write of the row is in flight, or a coordinator whose decision writes the row is
        // active.
        bool writing = false;
        // The row has changed since that write was issued and has to be written again.
        bool dirty = false;
        // A gang start that is deferred until the write completes.
        std::optional<scheduling::StartGang> pendingStart;
        std::shared_ptr<gang::Coordinator> coordinator;
        bool stopRequested = false;
        // Members of the latest attempt with the indices of their tasks, in member order.
        std::vector<std::pair<gang::Peer, std::vector<int>>> members;
        // False if the agent of a member is unknown; task ids cannot be mapped to task indices
        // then.
        bool membersComplete = false;
        std::set<int> finishedTasks;
        // Tasks with a requested checkpoint that has not completed, with their previous checkpoint.
        std::map<int, std::string> pendingCheckpoints;
        core::Instant changedAt;
    };

    using Jobs = std::map<core::JobId, ActiveJob>;

    // term.cpp: restore after a leader change, and execution of the scheduler's actions.
    void restore();
    bool restoreWorkers();
    bool loadRows();
    void finishRestore();
    scheduling::RestoredJob restoredJob(const ActiveJob &job) const;
    void restoreFinishedTasks(ActiveJob &job) const ABSL_SHARED_LOCKS_REQUIRED(m_mutex);
    void collectReports();
    void tick();
    void scanRows();
    void apply(const scheduling::Event &event) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    void perform(const scheduling::Action &action) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    void jobStateChanged(const scheduling::JobStateChanged &change)
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    void updateWorker(const AgentInfo &info) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);

    // termrows.cpp: job rows in the table service.
    void persist(ActiveJob &job) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    void persisted(const core::JobId &id, bool ended, const platform::WriteResult &result);
    void resync(const core::JobId &id);
    void writeFinished(ActiveJob &job) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    std::optional<ActiveJob> readRow(const core::JobId &id, bool &missing);
    // Removes a job whose record has been moved to its done row.
    void removeEndedJob(Jobs::iterator job) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);

    // termgangs.cpp: starting and stopping gangs.
    void startGang(ActiveJob &job, const scheduling::StartGang &start)
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    void stopGang(ActiveJob &job) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    void beginStop(ActiveJob &job) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    bool assignMembers(ActiveJob &job, const scheduling::Placement &placement)
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    void coordinate(const core::JobId &id, const gang::CoordinatorEvent &event)
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    void execute(const core::JobId &id, const gang::CoordinatorAction &action)
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    void sendToMember(const core::JobId &id, int attempt, const gang::SendToMember &send);
    void writeDecision(const core::JobId &id, const platform::Transaction &transaction);
    void operationFinished(const core::JobId &id, const gang::CoordinatorAction &action)
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    void checkpointGang(ActiveJob &job) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    void throttleTask(const scheduling::ThrottleTask &action)
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    // Returns the index of a task within its job, or -1 if the task is not part of the current
    // attempt.
    int taskIndex(const ActiveJob &job, const platform::TaskStatus &task) const;
    void recordTaskStates(ActiveJob &job, const std::vector<platform::TaskStatus> &tasks)
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    void recordUsage(ActiveJob &job, int task, const platform::TaskStatus &status)
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    void reportLostMember(ActiveJob &job, const core::AgentId &agent, bool reporterIsLost)
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    void reconcileNextAgent();
    void reconcile(const AgentInfo &agent, const gang::LedgerReport &report);

    const TermContext m_context;
    const std::int64_t m_epoch;
    const platform::Condition m_epochCondition;
    const core::SteadyClock m_clock;
    mutable absl::Mutex m_mutex;
    bool m_stopping ABSL_GUARDED_BY(m_mutex) = false;
    bool m_rowsLoaded ABSL_GUARDED_BY(m_mutex) = false;
    bool m_restored ABSL_GUARDED_BY(m_mutex) = false;
    core::Instant m_restoreDeadline ABSL_GUARDED_BY(m_mutex);
    scheduling::Scheduler m_scheduler ABSL_GUARDED_BY(m_mutex);
    Jobs m_jobs ABSL_GUARDED_BY(m_mutex);
    // The number of jobs that are being read from their rows to be added, and the jobs that have
    // been removed since the first of these reads began. A row that was read before its removal
    // must not bring the job back.
    int m_addingJobs ABSL_GUARDED_BY(m_mutex) = 0;
    std::set<core::JobId> m_removedWhileAdding ABSL_GUARDED_BY(m_mutex);
    // Agents by worker, in the state last passed to the scheduler.
    std::map<core::WorkerId, AgentInfo> m_workers ABSL_GUARDED_BY(m_mutex);
    std::map<core::AgentId, gang::LedgerReport> m_reports ABSL_GUARDED_BY(m_mutex);
    std::int64_t m_revision ABSL_GUARDED_BY(m_mutex) = 0;
    bool m_storeAvailable ABSL_GUARDED_BY(m_mutex) = true;
    std::size_t m_reconcileIndex ABSL_GUARDED_BY(m_mutex) = 0;
    core::Executor m_executor;
};

} // namespace oleandercross::daemon
