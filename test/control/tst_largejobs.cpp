#include "simulatedworker.h"
#include "testprocesses.h"

#include <oleandercross/workload/codec.h>

#include <absl/strings/str_format.h>

using namespace oleandercross;
using namespace oleandercross::control;
using namespace oleandercross::control::testing;

namespace {

constexpr char LargeJob[] = "5c0e7a21d94b36f1";
constexpr char SmallJob[] = "5c0e7a21d94b36f2";

// A job of small tasks.
workload::Job manyTasks(const std::string &id, int steps, int tasks)
{
    workload::Job large = job(id, tasks, {1, 1, 0});
    large.steps[0].gang = false;
    large.steps.resize(static_cast<std::size_t>(steps), large.steps[0]);
    return large;
}

// A leader, an agent and a worker with a store that enforces its limits.
struct Installation
{
    Installation() { agent.agent.heartbeat(worker.report("i-1", 1000)); }

    void submit(const workload::Job &job)
    {
        REQUIRE(entry.entry.submit(job, nearDeadline()) == SubmitOutcome::Accepted);
    }

    // Completes tasks until the job is shown in the state. Returns false if it never is.
    bool reaches(const std::string &id, planning::JobState state)
    {
        return waitUntil(
            [&] {
                worker.completeAll();
                return entry.entry.state(id, nearDeadline()).state == state;
            },
            StateTimeout);
    }

    FakeRowStore store;
    SimulatedWorker worker;
    AgentProcess agent{store, worker, "side-1", absl::Seconds(6)};
    EntryProcess entry{store, "front", absl::Seconds(6)};
};

} // namespace

// Guards against a job whose progress outgrows a row or a transaction of the store, so that no
// leader stores anything any more.
TEST_CASE("a job of many tasks is completed and does not stop other jobs")
{
    struct Case
    {
        const char *what;
        int steps;
        int tasks;
        int occurrences;
    };
    const Case c = GENERATE(values<Case>({
        {"occurrences that overlap", 1, 400, 6},
        {"many tasks at once", 5, 1000, 1},
        {"many overdue occurrences", 1, 1, 500},
    }));
    CAPTURE(c.what);
    Installation f;
    workload::Job large = manyTasks(LargeJob, c.steps, c.tasks);
    large.scheduled = c.occurrences > 1;
    large.occurrences = c.occurrences;
    large.firstDueMs = 1;
    large.intervalMs = 1;
    f.submit(large);
    // More tasks than are started at once.
    REQUIRE(waitUntil([&] { return f.worker.starts().size() >= 100; }));
    f.submit(job(SmallJob, 1));
    CHECK(f.reaches(SmallJob, planning::JobState::Completed));
    CHECK(f.reaches(LargeJob, planning::JobState::Completed));
    const auto taskCount = static_cast<std::size_t>(c.steps * c.tasks * c.occurrences);
    CHECK(f.worker.starts().size() == taskCount + 1);
    CHECK(f.store.rejections() == 0);
    int repeated = 0;
    for (const auto &[task, count] : f.worker.starts())
        repeated += count > 1 ? 1 : 0;
    CHECK(repeated == 0);
    // Nothing is left of the job but its head.
    const auto rows = f.store.table(ProgressTable, StoreTimeout);
    REQUIRE(rows);
    CHECK(rows->rows.size() == 2);
}

// Guards against a job whose orders wait until those of another job of many tasks have been sent,
// so that its starts are revoked before they are carried out.
TEST_CASE("a call with orders takes some of each job, in their sequence")
{
    std::vector<planning::Order> waiting;
    const auto add = [&waiting](const std::string &job, int index) {
        planning::Order order;
        order.run = {{job, 0, 0, index}, 1};
        waiting.push_back(order);
    };
    for (int i = 0; i < 40; ++i)
        add(LargeJob, i);
    add(SmallJob, 0);
    std::vector<int> sequence;
    for (const planning::Order &order : takeOrders(waiting)) {
        if (order.run.task.job == LargeJob)
            sequence.push_back(order.run.task.index);
    }
    CHECK(waiting.size() == 41 - MaxOrdersPerCall);
    CHECK(sequence.size() == MaxOrdersPerCall - 1);
    for (const planning::Order &order : waiting) {
        CHECK(order.run.task.job == LargeJob);
        sequence.push_back(order.run.task.index);
    }
    CHECK(std::is_sorted(sequence.begin(), sequence.end()));
}

// Guards against telling callers a number of waiting jobs that counts only those that a new leader
// has looked at so far.
TEST_CASE("a new leader tells the number of waiting jobs only once it has counted all")
{
    constexpr int JobCount = 3000;
    FakeRowStore store;
    for (int i = 0; i < JobCount; ++i) {
        const workload::Job waiting = job(absl::StrFormat("%016x", i), 1);
        RowChanges changes;
        changes.puts.push_back({JobTable, waiting.id, workload::encodeJob(waiting)});
        REQUIRE(store.commit(changes, StoreTimeout).outcome == CommitOutcome::Applied);
    }
    EntryProcess entry(store, "front");
    std::optional<int> count;
    REQUIRE(waitUntil([&] {
        count = entry.entry.queueLength("q", nearDeadline());
        return count.has_value();
    }));
    CHECK(*count == JobCount);
}

// Guards against one job whose progress the store rejects, for whatever reason, stopping all
// others.
TEST_CASE("a job whose progress the store rejects is failed, and the others go on")
{
    Installation f;
    f.store.setMaxRowBytes(700);
    // A gang starts as a whole, so that its first row is too large.
    f.submit(job(LargeJob, 30, {1, 1, 0}));
    f.submit(job(SmallJob, 1));
    CHECK(f.reaches(SmallJob, planning::JobState::Completed));
    CHECK(f.reaches(LargeJob, planning::JobState::Failed));
    CHECK(f.store.rejections() > 0);
    // No task has started whose start was not stored.
    for (const auto &[task, count] : f.worker.starts())
        CHECK(task.job == SmallJob);
}
