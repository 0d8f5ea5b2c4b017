#pragma once

#include <absl/synchronization/mutex.h>
#include <absl/time/time.h>
#include <json/value.h>

#include <map>
#include <random>
#include <string>

namespace oleandercross::standin {

// The fault injected into one request. At most one of the flags is set.
struct FaultPlan
{
    // Answers 503 without executing the request.
    bool refuse = false;
    // Closes the connection without executing the request.
    bool close = false;
    // Neither executes nor answers the request, and keeps the connection open.
    bool ignore = false;
    // Closes the connection and executes the request after `by`.
    bool defer = false;
    // Executes the request and closes the connection without an answer.
    bool lose = false;
    // Executes the request, never answers and keeps the connection open.
    bool stall = false;
    // Executes the request, sends the answer up to the middle of its body and closes the
    // connection.
    bool cut = false;
    // Executes the request and sends a well-formed answer without the last byte of its body.
    bool shorten = false;
    // Executes the request and swaps its answer with that of the next swapped request.
    bool swap = false;
    // Executes the request and sends the answer twice on the same connection.
    bool twice = false;
    // Executes the request immediately and answers after `by`.
    bool late = false;
    // Delay before the execution.
    absl::Duration delay;
    // Delay of the `defer` and `late` faults.
    absl::Duration by;
};

// The faults injected into one role, set by POST /fault. Thread-safe.
class Faults
{
public:
    // Applies {"outage_ms": N, "outage": "refuse|close|silent", "delay_ms": N, "by_ms": N,
    // "path": PATH, "KIND": number of next requests, "rates": {"KIND": probability}, "seed": N,
    // "fail_tasks": bool, "clear": true}. Members that are absent leave their fault unchanged. With
    // a path, kinds and rates affect requests for this path only. Returns false if the value is not
    // an object, if the kind of outage is unknown or if there are rates without a seed.
    bool apply(const Json::Value &json);

    // Returns the pending faults in the same format.
    Json::Value json() const;

    // Returns the plan for the next request and counts the request.
    FaultPlan next(const std::string &path = {});

    bool failTasks() const;

private:
    bool consumeFault(const std::string &kind) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    bool applyKinds(const Json::Value &json) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);

    mutable absl::Mutex m_mutex;
    std::map<std::string, int> m_next ABSL_GUARDED_BY(m_mutex);
    std::map<std::string, double> m_rates ABSL_GUARDED_BY(m_mutex);
    std::mt19937_64 m_random ABSL_GUARDED_BY(m_mutex);
    absl::Time m_outageUntil ABSL_GUARDED_BY(m_mutex) = absl::InfinitePast();
    std::string m_outage ABSL_GUARDED_BY(m_mutex) = "refuse";
    absl::Duration m_delay ABSL_GUARDED_BY(m_mutex);
    absl::Duration m_by ABSL_GUARDED_BY(m_mutex) = absl::Milliseconds(500);
    // Empty for all paths.
    std::string m_path ABSL_GUARDED_BY(m_mutex);
    bool m_failTasks ABSL_GUARDED_BY(m_mutex) = false;
};

} // namespace oleandercross::standin
