#include "plannerfixture.h"

#include <catch2/catch.hpp>

using namespace oleandercross;
using namespace oleandercross::planning;
using testing::PlannerFixture;

// Guards against capacity that is kept idle for urgent jobs while work of the lowest priority waits
// beside it without a limit, and against a reserve that late work takes as a whole.
TEST_CASE("work of any priority uses the urgent reserve once it is about to be late")
{
    struct Case
    {
        const char *what;
        int priority;
        double stretch;
        absl::Duration age;
        std::size_t starts;
    };
    const Case c = GENERATE(values<Case>({
        {"priority 1 with slack", 1, 10, absl::ZeroDuration(), 48},
        {"priority 2 with slack", 2, 10, absl::ZeroDuration(), 48},
        {"priority 3 with slack", 3, 10, absl::ZeroDuration(), 48},
        {"priority 1 about to be late", 1, 1, absl::ZeroDuration(), 64},
        {"priority 2 about to be late", 2, 1, absl::ZeroDuration(), 64},
        {"priority 3 about to be late", 3, 1, absl::ZeroDuration(), 64},
        {"priority 1, late", 1, 1, absl::Seconds(30), 56},
        {"priority 2, late", 2, 1, absl::Seconds(30), 56},
    }));
    CAPTURE(c.what);
    PlannerFixture fixture(8);
    // Two of the eight workers are reserved, since urgent jobs were submitted recently.
    fixture.expectUrgentJobs(PlannerFixture::job("urgent", 0, 1, 8));
    for (int i = 0; i < 64; ++i) {
        workload::Job job = PlannerFixture::job("j" + std::to_string(i), c.priority, 1, 1, false);
        job.terms.stretch = c.stretch;
        fixture.planner.addJob(job, fixture.now, c.age);
    }
    CHECK(fixture.planStarts().size() == c.starts);
}
