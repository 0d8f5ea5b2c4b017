#include "session.h"
#include "text.h"

#include <oleandercross/config/file.h>
#include <oleandercross/core/clock.h>
#include <oleandercross/core/digest.h>
#include <oleandercross/core/json.h>

#include <absl/strings/str_cat.h>
#include <absl/time/clock.h>

#include <algorithm>

namespace oleandercross::cli {

namespace {

using core::ResultCode;

// Time that an entry waits in one call for a job to end; the API allows at most 60 s.
constexpr std::int64_t WaitSecondsPerCall = 30;
// Time between calls if a call fails or returns before the job has ended.
constexpr absl::Duration PollInterval = absl::Milliseconds(500);
// Timeout of a request without a deadline; the entry applies the default of the service.
constexpr absl::Duration RequestTimeout = absl::Seconds(60);
// Extra time for an entry to report that the deadline of a request has passed.
constexpr absl::Duration DeadlineMargin = absl::Seconds(2);

constexpr const char *FinalStates[] = {"succeeded", "failed", "cancelled"};

bool failCommandLine(const std::string &message)
{
    core::fail(ResultCode::BadCommandLine, message);
    return false;
}

// Returns the path of a job. Fails with BadField if the id is malformed.
std::optional<std::string> jobPath(const std::string &id)
{
    if (!isSafePathSegment(id))
        return core::fail(ResultCode::BadField, absl::StrCat("'", id, "' is not a job id"));
    return absl::StrCat("/v1/jobs/", id);
}

bool hasEnded(const Json::Value &job)
{
    const std::string state = core::stringMember(job, "state");
    return std::find(std::begin(FinalStates), std::end(FinalStates), state)
        != std::end(FinalStates);
}

void setIfNotEmpty(Json::Value &body, const char *key, const std::string &value)
{
    if (!value.empty())
        body[key] = value;
}

void setIfTrue(Json::Value &body, const char *key, bool value)
{
    if (value)
        body[key] = true;
}

Json::Value jobBody(const JobOptions &options)
{
    Json::Value body;
    body["tasks"] = options.tasks;
    body["accelerators"] = options.accelerators;
    body["cores"] = options.cores;
    body["memoryMb"] = static_cast<Json::Int64>(options.memoryMb);
    setIfNotEmpty(body, "dataCentre", options.dataCentre);
    setIfNotEmpty(body, "team", options.team);
    setIfNotEmpty(body, "adjacency", options.adjacency);
    setIfTrue(body, "hard", options.hard);
    setIfTrue(body, "urgent", options.urgent);
    setIfTrue(body, "repeatable", options.repeatable);
    setIfTrue(body, "checkpointable", options.checkpointable);
    setIfNotEmpty(body, "command", options.command);
    if (options.runTimeSeconds > 0)
        body["runTimeSeconds"] = options.runTimeSeconds;
    return body;
}

std::optional<std::string> readSubmission(const JobOptions &options)
{
    if (options.file.empty())
        return core::writeJson(jobBody(options));
    std::optional<std::string> text = config::readFile(options.file);
    if (!text)
        return std::nullopt;
    const std::optional<Json::Value> body = core::parseJson(*text);
    if (!body)
        return core::fail(core::Reason{
            ResultCode::BadJson, absl::StrCat(options.file, ": ", core::lastReason().message)});
    return core::writeJson(*body);
}

// Prints a job. Fails with the job's result code if it ended without success, so that the code
// determines the exit status.
bool reportJob(Session &session, const Json::Value &job)
{
    print(session, job, memberLines(job));
    const std::string state = core::stringMember(job, "state");
    if (!hasEnded(job) || state == "succeeded")
        return true;
    const auto number = static_cast<int>(core::intMember(job, "code"));
    const ResultCode defaultCode =
        state == "cancelled" ? ResultCode::JobCancelled : ResultCode::JobFailed;
    core::fail(number == 0 ? defaultCode : core::resultCodeFromNumber(number),
               core::stringMember(job, "message"));
    return false;
}

bool isRetryable(ResultCode code)
{
    return core::provablyNotRun(code) || code == ResultCode::ConnectionFailed
        || code == ResultCode::ConnectionLost || code == ResultCode::Timeout;
}

// Polls until the job has ended. Tolerates lost connections until the timeout.
std::optional<Json::Value> waitForEnd(Session &session, const std::string &path,
                                      absl::Duration timeout)
{
    const core::SteadyClock clock;
    const core::Instant deadline = clock.now() + timeout;
    while (true) {
        const absl::Duration left = std::max(deadline - clock.now(), absl::ZeroDuration());
        const std::int64_t seconds =
            std::min(WaitSecondsPerCall, std::max<std::int64_t>(1, absl::ToInt64Seconds(left)));
        ApiCall call("GET", absl::StrCat(path, "?wait=", seconds));
        call.timeout = absl::Seconds(seconds) + CallTimeout;
        std::optional<Json::Value> job = session.api.json(call);
        if (job && hasEnded(*job))
            return job;
        if (!job && !isRetryable(core::lastReason().code))
            return std::nullopt;
        if (clock.now() + PollInterval >= deadline) {
            return core::fail(ResultCode::StillRunning, "the job did not end within --timeout");
        }
        absl::SleepFor(PollInterval);
    }
}

} // namespace

bool submitJob(Session &session, const JobOptions &options)
{
    if (options.file.empty()
        && (options.tasks < 1 || options.accelerators < 0 || options.cores < 1
            || options.memoryMb < 1))
        return failCommandLine(
            "submit requires a FILE, or --tasks, --cores and --memory-mb above zero");
    const std::optional<std::string> body = readSubmission(options);
    if (!body)
        return false;
    // The key keeps a retry on another entry from submitting the job twice.
    const std::string key = options.key.empty() ? core::randomHexId() : options.key;
    ApiCall call("POST", "/v1/jobs", *body);
    call.headers["idempotency-key"] = key;
    const std::optional<Json::Value> response = session.api.json(call);
    if (!response) {
        const core::Reason &reason = core::lastReason();
        if (reason.code == ResultCode::OutcomeUnknown)
            core::fail(reason.code, absl::StrCat(reason.message, "; retry with --key ", key));
        return false;
    }
    if (!options.wait) {
        print(session, *response, memberLines(*response));
        return true;
    }
    const std::optional<std::string> path = jobPath(core::stringMember(*response, "job"));
    if (!path)
        return false;
    if (session.output == OutputFormat::Text)
        session.out << memberLines(*response) << std::flush;
    const std::optional<Json::Value> job =
        waitForEnd(session, *path, absl::Seconds(options.timeoutSeconds));
    return job && reportJob(session, *job);
}

bool showJob(Session &session, const JobOptions &options)
{
    const std::optional<std::string> path = jobPath(options.id);
    if (!path)
        return false;
    const std::optional<Json::Value> job = options.wait
        ? waitForEnd(session, *path, absl::Seconds(options.timeoutSeconds))
        : session.api.json({"GET", *path});
    return job && reportJob(session, *job);
}

bool cancelJob(Session &session, const JobOptions &options)
{
    const std::optional<std::string> path = jobPath(options.id);
    if (!path)
        return false;
    const std::optional<Json::Value> response = session.api.json({"DELETE", *path});
    if (response)
        print(session, *response, memberLines(*response));
    return response.has_value();
}

bool explainJob(Session &session, const JobOptions &options)
{
    const std::optional<std::string> path = jobPath(options.id);
    if (!path)
        return false;
    const std::optional<Json::Value> response = session.api.json({"GET", *path + "/explain"});
    if (response)
        print(session, *response, memberLines(*response));
    return response.has_value();
}

bool sendRequest(Session &session, const RequestOptions &options)
{
    if (!isSafePathSegment(options.service))
        return failCommandLine(absl::StrCat("'", options.service, "' is not a service name"));
    ApiCall call("POST", absl::StrCat("/v1/services/", options.service, "/requests"), options.body);
    call.timeout = RequestTimeout;
    call.headers["x-idempotent"] = options.nonIdempotent ? "false" : "true";
    std::string key = options.key;
    if (key.empty() && options.nonIdempotent)
        key = core::randomHexId();
    if (!key.empty())
        call.headers["idempotency-key"] = key;
    if (options.deadlineMs > 0) {
        call.headers["x-deadline-ms"] = absl::StrCat(options.deadlineMs);
        call.timeout = absl::Milliseconds(options.deadlineMs) + DeadlineMargin;
    }
    const std::optional<http::Response> response = session.api.send(call);
    if (!response) {
        const core::Reason &reason = core::lastReason();
        if (reason.code == ResultCode::OutcomeUnknown && !key.empty())
            core::fail(reason.code, absl::StrCat(reason.message, "; retry with --key ", key));
        return false;
    }
    Json::Value value;
    value["requestId"] = response->headers.count("x-request-id")
        ? response->headers.at("x-request-id")
        : std::string();
    value["answer"] = response->body;
    print(session, value, response->body + "\n");
    return true;
}

} // namespace oleandercross::cli
