#include "plannerfixture.h"

#include <catch2/catch.hpp>

#include <set>

using namespace oleandercross;
using namespace oleandercross::planning;
using testing::PlannerFixture;

// Guards against starting some members of a gang while others wait for free capacity.
TEST_CASE("a gang that does not fit completely is not started")
{
    PlannerFixture f(2);
    f.planner.addJob(f.job("a", 1, 3, 8), f.now);
    CHECK(f.plan().empty());
    f.planner.updateWorker(f.worker(2));
    const auto starts = f.planStarts();
    REQUIRE(starts.size() == 3);
    std::set<std::string> workers;
    for (const Order &order : starts) {
        CHECK(order.run.run == 1);
        workers.insert(order.worker);
    }
    CHECK(workers.size() == 3);
}

// Guards against starting a task on a worker of the wrong service, label or size.
TEST_CASE("tasks start only on eligible workers")
{
    struct Case
    {
        const char *description;
        void (*change)(Worker &);
    };
    const Case c = GENERATE(values<Case>({
        {"another service", [](Worker &w) { w.service = "other"; }},
        {"not accepting", [](Worker &w) { w.accepting = false; }},
        {"without the label", [](Worker &w) { w.labels = {"b"}; }},
        {"too small", [](Worker &w) { w.capacity.accelerators = 3; }},
        {"occupied by orphaned runs",
         [](Worker &w) {
             w.orphanedDemand = {0, 0, 5};
         }},
    }));
    CAPTURE(c.description);
    PlannerFixture f(0);
    Worker worker = f.worker(0);
    c.change(worker);
    f.planner.updateWorker(worker);
    workload::Job job = f.job("a", 1, 1, 4);
    job.steps[0].neededLabel = "a";
    f.planner.addJob(job, f.now);
    CHECK(f.plan().empty());
    f.planner.updateWorker(f.worker(1));
    CHECK(f.planStarts().size() == 1);
}

// Guards against guaranteed work that waits until borrowers complete instead of pre-empting them.
TEST_CASE("guaranteed work pre-empts less urgent work and starts once the capacity is free")
{
    PlannerFixture f(3);
    f.planner.setGuarantees({{"account", 24}});
    workload::Job borrower = f.job("b", 2, 24, 1, false);
    f.planner.addJob(borrower, f.now);
    const auto running = f.planStarts();
    REQUIRE(running.size() == 24);
    f.confirm(running);
    f.advanceTime(absl::Seconds(1));
    f.planner.addJob(f.job("u", 0, 3, 8), f.now);
    const auto orders = f.plan();
    const auto stops = f.ordersOfKind(orders, Order::Kind::Stop);
    CHECK(stops.size() == 24);
    CHECK(f.ordersOfKind(orders, Order::Kind::Start).empty());
    for (const Order &order : stops)
        f.end(order, RunEnd::Stopped);
    const auto starts = f.planStarts();
    REQUIRE(starts.size() >= 3);
    CHECK(std::count_if(starts.begin(), starts.end(),
                        [](const Order &order) { return order.run.task.job == "u"; })
          == 3);
}

// Guards against reassigning freed capacity to the pre-empted work before the urgent job starts.
TEST_CASE("capacity that is freed step by step stays reserved for the urgent gang")
{
    PlannerFixture f(3);
    f.planner.setGuarantees({{"account", 24}});
    f.planner.addJob(f.job("b", 2, 24, 1, false), f.now);
    f.confirm(f.planStarts());
    f.planner.addJob(f.job("u", 0, 3, 8), f.now);
    const auto stops = f.ordersOfKind(f.plan(), Order::Kind::Stop);
    REQUIRE(stops.size() == 24);
    for (std::size_t i = 0; i < 12; ++i)
        f.end(stops[i], RunEnd::Stopped);
    CHECK(f.planStarts().empty());
}

// Guards against a job that fails because both of its attempts went to the same faulty worker.
TEST_CASE("a failed task is retried on another worker")
{
    PlannerFixture f(2);
    f.planner.addJob(f.job("a", 1, 1, 4), f.now);
    const auto first = f.planStarts();
    REQUIRE(first.size() == 1);
    f.confirm(first);
    f.end(first[0], RunEnd::Failed);
    const auto second = f.planStarts();
    REQUIRE(second.size() == 1);
    CHECK(second[0].worker != first[0].worker);
    CHECK(second[0].run.run == 2);
    f.end(second[0], RunEnd::Failed);
    CHECK(f.planStarts().empty());
    CHECK(f.planner.job("a")->state() == JobState::Failed);
}

// Guards against counting runs that end for other reasons as failed attempts.
TEST_CASE("only failed runs count as attempts")
{
    const RunEnd outcome = GENERATE(RunEnd::Stopped, RunEnd::Lapsed, RunEnd::Broken, RunEnd::Alone);
    PlannerFixture f(1);
    f.planner.addJob(f.job("a", 1, 1, 4), f.now);
    for (int run = 1; run <= 5; ++run) {
        const auto starts = f.planStarts();
        REQUIRE(starts.size() == 1);
        CHECK(starts[0].run.run == run);
        f.end(starts[0], outcome, "saved");
    }
    CHECK(f.planStarts().front().checkpoint == "saved");
    CHECK(f.planner.job("a")->state() == JobState::Running);
}

// Guards against a cancelled job whose tasks keep running or restart.
TEST_CASE("all tasks of a cancelled job are stopped and never restarted")
{
    PlannerFixture f(3);
    f.planner.addJob(f.job("a", 1, 3, 8), f.now);
    f.confirm(f.planStarts());
    f.planner.cancelJob("a", f.now);
    CHECK(f.planner.job("a")->state() == JobState::Cancelled);
    const auto stops = f.plan();
    REQUIRE(stops.size() == 3);
    f.advanceTime(absl::Seconds(1));
    CHECK(f.plan().size() == 3);
    for (const Order &order : stops) {
        CHECK(order.kind == Order::Kind::Stop);
        f.end(order, RunEnd::Stopped);
    }
    f.advanceTime(absl::Seconds(1));
    CHECK(f.plan().empty());
    CHECK(f.planner.job("a")->state() == JobState::Cancelled);
}

// Guards against starting a task elsewhere while an unconfirmed order may still be executed.
TEST_CASE("a start without effect occupies its capacity until a stop is confirmed")
{
    PlannerFixture f(1);
    f.planner.addJob(f.job("a", 1, 1, 8), f.now);
    const Order start = f.planStarts().at(0);
    f.planner.addJob(f.job("b", 1, 1, 8), f.now);
    f.advanceTime(absl::Seconds(1));
    auto orders = f.plan();
    REQUIRE(orders.size() == 1);
    CHECK(orders[0].kind == Order::Kind::Start);
    CHECK(orders[0].run == start.run);
    f.advanceTime(absl::Seconds(3));
    orders = f.plan();
    REQUIRE(orders.size() == 1);
    CHECK(orders[0].kind == Order::Kind::Stop);
    CHECK(orders[0].run == start.run);
    f.planner.runAbsent(start.worker, start.run, f.now);
    const auto next = f.planStarts();
    REQUIRE(next.size() == 1);
    CHECK((next[0].run.task.job == "b" || next[0].run.run == 2));
}

// Guards against a step that starts before the steps that it depends on are complete.
TEST_CASE("a step waits for all tasks of the steps that it depends on")
{
    PlannerFixture f(1);
    workload::Job job = f.job("a", 1, 2, 1, false);
    workload::Step second = job.steps[0];
    second.tasks = 1;
    second.after = {0};
    job.steps.push_back(second);
    f.planner.addJob(job, f.now);
    const auto first = f.planStarts();
    REQUIRE(first.size() == 2);
    f.confirm(first);
    f.end(first[0], RunEnd::Completed);
    CHECK(f.planStarts().empty());
    f.end(first[1], RunEnd::Completed);
    const auto last = f.planStarts();
    REQUIRE(last.size() == 1);
    CHECK(last[0].run.task.step == 1);
    f.end(last[0], RunEnd::Completed);
    CHECK(f.planner.job("a")->state() == JobState::Completed);
}

// Guards against occurrences that start early, twice or not at all.
TEST_CASE("occurrences start at their due times and the job completes with the last one")
{
    PlannerFixture f(1);
    workload::Job job = f.job("a", 1, 1, 1);
    job.scheduled = true;
    job.occurrences = 2;
    job.firstDueMs = absl::ToUnixMillis(f.now) + 1000;
    job.intervalMs = 500;
    f.planner.addJob(job, f.now);
    CHECK(f.planStarts().empty());
    f.advanceTime(absl::Milliseconds(999));
    CHECK(f.planStarts().empty());
    f.advanceTime(absl::Milliseconds(1));
    const auto first = f.planStarts();
    REQUIRE(first.size() == 1);
    f.end(first[0], RunEnd::Completed);
    CHECK(f.planner.job("a")->state() == JobState::Running);
    f.advanceTime(absl::Milliseconds(500));
    const auto second = f.planStarts();
    REQUIRE(second.size() == 1);
    CHECK(second[0].run.task.occurrence == 1);
    f.end(second[0], RunEnd::Completed);
    CHECK(f.planner.job("a")->state() == JobState::Completed);
}

// Guards against spreading a gang over racks, which slows it down, when one rack is soon free.
TEST_CASE("a gang for a single rack waits for a rack before it is spread")
{
    PlannerFixture f(6);
    f.planner.addJob(f.job("x", 1, 1, 8), f.now);
    workload::Job y = f.job("y", 1, 1, 8);
    const auto first = f.planStarts();
    f.confirm(first);
    y.steps[0].inputRack = first.at(0).worker < "w3" ? "r1" : "r0";
    f.planner.addJob(y, f.now);
    const auto second = f.planStarts();
    REQUIRE(second.size() == 1);
    f.confirm(second);
    workload::Job job = f.job("a", 1, 3, 8);
    job.steps[0].sameRack = true;
    f.planner.addJob(job, f.now);
    CHECK(f.planStarts().empty());
    f.advanceTime(absl::Seconds(6));
    CHECK(f.ordersOfKind(f.plan(), Order::Kind::Start).size() >= 3);
}

// Guards against exceeding the limit of tasks of a step per worker.
TEST_CASE("the number of tasks of a step on a worker is limited")
{
    PlannerFixture f(2);
    workload::Job job = f.job("a", 2, 5, 1, false);
    job.steps[0].maxPerWorker = 2;
    f.planner.addJob(job, f.now);
    const auto starts = f.planStarts();
    CHECK(starts.size() == 4);
}

// Guards against starts that exceed the capacity of a worker that has shrunk while tasks run on it.
TEST_CASE("starts follow a capacity that shrinks and grows")
{
    PlannerFixture f(1);
    Worker worker = f.worker(0);
    const auto resize = [&f, &worker](std::int64_t accelerators) {
        worker.capacity.accelerators = accelerators;
        f.planner.updateWorker(worker);
    };
    f.planner.addJob(f.job("first", 1, 1, 6), f.now);
    const auto first = f.planStarts();
    REQUIRE(first.size() == 1);
    f.confirm(first);
    resize(4);
    f.planner.addJob(f.job("second", 1, 2, 2, false), f.now);
    f.planner.addJob(f.job("urgent", 0, 1, 4), f.now);
    CHECK(f.planStarts().empty());
    f.end(first[0], RunEnd::Stopped);
    const auto urgent = f.planStarts();
    REQUIRE(urgent.size() == 1);
    CHECK(urgent[0].run.task.job == "urgent");
    f.confirm(urgent);
    resize(7);
    const auto second = f.planStarts();
    REQUIRE(second.size() == 1);
    CHECK(second[0].run.task.job == "second");
}

// Guards against treating a worker as idle when its runs are merely missing from its listing.
TEST_CASE("tasks of a removed worker are restarted elsewhere as a new run")
{
    PlannerFixture f(1);
    f.planner.addJob(f.job("a", 1, 1, 8), f.now);
    const auto first = f.planStarts();
    f.confirm(first);
    f.planner.runSeen("w0", first[0].run, "c1", 40, f.now);
    f.planner.updateWorker(f.worker(1));
    CHECK(f.planStarts().empty());
    f.planner.removeWorker("w0", WorkerEnd::LeaseExpired, f.now);
    const auto second = f.planStarts();
    REQUIRE(second.size() == 1);
    CHECK(second[0].worker == "w1");
    CHECK(second[0].run.run == 2);
    CHECK(second[0].checkpoint == "c1");
    f.planner.runEnded("w0", first[0].run, RunEnd::Completed, {}, f.now);
    CHECK(f.planner.job("a")->state() == JobState::Running);
}

// Guards against a new leader that restarts running tasks or loses recorded failures.
TEST_CASE("a new leader continues from the stored progress")
{
    PlannerFixture f(2);
    f.planner.addJob(f.job("a", 1, 2, 1, false), f.now);
    const auto starts = f.planStarts();
    REQUIRE(starts.size() == 2);
    f.confirm(starts);
    f.end(starts[0], RunEnd::Failed);
    const ProgressRows rows = f.planner.job("a")->encode();

    PlannerFixture g(2);
    REQUIRE(g.planner.restoreJob(g.job("a", 1, 2, 1, false), rows, g.now));
    CHECK(g.planner.hasActiveRun(starts[1].worker, starts[1].run));
    g.planner.runSeen(starts[1].worker, starts[1].run, {}, 10, g.now);
    const auto again = g.planStarts();
    REQUIRE(again.size() == 1);
    CHECK(again[0].run.task == starts[0].run.task);
    CHECK(again[0].run.run == 2);
    g.end(again[0], RunEnd::Failed);
    CHECK(g.planner.job("a")->state() == JobState::Failed);
}

// Guards against invalid progress rows that crash the leader.
TEST_CASE("invalid progress is rejected")
{
    PlannerFixture f(1);
    const std::string row =
        GENERATE(as<std::string>(), "", "[]", "{}", R"({"state":"asleep"})", "\xff");
    CHECK_FALSE(f.planner.restoreJob(f.job("a", 1, 1, 1), {{"", row}}, f.now));
}

// Guards against progress rows that refer to steps or tasks that the job does not have.
TEST_CASE("parts of stored progress that do not match the job are ignored")
{
    PlannerFixture f(1);
    const std::string row = GENERATE(
        as<std::string>(),
        R"({"state":"running","next":1,"open":[0],"gangs":[[0,7,1,1]],"tasks":[[0,9,0,1,1,0,"w0",""]]})",
        R"({"state":"running","next":1,"open":[0],"gangs":[["x"],[0]],"tasks":[[0],["a"]]})",
        R"({"state":"running","next":1,"open":[0],"tasks":[[0,0,-1,1,1,0,"w0",""]]})");
    CHECK(f.planner.restoreJob(f.job("a", 1, 1, 1), {{"", row}}, f.now));
    CHECK(f.planStarts().size() == 1);
}

// Guards against a task that is offered again and again to a worker that refuses it, beside idle
// ones.
TEST_CASE("a task that a worker refuses to start is tried elsewhere")
{
    PlannerFixture f(4);
    f.planner.addJob(f.job("a", 1, 1, 1, false), f.now);
    std::set<std::string> tried;
    for (int i = 0; i < 3; ++i) {
        const auto starts = f.planStarts();
        REQUIRE(starts.size() == 1);
        tried.insert(starts[0].worker);
        f.planner.startRefused(starts[0].worker, starts[0].run);
        f.planner.runAbsent(starts[0].worker, starts[0].run, f.now);
        f.advanceTime(absl::Milliseconds(300));
    }
    CHECK(tried.size() == 3);
    // With few workers left that have not refused it, those that have are used again.
    CHECK(f.planStarts().size() == 1);
}

// Guards against reusing the capacity of a completed gang's member that its worker still runs.
TEST_CASE("capacity of a completed gang's member is reused once its worker lists the end")
{
    PlannerFixture f(2);
    f.planner.addJob(f.job("gang", 1, 2, 8), f.now);
    const auto starts = f.ordersOfKind(f.plan(), Order::Kind::Start);
    REQUIRE(starts.size() == 2);
    for (const Order &start : starts)
        f.planner.startConfirmed(start.worker, start.run, f.now);
    f.planner.beginListing(starts[0].worker);
    f.planner.runEnded(starts[0].worker, starts[0].run, RunEnd::Completed, {}, f.now);
    f.planner.addJob(f.job("next", 1, 2, 8, false), f.now);
    const auto first = f.ordersOfKind(f.plan(), Order::Kind::Start);
    REQUIRE(first.size() == 1);
    CHECK(first[0].worker == starts[0].worker);
    f.planner.beginListing(starts[1].worker);
    f.planner.runEnded(starts[1].worker, starts[1].run, RunEnd::Completed, {}, f.now);
    const auto second = f.ordersOfKind(f.plan(), Order::Kind::Start);
    REQUIRE(second.size() == 1);
    CHECK(second[0].worker == starts[1].worker);
}

// Guards against an index of active tasks that misses one: a worker whose tasks it does not list
// would neither be watched nor have its runs started elsewhere when its lease ends.
TEST_CASE("the keys of workers include those known only from active tasks", "[planning]")
{
    PlannerFixture fixture(2);
    fixture.planner.addJob(PlannerFixture::job("j", 1, 2, 8, false), fixture.now);
    const std::vector<Order> starts = fixture.planStarts();
    REQUIRE(starts.size() == 2);
    fixture.confirm(starts);

    PlannerFixture restored(0);
    REQUIRE(restored.planner.restoreJob(PlannerFixture::job("j", 1, 2, 8, false),
                                        fixture.planner.job("j")->encode(), restored.now));
    CHECK(restored.planner.workerKeys() == std::set<std::string>{"w0", "w1"});
    CHECK(restored.planner.workerKeys("w1") == std::set<std::string>{"w1"});
    restored.planner.removeWorker("w1", WorkerEnd::LeaseExpired, restored.now);
    CHECK(restored.planner.workerKeys() == std::set<std::string>{"w0"});
    restored.planner.runEnded("w0", {{"j", 0, 0, starts[0].run.task.index}, 1}, RunEnd::Stopped, {},
                              restored.now);
    CHECK(restored.planner.workerKeys().empty());
    // Both tasks are pending again and start on a worker that has joined.
    restored.planner.updateWorker(PlannerFixture::worker(5));
    CHECK(restored.planStarts().size() == 1);
    CHECK(restored.planner.workerKeys() == std::set<std::string>{"w5"});
}
