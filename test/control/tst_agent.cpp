#include <oleandercross/control/agent.h>
#include <oleandercross/core/resultcode.h>

#include <catch2/catch.hpp>

#include <atomic>
#include <deque>
#include <functional>

using namespace oleandercross;
using namespace oleandercross::control;

namespace {

// A port with configurable outcomes that records starts and renewals.
class FakeWorkerPort : public WorkerPort
{
public:
    OrderOutcome start(const WorkerReport &, const StartOrder &order, absl::Duration) override
    {
        absl::MutexLock lock(&mutex);
        starts.push_back(order);
        if (startOutcomes.empty())
            return OrderOutcome::Done;
        const OrderOutcome outcome = startOutcomes.front();
        startOutcomes.pop_front();
        return outcome;
    }

    OrderOutcome stop(const WorkerReport &, const workload::RunKey &, std::int64_t,
                      absl::Duration) override
    {
        return OrderOutcome::Done;
    }

    OrderOutcome renew(const WorkerReport &, const RenewOrder &order, WorkerRuns &result,
                       absl::Duration) override
    {
        absl::MutexLock lock(&mutex);
        renewals.push_back(order);
        result = runs;
        return renewOutcome;
    }

    absl::Mutex mutex;
    std::vector<StartOrder> starts;
    std::vector<RenewOrder> renewals;
    std::deque<OrderOutcome> startOutcomes;
    OrderOutcome renewOutcome = OrderOutcome::Done;
    WorkerRuns runs;
};

WorkerReport report(std::int64_t startMs = 1000, std::int64_t sequence = 1)
{
    WorkerReport report;
    report.id = "i-1";
    report.startedAtMs = startMs;
    report.address = {"127.0.0.1", 8080};
    report.service = "booking";
    report.rack = "r1";
    report.capacity = {32000, 64000, 8};
    report.sequence = sequence;
    report.clockMs = 5000;
    return report;
}

// Returns the end of a permit that does not expire during a test.
std::int64_t farFuture()
{
    return absl::ToUnixMillis(core::BootClock().now() + absl::Hours(1));
}

OrderCall startCall(std::int64_t epoch, const WorkerReport &worker)
{
    OrderCall call;
    call.epoch = epoch;
    call.renewUntilMs = farFuture();
    call.workerIncarnation = incarnationKey("side", worker);
    planning::Order order;
    order.run = {{"j", 0, 0, 0}, 1};
    call.orders.push_back(order);
    return call;
}

} // namespace

// Guards against executing orders of a leader that has been replaced.
TEST_CASE("an agent refuses calls of an older epoch")
{
    FakeWorkerPort port;
    Agent agent({"side", absl::Seconds(6)}, port);
    agent.heartbeat(report());
    WatchCall watch;
    watch.epoch = 5;
    REQUIRE(agent.watch(watch));
    watch.epoch = 4;
    CHECK_FALSE(agent.watch(watch));
    CHECK(core::lastReason().code == core::ResultCode::StaleEpoch);
    CHECK_FALSE(agent.execute(startCall(4, report())));
    CHECK(port.starts.empty());
}

// Guards against starts on another incarnation of the worker, under a lease that cannot be
// extended, or on a worker that is lost or about to stop.
TEST_CASE(
    "starts on a replaced, lost or draining worker or without a valid permit are not executed")
{
    struct Case
    {
        const char *what;
        std::function<void(Agent &, OrderCall &)> change;
        OrderResult result;
    };
    const Case c = GENERATE(values<Case>({
        {"another incarnation of the worker",
         [](Agent &, OrderCall &call) { call.workerIncarnation = "side/i-1/999"; },
         OrderResult::NotApplicable},
        {"an expired permit", [](Agent &, OrderCall &call) { call.renewUntilMs = 1; },
         OrderResult::NotApplicable},
        {"a deregistered worker", [](Agent &agent, OrderCall &) { agent.deregister("i-1"); },
         OrderResult::NotApplicable},
        {"a draining worker",
         [](Agent &agent, OrderCall &) {
             WorkerReport draining = report(1000, 2);
             draining.draining = true;
             agent.heartbeat(draining);
         },
         OrderResult::Refused},
    }));
    CAPTURE(c.what);
    FakeWorkerPort port;
    Agent agent({"side", absl::Seconds(6)}, port);
    agent.heartbeat(report());
    OrderCall call = startCall(1, report());
    c.change(agent, call);
    const auto results = agent.execute(call);
    REQUIRE(results);
    CHECK(results->at(0) == c.result);
    CHECK(port.starts.empty());
}

// Guards against a gang that waits for a member whose start order was lost.
TEST_CASE("a start without a response is retried with the same run and fence")
{
    FakeWorkerPort port;
    port.startOutcomes = {OrderOutcome::Unanswered, OrderOutcome::Done};
    Agent agent({"side", absl::Seconds(6)}, port);
    agent.heartbeat(report());
    const auto results = agent.execute(startCall(3, report()));
    REQUIRE(results);
    CHECK(results->at(0) == OrderResult::Done);
    REQUIRE(port.starts.size() == 2);
    CHECK(port.starts[0].run == port.starts[1].run);
    CHECK(port.starts[1].fence == 3);
}

// Guards against starting a task elsewhere while its previous run is still stopping.
TEST_CASE("a stopped run is absent only if the worker lists it neither as running nor as ended")
{
    const workload::RunKey run{{"j", 0, 0, 0}, 1};
    struct Case
    {
        WorkerRuns runs;
        OrderResult result;
    };
    const Case c = GENERATE_COPY(values<Case>({
        {{6000, 1000, {}, {}}, OrderResult::Absent},
        {{6000, 1000, {{run, "", 10}}, {}}, OrderResult::Done},
        {{6000, 1000, {}, {{1, run, planning::RunEnd::Stopped, ""}}}, OrderResult::Done},
    }));
    FakeWorkerPort port;
    port.runs = c.runs;
    Agent agent({"side", absl::Seconds(6)}, port);
    agent.heartbeat(report());
    OrderCall call = startCall(1, report());
    call.orders[0].kind = planning::Order::Kind::Stop;
    const auto results = agent.execute(call);
    REQUIRE(results);
    CHECK(results->at(0) == c.result);
}

// Guards against replacing the current incarnation on a delayed heartbeat of an earlier one.
TEST_CASE("heartbeats of an earlier incarnation and out-of-order heartbeats are ignored")
{
    FakeWorkerPort port;
    Agent agent({"side", absl::Seconds(6)}, port);
    CHECK(agent.heartbeat(report(2000, 5)));
    CHECK_FALSE(agent.heartbeat(report(1000, 9)));
    CHECK_FALSE(agent.heartbeat(report(2000, 4)));
    CHECK(agent.heartbeat(report(3000, 1)));
    WatchCall watch;
    watch.epoch = 1;
    CHECK(agent.watch(watch)->worker->startedAtMs == 3000);
}

// Guards against ended runs that are lost before they are acknowledged, or reported again
// afterwards.
TEST_CASE("ended runs are reported until they are acknowledged")
{
    const workload::RunKey run{{"j", 0, 0, 0}, 1};
    FakeWorkerPort port;
    port.runs = {6000, 1000, {}, {{7, run, planning::RunEnd::Completed, ""}}};
    Agent agent({"side", absl::Seconds(6)}, port);
    agent.heartbeat(report());
    agent.start();
    WatchCall watch;
    watch.epoch = 1;
    watch.renewUntilMs = farFuture();
    watch.wait = absl::Seconds(10);
    std::optional<AgentState> state = agent.watch(watch);
    while (!state->listed) {
        watch.since = state->version;
        watch.agentIncarnation = state->incarnation;
        state = agent.watch(watch);
    }
    REQUIRE(state->runs.ended.size() == 1);
    OrderCall call = startCall(1, report());
    call.orders.clear();
    call.acknowledged = 7;
    REQUIRE(agent.execute(call));
    watch.agentIncarnation.clear();
    CHECK(agent.watch(watch)->runs.ended.empty());
    agent.stop();
}

TEST_CASE("an agent's state survives a JSON round trip")
{
    AgentState state;
    state.incarnation = "x";
    state.clockMs = 12;
    state.version = 3;
    state.worker = report();
    state.worker->labels = {"a", "r1"};
    state.worker->draining = true;
    state.worker->drainRemaining = absl::Milliseconds(700);
    state.listed = true;
    state.runs.running = {{{{"j", 1, 2, 3}, 4}, "c", 55}};
    state.runs.ended = {{9, {{"k", 0, 0, 0}, 2}, planning::RunEnd::Broken, "d"}};
    const auto read = agentStateFromJson(toJson(state));
    REQUIRE(read);
    CHECK(read->runs.running == state.runs.running);
    CHECK(read->runs.ended == state.runs.ended);
    CHECK(read->worker->drainRemaining == state.worker->drainRemaining);
    CHECK(read->worker->labels == state.worker->labels);
    CHECK(read->listed);
    CHECK_FALSE(read->workerLost);
}

// Guards against starting tasks elsewhere while they are still running: the previous agent process
// may have extended the lease just before it exited.
TEST_CASE("a restarted agent does not report an unresponsive worker as lost")
{
    FakeWorkerPort port;
    port.renewOutcome = OrderOutcome::Unanswered;
    Agent agent({"side", absl::Hours(1)}, port);
    agent.heartbeat(report());
    agent.start();
    WatchCall watch;
    watch.epoch = 5;
    REQUIRE(agent.watch(watch));
    std::size_t renewalCount = 0;
    bool workerLost = false;
    while (renewalCount < 3 && !workerLost) {
        const auto state = agent.watch(watch);
        REQUIRE(state);
        workerLost = state->workerLost;
        absl::MutexLock lock(&port.mutex);
        renewalCount = port.renewals.size();
    }
    CHECK_FALSE(workerLost);
}
