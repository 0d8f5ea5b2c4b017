#include <oleandercross/control/removedjobs.h>

#include <algorithm>

namespace oleandercross::control {

void RemovedJobs::add(const std::string &job, std::int64_t version)
{
    std::int64_t &latest = m_versions[job];
    latest = std::max(latest, version);
}

bool RemovedJobs::wasRemoved(const std::string &job, std::int64_t rowVersion) const
{
    const auto found = m_versions.find(job);
    return found != m_versions.end() && rowVersion <= found->second;
}

void RemovedJobs::forget(std::int64_t readVersion)
{
    std::erase_if(m_versions,
                  [readVersion](const auto &entry) { return entry.second <= readVersion; });
}

} // namespace oleandercross::control
