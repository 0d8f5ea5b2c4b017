#include <oleandercross/platform/httpadapters.h>

#include <oleandercross/core/resultcode.h>
#include <oleandercross/platform/writemarker.h>

#include <platform/testservers.h>

#include <thread>

using namespace oleandercross;
using core::ResultCode;
using platform::TaskState;

namespace {

// For calls that are expected to time out, and for all others.
constexpr absl::Duration ShortTimeout = absl::Milliseconds(300);
constexpr absl::Duration LongTimeout = absl::Seconds(10);

platform::Transaction put(const std::string &id, const std::string &key, const std::string &value)
{
    return {id, {}, {{key, value}, {platform::WriteMarkerPrefix + std::string("t/0"), id}}, {}};
}

} // namespace

TEST_CASE("the table service reads, scans and writes conditionally")
{
    test::TestServer<standin::TableRole> tables;
    http::ClientPool pool({});
    platform::HttpTableService service(pool, tables.server.endpoint());

    const auto missing = service.read("a/1");
    REQUIRE(missing);
    CHECK_FALSE(*missing);
    const auto version = service.write({"w1", {{"a/1", 0}}, {{"a/1", "x"}, {"a/2", "y"}}, {}});
    REQUIRE(version);
    const auto row = service.read("a/1");
    REQUIRE(row);
    CHECK(*row == platform::Row{"a/1", "x", *version});

    CHECK_FALSE(service.write({"w2", {{"a/1", 0}}, {{"a/3", "z"}}, {}}));
    CHECK(core::lastReason().code == ResultCode::VersionConflict);
    CHECK_FALSE(tables.role.row("a/3"));

    REQUIRE(service.write({"w3", {{"a/1", *version}}, {{"b", "z"}}, {"a/1"}}));
    CHECK_FALSE(*service.read("a/1"));
    REQUIRE(service.write({"w4", {}, {{"a/3", "3"}, {"a/4", "4"}}, {}}));
    const auto page = service.scan("a/", "a/2", 1);
    REQUIRE(page);
    REQUIRE(page->size() == 1);
    CHECK(page->front().key == "a/3");
    CHECK(service.scan("a/", "", 10)->size() == 3);
}

TEST_CASE("a failed table write reports whether it may have taken effect")
{
    struct Case
    {
        std::string fault;
        ResultCode code;
        bool applied;
        absl::Duration timeout = LongTimeout;
    };
    const auto c = GENERATE(values<Case>({
        {R"({"refuse": 1})", ResultCode::StoreUnavailable, false},
        {R"({"outage": "refuse", "outage_ms": 60000})", ResultCode::StoreUnavailable, false},
        {R"({"close": 1})", ResultCode::OutcomeUnknown, false},
        {R"({"ignore": 1})", ResultCode::OutcomeUnknown, false, ShortTimeout},
        {R"({"lose": 1})", ResultCode::OutcomeUnknown, true},
        {R"({"stall": 1})", ResultCode::OutcomeUnknown, true, ShortTimeout},
        {R"({"cut": 1})", ResultCode::OutcomeUnknown, true},
        {R"({"shorten": 1})", ResultCode::OutcomeUnknown, true},
        {R"({"late": 1, "by_ms": 1000})", ResultCode::OutcomeUnknown, true, ShortTimeout},
    }));
    CAPTURE(c.fault);
    test::TestServer<standin::TableRole> tables;
    http::ClientPool pool({});
    platform::HttpTableService service(pool, tables.server.endpoint(), c.timeout);
    tables.fault(c.fault);
    const platform::Transaction transaction = put("w1", "a", "x");
    CHECK_FALSE(service.write(transaction));
    CHECK(core::lastReason().code == c.code);
    tables.fault(R"({"clear": true})");
    platform::HttpTableService reader(pool, tables.server.endpoint(), LongTimeout);
    const auto applied = reader.applied(transaction);
    REQUIRE(applied);
    CHECK(*applied == c.applied);
}

// Guards against treating rows overwritten by others as proof that a write was not applied.
TEST_CASE("a write is recognised after others have overwritten its rows")
{
    test::TestServer<standin::TableRole> tables;
    http::ClientPool pool({});
    platform::HttpTableService service(pool, tables.server.endpoint(), LongTimeout);
    const platform::Transaction first = put("w1", "a", "x");
    REQUIRE(service.write(first));
    REQUIRE(service.write({"other", {}, {{"a", "changed"}}, {}}));
    CHECK(service.applied(first) == true);
    CHECK(service.applied(put("w2", "a", "x")) == false);
    CHECK_FALSE(service.applied({"w3", {}, {{"a", "x"}}, {}}));
    CHECK(core::lastReason().code == ResultCode::OutcomeUnknown);
}

// Guards against accepting a response that was swapped with that of another call, or a duplicate of
// the response to the previous call.
TEST_CASE("table responses to other calls are rejected")
{
    test::TestServer<standin::TableRole> tables;
    http::ClientPool pool({});
    platform::HttpTableService service(pool, tables.server.endpoint());
    REQUIRE(service.write({"w1", {}, {{"a", "1"}, {"b", "2"}}, {}}));

    tables.fault(R"({"swap": 2})");
    std::optional<std::optional<platform::Row>> a;
    std::thread other([&] { a = service.read("a"); });
    const auto b = service.read("b");
    other.join();
    CHECK_FALSE(a);
    CHECK_FALSE(b);

    tables.fault(R"({"twice": 20})");
    for (int i = 0; i < 20; ++i) {
        const std::string key = i % 2 == 0 ? "a" : "b";
        const auto row = service.read(key);
        if (row)
            CHECK((*row)->key == key);
    }
}

TEST_CASE("objects are stored whole")
{
    test::TestServer<standin::TableRole> objects;
    http::ClientPool pool({});
    platform::HttpObjectStore store(pool, objects.server.endpoint(), LongTimeout);
    const std::string key = "snapshot/a b&c=d/%41";
    std::string bytes(100000, 'x');
    bytes[7] = '\0';
    bytes += "\xff\r\n";

    const auto missing = store.fetch(key);
    REQUIRE(missing);
    CHECK_FALSE(*missing);
    REQUIRE(store.put(key, bytes));
    const auto found = store.fetch(key);
    REQUIRE(found);
    CHECK(*found == bytes);
    // The key must not be cut at a character that is special in URLs.
    CHECK_FALSE(*store.fetch("snapshot/a b"));
    REQUIRE(store.put(key, ""));
    CHECK(store.fetch(key) == std::optional<std::string>(""));

    const std::string fault = GENERATE(as<std::string>(), R"({"refuse": 1})", R"({"cut": 1})",
                                       R"({"shorten": 1})", R"({"lose": 1})");
    CAPTURE(fault);
    REQUIRE(store.put(key, bytes));
    objects.fault(fault);
    CHECK_FALSE(store.fetch(key));
    CHECK(core::lastReason().code == ResultCode::StoreUnavailable);
    objects.fault(fault);
    CHECK_FALSE(store.put(key, bytes));
    CHECK(core::lastReason().code == ResultCode::StoreUnavailable);
}

TEST_CASE("a failed minion call reports whether the request may have been executed")
{
    struct Case
    {
        std::string fault;
        std::optional<ResultCode> code;
        int executions;
    };
    const auto c = GENERATE(values<Case>({
        {"{}", std::nullopt, 1},
        {R"({"twice": 1})", std::nullopt, 1},
        {R"({"late": 1, "by_ms": 50})", std::nullopt, 1},
        {R"({"refuse": 1})", ResultCode::ConnectionFailed, 0},
        {R"({"close": 1})", ResultCode::ConnectionLost, 0},
        {R"({"lose": 1})", ResultCode::ConnectionLost, 1},
        {R"({"ignore": 1})", ResultCode::Timeout, 0},
        {R"({"stall": 1})", ResultCode::Timeout, 1},
        {R"({"late": 1, "by_ms": 2000})", ResultCode::Timeout, 1},
        {R"({"cut": 1})", ResultCode::BadAnswer, 1},
        {R"({"shorten": 1})", ResultCode::BadAnswer, 1},
    }));
    CAPTURE(c.fault);
    test::TestServer<standin::MinionRole> minion(8);
    http::ClientPool pool({});
    platform::HttpMinionClient client(pool, minion.server.endpoint());
    minion.fault(c.fault);
    const platform::MinionRequest request{core::RequestId("r1"), core::AccountId("a"),
                                          core::ServiceId("s"), R"({"echo": "hello"})", ""};
    const bool timesOut = c.code == ResultCode::Timeout;
    const auto response = client.execute(request, timesOut ? ShortTimeout : LongTimeout);
    CHECK(response.has_value() == !c.code.has_value());
    if (c.code)
        CHECK(core::lastReason().code == *c.code);
    else
        CHECK(core::stringMember(*core::parseJson(response->body), "echo") == "hello");
    CHECK(minion.role.executions("r1") == c.executions);
}

// Guards against a caller that receives the response to another caller's request.
TEST_CASE("swapped minion responses are delivered to neither caller")
{
    test::TestServer<standin::MinionRole> minion(8);
    http::ClientPool pool({});
    platform::HttpMinionClient client(pool, minion.server.endpoint());
    minion.fault(R"({"swap": 2})");
    std::vector<std::thread> callers;
    std::atomic<int> rejected = 0;
    for (const std::string id : {"r1", "r2"}) {
        callers.emplace_back([&, id] {
            const platform::MinionRequest request{core::RequestId(id), core::AccountId("a"),
                                                  core::ServiceId("s"), "{}", ""};
            if (!client.execute(request, absl::Seconds(5))
                && core::lastReason().code == ResultCode::BadAnswer)
                ++rejected;
        });
    }
    for (std::thread &caller : callers)
        caller.join();
    CHECK(rejected == 2);
}

TEST_CASE("a minion reports failures, health and cancelled requests")
{
    test::TestServer<standin::MinionRole> minion(8);
    http::ClientPool pool({});
    platform::HttpMinionClient client(pool, minion.server.endpoint());
    CHECK(client.healthy(LongTimeout));
    const auto failed = client.execute({core::RequestId("r1"), core::AccountId("a"),
                                        core::ServiceId("s"), R"({"fail": true})", ""},
                                       absl::Seconds(5));
    REQUIRE(failed);
    CHECK_FALSE(failed->succeeded);

    std::optional<platform::MinionResponse> cancelled;
    std::thread caller([&] {
        cancelled = client.execute({core::RequestId("r2"), core::AccountId("a"),
                                    core::ServiceId("s"), R"({"work_ms": 60000})", ""},
                                   absl::Seconds(20));
    });
    CHECK(test::eventually([&] { return minion.role.executions("r2") == 1; }));
    CHECK(client.cancel(core::RequestId("r2")));
    caller.join();
    REQUIRE(cancelled);
    CHECK_FALSE(cancelled->succeeded);

    minion.fault(R"({"outage": "silent", "outage_ms": 60000})");
    CHECK_FALSE(client.healthy(ShortTimeout));
}
