#include <oleandercross/control/entry.h>

#include <oleandercross/control/jobmarker.h>
#include <oleandercross/core/json.h>
#include <oleandercross/core/resultcode.h>
#include <oleandercross/rpc/broadcast.h>
#include <oleandercross/telemetry/eventlog.h>
#include <oleandercross/workload/codec.h>

#include <absl/time/clock.h>

#include <algorithm>
#include <limits>

namespace oleandercross::control {

namespace {

constexpr absl::Duration MemberFeedWait = absl::Seconds(2);
// The part of a caller's timeout that is reserved for sending the response.
constexpr absl::Duration ResponseReserve = absl::Milliseconds(40);
// The timeout of one attempt to store a job. A slow store takes up to a third of a second to
// respond.
constexpr absl::Duration SubmitTimeout = absl::Milliseconds(600);
constexpr absl::Duration RetryDelay = absl::Milliseconds(40);
// When a caller may repeat a submission that met the marker of a later one.
constexpr absl::Duration MinRetryDelayOfCallers = absl::Seconds(1);

// The leader reads the table that the entry follows.
EntryOptions withConfigTable(EntryOptions options)
{
    options.leader.configTable = options.configTable;
    return options;
}

} // namespace

Entry::Entry(EntryOptions options, RowStore &directStore, rpc::Client &client, rpc::Server &server,
             telemetry::Metrics &metrics, CatalogDecoder decoder)
    : m_options(withConfigTable(std::move(options)))
    , m_client(client)
    , m_metrics(metrics)
    , m_members(m_options.self)
    , m_store(directStore, client, [this] { return m_members.peers(); })
    , m_config({m_options.configTable, m_options.configKey, m_options.self.address,
                m_options.peerTimeout, m_options.closurePrefix},
               m_store, client, metrics, std::move(decoder), configCallbacks())
    , m_memberFollower(m_store, MemberTable, MemberFeedWait,
                       {[this](const auto &rows) { m_members.replaceAll(rows); },
                        [this](const auto &rows) { m_members.apply(rows); },
                        {},
                        {},
                        {}})
{
    m_members.setSeeds(m_options.seeds);
    registerCalls(server);
    m_store.serve(server);
    m_config.serve(server);
}

Entry::~Entry()
{
    stop();
}

void Entry::registerCalls(rpc::Server &server)
{
    server.add("leader-health", [this](const Json::Value &) -> std::optional<Json::Value> {
        const std::shared_ptr<Leader> ownLeader = leader();
        Json::Value answer(Json::objectValue);
        answer["leads"] = ownLeader != nullptr && !ownLeader->deposed();
        answer["healthy"] = ownLeader != nullptr && ownLeader->healthy();
        if (!ownLeader)
            return answer;
        answer["storeVersion"] = static_cast<Json::Int64>(ownLeader->storeVersion());
        const DatedForecast newest = ownLeader->forecast();
        if (newest.forecast) {
            answer["forecast"] = planning::toJson(*newest.forecast);
            answer["forecastAgeMs"] = static_cast<Json::Int64>(
                absl::ToInt64Milliseconds(m_clock.now() - newest.computedAt) + 1);
        }
        return answer;
    });
    server.add("job-state", [this](const Json::Value &params) -> std::optional<Json::Value> {
        const std::shared_ptr<Leader> ownLeader = leader();
        if (!ownLeader)
            return core::fail(core::ResultCode::NotLeader, "this entry is not the leader");
        const auto view = ownLeader->view(core::stringMember(params, "job"));
        if (!view)
            return std::nullopt;
        Json::Value answer(Json::objectValue);
        answer["state"] = planning::toString(view->state);
        answer["account"] = view->account;
        return answer;
    });
    server.add("waiting", [this](const Json::Value &params) -> std::optional<Json::Value> {
        const std::shared_ptr<Leader> ownLeader = leader();
        if (!ownLeader)
            return core::fail(core::ResultCode::NotLeader, "this entry is not the leader");
        const auto count = ownLeader->queueLength(core::stringMember(params, "queue"));
        if (!count)
            return std::nullopt;
        Json::Value answer(Json::objectValue);
        answer["waiting"] = *count;
        return answer;
    });
    server.add("give-way", [this](const Json::Value &params) -> std::optional<Json::Value> {
        if (core::intMember(params, "strength") > m_options.self.milliCores)
            m_stepDownRequested = true;
        return Json::Value(Json::objectValue);
    });
    server.add("announce", [this](const Json::Value &params) -> std::optional<Json::Value> {
        const auto member =
            decodeMember(core::stringMember(params, "name"), core::stringMember(params, "member"));
        if (!member)
            return std::nullopt;
        m_members.add(*member);
        return Json::Value(Json::objectValue);
    });
    server.add("handover", [this](const Json::Value &) -> std::optional<Json::Value> {
        absl::MutexLock lock(&m_mutex);
        m_handedOver = true;
        m_handoverReceived.signalAll();
        return Json::Value(Json::objectValue);
    });
}

void Entry::start()
{
    m_config.start();
    m_memberFollower.start();
    m_election = std::thread([this] { electionLoop(); });
}

void Entry::beginStop()
{
    m_stopping = true;
    // Updates of the member table are not needed any more. Their follower is stopped first, so that
    // its pending call ends before stop() and does not delay it.
    m_memberFollower.beginStop();
    if (m_election.joinable()) {
        m_electionStopping = true;
        m_election.join();
    }
    const std::shared_ptr<Leader> ownLeader = leader();
    if (!ownLeader)
        return;
    ownLeader->release();
    rpc::broadcast(m_client, m_members.peers(), "handover", Json::Value(Json::objectValue),
                   m_options.peerTimeout);
    absl::MutexLock lock(&m_mutex);
    m_leader.reset();
}

void Entry::stop()
{
    beginStop();
    m_store.stopRelaying();
    m_config.stop();
    m_memberFollower.stop();
}

bool Entry::ready() const
{
    return !m_stopping && catalog() != nullptr;
}

std::shared_ptr<Leader> Entry::leader() const
{
    absl::MutexLock lock(&m_mutex);
    return m_leader;
}

std::optional<http::Endpoint> Entry::leaderAddress() const
{
    absl::MutexLock lock(&m_mutex);
    if (!m_leadership || m_leadership->holder.empty()
        || m_leadership->address == m_options.self.address)
        return std::nullopt;
    return m_leadership->address;
}

ConfigReplica::Callbacks Entry::configCallbacks()
{
    return {[this] { return m_members.peers(); },
            [this](std::shared_ptr<const workload::Catalog> catalog) {
                if (const std::shared_ptr<Leader> ownLeader = leader())
                    ownLeader->setCatalog(std::move(catalog));
            }};
}

DatedForecast Entry::forecast() const
{
    const std::shared_ptr<Leader> ownLeader = leader();
    if (ownLeader)
        return ownLeader->healthy() ? ownLeader->forecast() : DatedForecast{};
    absl::MutexLock lock(&m_mutex);
    return m_forecast;
}

std::optional<Refusal> Entry::refusalOf(const workload::Job &job) const
{
    const DatedForecast newest = forecast();
    const auto current = catalog();
    if (!newest.forecast || !current)
        return std::nullopt;
    const bool guaranteed = job.terms.priority == 0
        && std::any_of(current->accounts.begin(), current->accounts.end(),
                       [&job](const workload::Account &account) {
                           return account.name == job.account && account.guaranteedAccelerators > 0;
                       });
    absl::MutexLock lock(&m_mutex);
    return m_admission.decide(job, newest, m_clock.now(), guaranteed);
}

void Entry::raiseKnownVersion(std::int64_t version)
{
    std::int64_t known = m_knownVersion;
    while (known < version && !m_knownVersion.compare_exchange_weak(known, version)) { }
}

Submission Entry::submit(const workload::Job &job, core::Instant deadline)
{
    // Markers up to this version were written before this submission arrived. A later one may
    // belong to a repetition of it that was told that the job does not run.
    const std::int64_t knownVersion = m_knownVersion;
    const std::string value = workload::encodeJob(job);
    if (value.size() > MaxRowBytes)
        return SubmitOutcome::TooLarge;
    if (const std::optional<Refusal> refusal = refusalOf(job))
        return refuse(job, *refusal, deadline);
    const RowWrite write = writeJobRow(job, value, knownVersion, deadline);
    switch (write.outcome) {
    case RowWrite::Outcome::Written:
    case RowWrite::Outcome::JobExists:
        telemetry::Event("job_accepted")
            .with("job", job.id)
            .with("queue", job.queue)
            .with("account", job.account)
            .with("version", write.version)
            .with("known_before", write.outcome == RowWrite::Outcome::JobExists);
        {
            absl::MutexLock lock(&m_mutex);
            m_admission.recordAcceptance(job.id);
        }
        return SubmitOutcome::Accepted;
    case RowWrite::Outcome::MarkerExists:
        telemetry::Event("job_refused")
            .with("job", job.id)
            .with("queue", job.queue)
            .with("reason", "refused meanwhile");
        return {SubmitOutcome::Refused, MinRetryDelayOfCallers};
    case RowWrite::Outcome::Cancelled:
        return rejectCancelled(job);
    case RowWrite::Outcome::NotWritten:
        return SubmitOutcome::NotAccepted;
    case RowWrite::Outcome::Unknown:
        break;
    }
    return SubmitOutcome::Unknown;
}

Submission Entry::refuse(const workload::Job &job, const Refusal &refusal, core::Instant deadline)
{
    // A marker that exists is written again, so that a late replacement of it cannot be applied.
    const RowWrite write = writeJobRow(job, JobMarker::refusal().encode(),
                                       std::numeric_limits<std::int64_t>::max(), deadline);
    if (write.outcome == RowWrite::Outcome::JobExists) {
        telemetry::Event("job_accepted")
            .with("job", job.id)
            .with("queue", job.queue)
            .with("account", job.account)
            .with("version", write.version)
            .with("known_before", true);
        return SubmitOutcome::Accepted;
    }
    if (write.outcome == RowWrite::Outcome::Cancelled)
        return rejectCancelled(job);
    if (write.outcome == RowWrite::Outcome::NotWritten)
        return SubmitOutcome::NotAccepted;
    if (write.outcome != RowWrite::Outcome::Written)
        return SubmitOutcome::Unknown;
    m_metrics.add("jobs_refused_by_forecast");
    telemetry::Event("job_refused")
        .with("job", job.id)
        .with("queue", job.queue)
        .with("account", job.account)
        .with("reason", "forecast")
        .with("version", write.version)
        .with("priority", job.terms.priority)
        .with("wait_ms", absl::ToInt64Milliseconds(refusal.forecast.wait))
        .with("critical_path_ms", absl::ToInt64Milliseconds(refusal.forecast.criticalPath))
        .with("objective_ms", absl::ToInt64Milliseconds(refusal.forecast.objective))
        .with("retry_after_s", absl::ToInt64Seconds(refusal.retryAfter))
        .with("refused_before", refusal.earlierRefusals);
    absl::MutexLock lock(&m_mutex);
    m_admission.recordRefusal(job.id);
    return {SubmitOutcome::Refused, refusal.retryAfter};
}

Submission Entry::rejectCancelled(const workload::Job &job)
{
    telemetry::Event("job_refused")
        .with("job", job.id)
        .with("queue", job.queue)
        .with("account", job.account)
        .with("reason", "cancelled before");
    return SubmitOutcome::Cancelled;
}

Entry::RowWrite Entry::writeJobRow(const workload::Job &job, const std::string &value,
                                   std::int64_t maxMarkerVersion, core::Instant deadline)
{
    std::string written = value;
    std::int64_t expectedVersion = 0;
    std::optional<core::Instant> inDoubtSince;
    while (true) {
        const core::Instant now = m_clock.now();
        const absl::Duration left = deadline - ResponseReserve - now;
        const bool timedOut = left <= absl::ZeroDuration()
            || (inDoubtSince && now - *inDoubtSince >= m_options.inDoubtTimeout);
        if (timedOut)
            return {inDoubtSince ? RowWrite::Outcome::Unknown : RowWrite::Outcome::NotWritten};
        RowChanges changes;
        changes.conditions.push_back({JobTable, job.id, expectedVersion});
        changes.puts.push_back({JobTable, job.id, written});
        const CommitResult result = m_store.commit(changes, std::min(left, SubmitTimeout));
        if (result.outcome == CommitOutcome::Applied) {
            raiseKnownVersion(result.version);
            return {RowWrite::Outcome::Written, result.version};
        }
        if (result.outcome == CommitOutcome::Conflict) {
            const auto row = conflictingRow(result, job.id, std::min(left, SubmitTimeout));
            const auto marker =
                row && *row ? JobMarker::parse((*row)->value) : std::optional<JobMarker>();
            if (row && *row && !marker)
                return {RowWrite::Outcome::JobExists, (*row)->version};
            if (marker && marker->cancels(job.account))
                return {RowWrite::Outcome::Cancelled, (*row)->version};
            if (marker && (*row)->version > maxMarkerVersion)
                return {RowWrite::Outcome::MarkerExists, (*row)->version};
            // A refusal must not drop another account's cancellation.
            if (marker && JobMarker::parse(value))
                written = (*row)->value;
            if (row) {
                expectedVersion = *row ? (*row)->version : 0;
                continue;
            }
        }
        telemetry::Event("job_store_failed")
            .with("job", job.id)
            .with("outcome", toString(result.outcome))
            .with("reason", result.reason);
        if (result.outcome == CommitOutcome::Rejected)
            return {RowWrite::Outcome::NotWritten};
        // No attempt can have stored the row, so the caller can be refused immediately.
        if (result.outcome == CommitOutcome::Refused && !inDoubtSince)
            return {RowWrite::Outcome::NotWritten};
        if (!inDoubtSince)
            inDoubtSince = m_clock.now();
        absl::SleepFor(RetryDelay);
    }
}

std::optional<std::optional<StoredRow>> Entry::conflictingRow(const CommitResult &result,
                                                              const std::string &job,
                                                              absl::Duration timeout)
{
    for (const StoredRow &row : result.current) {
        if (row.key == job)
            return std::optional(row);
    }
    return m_store.row(JobTable, job, timeout);
}

std::optional<JobStatus> Entry::queryLeader(const std::string &job, core::Instant deadline)
{
    if (const std::shared_ptr<Leader> ownLeader = leader()) {
        const auto view = ownLeader->view(job);
        if (!view)
            return std::nullopt;
        return JobStatus{JobStatus::Kind::Known, view->account, view->state};
    }
    const std::optional<http::Endpoint> address = leaderAddress();
    if (!address)
        return core::fail(core::ResultCode::NotLeader, "no leader is known");
    Json::Value params(Json::objectValue);
    params["job"] = job;
    const auto answer =
        m_client.call(*address, "job-state", params,
                      std::min(m_options.peerTimeout, deadline - ResponseReserve - m_clock.now()));
    if (!answer)
        return std::nullopt;
    const auto state = planning::parseJobState(core::stringMember(*answer, "state"));
    if (!state)
        return std::nullopt;
    return JobStatus{JobStatus::Kind::Known, core::stringMember(*answer, "account"), *state};
}

JobStatus Entry::stateFromStore(const std::string &job, core::Instant deadline)
{
    const absl::Duration left = deadline - ResponseReserve - m_clock.now();
    // The progress is read first. A job and its progress are removed together, so a job that exists
    // after its progress was found missing has not begun.
    const auto progress = m_store.row(ProgressTable, job, std::min(left, StoreTimeout));
    if (!progress)
        return {};
    const auto row = m_store.row(JobTable, job, std::min(left, StoreTimeout));
    if (!row)
        return {};
    if (!*row || JobMarker::parse((*row)->value))
        return {JobStatus::Kind::NoSuchJob, {}, {}};
    const auto stored = workload::decodeJob(job, (*row)->value);
    if (!stored)
        return {};
    if (!*progress)
        return {JobStatus::Kind::Known, stored->account, planning::JobState::Queued};
    const auto value = core::parseJson((*progress)->value);
    const auto state =
        planning::parseJobState(value ? core::stringMember(*value, "state") : std::string());
    if (!state)
        return {};
    return {JobStatus::Kind::Known, stored->account, *state};
}

JobStatus Entry::state(const std::string &job, core::Instant deadline)
{
    if (const auto answer = queryLeader(job, deadline))
        return *answer;
    return stateFromStore(job, deadline);
}

CommitResult Entry::recordCancellation(const std::string &job, const std::optional<StoredRow> &row,
                                       const std::string &account, absl::Duration timeout)
{
    const std::optional<JobMarker> marker =
        row ? JobMarker::parse(row->value) : std::optional<JobMarker>();
    RowChanges changes;
    changes.conditions.push_back({JobTable, job, row ? row->version : 0});
    changes.puts.push_back(
        {JobTable, job, marker.value_or(JobMarker::refusal()).cancelledBy(account).encode()});
    return m_store.commit(changes, timeout);
}

CancelOutcome Entry::cancel(const std::string &job, const std::string &account,
                            core::Instant deadline)
{
    bool inDoubt = false;
    while (true) {
        const absl::Duration left = deadline - ResponseReserve - m_clock.now();
        if (left <= absl::ZeroDuration())
            return inDoubt ? CancelOutcome::Unknown : CancelOutcome::NotCancelled;
        const absl::Duration timeout = std::min(left, StoreTimeout);
        if (const auto row = m_store.row(JobTable, job, timeout)) {
            const bool exists = *row && !JobMarker::parse((*row)->value);
            CommitResult result;
            if (exists) {
                const auto stored = workload::decodeJob(job, (*row)->value);
                if (stored && !account.empty() && stored->account != account)
                    return CancelOutcome::OtherAccount;
                RowChanges changes;
                changes.conditions.push_back({JobTable, job, (*row)->version});
                changes.puts.push_back({JobTable, job + CancelSuffix, "{}"});
                result = m_store.commit(changes, timeout);
            } else {
                // A submission may be on its way, in a buffer of an entry that is frozen or in a
                // delayed transaction.
                result = recordCancellation(job, *row, account, timeout);
            }
            if (result.outcome == CommitOutcome::Applied) {
                telemetry::Event("cancel_accepted")
                    .with("job", job)
                    .with("version", result.version)
                    .with("job_exists", exists);
                return exists ? CancelOutcome::Cancelled : CancelOutcome::NoSuchJob;
            }
            if (result.outcome == CommitOutcome::Rejected)
                return CancelOutcome::NotCancelled;
            inDoubt = inDoubt || result.outcome == CommitOutcome::Unknown;
        }
        absl::SleepFor(RetryDelay);
    }
}

std::optional<int> Entry::queueLength(const std::string &queue, core::Instant deadline)
{
    if (const std::shared_ptr<Leader> ownLeader = leader())
        return ownLeader->queueLength(queue);
    const std::optional<http::Endpoint> address = leaderAddress();
    if (!address)
        return core::fail(core::ResultCode::NotLeader, "no leader is known");
    Json::Value params(Json::objectValue);
    params["queue"] = queue;
    const auto answer =
        m_client.call(*address, "waiting", params,
                      std::min(m_options.peerTimeout, deadline - ResponseReserve - m_clock.now()));
    if (!answer)
        return std::nullopt;
    return static_cast<int>(core::intMember(*answer, "waiting"));
}

} // namespace oleandercross::control
