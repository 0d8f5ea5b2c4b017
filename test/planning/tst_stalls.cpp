#include "plannerfixture.h"

#include <catch2/catch.hpp>

using namespace oleandercross;
using namespace oleandercross::planning;
using testing::PlannerFixture;

namespace {

// Starts a single task and reports `percent` after one second.
std::vector<Order> startWithProgress(PlannerFixture &f, int percent, bool checkpointable = false)
{
    workload::Job job = f.job("a", 1, 1, 1, false);
    job.steps[0].checkpointable = checkpointable;
    f.planner.addJob(job, f.now);
    const auto starts = f.ordersOfKind(f.plan(), Order::Kind::Start);
    REQUIRE(starts.size() == 1);
    f.planner.startConfirmed(starts[0].worker, starts[0].run, f.now);
    f.advanceTime(absl::Seconds(1));
    f.planner.runSeen(starts[0].worker, starts[0].run, {}, percent, f.now);
    return starts;
}

// Lists the run repeatedly with the same progress.
void listWithoutProgress(PlannerFixture &f, const Order &start, int percent, absl::Duration time)
{
    for (absl::Duration passed; passed < time; passed += absl::Milliseconds(500)) {
        f.advanceTime(absl::Milliseconds(500));
        f.planner.runSeen(start.worker, start.run, {}, percent, f.now);
    }
}

} // namespace

TEST_CASE("a run that stalls with little progress is stopped", "[planning]")
{
    PlannerFixture f;
    const auto starts = startWithProgress(f, 3);
    listWithoutProgress(f, starts[0], 3, absl::Seconds(4));
    const auto stops = f.ordersOfKind(f.plan(), Order::Kind::Stop);
    REQUIRE(stops.size() == 1);
    CHECK(stops[0].reason == "run is stalled");
}

TEST_CASE("a run that stalls with much progress is kept", "[planning]")
{
    PlannerFixture f;
    const auto starts = startWithProgress(f, 60);
    listWithoutProgress(f, starts[0], 60, absl::Seconds(4));
    CHECK(f.ordersOfKind(f.plan(), Order::Kind::Stop).empty());
}

TEST_CASE("a stalled run with checkpoints is moved at any progress", "[planning]")
{
    PlannerFixture f;
    const auto starts = startWithProgress(f, 60, true);
    listWithoutProgress(f, starts[0], 60, absl::Seconds(4));
    CHECK(f.ordersOfKind(f.plan(), Order::Kind::Stop).size() == 1);
}

TEST_CASE("a run is not stalled while its worker sends no listings", "[planning]")
{
    PlannerFixture f;
    startWithProgress(f, 3);
    f.advanceTime(absl::Seconds(4));
    CHECK(f.ordersOfKind(f.plan(), Order::Kind::Stop).empty());
}

TEST_CASE("a worker with a stalled run gets no new work", "[planning]")
{
    PlannerFixture f(2);
    const auto starts = startWithProgress(f, 60);
    listWithoutProgress(f, starts[0], 60, absl::Seconds(4));
    f.plan();
    f.planner.addJob(f.job("b", 1, 1, 1, false), f.now);
    const auto next = f.ordersOfKind(f.plan(), Order::Kind::Start);
    REQUIRE(next.size() == 1);
    CHECK(next[0].worker != starts[0].worker);
}

TEST_CASE("progress restored from a checkpoint does not count toward the progress rate",
          "[planning]")
{
    PlannerFixture f;
    const auto starts = startWithProgress(f, 60, true);
    f.planner.runEnded(starts[0].worker, starts[0].run, RunEnd::Stopped, "saved", f.now);
    const auto again = f.ordersOfKind(f.plan(), Order::Kind::Start);
    REQUIRE(again.size() == 1);
    f.planner.startConfirmed(again[0].worker, again[0].run, f.now);
    f.advanceTime(absl::Seconds(1));
    f.planner.runSeen(again[0].worker, again[0].run, {}, 61, f.now);
    const Task *task = f.planner.job("a")->task(again[0].run.task);
    CHECK(task->progressRate == 0);
    f.advanceTime(absl::Seconds(1));
    f.planner.runSeen(again[0].worker, again[0].run, {}, 71, f.now);
    CHECK(task->progressRate == Approx(10));
}
