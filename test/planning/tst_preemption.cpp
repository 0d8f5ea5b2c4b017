#include "plannerfixture.h"

#include <catch2/catch.hpp>

using namespace oleandercross;
using namespace oleandercross::planning;
using testing::PlannerFixture;

// Guards against runs of the lowest priority that are stopped again and again for work that could
// wait for them.
TEST_CASE("only work without slack stops runs of lower priority")
{
    struct Case
    {
        const char *what;
        int priority;
        double stretch;
        absl::Duration waited;
        std::size_t stops;
    };
    const Case c = GENERATE(values<Case>({
        {"a job with slack", 1, 10, absl::ZeroDuration(), 0},
        {"a job that has lost its slack by waiting", 1, 10, absl::Seconds(180), 8},
        {"a job that is about to be late", 1, 1, absl::ZeroDuration(), 8},
        {"an urgent job", 0, 10, absl::ZeroDuration(), 8},
    }));
    CAPTURE(c.what);
    PlannerFixture fixture(1);
    fixture.planner.addJob(PlannerFixture::job("running", 2, 8, 1, false), fixture.now);
    fixture.confirm(fixture.planStarts());
    workload::Job waiting = PlannerFixture::job("waiting", c.priority, 1, 8);
    waiting.terms.stretch = c.stretch;
    waiting.steps[0].estimateMs = 20000;
    fixture.planner.addJob(waiting, fixture.now, c.waited);
    const auto stops = fixture.ordersOfKind(fixture.plan(), Order::Kind::Stop);
    CHECK(stops.size() == c.stops);
}
