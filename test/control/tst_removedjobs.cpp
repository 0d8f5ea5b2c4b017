#include "loadedentry.h"
#include "restartcluster.h"

#include <oleandercross/control/jobmarker.h>
#include <oleandercross/control/removedjobs.h>
#include <oleandercross/workload/codec.h>

using namespace oleandercross;
using namespace oleandercross::control;
using namespace oleandercross::control::testing;

namespace {

// A store that forgets its history, and whose calls that concern JobBefore can be held up.
class ForgettingStore : public FakeRowStore
{
public:
    CommitResult commit(const RowChanges &changes, absl::Duration timeout) override
    {
        if (!changes.removals.empty() && changes.removals.front().key == JobBefore)
            removals.pass();
        CommitResult result = FakeRowStore::commit(changes, timeout);
        if (!changes.removals.empty() && result.outcome == CommitOutcome::Conflict)
            ++rejectedRemovals;
        return result;
    }

    std::optional<RowPage> range(const std::string &table, const std::string &partition,
                                 const std::string &from, int limit,
                                 absl::Duration timeout) override
    {
        const auto page = FakeRowStore::range(table, partition, from, limit, timeout);
        const bool wholeTable = table == JobTable && limit > 1;
        if (wholeTable && partition == partitionOf(JobTable, JobBefore)) {
            ++tableReads;
            answers.pass();
        }
        return page;
    }

    std::optional<RowFeed> changes(const std::string &table, std::int64_t after,
                                   absl::Duration wait) override
    {
        if (table == JobTable && forgetting)
            return RowFeed{{}, 0, true};
        return FakeRowStore::changes(table, after, wait);
    }

    void putMarker(const std::string &id)
    {
        RowChanges changes;
        changes.puts.push_back({JobTable, id, JobMarker::refusal().encode()});
        REQUIRE(commit(changes, StoreTimeout).outcome == CommitOutcome::Applied);
    }

    // Returns true if the store has a job or a marker under the id JobBefore.
    bool hasRow() const { return value(JobTable, JobBefore).has_value(); }

    std::atomic<bool> forgetting = false;
    std::atomic<int> tableReads = 0;
    // Removals whose conditions did not hold.
    std::atomic<int> rejectedRemovals = 0;
    // Where calls wait: transactions on their way to the store, rows on their way back.
    Gate removals;
    Gate answers;
};

struct Fixture
{
    Fixture()
    {
        worker.boot("i-1", 1000);
        store.removals.close();
    }

    ~Fixture()
    {
        store.answers.open();
        store.removals.open();
    }

    void submit(const std::string &id)
    {
        agent.agent.heartbeat(worker.heartbeat());
        const int startsBefore = log.starts(id);
        REQUIRE(entry.entry.submit(job(id, 1), nearDeadline()) == SubmitOutcome::Accepted);
        REQUIRE(waitUntil([&] { return log.starts(id) > startsBefore; }));
    }

    JobStatus state(const std::string &id) { return entry.entry.state(id, nearDeadline()); }

    // Completes the task of a job that has started, and waits until the job has ended.
    void complete(const std::string &id)
    {
        REQUIRE(waitUntil([&] {
            worker.completeAll();
            const JobStatus status = state(id);
            return status.kind == JobStatus::Kind::NoSuchJob
                || status.state == planning::JobState::Completed;
        }));
    }

    RunLog log;
    SimulatedWorker worker{log};
    ForgettingStore store;
    AgentProcess agent{store, worker, "side-1", Lease};
    // Ended jobs are removed by the next cleanup.
    EntryProcess entry{store, "front", Lease, absl::InfiniteDuration(), absl::ZeroDuration()};
};

// Lets rows of JobBefore be read before they are removed, and arrive after that. Removals have to
// be held up before.
struct LateRows
{
    const char *what;
    void (*deliver)(ForgettingStore &store);
};

const std::vector<LateRows> &lateRows()
{
    static const std::vector<LateRows> cases = {
        {"the answer to the read is late",
         [](ForgettingStore &store) {
             REQUIRE(waitUntil([&] { return store.removals.hasWaiting(); }));
             store.answers.close();
             store.forgetting = true;
             REQUIRE(waitUntil([&] { return store.answers.hasWaiting(); }));
             store.removals.open();
             REQUIRE(waitUntil([&] { return !store.hasRow(); }));
             store.answers.open();
         }},
        {"the rows wait for the end of the removal",
         [](ForgettingStore &store) {
             REQUIRE(waitUntil([&] { return store.removals.hasWaiting(); }));
             const int readsBefore = store.tableReads;
             store.forgetting = true;
             // The answer to the first read has been received when the third one begins.
             REQUIRE(waitUntil([&] { return store.tableReads > readsBefore + 2; }));
             store.removals.open();
             REQUIRE(waitUntil([&] { return !store.hasRow(); }));
         }},
    };
    return cases;
}

} // namespace

// Guards against repeating the work of a job that has ended and was removed: its row may have been
// read before the removal and arrive after it.
TEST_CASE("a job that has been removed does not run again when its row arrives late")
{
    const LateRows c = GENERATE(from_range(lateRows()));
    CAPTURE(c.what);
    Fixture f;
    f.submit(JobBefore);
    f.complete(JobBefore);
    c.deliver(f.store);
    f.store.forgetting = false;
    // The rows that arrived late are handled before those of a later job.
    f.submit(JobAfter);
    f.complete(JobAfter);
    CHECK(f.log.starts(JobBefore) == 1);
    CHECK(f.state(JobBefore).kind == JobStatus::Kind::NoSuchJob);
    // Another job may be submitted under the same id.
    f.submit(JobBefore);
    CHECK(f.log.starts(JobBefore) == 2);
}

// Guards against transactions that remove markers again, and fail for the markers beside them.
TEST_CASE("the marker of a refused job is removed once when its row arrives late")
{
    const LateRows c = GENERATE(from_range(lateRows()));
    CAPTURE(c.what);
    Fixture f;
    f.store.putMarker(JobBefore);
    c.deliver(f.store);
    f.store.forgetting = false;
    f.store.putMarker(JobAfter);
    REQUIRE(waitUntil([&] { return !f.store.value(JobTable, JobAfter); }));
    CHECK(f.store.rejectedRemovals == 0);
}

// Guards against ignoring a new job whose id was used before, and against keeping the ids of all
// jobs that have ever been removed.
TEST_CASE("a row of a removed job is recognised until a later read has arrived")
{
    struct Case
    {
        const char *what;
        std::int64_t rowVersion;
        std::int64_t readVersion;
        bool removed;
    };
    constexpr std::int64_t RemovalVersion = 10;
    const Case c = GENERATE(values<Case>({
        {"written before the removal", 9, 9, true},
        {"written before the removal, which a read has confirmed", 9, 10, false},
        {"written after the removal", 11, 9, false},
    }));
    CAPTURE(c.what);
    RemovedJobs removed;
    removed.add(JobBefore, RemovalVersion);
    removed.forget(c.readVersion);
    CHECK(removed.wasRemoved(JobBefore, c.rowVersion) == c.removed);
    CHECK_FALSE(removed.wasRemoved(JobAfter, c.rowVersion));
}

namespace {

// A store whose leader removes the job just before the next read of the table of progress, or just
// after it.
class RemovingStore : public FakeRowStore
{
public:
    enum class Removal { None, BeforeRead, AfterRead };

    std::optional<RowPage> range(const std::string &table, const std::string &partition,
                                 const std::string &from, int limit,
                                 absl::Duration timeout) override
    {
        const Removal next =
            table == ProgressTable ? removal.exchange(Removal::None) : Removal::None;
        if (next == Removal::BeforeRead)
            remove();
        const auto page = FakeRowStore::range(table, partition, from, limit, timeout);
        if (next == Removal::AfterRead)
            remove();
        return page;
    }

    std::atomic<Removal> removal = Removal::None;

private:
    void remove()
    {
        RowChanges changes;
        changes.removals = {{JobTable, Id}, {ProgressTable, Id}};
        commitUnlimited(changes);
    }
};

} // namespace

// Guards against telling callers that a completed job is queued, since its rows are removed while
// an entry that has no leader to ask reads them one after the other.
TEST_CASE("a job that is removed while its rows are read is not shown as queued")
{
    using Removal = RemovingStore::Removal;
    using planning::JobState;
    struct Case
    {
        const char *what;
        bool begun;
        Removal removal;
        // No state means that the job does not exist. A removal may count as earlier or later.
        std::vector<std::optional<JobState>> states;
    };
    const Case c = GENERATE(values<Case>({
        {"completed", true, Removal::None, {JobState::Completed}},
        {"not begun", false, Removal::None, {JobState::Queued}},
        {"removed before its progress is read",
         true,
         Removal::BeforeRead,
         {JobState::Completed, std::nullopt}},
        {"removed after its progress is read",
         true,
         Removal::AfterRead,
         {JobState::Completed, std::nullopt}},
    }));
    CAPTURE(c.what);
    RemovingStore store;
    FakeLeader leader(store);
    LoadedEntry entry(store);
    RowChanges changes;
    changes.puts.push_back({JobTable, Id, workload::encodeJob(shortJob())});
    if (c.begun)
        changes.puts.push_back({ProgressTable, Id, R"({"state":"completed"})"});
    REQUIRE(store.commit(changes, StoreTimeout).outcome == CommitOutcome::Applied);
    store.removal = c.removal;
    // The leader does not answer questions about jobs.
    const JobStatus status = entry.entry.state(Id, nearDeadline());
    REQUIRE(status.kind != JobStatus::Kind::Unknown);
    const bool known = status.kind == JobStatus::Kind::Known;
    CHECK_THAT(c.states, Catch::VectorContains(known ? std::optional(status.state) : std::nullopt));
}
