#pragma once

#include <oleandercross/http/message.h>
#include <oleandercross/planning/jobrecord.h>

#include <absl/time/time.h>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace oleandercross::control {

// What a worker reports in each heartbeat.
struct WorkerReport
{
    std::string id;
    // Unix milliseconds of the worker's start; together with the id it identifies one incarnation.
    std::int64_t startedAtMs = 0;
    http::Endpoint address;
    std::string service;
    std::string rack;
    std::string dataCentre;
    std::vector<std::string> labels;
    workload::Demand capacity;
    bool draining = false;
    // While draining: the worker stays available for at least this long.
    absl::Duration drainRemaining = absl::InfiniteDuration();
    // How much longer the worker is slow because it has started recently.
    absl::Duration warmUpRemaining = absl::ZeroDuration();
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
    // Increases within an incarnation of the worker; used to acknowledge the ended run.
    std::int64_t number = 0;
    workload::RunKey run;
    planning::RunEnd how = planning::RunEnd::Completed;
    std::string checkpoint;

    friend bool operator==(const EndedTask &, const EndedTask &) = default;
};

// All runs that are active on a worker, and the ended runs that have not been acknowledged.
struct WorkerRuns
{
    std::int64_t clockMs = 0;
    std::int64_t startedAtMs = 0;
    std::vector<RunningTask> running;
    std::vector<EndedTask> ended;
    // The worker may have more ended runs than it lists at once.
    bool moreEnded = false;

    friend bool operator==(const WorkerRuns &, const WorkerRuns &) = default;
};

struct StartOrder
{
    workload::RunKey run;
    std::string payload;
    std::string checkpoint;
    // The end of the worker's lease on the worker's clock; the lease covers all its runs.
    std::int64_t leaseUntilMs = 0;
    std::int64_t fence = 0;
};

struct RenewOrder
{
    // Ended runs up to this number are stored and can be dropped by the worker.
    std::int64_t acknowledged = 0;
    // Empty if the lease must not be extended.
    std::optional<std::int64_t> leaseUntilMs;
    std::int64_t fence = 0;
    // The worker responds after this time, or earlier when a run ends.
    absl::Duration wait;
};

enum class OrderOutcome {
    // The order has taken effect, now or by an earlier call.
    Done,
    // The order has had no effect; the last reason describes why.
    Refused,
    // No response: the order may have taken effect, or still may.
    Unanswered,
    // The order could not be sent, and has had no effect.
    NotSent,
    // Nothing listens at the worker's address.
    NotListening,
    // Another incarnation of the worker responded. The order has had no effect.
    OtherIncarnation,
    // The worker has seen a larger fencing token; the order has had no effect.
    Fenced,
};

const char *toString(OrderOutcome outcome);

// Calls a worker on the same machine. Implementations are thread safe.
class WorkerPort
{
public:
    virtual ~WorkerPort() = default;

    // Starts a run. Incarnations may share their id and address, but differ in capacity and labels;
    // the order therefore only reaches the given one.
    virtual OrderOutcome start(const WorkerReport &worker, const StartOrder &order,
                               absl::Duration timeout) = 0;
    virtual OrderOutcome stop(const WorkerReport &worker, const workload::RunKey &run,
                              std::int64_t fence, absl::Duration timeout) = 0;
    // Renews the lease, acknowledges ended runs and lists the active and ended runs. `runs` is only
    // valid if the outcome is Done.
    virtual OrderOutcome renew(const WorkerReport &worker, const RenewOrder &order,
                               WorkerRuns &runs, absl::Duration timeout) = 0;
};

} // namespace oleandercross::control
