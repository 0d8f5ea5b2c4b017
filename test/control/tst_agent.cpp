#include <oleandercross/control/agent.h>
#include <oleandercross/core/resultcode.h>

#include <absl/time/clock.h>
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
        // Like a worker, but much sooner, respond after a while.
        if (order.wait > absl::ZeroDuration())
            absl::SleepFor(absl::Milliseconds(2));
        absl::MutexLock lock(&mutex);
        renewals.push_back(order);
        if (order.fence < minFence)
            return OrderOutcome::Fenced;
        result = runs;
        return renewOutcome;
    }

    absl::Mutex mutex;
    std::vector<StartOrder> starts;
    std::vector<RenewOrder> renewals;
    std::deque<OrderOutcome> startOutcomes;
    OrderOutcome renewOutcome = OrderOutcome::Done;
    WorkerRuns runs = {6000, 1000, {}, {}};
    std::int64_t minFence = 0;
};

WorkerReport report(std::int64_t startMs = 1000, std::int64_t sequence = 1)
{
    WorkerReport report;
    report.id = "i-1";
    report.startedAtMs = startMs;
    report.address = {"127.0.0.1", 8080};
    report.service = "booking";
    report.rack = "r1";
    report.dataCentre = "brum";
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

// Watches the agent, in its own term, until it reports a state that meets the condition.
AgentState waitForState(Agent &agent, std::int64_t epoch,
                        const std::function<bool(const AgentState &)> &condition)
{
    WatchCall watch;
    watch.term.epoch = epoch;
    watch.wait = absl::Seconds(10);
    while (true) {
        const std::optional<AgentState> state = agent.watch(watch);
        REQUIRE(state);
        if (condition(*state))
            return *state;
        watch.since = state->version;
        watch.agentIncarnation = state->incarnation;
    }
}

bool isListed(const AgentState &state)
{
    return state.listed;
}

// Lets the agent register the worker and list its runs, as the leader of the epoch.
AgentState registerWorker(Agent &agent, const WorkerReport &worker, std::int64_t epoch = 1)
{
    agent.start();
    agent.heartbeat(worker);
    return waitForState(agent, epoch, isListed);
}

OrderCall startCall(const Term &term, const WorkerReport &worker)
{
    OrderCall call;
    call.term = term;
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
    registerWorker(agent, report(), 5);
    WatchCall watch;
    watch.term = {4, 99};
    CHECK_FALSE(agent.watch(watch));
    CHECK(core::lastReason().code == core::ResultCode::StaleEpoch);
    CHECK_FALSE(agent.execute(startCall({4, 99}, report())));
    CHECK(port.starts.empty());
}

// Guards against carrying out what was decided before the leader gave the worker up.
TEST_CASE("an agent carries out no order and uses no permit of an earlier term")
{
    FakeWorkerPort port;
    Agent agent({"side", absl::Seconds(6)}, port);
    const Term earlier = registerWorker(agent, report()).term;
    const Term later{earlier.epoch, earlier.number + 1};
    WatchCall raise;
    raise.term = later;
    REQUIRE(agent.watch(raise));
    CHECK(agent.execute(startCall(earlier, report())) == std::vector{OrderResult::NotApplicable});
    // The late call must not have renewed the permit either.
    OrderCall withoutPermit = startCall(later, report());
    withoutPermit.renewUntilMs = 0;
    CHECK(agent.execute(withoutPermit) == std::vector{OrderResult::NotSent});
    CHECK(port.starts.empty());
    CHECK(agent.execute(startCall(later, report())) == std::vector{OrderResult::Done});
    CHECK(port.starts.at(0).fence == fencingToken(later));
}

// Guards against a start that was under way when the worker was given up and takes effect at the
// worker afterwards: the worker must have seen a larger token before it lists its runs.
TEST_CASE("the worker lists its runs with the fencing token of each new term")
{
    FakeWorkerPort port;
    Agent agent({"side", absl::Seconds(6)}, port);
    const Term earlier = registerWorker(agent, report()).term;
    const Term later{earlier.epoch, earlier.number + 1};
    WatchCall raise;
    raise.term = later;
    CHECK_FALSE(agent.watch(raise)->listed);
    const AgentState state = waitForState(agent, 1, isListed);
    CHECK(state.term == later);
    absl::MutexLock lock(&port.mutex);
    CHECK(port.renewals.back().fence == fencingToken(later));
    CHECK(fencingToken(later) > fencingToken(earlier));
    CHECK(fencingToken({2, 0}) > fencingToken({1, 1'000'000'000}));
}

// Guards against leases that are extended after the leader has given the worker up: it counts from
// the last report of the worker.
TEST_CASE("a permit from before the registration of the worker does not extend its lease")
{
    FakeWorkerPort port;
    Agent agent({"side", absl::Seconds(6)}, port);
    WatchCall watch;
    watch.term.epoch = 1;
    watch.renewUntilMs = farFuture();
    REQUIRE(agent.watch(watch));
    const AgentState state = registerWorker(agent, report());
    CHECK(state.term > watch.term);
    REQUIRE(agent.watch(watch));
    const std::size_t begin = [&port] {
        absl::MutexLock lock(&port.mutex);
        return port.renewals.size();
    }();
    const auto renewedSince = [&port, begin] {
        absl::MutexLock lock(&port.mutex);
        return port.renewals.size() - begin;
    };
    while (renewedSince() < 3)
        absl::SleepFor(absl::Milliseconds(1));
    absl::MutexLock lock(&port.mutex);
    for (const RenewOrder &renewal : port.renewals)
        CHECK_FALSE(renewal.leaseUntilMs);
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
         OrderResult::NotSent},
        {"an earlier term", [](Agent &, OrderCall &call) { --call.term.number; },
         OrderResult::NotApplicable},
        {"a set of closed data centres that is too old",
         [](Agent &, OrderCall &call) { call.startsUntilMs = 1; }, OrderResult::NotSent},
        {"a deregistered worker", [](Agent &agent, OrderCall &) { agent.deregister("i-1"); },
         OrderResult::NotSent},
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
    OrderCall call = startCall(registerWorker(agent, report()).term, report());
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
    const Term term = registerWorker(agent, report(), 3).term;
    const auto results = agent.execute(startCall(term, report()));
    REQUIRE(results);
    CHECK(results->at(0) == OrderResult::Done);
    REQUIRE(port.starts.size() == 2);
    CHECK(port.starts[0].run == port.starts[1].run);
    CHECK(port.starts[1].fence == fencingToken(term));
}

// Guards against waiting for runs whose start was never sent, and against taking a run for one that
// was never started because only its last attempt was not sent.
TEST_CASE("a start counts as unanswered if one of its attempts may have reached the worker")
{
    struct Case
    {
        std::deque<OrderOutcome> outcomes;
        OrderResult result;
        // The result of a copy of the order that is not sent because the worker is leaving.
        OrderResult copyResult;
    };
    const Case c = GENERATE(values<Case>({
        {{OrderOutcome::NotSent, OrderOutcome::NotSent},
         OrderResult::NotSent,
         OrderResult::NotSent},
        {{OrderOutcome::NotListening}, OrderResult::NotSent, OrderResult::NotSent},
        {{OrderOutcome::OtherIncarnation}, OrderResult::NotSent, OrderResult::NotSent},
        {{OrderOutcome::NotSent, OrderOutcome::Done},
         OrderResult::Done,
         OrderResult::NotApplicable},
        {{OrderOutcome::NotSent, OrderOutcome::Unanswered},
         OrderResult::Unanswered,
         OrderResult::NotApplicable},
        {{OrderOutcome::Unanswered, OrderOutcome::NotSent},
         OrderResult::Unanswered,
         OrderResult::NotApplicable},
        {{OrderOutcome::Unanswered, OrderOutcome::OtherIncarnation},
         OrderResult::NotApplicable,
         OrderResult::NotApplicable},
    }));
    FakeWorkerPort port;
    port.startOutcomes = c.outcomes;
    Agent agent({"side", absl::Seconds(6)}, port);
    OrderCall call = startCall(registerWorker(agent, report()).term, report());
    CHECK(agent.execute(call) == std::vector{c.result});
    CHECK(port.starts.size() == c.outcomes.size());
    agent.deregister("i-1");
    CHECK(agent.execute(call) == std::vector{c.copyResult});
}

// Guards against further starts for a worker that a start has found restarted, until a renewal that
// waits for the earlier incarnation has timed out.
TEST_CASE("a worker that another incarnation has replaced at a start is no longer used")
{
    FakeWorkerPort port;
    port.startOutcomes = {OrderOutcome::OtherIncarnation};
    Agent agent({"side", absl::Seconds(6)}, port);
    const Term term = registerWorker(agent, report()).term;
    CHECK(agent.execute(startCall(term, report())) == std::vector{OrderResult::NotSent});
    CHECK(agent.execute(startCall(term, report())) == std::vector{OrderResult::NotSent});
    CHECK(port.starts.size() == 1);
}

// Guards against tasks that are never started elsewhere: a worker that accepts calls but answers
// none looks alive as long as its agent goes on to extend its lease.
TEST_CASE("a worker that answers nothing is given up although the leader renews its permit")
{
    FakeWorkerPort port;
    Agent agent({"side", absl::Milliseconds(500)}, port);
    WatchCall watch;
    watch.term = registerWorker(agent, report()).term;
    {
        absl::MutexLock lock(&port.mutex);
        port.renewOutcome = OrderOutcome::Unanswered;
    }
    const core::BootClock clock;
    const core::Instant until = clock.now() + absl::Seconds(20);
    bool lost = false;
    while (!lost && clock.now() < until) {
        watch.renewUntilMs = absl::ToUnixMillis(clock.now() + RenewalPermit);
        lost = agent.watch(watch)->workerLost;
        absl::SleepFor(absl::Milliseconds(20));
    }
    CHECK(lost);
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
    OrderCall call = startCall(registerWorker(agent, report()).term, report());
    call.orders[0].kind = planning::Order::Kind::Stop;
    const auto results = agent.execute(call);
    REQUIRE(results);
    CHECK(results->at(0) == c.result);
}

// Guards against replacing the current incarnation on a heartbeat that is late or from another
// writer, and against ignoring a later incarnation that was started while the clock was behind.
TEST_CASE("a reported incarnation is registered only if the worker confirms it")
{
    struct Case
    {
        const char *what;
        std::int64_t reported;
        OrderOutcome outcome;
        std::int64_t listed;
        bool registered;
    };
    const Case c = GENERATE(values<Case>({
        {"the next incarnation", 3000, OrderOutcome::Done, 3000, true},
        {"the next incarnation after the clock was set back", 900, OrderOutcome::Done, 900, true},
        {"a late report of an earlier incarnation with the same id", 900, OrderOutcome::Done, 2000,
         false},
        {"a late report of an earlier incarnation with another id", 900,
         OrderOutcome::OtherIncarnation, 0, false},
        {"a report of another writer", 3000, OrderOutcome::Done, 2000, false},
        {"an address at which nothing listens", 3000, OrderOutcome::NotListening, 0, false},
        {"an address that does not answer", 3000, OrderOutcome::Unanswered, 0, false},
        {"a refusal", 3000, OrderOutcome::Refused, 0, false},
    }));
    CAPTURE(c.what);
    FakeWorkerPort port;
    port.runs.startedAtMs = 2000;
    Agent agent({"side", absl::Hours(1)}, port);
    registerWorker(agent, report(2000, 5));
    std::size_t begin = 0;
    {
        absl::MutexLock lock(&port.mutex);
        port.runs.startedAtMs = c.listed;
        port.renewOutcome = c.outcome;
        begin = port.renewals.size();
    }
    agent.heartbeat(report(c.reported, 1));
    const auto confirmed = [&c](const AgentState &state) {
        return state.worker->startedAtMs == c.reported;
    };
    if (c.registered) {
        CHECK(waitForState(agent, 1, confirmed).worker->startedAtMs == c.reported);
        return;
    }
    const auto renewedSince = [&port, begin] {
        absl::MutexLock lock(&port.mutex);
        return port.renewals.size() - begin;
    };
    // A lost worker is not called any more, except to confirm the report.
    const auto watch = [&agent] { return *agent.watch({{1, 0}, 0, 0, {}, {}, {}}); };
    while (renewedSince() < 3 && !watch().workerLost)
        absl::SleepFor(absl::Milliseconds(1));
    CHECK(watch().worker->startedAtMs == 2000);
}

// Guards against acting on what another writer or a late call says about the registered worker.
TEST_CASE("heartbeats that are out of order or contradict the registered worker are ignored")
{
    struct Case
    {
        const char *what;
        std::function<void(WorkerReport &)> change;
        bool accepted;
    };
    const Case c = GENERATE(values<Case>({
        {"a later one", [](WorkerReport &r) { r.sequence = 6; }, true},
        {"an earlier one", [](WorkerReport &r) { r.sequence = 4; }, false},
        {"another service", [](WorkerReport &r) { r.service = "other"; }, false},
        {"another address", [](WorkerReport &r) { r.address.port = 1; }, false},
    }));
    CAPTURE(c.what);
    FakeWorkerPort port;
    Agent agent({"side", absl::Seconds(6)}, port);
    registerWorker(agent, report(1000, 5));
    WorkerReport next = report(1000, 6);
    next.draining = true;
    c.change(next);
    CHECK(agent.heartbeat(next) == c.accepted);
    const auto state = agent.watch({{1, 0}, 0, 0, {}, {}, {}});
    CHECK(state->worker->draining == c.accepted);
    CHECK(state->worker->service == "booking");
}

// Guards against a report of a service that no configuration names, which takes the worker's place.
TEST_CASE("a worker of an unknown service is dropped and the next report is registered")
{
    FakeWorkerPort port;
    Agent agent({"side", absl::Seconds(6)}, port);
    WorkerReport odd = report();
    odd.service = "unknown";
    registerWorker(agent, odd);
    WatchCall reject;
    reject.term.epoch = 1;
    reject.unknownServices = {"unknown"};
    CHECK_FALSE(agent.watch(reject)->worker);
    agent.heartbeat(odd);
    agent.heartbeat(report());
    std::optional<AgentState> state = agent.watch(reject);
    while (!state->worker) {
        absl::SleepFor(absl::Milliseconds(1));
        state = agent.watch(reject);
    }
    CHECK(state->worker->service == "booking");
}

// Guards against an agent that is refused for ever because its previous process was in a later
// term and was killed before the leader learned of it.
TEST_CASE("a restarted agent raises its term until the worker accepts its calls")
{
    FakeWorkerPort port;
    port.minFence = fencingToken({1, 5});
    Agent agent({"side", absl::Seconds(6)}, port);
    CHECK(registerWorker(agent, report()).term > Term{1, 4});
}

// Guards against running tasks twice when a worker restarts under its id: a start for the earlier
// incarnation may have reached the later one, which alone can list it.
TEST_CASE("a worker that restarted under its id gets no starts and is not lost until it reports")
{
    FakeWorkerPort port;
    Agent agent({"side", absl::Hours(1)}, port);
    const Term term = registerWorker(agent, report()).term;
    std::size_t begin = 0;
    {
        absl::MutexLock lock(&port.mutex);
        port.runs.startedAtMs = 2000;
        begin = port.renewals.size();
    }
    const auto renewedSince = [&port, begin] {
        absl::MutexLock lock(&port.mutex);
        return port.renewals.size() - begin;
    };
    while (renewedSince() < 3)
        absl::SleepFor(absl::Milliseconds(1));
    CHECK(agent.execute(startCall(term, report())) == std::vector{OrderResult::NotSent});
    CHECK(port.starts.empty());
    CHECK_FALSE(agent.watch({{1, 0}, 0, 0, {}, {}, {}})->workerLost);
    agent.heartbeat(report(2000));
    const AgentState state = waitForState(agent, 1, isListed);
    CHECK(state.worker->startedAtMs == 2000);
    CHECK(state.term > term);
}

// Guards against starting the tasks of a running worker elsewhere because a late message says that
// an earlier incarnation with the same id has deregistered.
TEST_CASE("a deregistered worker is lost only when it no longer listens")
{
    FakeWorkerPort port;
    Agent agent({"side", absl::Hours(1)}, port);
    const Term term = registerWorker(agent, report()).term;
    agent.deregister("i-1");
    const auto watch = [&agent] { return *agent.watch({{1, 0}, 0, 0, {}, {}, {}}); };
    CHECK_FALSE(watch().workerLost);
    SECTION("it reports again")
    {
        agent.heartbeat(report(1000, 2));
        CHECK(agent.execute(startCall(term, report())) == std::vector{OrderResult::Done});
    }
    SECTION("it no longer listens")
    {
        {
            absl::MutexLock lock(&port.mutex);
            port.renewOutcome = OrderOutcome::NotListening;
        }
        const AgentState state =
            waitForState(agent, 1, [](const AgentState &s) { return s.workerLost; });
        CHECK_FALSE(state.workerCrashed);
    }
}

// Guards against ended runs that are lost before they are acknowledged, or reported again
// afterwards.
TEST_CASE("ended runs are reported until they are acknowledged")
{
    const workload::RunKey run{{"j", 0, 0, 0}, 1};
    FakeWorkerPort port;
    port.runs = {6000, 1000, {}, {{7, run, planning::RunEnd::Completed, ""}}};
    Agent agent({"side", absl::Seconds(6)}, port);
    const AgentState state = registerWorker(agent, report());
    REQUIRE(state.runs.ended.size() == 1);
    OrderCall call = startCall(state.term, report());
    call.orders.clear();
    call.acknowledged = 7;
    REQUIRE(agent.execute(call));
    CHECK(agent.watch({state.term, 0, 0, {}, {}, {}})->runs.ended.empty());
    agent.stop();
}

// Guards against losing the ends of a worker that restarted under its id and counts them anew.
TEST_CASE("an acknowledgement is not repeated once the worker has confirmed it")
{
    const workload::RunKey run{{"j", 0, 0, 0}, 1};
    FakeWorkerPort port;
    port.runs = {6000, 1000, {}, {{7, run, planning::RunEnd::Completed, ""}}};
    Agent agent({"side", absl::Seconds(6)}, port);
    OrderCall call = startCall(registerWorker(agent, report()).term, report());
    call.orders.clear();
    call.acknowledged = 7;
    REQUIRE(agent.execute(call));
    const auto acknowledgements = [&port] {
        absl::MutexLock lock(&port.mutex);
        return std::count_if(port.renewals.begin(), port.renewals.end(),
                             [](const RenewOrder &order) { return order.acknowledged != 0; });
    };
    while (acknowledgements() == 0)
        absl::SleepFor(absl::Milliseconds(1));
    std::size_t begin = 0;
    {
        absl::MutexLock lock(&port.mutex);
        port.runs.ended.clear();
        begin = port.renewals.size();
    }
    const auto renewedSince = [&port, begin] {
        absl::MutexLock lock(&port.mutex);
        return port.renewals.size() - begin;
    };
    while (renewedSince() < 3)
        absl::SleepFor(absl::Milliseconds(1));
    CHECK(acknowledgements() == 1);
}

TEST_CASE("an agent's state survives a JSON round trip")
{
    AgentState state;
    state.incarnation = "x";
    state.clockMs = 12;
    state.version = 3;
    state.term = {4, 7};
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
    CHECK(read->term == state.term);
    CHECK(read->listed);
    CHECK_FALSE(read->workerLost);
}

// Guards against starting tasks elsewhere while they are still running: the previous agent process
// may have extended the lease just before it exited.
TEST_CASE("a restarted agent does not report an unresponsive worker as lost")
{
    FakeWorkerPort port;
    Agent agent({"side", absl::Hours(1)}, port);
    WatchCall watch;
    watch.term = registerWorker(agent, report(), 5).term;
    {
        absl::MutexLock lock(&port.mutex);
        port.renewOutcome = OrderOutcome::Unanswered;
        port.renewals.clear();
    }
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

// Guards against an agent that keeps a processor busy, and uses up the numbers of terms, while the
// worker has seen the calls of a later epoch.
TEST_CASE("an agent that is refused for its epoch pauses between its attempts")
{
    FakeWorkerPort port;
    port.minFence = fencingToken({2, 0});
    Agent agent({"side", absl::Seconds(6)}, port);
    REQUIRE(agent.watch({{1, 0}, 0, 0, {}, {}, {}}));
    agent.start();
    agent.heartbeat(report());
    absl::SleepFor(absl::Seconds(1));
    absl::MutexLock lock(&port.mutex);
    CHECK(port.renewals.size() <= 100);
}

// Guards against a second raise, which drops the orders and permits of the term that the leader has
// just begun, because a call of the term before was still under way.
TEST_CASE("a renewal that was overtaken by a new term does not raise the term again")
{
    FakeWorkerPort port;
    Agent agent({"side", absl::Seconds(6)}, port);
    const Term earlier = registerWorker(agent, report()).term;
    const Term later{earlier.epoch, earlier.number + 1};
    {
        absl::MutexLock lock(&port.mutex);
        // The next renewal of the earlier term is under way now.
        absl::SleepFor(absl::Milliseconds(20));
        REQUIRE(agent.watch({later, 0, 0, {}, {}, {}}));
        port.minFence = fencingToken(later);
    }
    CHECK(waitForState(agent, 1, isListed).term == later);
}

// Guards against tasks that are placed on a worker that accepts no starts.
TEST_CASE("a repeated heartbeat does not hide that the worker has deregistered")
{
    FakeWorkerPort port;
    Agent agent({"side", absl::Hours(1)}, port);
    const Term term = registerWorker(agent, report()).term;
    agent.deregister("i-1");
    agent.heartbeat(report());
    CHECK(agent.execute(startCall(term, report())) == std::vector{OrderResult::NotSent});
    CHECK(agent.watch({term, 0, 0, {}, {}, {}})->worker->draining);
}

// Guards against a start in a closed data centre whose order was on its way when the operator
// closed it, against an older set that opens it again, and against a late copy of a refused order.
TEST_CASE("an agent starts nothing while its worker's data centre is closed")
{
    FakeWorkerPort port;
    Agent agent({"side", absl::Seconds(6)}, port);
    OrderCall call = startCall(registerWorker(agent, report()).term, report());
    const auto execute = [&](ClosedDataCentres closed, int run) {
        call.closed = std::move(closed);
        call.orders[0].run.run = run;
        return agent.execute(call)->at(0);
    };
    CHECK(execute({5, {{"brum", 4}, {"lyon", 5}}}, 1) == OrderResult::DataCentreClosed);
    CHECK(execute({4, {}}, 1) == OrderResult::DataCentreClosed);
    CHECK(execute({}, 2) == OrderResult::DataCentreClosed);
    CHECK(execute({7, {{"lyon", 5}}}, 1) == OrderResult::DataCentreClosed);
    CHECK(port.starts.empty());
    CHECK(execute({7, {{"lyon", 5}}}, 3) == OrderResult::Done);
    WatchCall watch;
    watch.term = call.term;
    watch.closed = {8, {{"brum", 8}}};
    REQUIRE(agent.watch(watch));
    CHECK(execute({}, 4) == OrderResult::DataCentreClosed);
    CHECK(port.starts.size() == 1);
}

// Guards against a task that runs twice because its start was reported as refused although an
// earlier attempt may have reached the worker.
TEST_CASE("a start that may have reached the worker is not reported as refused by a closure")
{
    FakeWorkerPort port;
    port.startOutcomes = {OrderOutcome::Unanswered, OrderOutcome::Unanswered};
    Agent agent({"side", absl::Seconds(6)}, port);
    OrderCall call = startCall(registerWorker(agent, report()).term, report());
    CHECK(agent.execute(call) == std::vector{OrderResult::Unanswered});
    call.closed = {5, {{"brum", 5}}};
    CHECK(agent.execute(call) == std::vector{OrderResult::Unanswered});
    CHECK(port.starts.size() == 2);
}

// Guards against a worker that counts as cold for ever because its heartbeats are lost.
TEST_CASE("the time until a worker is warm runs down between heartbeats")
{
    FakeWorkerPort port;
    Agent agent({"side", absl::Seconds(6)}, port);
    WorkerReport cold = report();
    cold.warmUpRemaining = absl::Hours(1);
    const Term term = registerWorker(agent, cold).term;
    WatchCall watch;
    watch.term = term;
    CHECK(agent.watch(watch)->worker->warmUpRemaining < absl::Hours(1));
}
