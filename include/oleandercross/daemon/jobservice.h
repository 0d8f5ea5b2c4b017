#pragma once

#include <oleandercross/config/settings.h>
#include <oleandercross/core/executor.h>
#include <oleandercross/daemon/clusterview.h>
#include <oleandercross/daemon/jobrecord.h>
#include <oleandercross/daemon/manifestservice.h>
#include <oleandercross/platform/storewriter.h>
#include <oleandercross/rpc/rpc.h>

#include <optional>
#include <string>

namespace oleandercross::daemon {

// Accepts jobs for any data centre and passes calls about them to its leader. Thread safe.
class JobService
{
public:
    JobService(ClusterView &cluster, ManifestService &manifests, platform::StoreWriter &store,
               rpc::Client &client);
    ~JobService();

    // Stores a job and returns its record. A key makes a repeated submission return the first
    // job. Fails with 2xx codes, StoreUnavailable ("not run"), or OutcomeUnknown.
    std::optional<JobRecord> submit(const config::Account &account, const std::string &key,
                                    const std::string &body);

    // The job's record as soon as its state differs from `known`, after `wait` at the latest. Jobs
    // of other accounts are unknown. Fails with UnknownJob or StoreUnavailable.
    std::optional<JobRecord> job(const core::AccountId &account, const core::JobId &id,
                                 const std::string &known, absl::Duration wait);

    // Requests the end of a job and returns its record. A job that ended before is returned
    // unchanged.
    std::optional<JobRecord> cancel(const core::AccountId &account, const core::JobId &id);

    std::optional<Json::Value> explain(const core::AccountId &account, const core::JobId &id);

private:
    std::optional<JobRecord> askLeader(const std::string &method, const core::JobId &id,
                                       const std::string &known, absl::Duration wait);
    std::optional<JobRecord> readRow(const core::JobId &id);
    std::optional<JobRecord> requestCancelInRow(const core::JobId &id);
    // Tells the leader of an accepted job; while the lead changes hands, the message is held here
    // and sent again, see docs/design/handover.md.
    void notifyLeader(const core::DataCentreId &dataCentre, const core::JobId &job,
                      core::Instant deadline);
    std::optional<JobRecord> settleDuplicate(const JobRecord &record);

    ClusterView &m_cluster;
    ManifestService &m_manifests;
    platform::StoreWriter &m_store;
    rpc::Client &m_client;
    const core::SteadyClock m_clock;
    core::Executor m_executor;
};

} // namespace oleandercross::daemon
