#pragma once

#include "apiclient.h"

#include <absl/time/time.h>

#include <ostream>
#include <string>

namespace oleandercross::cli {

enum class Output { Text, Json };

// What every subcommand needs. Subcommands return false with the last reason set on failure.
struct Session
{
    ApiClient &api;
    Output output = Output::Text;
    std::ostream &out;
};

// Prints the value on one line in JSON output, or the text.
void print(Session &session, const Json::Value &value, const std::string &text);

struct ManifestOptions
{
    std::string file;
    std::int64_t revision = 0;
    // Negative means the newest revision.
    std::int64_t parent = -1;
    bool wait = false;
    std::string comment;
    std::string writeId;
    int timeoutSeconds = 30;
};

bool checkManifest(Session &session, const ManifestOptions &options);
bool diffManifest(Session &session, const ManifestOptions &options);
bool showManifest(Session &session, const ManifestOptions &options);
bool showHistory(Session &session);
bool commitManifest(Session &session, const ManifestOptions &options);

struct JobOptions
{
    std::string file;
    int tasks = 0;
    int accelerators = 0;
    int cores = 0;
    std::int64_t memoryMb = 0;
    std::string dataCentre;
    std::string team;
    std::string adjacency;
    bool hard = false;
    bool urgent = false;
    bool repeatable = false;
    bool checkpointable = false;
    std::string command;
    int runTimeSeconds = 0;
    std::string key;
    std::string id;
    bool wait = false;
    // Days, because long jobs run for hours and wait before that.
    int timeoutSeconds = 7 * 24 * 3600;
};

bool submitJob(Session &session, const JobOptions &options);
bool showJob(Session &session, const JobOptions &options);
bool cancelJob(Session &session, const JobOptions &options);
bool explainJob(Session &session, const JobOptions &options);

struct RequestOptions
{
    std::string service;
    std::string body;
    bool nonIdempotent = false;
    std::string key;
    std::int64_t deadlineMs = 0;
};

bool sendRequest(Session &session, const RequestOptions &options);

bool showStatus(Session &session);
bool showReport(Session &session);

struct TraceOptions
{
    std::string id;
    std::string from;
};

bool showTrace(Session &session, const TraceOptions &options);

} // namespace oleandercross::cli
