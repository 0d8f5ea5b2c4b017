#include <oleandercross/planning/jobrecord.h>

#include <catch2/catch.hpp>

using namespace oleandercross;
using namespace oleandercross::planning;

namespace {

const char Progress[] = R"({"state":"running","next":2,"open":[0,1],"gangs":[[0,0,1,2]],)"
                        R"("tasks":[[0,0,0,1,3,0,"a/i/1","c"]],"crashes":[[0,0,1,2,1]]})";

// A job of two tasks that runs three times, from second 1 on.
workload::Job job()
{
    workload::Job job;
    job.id = "j";
    job.terms.service = "s";
    job.steps.emplace_back().tasks = 2;
    job.scheduled = true;
    job.occurrences = 3;
    job.firstDueMs = 1000;
    job.intervalMs = 1000;
    return job;
}

struct Replacement
{
    const char *what;
    std::string from;
    std::string to;
};

std::string changed(const Replacement &r)
{
    std::string text = Progress;
    const std::size_t at = text.find(r.from);
    REQUIRE(at != std::string::npos);
    return text.replace(at, r.from.size(), r.to);
}

} // namespace

// Guards against progress that is lost when another process becomes the leader.
TEST_CASE("stored progress is restored")
{
    JobRecord record(job(), absl::UnixEpoch());
    REQUIRE(record.restore({{"", Progress}}, absl::UnixEpoch()));
    CHECK(record.occurrences().size() == 2);
    const Task *task = record.task({"j", 0, 0, 0});
    REQUIRE(task);
    CHECK(task->phase == TaskPhase::Active);
    CHECK(task->run == 3);
    CHECK(task->worker == "a/i/1");
    CHECK(task->checkpoint == "c");
    CHECK(record.task({"j", 0, 0, 1})->crashes == 2);
    JobRecord next(job(), absl::UnixEpoch());
    REQUIRE(next.restore(record.encode(), absl::UnixEpoch()));
    CHECK(next.encode() == record.encode());
}

// Guards against members of a gang that are started again after the others have completed, since a
// process ended while it stored the parts of their progress.
TEST_CASE("a gang of which one part is stored as completed is restored as completed")
{
    constexpr int Members = 4 * TasksPerPart;
    workload::Job gang = job();
    gang.scheduled = false;
    gang.occurrences = 1;
    gang.steps[0].tasks = Members;
    gang.steps[0].gang = true;
    // A second step, so that the job goes on.
    gang.steps.push_back(gang.steps[0]);
    gang.steps[1].after = {0};
    JobRecord record(gang, absl::UnixEpoch());
    for (int i = 0; i < Members; ++i)
        record.start({"j", 0, 0, i}, 1, "w", absl::UnixEpoch());
    ProgressRows rows = record.encode();
    record.end({{"j", 0, 0, 0}, 1}, "w", RunEnd::Completed, {}, absl::UnixEpoch());
    rows["0.0.2"] = record.encode().at("0.0.2");
    JobRecord restored(gang, absl::UnixEpoch());
    REQUIRE(restored.restore(rows, absl::UnixEpoch()));
    for (int i = 0; i < Members; ++i)
        CHECK(restored.task({"j", 0, 0, i})->phase == TaskPhase::Done);
    CHECK(restored.differsFromStore());
}

// Guards against a row of another writer that ends each process that becomes the leader.
TEST_CASE("progress with an odd state or next occurrence is rejected")
{
    const Replacement c = GENERATE(values<Replacement>({
        {"a next occurrence that is far below 0", R"("next":2)", R"("next":-2147483648)"},
        {"a next occurrence beyond 32 bits", R"("next":2)", R"("next":2147483648)"},
        {"a next occurrence that the job does not have", R"("next":2)", R"("next":4)"},
        {"a next occurrence as text", R"("next":2)", R"("next":"2")"},
        {"no next occurrence", R"("next":2,)", ""},
        {"deeply nested tasks", "[0,1]", std::string(1000, '[') + std::string(1000, ']')},
        {"an unknown state", "running", "dancing"},
        {"no state", R"("state":"running",)", ""},
    }));
    CAPTURE(c.what);
    JobRecord record(job(), absl::UnixEpoch());
    CHECK_FALSE(record.restore({{"", changed(c)}}, absl::UnixEpoch()));
}

// Guards against a row of another writer that hides the rows after it, or whose numbers overflow or
// use up the memory.
TEST_CASE("an odd part of stored progress leaves its other parts in place")
{
    const Replacement c = GENERATE(values<Replacement>({
        {"an open occurrence that is not due", "[0,1]", "[0,1,2]"},
        {"a negative open occurrence", "[0,1]", "[-5,0,1]"},
        {"an open occurrence far beyond the last one", "[0,1]", "[0,1,1000000]"},
        {"an open occurrence as text", "[0,1]", R"(["0",0,1])"},
        {"a task that is a number", R"("tasks":[)", R"("tasks":[7,)"},
        {"a short row of a task", R"("tasks":[)", R"("tasks":[[0,0],)"},
        {"a task of another step", R"("tasks":[)", R"("tasks":[[0,1,0,1,3,0,"w",""],)"},
        {"a task with a negative step", R"("tasks":[)", R"("tasks":[[0,-1,0,1,3,0,"w",""],)"},
        {"a task with an unknown index", R"("tasks":[)", R"("tasks":[[0,0,2,1,3,0,"w",""],)"},
        {"a task of an occurrence that is not open", R"("tasks":[)",
         R"("tasks":[[2,0,0,1,3,0,"w",""],)"},
        {"a task in an unknown phase", R"("tasks":[)", R"("tasks":[[1,0,0,3,3,0,"w",""],)"},
        {"a task in a negative phase", R"("tasks":[)", R"("tasks":[[1,0,0,-1,3,0,"w",""],)"},
        {"a task with the largest run", R"("tasks":[)",
         R"("tasks":[[1,0,0,1,2147483647,0,"w",""],)"},
        {"a task with a negative run", R"("tasks":[)", R"("tasks":[[1,0,0,1,-3,0,"w",""],)"},
        {"a task with a run beyond 32 bits", R"("tasks":[)",
         R"("tasks":[[1,0,0,1,2147483648,0,"w",""],)"},
        {"a task with the most failures", R"("tasks":[)",
         R"("tasks":[[1,0,0,1,3,2147483647,"w",""],)"},
        {"a task on a worker that is a number", R"("tasks":[)", R"("tasks":[[1,0,0,1,3,0,7,""],)"},
        {"a gang with a negative step", R"("gangs":[)", R"("gangs":[[0,-1,1,2],)"},
        {"a gang with the most failures", R"("gangs":[)", R"("gangs":[[1,0,2147483647,2],)"},
        {"crashes of an unknown task", R"("crashes":[)", R"("crashes":[[0,0,2,2,1],)"},
        {"a task with the most crashes", R"("crashes":[)", R"("crashes":[[1,0,1,2147483647,1],)"},
    }));
    CAPTURE(c.what);
    JobRecord record(job(), absl::UnixEpoch());
    REQUIRE(record.restore({{"", changed(c)}}, absl::UnixEpoch()));
    JobRecord expected(job(), absl::UnixEpoch());
    REQUIRE(expected.restore({{"", Progress}}, absl::UnixEpoch()));
    CHECK(record.encode() == expected.encode());
}
