#include <oleandercross/daemon/jobservice.h>

#include <oleandercross/core/digest.h>
#include <oleandercross/core/json.h>
#include <oleandercross/core/resultcode.h>

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <cctype>

namespace oleandercross::daemon {

namespace {

using core::fail;
using core::ResultCode;

constexpr absl::Duration WriteTimeout = absl::Seconds(5);
constexpr absl::Duration ReadTimeout = absl::Seconds(2);
constexpr absl::Duration LeaderTimeout = absl::Seconds(2);
// Unacknowledged notifications are retried at this interval until NotifyTimeout, which is longer
// than the period of the leader's scan of the job rows (ScanPeriod in term.cpp); the scan also
// finds the job.
constexpr absl::Duration NotifyRetryDelay = absl::Milliseconds(100);
constexpr absl::Duration NotifyTimeout = absl::Seconds(15);
constexpr int NotifyThreadCount = 2;
// Attempts to write a row that the leader may change at the same time.
constexpr int MaxCancelWriteAttempts = 5;
// The number of hexadecimal digits after the data centre in a job id.
constexpr std::size_t JobIdDigits = 32;
constexpr std::size_t MaxIdempotencyKeyBytes = 128;

// Returns the data centre for a job that doesn't name one: the only one in the account's
// guarantees, or the only one in the manifest if the account has no guarantees.
std::optional<core::DataCentreId> defaultDataCentre(const config::Manifest &manifest,
                                                    const config::Account &account)
{
    std::vector<core::DataCentreId> candidates;
    for (const config::Guarantee &guarantee : account.guarantees)
        candidates.push_back(guarantee.dataCentre);
    if (candidates.empty()) {
        for (const config::PlannedDataCentre &dataCentre : manifest.dataCentres)
            candidates.push_back(dataCentre.name);
    }
    std::sort(candidates.begin(), candidates.end());
    candidates.erase(std::unique(candidates.begin(), candidates.end()), candidates.end());
    if (candidates.size() != 1)
        return fail(ResultCode::BadField, "'dataCentre' is required for this client account");
    return candidates.front();
}

// Returns false if the job cannot fit even on the idle planned capacity. True does not mean that it
// will fit.
bool canEverFit(const scheduling::JobSpec &spec, const config::PlannedDataCentre &planned)
{
    if (!core::fits(spec.perTask, planned.perWorker))
        return false;
    const core::Resources total = spec.perTask * spec.tasks;
    int workers = planned.racks * planned.workersPerRack;
    if (spec.adjacencyHard && spec.adjacency == scheduling::Adjacency::Worker)
        workers = 1;
    else if (spec.adjacencyHard && spec.adjacency == scheduling::Adjacency::Rack)
        workers = planned.workersPerRack;
    return core::fits(total, planned.perWorker * workers);
}

bool validateSubmission(const JobRecord &record, const config::Manifest &manifest,
                        const config::Account &account)
{
    const auto planned =
        std::find_if(manifest.dataCentres.begin(), manifest.dataCentres.end(),
                     [&record](const auto &d) { return d.name == record.dataCentre; });
    if (planned == manifest.dataCentres.end()) {
        fail(ResultCode::BadField, "unknown data centre '" + record.dataCentre.str() + "'");
        return false;
    }
    const core::TeamId &team = record.spec.team;
    const auto accountTeam =
        std::find_if(account.teams.begin(), account.teams.end(),
                     [&team](const config::Team &candidate) { return candidate.name == team; });
    // A job without a team would bypass the team quotas.
    if (accountTeam == account.teams.end() && !(team.empty() && account.teams.empty())) {
        fail(ResultCode::UnknownTeam,
             team.empty() ? "'team' is required for this client account"
                          : "no team '" + team.str() + "' in the client account");
        return false;
    }
    const int accelerators = record.spec.perTask.accelerators * record.spec.tasks;
    if (!team.empty() && accelerators > accountTeam->acceleratorQuota) {
        fail(ResultCode::NeverFits,
             absl::StrCat("the job needs ", accelerators, " accelerators and the quota of team '",
                          team.str(), "' is ", accountTeam->acceleratorQuota));
        return false;
    }
    if (!canEverFit(record.spec, *planned)) {
        fail(ResultCode::NeverFits,
             "the job can never be placed in data centre '" + record.dataCentre.str() + "'");
        return false;
    }
    return true;
}

// Returns true if a submission can have this id.
bool isJobId(const core::JobId &id)
{
    const std::string &text = id.str();
    const std::size_t dot = text.find('.');
    return dot != std::string::npos && dot > 0 && text.size() - dot - 1 == JobIdDigits
        && std::all_of(text.begin() + static_cast<std::ptrdiff_t>(dot) + 1, text.end(),
                       [](unsigned char c) { return std::isxdigit(c) != 0; });
}

} // namespace

JobService::JobService(ClusterView &cluster, ManifestService &manifests,
                       platform::StoreWriter &store, rpc::Client &client)
    : m_cluster(cluster)
    , m_manifests(manifests)
    , m_store(store)
    , m_client(client)
    , m_executor(NotifyThreadCount)
{ }

JobService::~JobService()
{
    m_executor.stop();
}

std::optional<JobRecord> JobService::submit(const config::Account &account, const std::string &key,
                                            const std::string &body)
{
    const auto revision = m_manifests.current();
    if (!revision)
        return fail(ResultCode::NotReady, "no manifest has been received yet");
    if (key.size() > MaxIdempotencyKeyBytes)
        return fail(ResultCode::BadSize, "the Idempotency-Key is too long");
    std::optional<JobRecord> record = parseSubmission(body);
    if (!record)
        return std::nullopt;
    if (record->dataCentre.empty()) {
        const auto dataCentre = defaultDataCentre(*revision->manifest, account);
        if (!dataCentre)
            return std::nullopt;
        record->dataCentre = *dataCentre;
    }
    if (!validateSubmission(*record, *revision->manifest, account))
        return std::nullopt;
    // The digest is cut to the length of randomHexId().
    const std::string idSuffix = key.empty()
        ? core::randomHexId()
        : core::sha256Hex(account.name.str() + "\n" + key).substr(0, JobIdDigits);
    record->spec.id = core::JobId(record->dataCentre.str() + "." + idSuffix);
    record->spec.account = account.name;
    record->submittedAtMicros = core::wallClockMicros();

    // A write to an unresponsive store would have an unknown outcome.
    if (!m_cluster.storeAvailable())
        return fail(ResultCode::StoreUnavailable, "the table service is not responding");
    platform::Transaction transaction;
    // A job with the same key may already have ended, or have been cancelled before it was stored.
    transaction.conditions = {{jobKey(record->dataCentre, record->spec.id), 0},
                              {doneKey(record->dataCentre, record->spec.id), 0},
                              {earlyCancelKey(record->spec.id, account.name), 0}};
    transaction.puts = {
        {jobKey(record->dataCentre, record->spec.id), core::writeJson(encode(*record))}};
    const platform::WriteResult result =
        m_store.write(std::move(transaction), platform::WritePriority::Job, WriteTimeout);
    switch (result.outcome) {
    case platform::WriteOutcome::Applied:
        // An unresponsive leader must not delay the reply.
        m_executor.post([this, dataCentre = record->dataCentre, id = record->spec.id] {
            notifyLeader(dataCentre, id, m_clock.now() + NotifyTimeout);
        });
        return record;
    case platform::WriteOutcome::Conflict:
        return resolveDuplicate(*record);
    case platform::WriteOutcome::NotApplied:
        return fail(ResultCode::StoreUnavailable, "the job could not be stored and will not run");
    case platform::WriteOutcome::Unknown:
        break;
    }
    return fail(ResultCode::OutcomeUnknown,
                "the job may have been stored as " + record->spec.id.str());
}

std::optional<JobRecord> JobService::resolveDuplicate(const JobRecord &record)
{
    std::optional<JobRecord> existing = readRow(record.spec.id);
    if (!existing && core::lastReason().code == ResultCode::UnknownJob)
        return fail(ResultCode::Cancelled, "the job was cancelled before it was stored");
    if (!existing)
        return std::nullopt;
    if (existing->digest != record.digest || existing->spec.account != record.spec.account)
        return fail(ResultCode::DuplicateKey,
                    "the Idempotency-Key was already used for a different job");
    return existing;
}

void JobService::notifyLeader(const core::DataCentreId &dataCentre, const core::JobId &job,
                              core::Instant deadline)
{
    const auto leader = m_cluster.leader(dataCentre);
    if (leader) {
        Json::Value params;
        params["job"] = job.str();
        if (m_client.call(leader->rpc, "jobAdded", std::move(params), LeaderTimeout))
            return;
    }
    if (m_clock.now() < deadline) {
        m_executor.after(NotifyRetryDelay, [this, dataCentre, job, deadline] {
            notifyLeader(dataCentre, job, deadline);
        });
    }
}

std::optional<JobRecord> JobService::callLeader(const std::string &method, const core::JobId &id,
                                                const std::string &knownState, absl::Duration wait)
{
    const auto dataCentre = dataCentreOf(id);
    if (!dataCentre)
        return std::nullopt;
    const auto leader = m_cluster.leader(*dataCentre);
    if (!leader)
        return fail(ResultCode::NotLeader, "the data centre has no leader at present");
    Json::Value params;
    params["job"] = id.str();
    params["known"] = knownState;
    params["waitMs"] = static_cast<Json::Int64>(absl::ToInt64Milliseconds(wait));
    const auto reply = m_client.call(leader->rpc, method, std::move(params), LeaderTimeout + wait);
    if (!reply)
        return std::nullopt;
    return decodeJobRecord(core::writeJson(*reply));
}

std::optional<JobRecord> JobService::readRow(const core::JobId &id)
{
    const auto dataCentre = dataCentreOf(id);
    if (!dataCentre)
        return std::nullopt;
    for (const std::string &key : {jobKey(*dataCentre, id), doneKey(*dataCentre, id)}) {
        const auto row = m_store.read(key, ReadTimeout);
        if (!row)
            return std::nullopt;
        if (*row)
            return decodeJobRecord((*row)->value);
    }
    return fail(ResultCode::UnknownJob, "no job '" + id.str() + "'");
}

std::optional<JobRecord> JobService::job(const core::AccountId &account, const core::JobId &id,
                                         const std::string &knownState, absl::Duration wait)
{
    std::optional<JobRecord> record = callLeader("jobStatus", id, knownState, wait);
    if (!record)
        record = readRow(id);
    if (record && record->spec.account != account)
        return fail(ResultCode::UnknownJob, "no job '" + id.str() + "'");
    return record;
}

std::optional<JobRecord> JobService::cancel(const core::AccountId &account, const core::JobId &id)
{
    std::optional<JobRecord> before = job(account, id, {}, absl::ZeroDuration());
    if (!before && core::lastReason().code == ResultCode::UnknownJob && isJobId(id)) {
        if (!recordEarlyCancel(account, id))
            return std::nullopt;
        // A job that was stored in the meantime is cancelled.
        before = job(account, id, {}, absl::ZeroDuration());
    }
    if (!before || scheduling::ended(before->state))
        return before;
    if (std::optional<JobRecord> record = callLeader("jobCancel", id, {}, absl::ZeroDuration()))
        return record;
    return requestCancelInRow(id);
}

bool JobService::recordEarlyCancel(const core::AccountId &account, const core::JobId &id)
{
    const core::DataCentreId dataCentre = *dataCentreOf(id);
    platform::Transaction transaction;
    transaction.conditions = {{jobKey(dataCentre, id), 0}, {doneKey(dataCentre, id), 0}};
    transaction.puts = {{earlyCancelKey(id, account), "{}"}};
    const platform::WriteResult result =
        m_store.write(std::move(transaction), platform::WritePriority::Job, WriteTimeout);
    switch (result.outcome) {
    case platform::WriteOutcome::Applied:
    case platform::WriteOutcome::Conflict:
        return true;
    case platform::WriteOutcome::NotApplied:
        fail(ResultCode::StoreUnavailable, "the cancellation could not be stored");
        return false;
    case platform::WriteOutcome::Unknown:
        break;
    }
    fail(ResultCode::OutcomeUnknown, "the cancellation may or may not have been stored");
    return false;
}

// Stores the cancellation request in the job's row, where the next leader reads it.
std::optional<JobRecord> JobService::requestCancelInRow(const core::JobId &id)
{
    const auto dataCentre = dataCentreOf(id);
    if (!dataCentre)
        return std::nullopt;
    const std::string key = jobKey(*dataCentre, id);
    for (int i = 0; i < MaxCancelWriteAttempts; ++i) {
        const auto row = m_store.read(key, ReadTimeout);
        if (!row)
            return std::nullopt;
        // The job has ended meanwhile; its record is in the done row.
        if (!*row)
            return readRow(id);
        std::optional<JobRecord> record = decodeJobRecord((*row)->value);
        if (!record)
            return std::nullopt;
        record->cancelRequested = true;
        platform::Transaction transaction;
        transaction.conditions = {{key, (*row)->version}};
        transaction.puts = {{key, core::writeJson(encode(*record))}};
        const platform::WriteResult result =
            m_store.write(std::move(transaction), platform::WritePriority::Job, WriteTimeout);
        if (result.outcome == platform::WriteOutcome::Applied)
            return record;
        if (result.outcome != platform::WriteOutcome::Conflict)
            break;
    }
    return fail(ResultCode::OutcomeUnknown, "the cancellation may or may not have been stored");
}

std::optional<Json::Value> JobService::explain(const core::AccountId &account,
                                               const core::JobId &id)
{
    const std::optional<JobRecord> record = job(account, id, {}, absl::ZeroDuration());
    if (!record)
        return std::nullopt;
    Json::Value out = describe(*record);
    if (scheduling::ended(record->state))
        return out;
    const auto leader = m_cluster.leader(record->dataCentre);
    if (!leader)
        return fail(ResultCode::NotLeader, "the data centre has no leader at present");
    Json::Value params;
    params["job"] = id.str();
    const auto reply = m_client.call(leader->rpc, "explain", std::move(params), LeaderTimeout);
    if (!reply)
        return std::nullopt;
    out["reason"] = core::stringMember(*reply, "reason");
    out["remedy"] = core::stringMember(*reply, "remedy");
    return out;
}

} // namespace oleandercross::daemon
