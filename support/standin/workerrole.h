#pragma once

#include "faultserver.h"
#include "simulatedtask.h"

#include <map>

namespace oleandercross::standin {

// A worker: starts whatever it is given and counts what does not fit. Thread safe.
class WorkerRole
{
public:
    explicit WorkerRole(absl::Duration usageLag);

    // Set before requests arrive; the worker asks it whether tasks fail.
    void setFaults(const Faults *faults);

    http::Response handle(const http::Request &request);

    // How often a start of the task took effect.
    int starts(const std::string &taskId) const;

private:
    http::Response start(const Json::Value &body) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    http::Response change(const std::string &path, const Json::Value &body)
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    http::Response renew(const Json::Value &body) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    http::Response list() const ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    http::Response forget(const Json::Value &body) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    http::Response counts() const ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    void countOverlap(const platform::TaskStart &task) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);

    const absl::Duration m_usageLag;
    const core::SteadyClock m_clock;
    const Faults *m_faults = nullptr;
    mutable absl::Mutex m_mutex;
    std::map<std::string, SimulatedTask> m_tasks ABSL_GUARDED_BY(m_mutex);
    std::map<std::string, int> m_starts ABSL_GUARDED_BY(m_mutex);
    // Starts that gave an accelerator to a second task.
    int m_sharedAccelerators ABSL_GUARDED_BY(m_mutex) = 0;
    core::Resources m_maxClaimed ABSL_GUARDED_BY(m_mutex);
};

} // namespace oleandercross::standin
