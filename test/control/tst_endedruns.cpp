#include "simulatedworker.h"
#include "testprocesses.h"

using namespace oleandercross;
using namespace oleandercross::control;
using namespace oleandercross::control::testing;

// Guards against starting tasks again that have ended: lists contain only some of the ended runs.
TEST_CASE("tasks execute once if more of them end at once than a worker lists")
{
    constexpr int TasksPerJob = static_cast<int>(SimulatedWorker::MaxListedEnds);
    const std::vector<std::string> jobs = {"5c0e7a21d94b36f1", "5c0e7a21d94b36f2",
                                           "5c0e7a21d94b36f3", "5c0e7a21d94b36f4"};
    const std::size_t taskCount = jobs.size() * SimulatedWorker::MaxListedEnds;
    FakeRowStore store;
    SimulatedWorker worker;
    AgentProcess agent(store, worker, "side-1");
    agent.agent.heartbeat(worker.report("i-1", 1000));
    EntryProcess entry(store, "front");
    for (const std::string &id : jobs) {
        workload::Job many = job(id, TasksPerJob, {10, 10, 0});
        many.steps[0].gang = false;
        REQUIRE(entry.entry.submit(many, nearDeadline()) == SubmitOutcome::Accepted);
    }
    REQUIRE(waitUntil([&] { return worker.starts().size() == taskCount; }));
    // After this time the leader revokes starts that appear to have had no effect.
    absl::SleepFor(absl::Seconds(3));
    CHECK(worker.completeAll() == static_cast<int>(taskCount));
    for (const std::string &id : jobs) {
        CHECK(waitUntil([&] {
            worker.completeAll();
            return entry.entry.state(id, nearDeadline()).state == planning::JobState::Completed;
        }));
    }
    int repeated = 0;
    for (const auto &[task, count] : worker.starts())
        repeated += count > 1 ? 1 : 0;
    CHECK(repeated == 0);
}
