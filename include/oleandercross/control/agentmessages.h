#pragma once

#include <oleandercross/control/workerport.h>
#include <oleandercross/planning/planner.h>

#include <json/value.h>

#include <optional>
#include <string>
#include <vector>

namespace oleandercross::control {

// How long an agent continues to extend its worker's lease after the leader's last contact.
// Together with the length of the lease, this bounds how soon the work of a partitioned worker can
// be started elsewhere.
inline constexpr absl::Duration RenewalPermit = absl::Milliseconds(2000);
// How much slower a worker's clock may run, as specified by the platform.
inline constexpr double MaxClockDriftFraction = 0.02;

// Requests the state of an agent's worker and waits for a change. Agents refuse calls of an older
// epoch.
struct WatchCall
{
    std::int64_t epoch = 0;
    // The agent may extend leases until this time, on the agent's own clock.
    std::int64_t renewUntilMs = 0;
    // The version of the state that the leader received last.
    std::int64_t since = 0;
    // The incarnation of the agent that `since` belongs to.
    std::string agentIncarnation;
    absl::Duration wait;
};

// The state of a worker as its agent reports it.
struct AgentState
{
    std::string incarnation;
    std::int64_t clockMs = 0;
    std::int64_t version = 0;
    // Empty until a worker has registered.
    std::optional<WorkerReport> worker;
    // Nothing runs on the worker any more: it crashed, deregistered or its lease expired.
    bool workerLost = false;
    // The worker is lost because its process has ended without being asked to.
    bool workerCrashed = false;
    // The worker has listed its runs since it registered, so that `runs` is complete.
    bool listed = false;
    WorkerRuns runs;
    // The age of `runs` when the agent sent this state.
    absl::Duration runListAge = absl::ZeroDuration();
    // When the leader received the state, on the leader's clock; not sent.
    absl::Time receivedAt = absl::InfinitePast();
};

// Returns the key of one incarnation of a worker.
std::string incarnationKey(const std::string &agent, const WorkerReport &worker);

// Orders and acknowledgements for an agent's worker. Agents refuse calls of an older epoch.
struct OrderCall
{
    std::int64_t epoch = 0;
    std::int64_t renewUntilMs = 0;
    // The incarnation of the worker that the orders are for.
    std::string workerIncarnation;
    // Ended runs up to this number are stored by the leader.
    std::int64_t acknowledged = 0;
    std::vector<planning::Order> orders;
};

enum class OrderResult {
    Done,
    // The start or stop was refused and has had no effect.
    Refused,
    // No response: the order may have taken effect, or still may.
    Unanswered,
    // Result of a stop: the run does not exist on the worker and can no longer start there.
    Absent,
    // The orders are for another incarnation of the worker, the worker is lost, or the agent has no
    // valid permit.
    NotApplicable,
};

const char *toString(OrderResult result);

Json::Value toJson(const WatchCall &call);
WatchCall watchCallFromJson(const Json::Value &value);
Json::Value toJson(const AgentState &state);
// Fails with BadField.
std::optional<AgentState> agentStateFromJson(const Json::Value &value);
Json::Value toJson(const OrderCall &call);
// Fails with BadField.
std::optional<OrderCall> orderCallFromJson(const Json::Value &value);

} // namespace oleandercross::control
