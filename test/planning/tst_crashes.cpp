#include "plannerfixture.h"

#include <catch2/catch.hpp>

#include <set>

using namespace oleandercross;
using namespace oleandercross::planning;
using testing::PlannerFixture;

namespace {

// A planner whose workers crash and come back at once as new incarnations.
struct CrashFixture : PlannerFixture
{
    explicit CrashFixture(int workers)
        : PlannerFixture(workers)
    { }

    void crash(const std::string &key)
    {
        Worker worker = planner.workers().at(key);
        planner.removeWorker(key, WorkerEnd::Crashed, now);
        worker.key = key + "'";
        planner.updateWorker(worker);
    }

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
TEST_CASE("a job whose task crashes each worker that starts it is given up", "[!shouldfail]")
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
