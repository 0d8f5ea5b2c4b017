#pragma once

#include <oleandercross/core/clock.h>
#include <oleandercross/core/ids.h>
#include <oleandercross/core/resultcode.h>

#include <cstdint>
#include <optional>
#include <string>

namespace oleandercross::dispatch {

// A minion under one incarnation of its agent. The same minion after a restart of the agent is a
// different target.
struct TargetId
{
    core::AgentId agent;
    std::int64_t incarnation = 0;
    core::MinionId minion;

    friend auto operator<=>(const TargetId &, const TargetId &) = default;
};

// A minion's answer. `succeeded` is false if the minion ran the request and reported a failure.
struct Answer
{
    bool succeeded = false;
    std::string body;

    friend bool operator==(const Answer &, const Answer &) = default;
};

// Load of a target as measured by its agent. Attached to announcements and to replies to
// dispatches.
struct TargetLoad
{
    int freeSlots = 0;
    // The part of `freeSlots` that is reserved for short work.
    int freeShortSlots = 0;
    // Sum of the expected remaining times of the running requests.
    absl::Duration expectedWork;

    friend bool operator==(const TargetLoad &, const TargetLoad &) = default;
};

// Header fields of the `dispatch` message; the body is sent separately.
struct DispatchMessage
{
    core::RequestId id;
    // Number of the attempt, starting at 1. An agent that refused an attempt admits only later
    // attempts, so that a delayed copy of the refused message cannot run.
    int attempt = 1;
    core::EntryId entry;
    core::AccountId account;
    core::ServiceId service;
    TargetId target;
    // Time until the caller's deadline when the message was sent.
    absl::Duration timeLeft;
    bool idempotent = false;
    // The entry classifies requests by observed service times.
    bool shortWork = true;
    // Expected service time, for the agent's estimate of remaining work.
    absl::Duration expectedTime;
    // The latest TargetAnnounced::agentUptime known to the entry. It bounds the age of the message:
    // the agent does not run messages that are older than its oldest records.
    absl::Duration agentUptime;
    // Uses a slot that the agent granted to the entry.
    bool granted = false;

    friend bool operator==(const DispatchMessage &, const DispatchMessage &) = default;
};

// State of a request id at an agent.
enum class Fate {
    // Executed; the answer is attached.
    Answered,
    Running,
    // Refused with the attached code and blocked from later admission.
    Refused,
    // Unknown to the agent until now, so not run, and blocked from later admission.
    NeverSeen,
    // Run or possibly run, but the answer has been discarded or was never received.
    Unknown,
    // The query failed and gave no information.
    Unreachable,
};

// The `fate` message.
struct FateQuery
{
    core::RequestId id;
    // The target of the dispatch. A later incarnation of the agent can only report Unknown.
    TargetId target;
    // DispatchMessage::agentUptime of the dispatch, zero if unknown.
    absl::Duration agentUptime;

    friend bool operator==(const FateQuery &, const FateQuery &) = default;
};

struct FateReport
{
    Fate fate = Fate::Unreachable;
    core::ResultCode code = core::ResultCode::Ok;
    Answer answer;

    friend bool operator==(const FateReport &, const FateReport &) = default;
};

enum class OutcomeKind { Answered, NotRun, Unknown };

// The result that is returned to the caller. `code` is Ok or MinionFailed for an answer, 3xx if the
// request did not run, and OutcomeUnknown, AnswerNoLongerHeld or StillRunning if it may have run.
struct Outcome
{
    OutcomeKind kind = OutcomeKind::Unknown;
    core::ResultCode code = core::ResultCode::OutcomeUnknown;
    Answer answer;
    // Time after which a retry is likely to be accepted; zero if unknown.
    absl::Duration retryAfter;

    friend bool operator==(const Outcome &, const Outcome &) = default;
};

} // namespace oleandercross::dispatch
