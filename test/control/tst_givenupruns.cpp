#include "restartcluster.h"

using namespace oleandercross;
using namespace oleandercross::control;
using namespace oleandercross::control::testing;

// Guards against work that is done again, and a next step that waits for it, since the end of a run
// is listed after the leader has given its worker up.
TEST_CASE("a task that completes behind a cut is not started again")
{
    enum class Cut { WorkerFromAgent, AgentFromLeader };
    const Cut cut = GENERATE(Cut::WorkerFromAgent, Cut::AgentFromLeader);
    CAPTURE(static_cast<int>(cut));
    RunLog log;
    SimulatedWorker worker(log);
    worker.boot("i-1", 1000);
    FakeRowStore store;
    AgentProcess agent(store, worker, "side-1", Lease);
    agent.agent.heartbeat(worker.heartbeat());
    EntryProcess entry(store, "front", Lease);
    workload::Job submitted = job(JobBefore, 1);
    submitted.steps.push_back(submitted.steps[0]);
    submitted.steps[1].after = {0};
    REQUIRE(entry.entry.submit(submitted, nearDeadline()) == SubmitOutcome::Accepted);
    REQUIRE(waitUntil([&] { return log.starts(JobBefore) == 1; }));
    worker.setListing(cut != Cut::WorkerFromAgent);
    agent.watchesPaused = cut == Cut::AgentFromLeader;
    // A call that the agent has received before is answered when a task ends.
    REQUIRE(waitUntil([&] { return cut != Cut::AgentFromLeader || agent.heldWatches > 0; }));
    CHECK(worker.completeAll() == 1);
    REQUIRE(
        waitUntil([&] { return entry.metrics.value("runs_lost{reason=\"lease expired\"}") == 1; }));
    worker.setListing(true);
    agent.watchesPaused = false;
    CHECK(waitUntil([&] {
        agent.agent.heartbeat(worker.heartbeat());
        worker.completeAll();
        return entry.entry.state(JobBefore, nearDeadline()).state == planning::JobState::Completed;
    }));
    CHECK(log.starts(JobBefore) == 1);
}
