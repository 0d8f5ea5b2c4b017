#pragma once

#include <absl/synchronization/mutex.h>
#include <absl/time/time.h>
#include <json/value.h>

#include <map>
#include <random>
#include <string>

namespace oleandercross::standin {

// What happens to one request.
struct FaultPlan
{
    // Answers 503 without executing.
    bool refuse = false;
    // Closes the connection without executing.
    bool close = false;
    // Neither executes nor answers, and keeps the connection open.
    bool ignore = false;
    // Closes the connection, executes after `by`.
    bool defer = false;
    // Executes, closes the connection without an answer.
    bool lose = false;
    // Executes, never answers, keeps the connection open.
    bool stall = false;
    // Executes, sends the answer up to the middle of its body and closes the connection.
    bool cut = false;
    // Executes, sends a well-formed answer whose body lacks its last byte.
    bool shorten = false;
    // Executes, sends the answer of the next swapped request and the other way around.
    bool swap = false;
    // Executes, sends the answer twice on the same connection.
    bool twice = false;
    // Executes at once and answers after `by`.
    bool late = false;
    // Executes after this time.
    absl::Duration delay;
    absl::Duration by;
};

// The faults injected into one role, set by POST /fault. Thread safe.
class Faults
{
public:
    // Applies {"outage_ms": N, "outage": "refuse|close|silent", "delay_ms": N, "by_ms": N,
    // "path": PATH, "KIND": N next requests, "rates": {"KIND": probability}, "seed": N,
    // "fail_tasks": bool, "clear": true}. Absent members leave their fault as it is; with a path,
    // kinds and rates apply to requests for it only. False for a bad member.
    bool apply(const Json::Value &json);

    // What is still pending, in the same form.
    Json::Value json() const;

    // Decides about the next request and counts it.
    FaultPlan next(const std::string &path = {});

    bool failTasks() const;

private:
    bool take(const std::string &kind) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    bool applyKinds(const Json::Value &json) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);

    mutable absl::Mutex m_mutex;
    std::map<std::string, int> m_next ABSL_GUARDED_BY(m_mutex);
    std::map<std::string, double> m_rates ABSL_GUARDED_BY(m_mutex);
    std::mt19937_64 m_random ABSL_GUARDED_BY(m_mutex);
    absl::Time m_outageUntil ABSL_GUARDED_BY(m_mutex) = absl::InfinitePast();
    std::string m_outage ABSL_GUARDED_BY(m_mutex) = "refuse";
    absl::Duration m_delay ABSL_GUARDED_BY(m_mutex);
    absl::Duration m_by ABSL_GUARDED_BY(m_mutex) = absl::Milliseconds(500);
    // Empty for all.
    std::string m_path ABSL_GUARDED_BY(m_mutex);
    bool m_failTasks ABSL_GUARDED_BY(m_mutex) = false;
};

} // namespace oleandercross::standin
