#include <oleandercross/core/resultcode.h>
#include <platform/decode.h>

#include <catch2/catch.hpp>

using namespace oleandercross;

namespace {

const char Heartbeat[] =
    R"({"service":"s","addr":"10.1.0.20:8080","zone":"brum","version":"v1","slots":8,"state":"ready",)"
    R"("coldLeftMs":0,"capacity":{"cpu":32000,"memMb":65536,"gpu":8},"labels":["a","r1-3"],)"
    R"("clockMs":482113,"seq":4,"born":1780000000000})";

std::string replaced(std::string text, const std::string &from, const std::string &to)
{
    const std::size_t at = text.find(from);
    REQUIRE(at != std::string::npos);
    return text.replace(at, from.size(), to);
}

workload::Queue queue()
{
    workload::Queue queue;
    queue.name = "r-1";
    queue.pathPrefix = "/a/";
    queue.terms = {"s", 1, 3, 3.0, 1000};
    return queue;
}

} // namespace

// Guards against a worker that is registered with a wrong size, place or identity.
TEST_CASE("all fields of a heartbeat are decoded")
{
    const auto report = platform::decodeHeartbeat("i-1", Heartbeat);
    REQUIRE(report);
    CHECK(report->id == "i-1");
    CHECK(report->address == http::Endpoint{"10.1.0.20", 8080});
    CHECK(report->rack == "r1-3");
    CHECK(report->capacity == workload::Demand{32000, 65536, 8});
    CHECK(report->startedAtMs == 1780000000000);
    CHECK_FALSE(report->draining);
    const auto draining = platform::decodeHeartbeat(
        "i-1",
        replaced(Heartbeat, R"("state":"ready")", R"("state":"draining","drainRemainingMs":900)"));
    REQUIRE(draining);
    CHECK(draining->draining);
    CHECK(draining->drainRemaining == absl::Milliseconds(900));
}

// Guards against malformed heartbeats that register a worker.
TEST_CASE("heartbeats with missing or malformed fields are rejected")
{
    struct Case
    {
        const char *from;
        const char *to;
    };
    const Case c = GENERATE(values<Case>({
        {R"("state":"ready")", R"("state":"dancing")"},
        {R"("state":"ready",)", ""},
        {R"("addr":"10.1.0.20:8080")", R"("addr":"nowhere")"},
        {R"("addr":"10.1.0.20:8080",)", ""},
        {R"("service":"s")", R"("service":7)"},
        {R"({"cpu":32000,"memMb":65536,"gpu":8})", "[]"},
        {"}", ""},
    }));
    CHECK_FALSE(platform::decodeHeartbeat("i-1", replaced(Heartbeat, c.from, c.to)));
    CHECK_FALSE(core::lastReason().message.empty());
}

// Guards against results that are attributed to the wrong run.
TEST_CASE("lists of runs are decoded or rejected as a whole")
{
    const auto runs = platform::decodeRuns(
        R"({"clockMs":5,"born":7,"running":[["5c0e7a21d94b36f8.0.1.17",2,"c",41,3.5]],)"
        R"("ended":[[58,"5c0e7a21d94b36f8.0.1.9",1,"done",""]]})");
    REQUIRE(runs);
    CHECK(runs->running.at(0)
          == control::RunningTask{{{"5c0e7a21d94b36f8", 0, 1, 17}, 2}, "c", 41});
    CHECK(runs->ended.at(0).how == planning::RunEnd::Completed);
    CHECK(runs->ended.at(0).number == 58);
    const std::string bad = GENERATE(
        as<std::string>(), "", "{}", R"({"clockMs":5,"running":[["x",1,"",0]]})",
        R"({"clockMs":5,"running":[["a.0.0.0",1]]})",
        R"({"clockMs":5,"ended":[[1,"a.0.0.0",1,"vanished",""]]})",
        R"({"clockMs":5,"ended":[["1","a.0.0.0",1,"done",""]]})", R"({"clockMs":5,"running":[[)");
    CHECK_FALSE(platform::decodeRuns(bad));
}

// Guards against jobs that run with other parameters than the caller requested.
TEST_CASE("a submission is decoded with the terms of its queue")
{
    const auto job = platform::decodeSubmission(
        "5c0e7a21d94b36f8", queue(), "families",
        R"({"spec":"text","times":6,"firstMs":1000,"intervalMs":4500,"steps":[)"
        R"({"count":4,"cpu":500,"memMb":256,"gpu":1,"estRuntimeMs":900,"dataRack":"r1-3"},)"
        R"({"count":2,"after":[0],"gang":true,"sameRack":true,"checkpointable":true,)"
        R"("speculative":true,"needs":"a","maxPerServer":1}]})");
    REQUIRE(job);
    CHECK(job->terms == queue().terms);
    CHECK(job->occurrences == 6);
    CHECK(job->scheduled);
    CHECK(job->steps[0].perTask == workload::Demand{500, 256, 1});
    CHECK(job->steps[0].inputRack == "r1-3");
    CHECK(job->steps[1].after == std::vector<int>{0});
    CHECK(job->steps[1].gang);
    CHECK(job->steps[1].sameRack);
    CHECK(job->steps[1].checkpointable);
    CHECK(job->steps[1].speculative);
    CHECK(job->steps[1].neededLabel == "a");
    CHECK(job->steps[1].maxPerWorker == 1);
}

// Guards against invalid submissions that are accepted and then run with unintended parameters.
TEST_CASE("submissions that cannot be scheduled are rejected with a reason")
{
    const std::string body = GENERATE(
        as<std::string>(), "", "[]", R"({"spec":"x"})", R"({"steps":[{"count":0}]})",
        R"({"steps":[7]})", R"({"steps":[{"count":1,"longRunning":true}]})",
        R"({"steps":[{"count":1,"fills":true}]})", R"({"steps":[{"count":1,"after":["0"]}]})");
    CHECK_FALSE(platform::decodeSubmission("5c0e7a21d94b36f8", queue(), "families", body));
    CHECK_FALSE(core::lastReason().message.empty());
}

// Guards against a queue, key or guarantee that is lost when the configuration is decoded.
TEST_CASE("the operator's configuration is decoded")
{
    const auto catalog = platform::decodeCatalog(
        R"({"version":7,"routes":[{"name":"r-1","host":"h","pathPrefix":"/a/","service":"s",)"
        R"("priority":2,"attempts":3,"stretch":1.5,"targetDurationMs":250,"public":true}],)"
        R"("services":[{"name":"s","admissionCheck":false}],"limits":{"maxBodyBytes":1000},)"
        R"("tenants":[{"name":"t","apiKeys":["k"],"guaranteed":{"gpu":16}}]})");
    REQUIRE(catalog);
    CHECK(catalog->version == 7);
    CHECK(catalog->queues.at(0).terms == workload::QueueTerms{"s", 2, 3, 1.5, 250});
    CHECK(catalog->queues.at(0).open);
    CHECK(catalog->accounts.at(0).guaranteedAccelerators == 16);
    CHECK(catalog->accountWithApiKey("k") != nullptr);
    CHECK(catalog->maxBodyBytes == 1000);
    const std::string bad =
        GENERATE(as<std::string>(), "", "{}", R"({"version":7})", R"({"version":"7","routes":[]})",
                 R"({"version":7,"routes":[{"name":"r"}]})");
    CHECK_FALSE(platform::decodeCatalog(bad));
}
