#pragma once

#include <oleandercross/control/agentmessages.h>
#include <oleandercross/core/clock.h>
#include <oleandercross/core/condvar.h>

#include <absl/synchronization/mutex.h>

#include <atomic>
#include <map>
#include <set>
#include <thread>
#include <vector>

namespace oleandercross::control {

struct AgentOptions
{
    std::string name;
    // The length of the worker leases that the agent requests; must not exceed the platform's
    // limit.
    absl::Duration lease = absl::Seconds(6);
};

// Runs on the machine of one worker and is the only process that calls it. It executes the leader's
// orders, extends the worker's lease while the leader permits it, and reports active and ended
// runs.
class Agent
{
public:
    Agent(AgentOptions options, WorkerPort &port);
    ~Agent();
    Agent(const Agent &) = delete;
    Agent &operator=(const Agent &) = delete;

    void start();
    void stop();

    // Records a heartbeat of the worker. A heartbeat of another incarnation than the registered one
    // only names a candidate, since it may be late or from another writer; the candidate is
    // registered once the worker at its address confirms the incarnation. Returns false and ignores
    // the heartbeat if it contradicts the registered worker or is older than its latest one.
    bool heartbeat(const WorkerReport &report);
    // Stops using the worker after it has deregistered. It counts as lost when it no longer
    // listens, or when its lease has ended.
    void deregister(const std::string &workerId);

    // Returns the state, after waiting up to `call.wait` for a version newer than `call.since`.
    // Fails with StaleEpoch.
    std::optional<AgentState> watch(const WatchCall &call);
    // Executes the orders and returns one result for each. Fails with StaleEpoch.
    std::optional<std::vector<OrderResult>> execute(const OrderCall &call);

    // Returns the time of the latest call from a leader.
    core::Instant lastContact() const;

private:
    template <typename Call>
    bool accept(const char *name, const Call &call);
    void raiseTerm() ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    void logReceived(const OrderCall &call, bool applicable);
    void renewLoop();
    std::optional<WorkerReport> takeCandidate() ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    void confirm(const WorkerReport &candidate);
    void registerWorker(const WorkerReport &candidate, const WorkerRuns &runs)
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    // Keeps the newest set of closed data centres that a leader has sent.
    void adoptClosures(const ClosedDataCentres &closed) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    // Returns true if a start of the run may have reached the registered incarnation.
    bool mayHaveStarted(const workload::RunKey &run) const ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    // Returns the result of a start whose latest attempt has not been sent: NotSent, or
    // NotApplicable if an earlier attempt may have been.
    OrderResult resultOfUnsentStart(const WorkerReport &worker, const workload::RunKey &run,
                                    const Term &term) const;
    void dropUnknownServices(const std::vector<std::string> &services);
    void renewOnce(absl::Duration wait);
    void updateRuns(const WorkerReport &worker, const Term &term, WorkerRuns runs);
    // `term` is that of the failed call. `startsExcluded` is true if an earlier refused connection
    // had stopped all starts before the call began.
    void recordFailure(const WorkerReport &worker, const Term &term, OrderOutcome outcome,
                       bool startsExcluded);
    // Stops using the registered incarnation, since another one has answered in its place.
    void recordRestart() ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    OrderResult execute(const WorkerReport &worker, const planning::Order &order, const Term &term,
                        core::Instant receivedAt);
    OrderResult start(const WorkerReport &worker, const planning::Order &order, const Term &term);
    std::optional<StartOrder> beginStart(const WorkerReport &worker, const planning::Order &order,
                                         const Term &term);
    void recordStart(const WorkerReport &worker, const workload::RunKey &run);
    OrderResult stopRun(const WorkerReport &worker, const workload::RunKey &run, const Term &term);
    void endStart(const WorkerReport &worker, const workload::RunKey &run, OrderOutcome outcome);
    // Adds the acknowledgement of ended runs to a renewal if no start can have reached another
    // incarnation than the registered one.
    void addAcknowledgement(RenewOrder &order) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    bool acknowledgementPending() const ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    void endAcknowledgement(const WorkerReport &worker, const Term &term, OrderOutcome outcome);
    std::int64_t nowMs() const;
    // Returns the end of the lease to request on the worker's clock, or nothing if the lease must
    // not be extended.
    std::optional<std::int64_t> leaseUntil() const ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    void markChanged() ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    bool sameIncarnation(const WorkerReport &worker) const ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);

    const AgentOptions m_options;
    WorkerPort &m_port;
    const core::BootClock m_clock;
    const std::string m_incarnation;
    mutable absl::Mutex m_mutex;
    core::CondVar m_stateChanged;
    AgentState m_state ABSL_GUARDED_BY(m_mutex);
    Term m_term ABSL_GUARDED_BY(m_mutex);
    // The end of the current term's permit to extend the lease, on this clock.
    std::int64_t m_renewUntilMs ABSL_GUARDED_BY(m_mutex) = 0;
    // Reported incarnations that the worker has not confirmed yet.
    std::vector<WorkerReport> m_candidates ABSL_GUARDED_BY(m_mutex);
    std::vector<std::string> m_unknownServices ABSL_GUARDED_BY(m_mutex);
    ClosedDataCentres m_closed ABSL_GUARDED_BY(m_mutex);
    // See WatchCall::startsUntilMs.
    std::int64_t m_startsUntilMs ABSL_GUARDED_BY(m_mutex) = 0;
    // When the worker's latest heartbeat arrived.
    core::Instant m_heartbeatAt ABSL_GUARDED_BY(m_mutex) = absl::InfinitePast();
    std::int64_t m_acknowledged ABSL_GUARDED_BY(m_mutex) = 0;
    // The highest acknowledgement that the worker has confirmed.
    std::int64_t m_confirmedAcknowledgement ABSL_GUARDED_BY(m_mutex) = 0;
    core::Instant m_lastContact ABSL_GUARDED_BY(m_mutex) = absl::InfinitePast();
    // The worker's clock reading, and the local time at which it was received.
    std::int64_t m_workerClockMs ABSL_GUARDED_BY(m_mutex) = 0;
    core::Instant m_workerClockAt ABSL_GUARDED_BY(m_mutex);
    // An upper bound, on this clock, for the end of every lease that the worker may hold.
    core::Instant m_leaseEnd ABSL_GUARDED_BY(m_mutex) = absl::InfinitePast();
    int m_refusedConnections ABSL_GUARDED_BY(m_mutex) = 0;
    std::multiset<workload::RunKey> m_startsUnderWay ABSL_GUARDED_BY(m_mutex);
    // The number of starts that have been sent to workers, and the number that had been answered
    // before the registered incarnation last listed its runs.
    std::int64_t m_startsSent ABSL_GUARDED_BY(m_mutex) = 0;
    std::int64_t m_startsListed ABSL_GUARDED_BY(m_mutex) = 0;
    // A call with an acknowledgement is under way. No start is sent meanwhile.
    bool m_acknowledging ABSL_GUARDED_BY(m_mutex) = false;
    // Runs of which a start got no answer, and when each boot that may have carried it out has been
    // reported.
    std::map<workload::RunKey, core::Instant> m_lateStarts ABSL_GUARDED_BY(m_mutex);
    // Runs of which a start was sent to the registered incarnation, or refused because the data
    // centre is closed, and the time until which a copy of the order may still arrive. A refused
    // run is never started later.
    std::map<workload::RunKey, core::Instant> m_sentStarts ABSL_GUARDED_BY(m_mutex);
    std::map<workload::RunKey, core::Instant> m_refusedStarts ABSL_GUARDED_BY(m_mutex);
    // The worker has deregistered.
    bool m_leaving ABSL_GUARDED_BY(m_mutex) = false;
    // The worker has restarted under the same id and has not reported its new incarnation yet.
    bool m_restarted ABSL_GUARDED_BY(m_mutex) = false;
    core::Instant m_failingSince ABSL_GUARDED_BY(m_mutex) = absl::InfiniteFuture();
    std::atomic<bool> m_stopping = false;
    std::thread m_renewalThread;
};

} // namespace oleandercross::control
