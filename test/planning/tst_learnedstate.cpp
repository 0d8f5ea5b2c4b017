#include "plannerfixture.h"

#include <oleandercross/core/json.h>
#include <oleandercross/core/resultcode.h>

#include <absl/strings/str_cat.h>
#include <catch2/catch.hpp>

using namespace oleandercross;
using namespace oleandercross::planning;
using namespace oleandercross::planning::testing;

namespace {

const core::Instant Start = absl::FromUnixSeconds(1780000000);

WorkEstimates taughtEstimates(int queues = 1)
{
    WorkEstimates estimates;
    for (int q = 0; q < queues; ++q) {
        const std::string queue = q == 0 ? "q" : absl::StrCat("queue-", q);
        for (int i = 0; i < 30; ++i) {
            estimates.recordEstimate(queue, 2000 + 100 * i);
            estimates.recordCompletion(queue, 2000 + 100 * i, absl::Milliseconds(7000 + 50 * i));
            estimates.recordJobWork(queue, 300 + i);
        }
    }
    return estimates;
}

bool acceptAll(const std::string &)
{
    return true;
}

// A planner that has learned from a worker with failures and from completed tasks of queue "q".
struct TaughtPlanner : PlannerFixture
{
    TaughtPlanner()
        : PlannerFixture(6)
    {
        for (int i = 0; i < 3; ++i) {
            planner.addJob(job(absl::StrCat("j", i), 0, 2, 8, false), now);
            const std::vector<Order> orders = planStarts();
            confirm(orders);
            advanceTime(absl::Seconds(2));
            for (const Order &order : orders) {
                const bool fails = order.worker == "w0" || order.worker == orders.front().worker;
                end(order, fails ? RunEnd::Failed : RunEnd::Completed);
            }
        }
    }
};

} // namespace

TEST_CASE("restored estimates predict the same times", "[planning][learned]")
{
    const WorkEstimates before = taughtEstimates();
    WorkEstimates after;
    REQUIRE(after.restore(before.encode(MaxLearnedRowBytes), Start));
    for (const std::int64_t estimate : {0, 500, 3000, 60000})
        CHECK(absl::ToDoubleSeconds(after.expectedTime("q", estimate))
              == Approx(absl::ToDoubleSeconds(before.expectedTime("q", estimate))).epsilon(0.001));
    CHECK(after.meanJobWork("q") == Approx(before.meanJobWork("q")).epsilon(0.001));
}

TEST_CASE("restored urgent demand gives the same forecast", "[planning][learned]")
{
    UrgentDemandForecast before;
    CHECK(before.encode(Start) == "{}");
    for (int i = 0; i < 10; ++i)
        before.recordJob(8, absl::Seconds(3), Start + absl::Seconds(i));
    const core::Instant now = Start + absl::Seconds(15);
    UrgentDemandForecast after;
    // The clocks of two machines differ.
    const core::Instant otherNow = Start - absl::Hours(5);
    REQUIRE(after.restore(before.encode(now), otherNow));
    CHECK(after.forecastAccelerators(otherNow, absl::Seconds(2))
          == Approx(before.forecastAccelerators(now, absl::Seconds(2))).epsilon(0.001));
    CHECK(absl::ToDoubleSeconds(after.typicalObjective()) == Approx(3).epsilon(0.001));
}

TEST_CASE("restored health marks have their age", "[planning][learned]")
{
    WorkerHealth before;
    for (const absl::Duration age : {absl::Seconds(1), absl::ZeroDuration()})
        before.recordFailure("failed twice", "job", Start - age);
    before.recordFailure("failed long ago", "job", Start - absl::Minutes(5));
    before.recordStall("stalled", Start - absl::Seconds(2));
    WorkerHealth after;
    const core::Instant otherNow = Start + absl::Hours(5);
    REQUIRE(after.restore(before.encode(Start, acceptAll, MaxLearnedRowBytes), otherNow));
    CHECK(after.suspicionLevel("failed twice", otherNow) == 2);
    CHECK(after.suspicionLevel("failed twice", otherNow + absl::Minutes(1)) == 0);
    CHECK(after.suspicionLevel("stalled", otherNow) == 2);
    CHECK(after.suspicionLevel("stalled", otherNow + absl::Seconds(2)) == 0);
    CHECK(after.workers() == std::set<std::string>{"failed twice", "stalled"});
}

TEST_CASE("a restored speed counts like an observation and decays", "[planning][learned]")
{
    WorkerSpeeds before;
    for (int step = 0; step < 8; ++step) {
        const StepKey key{"j", 0, step};
        for (const char *worker : {"slow", "a", "b", "c"}) {
            const double seconds = std::string(worker) == "slow" ? 10 : 4;
            before.observe(key, worker[0], {{worker}, absl::Seconds(seconds), 1, Start});
        }
    }
    before.update(Start);
    REQUIRE(before.speed("slow") < 0.7);
    WorkerSpeeds after;
    const core::Instant otherNow = Start + absl::Hours(5);
    REQUIRE(after.restore(before.encode(acceptAll, MaxLearnedRowBytes), otherNow));
    for (const absl::Duration age : {absl::ZeroDuration(), absl::Milliseconds(1)}) {
        CHECK(after.speed("slow") == Approx(before.speed("slow")).epsilon(0.02));
        CHECK(after.confidence("slow") == Approx(before.confidence("slow")).epsilon(0.02));
        after.update(otherNow + age);
    }
    after.update(otherNow + absl::Seconds(30));
    CHECK(after.speed("slow") > before.speed("slow"));
    CHECK(after.confidence("slow") < before.confidence("slow"));
    // The worker has recovered: observations outweigh what was restored.
    const core::Instant later = otherNow + absl::Seconds(30);
    for (int step = 0; step < 8; ++step) {
        for (const char *worker : {"slow", "a", "b", "c"})
            after.observe({"k", 0, step}, worker[0], {{worker}, absl::Seconds(4), 1, later});
    }
    after.update(later + absl::Seconds(5));
    CHECK(after.speed("slow") > 0.85);
    after.update(otherNow + absl::Minutes(5));
    CHECK(after.speed("slow") == 1);
}

// Guards against a row of another writer that ends the leader or gives it absurd estimates.
TEST_CASE("unreadable entries are left out and the others are restored", "[planning][learned]")
{
    const std::string good = R"("good":[4,1500,0.1,4,8000,0.1,4,5,0.1,4,300,10])";
    const std::string odd = GENERATE(
        as<std::string>(), R"("bad":[4,1500,0.1,4,8000,0.1,4,5,0.1,4,300])", R"("bad":"text")",
        R"("bad":null)", R"("bad":[4,1500,0.1,4,8000,0.1,4,5,0.1,4,300,"10"])",
        R"("bad":[4,1500,-0.1,4,8000,0.1,4,5,0.1,4,300,10])",
        R"("bad":[4,1500,0.1,4,0,0.1,4,5,0.1,4,300,10])",
        R"("bad":[1e9,1500,0.1,4,8000,0.1,4,5,0.1,4,300,10])",
        R"("bad":[4,1e300,0.1,4,8000,0.1,4,5,0.1,4,300,10])",
        R"("":[4,1500,0.1,4,8000,0.1,4,5,0.1,4,300,10])");
    CAPTURE(odd);
    WorkEstimates estimates;
    CHECK_FALSE(estimates.restore("{" + good + "," + odd + "}", Start));
    CHECK(core::lastReason().message == "1 entries are unreadable");
    CHECK(absl::ToDoubleSeconds(estimates.expectedTime("good", 0)) == Approx(8).epsilon(0.01));
    CHECK(estimates.expectedTime("bad", 700) == absl::Milliseconds(700));
}

TEST_CASE("texts that are no objects change nothing", "[planning][learned]")
{
    const std::string text = GENERATE(as<std::string>(), "", "null", "[]", "7", "\xff\xfe",
                                      std::string(100000, '['), R"({"w":[1,-1]} x)");
    CAPTURE(text.substr(0, 20));
    WorkEstimates estimates;
    UrgentDemandForecast demand;
    WorkerHealth health;
    AccountShares shares;
    CHECK_FALSE(estimates.restore(text, Start));
    CHECK_FALSE(demand.restore(text, Start));
    CHECK_FALSE(health.restore(text, Start));
    CHECK_FALSE(shares.restore(text, Start));
    CHECK(demand.forecastAccelerators(Start, absl::Seconds(9)) == 0);
    CHECK(health.workers().empty());
}

// Guards against rows that the store or the next leader rejects because of their size.
TEST_CASE("the stored form keeps its limit and the entries with most samples",
          "[planning][learned]")
{
    WorkEstimates estimates = taughtEstimates(2000);
    for (int i = 0; i < 30; ++i)
        estimates.recordJobWork("queue-1999", 400);
    const std::string text = estimates.encode(MaxLearnedRowBytes);
    CHECK(text.size() <= MaxLearnedRowBytes);
    CHECK(text.size() > MaxLearnedRowBytes - 1000);
    WorkEstimates restored;
    REQUIRE(restored.restore(text, Start));
    CHECK(restored.meanJobWork("queue-1999") > 300);
}

TEST_CASE("a planner with restored state knows what the one before has learned",
          "[planning][learned]")
{
    TaughtPlanner before;
    const LearnedState state = before.planner.learnedState(before.now);
    CHECK(state.size() == 6);
    PlannerFixture after;
    after.now = Start + absl::Hours(3);
    CHECK(after.planner.restoreLearnedState(state, after.now).empty());
    CHECK(after.planner.learnedState(after.now) == state);
}

// Guards against the demand of each retained job counting again at each change of leader.
TEST_CASE("jobs that the restored state includes are not recorded again", "[planning][learned]")
{
    TaughtPlanner before;
    const LearnedState state = before.planner.learnedState(before.now);
    PlannerFixture after;
    after.planner.restoreLearnedState(state, after.now);
    for (int i = 0; i < 3; ++i) {
        const JobRecord &record = *before.planner.job(absl::StrCat("j", i));
        REQUIRE(after.planner.restoreJob(record.job(), record.encode(), after.now));
    }
    after.planner.addJob(PlannerFixture::job("old", 0, 2, 8), after.now, absl::Seconds(5));
    CHECK(after.planner.learnedState(after.now).at("estimates") == state.at("estimates"));
    after.planner.addJob(PlannerFixture::job("new", 0, 2, 8), after.now);
    CHECK(after.planner.learnedState(after.now).at("estimates") != state.at("estimates"));
}

TEST_CASE("rows that cannot be used are named and the others are restored", "[planning][learned]")
{
    struct Case
    {
        const char *key;
        std::string text;
        std::size_t unreadable;
    };
    const std::string tooLarge = R"({"format":1,"had":{}})" + std::string(MaxLearnedRowBytes, ' ');
    const Case c = GENERATE_COPY(values<Case>({
        {"accounts", R"({"format":2,"had":{}})", 1},
        {"accounts", R"({"had":{}})", 1},
        {"accounts", R"({"format":"1","had":{}})", 1},
        {"accounts", R"({"format":1})", 1},
        {"accounts", R"({"format":1,"had":{"1/a":[-1]}})", 1},
        {"accounts", R"({"format":1,"had":{"x":[1]}})", 1},
        {"accounts", R"({"format":1,"had":{"99999999999/a":[1]}})", 1},
        {"accounts", tooLarge, 1},
        {"accounts", "\xff", 1},
        {"estimates", "[1]", 1},
        {"estimates", R"({"format":1,"taskTimes":[],"urgentDemand":{"recent":[1e99,1,1]}})", 2},
        {"speeds-0", R"({"format":1,"speeds":{},"health":{"w":[1]}})", 1},
        {"speeds-1", R"({"format":1,"speeds":{"w":[0,1]},"health":{"w":[1,99999]}})", 2},
        {"speeds-2", R"({"format":1,"speeds":{"w":[1,-1],"x":[9,1]},"health":{}})", 1},
        {"of another version", "x", 0},
    }));
    CAPTURE(c.key, c.text.substr(0, 60));
    TaughtPlanner before;
    LearnedState state = before.planner.learnedState(before.now);
    state[c.key] = c.text;
    PlannerFixture after;
    const auto unreadable = after.planner.restoreLearnedState(state, after.now);
    CHECK(unreadable.size() == c.unreadable);
    for (const UnreadableLearnedState &part : unreadable) {
        CHECK(part.key == c.key);
        CHECK_FALSE(part.reason.empty());
    }
    for (const auto &[key, text] : after.planner.learnedState(after.now)) {
        if (key != c.key)
            CHECK(text == state.at(key));
    }
}

// Guards against rows that grow with each worker that ever existed.
TEST_CASE("what was learned about workers that do not appear is dropped", "[planning][learned]")
{
    PlannerFixture fixture(1);
    const std::string marks =
        R"({"w0":[100,-1],"gone":[100,-1]},"speeds":{"w0":[2,9],"gone-too":[2,9]})";
    for (int i = 0; i < 4; ++i) {
        const std::string row = R"({"format":1,"health":)" + marks + "}";
        fixture.planner.restoreLearnedState({{absl::StrCat("speeds-", i), row}}, fixture.now);
    }
    const auto storedWorkers = [&fixture] {
        std::set<std::string> workers;
        for (const auto &[key, text] : fixture.planner.learnedState(fixture.now)) {
            const auto row = core::parseJson(text);
            REQUIRE(row);
            for (const char *part : {"health", "speeds"}) {
                for (const std::string &worker : (*row)[part].getMemberNames())
                    workers.insert(worker);
            }
        }
        return workers;
    };
    fixture.advanceTime(absl::Seconds(10));
    fixture.plan();
    CHECK(storedWorkers() == std::set<std::string>{"w0", "gone", "gone-too"});
    fixture.advanceTime(absl::Seconds(10));
    fixture.plan();
    CHECK(storedWorkers() == std::set<std::string>{"w0"});
}

// Guards against rows that outgrow their limit at the largest deployment.
TEST_CASE("the rows of 510 workers keep the limit", "[planning][learned]")
{
    PlannerFixture fixture(0);
    std::vector<std::string> marks(4);
    for (std::size_t i = 0; i < 510; ++i) {
        Worker worker = PlannerFixture::worker(static_cast<int>(i));
        worker.key = absl::StrCat("side-of-worker-", i, "/incarnation-of-", i, "/1780000000123");
        fixture.planner.updateWorker(worker);
        std::string &part = marks[i % marks.size()];
        absl::StrAppend(&part, part.empty() ? "" : ",", "\"", worker.key, "\":[1.23456,1.23456]");
    }
    for (std::size_t i = 0; i < marks.size(); ++i)
        fixture.planner.restoreLearnedState(
            {{absl::StrCat("speeds-", i),
              R"({"format":1,"health":{)" + marks[i] + R"(},"speeds":{)" + marks[i] + "}}"}},
            fixture.now);
    std::size_t entries = 0;
    for (const auto &[key, text] : fixture.planner.learnedState(fixture.now)) {
        CHECK(text.size() <= MaxLearnedRowBytes);
        const auto row = core::parseJson(text);
        REQUIRE(row);
        entries += (*row)["health"].size() + (*row)["speeds"].size();
    }
    CHECK(entries == 1020);
}
