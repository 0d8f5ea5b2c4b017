#include "fakerowstore.h"
#include "loopback.h"
#include "simulatedworker.h"
#include "testprocesses.h"

#include <oleandercross/control/closeddatacentres.h>
#include <oleandercross/control/configreplica.h>
#include <oleandercross/core/json.h>

using namespace oleandercross;
using namespace oleandercross::control;
using namespace oleandercross::control::testing;

namespace {

const std::string Prefix = "evacuate/";

StoredRow row(const std::string &name, std::int64_t version, bool removed = false)
{
    return {"op", Prefix + name, "{}", version, removed};
}

void close(RowStore &store, const std::string &name)
{
    RowChanges changes;
    changes.puts.push_back({"op", Prefix + name, "\xff"});
    REQUIRE(store.commit(changes, StoreTimeout).outcome == CommitOutcome::Applied);
}

void open(RowStore &store, const std::string &name)
{
    RowChanges changes;
    changes.removals.push_back({"op", Prefix + name, {}});
    REQUIRE(store.commit(changes, StoreTimeout).outcome == CommitOutcome::Applied);
}

struct Updates
{
    void apply(bool wholeTable, const std::vector<StoredRow> &rows, std::int64_t version)
    {
        replica.apply({wholeTable, rows, version, absl::UnixEpoch() + absl::Seconds(version)});
    }

    void expect(std::int64_t version, const std::map<std::string, std::int64_t> &rows) const
    {
        CHECK(*replica.current() == ClosedDataCentres{version, rows});
        CHECK(metrics.value("data_centres_closed") == static_cast<std::int64_t>(rows.size()));
    }

    telemetry::Metrics metrics;
    ClosureReplica replica{Prefix, metrics};
};

} // namespace

// Guards against data centres that stay closed or open because a removal, a repeated write, lost
// history or a row that cannot be read is not applied as the operator meant it.
TEST_CASE("the closed data centres follow the rows of the operator's table")
{
    Updates u;
    u.apply(true, {{"op", "config", "{}", 2, false}, row("brum", 3)}, 4);
    u.expect(4, {{"brum", 3}});
    u.apply(false, {row("lyon", 5), row("nowhere", 6), row("brum", 7)}, 7);
    u.expect(7, {{"brum", 7}, {"lyon", 5}, {"nowhere", 6}});
    CHECK(u.replica.changedVersion() == 7);
    u.apply(false, {row("brum", 8, true)}, 8);
    u.expect(8, {{"lyon", 5}, {"nowhere", 6}});
    u.apply(false, {row("", 9), row("\xff\xfe", 9), row(std::string(201, 'a'), 9)}, 9);
    u.expect(9, {{"lyon", 5}, {"nowhere", 6}});
    CHECK(u.replica.changedVersion() == 8);
    u.apply(false, {}, 12);
    CHECK(u.replica.confirmedAt() == absl::FromUnixSeconds(12));
    u.apply(true, {row("brum", 13)}, 14);
    u.expect(14, {{"brum", 13}});
    u.apply(true, {}, 11);
    u.expect(14, {{"brum", 13}});
}

// Guards against a feed that undoes newer changes that were learned from a peer.
TEST_CASE("changes before the version of an adopted set are not applied again")
{
    Updates u;
    u.apply(true, {}, 1);
    u.replica.adopt({10, {{"brum", 9}}}, absl::FromUnixSeconds(10));
    u.apply(false, {row("brum", 2), row("brum", 3, true)}, 8);
    u.expect(10, {{"brum", 9}});
    u.apply(false, {row("brum", 9), row("lyon", 5), row("lyon", 7, true), row("york", 11)}, 11);
    u.expect(11, {{"brum", 9}, {"york", 11}});
    u.replica.adopt({6, {}}, absl::FromUnixSeconds(99));
    u.expect(11, {{"brum", 9}, {"york", 11}});
    CHECK(u.replica.confirmedAt() == absl::FromUnixSeconds(11));
}

// Guards against an agent or peer that forgets what is closed, or ends, because of a set that
// cannot be read.
TEST_CASE("a set of closed data centres keeps its content in calls and odd ones are refused")
{
    const ClosedDataCentres closed{12, {{"brum", 9}, {"\u00e9", 12}}};
    OrderCall call;
    call.closed = closed;
    call.startsUntilMs = -7;
    CHECK(orderCallFromJson(toJson(call))->startsUntilMs == -7);
    CHECK(orderCallFromJson(toJson(call))->closed == closed);
    CHECK(watchCallFromJson(toJson(WatchCall{{}, 0, 0, {}, {}, {}, closed})).closed == closed);
    CHECK(orderCallFromJson(toJson(OrderCall{}))->closed == ClosedDataCentres{});
    for (const char *odd : {"7", "[]", "{}", R"({"version":"a","rows":{}})",
                            R"({"version":1,"rows":[]})", R"({"version":1,"rows":{"a":"b"}})"}) {
        Json::Value value = toJson(call);
        value["closed"] = *core::parseJson(odd);
        CHECK_FALSE(orderCallFromJson(value));
    }
}

// Guards against an entry that cannot reach the store and does not learn what was closed, or takes
// the age of its peer's knowledge for that of its own.
TEST_CASE("an entry that is cut off learns the closed data centres from its peers")
{
    testing::FakeRowStore store;
    testing::FakeRowStore unreachable;
    unreachable.setUnavailable(true);
    telemetry::Metrics metrics;
    rpc::Client client({}, "key");
    rpc::Server servers[] = {{onLoopback(0), "key"}, {onLoopback(0), "key"}};
    std::vector<http::Endpoint> addresses;
    std::vector<std::unique_ptr<ConfigReplica>> replicas;
    for (rpc::Server &server : servers) {
        REQUIRE(server.start());
        addresses.push_back({"127.0.0.1", server.port()});
    }
    for (std::size_t i = 0; i < 2; ++i) {
        replicas.push_back(std::make_unique<ConfigReplica>(
            ConfigReplicaOptions{"op", "config", addresses[i], absl::Seconds(5), Prefix},
            i == 0 ? store : unreachable, client, metrics,
            [](const std::string &) { return std::optional(workload::Catalog{}); },
            ConfigReplica::Callbacks{[&addresses, i] { return std::vector{addresses[1 - i]}; },
                                     [](const auto &) {}}));
        replicas[i]->serve(servers[i]);
    }
    replicas[1]->start();
    replicas[0]->start();
    const ClosureReplica &learned = *replicas[1]->closures();
    close(store, "brum");
    CHECK(waitUntil([&] { return learned.current()->contains("brum"); }));
    CHECK(learned.confirmedAt() <= replicas[0]->closures()->confirmedAt());
    open(store, "brum");
    CHECK(waitUntil([&] { return learned.current()->rows.empty(); }));
    for (const auto &replica : replicas)
        replica->stop();
    for (rpc::Server &server : servers)
        server.stop();
}

// Guards against a new leader that starts work before it knows what was closed under the leader
// before it, and against a data centre that gets no work after it has been opened.
TEST_CASE("nothing starts in a data centre while it is closed, also under a new leader")
{
    testing::FakeRowStore store;
    testing::SimulatedWorker worker;
    AgentProcess agent(store, worker, "side");
    agent.agent.heartbeat(worker.report("i-1", 1000));
    close(store, "brum");
    auto first = std::make_unique<EntryProcess>(store, "front-1");
    REQUIRE(first->entry.submit(job("5c0e7a21d94b36f8", 1), nearDeadline())
            == SubmitOutcome::Accepted);
    REQUIRE(first->reaches("5c0e7a21d94b36f8", planning::JobState::Queued));
    EntryProcess second(store, "front-2");
    first.reset();
    REQUIRE(waitUntil([&] { return second.entry.queueLength("q", nearDeadline()) == 1; }));
    absl::SleepFor(absl::Milliseconds(300));
    CHECK(worker.starts().empty());
    open(store, "brum");
    CHECK(second.reaches("5c0e7a21d94b36f8", planning::JobState::Running));
    close(store, "brum");
    REQUIRE(waitUntil([&] { return second.metrics.value("data_centres_closed") == 1; }));
    worker.completeAll();
    CHECK(second.reaches("5c0e7a21d94b36f8", planning::JobState::Completed));
    for (const auto &[task, count] : worker.starts())
        CHECK(count == 1);
}

// Guards against a leader that counts a start which an agent refused for a closure as executed, or
// its worker as refusing.
TEST_CASE("a leader starts a task again that an agent refused for a closure")
{
    testing::FakeRowStore store;
    testing::SimulatedWorker worker;
    AgentProcess agent(store, worker, "side");
    agent.agent.heartbeat(worker.report("i-1", 1000));
    EntryProcess entry(store, "front");
    REQUIRE(entry.entry.submit(job("5c0e7a21d94b36f8", 1), nearDeadline())
            == SubmitOutcome::Accepted);
    REQUIRE(entry.reaches("5c0e7a21d94b36f8", planning::JobState::Running));
    // The agent knows a closure of which the leader has not heard yet.
    WatchCall tell;
    tell.term.epoch = decodeLeadership(*store.value(LeaderTable, LeaderKey))->epoch;
    tell.closed = {1000, {{"brum", 1000}}};
    REQUIRE(agent.agent.watch(tell));
    REQUIRE(entry.entry.submit(job("5c0e7a21d94b36f9", 1), nearDeadline())
            == SubmitOutcome::Accepted);
    REQUIRE(waitUntil([&] { return entry.metrics.value("starts_refused_closed") > 0; }));
    CHECK(worker.starts().size() == 1);
    tell.closed = {1001, {}};
    REQUIRE(agent.agent.watch(tell));
    CHECK(waitUntil([&] { return worker.starts().size() == 2; }));
    CHECK(entry.metrics.value("starts_refused") == 0);
}

// Guards against a leader that stores progress but no longer hears what the operator closes, and
// starts work later than the platform allows.
TEST_CASE("a leader starts nothing while its set of closed data centres is too old")
{
    testing::FakeRowStore store;
    testing::SimulatedWorker worker;
    AgentProcess agent(store, worker, "side");
    agent.agent.heartbeat(worker.report("i-1", 1000));
    EntryProcess entry(store, "front", absl::Milliseconds(500), absl::Seconds(4));
    REQUIRE(entry.entry.submit(job("5c0e7a21d94b36f8", 1), nearDeadline())
            == SubmitOutcome::Accepted);
    REQUIRE(entry.reaches("5c0e7a21d94b36f8", planning::JobState::Running));
    store.holdChanges("op");
    absl::SleepFor(absl::Seconds(3));
    REQUIRE(entry.entry.submit(job("5c0e7a21d94b36f9", 1), nearDeadline())
            == SubmitOutcome::Accepted);
    absl::SleepFor(absl::Milliseconds(500));
    CHECK(worker.starts().size() == 1);
    store.holdChanges({});
    CHECK(entry.reaches("5c0e7a21d94b36f9", planning::JobState::Running));
}
