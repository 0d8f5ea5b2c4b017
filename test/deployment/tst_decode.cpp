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

std::string repeated(const std::string &text, int count)
{
    std::string result;
    for (int i = 0; i < count; ++i)
        result += text;
    return result;
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
    CHECK(report->dataCentre == "brum");
    CHECK(report->warmUpRemaining == absl::ZeroDuration());
    const auto cold = platform::decodeHeartbeat(
        "i-1", replaced(Heartbeat, R"("coldLeftMs":0)", R"("coldLeftMs":700)"));
    REQUIRE(cold);
    CHECK(cold->warmUpRemaining == absl::Milliseconds(700));
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
        {R"("zone":"brum",)", ""},
        {R"("zone":"brum")", R"("zone":[])"},
        {R"("coldLeftMs":0,)", ""},
        {R"("coldLeftMs":0)", R"("coldLeftMs":-1)"},
        {R"({"cpu":32000,"memMb":65536,"gpu":8})", "[]"},
        {"}", ""},
    }));
    CHECK_FALSE(platform::decodeHeartbeat("i-1", replaced(Heartbeat, c.from, c.to)));
    CHECK_FALSE(core::lastReason().message.empty());
}

// Guards against a report of another writer that replaces or outlives the true reports of a worker,
// by a value that is absurd, of another type or missing.
TEST_CASE("a heartbeat with one odd field is rejected as a whole")
{
    struct Case
    {
        const char *what;
        std::string from;
        std::string to;
    };
    const std::string deep = std::string(100000, '[') + std::string(100000, ']');
    const std::string tooManyLabels = "[" + repeated("\"a\",", 64) + "\"a\"]";
    const std::string labels = R"(["a","r1-3"])";
    const Case c = GENERATE_COPY(values<Case>({
        {"nested labels", labels, deep},
        {"nested objects", labels, repeated(R"({"a":)", 5000) + "1" + std::string(5000, '}')},
        {"a core count beyond 64 bits", "32000", "18446744073709551616"},
        {"a core count of 400 digits", "32000", std::string(400, '9')},
        {"a core count that overflows sums", "32000", "9223372036854775807"},
        {"a core count beyond 32 bits", "32000", "2147483648"},
        {"an infinite core count", "32000", "1e999"},
        {"a negative core count", "32000", "-5"},
        {"a fractional core count", "32000", "0.5"},
        {"a core count as text", "32000", R"("32000")"},
        {"no core count", R"("cpu":32000,)", ""},
        {"no memory", R"("memMb":65536,)", ""},
        {"memory that is null", "65536", "null"},
        {"an accelerator count that overflows sums", R"("gpu":8)", R"("gpu":9223372036854775807)"},
        {"a Boolean accelerator count", R"("gpu":8)", R"("gpu":true)"},
        {"no capacity", R"("cpu":32000,"memMb":65536,"gpu":8)", R"("cpu":0,"memMb":0,"gpu":0)"},
        {"a sequence number beyond 64 bits", R"("seq":4)", R"("seq":1180591620717411303424)"},
        {"the largest 64-bit sequence number", R"("seq":4)", R"("seq":9223372036854775807)"},
        {"a negative sequence number", R"("seq":4)", R"("seq":-1)"},
        {"a fractional sequence number", R"("seq":4)", R"("seq":4.5)"},
        {"a sequence number as text", R"("seq":4)", R"("seq":"4")"},
        {"no sequence number", R"("seq":4,)", ""},
        {"the largest 64-bit clock", "482113", "9223372036854775807"},
        {"a negative clock", "482113", "-1"},
        {"a clock as text", "482113", R"("482113")"},
        {"no clock", R"("clockMs":482113,)", ""},
        {"the largest 64-bit time of start", "1780000000000", "9223372036854775807"},
        {"a time of start beyond all integers", "1780000000000", "1e300"},
        {"a negative time of start", "1780000000000", "-1"},
        {"a fractional time of start", "1780000000000", "1780000000000.5"},
        {"a time of start as text", "1780000000000", R"("x")"},
        {"a time of start that is null", "1780000000000", "null"},
        {"a port of 16 bits and one", ":8080", ":65536"},
        {"a port beyond 32 bits", ":8080", ":99999999999"},
        {"port 0", ":8080", ":0"},
        {"a negative port", ":8080", ":-1"},
        {"no port", ":8080", ""},
        {"a port with a space", ":8080", ": 80"},
        {"a null character in the address", "10.1.0.20", R"(10.1.0.20\u0000x)"},
        {"the unspecified address", "10.1.0.20", "0.0.0.0"},
        {"a multicast address", "10.1.0.20", "224.0.0.1"},
        {"an address that is a number", R"("10.1.0.20:8080")", "8080"},
        {"draining without the remaining time", "ready", "draining"},
        {"a remaining time beyond 64 bits", R"("ready")",
         R"("draining","drainRemainingMs":9223372036854775808)"},
        {"a negative remaining time", R"("ready")", R"("draining","drainRemainingMs":-5)"},
        {"a remaining time as text", R"("ready")", R"("draining","drainRemainingMs":"900")"},
        {"a service of undecodable bytes", R"("service":"s")", "\"service\":\"\xff\xfe\""},
        {"a service with an overlong encoding", R"("service":"s")", "\"service\":\"\xc0\xaf\""},
        {"a service with a cut character", R"("service":"s")", "\"service\":\"s\xe2\x82\""},
        {"a service with a null character", R"("service":"s")", R"("service":"a\u0000b")"},
        {"a service with a line break", R"("service":"s")", R"("service":"a\nb")"},
        {"a service with half a surrogate pair", R"("service":"s")", R"("service":"\ud800")"},
        {"a service of a megabyte", R"("service":"s")",
         R"("service":")" + std::string(1 << 20, 's') + "\""},
        {"an empty service", R"("service":"s")", R"("service":"")"},
        {"too many labels", labels, tooManyLabels},
        {"labels that are a number", labels, "7"},
        {"labels that are null", labels, "null"},
        {"labels that are an object", labels, R"({"a":"x","b":"y"})"},
        {"a label that is a number", labels, R"([7,"r1-3"])"},
        {"a label with a line break", labels, R"(["a","r\n"])"},
        {"no zone", R"("zone":"brum",)", ""},
        {"a zone that is a number", R"("brum")", "7"},
        {"no version", R"("version":"v1",)", ""},
        {"slots as text", R"("slots":8)", R"("slots":"8")"},
        {"a negative time until warm", R"("coldLeftMs":0)", R"("coldLeftMs":-1)"},
        {"a field that occurs twice", R"("seq":4)", R"("seq":4,"seq":5)"},
        {"text after the report", "000}", "000}x"},
    }));
    CAPTURE(c.what);
    CHECK_FALSE(platform::decodeHeartbeat("i-1", replaced(Heartbeat, c.from, c.to)));
    CHECK_FALSE(core::lastReason().message.empty());
}

// Guards against an id that ends the header or the key that it becomes a part of.
TEST_CASE("heartbeats of workers without a plain id are rejected")
{
    const std::string id =
        GENERATE(as<std::string>(), "", "a/b", "i 1", "i-1\r\nX: y", std::string("i\0", 2), "i\x7f",
                 "\xff\xfe", "\xc3\xa9", std::string(201, 'i'));
    CAPTURE(id);
    CHECK_FALSE(platform::decodeHeartbeat(id, Heartbeat));
}

// Guards against rejecting the true reports of a worker, which would leave it without work.
TEST_CASE("heartbeats at the limits of the protocol are accepted")
{
    struct Case
    {
        const char *what;
        std::string from;
        std::string to;
    };
    const Case c = GENERATE(values<Case>({
        {"no labels", R"("labels":["a","r1-3"],)", ""},
        {"an empty list of labels", R"(["a","r1-3"])", "[]"},
        {"a label that is not ASCII", R"("a")", "\"\xc3\xa9\xf0\x9f\x98\x80\""},
        {"no time of start", R"(,"born":1780000000000)", ""},
        {"no accelerators", R"("gpu":8)", R"("gpu":0)"},
        {"the start of the clock and the sequence", R"("clockMs":482113,"seq":4)",
         R"("clockMs":0,"seq":0)"},
        {"no time left to drain", R"("ready")", R"("draining","drainRemainingMs":0)"},
        {"an unknown field", R"("seq":4)", R"("seq":4,"note":{"a":[1]})"},
        {"the largest port", ":8080", ":65535"},
    }));
    CAPTURE(c.what);
    CHECK(platform::decodeHeartbeat("i-1", replaced(Heartbeat, c.from, c.to)));
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

// Guards against lists that poison the clock, the acknowledgements or the run numbers of a worker.
TEST_CASE("lists of runs with a number out of range are rejected as a whole")
{
    struct Case
    {
        const char *what;
        std::string from;
        std::string to;
    };
    const std::string lists = R"({"clockMs":5,"born":7,"running":[["a.0.0.0",1,"c",50]],)"
                              R"("ended":[[3,"a.0.0.1",2,"done",""]]})";
    REQUIRE(platform::decodeRuns(lists));
    const Case c = GENERATE(values<Case>({
        {"the largest 64-bit clock", R"("clockMs":5)", R"("clockMs":9223372036854775807)"},
        {"a clock beyond 64 bits", R"("clockMs":5)", R"("clockMs":1e30)"},
        {"a negative clock", R"("clockMs":5)", R"("clockMs":-5)"},
        {"a clock as text", R"("clockMs":5)", R"("clockMs":"5")"},
        {"a time of start as text", R"("born":7)", R"("born":"7")"},
        {"the largest 64-bit time of start", R"("born":7)", R"("born":9223372036854775807)"},
        {"run 0", R"("a.0.0.0",1)", R"("a.0.0.0",0)"},
        {"a negative run", R"("a.0.0.1",2)", R"("a.0.0.1",-2)"},
        {"a run beyond 32 bits", R"("a.0.0.1",2)", R"("a.0.0.1",2147483648)"},
        {"the largest 64-bit number of an end", "[3,", "[9223372036854775807,"},
        {"a number of an end beyond 64 bits", "[3,", "[18446744073709551616,"},
        {"end number 0", "[3,", "[0,"},
        {"a task beyond 32 bits", "a.0.0.0", "a.99999999999.0.0"},
        {"deeply nested", R"([["a.0.0.0",1,"c",50]])", std::string(100000, '[')},
        {"active runs as a number", R"([["a.0.0.0",1,"c",50]])", "7"},
        {"active runs that are null", R"([["a.0.0.0",1,"c",50]])", "null"},
        {"ended runs as an object", R"([[3,"a.0.0.1",2,"done",""]])", "{}"},
    }));
    CAPTURE(c.what);
    CHECK_FALSE(platform::decodeRuns(replaced(lists, c.from, c.to)));
    CHECK_FALSE(core::lastReason().message.empty());
}

// Guards against progress beyond the range of its type, which differs between processors.
TEST_CASE("the progress of a run is limited to whole percent")
{
    struct Case
    {
        const char *text;
        int percent;
    };
    const Case c = GENERATE(values<Case>({{"41.9", 41},
                                          {"100", 100},
                                          {"5000", 100},
                                          {"1e300", 100},
                                          {"-1", 0},
                                          {"-1e300", 0},
                                          {R"("41")", 0},
                                          {"null", 0}}));
    CAPTURE(c.text);
    const auto runs = platform::decodeRuns(
        replaced(R"({"clockMs":5,"running":[["a.0.0.0",1,"c",PERCENT]]})", "PERCENT", c.text));
    REQUIRE(runs);
    CHECK(runs->running.at(0).percent == c.percent);
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
        R"({"steps":[{"count":1,"fills":true}]})", R"({"steps":[{"count":1,"after":["0"]}]})",
        R"({"steps":[{"count":4294967297}]})", R"({"steps":[{"count":1e30}]})",
        R"({"steps":[{"count":1,"maxPerServer":4294967296}]})",
        R"({"steps":[{"count":1,"cpu":9223372036854775807}]})",
        R"({"steps":[{"count":1,"estRuntimeMs":9223372036854775807}]})",
        R"({"steps":[{"count":1}],"times":4294967297})",
        R"({"steps":[{"count":1}],"times":2,"firstMs":9223372036854775807})");
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
