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

// What a term needs from the entry around it. All outlive the term.
struct TermContext
{
    const config::Settings &settings;
    ClusterView &cluster;
    ManifestService &manifests;
    platform::StoreWriter &store;
    rpc::Client &client;
    telemetry::Metrics &metrics;
    // True while the lease allows decisions.
    std::function<bool()> mayDecide;
    std::function<bool()> storeOutage;
    // An agent answered with a higher epoch.
    std::function<void(std::int64_t)> epochSeen;
};

// One epoch of leading a data centre: restores the jobs, drives the scheduler and starts and stops
// gangs until the epoch ends. Thread safe. Held by shared pointers, since writes may end after it.
class Term : public std::enable_shared_from_this<Term>
{
public:
    Term(const TermContext &context, std::int64_t epoch, platform::Condition epochCondition);
    ~Term();

    void start();
    // Ends the term. Nothing is sent or written afterwards; gangs go on running.
    void stop();

    std::int64_t epoch() const { return m_epoch; }
    bool restored() const;

    // Events from outside.
    void agentChanged(const AgentInfo &info, bool alive);
    void manifestChanged();
    void taskEvent(const gang::TaskEvent &event);
    void taskUsage(const std::vector<platform::TaskStatus> &tasks);

    // Takes over a job whose row exists. False if it could not be read.
    bool addJob(const core::JobId &job);
    // Asks to cancel; the record then tells how far it got. Fails with UnknownJob.
    std::optional<JobRecord> cancelJob(const core::JobId &job);
    // The job's record; waits up to `wait` for a state other than `known`. Fails with UnknownJob.
    std::optional<JobRecord> jobRecord(const core::JobId &job, const std::string &known,
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
        // Of the job's row; 0 if there is none.
        std::int64_t rowVersion = 0;
        // A write of the row, or a coordinator whose decision writes it, is under way.
        bool writing = false;
        // The row has to be written again after that.
        bool dirty = false;
        // A start that waits for the write.
        std::optional<scheduling::StartGang> pendingStart;
        std::shared_ptr<gang::Coordinator> coordinator;
        bool stopRequested = false;
        // Members of the latest attempt with the indices of their tasks, in member order.
        std::vector<std::pair<gang::Peer, std::vector<int>>> members;
        // False if a member's agent is not known; then tasks cannot be told apart by their ids.
        bool membersComplete = false;
        std::set<int> finishedTasks;
        // Tasks whose checkpoint is awaited, with the checkpoint before.
        std::map<int, std::string> awaitedCheckpoints;
        core::Instant changedAt;
    };

    using Jobs = std::map<core::JobId, ActiveJob>;

    // term.cpp: restoring and the scheduler's actions.
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
    void joinWorker(const AgentInfo &info) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);

    // termrows.cpp: the jobs' rows.
    void persist(ActiveJob &job) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    void persisted(const core::JobId &id, bool ended, const platform::WriteResult &result);
    void resync(const core::JobId &id);
    void writeFinished(ActiveJob &job) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    std::optional<ActiveJob> readRow(const core::JobId &id, bool &missing);

    // termgangs.cpp: starting and stopping gangs.
    void startGang(ActiveJob &job, const scheduling::StartGang &start)
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    void stopGang(ActiveJob &job) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    void beginStop(ActiveJob &job) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    bool assignMembers(ActiveJob &job, const scheduling::Placement &placement)
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    void coordinate(const core::JobId &id, const gang::CoordinatorEvent &event)
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    void carryOut(const core::JobId &id, const gang::CoordinatorAction &action)
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    void sendToMember(const core::JobId &id, int attempt, const gang::SendToMember &send);
    void writeDecision(const core::JobId &id, const platform::Transaction &transaction);
    void gangEnded(const core::JobId &id, const gang::CoordinatorAction &action)
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    void checkpointGang(ActiveJob &job) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    void throttleTask(const scheduling::ThrottleTask &action)
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    // The index of a task within its job, or -1.
    int taskIndex(const ActiveJob &job, const platform::TaskStatus &task) const;
    void noteTasks(ActiveJob &job, const std::vector<platform::TaskStatus> &tasks)
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    void noteUsage(ActiveJob &job, int task, const platform::TaskStatus &status)
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    void loseMember(ActiveJob &job, const core::AgentId &agent, bool reporterIsLost)
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    void reconcileNext();
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
    // Agents by worker, with what the scheduler was last told of the worker.
    std::map<core::WorkerId, AgentInfo> m_workers ABSL_GUARDED_BY(m_mutex);
    std::map<core::AgentId, gang::LedgerReport> m_reports ABSL_GUARDED_BY(m_mutex);
    std::int64_t m_revision ABSL_GUARDED_BY(m_mutex) = 0;
    bool m_storeAvailable ABSL_GUARDED_BY(m_mutex) = true;
    std::size_t m_nextReconciled ABSL_GUARDED_BY(m_mutex) = 0;
    core::Executor m_executor;
};

} // namespace oleandercross::daemon
