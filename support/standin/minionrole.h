#pragma once

#include "faultserver.h"

#include <map>
#include <set>

namespace oleandercross::standin {

// A minion: runs whatever it is given, counts executions per request id and per echo, and how many
// ran beyond its slots. Thread safe.
class MinionRole
{
public:
    explicit MinionRole(int slots);

    http::Response handle(const http::Request &request);

    // How often the request was executed.
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
    // Attempts of one caller's request have different ids and the same echo.
    std::map<std::string, int> m_echoes ABSL_GUARDED_BY(m_mutex);
    std::set<std::string> m_cancelled ABSL_GUARDED_BY(m_mutex);
    int m_running ABSL_GUARDED_BY(m_mutex) = 0;
    int m_maxRunning ABSL_GUARDED_BY(m_mutex) = 0;
    int m_beyondSlots ABSL_GUARDED_BY(m_mutex) = 0;
};

} // namespace oleandercross::standin
