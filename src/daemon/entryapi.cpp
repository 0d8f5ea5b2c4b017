#include <oleandercross/daemon/entryapi.h>

#include <oleandercross/core/digest.h>
#include <oleandercross/core/json.h>
#include <oleandercross/core/resultcode.h>

#include <absl/strings/match.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <opentracing/span.h>

#include <algorithm>
#include <array>

namespace oleandercross::daemon {

namespace {

using core::ResultCode;

constexpr std::size_t MaxIdempotencyKeyBytes = 128;
constexpr absl::Duration MaxDeadline = absl::Minutes(10);
constexpr int MaxWaitSeconds = 60;
// Time for which GET /v1/requests/{key} waits for a running request.
constexpr absl::Duration OutcomeTimeout = absl::Seconds(10);
// Long waits for a job are split into calls of this length, so that a lost leader is detected.
constexpr absl::Duration JobWaitStep = absl::Seconds(1);

std::string bearerToken(const http::Request &request)
{
    constexpr char Scheme[] = "Bearer ";
    const std::string header = request.header("authorization");
    return absl::StartsWith(header, Scheme) ? header.substr(sizeof(Scheme) - 1) : std::string();
}

http::Response jsonResponse(const Json::Value &value, int status = 200)
{
    return {status, core::writeJson(value) + "\n"};
}

// Returns the field `outcome` of an error body: "not run" for codes that prove it, "unknown" for
// 4xx codes, otherwise "error".
std::string outcomeName(ResultCode code)
{
    if (core::provablyNotRun(code))
        return "not run";
    const int number = static_cast<int>(code);
    return number >= 400 && number < 500 ? "unknown" : "error";
}

// The empty key is valid, since the header is optional.
bool isValidIdempotencyKey(const std::string &key)
{
    return key.size() <= MaxIdempotencyKeyBytes && std::all_of(key.begin(), key.end(), [](char c) {
               return c > ' ' && c <= '~' && c != '/';
           });
}

// Returns the first field that is not part of a commit, or an empty string.
std::string unknownCommitField(const Json::Value &commit)
{
    constexpr std::array Known = {"parent", "writeId", "yaml", "comment"};
    for (const std::string &field : commit.getMemberNames()) {
        if (std::find(Known.begin(), Known.end(), field) == Known.end())
            return field;
    }
    return {};
}

Json::Value encodeShortfall(const core::DataCentreId &dataCentre,
                            const scheduling::ShortfallChanged &shortfall)
{
    constexpr std::array LevelNames = {"accelerator", "pair", "quad", "worker", "rack"};
    std::string missing;
    for (const scheduling::MissingCells &cells : shortfall.missing) {
        absl::StrAppend(&missing, missing.empty() ? "" : ", ", cells.count, " ",
                        LevelNames.at(static_cast<std::size_t>(cells.level)));
    }
    Json::Value out;
    out["account"] = shortfall.account.str();
    out["dataCentre"] = dataCentre.str();
    out["missing"] = missing;
    return out;
}

} // namespace

EntryApi::EntryApi(const config::Settings &settings, ClusterView &cluster,
                   ManifestService &manifests, RequestGateway &requests, JobService &jobs,
                   LeaderService &leader, telemetry::Metrics &metrics,
                   const telemetry::Tracer &tracer)
    : m_settings(settings)
    , m_cluster(cluster)
    , m_manifests(manifests)
    , m_requests(requests)
    , m_jobs(jobs)
    , m_leader(leader)
    , m_metrics(metrics)
    , m_tracer(tracer)
{ }

void EntryApi::addRoutes(http::Server &server)
{
    addAccountRoute(server, "POST", "/v1/services/([^/]+)/requests", &EntryApi::runRequest);
    addAccountRoute(server, "GET", "/v1/requests/([^/]+)", &EntryApi::requestOutcome);
    addAccountRoute(server, "POST", "/v1/jobs", &EntryApi::submitJob);
    addAccountRoute(server, "GET", "/v1/jobs/([^/]+)", &EntryApi::showJob);
    addAccountRoute(server, "DELETE", "/v1/jobs/([^/]+)", &EntryApi::cancelJob);
    addAccountRoute(server, "GET", "/v1/jobs/([^/]+)/explain", &EntryApi::explainJob);
    addOperatorRoute(server, "GET", "/v1/manifest", &EntryApi::showManifest);
    addOperatorRoute(server, "GET", "/v1/manifest/history", &EntryApi::showHistory);
    addOperatorRoute(server, "POST", "/v1/manifest", &EntryApi::commitManifest);
    addOperatorRoute(server, "GET", "/v1/status", &EntryApi::showStatus);
    addOperatorRoute(server, "GET", "/v1/report", &EntryApi::showDispatcherStatus);
    server.route("GET", "/healthz", [](const http::Request &) {
        return http::Response{200, "{\"status\":\"running\"}\n"};
    });
    server.route("GET", "/readyz", [this](const http::Request &) {
        // Without targets all requests would be refused, for example before the first heartbeats
        // of the agents.
        const bool ready = m_ready && m_manifests.current() && m_requests.status().targets > 0;
        return ready ? http::Response{200, "{\"status\":\"ready\"}\n"}
                     : http::Response{503, "{\"status\":\"not ready\"}\n"};
    });
    server.route("GET", "/metrics", [this](const http::Request &) {
        return http::Response{200, m_metrics.text(), "text/plain"};
    });
}

void EntryApi::addAccountRoute(http::Server &server, const std::string &method,
                               const std::string &pattern, AccountHandler handler)
{
    server.route(method, pattern, [this, handler](const http::Request &request) {
        ++m_inFlight;
        const auto revision = m_manifests.current();
        http::Response response;
        if (!revision) {
            response = errorResponse({ResultCode::NotReady, "no manifest has been received yet"});
        } else if (const config::Account *account =
                       revision->manifest->accountForToken(bearerToken(request))) {
            response = (this->*handler)(request, *account);
        } else {
            response = errorResponse({ResultCode::Unauthorized, "missing or unknown token"});
        }
        --m_inFlight;
        return response;
    });
}

void EntryApi::addOperatorRoute(http::Server &server, const std::string &method,
                                const std::string &pattern, OperatorHandler handler)
{
    server.route(method, pattern, [this, handler](const http::Request &request) {
        ++m_inFlight;
        const std::string hash = core::sha256Hex(bearerToken(request));
        http::Response response = core::equalConstantTime(hash, m_settings.operatorTokenHash)
            ? (this->*handler)(request)
            : errorResponse({ResultCode::Unauthorized, "the operator token is required"});
        --m_inFlight;
        return response;
    });
}

http::Response EntryApi::errorResponse(const core::Reason &reason, absl::Duration retryAfter)
{
    Json::Value body;
    body["code"] = static_cast<int>(reason.code);
    body["name"] = std::string(core::name(reason.code));
    body["outcome"] = outcomeName(reason.code);
    body["message"] = reason.message;
    http::Response response = jsonResponse(body, core::httpStatus(reason.code));
    if (retryAfter > absl::ZeroDuration()) {
        const std::int64_t millis =
            std::max<std::int64_t>(1, absl::ToInt64Milliseconds(retryAfter));
        body["retryAfterMs"] = static_cast<Json::Int64>(millis);
        response.body = core::writeJson(body) + "\n";
        response.headers["Retry-After"] = absl::StrCat((millis + 999) / 1000);
    }
    m_metrics.add(absl::StrCat("errors{code=\"", static_cast<int>(reason.code), "\"}"));
    return response;
}

std::optional<ShortRequest> EntryApi::parseRequest(const http::Request &request,
                                                   const config::Account &account,
                                                   const config::Manifest &manifest) const
{
    const core::ServiceId name(request.captures.at(0));
    const config::Service *service = manifest.service(name);
    if (!service)
        return core::fail(ResultCode::UnknownService, "no service '" + name.str() + "'");
    const auto &allowed = service->accounts;
    if (!allowed.empty()
        && std::find(allowed.begin(), allowed.end(), account.name) == allowed.end())
        return core::fail(ResultCode::Forbidden, "the client account may not call the service");

    ShortRequest parsed;
    parsed.id = core::RequestId(core::randomHexId());
    parsed.account = account.name;
    parsed.service = name;
    parsed.deadline = service->defaultDeadline;
    parsed.body = request.body;
    parsed.connection = request.connection;
    const std::string idempotent = request.header("x-idempotent");
    if (!idempotent.empty() && idempotent != "true" && idempotent != "false")
        return core::fail(ResultCode::BadField, "X-Idempotent must be true or false");
    parsed.idempotent = idempotent != "false";
    const std::string deadline = request.header("x-deadline-ms");
    std::int64_t millis = 0;
    if (!deadline.empty()) {
        if (!absl::SimpleAtoi(deadline, &millis) || millis <= 0
            || absl::Milliseconds(millis) > MaxDeadline)
            return core::fail(ResultCode::BadField, "X-Deadline-Ms must be from 1 to 600000");
        parsed.deadline = absl::Milliseconds(millis);
    }
    const std::string key = request.header("idempotency-key");
    if (!isValidIdempotencyKey(key))
        return core::fail(ResultCode::BadField,
                          "Idempotency-Key must consist of at most 128 printable ASCII characters "
                          "other than space and '/'");
    // Idempotent requests may run more than once, so they need no claim.
    if (!key.empty() && !parsed.idempotent)
        parsed.key =
            RequestKey{account.name, key, core::sha256Hex(name.str() + "\n" + request.body)};
    return parsed;
}

http::Response EntryApi::runRequest(const http::Request &request, const config::Account &account)
{
    if (m_refusingWork)
        return errorResponse({ResultCode::Draining, "this entry is stopping"}, absl::Seconds(1));
    const auto revision = m_manifests.current();
    std::optional<ShortRequest> parsed = parseRequest(request, account, *revision->manifest);
    if (!parsed)
        return errorResponse(core::lastReason());
    const auto span = m_tracer.start("request", request.header("traceparent"));
    span->SetTag("service", parsed->service.str());
    parsed->traceparent = telemetry::Tracer::traceparent(*span);
    const core::SteadyClock clock;
    const core::Instant begin = clock.now();
    http::Response response = outcomeResponse(m_requests.run(*parsed));
    m_metrics.observe("request_seconds", clock.now() - begin);
    response.headers["X-Request-Id"] = parsed->id.str();
    response.headers["traceparent"] = parsed->traceparent;
    return response;
}

http::Response EntryApi::outcomeResponse(const dispatch::Outcome &outcome)
{
    switch (outcome.kind) {
    case dispatch::OutcomeKind::Answered:
        if (outcome.answer.succeeded) {
            m_metrics.add("requests_answered");
            return {200, outcome.answer.body};
        }
        return errorResponse({ResultCode::MinionFailed, outcome.answer.body});
    case dispatch::OutcomeKind::NotRun:
        return errorResponse({outcome.code, "the request did not run"}, outcome.retryAfter);
    case dispatch::OutcomeKind::Unknown:
        break;
    }
    return errorResponse({outcome.code, "the request may have run"});
}

http::Response EntryApi::requestOutcome(const http::Request &request,
                                        const config::Account &account)
{
    const std::string &key = request.captures.at(0);
    if (!isValidIdempotencyKey(key))
        return errorResponse({ResultCode::BadField, "invalid Idempotency-Key"});
    return outcomeResponse(m_requests.outcomeOfKey({account.name, key, {}}, OutcomeTimeout));
}

http::Response EntryApi::submitJob(const http::Request &request, const config::Account &account)
{
    if (m_refusingWork)
        return errorResponse({ResultCode::Draining, "this entry is stopping"}, absl::Seconds(1));
    const auto record = m_jobs.submit(account, request.header("idempotency-key"), request.body);
    return record ? jsonResponse(describe(*record), 201) : errorResponse(core::lastReason());
}

http::Response EntryApi::showJob(const http::Request &request, const config::Account &account)
{
    const core::JobId id(request.captures.at(0));
    int waitSeconds = 0;
    const auto wait = request.query.find("wait");
    if (wait != request.query.end()
        && (!absl::SimpleAtoi(wait->second, &waitSeconds) || waitSeconds < 0
            || waitSeconds > MaxWaitSeconds))
        return errorResponse({ResultCode::BadField, "'wait' must be from 0 to 60 seconds"});
    const core::SteadyClock clock;
    const core::Instant deadline = clock.now() + absl::Seconds(waitSeconds);
    auto record = m_jobs.job(account.name, id, {}, absl::ZeroDuration());
    while (record && !scheduling::ended(record->state) && clock.now() < deadline
           && !m_refusingWork) {
        const absl::Duration step = std::min(JobWaitStep, deadline - clock.now());
        record = m_jobs.job(account.name, id, name(record->state), step);
    }
    return record ? jsonResponse(describe(*record)) : errorResponse(core::lastReason());
}

http::Response EntryApi::cancelJob(const http::Request &request, const config::Account &account)
{
    const auto record = m_jobs.cancel(account.name, core::JobId(request.captures.at(0)));
    return record ? jsonResponse(describe(*record)) : errorResponse(core::lastReason());
}

http::Response EntryApi::explainJob(const http::Request &request, const config::Account &account)
{
    const auto explanation = m_jobs.explain(account.name, core::JobId(request.captures.at(0)));
    return explanation ? jsonResponse(*explanation) : errorResponse(core::lastReason());
}

http::Response EntryApi::showManifest(const http::Request &request)
{
    const auto wanted = request.query.find("revision");
    if (wanted == request.query.end()) {
        const auto current = m_manifests.current();
        if (!current)
            return errorResponse(
                {ResultCode::ConfigNoRevision, "no manifest has been received yet"});
        return jsonResponse(encode(*current));
    }
    std::int64_t number = 0;
    if (!absl::SimpleAtoi(wanted->second, &number) || number < 1)
        return errorResponse({ResultCode::BadField, "'revision' must be a positive number"});
    const auto revision = m_manifests.revision(number);
    return revision ? jsonResponse(encode(*revision)) : errorResponse(core::lastReason());
}

http::Response EntryApi::showHistory(const http::Request &)
{
    constexpr int HistoryLimit = 100;
    const auto revisions = m_manifests.history(HistoryLimit);
    if (!revisions)
        return errorResponse(core::lastReason());
    Json::Value body;
    body["revisions"] = Json::Value(Json::arrayValue);
    for (const Revision &revision : *revisions) {
        Json::Value value = encode(revision);
        value.removeMember("yaml");
        body["revisions"].append(value);
    }
    return jsonResponse(body);
}

http::Response EntryApi::commitManifest(const http::Request &request)
{
    const std::optional<Json::Value> body = core::parseJson(request.body);
    if (!body)
        return errorResponse(core::lastReason());
    if (!body->isObject())
        return errorResponse({ResultCode::BadField, "the commit must be a JSON object"});
    const std::string unknown = unknownCommitField(*body);
    if (!unknown.empty())
        return errorResponse({ResultCode::BadField, "unknown field '" + unknown + "'"});
    CommitRequest commit;
    commit.parent = core::intMember(*body, "parent", -1);
    commit.writeId = core::stringMember(*body, "writeId");
    commit.yaml = core::stringMember(*body, "yaml");
    commit.comment = core::stringMember(*body, "comment");
    if (commit.parent < 0 || commit.writeId.empty() || commit.yaml.empty())
        return errorResponse({ResultCode::BadField, "parent, writeId and yaml are required"});
    const auto number = m_manifests.commit(commit);
    if (!number)
        return errorResponse(core::lastReason());
    m_cluster.exchangeNow();
    Json::Value reply;
    reply["revision"] = static_cast<Json::Int64>(*number);
    return jsonResponse(reply, 201);
}

http::Response EntryApi::showStatus(const http::Request &)
{
    Json::Value body;
    const auto current = m_manifests.current();
    const auto revision = static_cast<Json::Int64>(current ? current->number : 0);
    body["entry"] = m_settings.id;
    body["dataCentre"] = m_settings.dataCentre.str();
    body["revision"] = revision;
    body["storeAvailable"] = m_cluster.storeAvailable();
    body["leaders"] = Json::Value(Json::arrayValue);
    for (const LeaderInfo &leader : m_cluster.leaders()) {
        Json::Value value;
        value["dataCentre"] = leader.dataCentre.str();
        value["entry"] = leader.entry.str();
        value["epoch"] = static_cast<Json::Int64>(leader.epoch);
        body["leaders"].append(value);
    }
    body["nodes"] = Json::Value(Json::arrayValue);
    for (const ClusterView::EntryInfo &entry : m_cluster.entries()) {
        const bool self = entry.id.str() == m_settings.id;
        Json::Value value;
        value["id"] = entry.id.str();
        value["role"] = "entry";
        value["dataCentre"] = entry.dataCentre.str();
        value["revision"] = self ? revision : static_cast<Json::Int64>(entry.revision);
        value["live"] = self || entry.alive;
        // Only known for this entry.
        value["draining"] = self && m_refusingWork;
        body["nodes"].append(value);
    }
    for (const auto &agent : m_cluster.agents()) {
        Json::Value value;
        value["id"] = agent->id.str();
        value["role"] = "agent";
        value["dataCentre"] = agent->dataCentre.str();
        value["revision"] = static_cast<Json::Int64>(agent->revision);
        // agents() returns only live agents.
        value["live"] = true;
        value["draining"] = agent->draining;
        body["nodes"].append(value);
    }
    const auto leaderStatus = m_leader.status();
    body["leading"] = leaderStatus.has_value();
    body["queuedJobs"] = leaderStatus ? leaderStatus->waiting : 0;
    body["runningJobs"] = leaderStatus ? leaderStatus->running : 0;
    body["shortfalls"] = Json::Value(Json::arrayValue);
    body["quarantined"] = Json::Value(Json::arrayValue);
    if (leaderStatus) {
        for (const auto &shortfall : leaderStatus->shortfalls)
            body["shortfalls"].append(encodeShortfall(m_settings.dataCentre, shortfall));
        for (const core::WorkerId &worker : leaderStatus->quarantined)
            body["quarantined"].append(worker.str());
    }
    return jsonResponse(body);
}

http::Response EntryApi::showDispatcherStatus(const http::Request &)
{
    const dispatch::DispatcherStatus status = m_requests.status();
    Json::Value body;
    body["waiting"] = status.waiting;
    body["inFlight"] = status.inFlight;
    body["targets"] = status.targets;
    body["targetsOut"] = status.ejectedTargets;
    body["dispatched"] = static_cast<Json::Int64>(status.dispatched);
    body["retried"] = static_cast<Json::Int64>(status.retried);
    body["shed"] = static_cast<Json::Int64>(status.shed);
    body["answered"] = static_cast<Json::Int64>(m_metrics.value("requests_answered"));
    body["spansDropped"] = static_cast<Json::Int64>(m_tracer.dropped());
    return jsonResponse(body);
}

} // namespace oleandercross::daemon
