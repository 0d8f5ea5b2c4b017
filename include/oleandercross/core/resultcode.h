#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace oleandercross::core {

// Result codes of all operations. The hundreds digit is the class: 1xx configuration, 2xx bad
// request, 3xx not run, 4xx unknown outcome, 5xx platform and internal errors, 6xx job outcomes.
// docs/RESULT_CODES.md lists them; a test checks that the page matches this table.
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
    DataCentreClosed = 318,

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

// Returns all codes in ascending order.
const std::vector<ResultCodeInfo> &resultCodes();

// Returns the name of a code as printed in errors and logs, or "Unknown" if the code is not in the
// table.
std::string_view name(ResultCode code);

// Returns the code with this number, or Internal if it is unknown, as from a newer version of the
// peer.
ResultCode resultCodeFromNumber(int number);

// Returns true for class 3xx: the request or job definitely did not run.
bool provablyNotRun(ResultCode code);

// Returns the HTTP status of API responses with this code.
int httpStatus(ResultCode code);

// Returns the process exit status for a code: 0 success, 2 bad input, 3 not run, 4 unknown outcome,
// 5 platform or internal error, 6 job failed, 7 configuration rejected.
int exitStatus(ResultCode code);

// The error of an operation that returned no value.
struct Reason
{
    ResultCode code = ResultCode::Ok;
    std::string message;

    friend bool operator==(const Reason &, const Reason &) = default;
};

// Stores the reason for the calling thread and returns an empty optional:
// `return fail(ResultCode::BadField, "tasks must be positive");`
std::nullopt_t fail(ResultCode code, std::string message);
std::nullopt_t fail(const Reason &reason);

// Returns the reason of the latest failure on the calling thread. Only meaningful directly after a
// function that reports errors through fail() has failed.
const Reason &lastReason();

} // namespace oleandercross::core
