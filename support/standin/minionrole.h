#pragma once

#include "faultserver.h"

#include <map>
#include <set>

namespace oleandercross::standin {

// Minion that executes all requests. Counts executions per request id and per echo, and those that
// exceeded its slots. Thread-safe.
class MinionRole
{
public:
    explicit MinionRole(int slots);

    http::Response handle(const http::Request &request);

    // Returns the number of executions of the request.
    int executions(const std::string &requestId) const;

private:
    http::Response execute(const http::Request &request);
    http::Response cancel(const http::Request &request);
    http::Response counts() const;
    void begin(const std::string &id, const std::string &echo);
    bool wait(const std::string &id, absl::Duration work);

    const int m_slots;
    mutable absl::Mutex m_mutex;
    std::map<std::string, int> m_executions ABSL_GUARDED_BY(m_mutex);
    // The attempts of one caller's request have different ids but the same echo.
    std::map<std::string, int> m_echoes ABSL_GUARDED_BY(m_mutex);
    std::set<std::string> m_cancelled ABSL_GUARDED_BY(m_mutex);
    int m_running ABSL_GUARDED_BY(m_mutex) = 0;
    int m_maxRunning ABSL_GUARDED_BY(m_mutex) = 0;
    int m_beyondSlots ABSL_GUARDED_BY(m_mutex) = 0;
};

} // namespace oleandercross::standin
