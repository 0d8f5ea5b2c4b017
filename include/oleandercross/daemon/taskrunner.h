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

// Runs gang members on the worker beside one agent: drives the ledger and carries its actions to
// the worker, the peers and the leader. Thread safe.
class TaskRunner
{
public:
    TaskRunner(const config::Settings &settings, std::int64_t incarnation,
               std::shared_ptr<platform::WorkerControl> worker, rpc::Client &client,
               telemetry::Metrics &metrics);
    ~TaskRunner();

    // Adds the handlers of the leader's messages, `report` and `watch`.
    void addHandlers(rpc::Server &server);
    // Starts the periodic work.
    void start();
    void stop();

    // Where task events go; an empty optional if no leader is known.
    void setLeader(std::optional<http::Endpoint> leader, gang::Epoch epoch);
    // While the code is not Ok, new work is refused with it.
    void setGate(core::ResultCode code);
    // Refuses new work for good and asks running tasks for checkpoints.
    void drain();
    bool drained() const;

    gang::LedgerReport report() const;

private:
    std::optional<Json::Value> handle(const gang::LedgerEvent &event);
    void apply(const gang::LedgerEvent &event);
    void execute(std::vector<gang::LedgerAction> actions);

    void runAction(const gang::LedgerAction &action);
    void run(const gang::StartWorkerTask &action);
    void run(const gang::StopWorkerTask &action);
    void run(const gang::RenewTaskLeases &action);
    void run(const gang::CheckpointWorkerTask &action);
    void run(const gang::ThrottleWorkerTask &action);
    void run(const gang::ListWorkerTasks &action);
    void run(const gang::ForgetWorkerTasks &action);
    void run(const gang::PollPeer &action);
    void run(const gang::SendTaskEvent &action);
    void sendEvent(const gang::TaskEvent &event, core::Instant deadline);
    void reportUsage(const std::vector<platform::TaskStatus> &tasks);

    const core::SteadyClock m_clock;
    const core::AgentId m_agent;
    const std::shared_ptr<platform::WorkerControl> m_worker;
    rpc::Client &m_client;
    telemetry::Metrics &m_metrics;
    mutable absl::Mutex m_mutex;
    gang::Ledger m_ledger ABSL_GUARDED_BY(m_mutex);
    std::optional<http::Endpoint> m_leader ABSL_GUARDED_BY(m_mutex);
    core::ResultCode m_gate ABSL_GUARDED_BY(m_mutex) = core::ResultCode::Ok;
    // What the leader was last told of each task.
    std::map<std::string, platform::TaskStatus> m_reported ABSL_GUARDED_BY(m_mutex);
    core::Executor m_peerExecutor;
    core::Executor m_executor;
};

} // namespace oleandercross::daemon
