#pragma once

#include <oleandercross/core/resultcode.h>
#include <oleandercross/scheduling/job.h>

#include <json/value.h>

#include <optional>
#include <string>
#include <vector>

namespace oleandercross::daemon {

// A job as its row `job/<data centre>/<id>` keeps it; ended jobs move to `done/<data centre>/<id>`.
struct JobRecord
{
    scheduling::JobSpec spec;
    core::DataCentreId dataCentre;
    // What the worker is told to run.
    std::string command;
    // Digest of the submission, to detect a key that is used for another job.
    std::string digest;
    scheduling::JobState state = scheduling::JobState::Waiting;
    core::ResultCode code = core::ResultCode::Ok;
    std::string message;
    int attempt = 0;
    // Of the latest decided start.
    scheduling::Placement placement;
    core::Resources perTask;
    int failures = 0;
    int enlargements = 0;
    // Accelerator time received before the latest start.
    absl::Duration attained;
    // The newest complete checkpoint of each task, empty strings where there is none.
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

// Job ids start with their data centre: "brum.<32 digits>".
std::optional<core::DataCentreId> dataCentreOf(const core::JobId &job);

Json::Value encode(const JobRecord &record);
// Fails with BadField.
std::optional<JobRecord> decodeJobRecord(const std::string &text);

// What callers see of a job.
Json::Value describe(const JobRecord &record);

// The names of states in the API, "waiting" to "cancelled".
std::string name(scheduling::JobState state);

// Parses a submission, checked strictly. Account, id and times are not set. Fails with BadJson,
// BadField or BadSize.
std::optional<JobRecord> parseSubmission(const std::string &body);

} // namespace oleandercross::daemon
