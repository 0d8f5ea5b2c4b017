#include "plannerfixture.h"

#include <catch2/catch.hpp>

using namespace oleandercross;
using namespace oleandercross::planning;
using testing::PlannerFixture;

namespace {

constexpr int WorkerCount = 12;

// A planner that has seen short urgent jobs, so that it knows what urgent jobs are like.
struct WideJobFixture : PlannerFixture
{
    WideJobFixture()
        : PlannerFixture(WorkerCount)
    {
        expectUrgentJobs(shortJob("earlier"));
    }

    static workload::Job shortJob(const std::string &id)
    {
        workload::Job job = PlannerFixture::job(id, 0, 1, 8);
        job.queue = "short";
        job.steps[0].estimateMs = 500;
        return job;
    }

    // Each task takes a whole worker.
    static workload::Job wideJob(int priority, std::int64_t taskMs, bool gang, int tasks)
    {
        workload::Job job = PlannerFixture::job("wide", priority, tasks, 8, gang);
        job.queue = "wide";
        job.steps[0].estimateMs = taskMs;
        return job;
    }
};

} // namespace

// Guards against one job that holds all workers for as long as its tasks take, while jobs with
// short deadlines wait for them.
TEST_CASE("a wide urgent job with long tasks runs only as wide as its deadline requires")
{
    struct Case
    {
        const char *what;
        int priority;
        std::int64_t taskMs;
        bool gang;
        std::int64_t guarantee;
        // How long the job waits before workers join.
        absl::Duration delay;
        int starts;
    };
    // 24 tasks of 20 s have to complete within 321 s.
    const Case c = GENERATE(values<Case>({
        {"a quarter of the service suffices", 0, 20000, false, 0, absl::ZeroDuration(), 3},
        {"the deadline is near", 0, 20000, false, 0, absl::Seconds(201), 6},
        {"the deadline has passed", 0, 20000, false, 0, absl::Seconds(400), 3},
        {"short tasks", 0, 1000, false, 0, absl::ZeroDuration(), WorkerCount},
        {"guaranteed", 0, 20000, false, 1000, absl::ZeroDuration(), WorkerCount},
        // Two workers are reserved for urgent jobs.
        {"urgent jobs may pre-empt it", 1, 20000, false, 0, absl::ZeroDuration(), WorkerCount - 2},
        {"a gang runs as a whole", 0, 20000, true, 0, absl::ZeroDuration(), WorkerCount},
    }));
    CAPTURE(c.what);
    WideJobFixture f;
    f.planner.setGuarantees({{"account", c.guarantee}});
    f.planner.addJob(f.wideJob(c.priority, c.taskMs, c.gang, c.gang ? WorkerCount : 24), f.now,
                     c.delay);
    CHECK(static_cast<int>(f.planStarts().size()) == c.starts);
}

// Guards against a count of task slots that overflows, after which the job waits without a reason.
TEST_CASE("a job runs at its full width if any number of its tasks fits")
{
    struct Case
    {
        const char *what;
        workload::Demand demand;
        workload::Demand capacity;
    };
    const Case c = GENERATE(values<Case>({
        {"tasks that need nothing", {0, 0, 0}, {32000, 64000, 8}},
        {"the largest workers", {1, 1, 1}, {2147483647, 2147483647, 2147483647}},
    }));
    CAPTURE(c.what);
    WideJobFixture f;
    for (int i = 0; i < WorkerCount; ++i) {
        Worker worker = f.worker(i);
        worker.capacity = c.capacity;
        f.planner.updateWorker(worker);
    }
    workload::Job job = f.wideJob(0, 20000, false, 24);
    job.steps[0].perTask = c.demand;
    f.planner.addJob(job, f.now);
    CHECK(f.planStarts().size() == 24);
}

// Guards against an urgent job that waits for the end of a wide one that began before it.
TEST_CASE("an urgent job starts at once beside a wide one that began before it")
{
    WideJobFixture f;
    f.planner.addJob(f.wideJob(0, 20000, false, 24), f.now);
    f.confirm(f.planStarts());
    f.advanceTime(absl::Seconds(5));
    f.planner.addJob(f.shortJob("urgent"), f.now);
    const auto starts = f.planStarts();
    REQUIRE(starts.size() == 1);
    CHECK(starts[0].run.task.job == "urgent");
}

// Guards against a paced job that does not use the capacity which its own ended tasks leave.
TEST_CASE("a paced job starts its next task when one ends")
{
    WideJobFixture f;
    f.planner.addJob(f.wideJob(0, 20000, false, 24), f.now);
    const auto first = f.planStarts();
    f.confirm(first);
    REQUIRE(first.size() == 3);
    f.advanceTime(absl::Seconds(20));
    CHECK(f.planStarts().empty());
    f.end(first[0], RunEnd::Completed);
    CHECK(f.planStarts().size() == 1);
}
