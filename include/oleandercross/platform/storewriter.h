#pragma once

#include <oleandercross/core/clock.h>
#include <oleandercross/core/resultcode.h>
#include <oleandercross/platform/tableservice.h>

#include <functional>
#include <memory>

namespace oleandercross::platform {

// Order in which writes get the process's share of the store, from urgent to not urgent.
enum class WritePriority { Lease, GangDecision, Job, Claim, Rest };

enum class WriteOutcome {
    // In effect, exactly once.
    Applied,
    // A condition did not hold; not in effect and never will be.
    Conflict,
    // Not in effect and never will be.
    NotApplied,
    // May be in effect, or may come into effect later.
    Unknown,
};

struct WriteResult
{
    WriteOutcome outcome = WriteOutcome::NotApplied;
    // The version of the rows put, if applied.
    std::int64_t version = 0;
    // Why it was not applied: QueueFull, DeadlineExpired, Draining, or the store's reason.
    core::Reason reason;

    friend bool operator==(const WriteResult &, const WriteResult &) = default;
};

struct StoreWriterOptions
{
    // Names the writer's marker rows; unique among the processes that run at the same time.
    std::string process;
    // The process's share of what the store serves to all its users.
    double writesPerSecond = 12;
    double writeBurst = 12;
    double readsPerSecond = 60;
    double readBurst = 60;
    std::size_t maxQueued = 1000;
    // Writes that are in doubt hold a marker row each; Lease has further rows of its own.
    int slots = 16;
    int leaseSlots = 2;
    // Concurrent calls; one further thread serves only Lease.
    int threads = 4;
    absl::Duration backOff = absl::Milliseconds(20);
    absl::Duration maxBackOff = absl::Seconds(1);
    // Seed of the back-off's jitter.
    std::uint64_t seed = 1;
};

// Options with an equal share of the store for each of `processes` writers, see
// docs/design/store-traffic.md.
StoreWriterOptions storeWriterOptions(std::string process, int processes);

// Counters since the start.
struct StoreWriterStatistics
{
    std::int64_t submitted = 0;
    std::int64_t applied = 0;
    std::int64_t conflicts = 0;
    std::int64_t notApplied = 0;
    std::int64_t unknown = 0;
    std::int64_t writeCalls = 0;
    std::int64_t readCalls = 0;
    std::int64_t queued = 0;

    friend bool operator==(const StoreWriterStatistics &, const StoreWriterStatistics &) = default;
};

// Does all table writes of a process. Every write ends in exactly one outcome. Each transaction
// gets a write id and a marker row, see writemarker.h, whose version is also one of its conditions:
// so of several attempts at most one takes effect, and a lost answer is resolved by reading the
// marker back. Writes of the same process are not ordered among each other. Thread safe.
class StoreWriter
{
public:
    using Done = std::function<void(const WriteResult &)>;

    // The service and the clock must outlive the writer.
    StoreWriter(TableService &tables, const core::Clock &clock, StoreWriterOptions options);
    // Ends the queued writes as not applied or unknown.
    ~StoreWriter();
    StoreWriter(const StoreWriter &) = delete;
    StoreWriter &operator=(const StoreWriter &) = delete;

    // Writes and waits for the outcome, at most `timeout`. An empty write id is filled in.
    WriteResult write(Transaction transaction, WritePriority priority, absl::Duration timeout);

    // Queues a write. `done` is called once, on a thread of the writer or, if the queue is full, on
    // the calling thread; it must not block. The outcome may come later than `timeout` by the
    // table service's own timeout.
    void submit(Transaction transaction, WritePriority priority, absl::Duration timeout, Done done);

    // Reads within the process's share of reads, for which it waits at most `timeout`. Fails with
    // StoreUnavailable.
    std::optional<std::optional<Row>> read(const std::string &key, absl::Duration timeout);
    std::optional<std::vector<Row>> scan(const std::string &prefix, const std::string &after,
                                         int limit, absl::Duration timeout);

    StoreWriterStatistics statistics() const;

private:
    class Private;
    std::unique_ptr<Private> d;
};

} // namespace oleandercross::platform
