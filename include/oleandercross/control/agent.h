#pragma once

#include <oleandercross/control/agentmessages.h>
#include <oleandercross/core/clock.h>
#include <oleandercross/core/condvar.h>

#include <absl/synchronization/mutex.h>

#include <atomic>
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

    // Records a heartbeat of the worker. Returns false and ignores the heartbeat if it is older
    // than the latest one of the same incarnation, or belongs to an earlier incarnation.
    bool heartbeat(const WorkerReport &report);
    // Marks the worker as lost after it has deregistered.
    void deregister(const std::string &workerId);

    // Returns the state, after waiting up to `call.wait` for a version newer than `call.since`.
    // Fails with StaleEpoch.
    std::optional<AgentState> watch(const WatchCall &call);
    // Executes the orders and returns one result for each. Fails with StaleEpoch.
    std::optional<std::vector<OrderResult>> execute(const OrderCall &call);

    // Returns the time of the latest call from a leader.
    core::Instant lastContact() const;

private:
    bool acceptEpoch(const char *call, std::int64_t epoch, std::int64_t renewUntilMs);
    void logReceived(const OrderCall &call, bool applicable);
    void renewLoop();
    void renewOnce(absl::Duration wait);
    void updateRuns(const WorkerReport &worker, WorkerRuns runs);
    void recordFailure(const WorkerReport &worker, OrderOutcome outcome);
    OrderResult execute(const WorkerReport &worker, const planning::Order &order,
                        std::int64_t epoch, core::Instant receivedAt);
    OrderResult start(const WorkerReport &worker, const planning::Order &order, std::int64_t epoch);
    void recordStart(const WorkerReport &worker, const workload::RunKey &run);
    OrderResult stopRun(const WorkerReport &worker, const workload::RunKey &run,
                        std::int64_t epoch);
    std::int64_t nowMs() const;
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
    std::int64_t m_epoch ABSL_GUARDED_BY(m_mutex) = 0;
    std::int64_t m_renewUntilMs ABSL_GUARDED_BY(m_mutex) = 0;
    std::int64_t m_acknowledged ABSL_GUARDED_BY(m_mutex) = 0;
    core::Instant m_lastContact ABSL_GUARDED_BY(m_mutex) = absl::InfinitePast();
    // The worker's clock reading, and the local time at which it was received.
    std::int64_t m_workerClockMs ABSL_GUARDED_BY(m_mutex) = 0;
    core::Instant m_workerClockAt ABSL_GUARDED_BY(m_mutex);
    // An upper bound, on this clock, for the end of every lease that the worker may hold.
    core::Instant m_leaseEnd ABSL_GUARDED_BY(m_mutex) = absl::InfinitePast();
    int m_refusedConnections ABSL_GUARDED_BY(m_mutex) = 0;
    core::Instant m_failingSince ABSL_GUARDED_BY(m_mutex) = absl::InfiniteFuture();
    std::atomic<bool> m_stopping = false;
    std::thread m_renewalThread;
};

} // namespace oleandercross::control
