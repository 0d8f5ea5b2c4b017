#pragma once

#include <cstdint>
#include <map>
#include <string>

namespace oleandercross::control {

// The jobs and the markers (JobMarker) whose rows the leader has removed from the store. Rows that
// were read before a removal may arrive after it; they are not valid any more.
class RemovedJobs
{
public:
    // Records that the rows of a job were removed by the transaction of this version.
    void add(const std::string &job, std::int64_t version);

    // Returns true if a row of the job that was written at this version has been removed. A later
    // row belongs to a new job with the same id.
    bool wasRemoved(const std::string &job, std::int64_t rowVersion) const;

    // Forgets the removals up to this version of the store, once a read of the job table at this
    // version has arrived. Reads that arrive later were made later and do not return the rows.
    void forget(std::int64_t readVersion);

private:
    // The version of the latest removal, by job.
    std::map<std::string, std::int64_t> m_versions;
};

} // namespace oleandercross::control
