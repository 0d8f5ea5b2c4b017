#pragma once

#include "faultserver.h"

#include <oleandercross/platform/tableservice.h>

#include <map>

namespace oleandercross::standin {

// In-memory table service, object store and Zipkin collector. Thread-safe.
class TableRole
{
public:
    http::Response handle(const http::Request &request);

    // Returns the stored row, for checks.
    std::optional<platform::Row> row(const std::string &key) const;
    // Returns the number of applied transactions.
    int applied() const;
    // Returns the number of table requests of all kinds.
    int requests() const;

private:
    http::Response read(const Json::Value &body) const ABSL_SHARED_LOCKS_REQUIRED(m_mutex);
    http::Response scan(const Json::Value &body) const ABSL_SHARED_LOCKS_REQUIRED(m_mutex);
    http::Response write(const Json::Value &body) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    http::Response object(const http::Request &request) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    http::Response trace(const http::Request &request) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    http::Response counts() const ABSL_SHARED_LOCKS_REQUIRED(m_mutex);
    std::int64_t versionOf(const std::string &key) const ABSL_SHARED_LOCKS_REQUIRED(m_mutex);

    mutable absl::Mutex m_mutex;
    std::map<std::string, platform::Row> m_rows ABSL_GUARDED_BY(m_mutex);
    std::map<std::string, std::string> m_objects ABSL_GUARDED_BY(m_mutex);
    std::map<std::string, Json::Value> m_traces ABSL_GUARDED_BY(m_mutex);
    // One counter for all rows, so that versions are not reused after a delete.
    std::int64_t m_version ABSL_GUARDED_BY(m_mutex) = 0;
    int m_reads ABSL_GUARDED_BY(m_mutex) = 0;
    int m_scans ABSL_GUARDED_BY(m_mutex) = 0;
    int m_writes ABSL_GUARDED_BY(m_mutex) = 0;
    int m_applied ABSL_GUARDED_BY(m_mutex) = 0;
    int m_conflicts ABSL_GUARDED_BY(m_mutex) = 0;
};

} // namespace oleandercross::standin
