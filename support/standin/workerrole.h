#pragma once

#include "faultserver.h"
#include "simulatedtask.h"

#include <map>

namespace oleandercross::standin {

// Worker that starts all tasks and counts those that exceed its resources. Thread-safe.
class WorkerRole
{
public:
    explicit WorkerRole(absl::Duration usageLag);

    // Sets the faults that decide whether tasks fail. Must be called before the first request.
    void setFaults(const Faults *faults);

    http::Response handle(const http::Request &request);

    // Returns the number of times that the task was started.
    int starts(const std::string &taskId) const;

private:
    http::Response start(const Json::Value &body) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    http::Response changeTask(const std::string &path, const Json::Value &body)
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    http::Response renew(const Json::Value &body) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    http::Response list() const ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    http::Response forget(const Json::Value &body) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    http::Response counts() const ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    void updateAllocationCounts(const platform::TaskStart &task)
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);

    const absl::Duration m_usageLag;
    const core::SteadyClock m_clock;
    const Faults *m_faults = nullptr;
    mutable absl::Mutex m_mutex;
    std::map<std::string, SimulatedTask> m_tasks ABSL_GUARDED_BY(m_mutex);
    std::map<std::string, int> m_starts ABSL_GUARDED_BY(m_mutex);
    // Number of starts that assigned an accelerator already in use by another task.
    int m_sharedAccelerators ABSL_GUARDED_BY(m_mutex) = 0;
    core::Resources m_maxClaimed ABSL_GUARDED_BY(m_mutex);
};

} // namespace oleandercross::standin
