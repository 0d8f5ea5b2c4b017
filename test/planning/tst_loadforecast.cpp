#include "plannerfixture.h"

#include <oleandercross/core/json.h>
#include <oleandercross/planning/loadforecast.h>

#include <catch2/catch.hpp>

using namespace oleandercross;
using namespace oleandercross::planning;
using testing::PlannerFixture;

namespace {

// Six workers, each of 96 weighted cores, that hold 48 tasks of 9 weighted cores at a time.
struct ForecastFixture : PlannerFixture
{
    std::optional<LoadForecast> forecast()
    {
        confirm(planStarts());
        return forecaster.update(planner.openJobs(), planner.workers(), planner.estimates(), now);
    }

    // Returns the time until the work that an urgent job of the service waits for is done, or
    // nothing without a forecast.
    std::optional<absl::Duration> wait(int priority = 1)
    {
        const auto current = forecast();
        if (!current)
            return std::nullopt;
        return current->services.at("service").timeUntilDone(priority);
    }

    LoadForecaster forecaster;
};

} // namespace

// Guards against refusals and calls in a deployment whose backlog stays small.
TEST_CASE("a backlog below two seconds of the capacity is not forecast")
{
    ForecastFixture f;
    CHECK_FALSE(f.forecast());
    // 25 tasks of 45 core seconds are below, 26 are above 1152.
    f.planner.addJob(f.job("a", 1, 25, 1, false), f.now);
    CHECK_FALSE(f.forecast());
    f.planner.addJob(f.job("b", 1, 1, 1, false), f.now);
    CHECK(f.forecast());
    f.planner.cancelJob("a", f.now);
    CHECK_FALSE(f.forecast());
}

// Guards against refusing work that the cluster has room for because of work that delays nothing.
TEST_CASE("work that leaves capacity free is not waited for")
{
    struct Case
    {
        const char *what;
        int tasks;
        int accelerators;
        void (*change)(workload::Step &);
        // Whether the work counts as backlog at all.
        bool counts;
    };
    const Case c = GENERATE(values<Case>({
        {"one long task", 1, 8, [](workload::Step &s) { s.estimateMs = 3600000; }, true},
        {"tasks for one rack", 1000, 1, [](workload::Step &s) { s.neededLabel = "r0"; }, true},
        {"no worker has the label", 1000, 1, [](workload::Step &s) { s.neededLabel = "x"; }, false},
        {"no worker is large enough", 1000, 9, [](workload::Step &) {}, false},
        {"a gang larger than the cluster", 49, 1, [](workload::Step &s) { s.gang = true; }, false},
    }));
    CAPTURE(c.what);
    ForecastFixture f;
    workload::Job job = f.job("a", 1, c.tasks, c.accelerators, false);
    c.change(job.steps[0]);
    f.planner.addJob(job, f.now);
    for (int i = 0; i < 20; ++i) {
        const auto wait = f.wait();
        CHECK(wait.has_value() == c.counts);
        CHECK(wait.value_or(absl::ZeroDuration()) == absl::ZeroDuration());
        f.advanceTime(absl::Milliseconds(250));
    }
}

// Guards against refusing urgent jobs because of work that they may pre-empt.
TEST_CASE("only work of the same and of more urgent priorities is waited for")
{
    ForecastFixture f;
    // 480 tasks take ten rounds of 5 s.
    f.planner.addJob(f.job("a", 1, 480, 1, false), f.now);
    CHECK(f.wait(0) == absl::ZeroDuration());
    CHECK(*f.wait(1) >= absl::Seconds(35));
    CHECK(*f.wait(2) <= absl::Seconds(55));
}

// Guards against refusing jobs that the planner would start at once, because of jobs that have
// become late and that it starts after them. A simulated day was worth a quarter less with this.
TEST_CASE("pending tasks of a job that has become late are not waited for")
{
    ForecastFixture f;
    f.planner.addJob(f.job("a", 1, 480, 1, false), f.now);
    CHECK(*f.wait() >= absl::Seconds(35));
    // The objective of 40 waves of 5 s is 401 s.
    f.advanceTime(absl::Seconds(402));
    const auto late = f.forecast();
    REQUIRE(late);
    CHECK(late->services.at("service").remainingWork() > 10000);
    CHECK(late->services.at("service").timeUntilDone(1) == absl::ZeroDuration());
}

// Guards against a rate near zero, which would refuse a burst that the workers are idle for.
TEST_CASE(
    "a run far beyond its expected time does not lower the expected work rate of idle workers")
{
    ForecastFixture f;
    f.planner.addJob(f.job("slow", 1, 1, 1, false), f.now);
    for (int i = 0; i < 400; ++i) {
        f.forecast();
        f.advanceTime(absl::Milliseconds(250));
    }
    f.planner.addJob(f.job("burst", 1, 96, 1, false), f.now);
    CHECK(*f.wait() <= absl::Seconds(12));
}

// Guards against an entry that expects other times than the leader, and so refuses other jobs.
TEST_CASE("an entry expects the task times that the leader has learned")
{
    WorkEstimates estimates;
    for (const int estimateMs : {800, 2000, 9000}) {
        estimates.recordEstimate("q", estimateMs);
        estimates.recordCompletion("q", estimateMs, absl::Milliseconds(3 * estimateMs));
    }
    ForecastFixture f;
    f.planner.addJob(f.job("a", 1, 480, 1, false), f.now);
    f.plan();
    const auto forecast =
        f.forecaster.update(f.planner.openJobs(), f.planner.workers(), estimates, f.now);
    REQUIRE(forecast);
    for (const int estimateMs : {0, 100, 1000, 5000, 200000}) {
        const absl::Duration time = forecast->queues.at("q").expectedTime(estimateMs);
        CHECK(absl::FDivDuration(time, estimates.expectedTime("q", estimateMs))
              == Approx(1).epsilon(0.01));
    }
}

// Guards against a forecast that changes on its way, and against a process that ends because of an
// odd one.
TEST_CASE("a forecast is the same after transmission and an odd one is not used")
{
    ForecastFixture f;
    f.planner.addJob(f.job("a", 1, 480, 1, false), f.now);
    f.planner.addJob(f.job("b", 0, 4, 8), f.now);
    const auto forecast = f.forecast();
    REQUIRE(forecast);
    CHECK(loadForecastFromJson(*core::parseJson(core::writeJson(toJson(*forecast)))) == forecast);
    const std::string odd = GENERATE(
        as<std::string>(), "[]", R"({"services":{}})", R"({"services":[],"queues":{}})",
        R"({"services":{"s":1},"queues":{}})", R"({"services":{},"queues":{"q":[1,2]}})",
        R"({"services":{},"queues":{"q":[1,2,-3]}})",
        R"({"services":{"s":{"rate":-1,"workers":[],"priorities":[]}},"queues":{}})",
        R"({"services":{"s":{"rate":1,"workers":[{"count":1}],"priorities":[]}},"queues":{}})",
        R"({"services":{"s":{"rate":1,"workers":[],"priorities":[{"priority":0,"work":1,)"
        R"("within":[1]}]}},"queues":{}})");
    CHECK_FALSE(loadForecastFromJson(*core::parseJson(odd)));
}
