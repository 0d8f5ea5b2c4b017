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

// Accepts jobs for any data centre and forwards calls about them to that data centre's leader.
// Thread safe.
class JobService
{
public:
    JobService(ClusterView &cluster, ManifestService &manifests, platform::StoreWriter &store,
               rpc::Client &client);
    ~JobService();

    // Stores a job and returns its record. A repeated submission with the same key returns the
    // existing job. Fails with 2xx codes, StoreUnavailable or Cancelled ("not run"), or
    // OutcomeUnknown.
    std::optional<JobRecord> submit(const config::Account &account, const std::string &key,
                                    const std::string &body);

    // Returns the job's record as soon as its state differs from `knownState`, after `wait` at the
    // latest. Fails with UnknownJob, also for jobs of other accounts, or StoreUnavailable.
    std::optional<JobRecord> job(const core::AccountId &account, const core::JobId &id,
                                 const std::string &knownState, absl::Duration wait);

    // Requests cancellation of a job and returns its record, unchanged if the job has already
    // ended. After UnknownJob, a submission of the account that is still on its way is not stored.
    std::optional<JobRecord> cancel(const core::AccountId &account, const core::JobId &id);

    std::optional<Json::Value> explain(const core::AccountId &account, const core::JobId &id);

private:
    std::optional<JobRecord> callLeader(const std::string &method, const core::JobId &id,
                                        const std::string &knownState, absl::Duration wait);
    std::optional<JobRecord> readRow(const core::JobId &id);
    std::optional<JobRecord> requestCancelInRow(const core::JobId &id);
    // Stores that the account has cancelled a job that does not exist, so that no submission of it
    // is stored. Returns true if that is stored or the job has been. Fails with OutcomeUnknown or
    // StoreUnavailable.
    bool recordEarlyCancel(const core::AccountId &account, const core::JobId &id);
    // Notifies the leader of an accepted job. The message is retried while the leader changes, see
    // docs/design/handover.md.
    void notifyLeader(const core::DataCentreId &dataCentre, const core::JobId &job,
                      core::Instant deadline);
    std::optional<JobRecord> resolveDuplicate(const JobRecord &record);

    ClusterView &m_cluster;
    ManifestService &m_manifests;
    platform::StoreWriter &m_store;
    rpc::Client &m_client;
    const core::SteadyClock m_clock;
    core::Executor m_executor;
};

} // namespace oleandercross::daemon
