#pragma once

#include <oleandercross/core/clock.h>
#include <oleandercross/core/resultcode.h>
#include <oleandercross/platform/tableservice.h>

#include <functional>
#include <memory>

namespace oleandercross::platform {

// Order in which writes use the process's share of the store's rate, from most to least urgent.
enum class WritePriority { Lease, GangDecision, Job, Claim, Other };

enum class WriteOutcome {
    // Took effect exactly once.
    Applied,
    // A condition did not hold. The write did not and will not take effect.
    Conflict,
    // Did not and will not take effect.
    NotApplied,
    // May have taken effect, or may still take effect later.
    Unknown,
};

struct WriteResult
{
    WriteOutcome outcome = WriteOutcome::NotApplied;
    // Version of the rows written, if applied.
    std::int64_t version = 0;
    // Why the write was not applied: QueueFull, DeadlineExpired, Draining or the store's reason.
    core::Reason reason;

    friend bool operator==(const WriteResult &, const WriteResult &) = default;
};

struct StoreWriterOptions
{
    // Part of the keys of the marker rows. Unique among the processes that run at the same time.
    std::string process;
    // The process's share of the rate that the store serves to all clients.
    double writesPerSecond = 12;
    double writeBurst = 12;
    double readsPerSecond = 60;
    double readBurst = 60;
    std::size_t maxQueued = 1000;
    // Numbers of marker rows. Each write in doubt holds one; additional rows are reserved for
    // writes of priority Lease.
    int markerSlots = 16;
    int leaseMarkerSlots = 2;
    // Number of concurrent calls. An additional thread serves only writes of priority Lease.
    int threads = 4;
    absl::Duration backOff = absl::Milliseconds(20);
    absl::Duration maxBackOff = absl::Seconds(1);
    // Seed of the back-off jitter.
    std::uint64_t seed = 1;
};

// Returns options that give each of `processes` writers an equal share of the store, see
// docs/design/store-traffic.md.
StoreWriterOptions storeWriterOptions(std::string process, int processes);

// Counters since the start, except `queued`, which is the current number of pending writes.
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

// Performs all table writes of a process. Every write ends with exactly one outcome. Each
// transaction gets a write id and a marker row, see writemarker.h. The version of that row is one
// of the transaction's conditions, so at most one of several attempts takes effect, and a lost
// response is resolved by reading the row. Writes are not ordered among each other. Thread-safe.
class StoreWriter
{
public:
    using Callback = std::function<void(const WriteResult &)>;

    // The table service and the clock must outlive the writer.
    StoreWriter(TableService &tables, const core::Clock &clock, StoreWriterOptions options);
    // Completes the pending writes with the outcome NotApplied or Unknown.
    ~StoreWriter();
    StoreWriter(const StoreWriter &) = delete;
    StoreWriter &operator=(const StoreWriter &) = delete;

    // Writes and waits at most `timeout` for the outcome. Generates a write id if it is empty.
    WriteResult write(Transaction transaction, WritePriority priority, absl::Duration timeout);

    // Queues a write. `done` is called exactly once and must not block. It runs on a thread of the
    // writer, or on the calling thread if the queue is full. The outcome may exceed `timeout` by
    // the timeout of the table service.
    void submit(Transaction transaction, WritePriority priority, absl::Duration timeout,
                Callback done);

    // Reads within the process's share of the read rate, waiting at most `timeout` for a token.
    // Fails with StoreUnavailable.
    std::optional<std::optional<Row>> read(const std::string &key, absl::Duration timeout);
    std::optional<std::vector<Row>> scan(const std::string &prefix, const std::string &after,
                                         int limit, absl::Duration timeout);

    StoreWriterStatistics statistics() const;

private:
    class Private;
    std::unique_ptr<Private> d;
};

} // namespace oleandercross::platform
