#include "plannerfixture.h"

#include <catch2/catch.hpp>

using namespace oleandercross;
using namespace oleandercross::planning;
using testing::PlannerFixture;

// Guards against a cost that ignores the work since the last checkpoint, the restore or the
// start-up of a gang, so that stops throw more away than they gain.
TEST_CASE("a stop costs the work since the last checkpoint, the restore and a gang's start-up",
          "[planning]")
{
    const absl::Duration never = absl::InfiniteDuration();
    struct Case
    {
        const char *description;
        RunAtRisk run;
        double lostSeconds;
    };
    const Case c = GENERATE_COPY(values<Case>({
        {"just started", {false, absl::ZeroDuration(), never, false, {}}, 0.3},
        {"without checkpoints", {false, absl::Seconds(5), never, false, {}}, 5.3},
        {"after a checkpoint", {false, absl::Seconds(5), absl::Seconds(2), true, {}}, 2.6},
        {"restored, no new checkpoint", {false, absl::Seconds(5), never, true, {}}, 5.6},
        {"checkpoint soon",
         {false, absl::Seconds(5), never, false, {}, absl::Milliseconds(500)},
         1},
        {"checkpoint after the stop",
         {false, absl::Seconds(5), never, false, {}, absl::Seconds(1)},
         5.3},
        {"gang", {true, absl::Seconds(5), never, false, absl::Milliseconds(700)}, 5.7},
        {"gang of unknown start-up", {true, absl::Seconds(5), never, false, never}, 6},
    }));
    CAPTURE(c.description);
    CHECK(absl::ToDoubleSeconds(lostTime(c.run, absl::Milliseconds(600), absl::Milliseconds(900)))
          == Approx(c.lostSeconds));
}

// Guards against stops that cost as much the fourth time as the first, and against overflow.
TEST_CASE("each stop of a step at least doubles the cost of the next", "[planning]")
{
    StopHistory history;
    core::Instant now = absl::UnixEpoch();
    for (int i = 0; i < 20; ++i) {
        const double before = history.costFactor();
        now += absl::Seconds(1);
        history.recordPreemption(now);
        CHECK(history.costFactor() >= 2 * before);
        // A second task that the same burst stops does not count again.
        history.recordPreemption(now);
        CHECK(history.costFactor() == 2 * before);
    }
    CHECK(history.preemptions() == 40);
    CHECK(std::isfinite(StopHistory(1 << 30, 1 << 30).costFactor()));
}

// Load: a job is pre-empted, and then the leader changes. Guards against a leader that stops the
// same job again and again because it does not know of the stops before it.
TEST_CASE("a restored leader keeps the stop counts", "[planning]")
{
    const int tasks = GENERATE(5, 40);
    const bool gang = GENERATE(true, false);
    CAPTURE(tasks, gang);
    PlannerFixture f(5);
    f.planner.setGuarantees({{"account", 40}});
    const workload::Job job = f.job("victim", 2, tasks, 40 / tasks, gang);
    f.planner.addJob(job, f.now);
    f.confirm(f.planStarts());
    f.planner.addJob(f.job("u", 0, 5, 8), f.now);
    const auto stops = f.ordersOfKind(f.plan(), Order::Kind::Stop);
    REQUIRE_FALSE(stops.empty());
    for (const Order &stop : stops)
        f.end(stop, RunEnd::Stopped);
    const int expected = gang ? 1 : static_cast<int>(stops.size());
    CHECK(f.planner.takeChanged().contains("victim"));
    ProgressRows rows;
    for (const ProgressGroup &group : f.planner.takeProgressChanges("victim")) {
        for (const ProgressChange &change : group)
            rows[change.name] = change.value.value_or(std::string());
    }
    PlannerFixture g(5);
    REQUIRE(g.planner.restoreJob(job, rows, g.now));
    const StepProgress &step = g.planner.job("victim")->occurrences().at(0).steps[0];
    CHECK(step.stops.preemptions() == expected);
    CHECK(step.stops.stops() == 1);
}
