#include <oleandercross/core/resultcode.h>
#include <oleandercross/workload/catalog.h>
#include <oleandercross/workload/codec.h>

#include <catch2/catch.hpp>

#include <cmath>
#include <functional>
#include <limits>

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

// Guards against a row of another writer that is scheduled with other numbers than it says, or
// whose numbers overflow sums of the planner.
TEST_CASE("job rows with a number out of range are rejected")
{
    struct Case
    {
        const char *what;
        std::string from;
        std::string to;
    };
    const std::string demand = "[500,256,1]";
    const Case c = GENERATE_COPY(values<Case>({
        {"a task count beyond 32 bits", R"("tasks":4)", R"("tasks":4294967300)"},
        {"a task count as text", R"("tasks":4)", R"("tasks":"4")"},
        {"a demand that overflows sums", demand, "[9223372036854775807,256,1]"},
        {"a demand beyond 32 bits", demand, "[500,256,2147483648]"},
        {"a negative demand", demand, "[500,-256,1]"},
        {"a fractional demand", demand, "[0.5,256,1]"},
        {"a demand as text", demand, R"("500")"},
        {"a short demand", demand, "[500]"},
        {"the largest 64-bit estimate", R"("estimate":900)", R"("estimate":9223372036854775807)"},
        {"an estimate of a century", R"("estimate":900)", R"("estimate":3153600000000)"},
        {"no estimate", R"("estimate":900,)", ""},
        {"a task limit beyond 32 bits", R"("perWorker":1)", R"("perWorker":4294967297)"},
        {"a priority beyond 32 bits", R"("priority":1)", R"("priority":4294967296)"},
        {"a negative priority", R"("priority":1)", R"("priority":-1)"},
        {"attempts as text", R"("attempts":3)", R"("attempts":"3")"},
        {"a negative stretch", R"("stretch":3.0)", R"("stretch":-3.0)"},
        {"a huge stretch", R"("stretch":3.0)", R"("stretch":1e300)"},
        {"the largest 64-bit target", R"("target":1000)", R"("target":9223372036854775807)"},
        {"no service", R"("service":"service",)", ""},
        {"occurrences beyond 32 bits", R"("occurrences":6)", R"("occurrences":4294967302)"},
        {"the largest 64-bit time of the first occurrence", R"("firstDue":1780000000000)",
         R"("firstDue":9223372036854775807)"},
        {"a negative time of the first occurrence", R"("firstDue":1780000000000)",
         R"("firstDue":-9223372036854775808)"},
        {"the largest 64-bit interval", R"("interval":4500)", R"("interval":9223372036854775807)"},
        {"the smallest 64-bit time of acceptance", R"("accepted":1779999999000)",
         R"("accepted":-9223372036854775808)"},
        {"no time of acceptance", R"("accepted":1779999999000,)", ""},
    }));
    CAPTURE(c.what);
    std::string text = encodeJob(sampleJob());
    const std::size_t at = text.find(c.from);
    REQUIRE(at != std::string::npos);
    CHECK_FALSE(decodeJob("5c0e7a21d94b36f8", text.replace(at, c.from.size(), c.to)));
    CHECK_FALSE(core::lastReason().message.empty());
}

// Guards against a job whose tasks make the list of runs of their worker unreadable.
TEST_CASE("job rows whose key cannot be a part of task keys are rejected")
{
    const std::string id =
        GENERATE(as<std::string>(), "", "a.b", "a/b", "a b", "a\n", "\xff", std::string(201, 'a'));
    CAPTURE(id);
    CHECK_FALSE(decodeJob(id, encodeJob(sampleJob())));
}

// Guards against accepting a job that no leader can read.
TEST_CASE("the largest valid job is read back unchanged")
{
    Job job = sampleJob();
    job.steps[0].tasks = 1000;
    job.steps[0].perTask = {MaxDemand, MaxDemand, MaxDemand};
    job.steps[0].estimateMs = MaxDurationMs;
    job.steps[0].maxPerWorker = std::numeric_limits<int>::max();
    job.terms = {"service", std::numeric_limits<int>::max(), std::numeric_limits<int>::max(), 1e6,
                 MaxDurationMs};
    job.occurrences = 1000;
    job.firstDueMs = 253402300799999;
    job.intervalMs = MaxDurationMs;
    REQUIRE_FALSE(findDefect(job));
    CHECK(decodeJob(job.id, encodeJob(job)) == job);
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
        {"an interval of a century", [](Job &job) { job.intervalMs = 10 * MaxDurationMs; }},
        {"a first occurrence before 1970", [](Job &job) { job.firstDueMs = -1; }},
        {"a demand beyond 32 bits",
         [](Job &job) { job.steps[0].perTask.accelerators = MaxDemand + 1; }},
        {"an estimate of a century",
         [](Job &job) { job.steps[0].estimateMs = 10 * MaxDurationMs; }},
        {"an id with a dot", [](Job &job) { job.id = "a.b"; }},
        {"a negative stretch", [](Job &job) { job.terms.stretch = -1; }},
        {"a stretch that is not a number", [](Job &job) { job.terms.stretch = std::nan(""); }},
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
