#include <oleandercross/platform/detail/writequeue.h>

#include <oleandercross/core/digest.h>
#include <oleandercross/platform/writemarker.h>

#include <absl/strings/str_cat.h>

#include <algorithm>

namespace oleandercross::platform::detail {

namespace {

// Number of ids in doubt that are kept for each marker row. A write with an older id that takes
// effect late is treated as a write of another process.
constexpr std::size_t MaxInDoubt = 64;
constexpr char FenceSuffix[] = "/fence";
// Prevents overflow; the back-off reaches its maximum earlier with any reasonable settings.
constexpr int MaxBackOffDoublings = 20;

} // namespace

WriteQueue::WriteQueue(StoreWriterOptions options)
    : m_options(std::move(options))
    , m_writes(m_options.writesPerSecond, m_options.writeBurst)
    , m_reads(m_options.readsPerSecond, m_options.readBurst)
    , m_random(m_options.seed)
    , m_markerSlots(static_cast<std::size_t>(m_options.leaseMarkerSlots + m_options.markerSlots))
{ }

std::uint64_t WriteQueue::submit(Transaction transaction, WritePriority priority,
                                 core::Instant deadline)
{
    PendingWrite write;
    write.id = ++m_lastId;
    write.transaction = std::move(transaction);
    if (write.transaction.writeId.empty())
        write.transaction.writeId = core::randomHexId();
    write.priority = priority;
    write.deadline = deadline;
    ++m_statistics.submitted;
    if (!ensureCapacity(priority)) {
        report(write, abortedResult(write, core::ResultCode::QueueFull));
        return write.id;
    }
    const std::uint64_t id = write.id;
    m_priorities.emplace(id, priority);
    m_pending.emplace(Key(priority, id), std::move(write));
    return id;
}

// Returns whether a write of this priority can be queued. If the queue is full, drops the newest of
// the least urgent writes that were not attempted yet, provided that it is less urgent.
bool WriteQueue::ensureCapacity(WritePriority priority)
{
    if (m_pending.size() < m_options.maxQueued)
        return true;
    for (auto it = m_pending.rbegin(); it != m_pending.rend() && it->first.first > priority; ++it) {
        PendingWrite &write = it->second;
        if (write.slot >= 0 || write.callInFlight)
            continue;
        finish(write, abortedResult(write, core::ResultCode::QueueFull));
        return true;
    }
    return false;
}

int WriteQueue::freeSlot(WritePriority priority) const
{
    const int first = priority == WritePriority::Lease ? 0 : m_options.leaseMarkerSlots;
    for (int i = first; i < static_cast<int>(m_markerSlots.size()); ++i) {
        if (!m_markerSlots[i].inUse)
            return i;
    }
    return -1;
}

void WriteQueue::acquireSlot(PendingWrite &write, int slot)
{
    write.slot = slot;
    m_markerSlots[slot].inUse = true;
    const bool known = m_markerSlots[slot].version != MarkerSlot::Unknown;
    write.step = known ? Step::Write : Step::ReadMarker;
}

void WriteQueue::releaseSlot(PendingWrite &write)
{
    if (write.slot < 0)
        return;
    m_markerSlots[write.slot].inUse = false;
    write.slot = -1;
}

std::string WriteQueue::markerKey(int slot) const
{
    return absl::StrCat(WriteMarkerPrefix, m_options.process, "/", slot);
}

std::optional<StoreCall> WriteQueue::nextCall(core::Instant now, bool leaseOnly)
{
    for (auto &[key, write] : m_pending) {
        if (leaseOnly && write.priority != WritePriority::Lease)
            break;
        if (write.callInFlight || write.notBefore > now || write.deadline <= now)
            continue;
        if (write.slot < 0) {
            const int slot = freeSlot(write.priority);
            if (slot < 0)
                continue;
            acquireSlot(write, slot);
        }
        TokenBucket &bucket = write.step == Step::ReadMarker ? m_reads : m_writes;
        // Less urgent writes must not take the token that this write is waiting for.
        if (!bucket.take(now))
            return std::nullopt;
        return makeCall(write);
    }
    return std::nullopt;
}

StoreCall WriteQueue::makeCall(PendingWrite &write)
{
    write.callInFlight = true;
    ++m_callsInFlight;
    StoreCall call;
    call.id = write.id;
    call.priority = write.priority;
    call.isRead = write.step == Step::ReadMarker;
    if (call.isRead) {
        ++m_statistics.readCalls;
        call.key = markerKey(write.slot);
        return call;
    }
    ++m_statistics.writeCalls;
    call.transaction = write.step == Step::Fence ? fence(write) : withMarker(write);
    return call;
}

Transaction WriteQueue::withMarker(const PendingWrite &write) const
{
    Transaction transaction = write.transaction;
    const std::string key = markerKey(write.slot);
    transaction.conditions.push_back({key, m_markerSlots[write.slot].version});
    transaction.puts.push_back({key, transaction.writeId});
    return transaction;
}

// Returns a transaction that changes only the marker row, after which no earlier attempt of the
// write can take effect.
Transaction WriteQueue::fence(const PendingWrite &write) const
{
    const std::string key = markerKey(write.slot);
    Transaction transaction;
    transaction.writeId = write.transaction.writeId + FenceSuffix;
    transaction.conditions.push_back({key, m_markerSlots[write.slot].version});
    transaction.puts.push_back({key, transaction.writeId});
    return transaction;
}

core::Instant WriteQueue::nextDue(core::Instant now, bool leaseOnly)
{
    core::Instant due = absl::InfiniteFuture();
    bool firstReady = true;
    for (const auto &[key, write] : m_pending) {
        if (!write.abandoned)
            due = std::min(due, write.deadline);
        if (write.callInFlight || (leaseOnly && write.priority != WritePriority::Lease))
            continue;
        const int slot = write.slot >= 0 ? write.slot : freeSlot(write.priority);
        if (slot < 0)
            continue;
        if (write.notBefore > now) {
            due = std::min(due, write.notBefore);
            continue;
        }
        // Only the most urgent ready write waits for a token; the others wait for that write.
        const bool needsRead = write.slot >= 0 ? write.step == Step::ReadMarker
                                               : m_markerSlots[slot].version == MarkerSlot::Unknown;
        if (std::exchange(firstReady, false))
            due = std::min(due, (needsRead ? m_reads : m_writes).nextTokenTime(now));
    }
    return due;
}

WriteQueue::PendingWrite *WriteQueue::find(std::uint64_t id)
{
    const auto priority = m_priorities.find(id);
    if (priority == m_priorities.end())
        return nullptr;
    const auto it = m_pending.find(Key(priority->second, id));
    return it == m_pending.end() ? nullptr : &it->second;
}

WriteQueue::PendingWrite *WriteQueue::completeCall(std::uint64_t id)
{
    PendingWrite *write = find(id);
    if (!write)
        return nullptr;
    write->callInFlight = false;
    --m_callsInFlight;
    if (!write->abandoned)
        return write;
    releaseSlot(*write);
    m_pending.erase(Key(write->priority, id));
    m_priorities.erase(id);
    return nullptr;
}

void WriteQueue::onRead(std::uint64_t id, const std::optional<std::optional<Row>> &row,
                        core::Instant now)
{
    PendingWrite *write = completeCall(id);
    if (!write)
        return;
    if (row)
        onMarker(*write, *row, now);
    else
        retry(*write, Step::ReadMarker, now);
}

void WriteQueue::onMarker(PendingWrite &write, const std::optional<Row> &found, core::Instant now)
{
    const Row row = found.value_or(Row());
    MarkerSlot &slot = m_markerSlots[write.slot];
    const std::string &writeId = write.transaction.writeId;
    if (row.value == writeId || (write.rejection && row.value == writeId + FenceSuffix)) {
        slot.version = row.version;
        slot.inDoubt.clear();
        finish(write,
               row.value == writeId ? WriteResult{WriteOutcome::Applied, row.version, {}}
                                    : *write.rejection);
        return;
    }
    if (slot.version == MarkerSlot::Unknown) {
        slot.version = row.version;
        write.step = Step::Write;
        return;
    }
    if (row.version != slot.version) {
        onMarkerChanged(write, row, now);
        return;
    }
    if (write.rejection && !write.inDoubt) {
        finish(write, *write.rejection);
        return;
    }
    write.step = write.rejection ? Step::Fence : Step::Write;
}

// Another write has changed the marker row: either an in-doubt write of this process, or a write of
// an earlier or later process with the same name. Earlier attempts can no longer take effect, but
// in the second case one of them may have taken effect before that change.
void WriteQueue::onMarkerChanged(PendingWrite &write, const Row &row, core::Instant now)
{
    MarkerSlot &slot = m_markerSlots[write.slot];
    const bool own =
        std::any_of(slot.inDoubt.begin(), slot.inDoubt.end(), [&row](const std::string &writeId) {
            return row.value == writeId || row.value == writeId + FenceSuffix;
        });
    slot.version = row.version;
    if (write.inDoubt && !own) {
        finish(write,
               {WriteOutcome::Unknown,
                0,
                {core::ResultCode::OutcomeUnknown, "marker row was changed by another process"}});
        return;
    }
    write.inDoubt = false;
    write.rejection.reset();
    retry(write, Step::Write, now);
}

void WriteQueue::onWrite(std::uint64_t id, std::optional<std::int64_t> version,
                         const core::Reason &reason, core::Instant now)
{
    PendingWrite *write = completeCall(id);
    if (!write)
        return;
    if (version) {
        MarkerSlot &slot = m_markerSlots[write->slot];
        slot.version = *version;
        slot.inDoubt.clear();
        const bool fenced = write->step == Step::Fence;
        finish(*write,
               fenced ? *write->rejection : WriteResult{WriteOutcome::Applied, *version, {}});
        return;
    }
    switch (reason.code) {
    case core::ResultCode::StoreUnavailable:
        retry(*write, write->inDoubt ? Step::ReadMarker : Step::Write, now);
        break;
    case core::ResultCode::OutcomeUnknown:
        write->inDoubt = true;
        retry(*write, Step::ReadMarker, now);
        break;
    default:
        onRejected(*write, reason);
    }
}

// A conflict may be caused by the condition on the marker row, which is then read to find out.
void WriteQueue::onRejected(PendingWrite &write, const core::Reason &reason)
{
    const bool conflict = reason.code == core::ResultCode::VersionConflict;
    if (!write.rejection)
        write.rejection =
            WriteResult{conflict ? WriteOutcome::Conflict : WriteOutcome::NotApplied, 0, reason};
    if (conflict || write.inDoubt)
        write.step = Step::ReadMarker;
    else
        finish(write, *write.rejection);
}

void WriteQueue::retry(PendingWrite &write, Step step, core::Instant now)
{
    write.step = step;
    write.notBefore = now + backOff(write.failures++);
    // A write that certainly did not take effect releases its marker row for other writes.
    if (!write.inDoubt && !write.rejection)
        releaseSlot(write);
}

// Returns an exponential delay with a random factor of at least one half, so that processes which
// failed at the same time do not retry at the same time.
absl::Duration WriteQueue::backOff(int failures)
{
    const int doublings = std::min(failures, MaxBackOffDoublings);
    const absl::Duration full =
        std::min(m_options.maxBackOff, m_options.backOff * (std::int64_t{1} << doublings));
    return full * std::uniform_real_distribution<double>(0.5, 1)(m_random);
}

void WriteQueue::expire(core::Instant now)
{
    std::vector<std::uint64_t> expired;
    for (const auto &[key, write] : m_pending) {
        if (write.deadline <= now && !write.abandoned)
            expired.push_back(write.id);
    }
    for (const std::uint64_t id : expired) {
        PendingWrite &write = *find(id);
        finish(write, abortedResult(write, core::ResultCode::DeadlineExpired));
    }
}

void WriteQueue::stop()
{
    std::vector<std::uint64_t> ids;
    for (const auto &[key, write] : m_pending) {
        if (!write.abandoned)
            ids.push_back(write.id);
    }
    for (const std::uint64_t id : ids) {
        PendingWrite &write = *find(id);
        finish(write, abortedResult(write, core::ResultCode::Draining));
    }
}

WriteResult WriteQueue::abortedResult(const PendingWrite &write, core::ResultCode code) const
{
    const bool attempting = write.callInFlight && write.step == Step::Write;
    if (write.inDoubt || attempting)
        return {
            WriteOutcome::Unknown, 0, {core::ResultCode::OutcomeUnknown, "no response in time"}};
    return {WriteOutcome::NotApplied, 0, {code, std::string(core::name(code))}};
}

void WriteQueue::finish(PendingWrite &write, WriteResult result)
{
    if (write.slot >= 0 && result.outcome == WriteOutcome::Unknown) {
        MarkerSlot &slot = m_markerSlots[write.slot];
        slot.version = MarkerSlot::Unknown;
        slot.inDoubt.push_back(write.transaction.writeId);
        if (slot.inDoubt.size() > MaxInDoubt)
            slot.inDoubt.erase(slot.inDoubt.begin());
    }
    report(write, std::move(result));
    if (write.callInFlight) {
        // The marker row remains in use until the call returns.
        write.abandoned = true;
        return;
    }
    releaseSlot(write);
    const Key key(write.priority, write.id);
    m_priorities.erase(write.id);
    m_pending.erase(key);
}

void WriteQueue::report(PendingWrite &write, WriteResult result)
{
    switch (result.outcome) {
    case WriteOutcome::Applied:
        ++m_statistics.applied;
        break;
    case WriteOutcome::Conflict:
        ++m_statistics.conflicts;
        break;
    case WriteOutcome::NotApplied:
        ++m_statistics.notApplied;
        break;
    case WriteOutcome::Unknown:
        ++m_statistics.unknown;
        break;
    }
    m_finished.push_back({write.id, std::move(result)});
}

std::optional<core::Instant> WriteQueue::takeReadToken(core::Instant now)
{
    if (!m_reads.take(now))
        return m_reads.nextTokenTime(now);
    ++m_statistics.readCalls;
    return std::nullopt;
}

std::vector<FinishedWrite> WriteQueue::takeFinished()
{
    return std::exchange(m_finished, {});
}

StoreWriterStatistics WriteQueue::statistics() const
{
    StoreWriterStatistics statistics = m_statistics;
    statistics.queued = static_cast<std::int64_t>(m_pending.size());
    return statistics;
}

} // namespace oleandercross::platform::detail
