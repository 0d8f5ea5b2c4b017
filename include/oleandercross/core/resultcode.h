#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace oleandercross::core {

// Numbered results of every operation. The hundreds give the class: 1xx configuration, 2xx bad
// request, 3xx not run, 4xx unknown, 5xx platform and internal, 6xx job outcomes.
// docs/RESULT_CODES.md lists them; a test compares the page with this table.
enum class ResultCode : int {
    Ok = 0,

    ConfigSyntax = 101,
    ConfigUnknownKey = 102,
    ConfigWrongType = 103,
    ConfigMissingValue = 104,
    ConfigOutOfRange = 105,
    ConfigDuplicateKey = 106,
    ConfigUnknownReference = 107,
    ConfigGuaranteesTooLarge = 108,
    ConfigConflict = 109,
    ConfigUnreadable = 110,
    ConfigTooLarge = 111,
    ConfigNoRevision = 112,
    ChartInvalid = 120,

    BadJson = 201,
    BadField = 202,
    BadSize = 203,
    UnknownService = 204,
    UnknownAccount = 205,
    Unauthorized = 206,
    Forbidden = 207,
    BodyTooLarge = 208,
    UnknownJob = 209,
    UnknownRequest = 210,
    DuplicateKey = 211,
    NeverFits = 212,
    UnknownTeam = 213,
    UnknownPath = 214,
    BadCommandLine = 215,

    QueueFull = 301,
    DeadlineTooClose = 302,
    DeadlineExpired = 303,
    RateLimited = 304,
    Draining = 305,
    NoTarget = 306,
    TargetBusy = 307,
    StaleIncarnation = 308,
    StaleEpoch = 309,
    StoreUnavailable = 310,
    NotReady = 311,
    Cancelled = 312,
    NoResources = 313,
    ReservationExpired = 314,
    NotLeader = 315,
    TooManyConnections = 316,
    StaleConfiguration = 317,

    OutcomeUnknown = 401,
    AnswerNoLongerHeld = 402,
    StillRunning = 403,

    PlatformError = 501,
    Timeout = 502,
    ConnectionFailed = 503,
    BadAnswer = 504,
    VersionConflict = 505,
    Internal = 506,
    MinionFailed = 507,
    ConnectionLost = 508,

    JobFailed = 601,
    JobFailedEverywhere = 602,
    JobCancelled = 603,
    JobLostMember = 604,
    JobOutgrewLimit = 605,
};

struct ResultCodeInfo
{
    ResultCode code;
    std::string_view name;
    std::string_view meaning;
};

// All codes in ascending order.
const std::vector<ResultCodeInfo> &resultCodes();

// The name of a code as printed in errors and logs, "Unknown" for a number that is not in the
// table.
std::string_view name(ResultCode code);

// The code with this number, or Internal if there is none (a newer peer may send it).
ResultCode resultCodeFromNumber(int number);

// True for the class 3xx: the request or job provably did not run.
bool provablyNotRun(ResultCode code);

// The HTTP status that callers see for a code.
int httpStatus(ResultCode code);

// The shell exit status for a code: 0 success, 2 bad input, 3 not run, 4 unknown outcome,
// 5 platform or internal error, 6 job failed, 7 configuration refused.
int exitStatus(ResultCode code);

// Why an operation returned no value.
struct Reason
{
    ResultCode code = ResultCode::Ok;
    std::string message;

    friend bool operator==(const Reason &, const Reason &) = default;
};

// Records the reason for the calling thread and returns an empty optional:
// `return fail(ResultCode::BadField, "tasks must be positive");`
std::nullopt_t fail(ResultCode code, std::string message);
std::nullopt_t fail(const Reason &reason);

// The reason of the latest failure on the calling thread. Only meaningful directly after a function
// of this project returned an empty optional.
const Reason &lastReason();

} // namespace oleandercross::core
