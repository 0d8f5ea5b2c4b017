#include "simulatedworker.h"
#include "testprocesses.h"

#include <oleandercross/core/resultcode.h>

using namespace oleandercross;
using namespace oleandercross::control;
using namespace oleandercross::control::testing;

// Guards against ends that a worker lists for ever, since the only call that acknowledged them was
// lost and no other order follows.
TEST_CASE("a lost acknowledgement is repeated")
{
    FakeRowStore store;
    SimulatedWorker worker;
    Agent agent({"side-1", absl::Seconds(6)}, worker);
    const int port = freePort();
    rpc::Server server(onLoopback(port), Key);
    std::atomic<bool> lose = false;
    std::atomic<int> lost = 0;
    server.add("watch", [&](const Json::Value &params) -> std::optional<Json::Value> {
        const auto state = agent.watch(watchCallFromJson(params));
        return state ? std::optional(toJson(*state)) : std::nullopt;
    });
    server.add("orders", [&](const Json::Value &params) -> std::optional<Json::Value> {
        if (lose.exchange(false)) {
            ++lost;
            core::fail(core::ResultCode::ConnectionLost, "lost");
            return std::nullopt;
        }
        const auto results = agent.execute(*orderCallFromJson(params));
        Json::Value answer(Json::objectValue);
        for (const OrderResult result : *results)
            answer["results"].append(static_cast<int>(result));
        return answer;
    });
    REQUIRE(server.start());
    agent.start();
    announce(store, {"side-1", MemberRole::Agent, {"127.0.0.1", port}, "life"});
    agent.heartbeat(worker.report("i-1", 1000));
    EntryProcess entry(store, "front", absl::Seconds(6));
    REQUIRE(entry.entry.submit(job("5c0e7a21d94b36f8", 1), nearDeadline())
            == SubmitOutcome::Accepted);
    REQUIRE(waitUntil([&] { return worker.starts().size() == 1; }));
    // No order follows before the end.
    absl::SleepFor(absl::Seconds(1));
    lose = true;
    CHECK(worker.completeAll() == 1);
    REQUIRE(waitUntil([&] { return lost == 1; }));
    CHECK(waitUntil([&] { return worker.acknowledged() == 1; }, absl::Seconds(10)));
    agent.stop();
    server.stop();
}
