#pragma once

#include "apiclient.h"

#include <absl/time/time.h>

#include <ostream>
#include <string>

namespace oleandercross::cli {

enum class OutputFormat { Text, Json };

// The context of a subcommand. Subcommands return false on failure and set core::lastReason().
struct Session
{
    ApiClient &api;
    OutputFormat output = OutputFormat::Text;
    std::ostream &out;
};

// Prints the value as one line of JSON or the text, depending on the output format.
void print(Session &session, const Json::Value &value, const std::string &text);

struct ManifestOptions
{
    std::string file;
    std::int64_t revision = 0;
    // A negative number means the newest revision.
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
    // 7 days, because long jobs are queued and run for hours.
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
