#include "plannerfixture.h"

#include <catch2/catch.hpp>

#include <set>

using namespace oleandercross;
using namespace oleandercross::planning;
using testing::PlannerFixture;

namespace {

struct ClosureFixture : PlannerFixture
{
    using PlannerFixture::PlannerFixture;

    static std::set<std::string> workersOf(const std::vector<Order> &orders)
    {
        std::set<std::string> workers;
        for (const Order &order : orders)
            workers.insert(order.worker);
        return workers;
    }

    std::vector<Order> planStops() { return ordersOfKind(plan(), Order::Kind::Stop); }
};

const std::set<std::string> WorkersOfB = {"w3", "w4", "w5"};

} // namespace

// Guards against starts on workers of a closed data centre, and against a data centre that stays
// without work after it has been opened.
TEST_CASE("work starts only in open data centres")
{
    const bool gang = GENERATE(false, true);
    CAPTURE(gang);
    ClosureFixture f;
    f.planner.setClosedDataCentres({"d0", "unknown"});
    f.planner.addJob(f.job("j", 1, 3, 8, gang), f.now);
    const auto starts = f.planStarts();
    CHECK(f.workersOf(starts) == WorkersOfB);
    f.planner.addJob(f.job("k", 1, 3, 8, gang), f.now);
    CHECK(f.planStarts().empty());
    f.planner.setClosedDataCentres({"d0", "d1"});
    f.confirm(starts);
    for (const Order &start : starts)
        f.end(start, RunEnd::Completed);
    f.advanceTime(absl::Seconds(1));
    CHECK(f.plan().empty());
    f.planner.setClosedDataCentres({});
    CHECK(f.planStarts().size() == 3);
}

// Guards against work that is stopped although its data centre is only closed to new work, and
// against pre-emption that frees capacity which must not be used.
TEST_CASE("confirmed runs in a closed data centre continue and are no victims")
{
    ClosureFixture f(3);
    f.planner.setGuarantees({{"account", 24}});
    f.planner.addJob(f.job("j", 2, 24, 1, false), f.now);
    f.confirm(f.planStarts());
    f.planner.setClosedDataCentres({"d0"});
    f.planner.addJob(f.job("u", 0, 3, 8), f.now);
    for (int i = 0; i < 5; ++i) {
        f.advanceTime(absl::Seconds(1));
        CHECK(f.plan().empty());
    }
}

// Guards against a late start in a closed data centre, and against one that runs in two places: the
// task is placed elsewhere only after the worker has confirmed that the run does not exist.
TEST_CASE("an unconfirmed run in a closed data centre is stopped and then placed elsewhere")
{
    ClosureFixture f(1);
    f.planner.addJob(f.job("j", 1, 1, 8, false), f.now);
    const Order start = f.planStarts().at(0);
    f.planner.updateWorker(f.worker(4));
    f.planner.setClosedDataCentres({"d0"});
    f.advanceTime(absl::Seconds(1));
    const auto orders = f.plan();
    REQUIRE(orders.size() == 1);
    CHECK(orders[0].kind == Order::Kind::Stop);
    CHECK(orders[0].run == start.run);
    f.advanceTime(absl::Seconds(1));
    CHECK(f.planStarts().empty());
    f.planner.runAbsent("w0", start.run, f.now);
    CHECK(f.workersOf(f.planStarts()) == std::set<std::string>{"w4"});
}

// Guards against a gang of which some members run and others may not start.
TEST_CASE("a gang with an unconfirmed member in a closed data centre is stopped whole")
{
    ClosureFixture f(4);
    f.planner.addJob(f.job("j", 1, 4, 8), f.now);
    auto starts = f.planStarts();
    REQUIRE(starts.size() == 4);
    f.planner.updateWorker(f.worker(4));
    f.planner.updateWorker(f.worker(5));
    f.planner.updateWorker(f.worker(6));
    f.confirm({starts.begin() + 1, starts.end()});
    f.planner.setClosedDataCentres({"d0"});
    const auto stops = f.planStops();
    CHECK(stops.size() == 4);
    for (const Order &stop : stops)
        f.end(stop, RunEnd::Stopped);
    starts = f.planStarts();
    CHECK(starts.size() == 4);
    CHECK(f.workersOf(starts) == std::set<std::string>{"w3", "w4", "w5", "w6"});
}

// Guards against a new leader that stops confirmed work in a closed data centre before the worker
// has listed it, and against one that repeats a start there.
TEST_CASE("a restored run in a closed data centre is stopped only if its worker does not list it")
{
    const bool listed = GENERATE(false, true);
    CAPTURE(listed);
    ClosureFixture before(1);
    before.planner.addJob(before.job("j", 1, 1, 8), before.now);
    const Order start = before.planStarts().at(0);
    ClosureFixture f(0);
    f.planner.setClosedDataCentres({"d0"});
    REQUIRE(
        f.planner.restoreJob(before.job("j", 1, 1, 8), before.planner.job("j")->encode(), f.now));
    Worker worker = f.worker(0);
    worker.accepting = false;
    f.planner.updateWorker(worker);
    CHECK(f.plan().empty());
    f.planner.beginListing("w0");
    if (listed)
        f.planner.runSeen("w0", start.run, {}, 1, f.now);
    f.planner.updateWorker(f.worker(0));
    CHECK(f.planStops().size() == (listed ? 0 : 1));
}

// Guards against a task that waits for a stop although its start was never sent, against a worker
// that is avoided after its data centre has opened, and against a repeated order that takes effect
// after the task was placed elsewhere.
TEST_CASE("a start that an agent refused for a closure is placed elsewhere at once")
{
    const bool repeated = GENERATE(false, true);
    CAPTURE(repeated);
    ClosureFixture f(1);
    f.planner.addJob(f.job("j", 1, 1, 8, false), f.now);
    const Order start = f.planStarts().at(0);
    if (repeated) {
        f.advanceTime(absl::Seconds(1));
        REQUIRE(f.planStarts().size() == 1);
    }
    f.planner.updateWorker(f.worker(3));
    f.planner.startRefusedByClosure("w0", start.run, f.now);
    f.planner.setClosedDataCentres({"d0"});
    const auto orders = f.plan();
    REQUIRE(orders.size() == 1);
    CHECK(orders[0].kind == (repeated ? Order::Kind::Stop : Order::Kind::Start));
    if (repeated)
        return;
    CHECK(orders[0].worker == "w3");
    f.planner.setClosedDataCentres({});
    f.end(orders[0], RunEnd::Stopped);
    f.planner.removeWorker("w3", WorkerEnd::Left, f.now);
    CHECK(f.workersOf(f.planStarts()) == std::set<std::string>{"w0"});
}

// Guards against capacity that is kept for a gang which may not start on a part of it.
TEST_CASE("a reservation in a data centre that is closed is dropped")
{
    ClosureFixture f(4);
    f.planner.setGuarantees({{"account", 32}});
    f.planner.addJob(f.job("j", 2, 32, 1, false), f.now);
    f.confirm(f.planStarts());
    f.planner.addJob(f.job("u", 0, 4, 8), f.now);
    const auto stops = f.planStops();
    REQUIRE(stops.size() == 32);
    for (const Order &stop : stops) {
        if (stop.worker == "w3")
            f.end(stop, RunEnd::Stopped);
    }
    CHECK(f.planStarts().empty());
    f.planner.setClosedDataCentres({"d0"});
    const auto starts = f.planStarts();
    CHECK(starts.size() == 8);
    CHECK(f.workersOf(starts) == std::set<std::string>{"w3"});
}

// Guards against a width and a reserve that count on workers which may not be used: a long urgent
// step runs on a quarter of the open workers, and a quarter of these is kept for urgent jobs.
TEST_CASE("closed workers do not count for the width of urgent steps and for the urgent reserve")
{
    struct Case
    {
        int priority;
        int acceleratorsPerTask;
        std::set<std::string> closed;
        std::size_t starts;
    };
    const Case c = GENERATE(values<Case>({
        {0, 1, {}, 12},
        {0, 1, {"d0"}, 6},
        {1, 8, {}, 4},
        {1, 8, {"d0"}, 2},
    }));
    CAPTURE(c.priority, c.closed);
    ClosureFixture f;
    for (int i = 0; i < 8; ++i) {
        workload::Job earlier = f.job("earlier" + std::to_string(i), 0, 1, 8);
        earlier.steps[0].estimateMs = 500;
        f.planner.addJob(earlier, f.now);
        f.planner.cancelJob(earlier.id, f.now);
    }
    f.planner.setClosedDataCentres(c.closed);
    workload::Job wide = f.job("wide", c.priority, 24, c.acceleratorsPerTask, false);
    wide.queue = "wide";
    wide.steps[0].estimateMs = 20000;
    f.planner.addJob(wide, f.now);
    CHECK(f.planStarts().size() == c.starts);
}

// Guards against starts by a leader that does not know what is closed, and against stops that make
// room for starts which do not follow.
TEST_CASE("nothing is started or pre-empted while starts are suspended")
{
    ClosureFixture f(3);
    f.planner.setGuarantees({{"account", 24}});
    f.planner.addJob(f.job("j", 2, 24, 1, false), f.now);
    const auto starts = f.planStarts();
    f.confirm({starts.begin() + 1, starts.end()});
    f.planner.setStartsSuspended(true);
    f.planner.addJob(f.job("u", 0, 3, 8), f.now);
    f.advanceTime(absl::Seconds(1));
    CHECK(f.plan().empty());
    f.planner.setStartsSuspended(false);
    CHECK_FALSE(f.plan().empty());
}

// Guards against an urgent gang that waits for a worker that is slow after its start while a warm
// one is free.
TEST_CASE("urgent gangs prefer warm workers")
{
    const bool roomOnWarmWorkers = GENERATE(false, true);
    CAPTURE(roomOnWarmWorkers);
    ClosureFixture f(3);
    Worker cold = f.worker(0);
    cold.warmAt = f.now + absl::Seconds(5);
    f.planner.updateWorker(cold);
    f.planner.addJob(f.job("j", 0, roomOnWarmWorkers ? 2 : 3, 8), f.now);
    CHECK(f.workersOf(f.planStarts()).contains("w0") == !roomOnWarmWorkers);
}

// Guards against a forecast that counts on capacity which is closed to new work.
TEST_CASE("workers in closed data centres are not among the open ones", "[planning]")
{
    ClosureFixture f;
    CHECK(f.planner.workersInOpenDataCentres().size() == 6);
    f.planner.setClosedDataCentres({"d0", "unknown"});
    CHECK(f.planner.workersInOpenDataCentres().size() == 3);
    CHECK(f.planner.workers().size() == 6);
}
