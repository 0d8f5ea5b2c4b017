#include "plannerfixture.h"

#include <catch2/catch.hpp>

#include <set>

using namespace oleandercross;
using namespace oleandercross::planning;
using testing::PlannerFixture;

namespace {

// A planner whose lost workers are back at once as new incarnations.
struct CrashFixture : PlannerFixture
{
    explicit CrashFixture(int workers)
        : PlannerFixture(workers)
    { }

    void lose(const std::string &key, WorkerEnd end)
    {
        Worker worker = planner.workers().at(key);
        planner.removeWorker(key, end, now);
        worker.key = key + "'";
        planner.updateWorker(worker);
    }

    void crash(const std::string &key) { lose(key, WorkerEnd::Crashed); }

    // Crashes each worker on which a task of the job has been started. Returns the number of starts
    // of the job.
    int crashWorkersOf(const std::string &id, const std::vector<Order> &starts)
    {
        std::set<std::string> workers;
        int count = 0;
        for (const Order &start : starts) {
            if (start.run.task.job != id)
                continue;
            workers.insert(start.worker);
            ++count;
        }
        for (const std::string &worker : workers)
            crash(worker);
        return count;
    }

    JobState state(const std::string &id) const { return planner.job(id)->state(); }
};

} // namespace

// Guards against a task that crashes one worker after the other: its job has to be given up after
// the third crash.
TEST_CASE("a job whose task crashes each worker that starts it is given up")
{
    struct Case
    {
        const char *what;
        int tasks;
        int accelerators;
        bool gang;
        // The start is confirmed before the worker crashes.
        bool confirmed;
        // Another leader restores the job before each start.
        bool newLeaders;
    };
    const Case c = GENERATE(values<Case>({
        {"one task", 1, 1, false, true, false},
        {"start not confirmed", 1, 1, false, false, false},
        {"one task, new leaders", 1, 1, false, true, true},
        {"a gang on one worker", 3, 1, true, true, false},
        {"a gang on several workers", 3, 8, true, true, false},
    }));
    CAPTURE(c.what);
    CrashFixture f(6);
    const workload::Job job = f.job("deadly", 1, c.tasks, c.accelerators, c.gang);
    f.planner.addJob(job, f.now);
    int rounds = 0;
    for (int i = 0; i < 60 && f.state("deadly") != JobState::Failed; ++i) {
        const auto starts = f.planStarts();
        if (c.confirmed)
            f.confirm(starts);
        rounds += f.crashWorkersOf("deadly", starts) > 0 ? 1 : 0;
        if (c.newLeaders)
            REQUIRE(f.planner.restoreJob(job, f.planner.job("deadly")->encode(), f.now));
        f.advanceTime(absl::Milliseconds(300));
    }
    CHECK(f.state("deadly") == JobState::Failed);
    CHECK(rounds == 3);
    CHECK(f.planStarts().empty());
}

// Guards against giving up a job because of crashes of workers that never received its starts.
TEST_CASE("a job is blamed only for crashes of workers that may have received its starts")
{
    struct Case
    {
        const char *what;
        bool repeated;
        bool confirmed;
        bool blamed;
    };
    const Case c = GENERATE(values<Case>({
        {"the start was not sent", false, false, false},
        {"the start was not sent at first, and repeated", true, false, true},
        {"the run is listed nevertheless", false, true, true},
    }));
    CAPTURE(c.what);
    CrashFixture f(6);
    f.planner.addJob(f.job("job", 1, 1, 1), f.now);
    for (int crashes = 0; crashes < 6 && f.state("job") != JobState::Failed; ++crashes) {
        const auto starts = f.planStarts();
        REQUIRE(starts.size() == 1);
        f.planner.startNotSent(starts[0].worker, starts[0].run);
        if (c.repeated) {
            f.advanceTime(PlannerOptions().orderRepeat);
            REQUIRE(f.planStarts().size() == 1);
        }
        if (c.confirmed)
            f.confirm(starts);
        f.crash(starts[0].worker);
        f.advanceTime(absl::Milliseconds(300));
    }
    CHECK((f.state("job") == JobState::Failed) == c.blamed);
}

// Guards against blaming a task for the crash of a worker on which it has run for a while, against
// never giving up one that crashes its workers late, and against giving up a long task that
// advances although it loses a worker from time to time.
TEST_CASE("a crash counts fully only against tasks that have just started")
{
    struct Case
    {
        const char *what;
        absl::Duration runTime;
        WorkerEnd end;
        // Each run saves a new checkpoint before its worker is lost.
        bool advances;
        int lossesUntilFailed;
    };
    const Case c = GENERATE(values<Case>({
        {"crash at the start", absl::ZeroDuration(), WorkerEnd::Crashed, false, 3},
        {"crash after half a second", absl::Milliseconds(500), WorkerEnd::Crashed, false, 3},
        {"crash after a while", absl::Seconds(2), WorkerEnd::Crashed, false, 5},
        {"crash after a new checkpoint", absl::Minutes(2), WorkerEnd::Crashed, true, 0},
        {"checkpoints, but crash at the start", absl::ZeroDuration(), WorkerEnd::Crashed, true, 3},
        {"worker leaves", absl::ZeroDuration(), WorkerEnd::Left, false, 0},
        {"lease expires", absl::ZeroDuration(), WorkerEnd::LeaseExpired, false, 0},
    }));
    CAPTURE(c.what);
    CrashFixture f(2);
    f.planner.addJob(f.job("a", 1, 1, 8), f.now);
    int losses = 0;
    while (losses < 10 && f.state("a") != JobState::Failed) {
        const auto starts = f.planStarts();
        REQUIRE(starts.size() == 1);
        f.confirm(starts);
        f.advanceTime(c.runTime);
        if (c.advances)
            f.planner.runSeen(starts[0].worker, starts[0].run, "c" + std::to_string(losses), 10,
                              f.now);
        f.lose(starts[0].worker, c.end);
        ++losses;
    }
    CHECK((f.state("a") == JobState::Failed) == (c.lossesUntilFailed > 0));
    if (c.lossesUntilFailed > 0)
        CHECK(losses == c.lossesUntilFailed);
}

// Guards against giving up a job whose task has only been started beside one that crashes workers.
TEST_CASE("suspected tasks start on different workers, apart from other recent starts")
{
    CrashFixture f(3);
    // Both fit on one worker and are placed there together.
    f.planner.addJob(f.job("deadly", 1, 1, 4), f.now);
    f.planner.addJob(f.job("innocent", 1, 1, 4), f.now);
    const auto first = f.planStarts();
    REQUIRE(first.size() == 2);
    REQUIRE(first[0].worker == first[1].worker);
    f.confirm(first);
    f.crash(first[0].worker);

    const auto second = f.planStarts();
    REQUIRE(second.size() == 2);
    CHECK(second[0].worker != second[1].worker);
    f.confirm(second);
    f.planner.addJob(f.job("other", 1, 1, 4), f.now);
    const auto other = f.planStarts();
    REQUIRE(other.size() == 1);
    CHECK(other[0].worker != second[0].worker);
    CHECK(other[0].worker != second[1].worker);
    f.confirm(other);

    // The suspected tasks have proved harmless, so others may start beside them.
    f.advanceTime(absl::Seconds(2));
    f.planner.addJob(f.job("late", 1, 3, 4, false), f.now);
    CHECK(f.planStarts().size() == 3);
}

// Guards against a suspected task that waits without a limit on a worker where tasks start often.
TEST_CASE("a suspected task starts beside others after a while")
{
    CrashFixture f(1);
    f.planner.addJob(f.job("suspect", 2, 1, 1), f.now);
    const auto first = f.planStarts();
    REQUIRE(first.size() == 1);
    f.confirm(first);
    f.crash(first[0].worker);
    int othersBefore = 0;
    bool started = false;
    while (!started && othersBefore < 100) {
        f.planner.addJob(f.job("other" + std::to_string(othersBefore), 1, 1, 1), f.now);
        const auto starts = f.planStarts();
        f.confirm(starts);
        f.advanceTime(absl::Milliseconds(200));
        for (const Order &order : starts) {
            if (order.run.task.job == "suspect")
                started = true;
            else
                f.end(order, RunEnd::Completed);
        }
        ++othersBefore;
    }
    CHECK(started);
    // It waits for three seconds, in which another task starts every 0.2 s.
    CHECK(othersBefore > 10);
    CHECK(othersBefore < 20);
}
