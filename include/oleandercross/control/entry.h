#pragma once

#include <oleandercross/control/admission.h>
#include <oleandercross/control/configreplica.h>
#include <oleandercross/control/leader.h>
#include <oleandercross/control/members.h>
#include <oleandercross/control/relayedstore.h>
#include <oleandercross/core/condvar.h>

#include <atomic>
#include <memory>
#include <optional>
#include <string>
#include <thread>

namespace oleandercross::control {

struct EntryOptions
{
    // Entries with a larger processor share are preferred as leader.
    Member self;
    std::vector<http::Endpoint> seeds;
    LeaderOptions leader;
    // How long a submission with an unknown outcome is retried. After that the caller gets
    // SubmitOutcome::Unknown and may ask another entry.
    absl::Duration inDoubtTimeout = absl::Seconds(1);
    // The timeout of calls that a peer answers from memory.
    absl::Duration peerTimeout = absl::Milliseconds(400);
    // The row that holds the operator's configuration.
    std::string configTable;
    std::string configKey;
    // See ConfigReplicaOptions::closurePrefix.
    std::string closurePrefix = {};
};

enum class SubmitOutcome {
    // The job is stored, by this call or by an earlier one with the same id.
    Accepted,
    // The job is not stored and will not be stored later.
    NotAccepted,
    // The job is not stored and will not be stored later, since the forecast says that it would
    // end long after it has lost its value.
    Refused,
    // The job was cancelled before this submission. It is not stored and will not be stored later.
    Cancelled,
    // The job does not fit into a row of the store.
    TooLarge,
    // The job may have been stored, or may still be stored.
    Unknown,
};

// What a caller is told about its submission.
struct Submission
{
    // Converts an outcome without a time.
    Submission(SubmitOutcome result, absl::Duration retry = absl::ZeroDuration())
        : outcome(result)
        , retryAfter(retry)
    { }

    SubmitOutcome outcome;
    // When a refused job may be submitted again, in whole seconds.
    absl::Duration retryAfter;

    friend bool operator==(const Submission &, const Submission &) = default;
};

enum class CancelOutcome {
    // The cancellation is stored; the job may have ended before.
    Cancelled,
    // The store has no such job, and submissions that are still on their way will not run.
    NoSuchJob,
    // The job was submitted by another account.
    OtherAccount,
    // The cancellation is not stored and will not be stored later.
    NotCancelled,
    // The cancellation may have been stored, or may still be stored.
    Unknown
};

struct JobStatus
{
    // Unknown means that neither the leader nor the store has returned the state.
    enum class Kind { Known, NoSuchJob, Unknown };

    Kind kind = Kind::Unknown;
    // The account that submitted the job; empty if it is not known.
    std::string account;
    planning::JobState state = planning::JobState::Queued;
};

// Serves callers, and becomes the leader when there is none. Entries are interchangeable; all
// persistent state is in the store.
class Entry
{
public:
    Entry(EntryOptions options, RowStore &directStore, rpc::Client &client, rpc::Server &server,
          telemetry::Metrics &metrics, CatalogDecoder decoder);
    ~Entry();
    Entry(const Entry &) = delete;
    Entry &operator=(const Entry &) = delete;

    void start();
    // Begins a graceful stop: the entry is no longer ready and releases the leadership if it has
    // it. Callers are still served.
    void beginStop();
    // Stops following the configuration, since no new requests are served any more. Its pending
    // calls to the store and to peers end while the last requests are completed, so that stop()
    // does not wait for them.
    void stopFollowing() { m_config.beginStop(); }
    void stop();

    // Sets the addresses of entries that are used until the member table lists some.
    void setSeeds(std::vector<http::Endpoint> seeds) { m_members.setSeeds(std::move(seeds)); }

    // Returns true while callers can be served: a configuration has been read and the entry is not
    // stopping.
    bool ready() const;
    // Returns the current configuration, or null before the first one has been read.
    std::shared_ptr<const workload::Catalog> catalog() const { return m_config.catalog(); }

    Submission submit(const workload::Job &job, core::Instant deadline);
    // Returns the newest forecast that the leader has sent, or its own if this entry leads. None if
    // the load is small or no healthy leader is known.
    DatedForecast forecast() const;
    JobStatus state(const std::string &job, core::Instant deadline);
    // Cancels a job. An empty account may cancel the jobs of every account. If there is no such
    // job, a marker rejects its submissions for LeaderOptions::retention.
    CancelOutcome cancel(const std::string &job, const std::string &account,
                         core::Instant deadline);
    // Returns the number of accepted jobs of a queue of which no task has started, as the leader
    // counts them. Fails with NotLeader if no leader is known, with NotReady while the leader reads
    // the jobs, or if the call to the leader fails.
    std::optional<int> queueLength(const std::string &queue, core::Instant deadline);

private:
    void registerCalls(rpc::Server &server);
    ConfigReplica::Callbacks configCallbacks();
    void announceSelf();
    void electionLoop();
    // Returns true if this entry is the leader, or if the leader reports that it is healthy.
    bool electionStep();
    bool probeLeader();
    void tryBecomeLeader();
    void becomeLeader(const std::optional<StoredRow> &row);
    void superviseOwnLeadership();
    void requestStepDown(const Leadership &leadership);
    void stepDown(const std::shared_ptr<Leader> &ownLeader);
    // Returns the rank of this entry among those that may succeed the last known leader.
    std::size_t rank() const;
    std::shared_ptr<Leader> leader() const;
    std::optional<http::Endpoint> leaderAddress() const;
    // Applies the answer of the leader to a call that was made at `calledAt`.
    void applyLeaderHealth(const Json::Value &answer, core::Instant calledAt);
    void clearForecast();
    std::optional<Refusal> refusalOf(const workload::Job &job) const;
    Submission refuse(const workload::Job &job, const Refusal &refusal, core::Instant deadline);
    // Logs a submission of a job that was cancelled before it, and returns what its caller is told.
    static Submission rejectCancelled(const workload::Job &job);
    void raiseKnownVersion(std::int64_t version);

    struct RowWrite
    {
        enum class Outcome { Written, JobExists, MarkerExists, Cancelled, NotWritten, Unknown };

        Outcome outcome = Outcome::Unknown;
        // The version of the written row or of the existing job.
        std::int64_t version = 0;
    };

    // Writes the row of a job that does not exist. Replaces a marker only if its version is at most
    // `maxMarkerVersion`, otherwise returns MarkerExists, or Cancelled if the job's account has
    // cancelled it; no earlier attempt of this call can be applied then.
    RowWrite writeJobRow(const workload::Job &job, const std::string &value,
                         std::int64_t maxMarkerVersion, core::Instant deadline);
    // Stores that a job was cancelled in place of its missing row, or of its marker.
    CommitResult recordCancellation(const std::string &job, const std::optional<StoredRow> &row,
                                    const std::string &account, absl::Duration timeout);
    // Returns the row that a condition on it conflicted with, an empty inner optional if it has
    // been removed. Fails with StoreUnavailable.
    std::optional<std::optional<StoredRow>> conflictingRow(const CommitResult &result,
                                                           const std::string &job,
                                                           absl::Duration timeout);
    std::optional<JobStatus> queryLeader(const std::string &job, core::Instant deadline);
    JobStatus stateFromStore(const std::string &job, core::Instant deadline);

    const EntryOptions m_options;
    rpc::Client &m_client;
    telemetry::Metrics &m_metrics;
    const core::BootClock m_clock;
    Members m_members;
    RelayedStore m_store;
    ConfigReplica m_config;
    TableFollower m_memberFollower;
    std::atomic<bool> m_electionStopping = false;
    std::atomic<bool> m_stopping = false;
    mutable absl::Mutex m_mutex;
    std::shared_ptr<Leader> m_leader ABSL_GUARDED_BY(m_mutex);
    // The leader row as this entry last read or wrote it; empty if it is not known.
    std::optional<Leadership> m_leadership ABSL_GUARDED_BY(m_mutex);
    Admission m_admission ABSL_GUARDED_BY(m_mutex);
    DatedForecast m_forecast ABSL_GUARDED_BY(m_mutex);
    // A version that the store is known to have reached.
    std::atomic<std::int64_t> m_knownVersion = 0;
    // Signalled when a stopping leader has released the leadership.
    core::CondVar m_handoverReceived;
    bool m_handedOver ABSL_GUARDED_BY(m_mutex) = false;
    std::atomic<bool> m_stepDownRequested = false;
    // Used by the election thread only.
    // After stepping down, the earliest time at which this entry tries to become the leader again.
    core::Instant m_noElectionBefore = absl::InfinitePast();
    core::Instant m_startedAt = absl::InfinitePast();
    std::int64_t m_appliedMembersVersion = -1;
    // The address at which the leader was last probed, and the number of consecutive probes that
    // found no leader there.
    std::optional<http::Endpoint> m_probedAddress;
    int m_negativeProbeCount = 0;
    // The version of the leader row, -1 if it has not been read since a leader was last found, and
    // the time since which that version has been seen.
    std::int64_t m_leaderRowVersion = -1;
    core::Instant m_leaderRowUnchangedSince = absl::InfiniteFuture();
    Candidacy m_candidacy;
    std::thread m_election;
};

} // namespace oleandercross::control
