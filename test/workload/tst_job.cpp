#include <oleandercross/core/resultcode.h>
#include <oleandercross/workload/catalog.h>
#include <oleandercross/workload/codec.h>

#include <catch2/catch.hpp>

#include <functional>

using namespace oleandercross;
using namespace oleandercross::workload;

namespace {

Job sampleJob()
{
    Job job;
    job.id = "5c0e7a21d94b36f8";
    job.account = "account";
    job.queue = "rota";
    job.terms = {"service", 1, 3, 3.0, 1000};
    job.payload = "quote \" and line\n";
    Step first;
    first.tasks = 4;
    first.perTask = {500, 256, 1};
    first.estimateMs = 900;
    first.inputRack = "r1-3";
    Step second;
    second.tasks = 2;
    second.perTask = {2000, 1024, 8};
    second.estimateMs = 7000;
    second.after = {0};
    second.gang = true;
    second.sameRack = true;
    second.checkpointable = true;
    second.speculative = true;
    second.neededLabel = "a";
    second.maxPerWorker = 1;
    job.steps = {first, second};
    job.occurrences = 6;
    job.scheduled = true;
    job.firstDueMs = 1780000000000;
    job.intervalMs = 4500;
    job.acceptedMs = 1779999999000;
    return job;
}

} // namespace

// Guards against an accepted job that a new leader decodes differently from how it was submitted.
TEST_CASE("a stored job is decoded unchanged")
{
    const Job job = sampleJob();
    const std::optional<Job> read = decodeJob(job.id, encodeJob(job));
    REQUIRE(read);
    CHECK(*read == job);
}

// Guards against an invalid row that crashes the leader or is scheduled as a different job.
TEST_CASE("invalid job rows are rejected with a reason")
{
    const std::string row = GENERATE(
        as<std::string>(), "", "{", "[]", "{}", R"({"steps":[]})", R"({"steps":[{"tasks":0}]})",
        R"({"steps":[{"tasks":1,"after":[0]}]})", R"({"steps":[{"tasks":"many"}]})", "\xff\xfe");
    CHECK_FALSE(decodeJob("5c0e7a21d94b36f8", row));
    CHECK_FALSE(core::lastReason().message.empty());
}

// Guards against accepting a job that can never be stored, scheduled or completed.
TEST_CASE("invalid jobs are rejected at submission")
{
    struct Case
    {
        const char *description;
        std::function<void(Job &)> change;
    };
    const Case c = GENERATE(values<Case>({
        {"no steps", [](Job &job) { job.steps.clear(); }},
        {"33 steps", [](Job &job) { job.steps.assign(33, Step{}); }},
        {"no tasks", [](Job &job) { job.steps[0].tasks = 0; }},
        {"too many tasks", [](Job &job) { job.steps[0].tasks = 1001; }},
        {"a step after itself", [](Job &job) { job.steps[1].after = {1}; }},
        {"a step after a later one", [](Job &job) { job.steps[0].after = {1}; }},
        {"a step after a negative index", [](Job &job) { job.steps[1].after = {-1}; }},
        {"a payload of 4,001 bytes", [](Job &job) { job.payload.assign(4001, 'x'); }},
        {"negative memory", [](Job &job) { job.steps[0].perTask.memoryMb = -1; }},
        {"no occurrences", [](Job &job) { job.occurrences = 0; }},
        {"a negative interval", [](Job &job) { job.intervalMs = -1; }},
    }));
    CAPTURE(c.description);
    Job job = sampleJob();
    CHECK_FALSE(findDefect(job));
    c.change(job);
    CHECK(findDefect(job));
}

// Guards against a task key that is parsed as the key of another task.
TEST_CASE("a formatted task key is parsed unchanged")
{
    const TaskKey key{"5c0e7a21d94b36f8", 3, 1, 17};
    CHECK(toString(key) == "5c0e7a21d94b36f8.3.1.17");
    CHECK(parseTaskKey(toString(key)) == key);
    const std::string bad =
        GENERATE(as<std::string>(), "", "a", "a.1.2", "a.1.2.x", ".1.2.3", "a.1.2.3.4");
    CHECK_FALSE(parseTaskKey(bad));
}

// Guards against overcommitting a worker because one dimension of its resources is ignored.
TEST_CASE("every dimension limits how many tasks fit")
{
    struct Case
    {
        Demand need;
        Demand available;
        int count;
    };
    const Case c = GENERATE(values<Case>({
        {{1000, 100, 1}, {32000, 64000, 8}, 8},
        {{13000, 100, 1}, {32000, 64000, 8}, 2},
        {{1000, 30000, 1}, {32000, 64000, 8}, 2},
        {{1000, 100, 8}, {32000, 64000, 7}, 0},
        {{1000, 100, 0}, {32000, 64000, -1}, 0},
    }));
    CHECK(fittingTaskCount(c.need, c.available) == c.count);
    CHECK(fits(c.need, c.available) == (c.count > 0));
}

// Guards against a latency objective that is computed from one step instead of the critical path.
TEST_CASE("the critical path follows the dependencies")
{
    Job job = sampleJob();
    CHECK(criticalPathMs(job) == 7900);
    job.steps[1].after.clear();
    CHECK(criticalPathMs(job) == 7000);
}

// Guards against a submission that is routed to the wrong queue.
TEST_CASE("the longest matching prefix selects the queue")
{
    Catalog catalog;
    catalog.queues.push_back({"short", "desk.example", "/a/", {}, false, false});
    catalog.queues.push_back({"long", "desk.example", "/a/b/", {}, false, false});
    catalog.queues.push_back({"other", "other.example", "/a/b/c/", {}, false, false});
    struct Case
    {
        const char *host;
        const char *path;
        const char *queue;
    };
    const Case c = GENERATE(values<Case>({
        {"desk.example", "/a/1", "short"},
        {"desk.example", "/a/b/1", "long"},
        {"DESK.example", "/a/b/c/1", "long"},
        {"other.example", "/a/b/c/1", "other"},
        {"desk.example", "/b/1", nullptr},
        {"none.example", "/a/1", nullptr},
    }));
    const Queue *queue = catalog.queueFor(c.host, c.path);
    if (c.queue)
        CHECK(queue->name == c.queue);
    else
        CHECK(queue == nullptr);
}

// Guards against authenticating callers without a key as an account with an empty key.
TEST_CASE("an empty API key belongs to no account")
{
    Catalog catalog;
    catalog.accounts.push_back({"account", {"k1", ""}, 0});
    CHECK(catalog.accountWithApiKey("k1") != nullptr);
    CHECK(catalog.accountWithApiKey("") == nullptr);
    CHECK(catalog.accountWithApiKey("k2") == nullptr);
}
