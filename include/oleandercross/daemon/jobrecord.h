#pragma once

#include <oleandercross/core/resultcode.h>
#include <oleandercross/scheduling/job.h>

#include <json/value.h>

#include <optional>
#include <string>
#include <vector>

namespace oleandercross::daemon {

// A job as stored in its row `job/<data centre>/<id>`, or in `done/<data centre>/<id>` once it has
// ended.
struct JobRecord
{
    scheduling::JobSpec spec;
    core::DataCentreId dataCentre;
    // Command line passed to the worker.
    std::string command;
    // Digest of the submission, to detect reuse of a key for a different job.
    std::string digest;
    scheduling::JobState state = scheduling::JobState::Waiting;
    core::ResultCode code = core::ResultCode::Ok;
    std::string message;
    int attempt = 0;
    // Placement and resources of the latest recorded start.
    scheduling::Placement placement;
    core::Resources perTask;
    int failures = 0;
    int enlargements = 0;
    // Accelerator time used before the latest start.
    absl::Duration attained;
    // The newest complete checkpoint of each task; an empty string if there is none.
    std::vector<std::string> checkpoints;
    bool cancelRequested = false;
    std::int64_t submittedAtMicros = 0;
    std::int64_t startedAtMicros = 0;
    std::int64_t endedAtMicros = 0;

    friend bool operator==(const JobRecord &, const JobRecord &) = default;
};

std::string jobKey(const core::DataCentreId &dataCentre, const core::JobId &job);
std::string jobPrefix(const core::DataCentreId &dataCentre);
std::string doneKey(const core::DataCentreId &dataCentre, const core::JobId &job);
// Returns the key of the row that keeps the account's submissions of the job from being stored,
// since it was cancelled before.
std::string earlyCancelKey(const core::JobId &job, const core::AccountId &account);

// Returns the data centre in a job id, such as `brum` in "brum.<32 hexadecimal digits>". Fails with
// UnknownJob.
std::optional<core::DataCentreId> dataCentreOf(const core::JobId &job);

Json::Value encode(const JobRecord &record);
// Fails with BadField.
std::optional<JobRecord> decodeJobRecord(const std::string &text);

// Returns the JSON form of a job in API replies.
Json::Value describe(const JobRecord &record);

// Returns the name of a state in the API, "waiting" to "cancelled".
std::string name(scheduling::JobState state);

// Parses a submission and rejects unknown fields. Account, id and times are not set. Fails with
// BadJson, BadField or BadSize.
std::optional<JobRecord> parseSubmission(const std::string &body);

} // namespace oleandercross::daemon
