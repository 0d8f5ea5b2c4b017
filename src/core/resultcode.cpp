#include <oleandercross/core/resultcode.h>

#include <algorithm>

namespace oleandercross::core {

namespace {

thread_local Reason lastReasonOfThread;

constexpr int codeClass(ResultCode code)
{
    return static_cast<int>(code) / 100;
}

} // namespace

const std::vector<ResultCodeInfo> &resultCodes()
{
    using enum ResultCode;
    static const std::vector<ResultCodeInfo> codes = {
        {Ok, "Ok", "success"},
        {ConfigSyntax, "ConfigSyntax", "the file is not valid YAML"},
        {ConfigUnknownKey, "ConfigUnknownKey", "a key is not known at this place"},
        {ConfigWrongType, "ConfigWrongType", "a value has the wrong type"},
        {ConfigMissingValue, "ConfigMissingValue", "a required value is missing"},
        {ConfigOutOfRange, "ConfigOutOfRange", "a value is outside its range"},
        {ConfigDuplicateKey, "ConfigDuplicateKey", "a key or name occurs twice"},
        {ConfigUnknownReference, "ConfigUnknownReference", "a name refers to nothing"},
        {ConfigGuaranteesTooLarge, "ConfigGuaranteesTooLarge",
         "the guarantees cannot all be placed at the same time"},
        {ConfigConflict, "ConfigConflict", "another revision was committed first"},
        {ConfigUnreadable, "ConfigUnreadable", "the file cannot be read"},
        {ConfigTooLarge, "ConfigTooLarge", "the file exceeds the size or depth limit"},
        {ConfigNoRevision, "ConfigNoRevision", "the named revision does not exist"},
        {ChartInvalid, "ChartInvalid", "a state chart is invalid"},
        {BadJson, "BadJson", "the body is not valid JSON"},
        {BadField, "BadField", "a field is missing, unknown or of the wrong type"},
        {BadSize, "BadSize", "a size is zero, negative or too large"},
        {UnknownService, "UnknownService", "no such service"},
        {UnknownAccount, "UnknownAccount", "no such client account"},
        {Unauthorized, "Unauthorized", "the token is missing or wrong"},
        {Forbidden, "Forbidden", "the resource belongs to another client account"},
        {BodyTooLarge, "BodyTooLarge", "the body exceeds the limit"},
        {UnknownJob, "UnknownJob", "no such job"},
        {UnknownRequest, "UnknownRequest", "no such request"},
        {DuplicateKey, "DuplicateKey", "the key was used for a different request"},
        {NeverFits, "NeverFits", "the job can never be placed on this cluster"},
        {UnknownTeam, "UnknownTeam", "no such team in the client account"},
        {UnknownPath, "UnknownPath", "no such resource or method"},
        {BadCommandLine, "BadCommandLine", "the command line is wrong"},
        {QueueFull, "QueueFull", "not run: the client account's queue is full"},
        {DeadlineTooClose, "DeadlineTooClose", "not run: the expected wait exceeds the deadline"},
        {DeadlineExpired, "DeadlineExpired", "not run: the deadline passed before the start"},
        {RateLimited, "RateLimited", "not run: the client account's rate limit is exceeded"},
        {Draining, "Draining", "not run: the target is draining"},
        {NoTarget, "NoTarget", "not run: no target serves this service now"},
        {TargetBusy, "TargetBusy", "not run: no free slot on the target"},
        {StaleIncarnation, "StaleIncarnation", "not run: the target restarted meanwhile"},
        {StaleEpoch, "StaleEpoch", "not run: a newer scheduler leads the data centre"},
        {StoreUnavailable, "StoreUnavailable", "not run: the table service is unavailable"},
        {NotReady, "NotReady", "not run: the process is not ready"},
        {Cancelled, "Cancelled", "not run: cancelled before the start"},
        {NoResources, "NoResources", "not run: the worker's resources are taken"},
        {ReservationExpired, "ReservationExpired", "not run: the reservation expired"},
        {NotLeader, "NotLeader", "not run: this entry does not lead the data centre"},
        {TooManyConnections, "TooManyConnections", "not run: too many connections"},
        {StaleConfiguration, "StaleConfiguration",
         "not run: the target cannot confirm its configuration"},
        {DataCentreClosed, "DataCentreClosed", "not run: the data centre is closed"},
        {OutcomeUnknown, "OutcomeUnknown", "unknown: the request may have run"},
        {AnswerNoLongerHeld, "AnswerNoLongerHeld",
         "the request ran earlier and its answer is no longer held"},
        {StillRunning, "StillRunning", "the request is still running"},
        {PlatformError, "PlatformError", "the platform answered with an error"},
        {Timeout, "Timeout", "no answer in time"},
        {ConnectionFailed, "ConnectionFailed", "no connection"},
        {BadAnswer, "BadAnswer", "an answer is malformed, cut or for another request"},
        {VersionConflict, "VersionConflict", "a conditional write found another version"},
        {Internal, "Internal", "internal error"},
        {MinionFailed, "MinionFailed", "the minion ran the request and reported a failure"},
        {ConnectionLost, "ConnectionLost",
         "the connection broke after the message may have been sent"},
        {JobFailed, "JobFailed", "the job failed"},
        {JobFailedEverywhere, "JobFailedEverywhere", "the job failed on several workers"},
        {JobCancelled, "JobCancelled", "the job was cancelled"},
        {JobLostMember, "JobLostMember", "a member was lost and the job is not repeatable"},
        {JobOutgrewLimit, "JobOutgrewLimit", "the job exceeds its declared size too often"},
    };
    return codes;
}

std::string_view name(ResultCode code)
{
    for (const ResultCodeInfo &info : resultCodes()) {
        if (info.code == code)
            return info.name;
    }
    return "Unknown";
}

ResultCode resultCodeFromNumber(int number)
{
    const auto &codes = resultCodes();
    const auto it = std::find_if(codes.begin(), codes.end(), [number](const auto &info) {
        return static_cast<int>(info.code) == number;
    });
    return it == codes.end() ? ResultCode::Internal : it->code;
}

bool provablyNotRun(ResultCode code)
{
    return codeClass(code) == 3;
}

int httpStatus(ResultCode code)
{
    using enum ResultCode;
    switch (code) {
    case Ok:
        return 200;
    case Unauthorized:
        return 401;
    case Forbidden:
        return 403;
    case UnknownService:
    case UnknownAccount:
    case UnknownJob:
    case UnknownRequest:
    case UnknownPath:
    case UnknownTeam:
    case ConfigNoRevision:
        return 404;
    case DuplicateKey:
    case ConfigConflict:
    case StillRunning:
    case AnswerNoLongerHeld:
        return 409;
    case BodyTooLarge:
    case ConfigTooLarge:
        return 413;
    case NeverFits:
        return 422;
    case RateLimited:
    case QueueFull:
        return 429;
    case OutcomeUnknown:
    case Timeout:
    case ConnectionLost:
        return 504;
    case MinionFailed:
    case BadAnswer:
        return 502;
    default:
        break;
    }
    switch (codeClass(code)) {
    case 1:
    case 2:
        return 400;
    case 3:
        return 503;
    case 6:
        return 200;
    default:
        return 500;
    }
}

int exitStatus(ResultCode code)
{
    switch (codeClass(code)) {
    case 0:
        return 0;
    case 1:
        return 7;
    case 2:
        return 2;
    case 3:
        return 3;
    case 4:
        return 4;
    case 6:
        return 6;
    default:
        return 5;
    }
}

std::nullopt_t fail(ResultCode code, std::string message)
{
    lastReasonOfThread = Reason{code, std::move(message)};
    return std::nullopt;
}

std::nullopt_t fail(const Reason &reason)
{
    lastReasonOfThread = reason;
    return std::nullopt;
}

const Reason &lastReason()
{
    return lastReasonOfThread;
}

} // namespace oleandercross::core
