#pragma once

#include <oleandercross/core/clock.h>
#include <oleandercross/core/ids.h>
#include <oleandercross/core/resultcode.h>

#include <cstdint>
#include <optional>
#include <string>

namespace oleandercross::dispatch {

// A minion under one incarnation of its agent. A restarted agent is another target.
struct TargetId
{
    core::AgentId agent;
    std::int64_t incarnation = 0;
    core::MinionId minion;

    friend auto operator<=>(const TargetId &, const TargetId &) = default;
};

// What a minion answered. `succeeded` is false if it ran the request and reports a failure.
struct Answer
{
    bool succeeded = false;
    std::string body;

    friend bool operator==(const Answer &, const Answer &) = default;
};

// Load of a target as its agent sees it. Announcements and replies to dispatches carry it.
struct TargetLoad
{
    int freeSlots = 0;
    // Slots that only short work may use, part of `freeSlots`.
    int freeShortSlots = 0;
    // Sum of the expected remaining times of the running requests.
    absl::Duration expectedWork;

    friend bool operator==(const TargetLoad &, const TargetLoad &) = default;
};

// What the `dispatch` message tells the agent, without the body.
struct DispatchMessage
{
    core::RequestId id;
    // Counts the entry's attempts at this request from 1. An agent that refused an attempt admits
    // only later ones, so that a delayed copy of the refused message cannot run.
    int attempt = 1;
    core::EntryId entry;
    core::AccountId account;
    core::ServiceId service;
    TargetId target;
    // Time left until the caller's deadline when the message was sent.
    absl::Duration timeLeft;
    bool idempotent = false;
    // Classified by the entry from observed service times.
    bool shortWork = true;
    // Expected service time, for the agent's estimate of remaining work.
    absl::Duration expectedTime;
    // The newest TargetAnnounced::agentUptime that the entry knew. It bounds the age of the
    // message: the agent does not run messages older than its records.
    absl::Duration agentUptime;
    // Uses a slot that the agent granted to the entry.
    bool granted = false;

    friend bool operator==(const DispatchMessage &, const DispatchMessage &) = default;
};

// What an agent knows about a request id.
enum class Fate {
    // The answer is attached.
    Answered,
    Running,
    // Not run, with the code of the refusal, and blocked from later admission.
    Refused,
    // Not run, and blocked from later admission.
    NeverSeen,
    // It ran, or may have run, and the answer is no longer held or was never received.
    Unknown,
    // The question itself failed; nothing was learned.
    Unreachable,
};

// The `fate` message.
struct FateQuery
{
    core::RequestId id;
    // Where the request was sent. A later incarnation can only report Unknown.
    TargetId target;
    // DispatchMessage::agentUptime of the dispatch in question, zero if not known.
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

// What the caller is told. `code` is Ok or MinionFailed for an answer, 3xx if the request did not
// run, and OutcomeUnknown, AnswerNoLongerHeld or StillRunning if it may have run.
struct Outcome
{
    OutcomeKind kind = OutcomeKind::Unknown;
    core::ResultCode code = core::ResultCode::OutcomeUnknown;
    Answer answer;
    // When a new try is likely to be accepted; zero if unknown.
    absl::Duration retryAfter;

    friend bool operator==(const Outcome &, const Outcome &) = default;
};

} // namespace oleandercross::dispatch
