#include <oleandercross/core/json.h>
#include <oleandercross/http/server.h>
#include <platform/httprowstore.h>

#include <catch2/catch.hpp>

using namespace oleandercross;

namespace {

// Gives every store call the same answer and records the last request.
class StoreServer
{
public:
    StoreServer(int status, std::string body)
        : m_server(options())
    {
        for (const char *method : {"GET", "POST"}) {
            m_server.route(method, "/oleandercross/.*",
                           [this, status, body](const http::Request &request) {
                               last = request;
                               return http::Response{status, body};
                           });
        }
        REQUIRE(m_server.start());
    }

    http::Endpoint address() const { return {"127.0.0.1", m_server.port()}; }

    http::Request last;

private:
    static http::ServerOptions options()
    {
        http::ServerOptions options;
        options.listen = {"127.0.0.1", 0};
        return options;
    }

    http::Server m_server;
};

} // namespace

// Guards against outcomes that the answer doesn't prove: a commit may be reported as refused only
// if it certainly has no effect.
TEST_CASE("the outcome of a transaction follows from the answer")
{
    struct Case
    {
        int status;
        const char *body;
        control::CommitOutcome outcome;
    };
    const Case c = GENERATE(values<Case>({
        {200, R"({"ver":412,"nowMs":1})", control::CommitOutcome::Applied},
        {412, R"({"ver":412,"rows":[]})", control::CommitOutcome::Conflict},
        {503, "", control::CommitOutcome::Refused},
        {429, "", control::CommitOutcome::Refused},
        {408, "", control::CommitOutcome::Refused},
        {400, "", control::CommitOutcome::Rejected},
        {403, "", control::CommitOutcome::Rejected},
        {413, "", control::CommitOutcome::Rejected},
        {500, "", control::CommitOutcome::Unknown},
        {200, R"({"ver":41)", control::CommitOutcome::Unknown},
    }));
    StoreServer server(c.status, c.body);
    http::ClientPool pool({});
    platform::HttpRowStore store(pool, server.address());
    control::RowChanges changes;
    changes.conditions.push_back({"t", "k", 3});
    changes.puts.push_back({"t", "k", std::string("\0\xff", 2)});
    changes.removals.push_back({"t", "old"});
    const control::CommitResult result = store.commit(changes, absl::Seconds(5));
    CHECK(result.outcome == c.outcome);
    if (c.outcome == control::CommitOutcome::Applied)
        CHECK(result.version == 412);
    else if (c.outcome != control::CommitOutcome::Conflict || c.status != 200)
        CHECK_FALSE(result.reason.empty());
    const auto body = core::parseJson(server.last.body);
    REQUIRE(body);
    CHECK((*body)["expected"][0U]["ver"].asInt() == 3);
    CHECK((*body)["setKeys"][0U]["value"].asString() == "AP8=");
    CHECK((*body)["remove"][0U]["key"].asString() == "old");
}

// Guards against confusing a call that was never sent with one whose outcome is unknown.
TEST_CASE("a commit is refused if the store cannot be connected")
{
    http::ClientPool pool({});
    platform::HttpRowStore store(pool, {"127.0.0.1", 1});
    const auto result = store.commit({}, absl::Seconds(1));
    CHECK(result.outcome == control::CommitOutcome::Refused);
    CHECK_FALSE(store.range("t", "", "", 1, absl::Seconds(1)));
}

// Guards against rows that are decoded differently from how another process encoded them.
TEST_CASE("rows and changes are decoded")
{
    StoreServer server(
        200,
        R"({"rows":[{"table":"t","part":"","key":"a","value":"AP8=","ver":4},)"
        R"({"table":"t","part":"","key":"b","ver":5,"tombstone":true}],"hasMore":true,"ver":9})");
    http::ClientPool pool({});
    platform::HttpRowStore store(pool, server.address());
    const auto page = store.range("t", "p 1", "a/b c", 2, absl::Seconds(5));
    REQUIRE(page);
    CHECK(page->rows.at(0) == control::StoredRow{"t", "a", std::string("\0\xff", 2), 4, false});
    CHECK(page->more);
    CHECK(page->version == 9);
    CHECK(server.last.query["part"] == "p 1");
    CHECK(server.last.query["from"] == "a/b c");
    const auto feed = store.changes("t", 3, absl::Milliseconds(10));
    REQUIRE(feed);
    CHECK(feed->rows.at(1).removed);
    CHECK(feed->version == 9);
    CHECK_FALSE(feed->historyLost);
}

// Guards against changes that are missed after the store has truncated its history.
TEST_CASE("lost history is reported")
{
    StoreServer server(410, "{}");
    http::ClientPool pool({});
    platform::HttpRowStore store(pool, server.address());
    const auto feed = store.changes("t", 3, absl::Milliseconds(10));
    REQUIRE(feed);
    CHECK(feed->historyLost);
}

// Guards against transactions that the store rejects because they do not say that they span
// partitions, and against the slower execution of those that claim it needlessly.
TEST_CASE("a transaction says whether it spans partitions")
{
    struct Row
    {
        control::RowChanges changes;
        bool across;
    };
    const std::string id = "0123456789abcdef";
    const Row row = GENERATE_COPY(
        Row{{{{control::JobTable, id, 0}},
             {{control::JobTable, id + control::CancelSuffix, {}}},
             {}},
            false},
        Row{{{{control::LeaderTable, control::LeaderKey, 4}},
             {{control::ProgressTable, id, {}}, {control::LeaderTable, control::LeaderKey, {}}},
             {}},
            false},
        Row{{{{control::LeaderTable, control::LeaderKey, 4}},
             {{control::LeaderTable, control::LeaderKey, {}}},
             {{control::JobTable, id, {}}, {control::ProgressTable, id, {}}}},
            true});
    StoreServer server(200, R"({"ver":1})");
    http::ClientPool pool({});
    platform::HttpRowStore store(pool, server.address());
    REQUIRE(store.commit(row.changes, absl::Seconds(5)).outcome == control::CommitOutcome::Applied);
    const auto body = core::parseJson(server.last.body);
    REQUIRE(body);
    CHECK(core::boolMember(*body, "across") == row.across);
    for (const char *list : {"expected", "setKeys", "remove"}) {
        for (const Json::Value &entry : core::member(*body, list))
            CHECK(core::stringMember(entry, "part")
                  == control::partitionOf(core::stringMember(entry, "table"),
                                          core::stringMember(entry, "key")));
    }
}

// Guards against a table that cannot be read, or whose changes are not followed any more, because
// of one row of another writer.
TEST_CASE("an odd row does not hide the rows beside it")
{
    const std::string odd =
        GENERATE(as<std::string>(), R"({"table":"members","key":"\ud800","value":"e30=","ver":2})",
                 R"({"table":"members","key":"\udc00\ud800","value":"e30=","ver":2})",
                 R"({"table":"members","key":"\ud800\\u0041\ud83d\ude00","value":"e30=","ver":2})",
                 R"({"table":"members","key":"\\ud800\u0000\n","value":"e30=","ver":2})",
                 R"({"table":"members","key":"x","value":"not base64!","ver":2})",
                 R"({"table":"members","key":"x","value":7,"ver":"2"})",
                 R"({"table":"members","key":"x","value":"","ver":1e30})", R"({"key":null})", "7",
                 "[1]", "null");
    CAPTURE(odd);
    StoreServer server(200,
                       R"({"rows":[{"table":"members","key":"a","value":"Zmlyc3Q=","ver":1},)" + odd
                           + R"(,{"table":"members","key":"z","value":"bGFzdA==","ver":3}],)"
                             R"("hasMore":false,"ver":3,"nowMs":1})");
    http::ClientPool pool({});
    platform::HttpRowStore store(pool, server.address());
    const auto page = store.table("members", absl::Seconds(5));
    REQUIRE(page);
    REQUIRE(page->rows.size() == 3);
    CHECK(page->rows[0].value == "first");
    CHECK(page->rows[2].value == "last");
    const auto feed = store.changes("members", 0, absl::ZeroDuration());
    REQUIRE(feed);
    REQUIRE(feed->rows.size() == 3);
    CHECK(feed->rows[2].key == "z");
    CHECK(feed->version == 3);
}
