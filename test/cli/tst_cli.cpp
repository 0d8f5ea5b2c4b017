#include <oleandercross/cli/cli.h>

#include "cli/scriptedentry.h"

#include <oleandercross/core/json.h>
#include <oleandercross/core/resultcode.h>

#include <catch2/catch.hpp>

#include <algorithm>
#include <fstream>
#include <sstream>

using namespace oleandercross;
using cli::Environment;
using test::errorResponse;
using test::okResponse;
using test::ScriptedEntry;

namespace {

const std::string ManifestFile = SOURCE_DIR "/examples/wrekin/manifest.yaml";

struct Result
{
    int status = 0;
    std::string out;
    std::string err;
};

Result run(std::vector<std::string> arguments, const Environment &environment = {})
{
    std::ostringstream out;
    std::ostringstream err;
    Result result;
    result.status = cli::run(arguments, environment, out, err);
    result.out = out.str();
    result.err = err.str();
    return result;
}

// Runs the arguments with an --entry option for each entry.
Result runAt(const std::vector<const ScriptedEntry *> &entries, std::vector<std::string> arguments)
{
    for (const ScriptedEntry *entry : entries) {
        arguments.push_back("--entry");
        arguments.push_back(entry->address());
    }
    return run(std::move(arguments));
}

bool contains(const std::string &text, const std::string &part)
{
    return text.find(part) != std::string::npos;
}

Json::Value manifestResponse(int revision, const std::string &yaml)
{
    Json::Value value;
    value["revision"] = revision;
    value["yaml"] = yaml;
    return value;
}

http::Response statusResponse(int revisionOfNodes, int nodes)
{
    Json::Value value;
    value["entry"] = "entry-1";
    value["dataCentre"] = "brum";
    value["revision"] = 2;
    value["storeAvailable"] = true;
    for (int i = 0; i < nodes; ++i) {
        Json::Value node;
        node["id"] = "node-" + std::to_string(i);
        node["revision"] = revisionOfNodes;
        node["live"] = true;
        value["nodes"].append(node);
    }
    return okResponse(value);
}

} // namespace

TEST_CASE("invalid command lines are rejected with exit status 2")
{
    const auto arguments = GENERATE(values<std::vector<std::string>>({
        {},
        {"bogus"},
        {"manifest"},
        {"manifest", "check"},
        {"status"},
        {"status", "--entry", "localhost:7100"},
        {"status", "--entry", "127.0.0.1"},
        {"status", "--output", "xml", "--entry", "127.0.0.1:1"},
        {"status", "extra", "--entry", "127.0.0.1:1"},
        {"submit", "--entry", "127.0.0.1:1"},
        {"submit", "job.json", "--tasks", "1", "--entry", "127.0.0.1:1"},
        {"submit", "--tasks", "x", "--entry", "127.0.0.1:1"},
        {"submit", "--tasks", "0", "--cores", "1", "--memory-mb", "1", "--entry", "127.0.0.1:1"},
        {"submit", "--adjacency", "near", "--entry", "127.0.0.1:1"},
        {"job", "a/b", "--entry", "127.0.0.1:1"},
        {"cancel", "..", "--entry", "127.0.0.1:1"},
        {"explain", "a?b", "--entry", "127.0.0.1:1"},
        {"request", "desk", "--entry", "127.0.0.1:1"},
        {"request", "a b", "--body", "x", "--entry", "127.0.0.1:1"},
        {"request", "desk", "--body", "x", "--deadline-ms", "0", "--entry", "127.0.0.1:1"},
        {"manifest", "commit", "FILE", "--parent", "-1", "--entry", "127.0.0.1:1"},
        {"trace", "abc"},
        {"trace", "abc", "--from", "collector:1"},
    }));
    const Result result = run(arguments);
    CAPTURE(arguments, result.err);
    CHECK(result.status == 2);
    CHECK(result.err.find("error 2") == 0);
    CHECK(result.out.empty());
}

TEST_CASE("help and version succeed")
{
    CHECK(run({"--version"}).out == OLEANDERCROSS_VERSION "\n");
    const Result help = run({"manifest", "commit", "--help"});
    CHECK(help.status == 0);
    CHECK(contains(help.out, "--write-id"));
}

TEST_CASE("a manifest is validated without an entry")
{
    const Result valid = run({"manifest", "check", ManifestFile});
    CHECK(valid.status == 0);
    CHECK(contains(valid.out, "valid: 3 data centres, 4 accounts"));
    const Result settings =
        run({"manifest", "check", SOURCE_DIR "/examples/wrekin/agent-brum-1.yaml"});
    CHECK(settings.status == 7);
    CHECK(settings.err.find("error 102 ConfigUnknownKey: ") == 0);
    CHECK(run({"manifest", "check", "/nonexistent"}).status == 7);
}

// Guards against retrying a call on another entry although it may have run.
TEST_CASE("a call is retried on the next entry only if it definitely did not run")
{
    struct Row
    {
        http::Response first;
        bool next;
        int status;
    };
    const auto row = GENERATE(values<Row>({
        {errorResponse(core::ResultCode::NotReady), true, 0},
        {errorResponse(core::ResultCode::Draining), true, 0},
        {errorResponse(core::ResultCode::QueueFull), true, 0},
        {errorResponse(core::ResultCode::RateLimited), false, 3},
        {errorResponse(core::ResultCode::DeadlineExpired), false, 3},
        {errorResponse(core::ResultCode::Cancelled), false, 3},
        {errorResponse(core::ResultCode::OutcomeUnknown), false, 4},
        {errorResponse(core::ResultCode::MinionFailed), false, 5},
        {errorResponse(core::ResultCode::Unauthorized), false, 2},
        {errorResponse(core::ResultCode::Internal), false, 5},
        {http::Response{500, "no JSON", "text/plain", {}}, false, 5},
        {http::Response{503, R"({"code":"301"})", "application/json", {}}, false, 5},
    }));
    ScriptedEntry first({row.first});
    ScriptedEntry second({http::Response{200, "answer", "text/plain", {}}});
    const Result result = runAt({&first, &second}, {"request", "desk", "--body", "x"});
    CAPTURE(result.err);
    CHECK(result.status == row.status);
    CHECK(second.requests().size() == (row.next ? 1 : 0));
}

TEST_CASE("a call is retried on the next entry if the first is unreachable")
{
    ScriptedEntry entry({okResponse(Json::objectValue)});
    const Result result = run({"report"},
                              {{"OLEANDERCROSS_ENTRY", "127.0.0.1:1," + entry.address()},
                               {"OLEANDERCROSS_TOKEN", "secret"}});
    CHECK(result.status == 0);
    REQUIRE(entry.requests().size() == 1);
    CHECK(entry.requests()[0].header("authorization") == "Bearer secret");
    const Result none = run({"report", "--entry", "127.0.0.1:1", "--output", "json"});
    CHECK(none.status == 5);
    CHECK(core::intMember(*core::parseJson(none.err), "code") == 503);
}

// Guards against a write that is reported as not run or retried after its response was lost.
TEST_CASE("a write whose response is lost has an unknown outcome")
{
    test::ClosingEntry first;
    ScriptedEntry second({okResponse(Json::objectValue)});
    const Result result = run({"request", "desk", "--body", "x", "--non-idempotent", "--entry",
                               first.address(), "--entry", second.address()});
    CHECK(result.status == 4);
    CHECK(contains(result.err, "error 401 OutcomeUnknown"));
    CHECK(contains(result.err, "retry with --key "));
    CHECK(second.requests().empty());
}

TEST_CASE("a request sends its key, deadline and idempotence as headers")
{
    http::Response response{200, "free", "text/plain", {{"X-Request-Id", "r-1"}}};
    ScriptedEntry entry({response, response, response});
    CHECK(runAt({&entry}, {"request", "desk", "--body", "on Saturday?"}).out == "free\n");
    runAt({&entry}, {"request", "desk", "--body", "x", "--non-idempotent"});
    const Result json = runAt({&entry},
                              {"request", "desk", "--body", "x", "--key", "k-1", "--deadline-ms",
                               "1500", "--output", "json"});
    CHECK(core::stringMember(*core::parseJson(json.out), "requestId") == "r-1");
    const auto requests = entry.requests();
    REQUIRE(requests.size() == 3);
    CHECK(requests[0].method == "POST");
    CHECK(requests[0].path == "/v1/services/desk/requests");
    CHECK(requests[0].body == "on Saturday?");
    CHECK(requests[0].header("x-idempotent") == "true");
    CHECK(requests[0].header("idempotency-key").empty());
    CHECK(requests[1].header("x-idempotent") == "false");
    CHECK(requests[1].header("idempotency-key").size() == 32);
    CHECK(requests[2].header("idempotency-key") == "k-1");
    CHECK(requests[2].header("x-deadline-ms") == "1500");
}

TEST_CASE("a commit names its parent and a repeatable write id")
{
    const auto none = errorResponse(core::ResultCode::ConfigNoRevision);
    Json::Value committed;
    committed["revision"] = 1;
    ScriptedEntry entry({none, okResponse(committed), none, okResponse(committed)});
    for (int i = 0; i < 2; ++i) {
        const Result result =
            runAt({&entry}, {"manifest", "commit", ManifestFile, "--comment", "first"});
        CHECK(result.status == 0);
        CHECK(result.out == "committed revision 1\n");
    }
    const auto requests = entry.requests();
    REQUIRE(requests.size() == 4);
    const auto first = *core::parseJson(requests[1].body);
    const auto second = *core::parseJson(requests[3].body);
    CHECK(core::intMember(first, "parent", -1) == 0);
    CHECK(core::stringMember(first, "comment") == "first");
    CHECK(core::stringMember(first, "writeId").size() == 64);
    CHECK(first == second);
}

TEST_CASE("a conflicting commit reports both revisions with exit status 7")
{
    ScriptedEntry entry(
        {errorResponse(core::ResultCode::ConfigConflict, "revision 3 but newest 5")});
    const Result result = runAt({&entry}, {"manifest", "commit", ManifestFile, "--parent", "3"});
    CHECK(result.status == 7);
    CHECK(result.err == "error 109 ConfigConflict: revision 3 but newest 5\n");
    const auto body = *core::parseJson(entry.requests().at(0).body);
    CHECK(core::intMember(body, "parent") == 3);
}

// Guards against a repeated command that commits the same content as another revision.
TEST_CASE("a commit of the newest content is not sent")
{
    std::ifstream file(ManifestFile);
    const std::string yaml{std::istreambuf_iterator<char>(file), {}};
    ScriptedEntry entry({okResponse(manifestResponse(9, yaml))});
    const Result result = runAt({&entry}, {"manifest", "commit", ManifestFile});
    CHECK(result.status == 0);
    CHECK(result.out == "unchanged, already revision 9\n");
    CHECK(entry.requests().size() == 1);
}

TEST_CASE("a commit waits until all live nodes use the revision")
{
    Json::Value committed;
    committed["revision"] = 2;
    ScriptedEntry entry({okResponse(committed), errorResponse(core::ResultCode::NotReady),
                         statusResponse(1, 0), statusResponse(1, 3), statusResponse(2, 3)});
    const Result result =
        runAt({&entry}, {"manifest", "commit", ManifestFile, "--parent", "1", "--wait"});
    CHECK(result.status == 0);
    CHECK(result.out == "committed revision 2\nin force on 3 of 3 nodes\n");

    ScriptedEntry slow({okResponse(committed), statusResponse(1, 3)});
    const Result late = runAt(
        {&slow}, {"manifest", "commit", ManifestFile, "--parent", "1", "--wait", "--timeout", "1"});
    CHECK(late.status == 5);
    CHECK(contains(late.err,
                   "error 502 Timeout: revision 2 is committed but only in force on 0 "
                   "of 3 nodes"));
}

TEST_CASE("differences from the newest revision are listed")
{
    std::ifstream file(ManifestFile);
    std::string yaml{std::istreambuf_iterator<char>(file), {}};
    yaml.replace(yaml.find("weight: 3"), 9, "weight: 7");
    yaml.replace(yaml.find("name: venues"), 12, "name: places");
    yaml.replace(yaml.find("agencies, venues"), 16, "agencies, places");
    yaml.replace(yaml.find("[worker-shires-3]"), 17, "[worker-shires-2]");
    ScriptedEntry entry(
        {okResponse(manifestResponse(4, yaml)), okResponse(manifestResponse(4, yaml))});
    const Result result = runAt({&entry}, {"manifest", "diff", ManifestFile});
    CHECK(result.status == 0);
    CHECK(result.out == "revision 4 -> " + ManifestFile + "\n" + R"(+ account venues
- account places
~ account families: weight 7 -> 3
~ service contract-drafts: accounts ["agencies","places"] -> ["agencies","venues"]
+ drain worker worker-shires-3
- drain worker worker-shires-2
)");
    CHECK(runAt({&entry}, {"manifest", "diff", "/nonexistent"}).status == 7);
}

TEST_CASE("revisions are shown and listed")
{
    ScriptedEntry entry({okResponse(manifestResponse(4, "a: b")),
                         okResponse(*core::parseJson(R"({"revisions":[{"revision":4,"parent":3,
        "writeId":"w","committedAtMicros":1700000000000000,"comment":"more"}]})"))});
    CHECK(runAt({&entry}, {"manifest", "show", "--revision", "4"}).out == "# revision 4\na: b\n");
    CHECK(entry.requests()[0].query.at("revision") == "4");
    CHECK(contains(runAt({&entry}, {"manifest", "history"}).out,
                   "4         3       2023-11-14T22:13:20Z  w         more\n"));
}

TEST_CASE("a job is submitted and waited for")
{
    const auto job = [](const std::string &text) { return okResponse(*core::parseJson(text)); };
    ScriptedEntry entry({job(R"({"job":"j-1","state":"queued"})"),
                         job(R"({"job":"j-1","state":"running"})"),
                         errorResponse(core::ResultCode::NotReady),
                         job(R"({"job":"j-1","state":"failed","code":601,"message":"status 3"})")});
    const Result result = runAt({&entry},
                                {"submit", "--tasks", "2", "--accelerators", "8", "--cores", "4",
                                 "--memory-mb", "512", "--adjacency", "rack", "--hard", "--team",
                                 "rota", "--command", "run 3", "--key", "k", "--wait"});
    CHECK(result.status == 6);
    CHECK(result.err == "error 601 JobFailed: status 3\n");
    const auto requests = entry.requests();
    REQUIRE(requests.size() == 4);
    CHECK(requests[0].header("idempotency-key") == "k");
    CHECK(*core::parseJson(requests[0].body)
          == *core::parseJson(R"({"tasks":2,"accelerators":8,"cores":4,"memoryMb":512,
                                  "adjacency":"rack","hard":true,"team":"rota",
                                  "command":"run 3"})"));
    CHECK(requests[1].path == "/v1/jobs/j-1");
    CHECK(requests[1].query.count("wait") == 1);
}

// Guards against exit status 0 for a job that ended without success.
TEST_CASE("the state of an ended job determines the exit status")
{
    struct Row
    {
        const char *job;
        int status;
    };
    const auto row = GENERATE(values<Row>({
        {R"({"state":"succeeded","code":0})", 0},
        {R"({"state":"running","code":601})", 0},
        {R"({"state":"failed","code":604})", 6},
        {R"({"state":"failed","code":0})", 6},
        {R"({"state":"cancelled"})", 6},
        {R"({"state":"failed","code":312})", 3},
    }));
    ScriptedEntry entry({okResponse(*core::parseJson(row.job))});
    CAPTURE(row.job);
    CHECK(runAt({&entry}, {"job", "j-1"}).status == row.status);
}

TEST_CASE("jobs are shown, cancelled and explained")
{
    ScriptedEntry entry({okResponse(*core::parseJson(R"({"state":"running","code":0})")),
                         okResponse(*core::parseJson(R"({"result":"cancelled before the start"})")),
                         okResponse(*core::parseJson(R"({"reason":{"code":313}})")),
                         errorResponse(core::ResultCode::UnknownJob)});
    CHECK(runAt({&entry}, {"job", "j-1"}).out == "code: 0\nstate: running\n");
    CHECK(runAt({&entry}, {"cancel", "j-1"}).status == 0);
    CHECK(runAt({&entry}, {"explain", "j-1"}).out == "reason.code: 313\n");
    CHECK(runAt({&entry}, {"job", "j-2"}).status == 2);
    CHECK(entry.requests()[1].method == "DELETE");
    CHECK(entry.requests()[2].path == "/v1/jobs/j-1/explain");
}

// Guards against sending the token to the collector.
TEST_CASE("a trace is printed as a tree without sending the token")
{
    ScriptedEntry collector({okResponse(*core::parseJson(R"([
        {"id":"b","parentId":"a","name":"dispatch","timestamp":1002000,"duration":1500},
        {"id":"a","name":"request","timestamp":1000000,"duration":5000,
         "localEndpoint":{"serviceName":"entry-1"}},
        {"id":"d","parentId":"lost","name":"late","timestamp":1004000,"duration":100},
        {"id":"c","parentId":"b","name":"execute","timestamp":1002500,"duration":500}])"))});
    const Result result = run({"trace", "abc", "--from", collector.address(), "--token", "secret"});
    CHECK(result.out == R"(     START      DURATION    SPAN
     0.000 ms      5.000 ms  request [entry-1]
     2.000 ms      1.500 ms    dispatch
     2.500 ms      0.500 ms      execute
     4.000 ms      0.100 ms  late
)");
    CHECK(collector.requests()[0].path == "/api/v2/trace/abc");
    CHECK(collector.requests()[0].header("authorization").empty());
}

// Guards against endless loops on spans that are each other's parents.
TEST_CASE("a trace with circular parents is printed")
{
    ScriptedEntry collector({okResponse(*core::parseJson(R"([
        {"id":"a","parentId":"b","name":"x"},{"id":"b","parentId":"a","name":"y"},
        {"id":"c","parentId":"c","name":"z"},{"id":"c","name":"twice"}])"))});
    CHECK(run({"trace", "abc", "--from", collector.address()}).status == 0);
}

TEST_CASE("the status fits on one screen")
{
    ScriptedEntry entry({statusResponse(2, 500)});
    const std::string text = runAt({&entry}, {"status"}).out;
    CHECK(std::count(text.begin(), text.end(), '\n') <= 40);
    CHECK(contains(text, "and 476 more nodes"));
}

// Guards against undocumented subcommands and options.
TEST_CASE("docs/CLI.md lists all subcommands and options")
{
    const auto command = GENERATE(values<std::vector<std::string>>({
        {},
        {"manifest", "check"},
        {"manifest", "diff"},
        {"manifest", "show"},
        {"manifest", "history"},
        {"manifest", "commit"},
        {"submit"},
        {"job"},
        {"cancel"},
        {"explain"},
        {"request"},
        {"status"},
        {"report"},
        {"trace"},
    }));
    std::ifstream file(SOURCE_DIR "/docs/CLI.md");
    const std::string page{std::istreambuf_iterator<char>(file), {}};
    std::string name;
    for (const std::string &word : command)
        name += (name.empty() ? "" : " ") + word;
    CHECK(contains(page, "`" + name));

    std::vector<std::string> arguments = command;
    arguments.push_back("--help");
    std::istringstream help(run(arguments).out);
    for (std::string line; std::getline(help, line);) {
        const auto at = line.find("--");
        if (at == std::string::npos || at > 5)
            continue;
        const std::string option = line.substr(at, line.find_first_of(" ,", at) - at);
        CAPTURE(name, option);
        CHECK(contains(page, "`" + option));
    }
}
