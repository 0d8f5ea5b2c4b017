#include "simulatedworker.h"
#include "testprocesses.h"

#include <oleandercross/control/learnedrows.h>
#include <oleandercross/core/json.h>

using namespace oleandercross;
using namespace oleandercross::control;
using namespace oleandercross::control::testing;

namespace {

const core::Instant Start = absl::FromUnixSeconds(1780000000);

planning::LearnedState accounts(const std::string &entries)
{
    return {{"accounts", R"({"format":1,"had":{)" + entries + "}}"}};
}

constexpr char JobBefore[] = "5c0e7a21d94b36f8";
constexpr char JobAfter[] = "5c0e7a21d94b36f9";

// Returns true if the store has a readable row of task times that names the queue.
bool hasLearned(const FakeRowStore &store, const std::string &queue)
{
    const auto text = store.value(LearnedTable, "estimates");
    const auto row = text ? core::parseJson(*text) : std::nullopt;
    return row && core::member(core::member(*row, "taskTimes"), queue.c_str()).isArray();
}

struct LearningCluster
{
    LearningCluster() { agent.agent.heartbeat(worker.report("i-1", 1000)); }

    void startEntry(const std::string &name)
    {
        entry = std::make_unique<EntryProcess>(store, name);
    }

    void submit(const std::string &id, const std::string &queue)
    {
        workload::Job submitted = job(id, 1);
        submitted.queue = queue;
        submitted.acceptedMs = core::wallClockMicros() / 1000;
        REQUIRE(entry->entry.submit(submitted, nearDeadline()) == SubmitOutcome::Accepted);
    }

    void complete(const std::string &id)
    {
        REQUIRE(entry->reaches(id, planning::JobState::Running));
        int completed = 0;
        REQUIRE(waitUntil([&] {
            completed += worker.completeAll();
            return completed > 0;
        }));
        REQUIRE(entry->reaches(id, planning::JobState::Completed));
    }

    void runJob(const std::string &id)
    {
        submit(id, "q");
        complete(id);
    }

    FakeRowStore store;
    SimulatedWorker worker;
    AgentProcess agent{store, worker, "side-1"};
    std::unique_ptr<EntryProcess> entry;
};

} // namespace

TEST_CASE("learned rows are written when a number changes by more than a tenth", "[learned]")
{
    struct Case
    {
        const char *before;
        const char *after;
        bool changed;
    };
    const Case c = GENERATE(values<Case>({
        {R"("1/a":[100])", R"("1/a":[100])", false},
        {R"("1/a":[100])", R"("1/a":[109])", false},
        {R"("1/a":[100])", R"("1/a":[112])", true},
        {R"("1/a":[100])", R"("1/a":[88])", true},
        {R"("1/a":[0])", R"("1/a":[0.0])", false},
        {R"("1/a":[100])", R"("1/a":[100,0])", true},
        {R"("1/a":[100])", R"("1/b":[100])", true},
        {R"("1/a":[100])", R"("1/a":[100],"1/b":[1])", true},
        {R"("1/a":[100])", "", true},
    }));
    CAPTURE(c.before, c.after);
    LearnedRows rows;
    const auto first = rows.changes(accounts(c.before), Start);
    REQUIRE(first.size() == 1);
    // Rows that were not stored are still to be written.
    CHECK(rows.changes(accounts(c.before), Start) == first);
    rows.stored(first, Start);
    CHECK(rows.changes(accounts(c.after), Start).empty() != c.changed);
}

TEST_CASE("learned rows are checked every two seconds", "[learned]")
{
    LearnedRows rows;
    CHECK(rows.due(Start));
    rows.changes(accounts(""), Start);
    CHECK_FALSE(rows.due(Start + absl::Milliseconds(1999)));
    CHECK(rows.due(Start + absl::Seconds(2)));
    // Large rows are written less often.
    rows.stored({{LearnedTable, "accounts", std::string(30000, 'x')}}, Start);
    CHECK_FALSE(rows.due(Start + absl::Seconds(4)));
    CHECK(rows.due(Start + absl::Seconds(6)));
    rows.rejected(Start);
    CHECK_FALSE(rows.due(Start + absl::Seconds(59)));
    CHECK(rows.due(Start + absl::Minutes(1)));
}

// Guards against a row of another writer that is never replaced by a readable one.
TEST_CASE("unreadable stored rows are written again and readable ones are not", "[learned]")
{
    const std::string text = accounts(R"("1/a":[5])").at("accounts");
    LearnedRows rows;
    const auto state =
        rows.takeStored({{LearnedTable, "accounts", text}, {LearnedTable, "odd", "x"}});
    CHECK(state == planning::LearnedState{{"accounts", text}});
    CHECK(rows.changes(state, Start).empty());
    LearnedRows others;
    others.takeStored({{LearnedTable, "accounts", "\xff"}});
    CHECK(others.changes(state, Start).size() == 1);
}

// Guards against a next leader that starts without what the one before has learned.
TEST_CASE("a change of leader keeps what was learned", "[learned]")
{
    LearningCluster cluster;
    cluster.startEntry("front-1");
    cluster.runJob(JobBefore);
    REQUIRE(waitUntil([&] { return hasLearned(cluster.store, "q"); }));
    const auto numbers = [&] {
        const auto row = core::parseJson(*cluster.store.value(LearnedTable, "estimates"));
        return (*row)["taskTimes"]["q"];
    };
    REQUIRE(waitUntil([&] { return numbers()[3].asInt() == 1; }));
    const Json::Value before = numbers();
    cluster.entry.reset();
    cluster.startEntry("front-2");
    cluster.runJob(JobAfter);
    // The task times of both jobs: without the rows, the next leader knows only its own.
    CHECK(waitUntil([&] { return numbers()[3].asInt() == 2; }));
    CHECK(numbers()[9].asInt() == before[9].asInt() + 1);
}

// Guards against a leader that stops storing progress because the store rejects learned rows.
TEST_CASE("jobs run on if the store rejects the learned rows", "[learned]")
{
    LearningCluster cluster;
    cluster.startEntry("front-1");
    cluster.submit(JobBefore, std::string(400, 'q'));
    // The rows of the leader and of later jobs fit, the task times of this queue do not.
    cluster.store.setMaxRowBytes(400);
    cluster.complete(JobBefore);
    CHECK(waitUntil([&] { return cluster.store.rejections() > 0; }));
    cluster.runJob(JobAfter);
    for (const auto &[task, count] : cluster.worker.starts())
        CHECK(count == 1);
}

// Guards against a takeover that fails or waits for rows which cannot be used.
TEST_CASE("a leader takes over beside odd learned rows and replaces them", "[learned]")
{
    const std::string value =
        GENERATE(as<std::string>(), "\xff\xfe", std::string(100000, '['), R"({"format":7})",
                 R"({"format":1,"taskTimes":{"q":[-1]},"health":{"gone":[1e300]},"had":7})");
    CAPTURE(value.substr(0, 60));
    LearningCluster cluster;
    RowChanges odd;
    for (const char *key : {"estimates", "accounts", "speeds-0", "speeds-3", "speeds-9", "other"})
        odd.puts.push_back({LearnedTable, key, value});
    cluster.store.commitUnlimited(odd);
    cluster.startEntry("front-1");
    cluster.runJob(JobBefore);
    CHECK(waitUntil([&] { return hasLearned(cluster.store, "q"); }));
    CHECK(cluster.store.value(LearnedTable, "other") == value);
}
