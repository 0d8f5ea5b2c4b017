#pragma once

#include <oleandercross/dispatch/message.h>

#include <memory>
#include <random>
#include <variant>
#include <vector>

namespace oleandercross::dispatch {

// ---- Events ----

// The HTTP layer accepted a caller's request. Ids are unique; a repeated id is ignored.
struct RequestArrived
{
    core::RequestId id;
    core::AccountId account;
    core::ServiceId service;
    bool idempotent = false;
    core::Instant deadline;
    std::size_t bodyBytes = 0;
    // Restricts the request to a single dispatch. Set if an idempotency key row names the target,
    // so that the target's reply to `fate` is conclusive.
    bool pinToFirstTarget = false;
};

// The caller cancelled the request or closed its connection. The request still ends with exactly
// one FinishRequest.
struct RequestCancelled
{
    core::RequestId id;
};

// A target was added or its load changed. To be repeated at least every 10 s.
struct TargetAnnounced
{
    TargetId target;
    core::ServiceId service;
    core::DataCentreId dataCentre;
    // One-way network latency from this entry.
    absl::Duration distance;
    int slots = 0;
    // The part of `slots` that is reserved for short work.
    int shortSlots = 0;
    TargetLoad load;
    bool draining = false;
    // Time since the minion began to serve requests, for slow start.
    absl::Duration servingFor = absl::InfiniteDuration();
    // The agent's monotonic uptime, which dispatches echo.
    absl::Duration agentUptime;
};

// The target left, or its agent restarted or was reported lost. The end of each dispatch in flight
// to it is still reported through the events below.
struct TargetRemoved
{
    TargetId target;
};

// The agent replied with the minion's answer.
struct DispatchAnswered
{
    core::RequestId id;
    int attempt = 0;
    Answer answer;
    std::optional<TargetLoad> load;
};

// The attempt provably did not run: the agent refused it, or nothing was sent (ConnectionFailed or
// StoreUnavailable). Codes 2xx and 4xx end the request with that code; they report a previously
// used idempotency key.
struct DispatchRefused
{
    core::RequestId id;
    int attempt = 0;
    core::ResultCode code = core::ResultCode::TargetBusy;
    std::optional<TargetLoad> load;
};

// The attempt may or may not have run: the connection was lost, the call timed out, the answer was
// malformed (BadAnswer), or the agent accepted the attempt and has no answer yet.
struct DispatchUnknown
{
    core::RequestId id;
    int attempt = 0;
    // The agent reported that the request is running. If false, the event counts as a failure of
    // the target.
    bool running = false;
};

// Result of SendFateQuery.
struct FateReceived
{
    core::RequestId id;
    int attempt = 0;
    FateReport report;
};

// The manifest's limits of an account. Unlisted accounts have weight 1 and no rate limit.
struct LimitsChanged
{
    core::AccountId account;
    int weight = 1;
    // This entry's share of the account's rate limit; 0 means unlimited.
    double requestsPerSecond = 0;
};

// The agent granted slots in response to SendSlotDemand, immediately or later.
struct SlotsGranted
{
    TargetId target;
    int slots = 0;
    // The part of `slots` that is reserved for short work.
    int shortSlots = 0;
    // Unused grants expire after this time.
    absl::Duration validFor;
};

// Periodic timer event, to be sent every 10 ms while requests are open. Deadlines, fate queries and
// circuit breaker probes depend on it.
struct Tick
{ };

using Event =
    std::variant<RequestArrived, RequestCancelled, TargetAnnounced, TargetRemoved, DispatchAnswered,
                 DispatchRefused, DispatchUnknown, FateReceived, LimitsChanged, SlotsGranted, Tick>;

// ---- Actions ----

// Sends the message with the request's body. The end of each attempt is to be reported with
// DispatchAnswered, DispatchRefused or DispatchUnknown.
struct DispatchRequest
{
    DispatchMessage message;
};

// Sends `fate`. The result is to be reported with FateReceived, even if the call fails.
struct SendFateQuery
{
    FateQuery query;
    int attempt = 0;
};

// Sends `cancelRequest`; no reply is needed.
struct CancelAtTarget
{
    core::RequestId id;
    int attempt = 0;
    TargetId target;
    // See FateQuery.
    absl::Duration agentUptime;
};

// Returns the outcome to the caller. Emitted exactly once per RequestArrived.
struct FinishRequest
{
    core::RequestId id;
    Outcome outcome;
};

// Sends the agent the number of slots that the waiting requests need, the input of
// Admission::demand(). Zero also returns unused grants. Emitted only with Routing::LateBinding.
struct SendSlotDemand
{
    TargetId target;
    int slots = 0;
    // The part of `slots` that is requested for short work.
    int shortSlots = 0;
};

using Action =
    std::variant<DispatchRequest, SendFateQuery, CancelAtTarget, FinishRequest, SendSlotDemand>;

enum class Routing {
    // Selects the less loaded of two random targets by expected remaining work.
    TwoChoices,
    // Agents grant slots to entries; a request is assigned to a target only once a slot is free.
    LateBinding,
};

struct DispatcherSettings
{
    core::EntryId entry;
    Routing routing = Routing::LateBinding;
    // Maximum number of requests of one account that may wait for one service.
    int queueLimit = 256;
    // Requests with an expected service time up to this limit are short work.
    absl::Duration shortLimit = absl::Milliseconds(100);
    // Retries allowed per first attempt.
    double retryBudget = 0.1;
    // Maximum number of attempts per request, including the first one.
    int maxAttempts = 4;
    absl::Duration slowStart = absl::Seconds(10);
};

// Current sizes and counters for metrics.
struct DispatcherStatus
{
    int waiting = 0;
    int inFlight = 0;
    int targets = 0;
    // Targets that receive no requests because their circuit breaker is open.
    int ejectedTargets = 0;
    // Totals since the start.
    std::int64_t dispatched = 0;
    std::int64_t retried = 0;
    std::int64_t shed = 0;
};

// Queues and routes the requests of one entry. Performs no I/O and is not thread-safe. The caller
// executes the returned actions in order before it applies the next event.
class Dispatcher
{
public:
    Dispatcher(DispatcherSettings settings, std::mt19937_64 generator);
    ~Dispatcher();
    Dispatcher(Dispatcher &&) noexcept;
    Dispatcher &operator=(Dispatcher &&) noexcept;

    std::vector<Action> apply(const Event &event, core::Instant now);

    DispatcherStatus status() const;

private:
    class Private;
    std::unique_ptr<Private> d;
};

} // namespace oleandercross::dispatch
