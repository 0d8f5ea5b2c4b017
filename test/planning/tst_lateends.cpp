#include "plannerfixture.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <set>

using namespace oleandercross;
using namespace oleandercross::planning;
using testing::PlannerFixture;

namespace {

constexpr char Id[] = "j";

// A job whose second step depends on the first one. The runs of the first step are given up, since
// their workers have been cut off until their leases were over.
struct Fixture : PlannerFixture
{
    explicit Fixture(bool gang, int workers = 4)
        : PlannerFixture(0)
    {
        for (int i = 0; i < workers; ++i)
            connect("w" + std::to_string(i));
        spec = job(Id, 1, gang ? 2 : 1, 8, gang);
        spec.steps.push_back(spec.steps[0]);
        spec.steps[1].after = {0};
        planner.addJob(spec, now);
        firstRuns = planStarts();
        REQUIRE(firstRuns.size() == (gang ? 2U : 1U));
        confirm(firstRuns);
        for (const Order &start : firstRuns)
            disconnect(start.worker);
    }

    static Worker named(const std::string &key) { return worker(std::stoi(key.substr(1))); }

    void connect(const std::string &key)
    {
        connected.insert(key);
        planner.updateWorker(named(key));
    }

    void disconnect(const std::string &key, WorkerEnd how = WorkerEnd::LeaseExpired)
    {
        connected.erase(key);
        planner.removeWorker(key, how, now);
    }

    // Starts the first step again on other workers.
    void startAgain()
    {
        secondRuns = planStarts();
        REQUIRE(secondRuns.size() == firstRuns.size());
        CHECK(secondRuns[0].run.run == 2);
    }

    // Lets the worker of the first run list its end twice, since lists repeat ends until they are
    // acknowledged. Returns whether the first one changed anything.
    bool listFirstEnd(RunEnd how, const std::string &checkpoint = {})
    {
        const Order &first = firstRuns[0];
        for (const Order &start : firstRuns)
            connect(start.worker);
        planner.beginListing(first.worker);
        const bool applied = planner.runEnded(first.worker, first.run, how, checkpoint, now);
        CHECK_FALSE(planner.runEnded(first.worker, first.run, how, checkpoint, now));
        return applied;
    }

    // Replaces the planner by the one of the next leader.
    void takeOver()
    {
        const ProgressRows rows = planner.job(Id)->encode();
        planner = Planner({});
        for (const std::string &key : connected)
            planner.updateWorker(named(key));
        REQUIRE(planner.restoreJob(spec, rows, now, absl::ZeroDuration()));
    }

    // Plans one round and lets the workers carry out its orders; tasks of the second step complete.
    void round()
    {
        advanceTime(absl::Milliseconds(800));
        for (const Order &order : plan()) {
            if (order.kind == Order::Kind::Stop) {
                stopped.insert(order.run);
                end(order, RunEnd::Stopped);
                continue;
            }
            confirm({order});
            startedSteps.insert(order.run.task.step);
            if (order.run.task.step == 1)
                end(order, RunEnd::Completed);
        }
    }

    JobState state() const { return planner.job(Id)->state(); }

    workload::Job spec;
    std::set<std::string> connected;
    std::vector<Order> firstRuns;
    std::vector<Order> secondRuns;
    // The steps of which tasks have been started, and the runs that have been stopped, by round().
    std::set<int> startedSteps;
    std::set<workload::RunKey> stopped;
};

} // namespace

// Guards against work that is thrown away although it was completed behind a cut: it is done again,
// and the next step waits for it.
TEST_CASE("a run that was given up and turns out to have completed counts")
{
    struct Case
    {
        const char *what;
        int workers;
        void (*before)(Fixture &);
        void (*after)(Fixture &);
        // The second run of the first step has to be stopped.
        bool stops;
    };
    const auto nothing = [](Fixture &) {};
    const auto startAgain = [](Fixture &f) { f.startAgain(); };
    const Case c = GENERATE_COPY(values<Case>({
        {"it waits for room", 2, nothing, nothing, false},
        {"it waits for room, and a new leader takes over", 2, [](Fixture &f) { f.takeOver(); },
         nothing, false},
        {"its second run is ordered", 4, startAgain, nothing, true},
        {"its second run has begun", 4,
         [](Fixture &f) {
             f.startAgain();
             f.confirm(f.secondRuns);
         },
         nothing, true},
        {"its second run was given up", 4,
         [](Fixture &f) {
             f.startAgain();
             for (const Order &start : f.secondRuns)
                 f.disconnect(start.worker);
         },
         nothing, false},
        {"its second run has begun, and a new leader takes over", 4,
         [](Fixture &f) {
             f.startAgain();
             f.takeOver();
         },
         nothing, true},
        {"a new leader takes over before the second run is stopped", 4, startAgain,
         [](Fixture &f) { f.takeOver(); }, true},
        {"the worker of the second run is lost afterwards", 4, startAgain,
         [](Fixture &f) {
             for (const Order &start : f.secondRuns)
                 f.disconnect(start.worker, WorkerEnd::Crashed);
         },
         false},
        {"the second run never began", 4, startAgain,
         [](Fixture &f) {
             for (const Order &start : f.secondRuns)
                 f.planner.runAbsent(start.worker, start.run, f.now);
         },
         false},
        {"the second run fails afterwards", 4, startAgain,
         [](Fixture &f) {
             for (const Order &start : f.secondRuns)
                 f.end(start, RunEnd::Failed);
         },
         false},
        {"the second run completes afterwards", 4, startAgain,
         [](Fixture &f) {
             for (const Order &start : f.secondRuns)
                 f.end(start, RunEnd::Completed);
         },
         false},
    }));
    const bool gang = GENERATE(false, true);
    CAPTURE(c.what, gang);
    // A job that is not a gang occupies one worker only.
    Fixture f(gang, gang ? c.workers : c.workers / 2);
    c.before(f);
    CHECK(f.listFirstEnd(RunEnd::Completed));
    c.after(f);
    f.round();
    CHECK_FALSE(f.startedSteps.contains(0));
    for (int i = 0; i < 5; ++i)
        f.round();
    CHECK_FALSE(f.startedSteps.contains(0));
    CHECK(f.state() == JobState::Completed);
    for (const Order &start : f.secondRuns)
        CHECK(f.stopped.contains(start.run) == c.stops);
}

// Guards against a next step that waits until a superfluous run has stopped, and against capacity
// that is used twice while it stops.
TEST_CASE(
    "a superfluous run keeps its capacity until it has stopped, and nothing else waits for it")
{
    Fixture f(false, 2);
    f.startAgain();
    f.confirm(f.secondRuns);
    REQUIRE(f.listFirstEnd(RunEnd::Completed));
    f.advanceTime(absl::Milliseconds(50));
    const std::vector<Order> orders = f.plan();
    const std::vector<Order> starts = f.ordersOfKind(orders, Order::Kind::Start);
    REQUIRE(starts.size() == 1);
    CHECK(starts[0].run.task.step == 1);
    CHECK(starts[0].worker == f.firstRuns[0].worker);
    const std::vector<Order> stops = f.ordersOfKind(orders, Order::Kind::Stop);
    REQUIRE(stops.size() == 1);
    CHECK(stops[0].run == f.secondRuns[0].run);
    CHECK(stops[0].reason == "an earlier run has completed");
    CHECK(f.planner.hasActiveRun(f.secondRuns[0].worker, f.secondRuns[0].run));
}

// Guards against ends of runs that were given up which are lost or counted twice, and against ends
// that replace what a later run has done.
TEST_CASE("other ends of a run that was given up count while no later run has been started")
{
    struct Case
    {
        const char *what;
        RunEnd how;
        bool startedAgain;
        bool applied;
        std::string checkpoint;
        int failures;
    };
    const Case c = GENERATE(values<Case>({
        {"lapsed", RunEnd::Lapsed, false, true, "c", 0},
        {"stopped", RunEnd::Stopped, false, true, "c", 0},
        {"failed", RunEnd::Failed, false, true, "c", 1},
        {"lapsed, started again", RunEnd::Lapsed, true, false, "", 0},
        {"failed, started again", RunEnd::Failed, true, false, "", 0},
    }));
    const bool gang = GENERATE(false, true);
    CAPTURE(c.what, gang);
    Fixture f(gang);
    if (c.startedAgain)
        f.startAgain();
    CHECK(f.listFirstEnd(c.how, "c") == c.applied);
    const JobRecord &record = *f.planner.job(Id);
    const StepProgress &step = record.occurrences().at(0).steps[0];
    for (const Task &task : step.tasks)
        CHECK(task.checkpoint == c.checkpoint);
    CHECK((gang ? step.gangFailures : step.tasks[0].failures) == c.failures);
    CHECK(f.state() == JobState::Running);
    const ProgressRows before = record.encode();
    f.takeOver();
    CHECK_FALSE(f.planner.runEnded(f.firstRuns[0].worker, f.firstRuns[0].run, c.how, "c", f.now));
    CHECK(f.planner.job(Id)->encode() == before);
}

// Guards against an end that is taken for that of a run which the task has never had, and against
// one that changes a job which has ended.
TEST_CASE("a completion is recorded only for a run that was started, of a job that has not ended")
{
    Fixture f(false);
    workload::RunKey run = f.firstRuns[0].run;
    SECTION("a run that was not started")
    {
        run.run = GENERATE(-1, 0, 2);
    }
    SECTION("the worker was not the run's")
    {
        CHECK_FALSE(f.planner.runEnded("w3", run, RunEnd::Completed, {}, f.now));
        return;
    }
    SECTION("the job was cancelled")
    {
        f.startAgain();
        f.planner.cancelJob(Id, f.now);
    }
    CHECK_FALSE(f.planner.runEnded(f.firstRuns[0].worker, run, RunEnd::Completed, {}, f.now));
    CHECK_FALSE(f.planner.job(Id)->task(run.task)->hasCompleted());
}

// Guards against a task that is started again because the answer to a stop is handled before the
// list with its end.
TEST_CASE("a run that was reported as absent and is listed as completed counts")
{
    PlannerFixture f(1);
    f.planner.addJob(f.job(Id, 1, 1, 8, false), f.now);
    const std::vector<Order> starts = f.planStarts();
    REQUIRE(starts.size() == 1);
    f.planner.runAbsent(starts[0].worker, starts[0].run, f.now);
    CHECK(f.planner.runEnded(starts[0].worker, starts[0].run, RunEnd::Completed, {}, f.now));
    CHECK(f.planStarts().empty());
    CHECK(f.planner.job(Id)->state() == JobState::Completed);
}
