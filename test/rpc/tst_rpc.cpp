#include <oleandercross/rpc/rpc.h>

#include <oleandercross/core/digest.h>
#include <oleandercross/core/json.h>
#include <oleandercross/core/resultcode.h>
#include <oleandercross/http/clientpool.h>

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

// Guards against a process that ends because of the answer of a peer that cannot be read.
TEST_CASE("calls fail when the answer cannot be read")
{
    struct Case
    {
        const char *what;
        std::string body;
    };
    const auto nested = [](std::size_t depth) {
        return std::string(depth, '[') + std::string(depth, ']');
    };
    const std::string head = R"({"jsonrpc":"2.0","id":1,)";
    const Case c = GENERATE_COPY(values<Case>({
        {"nothing", ""},
        {"undecodable bytes", "\xff\xfe\x01"},
        {"a list", "[1]"},
        {"a deeply nested list", nested(1000000)},
        {"a deeply nested result", head + R"("result":)" + nested(2000) + "}"},
        {"a result that is not closed", head + R"("result":)" + std::string(900, '[')},
        {"a number of 400 digits", head + R"("result":)" + std::string(400, '9') + "}"},
        {"an error number beyond 32 bits",
         head + R"("error":{"code":1099511627776,"message":"x"}})"},
        {"an error number beyond all integers", head + R"("error":{"code":1e300,"message":"x"}})"},
        {"an error without a message", head + R"("error":{"code":5}})"},
        {"an error with a list as message", head + R"("error":{"code":5,"message":[[1]]}})"},
        {"an error that is a text", head + R"("error":"x"})"},
        {"an error without a number", head + R"("error":{"message":"x"}})"},
        {"an error that reports success", head + R"("error":{"code":0,"message":"x"}})"},
        {"another version", R"({"jsonrpc":2,"id":1,"result":1})"},
    }));
    CAPTURE(c.what);
    http::ServerOptions options;
    options.listen = {"127.0.0.1", 0};
    http::Server server(options);
    server.route("POST", "/rpc", [&c](const http::Request &) {
        return http::Response{200, c.body};
    });
    REQUIRE(server.start());
    rpc::Client client({}, "key");
    CHECK_FALSE(client.call({"127.0.0.1", server.port()}, "echo", Json::Value(Json::objectValue),
                            absl::Seconds(5)));
}

// Guards against a process that ends because of a request that cannot be read, or serves nothing
// after it.
TEST_CASE("requests that cannot be read do not stop the server")
{
    const std::string deep = std::string(20000, '[') + std::string(20000, ']');
    const std::string body = GENERATE_COPY(
        as<std::string>(), "", "7", "[]", "[1,{}]", "\xff\xfe", deep,
        R"({"jsonrpc":"2.0","id":1,"method":"echo","params":)" + deep + "}",
        R"({"jsonrpc":"2.0","id":1e300,"method":"echo"})", R"({"jsonrpc":"2.0","id":1,"method":7})",
        R"({"jsonrpc":"2.0","id":1,"method":"echo","params":[1]})");
    http::ServerOptions options;
    options.listen = {"127.0.0.1", 0};
    rpc::Server server(options, "key");
    server.add("echo", [](const Json::Value &params) {
        return std::optional(Json::Value(core::stringMember(params, "text")));
    });
    REQUIRE(server.start());
    http::ClientPool pool({});
    http::Request request;
    request.method = "POST";
    request.path = "/rpc";
    request.headers["x-oleandercross-auth"] = core::hmacSha256Hex("key", body);
    request.body = body;
    const http::Endpoint endpoint{"127.0.0.1", server.port()};
    CHECK(pool.send(endpoint, request, absl::Seconds(5)));
    rpc::Client client({}, "key");
    Json::Value params;
    params["text"] = "hello";
    CHECK(client.call(endpoint, "echo", params, absl::Seconds(5)));
}
