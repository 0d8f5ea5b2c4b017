#pragma once

#include <oleandercross/platform/storewriter.h>
#include <oleandercross/platform/tokenbucket.h>

#include <map>
#include <random>
#include <string>
#include <utility>
#include <vector>

namespace oleandercross::platform::detail {

// A call that the queue asks for: a read of a key, or a transaction.
struct StoreCall
{
    std::uint64_t id = 0;
    WritePriority priority = WritePriority::Rest;
    bool isRead = false;
    std::string key;
    Transaction transaction;
};

struct FinishedWrite
{
    std::uint64_t id = 0;
    WriteResult result;
};

// The decisions of StoreWriter without threads or connections: takes writes and the results of
// calls, gives out calls and outcomes. Not thread safe.
class WriteQueue
{
public:
    explicit WriteQueue(StoreWriterOptions options);

    // Queues a write and returns its id.
    std::uint64_t submit(Transaction transaction, WritePriority priority, core::Instant deadline);

    // The next call to make, if one is due. Each call must be answered by onRead() or onWrite().
    std::optional<StoreCall> nextCall(core::Instant now, bool leaseOnly);

    // When nextCall() may return something again unless the queue changes before.
    core::Instant nextDue(core::Instant now, bool leaseOnly);

    void onRead(std::uint64_t id, const std::optional<std::optional<Row>> &row, core::Instant now);
    void onWrite(std::uint64_t id, std::optional<std::int64_t> version, const core::Reason &reason,
                 core::Instant now);

    // Ends writes whose deadline has passed, also those with a call in progress.
    void expire(core::Instant now);

    // Ends all writes.
    void stop();

    // Takes a token for a read that is not the queue's own, or tells when to try again.
    std::optional<core::Instant> takeRead(core::Instant now);

    // The writes that ended since the last call.
    std::vector<FinishedWrite> takeFinished();

    // True if a write has no call in progress.
    bool hasWaiting() const { return m_calling < m_pending.size(); }

    bool hasFinished() const { return !m_finished.empty(); }

    StoreWriterStatistics statistics() const;

private:
    enum class Step { ReadMarker, Write, Fence };

    // A marker row of this process.
    struct Slot
    {
        static constexpr std::int64_t Unknown = -1;

        bool taken = false;
        std::int64_t version = Unknown;
        // Ids of writes that ended as unknown and may still arrive.
        std::vector<std::string> inDoubt;
    };

    struct PendingWrite
    {
        std::uint64_t id = 0;
        Transaction transaction;
        WritePriority priority = WritePriority::Rest;
        core::Instant deadline;
        core::Instant notBefore = absl::InfinitePast();
        int slot = -1;
        Step step = Step::Write;
        bool calling = false;
        // The outcome has been reported while a call was in progress.
        bool abandoned = false;
        // An earlier attempt may be in effect or come into effect.
        bool inDoubt = false;
        // The transaction can no longer succeed; this is its outcome if no attempt is in effect.
        std::optional<WriteResult> refused;
        int failures = 0;
    };

    using Key = std::pair<WritePriority, std::uint64_t>;

    bool makeRoom(WritePriority priority);
    int freeSlot(WritePriority priority) const;
    void takeSlot(PendingWrite &write, int slot);
    void releaseSlot(PendingWrite &write);
    std::string markerKey(int slot) const;
    StoreCall callFor(PendingWrite &write);
    Transaction fence(const PendingWrite &write) const;
    Transaction withMarker(const PendingWrite &write) const;
    PendingWrite *find(std::uint64_t id);
    // The write whose call has been answered; null if its outcome was reported before.
    PendingWrite *answered(std::uint64_t id);
    void onMarker(PendingWrite &write, const std::optional<Row> &row, core::Instant now);
    void onMarkerChanged(PendingWrite &write, const Row &row, core::Instant now);
    void onRefused(PendingWrite &write, const core::Reason &reason);
    void retry(PendingWrite &write, Step step, core::Instant now);
    absl::Duration backOff(int failures);
    void finish(PendingWrite &write, WriteResult result);
    void report(PendingWrite &write, WriteResult result);
    WriteResult unfinished(const PendingWrite &write, core::ResultCode code) const;

    const StoreWriterOptions m_options;
    TokenBucket m_writes;
    TokenBucket m_reads;
    std::mt19937_64 m_random;
    std::uint64_t m_lastId = 0;
    std::size_t m_calling = 0;
    std::vector<Slot> m_slots;
    std::map<Key, PendingWrite> m_pending;
    std::map<std::uint64_t, WritePriority> m_priorities;
    std::vector<FinishedWrite> m_finished;
    StoreWriterStatistics m_statistics;
};

} // namespace oleandercross::platform::detail
