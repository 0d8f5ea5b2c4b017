#pragma once

#include <oleandercross/config/settings.h>
#include <oleandercross/core/executor.h>
#include <oleandercross/gang/ledger.h>
#include <oleandercross/platform/workercontrol.h>
#include <oleandercross/rpc/rpc.h>
#include <oleandercross/telemetry/metrics.h>

#include <json/value.h>

#include <map>
#include <memory>
#include <optional>

namespace oleandercross::daemon {

// Runs gang members on the worker that one agent controls: applies events to the ledger and
// executes its actions as calls to the worker, the leader and the peers, which are the agents of
// the other members of a gang. Thread safe.
class TaskRunner
{
public:
    TaskRunner(const config::Settings &settings, std::int64_t incarnation,
               std::shared_ptr<platform::WorkerControl> worker, rpc::Client &client,
               telemetry::Metrics &metrics);
    ~TaskRunner();

    // Adds handlers for the messages of the leader and for the peers' `watch`. The message `report`
    // also sets the leader.
    void addHandlers(rpc::Server &server);
    // Starts the periodic ledger ticks if the agent has a worker.
    void start();
    void stop();

    // Sets the recipient of task events; an empty optional if no leader is known. Ignored if the
    // epoch is lower than the ledger's.
    void setLeader(std::optional<http::Endpoint> leader, gang::Epoch epoch);
    // Refuses new work with the given code until it is set to Ok.
    void setAdmissionCode(core::ResultCode code);
    // Permanently refuses new work and requests checkpoints of the running tasks.
    void drain();
    bool drained() const;

    gang::LedgerReport report() const;

private:
    std::optional<Json::Value> handle(const gang::LedgerEvent &event);
    void apply(const gang::LedgerEvent &event);
    void executeAll(std::vector<gang::LedgerAction> actions);

    void execute(const gang::LedgerAction &action);
    void execute(const gang::StartWorkerTask &action);
    void execute(const gang::StopWorkerTask &action);
    void execute(const gang::RenewTaskLeases &action);
    void execute(const gang::CheckpointWorkerTask &action);
    void execute(const gang::ThrottleWorkerTask &action);
    void execute(const gang::ListWorkerTasks &action);
    void execute(const gang::ForgetWorkerTasks &action);
    void execute(const gang::PollPeer &action);
    void execute(const gang::SendTaskEvent &action);
    void sendEvent(const gang::TaskEvent &event, core::Instant deadline);
    void reportStatusChanges(const std::vector<platform::TaskStatus> &tasks);

    const core::SteadyClock m_clock;
    const core::AgentId m_agent;
    const std::shared_ptr<platform::WorkerControl> m_worker;
    rpc::Client &m_client;
    telemetry::Metrics &m_metrics;
    mutable absl::Mutex m_mutex;
    gang::Ledger m_ledger ABSL_GUARDED_BY(m_mutex);
    std::optional<http::Endpoint> m_leader ABSL_GUARDED_BY(m_mutex);
    core::ResultCode m_admissionCode ABSL_GUARDED_BY(m_mutex) = core::ResultCode::Ok;
    // Status of each task as last reported to the leader.
    std::map<std::string, platform::TaskStatus> m_lastReported ABSL_GUARDED_BY(m_mutex);
    // Calls to the leader and to peers, which may block.
    core::Executor m_remoteExecutor;
    // Ledger ticks and calls to the worker.
    core::Executor m_workerExecutor;
};

} // namespace oleandercross::daemon
