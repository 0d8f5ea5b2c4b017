#include "plannerfixture.h"

#include <catch2/catch.hpp>

#include <set>

using namespace oleandercross;
using namespace oleandercross::planning;
using testing::PlannerFixture;

namespace {

constexpr int WorkerCount = 24;
constexpr double SlowFactor = 2.4;

bool isSlow(const std::string &worker)
{
    return std::stoi(worker.substr(1)) % 3 == 2;
}

// 24 workers in racks of 12 of which each third takes 2.4 times as long as the others.
struct UnevenFixture : PlannerFixture
{
    UnevenFixture()
        : PlannerFixture(0)
    {
        for (int i = 0; i < WorkerCount; ++i) {
            Worker uneven = worker(i);
            uneven.rack = "r" + std::to_string(i / 12);
            planner.updateWorker(uneven);
        }
    }

    // Runs one task on each worker until its end, so that the speeds are known.
    void measureWorkers()
    {
        workload::Job job = this->job("measure", 2, WorkerCount, 5, false);
        planner.addJob(job, now);
        const std::vector<Order> starts = planStarts();
        REQUIRE(starts.size() == WorkerCount);
        confirm(starts);
        const core::Instant begin = now;
        for (const bool slow : {false, true}) {
            now = begin + absl::Seconds(slow ? 2 * SlowFactor : 2);
            for (const Order &order : starts) {
                if (isSlow(order.worker) == slow)
                    end(order, RunEnd::Completed);
            }
        }
        plan();
    }

    static int slowCount(const std::vector<Order> &starts)
    {
        return static_cast<int>(std::count_if(
            starts.begin(), starts.end(), [](const Order &order) { return isSlow(order.worker); }));
    }
};

} // namespace

// Guards against an urgent gang that runs at the pace of a slow member while fast workers are idle.
TEST_CASE("urgent gangs run on fast workers", "[planning]")
{
    UnevenFixture f;
    f.measureWorkers();
    const int members = GENERATE(1, 3, 8, 16);
    CAPTURE(members);
    f.planner.addJob(f.job("u", 0, members, 8), f.now);
    const auto starts = f.planStarts();
    REQUIRE(starts.size() == static_cast<std::size_t>(members));
    CHECK(f.slowCount(starts) == 0);
}

// Guards against an urgent gang that starts on slow workers and is late although fast ones can be
// freed.
TEST_CASE("an urgent gang pre-empts on fast workers rather than be late on slow ones", "[planning]")
{
    UnevenFixture f;
    f.measureWorkers();
    f.planner.addJob(f.job("b", 2, 16, 8, false), f.now);
    f.confirm(f.planStarts());
    f.planner.addJob(f.job("c", 2, 8, 8, false), f.now);
    f.confirm(f.planStarts());
    f.advanceTime(absl::Milliseconds(200));
    workload::Job urgent = f.job("u", 0, 2, 8);
    urgent.terms.stretch = 1.5;
    f.planner.addJob(urgent, f.now);
    const auto stops = f.ordersOfKind(f.plan(), Order::Kind::Stop);
    REQUIRE(stops.size() == 2);
    CHECK(f.slowCount(stops) == 0);
}

// Guards against work with much slack that occupies the fast workers.
TEST_CASE("work that ends in time on slow workers leaves the fast ones free", "[planning]")
{
    UnevenFixture f;
    f.measureWorkers();
    const bool gang = GENERATE(false, true);
    CAPTURE(gang);
    workload::Job job = f.job("b", 2, 6, 8, gang);
    job.terms.stretch = 6;
    f.planner.addJob(job, f.now);
    const auto starts = f.planStarts();
    REQUIRE(starts.size() == 6);
    CHECK(f.slowCount(starts) == 6);
}

// Guards against a gang of which most members wait for a slow one.
TEST_CASE("a gang that does not fit on slow workers runs on fast ones only", "[planning]")
{
    UnevenFixture f;
    f.measureWorkers();
    workload::Job job = f.job("b", 1, 10, 8);
    job.terms.stretch = 6;
    f.planner.addJob(job, f.now);
    const auto starts = f.planStarts();
    REQUIRE(starts.size() == 10);
    CHECK(f.slowCount(starts) == 0);
}

// Guards against a job that waits for ever because only slow workers are left.
TEST_CASE("an urgent gang runs on slow workers if it cannot be in time anywhere", "[planning]")
{
    UnevenFixture f;
    f.measureWorkers();
    f.planner.addJob(f.job("u", 0, 24, 8), f.now);
    CHECK(f.planStarts().size() == 24);
}

// Guards against a plan that does not tell operators why work waits for certain workers.
TEST_CASE("the plan says how many workers are slow", "[planning]")
{
    UnevenFixture f;
    CHECK(f.planner.plan(f.now, 0).speeds == SpeedSummary{});
    f.measureWorkers();
    const SpeedSummary speeds = f.planner.plan(f.now, 0).speeds;
    CHECK(speeds == SpeedSummary{WorkerCount, WorkerCount / 3, true});
}
