#include "restartcluster.h"

using namespace oleandercross;
using namespace oleandercross::control;
using namespace oleandercross::control::testing;

// Guards against starting tasks again that a new boot has completed: a list names only some of the
// ended runs.
TEST_CASE("tasks execute once if a worker that restarts under its id lists only some of their ends")
{
    constexpr int TaskCount = static_cast<int>(SimulatedWorker::MaxListedEnds) + 100;
    Cluster cluster;
    cluster.worker.boot("i-1", 1000);
    cluster.startAgent();
    cluster.agent().heartbeat(cluster.worker.heartbeat());
    cluster.submit(JobBefore);
    REQUIRE(waitUntil([&] { return cluster.log.starts(JobBefore) == 1; }));
    cluster.worker.setListing(false);
    cluster.worker.boot("i-1", 2000);
    cluster.submitTasks(JobAfter, TaskCount);
    // The first task of the earlier job has been lost with the earlier boot.
    REQUIRE(waitUntil([&] { return cluster.worker.starts().size() == TaskCount + 1; }));
    CHECK(cluster.worker.completeAll() == TaskCount);
    cluster.worker.setListing(true);
    CHECK(cluster.complete(JobAfter));
    int repeated = 0;
    for (const auto &[task, count] : cluster.worker.starts())
        repeated += task.job == JobAfter && count > 1 ? 1 : 0;
    CHECK(repeated == 0);
}
