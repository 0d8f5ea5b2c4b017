#pragma once

#include <oleandercross/control/admission.h>
#include <oleandercross/control/agentlink.h>
#include <oleandercross/control/closeddatacentres.h>
#include <oleandercross/control/leaderlog.h>
#include <oleandercross/control/learnedrows.h>
#include <oleandercross/control/removedjobs.h>
#include <oleandercross/control/tablefollower.h>
#include <oleandercross/core/condvar.h>
#include <oleandercross/planning/planner.h>
#include <oleandercross/telemetry/metrics.h>
#include <oleandercross/workload/catalog.h>

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <thread>

namespace oleandercross::control {

struct LeaderOptions
{
    planning::PlannerOptions planner;
    // The length of the worker leases that agents request.
    absl::Duration lease = absl::Seconds(6);
    // How long ended jobs and the markers of others (JobMarker) are kept in the store.
    absl::Duration retention = absl::Seconds(300);
    // The operator's table, which is read for the closed data centres.
    std::string configTable = {};
    // A start later than this after a data centre was closed is an error.
    absl::Duration closureBound = absl::InfiniteDuration();
};

// Schedules all jobs of the installation while this process is the leader. It follows the accepted
// jobs in the store, watches all agents, stores each decision before it is executed, and
// acknowledges ended runs only after they are stored.
class Leader
{
public:
    Leader(RowStore &store, std::unique_ptr<LeaderLog> log, rpc::Client &client,
           telemetry::Metrics &metrics, std::shared_ptr<ClosureReplica> closures,
           LeaderOptions options);
    ~Leader();
    Leader(const Leader &) = delete;
    Leader &operator=(const Leader &) = delete;

    void setAgents(std::map<std::string, http::Endpoint> agents);
    void setCatalog(std::shared_ptr<const workload::Catalog> catalog);

    // The state of a job as callers see it.
    struct View
    {
        std::string account;
        std::string queue;
        planning::JobState state = planning::JobState::Queued;
        bool begun = false;
    };

    // Returns the stored state of a job. Fails with UnknownJob if this leader has not read the job.
    std::optional<View> view(const std::string &job) const;
    // Returns the number of accepted jobs of a queue of which no task has started. Fails with
    // NotReady until the jobs have been read.
    std::optional<int> queueLength(const std::string &queue) const;

    // Returns the newest forecast of the load; none if there is little.
    DatedForecast forecast() const;
    // Returns a version that the store had before this call.
    std::int64_t storeVersion() const { return m_log->version(); }

    // Returns true once another process has become the leader, or may have.
    bool deposed() const { return m_deposed; }
    // Returns true if this leader has recently committed a transaction.
    bool healthy() const;
    std::int64_t epoch() const { return m_log->epoch(); }

    // Stops scheduling and releases the leadership.
    void release();
    // Asks all threads to exit; the destructor joins them.
    void stop();

private:
    struct OrderResults
    {
        std::string agent;
        std::string incarnation;
        std::vector<planning::Order> orders;
        std::vector<OrderResult> results;
    };

    // Rows of the job table, and the version of the store up to which they are complete.
    struct JobRead
    {
        std::vector<StoredRow> rows;
        std::int64_t version = 0;
    };

    // The input that has arrived since the last scheduling round.
    struct Inbox
    {
        std::vector<JobRead> jobReads;
        std::map<std::string, AgentState> states;
        std::vector<OrderResults> results;
        std::optional<std::map<std::string, http::Endpoint>> agents;
        std::shared_ptr<const workload::Catalog> catalog;
    };

    void run();
    bool load();
    // Reads what earlier leaders have learned. Without it the planner learns again.
    void loadLearnedState();
    // Reads the rows that close data centres, so that the first round knows those that were closed
    // before this leader was elected. Returns false if the leader stops.
    bool loadClosures();
    // Hands the newest closed data centres to the planner.
    void applyClosures(core::Instant now);
    // Returns true if it is known well enough which data centres are closed.
    bool mayOrderStarts(core::Instant now) const;
    // Returns the time until which agents may send the starts that are ordered now.
    core::Instant startsUntil() const;
    static void logRefusedStart(const planning::Order &order, OrderResult result);
    // Returns how long ago a job that has just been read was accepted.
    absl::Duration jobAge(const workload::Job &job, core::Instant now) const;
    Inbox takeInbox(core::Instant until);
    void notifyPendingWork() ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    void round(core::Instant &nextRoundAt);
    // Updates the metrics of the workers' speeds, and logs when they become uneven or even.
    void reportSpeeds(const planning::SpeedSummary &speeds);
    // Sets the metrics of waiting work, and logs the priorities that have waited for a while.
    void reportWaitingWork(planning::WaitingWork waiting);
    static void pauseAfter(absl::Duration roundDuration);
    void applyServices(const workload::Catalog &catalog);
    void clearRejectedServices();
    // `readVersion` is the version of the JobRead that contains the row.
    void applyJobRow(const StoredRow &row, std::int64_t readVersion, core::Instant now);
    void updateForecast(core::Instant now);
    void applyAgents(std::map<std::string, http::Endpoint> agents);
    void applyState(const std::string &agent, const AgentState &state, core::Instant now);
    void logIgnoredEnd(const std::string &incarnation, const EndedTask &ended) const;
    void applyRuns(const std::string &incarnation, const AgentState &state,
                   planning::Worker &worker, core::Instant now);
    void applyResults(const OrderResults &results);
    // Removes an incarnation of a worker and logs the runs that are lost with it. Runs in `kept`
    // are not lost yet.
    void removeWorker(const std::string &incarnation, planning::WorkerEnd end, core::Instant now,
                      const std::vector<workload::RunKey> &kept = {});
    // Moves runs of other incarnations of the agent's worker that the given one lists to it, and
    // ends the other incarnations once the list is complete. Returns false if the given one has not
    // listed its runs yet.
    bool replaceOtherIncarnations(const std::string &agent, const std::string &incarnation,
                                  const AgentState &state, bool listed, core::Instant now);
    // Excludes the incarnation from new work until its agent reports it again.
    void closeWorker(const std::string &incarnation);
    void moveRuns(const std::string &from, const std::string &to, const WorkerRuns &runs);
    // Returns true if a configuration or a job names the service, or if none has been read yet.
    bool isKnownService(const std::string &service) const;
    void handleUnresponsiveWorkers(core::Instant now);
    // Changes of one job's progress that are stored in one transaction, or the changes of the
    // learned state with NoJob in place of a job.
    struct ProgressWrite
    {
        std::string job;
        std::vector<StoredRow> puts;
        std::vector<StoredRow> removals;
    };

    // Stores the changed progress, and the learned state if it is due and has room. The rows of
    // several jobs share a transaction, within the limits of the store. Returns false if this
    // process is not the leader any more, or stops.
    bool store(const std::set<std::string> &changed, core::Instant now);
    // Adds the changes of the learned state to the last transaction of a round if it has room for
    // them beside these rows and bytes.
    void addLearnedRows(std::vector<ProgressWrite> &writes, std::size_t rowCount, std::size_t bytes,
                        core::Instant now);
    static ProgressWrite progressWrite(const std::string &job,
                                       const planning::ProgressGroup &group);
    // Stores the changes in one transaction. If the store rejects it, divides it to find the jobs
    // whose progress cannot be stored, and adds them to `rejected`.
    bool commitWrites(const std::vector<ProgressWrite> &writes, std::set<std::string> &rejected);
    // Ends the jobs as failed, so that they do not keep other jobs from being stored.
    bool failRejected(const std::set<std::string> &rejected, core::Instant now);
    void publish(const std::set<std::string> &changed);
    void acknowledgeEndedRuns();
    void send(std::vector<planning::Order> orders);
    bool removeOldJobs(core::Instant now);
    void removeOldMarkers(core::Instant now);
    LeaderLog::Outcome commit(const std::vector<StoredRow> &puts,
                              const std::vector<StoredRow> &removals);
    static bool leads(LeaderLog::Outcome outcome);

    RowStore &m_store;
    const std::unique_ptr<LeaderLog> m_log;
    rpc::Client &m_client;
    telemetry::Metrics &m_metrics;
    const std::shared_ptr<ClosureReplica> m_closures;
    const LeaderOptions m_options;
    const core::BootClock m_clock;
    const core::Instant m_startedAt;

    // Used by the planning thread only.
    planning::Planner m_planner;
    LearnedRows m_learnedRows;
    // The closed data centres that the planner has, null before it has any, and whether starts are
    // suspended.
    std::shared_ptr<const ClosedDataCentres> m_appliedClosures;
    bool m_startsSuspended = false;
    // The stored progress of jobs whose rows have not been read yet.
    std::map<std::string, planning::ProgressRows> m_progress;
    std::map<std::string, std::unique_ptr<AgentLink>> m_links;
    // Links to agents that have been removed; their threads exit asynchronously.
    std::vector<std::unique_ptr<AgentLink>> m_stoppedLinks;
    // The numbers of the first terms of links to agents that had one before.
    std::map<std::string, std::int64_t> m_nextTerms;
    // The services that a configuration or a job has named. Jobs outlast their configuration.
    std::set<std::string> m_services;
    // A configuration with services has been read.
    bool m_servicesConfigured = false;
    std::map<std::string, std::int64_t> m_toAcknowledge;
    // The incarnation that each agent last reported ends of, and the highest number of them.
    std::map<std::string, std::pair<std::string, std::int64_t>> m_lastEnd;
    // When an agent last reported an incarnation as that of its worker.
    std::map<std::string, core::Instant> m_incarnationSeenAt;
    planning::SpeedSummary m_reportedSpeeds;
    planning::WaitingWork m_reportedWaitingWork;
    core::Instant m_nextCleanup = absl::InfinitePast();
    RemovedJobs m_removedJobs;

    struct Marker
    {
        std::int64_t version = 0;
        core::Instant seenAt;
    };

    // The markers in the store, by job.
    std::map<std::string, Marker> m_markers;
    // Each removed marker is a condition and a removal.
    static constexpr std::size_t MaxMarkersPerCleanup = MaxChanges / 2;
    std::size_t m_markersPerCleanup = MaxMarkersPerCleanup;
    core::Instant m_nextMarkerCleanup = absl::InfinitePast();
    planning::LoadForecaster m_forecaster;
    core::Instant m_nextForecast = absl::InfinitePast();

    mutable absl::Mutex m_mutex;
    Inbox m_inbox ABSL_GUARDED_BY(m_mutex);
    core::CondVar m_workArrived;
    bool m_workPending ABSL_GUARDED_BY(m_mutex) = false;
    std::map<std::string, View> m_views ABSL_GUARDED_BY(m_mutex);
    DatedForecast m_forecast ABSL_GUARDED_BY(m_mutex);
    // The job table has been read, and its jobs have been added to the views.
    bool m_loaded ABSL_GUARDED_BY(m_mutex) = false;
    bool m_viewsComplete ABSL_GUARDED_BY(m_mutex) = false;
    std::atomic<bool> m_stopping = false;
    std::atomic<bool> m_deposed = false;
    std::unique_ptr<TableFollower> m_jobFollower;
    std::thread m_planningThread;
};

} // namespace oleandercross::control
