#include "fakerowstore.h"
#include "loopback.h"

#include <oleandercross/control/relayedstore.h>
#include <oleandercross/core/json.h>
#include <oleandercross/core/resultcode.h>

#include <catch2/catch.hpp>

using namespace oleandercross;
using namespace oleandercross::control;

namespace {

// A peer that answers every call with the same result, and a store that relays calls through it
// because it cannot be reached itself.
struct RelayFixture
{
    explicit RelayFixture(const std::string &result)
        : server(testing::onLoopback(0), "key")
        , client({}, "key")
        , store(direct, client, [this] {
            return std::vector<http::Endpoint>{{"127.0.0.1", server.port()}};
        })
    {
        for (const char *method : {"store-commit", "store-range", "store-changes"})
            server.add(method, [result](const Json::Value &) { return core::parseJson(result); });
        REQUIRE(server.start());
        direct.setUnavailable(true);
    }

    rpc::Server server;
    rpc::Client client;
    testing::FakeRowStore direct;
    RelayedStore store;
};

// A peer that reaches the store and relays the calls of the test.
struct ServingPeer
{
    ServingPeer()
        : server(testing::onLoopback(0), "key")
        , client({}, "key")
        , store(direct, client, [] { return std::vector<http::Endpoint>(); })
    {
        store.serve(server);
        REQUIRE(server.start());
    }

    std::optional<Json::Value> call(const char *method, const std::string &params)
    {
        return client.call({"127.0.0.1", server.port()}, method, *core::parseJson(params),
                           absl::Seconds(5));
    }

    rpc::Server server;
    rpc::Client client;
    testing::FakeRowStore direct;
    RelayedStore store;
};

} // namespace

// Guards against a write that counts as stored, or as not stored, because the answer of a peer
// cannot be read.
TEST_CASE("the outcome of a relayed commit is unknown if its answer cannot be read")
{
    const std::string answer = GENERATE(
        as<std::string>(), "null", "7", "[]", "{}", R"({"outcome":0})",
        R"({"outcome":0,"version":5})", R"({"outcome":"0","version":5,"current":[]})",
        R"({"outcome":9,"version":5,"current":[]})", R"({"outcome":-1,"version":5,"current":[]})",
        R"({"outcome":4294967296,"version":5,"current":[]})",
        R"({"outcome":0,"version":-5,"current":[]})",
        R"({"outcome":0,"version":9223372036854775807,"current":[]})",
        R"({"outcome":0,"version":5,"current":{}})",
        R"({"outcome":1,"version":5,"current":[["t","k"]]})",
        R"({"outcome":1,"version":5,"current":[["t","k","v","5",false]]})");
    CAPTURE(answer);
    RelayFixture f(answer);
    RowChanges changes;
    changes.puts.push_back({JobTable, "j", "{}"});
    CHECK(f.store.commit(changes, StoreTimeout).outcome == CommitOutcome::Unknown);
}

// Guards against a table that seems empty because the answer of a peer cannot be read: a leader
// that read the progress so would start all tasks again.
TEST_CASE("a relayed table cannot be read if the answer cannot be read")
{
    const std::string answer =
        GENERATE(as<std::string>(), "null", "7", "[]", "{}", R"({"rows":[]})", R"({"version":5})",
                 R"({"rows":{},"version":5})", R"({"rows":[7],"version":5})",
                 R"({"rows":[["t","k","v",5]],"version":5})",
                 R"({"rows":[["t","k","v",1e30,false]],"version":5})",
                 R"({"rows":[],"version":"5"})", R"({"rows":[],"version":1e30})");
    CAPTURE(answer);
    RelayFixture f(answer);
    CHECK_FALSE(f.store.range(ProgressTable, "leader", {}, 10, StoreTimeout));
    CHECK_FALSE(f.store.changes(ProgressTable, 0, absl::ZeroDuration()));
}

// Guards against a transaction that is stored without its conditions, or a call that occupies a
// thread for hours, because the request of a peer cannot be read.
TEST_CASE("relayed calls that cannot be read are refused")
{
    struct Case
    {
        const char *method;
        std::string params;
    };
    const Case c = GENERATE(values<Case>({
        {"store-commit", "{}"},
        {"store-commit", R"({"conditions":[],"puts":[["jobs","j","{}",0,false]]})"},
        {"store-commit",
         R"({"conditions":[["jobs","j","","0",false]],"puts":[["jobs","j","{}",0,false]],"removals":[]})"},
        {"store-commit",
         R"({"conditions":[["jobs","j"]],"puts":[["jobs","j","{}",0,false]],"removals":[]})"},
        {"store-commit",
         R"({"conditions":[["jobs","j","",1e30,false]],"puts":[["jobs","j","{}",0,false]],"removals":[]})"},
        {"store-commit", R"({"conditions":{},"puts":[["jobs","j","{}",0,false]],"removals":[]})"},
        {"store-range", "{}"},
        {"store-range", R"({"table":"jobs","partition":"","from":"","limit":0})"},
        {"store-range", R"({"table":"jobs","partition":"","from":"","limit":4294967297})"},
        {"store-range", R"({"table":7,"partition":"","from":"","limit":1})"},
        {"store-changes", "{}"},
        {"store-changes", R"({"table":"jobs","after":-1,"wait":0})"},
        {"store-changes", R"({"table":"jobs","after":0,"wait":-1})"},
        {"store-changes", R"({"table":"jobs","after":0,"wait":9223372036854775807})"},
    }));
    CAPTURE(c.method, c.params);
    ServingPeer peer;
    CHECK_FALSE(peer.call(c.method, c.params));
    CHECK(core::lastReason().code == core::ResultCode::BadField);
    CHECK(peer.direct.commits() == 0);
}

// Guards against rows that are hidden by one that another writer has left in the same table.
TEST_CASE("rows beside an odd one are relayed unchanged")
{
    const std::string odd = GENERATE(as<std::string>(), "", "\xff\xfe", std::string("\0\x01\n", 3),
                                     "\xed\xa0\x80", std::string(50000, '['));
    ServingPeer peer;
    RowChanges changes;
    changes.puts = {
        {MemberTable, "a", "first"}, {MemberTable, "b", odd}, {MemberTable, "c", "third"}};
    REQUIRE(peer.direct.commit(changes, StoreTimeout).outcome == CommitOutcome::Applied);
    testing::FakeRowStore unreachable;
    unreachable.setUnavailable(true);
    RelayedStore store(unreachable, peer.client, [&peer] {
        return std::vector<http::Endpoint>{{"127.0.0.1", peer.server.port()}};
    });
    const auto page = store.table(MemberTable, StoreTimeout);
    REQUIRE(page);
    REQUIRE(page->rows.size() == 3);
    CHECK(page->rows[0].value == "first");
    CHECK(page->rows[2].value == "third");
}
