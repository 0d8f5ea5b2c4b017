#pragma once

#include <oleandercross/control/closeddatacentres.h>
#include <oleandercross/control/workerport.h>
#include <oleandercross/core/json.h>
#include <oleandercross/planning/planner.h>

#include <json/value.h>

#include <compare>
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

// Orders everything that a leader and an agent do with a worker in time. The number is raised
// whenever runs of the worker are given up without the worker having listed their ends: by the
// agent when it registers or loses a worker, by the leader when it gives up a silent one. Nothing
// that was decided in an earlier term takes effect in a later one. Both may raise it to the same
// number independently, since either only has to exclude what came before.
struct Term
{
    // The epoch of the leader.
    std::int64_t epoch = 0;
    std::int64_t number = 0;

    friend auto operator<=>(const Term &, const Term &) = default;
};

// Returns the worker's fencing token of a term; later terms have larger tokens.
std::int64_t fencingToken(const Term &term);

// The agent may send starts as long as it has a permit.
inline constexpr std::int64_t NoStartLimit = core::MaxExactInt;

// Requests the state of an agent's worker and waits for a change. Agents refuse calls of an older
// epoch.
struct WatchCall
{
    Term term;
    // The agent may extend the lease of the worker registered in this term until this time, on the
    // agent's own clock. Ignored by agents that are in a later term.
    std::int64_t renewUntilMs = 0;
    // The version of the state that the leader received last.
    std::int64_t since = 0;
    // The incarnation of the agent that `since` belongs to.
    std::string agentIncarnation;
    absl::Duration wait;
    // Services that no configuration names; reports that name them are from another writer.
    std::vector<std::string> unknownServices;
    // The closed data centres that the leader knows. Their version is -1 in calls of leaders that
    // do not send them.
    ClosedDataCentres closed = {};
    // The agent may send starts to the worker registered in this term until this time, on its own
    // clock. Later `closed` is too old.
    std::int64_t startsUntilMs = NoStartLimit;
};

// The state of a worker as its agent reports it.
struct AgentState
{
    std::string incarnation;
    std::int64_t clockMs = 0;
    std::int64_t version = 0;
    // The term in which the worker was registered or lost and its runs were listed.
    Term term;
    // Empty until a worker has registered.
    std::optional<WorkerReport> worker;
    // Nothing runs on the worker any more: it crashed, deregistered or its lease expired.
    bool workerLost = false;
    // The worker is lost because its process has ended without being asked to.
    bool workerCrashed = false;
    // The worker has listed its runs in this term, so that `runs` is complete and no start of an
    // earlier term can be added to it.
    bool listed = false;
    WorkerRuns runs;
    // The worker is lost, but starts of these runs got no answer recently, so that its next
    // incarnation may still carry them out.
    std::vector<workload::RunKey> lateStarts;
    // The age of `runs` when the agent sent this state.
    absl::Duration runListAge = absl::ZeroDuration();
    // When the leader received the state, on the leader's clock; not sent.
    absl::Time receivedAt = absl::InfinitePast();
};

// Returns the key of one incarnation of a worker.
std::string incarnationKey(const std::string &agent, const WorkerReport &worker);

// Orders and acknowledgements for an agent's worker. Agents refuse calls of an older epoch and
// carry out no order of an older term.
struct OrderCall
{
    Term term;
    // See WatchCall::renewUntilMs.
    std::int64_t renewUntilMs = 0;
    // The incarnation of the worker that the orders are for.
    std::string workerIncarnation;
    // Ended runs up to this number are stored by the leader.
    std::int64_t acknowledged = 0;
    std::vector<planning::Order> orders;
    // See WatchCall.
    ClosedDataCentres closed = {};
    std::int64_t startsUntilMs = NoStartLimit;
};

enum class OrderResult {
    Done,
    // The start or stop was refused and has had no effect.
    Refused,
    // No response: the order may have taken effect, or still may.
    Unanswered,
    // Result of a stop: the run does not exist on the worker and can no longer start there.
    Absent,
    // The orders are for another incarnation of the worker or an earlier term, the worker is lost,
    // or the agent has no valid permit.
    NotApplicable,
    // The data centre of the worker is closed, and this agent has not sent the start to the worker.
    DataCentreClosed,
    // The incarnation that the start is for has not received it.
    NotSent,
};

const char *toString(OrderResult result);

// Returns Unanswered for values that name no result.
OrderResult orderResultFromJson(const Json::Value &value);

// Adds the name of the agent that a call is meant for.
Json::Value addressedTo(const std::string &agent, Json::Value call);
// Returns false if the call is meant for an agent of another name, whose address this process now
// has, or seems to have by a row of another writer. Fails with BadField.
bool isAddressedTo(const std::string &agent, const Json::Value &call);

Json::Value toJson(const WatchCall &call);
WatchCall watchCallFromJson(const Json::Value &value);
Json::Value toJson(const AgentState &state);
// Fails with BadField.
std::optional<AgentState> agentStateFromJson(const Json::Value &value);
Json::Value toJson(const OrderCall &call);
// Fails with BadField.
std::optional<OrderCall> orderCallFromJson(const Json::Value &value);

} // namespace oleandercross::control
