#include <oleandercross/rpc/rpc.h>

#include <oleandercross/core/resultcode.h>

#include <catch2/catch.hpp>

using namespace oleandercross;

TEST_CASE("calls return values and reasons")
{
    http::ServerOptions options;
    options.listen = {"127.0.0.1", 0};
    rpc::Server server(options, "key");
    server.add("echo", [](const Json::Value &params) { return std::optional(params["text"]); });
    server.add("refuse", [](const Json::Value &) -> std::optional<Json::Value> {
        return core::fail(core::ResultCode::TargetBusy, "no slot");
    });
    REQUIRE(server.start());
    const http::Endpoint endpoint{"127.0.0.1", server.port()};

    rpc::Client client({}, "key");
    Json::Value params;
    params["text"] = "hello";
    const auto result = client.call(endpoint, "echo", params, absl::Seconds(5));
    REQUIRE(result);
    CHECK(result->asString() == "hello");

    CHECK_FALSE(client.call(endpoint, "refuse", params, absl::Seconds(5)));
    CHECK(core::lastReason() == core::Reason{core::ResultCode::TargetBusy, "no slot"});

    CHECK_FALSE(client.call(endpoint, "missing", params, absl::Seconds(5)));
    CHECK(core::lastReason().code == core::ResultCode::BadAnswer);

    rpc::Client wrongKeyClient({}, "other key");
    CHECK_FALSE(wrongKeyClient.call(endpoint, "echo", params, absl::Seconds(5)));
    CHECK(core::lastReason().code == core::ResultCode::Unauthorized);

    server.stop();
    CHECK_FALSE(client.call(endpoint, "echo", params, absl::Seconds(5)));
    CHECK(core::lastReason().code == core::ResultCode::ConnectionFailed);
}
