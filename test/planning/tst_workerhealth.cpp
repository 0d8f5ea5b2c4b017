#include "plannerfixture.h"

#include <catch2/catch.hpp>

using namespace oleandercross;
using namespace oleandercross::planning;
using testing::PlannerFixture;

namespace {

// Starts `count` single tasks of jobs of their own, each of which needs a whole worker, and returns
// their starts.
std::vector<Order> startJobs(PlannerFixture &fixture, int count, const std::string &name)
{
    for (int i = 0; i < count; ++i)
        fixture.planner.addJob(PlannerFixture::job(name + std::to_string(i), 1, 1, 8, false),
                               fixture.now);
    std::vector<Order> starts = fixture.planStarts();
    fixture.confirm(starts);
    return starts;
}

} // namespace

// Guards against workers that fail everything and take the blame from each other: a task that fails
// on a second one of them made the first one look healthy.
TEST_CASE("workers that fail the tasks of several jobs do not clear each other")
{
    struct Case
    {
        const char *what;
        bool otherJobFails;
        bool otherJobSucceeds;
        bool workerIsBlamed;
    };
    const Case c = GENERATE(values<Case>({
        {"no other job has failed on the second worker", false, false, false},
        {"another job has failed there", true, false, true},
        {"another job has failed there and one has succeeded since", true, true, false},
    }));
    CAPTURE(c.what);
    const core::Instant now = absl::FromUnixSeconds(1780000000);
    WorkerHealth health;
    health.recordFailure("second", "job", now);
    if (c.otherJobFails)
        health.recordFailure("second", "other", now);
    if (c.otherJobSucceeds)
        health.recordSuccess("second", now);
    CHECK(health.hasFailedOtherJobs("second", "job", now) == c.workerIsBlamed);
    CHECK_FALSE(health.hasFailedOtherJobs("second", "job", now + absl::Minutes(1)));
}

// Guards against the same in the planner: after each of two workers has failed the tasks of two
// jobs, new work must go to the third.
TEST_CASE("work avoids two workers that fail each other's tasks")
{
    PlannerFixture fixture(3);
    for (const char *id : {"a", "b", "c"})
        fixture.planner.addJob(PlannerFixture::job(id, 1, 1, 8), fixture.now);
    const std::vector<Order> starts = fixture.planStarts();
    REQUIRE(starts.size() == 3);
    fixture.end(starts[0], RunEnd::Failed);
    fixture.end(starts[1], RunEnd::Failed);
    const std::vector<Order> retries = fixture.planStarts();
    REQUIRE(retries.size() == 2);
    for (const Order &retry : retries)
        fixture.end(retry, RunEnd::Failed);
    fixture.end(starts[2], RunEnd::Completed);
    const std::vector<Order> next = startJobs(fixture, 1, "new");
    REQUIRE(next.size() == 1);
    CHECK(next[0].worker == starts[2].worker);
}

// Guards against jobs that can be done and fail, since their last attempt goes to a worker that has
// just failed a task of another job. Such workers have free capacity when all others are busy.
TEST_CASE("a task that has failed waits for a worker without recent failures")
{
    PlannerFixture fixture(6);
    const std::vector<Order> starts = startJobs(fixture, 6, "job");
    REQUIRE(starts.size() == 6);
    // Two workers fail what they run. The others stay busy.
    fixture.end(starts[0], RunEnd::Failed);
    fixture.end(starts[1], RunEnd::Failed);
    CHECK(fixture.planStarts().empty());
    fixture.end(starts[2], RunEnd::Completed);
    const std::vector<Order> retries = fixture.planStarts();
    REQUIRE(retries.size() == 1);
    CHECK(retries[0].worker == starts[2].worker);
    // Work without failures may use a worker with one failure.
    CHECK(startJobs(fixture, 2, "new").size() == 2);
}

// Guards against jobs that fail everywhere and take healthy workers out of use.
TEST_CASE("a task that fails on several healthy workers clears them")
{
    PlannerFixture fixture(4);
    fixture.planner.addJob(PlannerFixture::job("poison", 1, 4, 8, false), fixture.now);
    const std::vector<Order> starts = fixture.planStarts();
    REQUIRE(starts.size() == 4);
    fixture.end(starts[0], RunEnd::Failed);
    for (std::size_t i = 1; i < 4; ++i)
        fixture.end(starts[i], RunEnd::Completed);
    const std::vector<Order> retries = fixture.planStarts();
    REQUIRE(retries.size() == 1);
    CHECK(retries[0].worker != starts[0].worker);
    fixture.end(retries[0], RunEnd::Failed);
    CHECK(fixture.planner.job("poison")->state() == JobState::Failed);
    // The workers are avoided by neither new work nor work that has failed elsewhere.
    CHECK(startJobs(fixture, 4, "new").size() == 4);
}
