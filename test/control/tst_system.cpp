#include "simulatedworker.h"
#include "testprocesses.h"

#include <oleandercross/workload/codec.h>

#include <atomic>
#include <memory>

using namespace oleandercross;
using namespace oleandercross::control;
using namespace oleandercross::control::testing;

namespace {

// A process at the address of a member that answers every call with the same text.
struct OddPeer
{
    explicit OddPeer(std::string answer)
        : server(onLoopback(0))
    {
        server.route("POST", "/rpc", [this, answer = std::move(answer)](const http::Request &) {
            ++calls;
            return http::Response{200, answer};
        });
        REQUIRE(server.start());
    }

    std::atomic<int> calls = 0;
    http::Server server;
};

// Writes a row with the value into each table, beside the rows of the installation and, for the
// leader, in place of its row.
void putOddRows(testing::FakeRowStore &store, const std::string &value)
{
    RowChanges changes;
    changes.puts = {{LeaderTable, LeaderKey, value},
                    {MemberTable, "aaa", value},
                    {MemberTable, "side/i", value},
                    {JobTable, "0000000000000000", value},
                    {JobTable, "a.b", workload::encodeJob(job("5c0e7a21d94b36f8", 1))},
                    {JobTable, "0000000000000001", workload::encodeJob(job("0000000000000001", 1))},
                    {ProgressTable, "0000000000000001", value},
                    {JobTable, CancelSuffix, value},
                    {"op", "config", value}};
    REQUIRE(store.commitUnlimited(changes).outcome == CommitOutcome::Applied);
}

} // namespace

// Guards against a fault anywhere on the path from the caller to the worker and back.
TEST_CASE("a submitted job runs on a worker and its state is reported to the caller")
{
    testing::FakeRowStore store;
    testing::SimulatedWorker worker;
    AgentProcess agent(store, worker, "side");
    agent.agent.heartbeat(worker.report("i-1", 1000));
    EntryProcess entry(store, "front");
    REQUIRE(entry.entry.submit(job("5c0e7a21d94b36f8", 3), nearDeadline())
            == SubmitOutcome::Accepted);
    CHECK(entry.reaches("5c0e7a21d94b36f8", planning::JobState::Running));
    while (worker.completeAll() < 3)
        absl::SleepFor(absl::Milliseconds(10));
    CHECK(entry.reaches("5c0e7a21d94b36f8", planning::JobState::Completed));
    for (const auto &[task, count] : worker.starts())
        CHECK(count == 1);
    while (worker.acknowledged() < 3)
        absl::SleepFor(absl::Milliseconds(10));
}

// Guards against tasks that are lost or started again when the leader is replaced.
TEST_CASE("another entry becomes the leader without affecting running tasks")
{
    testing::FakeRowStore store;
    testing::SimulatedWorker worker;
    AgentProcess agent(store, worker, "side");
    agent.agent.heartbeat(worker.report("i-1", 1000));
    auto first = std::make_unique<EntryProcess>(store, "front-1");
    REQUIRE(first->entry.submit(job("5c0e7a21d94b36f8", 2), nearDeadline())
            == SubmitOutcome::Accepted);
    REQUIRE(first->reaches("5c0e7a21d94b36f8", planning::JobState::Running));
    EntryProcess second(store, "front-2");
    first.reset();
    REQUIRE(second.entry.submit(job("5c0e7a21d94b36f9", 1), nearDeadline())
            == SubmitOutcome::Accepted);
    CHECK(second.reaches("5c0e7a21d94b36f9", planning::JobState::Running));
    for (const auto &[task, count] : worker.starts())
        CHECK(count == 1);
    while (worker.starts().size() < 3)
        absl::SleepFor(absl::Milliseconds(10));
    worker.completeAll();
    CHECK(second.reaches("5c0e7a21d94b36f8", planning::JobState::Completed));
    CHECK(second.reaches("5c0e7a21d94b36f9", planning::JobState::Completed));
}

// Guards against tasks that wait indefinitely for a worker that was lost while there was no leader.
TEST_CASE("tasks of a worker that its agent no longer reports run elsewhere")
{
    testing::FakeRowStore store;
    testing::SimulatedWorker worker;
    auto first = std::make_unique<EntryProcess>(store, "front");
    {
        AgentProcess agent(store, worker, "side-1");
        agent.agent.heartbeat(worker.report("i-1", 1000));
        REQUIRE(first->entry.submit(job("5c0e7a21d94b36f8", 1), nearDeadline())
                == SubmitOutcome::Accepted);
        REQUIRE(first->reaches("5c0e7a21d94b36f8", planning::JobState::Running));
        while (worker.starts().empty())
            absl::SleepFor(absl::Milliseconds(10));
    }
    first.reset();
    testing::SimulatedWorker other;
    AgentProcess withoutWorker(store, worker, "side-1");
    AgentProcess agent(store, other, "side-2");
    agent.agent.heartbeat(other.report("i-2", 2000));
    EntryProcess second(store, "front");
    const core::BootClock clock;
    const core::Instant until = clock.now() + StateTimeout;
    while (other.starts().empty() && clock.now() < until)
        absl::SleepFor(absl::Milliseconds(20));
    REQUIRE(other.starts().size() == 1);
    other.completeAll();
    CHECK(second.reaches("5c0e7a21d94b36f8", planning::JobState::Completed));
}

// Guards against running a task twice: an agent that was frozen or cut off carries out a start that
// waited in its buffers, after the leader has given up its worker and started the task elsewhere.
TEST_CASE("a start that reaches its agent after the worker was given up is not carried out")
{
    testing::FakeRowStore store;
    testing::SimulatedWorker worker;
    testing::SimulatedWorker other;
    AgentProcess agent(store, worker, "side-1");
    agent.agent.heartbeat(worker.report("i-1", 1000));
    EntryProcess entry(store, "front");
    REQUIRE(entry.entry.submit(job("5c0e7a21d94b36f8", 1), nearDeadline())
            == SubmitOutcome::Accepted);
    REQUIRE(waitUntil([&] { return worker.starts().size() == 1; }));

    agent.ordersPaused = true;
    REQUIRE(entry.entry.submit(job("5c0e7a21d94b36f9", 1), nearDeadline())
            == SubmitOutcome::Accepted);
    REQUIRE(waitUntil([&] { return agent.waitingOrders > 0; }));
    agent.watchesPaused = true;
    AgentProcess otherAgent(store, other, "side-2");
    otherAgent.agent.heartbeat(other.report("i-2", 2000));
    REQUIRE(waitUntil([&] { return other.starts().size() == 2; }));

    agent.watchesPaused = false;
    const int extensions = worker.leaseExtensions();
    REQUIRE(waitUntil([&] { return worker.leaseExtensions() > extensions; }));
    agent.ordersPaused = false;
    REQUIRE(waitUntil([&] { return agent.waitingOrders == 0; }));
    CHECK(worker.starts().size() == 1);
}

// Guards against an entry of another writer that ends each process which reads it, hides the rows
// after it, or leaves the installation without a leader: when it arrives, and at each later start.
TEST_CASE("an installation works beside odd rows in each of its tables")
{
    const std::string value = GENERATE(
        as<std::string>(), "\xff\xfe", std::string(100000, '['),
        R"({"epoch":9223372036854775807,"holder":"x","address":"127.0.0.1:65536","sequence":1,)"
        R"("incarnation":"i","role":"agent","state":"running","next":-2147483648,"open":[0],)"
        R"("steps":[{"tasks":4294967297}],"version":1e300})");
    CAPTURE(value.substr(0, 100));
    testing::FakeRowStore store;
    testing::SimulatedWorker worker;
    OddPeer peer(R"({"jsonrpc":"2.0","id":1,"result":)" + std::string(100000, '['));
    announce(store,
             {"odd", MemberRole::Agent, {"127.0.0.1", peer.server.port()}, "another writer"});
    putOddRows(store, value);
    AgentProcess agent(store, worker, "side");
    agent.agent.heartbeat(worker.report("i-1", 1000));
    int completed = 0;
    const auto runJob = [&](EntryProcess &process, const std::string &id) {
        REQUIRE(process.entry.submit(job(id, 1), nearDeadline()) == SubmitOutcome::Accepted);
        REQUIRE(process.reaches(id, planning::JobState::Running));
        const core::BootClock clock;
        const core::Instant until = clock.now() + StateTimeout;
        while (worker.completeAll() == 0 && clock.now() < until)
            absl::SleepFor(absl::Milliseconds(10));
        REQUIRE(process.reaches(id, planning::JobState::Completed));
        ++completed;
    };
    auto entry = std::make_unique<EntryProcess>(store, "front");
    runJob(*entry, "5c0e7a21d94b36f0");
    putOddRows(store, value);
    runJob(*entry, "5c0e7a21d94b36f1");
    entry.reset();
    putOddRows(store, value);
    EntryProcess next(store, "front");
    runJob(next, "5c0e7a21d94b36f2");
    CHECK(completed == 3);
    CHECK(peer.calls > 0);
    for (const auto &[task, count] : worker.starts())
        CHECK(count == 1);
}
