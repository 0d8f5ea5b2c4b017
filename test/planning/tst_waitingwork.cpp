#include "plannerfixture.h"

#include <catch2/catch.hpp>

using namespace oleandercross;
using namespace oleandercross::planning;
using testing::PlannerFixture;

// Guards against waiting work whose cause cannot be found: the summary must tell capacity that is
// kept for urgent jobs from capacity that is missing or withheld for another reason.
TEST_CASE("the summary of waiting work tells why free capacity is not used")
{
    struct Case
    {
        const char *what;
        bool reserve;
        int tasks;
        int accelerators;
        bool gang;
        const char *label;
        std::int64_t fitInReserve;
        std::int64_t fitElsewhere;
    };
    const Case c = GENERATE(values<Case>({
        {"single tasks beside a reserve", true, 70, 1, false, "", 16, 0},
        {"a gang that is too wide for the reserve", true, 9, 8, true, "", 0, 0},
        {"single tasks that do not fit", false, 70, 1, false, "", 0, 0},
        {"tasks that need a label that no worker has", false, 4, 1, false, "none", 0, 0},
    }));
    CAPTURE(c.what);
    PlannerFixture fixture(8);
    if (c.reserve)
        fixture.expectUrgentJobs(PlannerFixture::job("urgent", 0, 1, 8));
    workload::Job job = PlannerFixture::job("batch", 2, c.tasks, c.accelerators, c.gang);
    job.steps[0].neededLabel = c.label;
    fixture.planner.addJob(job, fixture.now);
    const Plan first = fixture.planner.plan(fixture.now, 0);
    REQUIRE(first.waiting);
    REQUIRE(first.waiting->priorities.contains(2));
    const WaitingTasks &waiting = first.waiting->priorities.at(2);
    CHECK(waiting.tasks == c.tasks - static_cast<int>(first.orders.size()));
    CHECK(waiting.steps == 1);
    CHECK(waiting.fitInReserve == c.fitInReserve);
    CHECK(waiting.fitElsewhere == c.fitElsewhere);
    CHECK(first.waiting->reservedAccelerators == (c.reserve ? 16 : 0));

    fixture.advanceTime(absl::Milliseconds(500));
    CHECK_FALSE(fixture.planner.plan(fixture.now, 0).waiting);
    fixture.advanceTime(absl::Milliseconds(500));
    const Plan second = fixture.planner.plan(fixture.now, 0);
    REQUIRE(second.waiting);
    CHECK(second.waiting->priorities.at(2).longestWait == absl::Seconds(1));
}
