#include <oleandercross/telemetry/tracer.h>

#include <oleandercross/core/resultcode.h>
#include <opentracing/span.h>

#include <platform/testservers.h>

#include <atomic>
#include <thread>

using namespace oleandercross;

namespace {

// The response to a request sent without the adapters. The status is 0 if there was none.
struct Reply
{
    int status = 0;
    Json::Value body;
};

Reply call(const http::Endpoint &endpoint, const std::string &method, const std::string &path,
           const std::string &body = "")
{
    http::ClientPool pool({});
    http::Request request;
    request.method = method;
    request.path = path;
    request.body = body;
    const auto response = pool.send(endpoint, request, absl::Seconds(5));
    if (!response)
        return {};
    return {response->status, core::parseJson(response->body).value_or(Json::Value())};
}

} // namespace

TEST_CASE("faults are set and shown on a role's port")
{
    test::TestServer<standin::TableRole> tables;
    const http::Endpoint endpoint = tables.server.endpoint();
    CHECK(call(endpoint, "POST", "/fault", R"({"lose": 2, "by_ms": 30})").status == 200);
    const Reply shown = call(endpoint, "GET", "/fault");
    CHECK(shown.body["lose"] == 2);
    CHECK(shown.body["by_ms"] == 30);
    // /fault and /counts work during an outage and do not consume faults.
    CHECK(call(endpoint, "POST", "/fault", R"({"outage_ms": 60000})").status == 200);
    CHECK(call(endpoint, "GET", "/counts").status == 200);
    CHECK(call(endpoint, "POST", "/v1/tables/read", R"({"key": "a"})").status == 503);
    CHECK(call(endpoint, "POST", "/fault", R"({"outage_ms": 0})").status == 200);
    CHECK(call(endpoint, "POST", "/v1/tables/read", R"({"key": "a"})").status == 0);
    CHECK(call(endpoint, "GET", "/fault").body["lose"] == 1);
    CHECK(call(endpoint, "POST", "/fault", R"({"clear": true})").status == 200);
    CHECK(call(endpoint, "POST", "/v1/tables/read", R"({"key": "a"})").status == 200);

    const std::string bad = GENERATE(as<std::string>(), "", "[]", R"({"outage": "noisy"})",
                                     R"({"rates": {"lose": 0.5}})");
    CAPTURE(bad);
    CHECK(call(endpoint, "POST", "/fault", bad).status == 400);
}

TEST_CASE("random faults are reproducible by their seed")
{
    const auto pattern = [](const std::string &seed) {
        standin::Faults faults;
        REQUIRE(faults.apply(
            *core::parseJson(R"({"rates": {"lose": 0.3, "cut": 0.2}, "seed": )" + seed + "}")));
        std::string text;
        for (int i = 0; i < 200; ++i) {
            const standin::FaultPlan plan = faults.next();
            text += plan.lose ? 'l' : plan.cut ? 'c' : '.';
        }
        return text;
    };
    CHECK(pattern("1") == pattern("1"));
    CHECK(pattern("1") != pattern("2"));
    CHECK(pattern("1").find('l') != std::string::npos);
    CHECK(pattern("1").find('c') != std::string::npos);
}

// Checks for duplicate executions and for slot limits rely on these counts.
TEST_CASE("a minion counts executions and those beyond its slots")
{
    test::TestServer<standin::MinionRole> minion(1);
    http::ClientPool pool({});
    platform::HttpMinionClient client(pool, minion.server.endpoint());
    const auto execute = [&client](const std::string &id, int workMs) {
        const std::string body = R"({"work_ms": )" + std::to_string(workMs) + "}";
        return client.execute(
            {core::RequestId(id), core::AccountId("a"), core::ServiceId("s"), body, ""},
            absl::Seconds(20));
    };
    CHECK(execute("r1", 0));
    CHECK(execute("r1", 0));
    std::thread other([&] { execute("r2", 60000); });
    CHECK(test::eventually([&] { return minion.role.executions("r2") == 1; }));
    CHECK(execute("r3", 0));
    CHECK(client.cancel(core::RequestId("r2")));
    other.join();
    const Json::Value counts = call(minion.server.endpoint(), "GET", "/counts").body;
    CHECK(counts["executions"]["r1"] == 2);
    CHECK(counts["executions"]["r2"] == 1);
    CHECK(counts["total"] == 4);
    CHECK(counts["running"] == 0);
    CHECK(counts["max_running"] == 2);
    CHECK(counts["beyond_slots"] == 1);
}

TEST_CASE("a worker counts starts that share accelerators")
{
    test::TestServer<standin::WorkerRole> worker(absl::ZeroDuration());
    http::ClientPool pool({});
    platform::HttpWorkerControl control(pool, worker.server.endpoint());
    platform::TaskStart task{"t1",    core::JobId("j"),  {1, 2, 10}, {3},
                             "never", absl::Seconds(60), ""};
    REQUIRE(control.start(task));
    task.taskId = "t2";
    task.accelerators = {4};
    REQUIRE(control.start(task));
    Json::Value counts = call(worker.server.endpoint(), "GET", "/counts").body;
    CHECK(counts["shared_accelerators"] == 0);
    CHECK(counts["max_claimed"]["cores"] == 4);
    task.taskId = "t3";
    REQUIRE(control.start(task));
    REQUIRE(control.stop("t1"));
    counts = call(worker.server.endpoint(), "GET", "/counts").body;
    CHECK(counts["shared_accelerators"] == 1);
    CHECK(counts["starts"]["t3"] == 1);
    CHECK(counts["tasks"][0]["ended_ms"].asInt64() >= counts["tasks"][0]["started_ms"].asInt64());
    CHECK(counts["tasks"][1]["ended_ms"] == 0);
}

TEST_CASE("spans of a tracer can be read back by trace")
{
    test::TestServer<standin::TableRole> collector;
    const http::Endpoint endpoint = collector.server.endpoint();
    std::string traceId;
    std::atomic<int> status = 0;
    {
        const telemetry::Tracer tracer("entry-1", [&](const std::string &spans) {
            status = call(endpoint, "POST", "/api/v2/spans", spans).status;
        });
        const auto span = tracer.start("request", "");
        traceId = telemetry::Tracer::traceparent(*span).substr(3, 32);
    }
    CHECK(status == 202);
    const Reply found = call(endpoint, "GET", "/api/v2/trace/" + traceId);
    CHECK(found.status == 200);
    REQUIRE(found.body.size() == 1);
    CHECK(found.body[0]["name"] == "request");
    CHECK(call(endpoint, "GET", "/api/v2/trace/" + std::string(32, '1')).status == 404);
    CHECK(call(endpoint, "POST", "/api/v2/spans", "{}").status == 400);
}
