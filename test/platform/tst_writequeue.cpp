#include <oleandercross/platform/detail/writequeue.h>

#include <platform/faketables.h>

#include <catch2/catch.hpp>

using namespace oleandercross;
using core::ResultCode;
using platform::WriteOutcome;
using platform::WritePriority;
using platform::detail::StoreCall;
using platform::detail::WriteQueue;

namespace {

platform::StoreWriterOptions testOptions()
{
    platform::StoreWriterOptions options;
    options.process = "entry-1";
    return options;
}

platform::Transaction put(const std::string &id, const std::string &key)
{
    return {id, {}, {{key, "by " + id}}, {}};
}

// Drives a queue against a fake table service, one call at a time.
class Driver
{
public:
    explicit Driver(platform::StoreWriterOptions options = testOptions())
        : queue(std::move(options))
    { }

    std::uint64_t submit(const platform::Transaction &transaction,
                         WritePriority priority = WritePriority::Job,
                         absl::Duration timeout = absl::Seconds(10))
    {
        return queue.submit(transaction, priority, now + timeout);
    }

    // Advances the time until a call is due and returns that call.
    StoreCall next()
    {
        for (int i = 0; i < 1000; ++i) {
            const auto call = queue.nextCall(now, false);
            if (call)
                return *call;
            REQUIRE(queue.nextDue(now, false) < absl::InfiniteFuture());
            now = std::max(now, queue.nextDue(now, false));
        }
        FAIL("no call is due");
        return {};
    }

    // Executes a call against the tables and passes its result to the queue.
    void perform(const StoreCall &call)
    {
        if (call.isRead) {
            queue.onRead(call.id, tables.read(call.key), now);
            return;
        }
        const auto version = tables.write(call.transaction);
        queue.onWrite(call.id, version,
                      {version ? ResultCode::Ok : ResultCode::VersionConflict, ""}, now);
    }

    void fail(const StoreCall &call, ResultCode code)
    {
        if (call.isRead)
            queue.onRead(call.id, std::nullopt, now);
        else
            queue.onWrite(call.id, std::nullopt, {code, ""}, now);
    }

    // Performs calls until a write completes and returns its result.
    platform::WriteResult run()
    {
        while (!queue.hasFinished())
            perform(next());
        return takeResult();
    }

    platform::WriteResult takeResult()
    {
        const auto finished = queue.takeFinished();
        REQUIRE(finished.size() == 1);
        return finished.front().result;
    }

    // Performs reads until the next call is a write and returns it.
    StoreCall nextWrite()
    {
        StoreCall call = next();
        while (call.isRead) {
            perform(call);
            call = next();
        }
        return call;
    }

    test::FakeTables tables;
    WriteQueue queue;
    core::Instant now = absl::UnixEpoch() + absl::Hours(1);
};

} // namespace

TEST_CASE("a write needs one read before the first and one call after")
{
    Driver driver;
    for (int i = 0; i < 3; ++i) {
        driver.submit(put("w" + std::to_string(i), "a"));
        const auto result = driver.run();
        CHECK(result.outcome == WriteOutcome::Applied);
        CHECK(result.version == driver.tables.versionOf("a"));
    }
    CHECK(driver.queue.statistics().readCalls == 1);
    CHECK(driver.queue.statistics().writeCalls == 3);
    CHECK(driver.tables.markerCount() == 1);
}

TEST_CASE("lost responses are resolved by reading the marker row")
{
    struct Case
    {
        std::string name;
        bool effect;
        bool overwritten;
        bool conflictAfter;
        WriteOutcome outcome;
        int effects;
    };
    const auto c = GENERATE(values<Case>({
        {"took effect", true, false, false, WriteOutcome::Applied, 1},
        {"took effect, rows overwritten", true, true, false, WriteOutcome::Applied, 1},
        {"did not take effect", false, false, false, WriteOutcome::Applied, 1},
        {"did not take effect, then a conflict", false, false, true, WriteOutcome::Conflict, 0},
    }));
    CAPTURE(c.name);
    Driver driver;
    driver.submit({"w", {{"a", 0}}, {{"a", "x"}}, {}});
    const StoreCall call = driver.nextWrite();
    if (c.effect)
        REQUIRE(driver.tables.write(call.transaction));
    if (c.overwritten || c.conflictAfter)
        driver.tables.write(put("other", "a"));
    driver.fail(call, ResultCode::OutcomeUnknown);
    CHECK(driver.run().outcome == c.outcome);
    // The first attempt reaches the store late and must no longer take effect.
    driver.tables.write(call.transaction);
    CHECK(driver.tables.effects("w") == c.effects);
}

// Guards against a write that takes effect after it was reported as a conflict: the conflicting row
// is deleted before a delayed earlier attempt reaches the store.
TEST_CASE("a conflict after an attempt in doubt is final")
{
    Driver driver;
    driver.submit({"w", {{"a", 0}}, {{"a", "x"}}, {}});
    const StoreCall late = driver.nextWrite();
    driver.fail(late, ResultCode::OutcomeUnknown);
    driver.tables.write(put("other", "a"));
    CHECK(driver.run().outcome == WriteOutcome::Conflict);
    driver.tables.write({"delete", {}, {}, {"a"}});
    CHECK_FALSE(driver.tables.write(late.transaction));
}

TEST_CASE("a write that the store rejects ends as not applied")
{
    Driver driver;
    driver.submit(put("w", "a"));
    const bool inDoubt = GENERATE(false, true);
    const StoreCall first = driver.nextWrite();
    if (inDoubt)
        driver.fail(first, ResultCode::OutcomeUnknown);
    driver.fail(inDoubt ? driver.nextWrite() : first, ResultCode::PlatformError);
    const auto result = inDoubt ? driver.run() : driver.takeResult();
    CHECK(result.outcome == WriteOutcome::NotApplied);
    CHECK(result.reason.code == ResultCode::PlatformError);
    CHECK_FALSE((inDoubt && driver.tables.write(first.transaction)));
}

TEST_CASE("an expired write is unknown only if it may have taken effect")
{
    struct Case
    {
        std::string name;
        std::optional<ResultCode> failure;
        WriteOutcome outcome;
    };
    const auto c = GENERATE(values<Case>({
        {"call in progress", std::nullopt, WriteOutcome::Unknown},
        {"in doubt", ResultCode::OutcomeUnknown, WriteOutcome::Unknown},
        {"refused", ResultCode::StoreUnavailable, WriteOutcome::NotApplied},
    }));
    CAPTURE(c.name);
    Driver driver;
    driver.submit(put("w", "a"));
    const StoreCall call = driver.nextWrite();
    if (c.failure)
        driver.fail(call, *c.failure);
    driver.now += absl::Seconds(11);
    driver.queue.expire(driver.now);
    CHECK(driver.takeResult().outcome == c.outcome);

    // A late response has no effect, and the marker row can be used by the next write although the
    // first may still reach the store.
    if (!c.failure)
        driver.fail(call, ResultCode::OutcomeUnknown);
    CHECK_FALSE(driver.queue.hasFinished());
    driver.submit(put("w2", "a"));
    const StoreCall second = driver.nextWrite();
    if (c.outcome == WriteOutcome::Unknown)
        REQUIRE(driver.tables.write(call.transaction));
    driver.fail(second, ResultCode::OutcomeUnknown);
    CHECK(driver.run().outcome == WriteOutcome::Applied);
    CHECK(driver.tables.effects("w2") == 1);
}

// Guards against two concurrent writes on one marker row, each of which would make the outcome of
// the other unknown.
TEST_CASE("a marker row is not reused while a call with it is in flight")
{
    Driver driver;
    driver.submit(put("w1", "a"));
    const StoreCall first = driver.nextWrite();
    driver.now += absl::Seconds(11);
    driver.queue.expire(driver.now);
    driver.takeResult();
    driver.submit(put("w2", "a"));
    const StoreCall second = driver.nextWrite();
    CHECK(second.transaction.conditions.back().key != first.transaction.conditions.back().key);
    driver.fail(first, ResultCode::OutcomeUnknown);
    driver.submit(put("w3", "a"));
    CHECK(driver.nextWrite().transaction.conditions.back().key
          == first.transaction.conditions.back().key);
}

TEST_CASE("urgent writes go first and displace others when the queue is full")
{
    platform::StoreWriterOptions options = testOptions();
    options.maxQueued = 3;
    Driver driver(options);
    driver.submit(put("rest", "r"), WritePriority::Other);
    driver.submit(put("job", "j"), WritePriority::Job);
    driver.submit(put("gang", "g"), WritePriority::GangDecision);
    driver.submit(put("rest2", "r"), WritePriority::Other);
    auto refused = driver.takeResult();
    CHECK(refused.outcome == WriteOutcome::NotApplied);
    CHECK(refused.reason.code == ResultCode::QueueFull);
    driver.submit(put("lease", "l"), WritePriority::Lease);
    refused = driver.takeResult();
    CHECK(refused.reason.code == ResultCode::QueueFull);
    for (const std::string id : {"lease", "gang", "job"}) {
        CHECK(driver.run().outcome == WriteOutcome::Applied);
        CHECK(driver.tables.effects(id) == 1);
    }
    CHECK(driver.tables.effects("rest") == 0);
}

// Guards against writes in doubt that prevent the lease from being renewed.
TEST_CASE("marker rows are reserved for leases")
{
    platform::StoreWriterOptions options = testOptions();
    options.markerSlots = 2;
    Driver driver(options);
    for (int i = 0; i < 5; ++i)
        driver.submit(put("job" + std::to_string(i), "j"), WritePriority::Job, absl::Hours(1));
    for (int i = 0; i < 20; ++i)
        driver.fail(driver.nextWrite(), ResultCode::OutcomeUnknown);
    driver.submit(put("lease", "l"), WritePriority::Lease);
    const auto call = driver.queue.nextCall(driver.now + absl::Seconds(1), true);
    REQUIRE(call);
    driver.perform(*call);
    CHECK(driver.queue.nextCall(driver.now + absl::Seconds(1), true).has_value());
}

// Guards against a burst of retries above the process's share after an outage.
TEST_CASE("calls stay within the share during and after an outage")
{
    platform::StoreWriterOptions options = testOptions();
    options.writesPerSecond = 20;
    options.writeBurst = 5;
    options.readsPerSecond = 40;
    options.readBurst = 8;
    Driver driver(options);
    for (int i = 0; i < 900; ++i)
        driver.submit(put("w" + std::to_string(i), "k" + std::to_string(i)), WritePriority::Job,
                      absl::Hours(1));
    const core::Instant start = driver.now;
    const core::Instant outageEnd = start + absl::Seconds(10);
    int ended = 0;
    while (ended < 900) {
        const StoreCall call = driver.next();
        if (driver.now < outageEnd)
            driver.fail(call, ResultCode::StoreUnavailable);
        else
            driver.perform(call);
        for (const auto &write : driver.queue.takeFinished()) {
            REQUIRE(write.result.outcome == WriteOutcome::Applied);
            ++ended;
        }
        const double seconds = absl::ToDoubleSeconds(driver.now - start);
        REQUIRE(driver.queue.statistics().writeCalls <= 5 + 20 * seconds + 1);
        REQUIRE(driver.queue.statistics().readCalls <= 8 + 40 * seconds + 1);
    }
    // The full share is used: 900 writes at 20 per second.
    CHECK(driver.now - outageEnd < absl::Seconds(900 / 20 + 5));
}

TEST_CASE("back-off grows to its maximum and is reproducible by its seed")
{
    const auto delays = [](std::uint64_t seed) {
        platform::StoreWriterOptions options = testOptions();
        options.seed = seed;
        Driver driver(options);
        driver.submit(put("w", "a"), WritePriority::Job, absl::Hours(1));
        std::vector<absl::Duration> result;
        for (int i = 0; i < 12; ++i) {
            const StoreCall call = driver.next();
            const core::Instant before = driver.now;
            driver.fail(call, ResultCode::StoreUnavailable);
            const StoreCall secondCall = driver.next();
            result.push_back(driver.now - before);
            driver.fail(secondCall, ResultCode::StoreUnavailable);
        }
        return result;
    };
    const auto first = delays(1);
    CHECK(first == delays(1));
    CHECK(first != delays(2));
    CHECK(first.front() < absl::Milliseconds(60));
    CHECK(first.back() >= absl::Milliseconds(500));
    CHECK(first.back() <= absl::Seconds(1));
}

// Guards against applying a write twice after another process overwrote the marker row of the first
// attempt.
TEST_CASE("a write in doubt is unknown when another process used its marker row")
{
    const bool inDoubt = GENERATE(false, true);
    Driver driver;
    driver.submit(put("w", "a"));
    const StoreCall call = driver.nextWrite();
    if (inDoubt) {
        REQUIRE(driver.tables.write(call.transaction));
        driver.fail(call, ResultCode::OutcomeUnknown);
    }
    const std::string marker = call.transaction.conditions.back().key;
    REQUIRE(driver.tables.write({"foreign", {}, {{marker, "foreign"}}, {}}));
    if (!inDoubt)
        driver.perform(call);
    CHECK(driver.run().outcome == (inDoubt ? WriteOutcome::Unknown : WriteOutcome::Applied));
    CHECK(driver.tables.effects("w") == 1);
}

TEST_CASE("a restarted process continues with the marker rows of the one before")
{
    Driver driver;
    driver.submit(put("w1", "a"));
    REQUIRE(driver.run().outcome == WriteOutcome::Applied);
    driver.queue.stop();

    WriteQueue restarted(testOptions());
    restarted.submit(put("w2", "a"), WritePriority::Job, driver.now + absl::Seconds(10));
    const auto read = restarted.nextCall(driver.now, false);
    REQUIRE(read);
    CHECK(read->isRead);
    restarted.onRead(read->id, driver.tables.read(read->key), driver.now);
    const auto write = restarted.nextCall(driver.now, false);
    REQUIRE(write);
    CHECK(driver.tables.write(write->transaction));
    CHECK(driver.tables.markerCount() == 1);
}

TEST_CASE("stopping completes all writes")
{
    Driver driver;
    driver.submit(put("w1", "a"));
    driver.nextWrite();
    driver.submit(put("w2", "a"));
    driver.queue.stop();
    const auto finished = driver.queue.takeFinished();
    REQUIRE(finished.size() == 2);
    CHECK(finished[0].result.outcome == WriteOutcome::Unknown);
    CHECK(finished[1].result.outcome == WriteOutcome::NotApplied);
    CHECK(finished[1].result.reason.code == ResultCode::Draining);
}
