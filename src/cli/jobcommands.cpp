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

// Time that an entry waits for a job's end in one call; the API allows at most 60 s.
constexpr std::int64_t WaitSecondsPerCall = 30;
// Time between calls when an entry failed or answered before the end.
constexpr absl::Duration PollPause = absl::Milliseconds(500);
// Time for a request without a deadline of its own; the service's default applies on the entry.
constexpr absl::Duration RequestTimeout = absl::Seconds(60);
// Time for an entry to report that a request's deadline passed.
constexpr absl::Duration DeadlineMargin = absl::Seconds(2);

constexpr const char *FinalStates[] = {"succeeded", "failed", "cancelled"};

bool badLine(const std::string &message)
{
    core::fail(ResultCode::BadCommandLine, message);
    return false;
}

// The path of a job, or nothing if the id cannot be one.
std::optional<std::string> jobPath(const std::string &id)
{
    if (!safeInPath(id))
        return core::fail(ResultCode::BadField, absl::StrCat("'", id, "' is not a job id"));
    return absl::StrCat("/v1/jobs/", id);
}

bool ended(const Json::Value &job)
{
    const std::string state = core::stringMember(job, "state");
    return std::find(std::begin(FinalStates), std::end(FinalStates), state)
        != std::end(FinalStates);
}

void putText(Json::Value &body, const char *key, const std::string &value)
{
    if (!value.empty())
        body[key] = value;
}

void putFlag(Json::Value &body, const char *key, bool value)
{
    if (value)
        body[key] = true;
}

Json::Value bodyOf(const JobOptions &options)
{
    Json::Value body;
    body["tasks"] = options.tasks;
    body["accelerators"] = options.accelerators;
    body["cores"] = options.cores;
    body["memoryMb"] = static_cast<Json::Int64>(options.memoryMb);
    putText(body, "dataCentre", options.dataCentre);
    putText(body, "team", options.team);
    putText(body, "adjacency", options.adjacency);
    putFlag(body, "hard", options.hard);
    putFlag(body, "urgent", options.urgent);
    putFlag(body, "repeatable", options.repeatable);
    putFlag(body, "checkpointable", options.checkpointable);
    putText(body, "command", options.command);
    if (options.runTimeSeconds > 0)
        body["runTimeSeconds"] = options.runTimeSeconds;
    return body;
}

std::optional<std::string> submission(const JobOptions &options)
{
    if (options.file.empty())
        return core::writeJson(bodyOf(options));
    std::optional<std::string> text = config::readFile(options.file);
    if (!text)
        return std::nullopt;
    const std::optional<Json::Value> body = core::parseJson(*text);
    if (!body)
        return core::fail(core::Reason{
            ResultCode::BadJson, absl::StrCat(options.file, ": ", core::lastReason().message)});
    return core::writeJson(*body);
}

// An ended job's result code decides the exit status.
bool reportJob(Session &session, const Json::Value &job)
{
    print(session, job, memberLines(job));
    const std::string state = core::stringMember(job, "state");
    if (!ended(job) || state == "succeeded")
        return true;
    const auto number = static_cast<int>(core::intMember(job, "code"));
    const ResultCode unexplained =
        state == "cancelled" ? ResultCode::JobCancelled : ResultCode::JobFailed;
    core::fail(number == 0 ? unexplained : core::resultCodeFromNumber(number),
               core::stringMember(job, "message"));
    return false;
}

bool worthPolling(ResultCode code)
{
    return core::provablyNotRun(code) || code == ResultCode::ConnectionFailed
        || code == ResultCode::ConnectionLost || code == ResultCode::Timeout;
}

// Polls until the job ended. Lost connections are tolerated until the time is over.
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
        if (job && ended(*job))
            return job;
        if (!job && !worthPolling(core::lastReason().code))
            return std::nullopt;
        if (clock.now() + PollPause >= deadline) {
            return core::fail(ResultCode::StillRunning,
                              "the job did not end within the time of --timeout");
        }
        absl::SleepFor(PollPause);
    }
}

} // namespace

bool submitJob(Session &session, const JobOptions &options)
{
    if (options.file.empty()
        && (options.tasks < 1 || options.accelerators < 0 || options.cores < 1
            || options.memoryMb < 1))
        return badLine("submit needs a FILE, or --tasks, --cores and --memory-mb above zero");
    const std::optional<std::string> body = submission(options);
    if (!body)
        return false;
    // The same key on every entry keeps a job from being accepted twice.
    const std::string key = options.key.empty() ? core::randomHexId() : options.key;
    ApiCall call("POST", "/v1/jobs", *body);
    call.headers["idempotency-key"] = key;
    const std::optional<Json::Value> answer = session.api.json(call);
    if (!answer) {
        const core::Reason &reason = core::lastReason();
        if (reason.code == ResultCode::OutcomeUnknown)
            core::fail(reason.code,
                       absl::StrCat(reason.message, "; run it again with --key ", key));
        return false;
    }
    if (!options.wait) {
        print(session, *answer, memberLines(*answer));
        return true;
    }
    const std::optional<std::string> path = jobPath(core::stringMember(*answer, "job"));
    if (!path)
        return false;
    if (session.output == Output::Text)
        session.out << memberLines(*answer) << std::flush;
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
    const std::optional<Json::Value> answer = session.api.json({"DELETE", *path});
    if (answer)
        print(session, *answer, memberLines(*answer));
    return answer.has_value();
}

bool explainJob(Session &session, const JobOptions &options)
{
    const std::optional<std::string> path = jobPath(options.id);
    if (!path)
        return false;
    const std::optional<Json::Value> answer = session.api.json({"GET", *path + "/explain"});
    if (answer)
        print(session, *answer, memberLines(*answer));
    return answer.has_value();
}

bool sendRequest(Session &session, const RequestOptions &options)
{
    if (!safeInPath(options.service))
        return badLine(absl::StrCat("'", options.service, "' is not a service name"));
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
            core::fail(reason.code, absl::StrCat(reason.message, "; ask again with --key ", key));
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
