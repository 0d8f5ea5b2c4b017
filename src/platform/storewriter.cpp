#include <oleandercross/platform/storewriter.h>

#include <oleandercross/core/condvar.h>
#include <oleandercross/platform/detail/writequeue.h>

#include <absl/container/flat_hash_map.h>
#include <absl/synchronization/mutex.h>
#include <absl/synchronization/notification.h>

#include <algorithm>
#include <thread>

namespace oleandercross::platform {

namespace {

// Limits each wait, in case the clock and the condition variable measure time differently.
constexpr absl::Duration MaxWait = absl::Seconds(1);

// Rates of all writers together. The store serves several hundred writes and about 2000 reads per
// second to all clients.
constexpr double TotalWritesPerSecond = 300;
constexpr double TotalReadsPerSecond = 1500;
// The burst size is the share for this time.
constexpr double BurstSeconds = 1;

} // namespace

StoreWriterOptions storeWriterOptions(std::string process, int processes)
{
    const int writerCount = std::max(1, processes);
    StoreWriterOptions options;
    options.process = std::move(process);
    options.writesPerSecond = TotalWritesPerSecond / writerCount;
    options.readsPerSecond = TotalReadsPerSecond / writerCount;
    // A bucket that cannot hold a whole token would never allow a call.
    options.writeBurst = std::max(1.0, options.writesPerSecond * BurstSeconds);
    options.readBurst = std::max(1.0, options.readsPerSecond * BurstSeconds);
    options.seed = std::hash<std::string>()(options.process);
    return options;
}

class StoreWriter::Private
{
public:
    Private(TableService &t, const core::Clock &c, StoreWriterOptions options)
        : tables(t)
        , clock(c)
        , queue(options)
    {
        m_threads.emplace_back([this] { run(true); });
        for (int i = 0; i < options.threads; ++i)
            m_threads.emplace_back([this] { run(false); });
    }

    ~Private()
    {
        {
            absl::MutexLock lock(&mutex);
            m_stopping = true;
            queue.stop();
            m_leaseChanged.signalAll();
            m_changed.signalAll();
        }
        runCallbacks();
        for (std::thread &thread : m_threads)
            thread.join();
        runCallbacks();
    }

    void submit(Transaction transaction, WritePriority priority, absl::Duration timeout,
                Callback done)
    {
        {
            absl::MutexLock lock(&mutex);
            const core::Instant deadline = clock.now() + timeout;
            m_callbacks[queue.submit(std::move(transaction), priority, deadline)] = std::move(done);
            if (m_stopping)
                queue.stop();
            wake(priority);
        }
        runCallbacks();
    }

    // Completes writes whose deadline has passed, even if all threads are blocked in store calls.
    void expire()
    {
        {
            absl::MutexLock lock(&mutex);
            queue.expire(clock.now());
        }
        runCallbacks();
    }

    // Waits for a read token. Returns false if none is available before the deadline.
    bool awaitReadToken(core::Instant deadline)
    {
        while (true) {
            const core::Instant now = clock.now();
            std::optional<core::Instant> retryAt;
            {
                absl::MutexLock lock(&mutex);
                retryAt = queue.takeReadToken(now);
            }
            if (!retryAt)
                return true;
            if (*retryAt >= deadline)
                return false;
            absl::SleepFor(*retryAt - now);
        }
    }

    TableService &tables;
    const core::Clock &clock;
    mutable absl::Mutex mutex;
    detail::WriteQueue queue ABSL_GUARDED_BY(mutex);

private:
    void run(bool leaseOnly)
    {
        while (true) {
            const std::optional<detail::StoreCall> call = awaitCall(leaseOnly);
            runCallbacks();
            if (!call)
                return;
            perform(*call);
            runCallbacks();
        }
    }

    // Waits for the next call. Returns an empty optional when the writer stops.
    std::optional<detail::StoreCall> awaitCall(bool leaseOnly)
    {
        absl::MutexLock lock(&mutex);
        while (!m_stopping) {
            const core::Instant now = clock.now();
            queue.expire(now);
            std::optional<detail::StoreCall> call = queue.nextCall(now, leaseOnly);
            if (call) {
                // Other threads may be waiting for a later time although further writes are due.
                if (queue.hasWaiting())
                    m_changed.signal();
                return call;
            }
            if (queue.hasFinished()) {
                mutex.Unlock();
                runCallbacks();
                mutex.Lock();
                continue;
            }
            const absl::Duration wait = queue.nextDue(now, leaseOnly) - now;
            core::CondVar &changed = leaseOnly ? m_leaseChanged : m_changed;
            changed.waitFor(mutex, std::clamp(wait, absl::ZeroDuration(), MaxWait));
        }
        return std::nullopt;
    }

    void perform(const detail::StoreCall &call)
    {
        if (call.isRead) {
            const auto row = tables.read(call.key);
            absl::MutexLock lock(&mutex);
            queue.onRead(call.id, row, clock.now());
            wake(call.priority);
            return;
        }
        const auto version = tables.write(call.transaction);
        const core::Reason reason = version ? core::Reason() : core::lastReason();
        absl::MutexLock lock(&mutex);
        queue.onWrite(call.id, version, reason, clock.now());
        wake(call.priority);
    }

    // Wakes one thread, which wakes the next one if further writes are due.
    void wake(WritePriority priority) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex)
    {
        if (priority == WritePriority::Lease)
            m_leaseChanged.signal();
        if (queue.hasWaiting())
            m_changed.signal();
    }

    // Runs the callbacks of completed writes without the lock, so that they may submit writes.
    void runCallbacks()
    {
        std::vector<std::pair<Callback, WriteResult>> calls;
        {
            absl::MutexLock lock(&mutex);
            for (detail::FinishedWrite &write : queue.takeFinished()) {
                auto done = m_callbacks.extract(write.id);
                calls.emplace_back(std::move(done.mapped()), std::move(write.result));
            }
        }
        for (const auto &[done, result] : calls)
            done(result);
    }

    core::CondVar m_changed;
    core::CondVar m_leaseChanged;
    bool m_stopping ABSL_GUARDED_BY(mutex) = false;
    absl::flat_hash_map<std::uint64_t, Callback> m_callbacks ABSL_GUARDED_BY(mutex);
    std::vector<std::thread> m_threads;
};

StoreWriter::StoreWriter(TableService &tables, const core::Clock &clock, StoreWriterOptions options)
    : d(std::make_unique<Private>(tables, clock, std::move(options)))
{ }

StoreWriter::~StoreWriter() = default;

WriteResult StoreWriter::write(Transaction transaction, WritePriority priority,
                               absl::Duration timeout)
{
    struct Wait
    {
        WriteResult result;
        absl::Notification done;
    };
    // Shared, because Notify() may still access it after the waiting thread has returned.
    const auto wait = std::make_shared<Wait>();
    d->submit(std::move(transaction), priority, timeout, [wait](const WriteResult &result) {
        wait->result = result;
        wait->done.Notify();
    });
    if (!wait->done.WaitForNotificationWithTimeout(timeout)) {
        d->expire();
        wait->done.WaitForNotification();
    }
    return wait->result;
}

void StoreWriter::submit(Transaction transaction, WritePriority priority, absl::Duration timeout,
                         Callback done)
{
    d->submit(std::move(transaction), priority, timeout, std::move(done));
}

std::optional<std::optional<Row>> StoreWriter::read(const std::string &key, absl::Duration timeout)
{
    if (!d->awaitReadToken(d->clock.now() + timeout))
        return core::fail(core::ResultCode::StoreUnavailable, "read rate limit exceeded");
    return d->tables.read(key);
}

std::optional<std::vector<Row>> StoreWriter::scan(const std::string &prefix,
                                                  const std::string &after, int limit,
                                                  absl::Duration timeout)
{
    if (!d->awaitReadToken(d->clock.now() + timeout))
        return core::fail(core::ResultCode::StoreUnavailable, "read rate limit exceeded");
    return d->tables.scan(prefix, after, limit);
}

StoreWriterStatistics StoreWriter::statistics() const
{
    absl::MutexLock lock(&d->mutex);
    return d->queue.statistics();
}

} // namespace oleandercross::platform
