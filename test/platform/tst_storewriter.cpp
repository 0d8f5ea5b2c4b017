#include <oleandercross/platform/storewriter.h>

#include <platform/faketables.h>
#include <platform/testservers.h>

#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>
#include <absl/synchronization/blocking_counter.h>
#include <absl/synchronization/mutex.h>

#include <algorithm>
#include <ctime>
#include <thread>

using namespace oleandercross;
using core::ResultCode;
using platform::WriteOutcome;
using platform::WritePriority;
using platform::WriteResult;

namespace {

platform::StoreWriterOptions testOptions()
{
    platform::StoreWriterOptions options;
    options.process = "entry-1";
    options.writesPerSecond = 1000;
    options.writeBurst = 50;
    options.readsPerSecond = 2000;
    options.readBurst = 50;
    return options;
}

// A stand-in table service with a client and a writer.
struct Store
{
    explicit Store(const platform::StoreWriterOptions &options = testOptions())
        : client(pool, tables.server.endpoint(), absl::Milliseconds(200))
        , writer(client, clock, options)
    { }

    // Inserts a row that must not exist yet, so that applying the same write twice is detected.
    WriteResult insert(const std::string &key, absl::Duration timeout)
    {
        return writer.write({"", {{key, 0}}, {{key, "value of " + key}}, {}}, WritePriority::Job,
                            timeout);
    }

    core::SteadyClock clock;
    test::TestServer<standin::TableRole> tables;
    http::ClientPool pool{http::ClientOptions()};
    platform::HttpTableService client;
    platform::StoreWriter writer;
};

// Blocks writes whose first key starts with "row/" until release() is called. All other calls
// return immediately.
class BlockingTables : public platform::TableService
{
public:
    std::optional<std::optional<platform::Row>> read(const std::string &key) override
    {
        absl::MutexLock lock(&m_mutex);
        std::optional<std::optional<platform::Row>> row;
        row.emplace(m_tables.read(key));
        return row;
    }

    std::optional<std::vector<platform::Row>> scan(const std::string &, const std::string &,
                                                   int) override
    {
        return std::vector<platform::Row>();
    }

    std::optional<std::int64_t> write(const platform::Transaction &transaction) override
    {
        absl::MutexLock lock(&m_mutex);
        if (transaction.puts.front().key.rfind("row/", 0) == 0) {
            ++m_blockedCalls;
            m_mutex.Await(absl::Condition(&m_released));
            --m_blockedCalls;
        }
        return m_tables.write(transaction);
    }

    std::optional<bool> applied(const platform::Transaction &) override { return false; }

    int blockedCalls() const
    {
        absl::MutexLock lock(&m_mutex);
        return m_blockedCalls;
    }

    void release()
    {
        absl::MutexLock lock(&m_mutex);
        m_released = true;
    }

private:
    mutable absl::Mutex m_mutex;
    test::FakeTables m_tables;
    int m_blockedCalls = 0;
    bool m_released = false;
};

} // namespace

TEST_CASE("each write takes effect exactly once under faults")
{
    const std::string fault =
        GENERATE(as<std::string>(), "{}", R"({"lose": 10})", R"({"cut": 10})", R"({"shorten": 10})",
                 R"({"swap": 10})", R"({"twice": 10})", R"({"refuse": 10})", R"({"close": 10})",
                 R"({"stall": 5})", R"({"defer": 5, "by_ms": 50})", R"({"defer": 5, "by_ms": 400})",
                 R"({"late": 5, "by_ms": 400})", R"({"outage": "refuse", "outage_ms": 300})",
                 R"({"outage": "silent", "outage_ms": 300})",
                 R"({"seed": 7, "rates": {"lose": 0.1, "cut": 0.1, "twice": 0.1, "defer": 0.1,
            "refuse": 0.1}, "by_ms": 30})");
    CAPTURE(fault);
    constexpr int Threads = 4;
    constexpr int PerThread = 15;
    Store store;
    REQUIRE(store.insert("first", absl::Seconds(10)).outcome == WriteOutcome::Applied);
    store.tables.fault(fault);
    std::vector<std::thread> threads;
    std::vector<WriteResult> results(Threads * PerThread);
    for (int t = 0; t < Threads; ++t) {
        threads.emplace_back([&, t] {
            for (int i = t * PerThread; i < (t + 1) * PerThread; ++i)
                results[i] = store.insert(absl::StrCat("row/", i), absl::Seconds(30));
        });
    }
    for (std::thread &thread : threads)
        thread.join();
    for (int i = 0; i < Threads * PerThread; ++i) {
        CAPTURE(i, results[i].reason.message);
        CHECK(results[i].outcome == WriteOutcome::Applied);
        const auto row = store.tables.role.row(absl::StrCat("row/", i));
        REQUIRE(row);
        CHECK(row->version == results[i].version);
    }
    CHECK(store.writer.statistics().applied == Threads * PerThread + 1);
}

TEST_CASE("a write that cannot be resolved in time ends by its deadline")
{
    struct Case
    {
        std::string fault;
        WriteOutcome outcome;
    };
    const auto c = GENERATE(values<Case>({
        {R"({"outage": "refuse", "outage_ms": 60000})", WriteOutcome::NotApplied},
        {R"({"lose": 1, "refuse": 0, "delay_ms": 0})", WriteOutcome::Unknown},
    }));
    CAPTURE(c.fault);
    Store store;
    REQUIRE(store.insert("first", absl::Seconds(10)).outcome == WriteOutcome::Applied);
    store.tables.fault(c.fault);
    if (c.outcome == WriteOutcome::Unknown)
        store.tables.fault(R"({"ignore": 1000})");
    const WriteResult result = store.insert("row", absl::Milliseconds(500));
    CHECK(result.outcome == c.outcome);
    CHECK(result.reason.code
          == (c.outcome == WriteOutcome::Unknown ? ResultCode::OutcomeUnknown
                                                 : ResultCode::DeadlineExpired));
}

TEST_CASE("a conflict is reported once and nothing is written")
{
    Store store;
    REQUIRE(store.insert("row", absl::Seconds(10)).outcome == WriteOutcome::Applied);
    const WriteResult result = store.insert("row", absl::Seconds(10));
    CHECK(result.outcome == WriteOutcome::Conflict);
    CHECK(result.reason.code == ResultCode::VersionConflict);
    CHECK(store.writer.statistics().conflicts == 1);
}

// Guards against a burst of retries that overloads a recovering store.
TEST_CASE("writes queued in an outage stay within the share afterwards")
{
    platform::StoreWriterOptions options = testOptions();
    options.writesPerSecond = 100;
    options.writeBurst = 10;
    options.readsPerSecond = 100;
    options.readBurst = 10;
    Store store(options);
    store.tables.fault(R"({"outage": "refuse", "outage_ms": 500})");
    constexpr int Count = 100;
    absl::BlockingCounter done(Count);
    std::atomic<int> applied = 0;
    const core::Instant start = store.clock.now();
    for (int i = 0; i < Count; ++i) {
        const std::string key = absl::StrCat("row/", i);
        store.writer.submit({"", {{key, 0}}, {{key, "x"}}, {}}, WritePriority::Job,
                            absl::Seconds(60), [&](const WriteResult &result) {
                                applied += result.outcome == WriteOutcome::Applied ? 1 : 0;
                                done.DecrementCount();
                            });
    }
    done.Wait();
    const double seconds = absl::ToDoubleSeconds(store.clock.now() - start);
    CHECK(applied == Count);
    CHECK(store.writer.statistics().writeCalls <= 10 + 100 * seconds + 1);
    CHECK(store.writer.statistics().readCalls <= 10 + 100 * seconds + 1);
}

// Guards against slow calls of other writes that prevent the lease from being renewed.
TEST_CASE("a lease is written while all other calls are blocked")
{
    constexpr int Rows = 20;
    platform::StoreWriterOptions options = testOptions();
    options.threads = 2;
    const core::SteadyClock clock;
    BlockingTables tables;
    platform::StoreWriter writer(tables, clock, options);
    std::atomic<int> ended = 0;
    for (int i = 0; i < Rows; ++i) {
        writer.submit({"", {}, {{absl::StrCat("row/", i), "x"}}, {}}, WritePriority::GangDecision,
                      absl::Seconds(60), [&](const WriteResult &) { ++ended; });
    }
    CHECK(test::eventually([&] { return tables.blockedCalls() == options.threads; }));
    const WriteResult result =
        writer.write({"", {}, {{"lease", "1"}}, {}}, WritePriority::Lease, absl::Seconds(10));
    CHECK(result.outcome == WriteOutcome::Applied);
    CHECK(ended == 0);
    CHECK(tables.blockedCalls() == options.threads);
    tables.release();
    CHECK(test::eventually([&] { return ended == Rows; }));
}

TEST_CASE("every write ends when the writer is destroyed")
{
    std::vector<WriteOutcome> outcomes;
    absl::Mutex mutex;
    {
        Store store;
        store.tables.fault(R"({"outage": "silent", "outage_ms": 60000})");
        for (int i = 0; i < 50; ++i) {
            store.writer.submit({"", {}, {{"a", "x"}}, {}}, WritePriority::Job, absl::Seconds(60),
                                [&](const WriteResult &result) {
                                    absl::MutexLock lock(&mutex);
                                    outcomes.push_back(result.outcome);
                                });
        }
        absl::SleepFor(absl::Milliseconds(50));
    }
    CHECK(outcomes.size() == 50);
}

TEST_CASE("reads wait for a token and fail at their timeout")
{
    platform::StoreWriterOptions options = testOptions();
    options.readsPerSecond = 0.1;
    options.readBurst = 2;
    Store store(options);
    CHECK(store.writer.read("a", absl::Milliseconds(100)));
    CHECK(store.writer.scan("a", "", 10, absl::Milliseconds(100)));
    CHECK_FALSE(store.writer.read("a", absl::Milliseconds(100)));
    CHECK(core::lastReason().code == ResultCode::StoreUnavailable);
    CHECK(store.tables.role.requests() == 2);
}

TEST_CASE("the shares of all writers add up to the store's capacity")
{
    const int processes = GENERATE(0, 1, 9, 24, 1000);
    CAPTURE(processes);
    const auto options = platform::storeWriterOptions("entry-1", processes);
    const int count = std::max(1, processes);
    CHECK(options.writesPerSecond * count <= 301);
    CHECK(options.readsPerSecond * count <= 2000);
    CHECK(options.writeBurst >= 1);
    CHECK(options.readBurst >= 1);
    CHECK(options.process == "entry-1");
    CHECK(options.seed != platform::storeWriterOptions("entry-2", processes).seed);
}

// Prints the figures of docs/design/store-traffic.md. Runs only if selected by its tag.
TEST_CASE("cost of a write through the writer", "[.measure]")
{
    constexpr int Count = 2000;
    platform::StoreWriterOptions options = testOptions();
    options.writesPerSecond = 1e6;
    options.writeBurst = 1e6;
    Store store(options);
    const auto measure = [&](const auto &write) {
        std::vector<double> micros;
        const std::clock_t cpuStart = std::clock();
        for (int i = 0; i < Count; ++i) {
            const core::Instant start = store.clock.now();
            write(i);
            micros.push_back(absl::ToDoubleMicroseconds(store.clock.now() - start));
        }
        std::sort(micros.begin(), micros.end());
        const double cpu = 1e6 * static_cast<double>(std::clock() - cpuStart) / CLOCKS_PER_SEC;
        return absl::StrFormat("p50 %.0f us, p99 %.0f us, CPU with the stand-in %.0f us",
                               micros[Count / 2], micros[Count * 99 / 100], cpu / Count);
    };
    const auto direct = measure([&](int i) {
        REQUIRE(store.client.write({"id", {}, {{"direct", absl::StrCat(i)}}, {}}));
    });
    const auto through = measure([&](int i) {
        REQUIRE(store.writer
                    .write({"", {}, {{"through", absl::StrCat(i)}}, {}}, WritePriority::Job,
                           absl::Seconds(10))
                    .outcome
                == WriteOutcome::Applied);
    });
    const auto before = store.writer.statistics();
    for (int i = 0; i < 200; ++i) {
        store.tables.fault(R"({"lose": 1})");
        REQUIRE(store.insert(absl::StrCat("lost/", i), absl::Seconds(10)).outcome
                == WriteOutcome::Applied);
    }
    const auto after = store.writer.statistics();
    WARN("direct " << direct << "; writer " << through << "; calls for " << Count
                   << " writes: " << before.writeCalls << " writes, " << before.readCalls
                   << " reads; 200 lost responses: " << after.writeCalls - before.writeCalls
                   << " writes, " << after.readCalls - before.readCalls << " reads");
}
