#pragma once

#include <oleandercross/dispatch/message.h>

#include <memory>
#include <random>
#include <variant>
#include <vector>

namespace oleandercross::dispatch {

// ---- Events ----

// A caller's request was accepted by the HTTP layer. Ids are unique; a repeated one is ignored.
struct RequestArrived
{
    core::RequestId id;
    core::AccountId account;
    core::ServiceId service;
    bool idempotent = false;
    core::Instant deadline;
    std::size_t bodyBytes = 0;
    // The request is dispatched only once. Set it when a key row names the target, so that the
    // target's `fate` is conclusive.
    bool pinToFirstTarget = false;
};

// The caller cancelled the request or closed its connection. The request still ends with one
// FinishRequest.
struct RequestCancelled
{
    core::RequestId id;
};

// A target is new or its load changed. Announce again at least every 10 s.
struct TargetAnnounced
{
    TargetId target;
    core::ServiceId service;
    core::DataCentreId dataCentre;
    // One way, from this entry.
    absl::Duration distance;
    int slots = 0;
    // Of `slots`, those that only short work may use.
    int shortSlots = 0;
    TargetLoad load;
    bool draining = false;
    // How long ago the minion began to serve, for slow start.
    absl::Duration servingFor = absl::InfiniteDuration();
    // The agent's monotonic time since its start, echoed in dispatches.
    absl::Duration agentUptime;
};

// The target left, or its agent restarted or was declared dead. The dispatches on their way there
// still report their own end through the events below.
struct TargetGone
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
// StoreUnavailable). Codes 2xx and 4xx end the request with that code, for a key that was used
// before.
struct DispatchRefused
{
    core::RequestId id;
    int attempt = 0;
    core::ResultCode code = core::ResultCode::TargetBusy;
    std::optional<TargetLoad> load;
};

// The attempt may or may not have run: connection lost, time-out, BadAnswer, or the agent accepted
// it and does not know the answer yet.
struct DispatchUnknown
{
    core::RequestId id;
    int attempt = 0;
    // The agent said that the request is running. Otherwise this counts as a failure of the target.
    bool running = false;
};

// Reply to AskFate.
struct FateLearned
{
    core::RequestId id;
    int attempt = 0;
    FateReport report;
};

// Limits of an account from the manifest. Unlisted accounts have weight 1 and no rate limit.
struct LimitsChanged
{
    core::AccountId account;
    int weight = 1;
    // This entry's share of the account's rate; 0 is unlimited.
    double requestsPerSecond = 0;
};

// Slots that the agent granted on an AskSlots, at once or later.
struct SlotsGranted
{
    TargetId target;
    int slots = 0;
    // Of `slots`, those that only short work may use.
    int shortSlots = 0;
    // Unused grants lapse.
    absl::Duration validFor;
};

// Time passes. Send one every 10 ms while requests are open; deadlines, polls and probes depend on
// it.
struct Tick
{ };

using Event =
    std::variant<RequestArrived, RequestCancelled, TargetAnnounced, TargetGone, DispatchAnswered,
                 DispatchRefused, DispatchUnknown, FateLearned, LimitsChanged, SlotsGranted, Tick>;

// ---- Actions ----

// Send the message with the request's body. Report the end of each attempt with DispatchAnswered,
// DispatchRefused or DispatchUnknown.
struct DispatchRequest
{
    DispatchMessage message;
};

// Send `fate` and report FateLearned, also when it fails.
struct AskFate
{
    FateQuery query;
    int attempt = 0;
};

// Send `cancelRequest`; no reply is needed.
struct CancelAtTarget
{
    core::RequestId id;
    int attempt = 0;
    TargetId target;
    // See FateQuery.
    absl::Duration agentUptime;
};

// Tell the caller. Exactly one per RequestArrived.
struct FinishRequest
{
    core::RequestId id;
    Outcome outcome;
};

// Only with Routing::LateBinding: tell the agent how many slots the waiting requests need, for
// Admission::demand(). Zero also gives back unused grants.
struct AskSlots
{
    TargetId target;
    int slots = 0;
    // Of `slots`, those wanted by short requests.
    int shortSlots = 0;
};

using Action = std::variant<DispatchRequest, AskFate, CancelAtTarget, FinishRequest, AskSlots>;

enum class Routing {
    // The less loaded of two random targets by expected remaining work.
    TwoChoices,
    // Agents grant slots to entries; a request is bound to a target when a slot is free.
    LateBinding,
};

struct DispatcherSettings
{
    core::EntryId entry;
    Routing routing = Routing::LateBinding;
    // Requests that one account may have waiting for one service.
    int queueLimit = 256;
    // Requests with an expected service time up to this are short.
    absl::Duration shortLimit = absl::Milliseconds(100);
    // Re-sent attempts per first attempt.
    double retryBudget = 0.1;
    // Most attempts at one request.
    int maxAttempts = 4;
    absl::Duration slowStart = absl::Seconds(10);
};

// Sizes for gauges.
struct DispatcherStatus
{
    int waiting = 0;
    int inFlight = 0;
    int targets = 0;
    int targetsOut = 0;
    // Since the start.
    std::int64_t dispatched = 0;
    std::int64_t retried = 0;
    std::int64_t shed = 0;
};

// Queues and routes the short requests of one entry. Pure and not thread safe: one event at a time,
// and the caller executes the returned actions in order.
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
