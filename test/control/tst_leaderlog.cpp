#include "fakerowstore.h"

#include <oleandercross/control/leaderlog.h>

#include <absl/time/clock.h>
#include <catch2/catch.hpp>

using namespace oleandercross;
using namespace oleandercross::control;
using Fault = testing::FakeRowStore::Fault;

namespace {

Leadership leadership(const std::string &name)
{
    Leadership leadership;
    leadership.holder = name;
    leadership.address = {"10.0.0.1", 7000};
    leadership.incarnation = "incarnation of " + name;
    return leadership;
}

// A store whose responses arrive long after the transaction was executed.
class SlowStore : public testing::FakeRowStore
{
public:
    CommitResult commit(const RowChanges &changes, absl::Duration timeout) override
    {
        const CommitResult result = FakeRowStore::commit(changes, timeout);
        const core::Instant executedAt = clock.now();
        if (result.outcome != CommitOutcome::Conflict)
            latestAt = executedAt;
        absl::SleepFor(absl::Milliseconds(20));
        return result;
    }

    const core::BootClock clock;
    core::Instant latestAt = absl::InfinitePast();
};

std::optional<StoredRow> leaderRow(RowStore &store)
{
    return *store.row(LeaderTable, LeaderKey, StoreTimeout);
}

} // namespace

// Guards against two leaders of the same epoch.
TEST_CASE("only one of two processes that read the same row becomes the leader")
{
    testing::FakeRowStore store;
    LeaderLog first(store, leadership("a"));
    LeaderLog second(store, leadership("b"));
    CHECK(first.acquire(std::nullopt));
    CHECK_FALSE(second.acquire(std::nullopt));
    CHECK(second.acquire(leaderRow(store)));
    CHECK(second.epoch() == first.epoch() + 1);
}

// Guards against a leader that repeats a transaction without end that the store will never take.
TEST_CASE("a rejected transaction is not repeated and does not end the leadership")
{
    testing::FakeRowStore store;
    LeaderLog log(store, leadership("a"));
    REQUIRE(log.acquire(std::nullopt));
    const int before = store.commits();
    const StoredRow large{ProgressTable, "j", std::string(MaxRowBytes + 1, 'x')};
    CHECK(log.commit({large}, {}) == LeaderLog::Outcome::Rejected);
    CHECK(store.commits() == before + 1);
    CHECK(log.commit({{ProgressTable, "j", "x"}}, {}) == LeaderLog::Outcome::Committed);
}

// Guards against decisions of a leader that was suspended while another process became the leader.
TEST_CASE("a deposed leader cannot store anything")
{
    testing::FakeRowStore store;
    LeaderLog old(store, leadership("a"));
    REQUIRE(old.acquire(std::nullopt));
    LeaderLog next(store, leadership("b"));
    REQUIRE(next.acquire(leaderRow(store)));
    CHECK(old.commit({{ProgressTable, "j", "old"}}, {}) == LeaderLog::Outcome::Deposed);
    CHECK_FALSE(store.value(ProgressTable, "j"));
    CHECK(next.commit({{ProgressTable, "j", "new"}}, {}) == LeaderLog::Outcome::Committed);
}

// Guards against a decision that is applied twice, or abandoned although it was stored.
TEST_CASE("a commit whose responses are lost takes effect once")
{
    testing::FakeRowStore store;
    LeaderLog log(store, leadership("a"));
    REQUIRE(log.acquire(std::nullopt));
    store.injectFaults({Fault::LoseAnswer, Fault::Refuse, Fault::None});
    CHECK(log.commit({{ProgressTable, "j", "1"}}, {}) == LeaderLog::Outcome::Committed);
    CHECK(store.value(ProgressTable, "j") == "1");
    CHECK(log.commit({{ProgressTable, "j", "2"}}, {}) == LeaderLog::Outcome::Committed);
    CHECK(store.value(ProgressTable, "j") == "2");
}

// Guards against permits of a leader that was replaced while the confirmation of its transaction
// was under way: other processes count from when the store executed it.
TEST_CASE("the time of a commit is not later than its execution by the store")
{
    SlowStore store;
    LeaderLog log(store, leadership("a"));
    const bool answerLost = GENERATE(false, true);
    CAPTURE(answerLost);
    REQUIRE(log.acquire(std::nullopt));
    CHECK(log.lastCommit() <= store.latestAt);
    if (answerLost)
        store.injectFaults({Fault::LoseAnswer});
    REQUIRE(log.commit({{ProgressTable, "j", "1"}}, {}) == LeaderLog::Outcome::Committed);
    CHECK(log.lastCommit() <= store.latestAt);
}

// Guards against a delayed transaction that overwrites newer rows.
TEST_CASE("a delayed commit does not undo a later one")
{
    testing::FakeRowStore store;
    LeaderLog log(store, leadership("a"));
    REQUIRE(log.acquire(std::nullopt));
    store.injectFaults({Fault::Delay, Fault::None});
    CHECK(log.commit({{ProgressTable, "j", "1"}}, {}) == LeaderLog::Outcome::Committed);
    CHECK(log.commit({{ProgressTable, "j", "2"}}, {}) == LeaderLog::Outcome::Committed);
    CHECK(store.applyDelayed() == 0);
    CHECK(store.value(ProgressTable, "j") == "2");
}

// Guards against losing the leadership to an earlier attempt of the same process.
TEST_CASE("a process becomes the leader although a response is lost")
{
    testing::FakeRowStore store;
    LeaderLog log(store, leadership("a"));
    store.injectFaults({Fault::LoseAnswer});
    CHECK(log.acquire(std::nullopt));
    CHECK(log.commit({}, {}) == LeaderLog::Outcome::Committed);
}

// Guards against a planned handover in which the next leader waits for the leader row to time out.
TEST_CASE("a released leadership has no holder")
{
    testing::FakeRowStore store;
    LeaderLog log(store, leadership("a"));
    REQUIRE(log.acquire(std::nullopt));
    log.release();
    const auto current = decodeLeadership(leaderRow(store)->value);
    REQUIRE(current);
    CHECK(current->holder.empty());
    CHECK(current->epoch == 1);
}

// Guards against a row of another writer that ends each candidate, or keeps an installation without
// a leader for ever, and against an epoch that agents refuse as an earlier one.
TEST_CASE("a leader row of another writer is replaced by a later epoch")
{
    struct Case
    {
        const char *what;
        std::string from;
        std::string to;
    };
    const std::string all =
        R"({"epoch":1,"holder":"x","address":"10.0.0.9:7000","sequence":3,"incarnation":"i"})";
    const Case c = GENERATE_COPY(values<Case>({
        {"nothing", all, ""},
        {"undecodable bytes", all, "\xff\xfe\x01"},
        {"not an object", all, "[]"},
        {"deeply nested", all, std::string(100000, '[')},
        {"the largest 64-bit epoch", R"("epoch":1)", R"("epoch":9223372036854775807)"},
        {"an epoch beyond 64 bits", R"("epoch":1)", R"("epoch":18446744073709551616)"},
        {"an epoch that is later than the store's version", R"("epoch":1)", R"("epoch":1000000)"},
        {"epoch 0", R"("epoch":1)", R"("epoch":0)"},
        {"a negative epoch", R"("epoch":1)", R"("epoch":-7)"},
        {"an epoch as text", R"("epoch":1)", R"("epoch":"1")"},
        {"no epoch", R"("epoch":1,)", ""},
        {"a port of 16 bits and one", ":7000", ":65536"},
        {"no port", ":7000", ""},
        {"a holder that is a number", R"("x")", "7"},
        {"a sequence beyond 64 bits", R"("sequence":3)", R"("sequence":1e30)"},
        {"a share beyond 64 bits", R"("sequence":3)", R"("sequence":3,"strength":1e30)"},
        {"no incarnation", R"(,"incarnation":"i")", ""},
    }));
    CAPTURE(c.what);
    std::string text = all;
    const std::size_t at = text.find(c.from);
    REQUIRE(at != std::string::npos);
    text.replace(at, c.from.size(), c.to);
    testing::FakeRowStore store;
    LeaderLog old(store, leadership("a"));
    REQUIRE(old.acquire(std::nullopt));
    REQUIRE(old.acquire(leaderRow(store)));
    RowChanges changes;
    changes.puts.push_back({LeaderTable, LeaderKey, text});
    REQUIRE(store.commitUnlimited(changes).outcome == CommitOutcome::Applied);
    LeaderLog next(store, leadership("b"));
    REQUIRE(next.acquire(leaderRow(store)));
    CHECK(next.epoch() > old.epoch());
    CHECK(next.epoch() <= leaderRow(store)->version);
    CHECK(old.commit({{ProgressTable, "j", "old"}}, {}) == LeaderLog::Outcome::Deposed);
    LeaderLog third(store, leadership("c"));
    REQUIRE(third.acquire(leaderRow(store)));
    CHECK(third.epoch() == next.epoch() + 1);
}

// Guards against a process that cannot stop while the store is unavailable.
TEST_CASE("an attempt to become the leader is abandoned when the process stops")
{
    testing::FakeRowStore store;
    LeaderLog log(store, leadership("a"));
    store.injectFaults({Fault::Refuse, Fault::Refuse, Fault::Refuse, Fault::Refuse});
    int asked = 0;
    CHECK_FALSE(log.acquire(std::nullopt, [&asked] { return ++asked > 2; }));
    CHECK(asked == 3);
    CHECK_FALSE(leaderRow(store));
}
