#pragma once

#include <oleandercross/platform/storewriter.h>
#include <oleandercross/platform/tokenbucket.h>

#include <map>
#include <random>
#include <string>
#include <utility>
#include <vector>

namespace oleandercross::platform::detail {

// A call to be made for the queue: either a read of `key` or a write of `transaction`.
struct StoreCall
{
    std::uint64_t id = 0;
    WritePriority priority = WritePriority::Other;
    bool isRead = false;
    std::string key;
    Transaction transaction;
};

struct FinishedWrite
{
    std::uint64_t id = 0;
    WriteResult result;
};

// The logic of StoreWriter without threads or connections. Its inputs are writes and the results of
// calls; its outputs are calls to make and outcomes of writes. Not thread-safe.
class WriteQueue
{
public:
    explicit WriteQueue(StoreWriterOptions options);

    // Queues a write and returns its id.
    std::uint64_t submit(Transaction transaction, WritePriority priority, core::Instant deadline);

    // Returns the next call to make, if one is due. The result of each call must be passed to
    // onRead() or onWrite().
    std::optional<StoreCall> nextCall(core::Instant now, bool leaseOnly);

    // Returns the time at which nextCall() may return a call again if the queue does not change
    // earlier.
    core::Instant nextDue(core::Instant now, bool leaseOnly);

    void onRead(std::uint64_t id, const std::optional<std::optional<Row>> &row, core::Instant now);
    void onWrite(std::uint64_t id, std::optional<std::int64_t> version, const core::Reason &reason,
                 core::Instant now);

    // Completes writes whose deadline has passed, including those with a call in flight.
    void expire(core::Instant now);

    // Completes all writes.
    void stop();

    // Takes a token for a read outside of the queue. Returns the time of the next attempt if no
    // token is available.
    std::optional<core::Instant> takeReadToken(core::Instant now);

    // Returns the writes completed since the last call.
    std::vector<FinishedWrite> takeFinished();

    // Returns true if a write has no call in flight.
    bool hasWaiting() const { return m_callsInFlight < m_pending.size(); }

    bool hasFinished() const { return !m_finished.empty(); }

    StoreWriterStatistics statistics() const;

private:
    enum class Step { ReadMarker, Write, Fence };

    // A marker row of this process.
    struct MarkerSlot
    {
        static constexpr std::int64_t Unknown = -1;

        bool inUse = false;
        std::int64_t version = Unknown;
        // Ids of writes whose outcome is unknown and which may still reach the store.
        std::vector<std::string> inDoubt;
    };

    struct PendingWrite
    {
        std::uint64_t id = 0;
        Transaction transaction;
        WritePriority priority = WritePriority::Other;
        core::Instant deadline;
        core::Instant notBefore = absl::InfinitePast();
        int slot = -1;
        Step step = Step::Write;
        bool callInFlight = false;
        // The outcome was reported while a call was still in flight.
        bool abandoned = false;
        // An earlier attempt may have taken effect or may still do so.
        bool inDoubt = false;
        // Set once the store rejected the transaction: the outcome if no attempt took effect.
        std::optional<WriteResult> rejection;
        int failures = 0;
    };

    using Key = std::pair<WritePriority, std::uint64_t>;

    bool ensureCapacity(WritePriority priority);
    int freeSlot(WritePriority priority) const;
    void acquireSlot(PendingWrite &write, int slot);
    void releaseSlot(PendingWrite &write);
    std::string markerKey(int slot) const;
    StoreCall makeCall(PendingWrite &write);
    Transaction fence(const PendingWrite &write) const;
    Transaction withMarker(const PendingWrite &write) const;
    PendingWrite *find(std::uint64_t id);
    // Ends the call in flight of a write and returns the write, or null if its outcome was already
    // reported.
    PendingWrite *completeCall(std::uint64_t id);
    void onMarker(PendingWrite &write, const std::optional<Row> &row, core::Instant now);
    void onMarkerChanged(PendingWrite &write, const Row &row, core::Instant now);
    void onRejected(PendingWrite &write, const core::Reason &reason);
    void retry(PendingWrite &write, Step step, core::Instant now);
    absl::Duration backOff(int failures);
    void finish(PendingWrite &write, WriteResult result);
    void report(PendingWrite &write, WriteResult result);
    WriteResult abortedResult(const PendingWrite &write, core::ResultCode code) const;

    const StoreWriterOptions m_options;
    TokenBucket m_writes;
    TokenBucket m_reads;
    std::mt19937_64 m_random;
    std::uint64_t m_lastId = 0;
    std::size_t m_callsInFlight = 0;
    std::vector<MarkerSlot> m_markerSlots;
    std::map<Key, PendingWrite> m_pending;
    std::map<std::uint64_t, WritePriority> m_priorities;
    std::vector<FinishedWrite> m_finished;
    StoreWriterStatistics m_statistics;
};

} // namespace oleandercross::platform::detail
