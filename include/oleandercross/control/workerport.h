#pragma once

#include <oleandercross/http/message.h>
#include <oleandercross/planning/jobrecord.h>

#include <absl/time/time.h>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace oleandercross::control {

// What a worker says of itself with each heartbeat.
struct WorkerReport
{
    std::string id;
    // Unix milliseconds of the worker's start; together with the id it names one life.
    std::int64_t bornMs = 0;
    http::Endpoint address;
    std::string service;
    std::string rack;
    std::vector<std::string> labels;
    workload::Demand capacity;
    bool draining = false;
    // While draining: the worker stays at least this long.
    absl::Duration leavesIn = absl::InfiniteDuration();
    std::int64_t sequence = 0;
    // The worker's own steady clock.
    std::int64_t clockMs = 0;

    friend bool operator==(const WorkerReport &, const WorkerReport &) = default;
};

struct RunningTask
{
    workload::RunKey run;
    std::string checkpoint;
    int percent = 0;

    friend bool operator==(const RunningTask &, const RunningTask &) = default;
};

struct EndedTask
{
    // Rises within a life of the worker; used to acknowledge the end.
    std::int64_t number = 0;
    workload::RunKey run;
    planning::RunEnd how = planning::RunEnd::Completed;
    std::string checkpoint;

    friend bool operator==(const EndedTask &, const EndedTask &) = default;
};

// All that runs on a worker, and the ends that were not acknowledged.
struct WorkerRuns
{
    std::int64_t clockMs = 0;
    std::int64_t bornMs = 0;
    std::vector<RunningTask> running;
    std::vector<EndedTask> ended;

    friend bool operator==(const WorkerRuns &, const WorkerRuns &) = default;
};

struct StartOrder
{
    workload::RunKey run;
    std::string payload;
    std::string checkpoint;
    // On the worker's clock; the lease of everything that runs there.
    std::int64_t leaseUntilMs = 0;
    std::int64_t fence = 0;
};

struct RenewOrder
{
    // Ends up to this number are recorded and can be forgotten.
    std::int64_t acknowledged = 0;
    // Absent if the lease must not be extended.
    std::optional<std::int64_t> leaseUntilMs;
    std::int64_t fence = 0;
    // The worker answers early when a run ends.
    absl::Duration wait;
};

enum class OrderOutcome {
    // Done, or it had been done before.
    Done,
    // The worker has done nothing, see the last reason.
    Refused,
    // No answer: it may have been done, or may still be.
    Unanswered,
    // Nothing listens at the worker's address.
    Gone,
    // Another life of the worker answered.
    OtherLife,
};

const char *toString(OrderOutcome outcome);

// Calls to one worker, from its own machine. Implementations are thread safe.
class WorkerPort
{
public:
    virtual ~WorkerPort() = default;

    virtual OrderOutcome start(const WorkerReport &worker, const StartOrder &order,
                               absl::Duration timeout) = 0;
    virtual OrderOutcome stop(const WorkerReport &worker, const workload::RunKey &run,
                              std::int64_t fence, absl::Duration timeout) = 0;
    // Renews the lease, acknowledges ends and lists what runs and what ended. `runs` is only valid
    // if the outcome is Done.
    virtual OrderOutcome renew(const WorkerReport &worker, const RenewOrder &order,
                               WorkerRuns &runs, absl::Duration timeout) = 0;
};

} // namespace oleandercross::control
