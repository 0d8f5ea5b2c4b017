#include "../control/loadedentry.h"

#include <oleandercross/core/json.h>
#include <oleandercross/http/clientpool.h>
#include <platform/callers.h>

using namespace oleandercross;
using namespace oleandercross::control;
using namespace oleandercross::control::testing;

// Guards against callers that cannot tell a refusal by forecast from an unavailable store, or that
// are not told when to come back.
TEST_CASE("a caller refused by forecast is told so and when to come back")
{
    FakeRowStore store;
    FakeLeader leader(store);
    LoadedEntry entry(store);
    platform::CallerApi api(entry.entry, entry.metrics);
    http::Server server(onLoopback(0));
    api.serve(server);
    REQUIRE(server.start());
    http::ClientPool client({});
    http::Request request;
    request.method = "POST";
    request.path = std::string("/jobs/") + Id;
    request.body = R"({"spec":"text","steps":[{"count":1,"cpu":1000,"estRuntimeMs":1000}]})";
    const auto send = [&] {
        const auto response = client.send({"127.0.0.1", server.port()}, request, absl::Seconds(10));
        REQUIRE(response);
        return *response;
    };
    entry.awaitForecast(true);
    for (int i = 0; i < 6; ++i) {
        const http::Response response = send();
        CHECK(response.status == 503);
        CHECK(core::intMember(*core::parseJson(response.body), "code") == 302);
        const int seconds = std::stoi(response.headers.at("retry-after"));
        CHECK(seconds >= 1);
        CHECK(seconds <= (30 + (1 << i) - 1) >> i);
    }
    const http::Request submission = request;
    request.method = "GET";
    request.body.clear();
    CHECK(send().status == 410);
    request = submission;
    leader.report(false);
    entry.awaitForecast(false);
    CHECK(send().status == 200);
    server.stop();
}

// Guards against a caller that is told to repeat a submission that was cancelled, or that cannot
// tell it from one that the store did not take.
TEST_CASE("a caller whose job was cancelled before its submission is told so")
{
    FakeRowStore store;
    FakeLeader leader(store);
    LoadedEntry entry(store);
    platform::CallerApi api(entry.entry, entry.metrics);
    http::Server server(onLoopback(0));
    api.serve(server);
    REQUIRE(server.start());
    leader.report(false);
    entry.awaitForecast(false);
    http::ClientPool client({});
    const auto send = [&](const char *method, const std::string &body) {
        http::Request request;
        request.method = method;
        request.path = std::string("/jobs/") + Id;
        request.body = body;
        const auto response = client.send({"127.0.0.1", server.port()}, request, absl::Seconds(10));
        REQUIRE(response);
        return *response;
    };
    CHECK(send("DELETE", {}).status == 410);
    for (int i = 0; i < 2; ++i) {
        const http::Response response =
            send("POST", R"({"spec":"text","steps":[{"count":1,"cpu":1000}]})");
        CHECK(response.status == 503);
        CHECK(core::intMember(*core::parseJson(response.body), "code") == 312);
        CHECK_FALSE(response.headers.contains("retry-after"));
        CHECK(send("GET", {}).status == 410);
    }
    CHECK(send("DELETE", {}).status == 410);
    server.stop();
}
