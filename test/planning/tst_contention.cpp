#include "contentionfixture.h"

#include <catch2/catch.hpp>

using namespace oleandercross;
using namespace oleandercross::planning;
using testing::ContentionFixture;

namespace {

// A job of the lowest priority that does not end by itself soon.
workload::Job longJob(const ContentionFixture &f, int tasks, int accelerators, bool gang = true)
{
    workload::Job job = f.job("low", 2, tasks, accelerators, gang);
    job.queue = "long";
    job.steps[0].estimateMs = absl::ToInt64Milliseconds(f.runTime);
    return job;
}

} // namespace

// Load: two gangs of different priority and a stream of urgent gangs, for room for one. Guards
// against gangs that displace each other in turn and never end.
TEST_CASE("gangs that displace each other are started at most four times", "[planning]")
{
    ContentionFixture f(3);
    f.planner.addJob(f.job("low", 2, 3, 8), f.now);
    f.run(absl::Milliseconds(500));
    f.planner.addJob(f.job("middle", 1, 3, 8), f.now);
    for (int i = 0; i < 10; ++i) {
        f.run(absl::Seconds(7));
        f.planner.addJob(f.job("u" + std::to_string(i), 0, 3, 8), f.now);
    }
    f.run(absl::Seconds(60));
    for (const auto &[job, starts] : f.starts) {
        CAPTURE(job);
        CHECK(starts <= 4 * 3);
        CHECK(f.planner.job(job)->state() == JobState::Completed);
    }
    CHECK(f.starts.size() == 12);
}

// Load: ten gangs of three priorities arrive while there is room for three. Guards against
// throwing away more than a small part of the work.
TEST_CASE("ten gangs for room for three waste little work", "[planning]")
{
    ContentionFixture f(9);
    for (int i = 0; i < 10; ++i) {
        f.planner.addJob(f.job("g" + std::to_string(i), 2 - i / 4, 3, 8), f.now);
        f.run(absl::Milliseconds(700));
    }
    f.run(absl::Seconds(30));
    const double work = 10 * 3 * 5;
    CAPTURE(f.wastedSeconds);
    CHECK(f.wastedSeconds < 0.2 * work);
    for (int i = 0; i < 10; ++i) {
        const std::string id = "g" + std::to_string(i);
        CAPTURE(id, f.starts[id]);
        CHECK(f.starts[id] <= 2 * 3);
        CHECK(f.planner.job(id)->state() == JobState::Completed);
    }
}

// Load: a step was stopped as often as allowed, and work of higher priority waits. Guards against
// stopping it again, and against guaranteed work that waits for it.
TEST_CASE("only guaranteed work stops a step that was stopped often", "[planning]")
{
    const bool gang = GENERATE(true, false);
    const bool guaranteed = GENERATE(true, false);
    CAPTURE(gang, guaranteed);
    ContentionFixture f(3);
    f.planner.setGuarantees({{"account", guaranteed ? 24 : 0}});
    const workload::Job job = f.job("low", 2, 3, 8, gang);
    const std::string count = gang ? "3" : "9";
    REQUIRE(f.planner.restoreJob(
        job,
        {{"", R"({"state":"running","next":1,"open":[0],"preempted":[[0,0,)" + count + ",3]]}"}},
        f.now));
    f.run(absl::Milliseconds(50));
    REQUIRE(f.starts["low"] == 3);
    f.planner.addJob(f.job("u", 0, 3, 8), f.now);
    f.run(absl::Seconds(2));
    CHECK(f.stops["low"] == (guaranteed ? 3 : 0));
    CHECK(f.starts["u"] == (guaranteed ? 3 : 0));
}

// Load: stops take longer than promised while another job of the same priority waits, which is
// worth more. Guards against stops that free room for others than the job that ordered them.
TEST_CASE("capacity that stops freed goes to its beneficiary", "[planning]")
{
    const bool gang = GENERATE(true, false);
    CAPTURE(gang);
    ContentionFixture f(3);
    // A reservation of guaranteed work is shorter; other single tasks would not start together.
    f.planner.setGuarantees({{"account", gang ? 0 : 48}});
    f.stopTime = absl::Seconds(gang ? 2 : 1);
    f.runTime = absl::Seconds(20);
    f.planner.addJob(longJob(f, 3, 8), f.now);
    f.run(absl::Milliseconds(500));
    workload::Job beneficiary = f.job("beneficiary", 0, 3, 8, gang);
    // The latency objective counts three waves on so small a cluster.
    beneficiary.terms.stretch = 1.0 / 3;
    f.planner.addJob(beneficiary, f.now);
    f.run(absl::Milliseconds(500));
    REQUIRE(f.stops["low"] == 3);
    workload::Job other = f.job("other", 0, 3, 8);
    other.queue = "short";
    other.steps[0].estimateMs = 500;
    f.planner.addJob(other, f.now);
    f.run(absl::Milliseconds(1700));
    CHECK(f.starts["beneficiary"] == 3);
    CHECK(f.starts["other"] == 0);
}

// Load: a stop is never confirmed. Guards against capacity that is held for ever for a job that
// cannot start.
TEST_CASE("a reservation ends five seconds after the last stop order", "[planning]")
{
    ContentionFixture f(3);
    f.runTime = absl::Seconds(100);
    f.planner.addJob(longJob(f, 3, 8, false), f.now);
    f.run(absl::Milliseconds(500));
    f.planner.addJob(f.job("beneficiary", 0, 3, 8), f.now);
    for (const Order &order : f.plan()) {
        if (order.worker != "w0")
            f.execute(order);
    }
    // The worker w0 accepts further stop orders without effect.
    for (auto &[key, run] : f.runs) {
        if (run.worker == "w0")
            run.stopsAt = absl::UnixEpoch() + absl::Hours(1000000);
    }
    workload::Job other = f.job("other", 1, 2, 8);
    // Has no slack, so that it may use the workers kept for urgent jobs.
    other.terms.stretch = 1;
    f.planner.addJob(other, f.now);
    f.run(absl::Milliseconds(4900));
    CHECK(f.starts["other"] == 0);
    f.run(absl::Milliseconds(500));
    CHECK(f.starts["other"] == 2);
}

// Load: guaranteed work arrives while capacity is being freed for other work. Guards against
// guaranteed work that waits for a reservation, or that stops more than it needs.
TEST_CASE("guaranteed work takes the reservation of less urgent work", "[planning]")
{
    ContentionFixture f(4);
    f.planner.setGuarantees({{"account", 24}});
    f.runTime = absl::Seconds(20);
    f.planner.addJob(f.job("keep", 1, 1, 8), f.now);
    f.planner.addJob(longJob(f, 3, 8), f.now);
    f.run(absl::Milliseconds(100));
    workload::Job middle = f.job("middle", 1, 3, 8);
    // The latency objective counts three waves on so small a cluster.
    middle.terms.stretch = 1.0 / 3;
    f.planner.addJob(middle, f.now);
    f.run(absl::Milliseconds(200));
    REQUIRE(f.stops["low"] == 3);
    f.planner.addJob(f.job("u", 0, 3, 8), f.now);
    f.run(absl::Milliseconds(500));
    CHECK(f.starts["u"] == 3);
    CHECK(f.starts["middle"] == 0);
    CHECK(f.stops["keep"] == 0);
}

// Load: a burst of urgent gangs on a full cluster. Guards against gangs of the burst that stop work
// for each other's room, and against long waits.
TEST_CASE("a burst of urgent gangs starts within the stop time", "[planning]")
{
    ContentionFixture f(12);
    f.runTime = absl::Seconds(6);
    f.planner.addJob(f.job("low", 2, 96, 1, false), f.now);
    f.run(absl::Milliseconds(800));
    const int full = f.starts["low"];
    for (int i = 0; i < 5; ++i)
        f.planner.addJob(f.job("u" + std::to_string(i), 0, 2, 8), f.now);
    f.run(f.stopTime + absl::Milliseconds(150));
    for (int i = 0; i < 5; ++i)
        CHECK(f.starts["u" + std::to_string(i)] == 2);
    CHECK(full + f.stops["low"] <= 96 + 80);
    CHECK(f.stops["low"] <= 80);
    f.run(absl::Seconds(30));
    CHECK(f.stops["low"] <= 80);
    CHECK(f.planner.job("low")->state() == JobState::Completed);
}

// Load: an urgent gang arrives shortly before running work ends. Guards against stops that gain
// nothing, since the gang would meet its objective anyway, and against too few where it would not.
TEST_CASE("stops are ordered only if the value that waiting costs exceeds them", "[planning]")
{
    const bool hasSlack = GENERATE(true, false);
    CAPTURE(hasSlack);
    ContentionFixture f(3);
    f.planner.addJob(f.job("low", 2, 3, 8), f.now);
    f.run(absl::Seconds(3));
    workload::Job urgent = f.job("u", 0, 3, 8);
    if (!hasSlack) {
        // The latency objective counts three waves on so small a cluster.
        urgent.terms.stretch = 1.0 / 3;
        urgent.terms.targetMs = 600;
    }
    f.planner.addJob(urgent, f.now);
    f.run(absl::Seconds(1));
    CHECK(f.stops["low"] == (hasSlack ? 0 : 3));
    f.run(absl::Milliseconds(1100));
    CHECK(f.starts["u"] == 3);
}

// Load: an urgent gang on a full cluster. Guards against pre-emptions that operators cannot see.
TEST_CASE("a round reports its pre-emptions with cost and gain", "[planning]")
{
    ContentionFixture f(3);
    f.runTime = absl::Seconds(20);
    f.planner.addJob(longJob(f, 3, 8), f.now);
    f.run(absl::Seconds(1));
    workload::Job urgent = f.job("u", 0, 3, 8);
    urgent.terms.stretch = 1.0 / 3;
    f.planner.addJob(urgent, f.now);
    const std::vector<Preemption> preemptions =
        f.planner.plan(f.now, absl::ToUnixMillis(f.now)).preemptions;
    REQUIRE(preemptions.size() == 1);
    CHECK(preemptions[0].beneficiary == "u");
    CHECK(preemptions[0].runs == 3);
    // Three members ran for 1 s, and a gang takes at least 0.3 s to start.
    CHECK(preemptions[0].lostWork == Approx(3 * 65 * 1.3));
    CHECK(preemptions[0].gain > preemptions[0].cost);
}
