#include <oleandercross/http/server.h>

#include <oleandercross/core/json.h>
#include <oleandercross/core/resultcode.h>
#include <oleandercross/http/clientpool.h>

#include <absl/synchronization/notification.h>
#include <catch2/catch.hpp>
#include <http/rawpeer.h>

using namespace oleandercross;
using core::ResultCode;

namespace {

http::ServerOptions localOptions()
{
    http::ServerOptions options;
    options.listen = {"127.0.0.1", 0};
    return options;
}

http::Request post(const std::string &path, const std::string &body)
{
    http::Request request;
    request.method = "POST";
    request.path = path;
    request.body = body;
    return request;
}

int codeOf(const http::Response &response)
{
    const auto json = core::parseJson(response.body);
    return json ? static_cast<int>(core::intMember(*json, "code")) : -1;
}

http::Response echo(const http::Request &request)
{
    http::Response response;
    response.body = request.body;
    return response;
}

} // namespace

TEST_CASE("requests rejected before any handler get a result code")
{
    http::ServerOptions options = localOptions();
    options.maxBodyBytes = 1000;
    http::Server server(options);
    server.route("POST", "/echo", echo);
    REQUIRE(server.start());
    const http::Endpoint endpoint{"127.0.0.1", server.port()};
    http::ClientPool pool({});

    const auto large = pool.send(endpoint, post("/echo", std::string(1001, 'x')), absl::Seconds(5));
    REQUIRE(large);
    CHECK(large->status == 413);
    CHECK(codeOf(*large) == static_cast<int>(ResultCode::BodyTooLarge));

    const auto missing = pool.send(endpoint, post("/other", ""), absl::Seconds(5));
    REQUIRE(missing);
    CHECK(missing->status == 404);
    CHECK(codeOf(*missing) == static_cast<int>(ResultCode::UnknownPath));

    const auto fitting =
        pool.send(endpoint, post("/echo", std::string(1000, 'x')), absl::Seconds(5));
    REQUIRE(fitting);
    CHECK(fitting->body.size() == 1000);
}

TEST_CASE("connections beyond the limit are refused with status 503")
{
    http::ServerOptions options = localOptions();
    options.maxConnections = 2;
    options.maxWaitingConnections = 1;
    http::Server server(options);
    absl::Notification release;
    std::atomic<int> running = 0;
    server.route("POST", "/hold", [&](const http::Request &) {
        ++running;
        release.WaitForNotificationWithTimeout(absl::Seconds(10));
        return http::Response();
    });
    REQUIRE(server.start());
    const http::Endpoint endpoint{"127.0.0.1", server.port()};
    const std::string request = "POST /hold HTTP/1.1\r\nContent-Length: 0\r\n\r\n";

    std::vector<test::RawConnection> held;
    for (int i = 0; i < 3; ++i) {
        held.emplace_back(endpoint);
        REQUIRE(held.back().send(request));
        while (i < 2 && running <= i)
            std::this_thread::yield();
    }
    // Many attempts, since a response can be lost when a connection is closed with unread data.
    int refused = 0;
    for (int i = 0; i < 200; ++i) {
        http::ClientPool pool({});
        const auto response = pool.send(endpoint, post("/hold", "{}"), absl::Seconds(5));
        if (response && response->status == 503
            && codeOf(*response) == static_cast<int>(ResultCode::TooManyConnections))
            ++refused;
    }
    CHECK(refused == 200);
    release.Notify();
    // The third connection is served once one of the first two is closed.
    for (test::RawConnection &connection : held) {
        CHECK(connection.receiveUntil("\r\n\r\n").rfind("HTTP/1.1 200", 0) == 0);
        connection.close();
    }
}

// Guards against a keep-alive connection that occupies its thread while another waits for one.
TEST_CASE("a connection is closed after its response when others wait")
{
    http::ServerOptions options = localOptions();
    options.maxConnections = 1;
    http::Server server(options);
    absl::Notification started;
    absl::Notification release;
    server.route("POST", "/hold", [&](const http::Request &request) {
        if (request.body == "first") {
            started.Notify();
            release.WaitForNotificationWithTimeout(absl::Seconds(10));
        }
        return http::Response();
    });
    REQUIRE(server.start());
    const test::RawConnection first({"127.0.0.1", server.port()});
    REQUIRE(first.send("POST /hold HTTP/1.1\r\nContent-Length: 5\r\n\r\nfirst"));
    started.WaitForNotification();
    const test::RawConnection second({"127.0.0.1", server.port()});
    REQUIRE(second.send("POST /hold HTTP/1.1\r\nContent-Length: 0\r\n\r\n"));
    absl::SleepFor(absl::Milliseconds(500));
    release.Notify();
    CHECK(first.receiveUntil("\r\n\r\n").find("Connection: close") != std::string::npos);
    const std::string response = second.receiveUntil("\r\n\r\n");
    CHECK(response.rfind("HTTP/1.1 200", 0) == 0);
    CHECK(response.find("Connection: close") == std::string::npos);
}

TEST_CASE("a handler detects that its caller has disconnected")
{
    http::Server server(localOptions());
    absl::Notification started;
    absl::Notification ended;
    std::atomic<bool> closedEarly = false;
    std::atomic<bool> closed = false;
    server.route("POST", "/wait", [&](const http::Request &request) {
        closedEarly = request.connection->closedByPeer();
        started.Notify();
        for (int i = 0; i < 1000 && !closed; ++i) {
            closed = request.connection->closedByPeer();
            absl::SleepFor(absl::Milliseconds(5));
        }
        ended.Notify();
        return http::Response();
    });
    REQUIRE(server.start());
    test::RawConnection caller({"127.0.0.1", server.port()});
    REQUIRE(caller.send("POST /wait HTTP/1.1\r\nContent-Length: 0\r\n\r\n"));
    started.WaitForNotification();
    CHECK_FALSE(closedEarly);
    caller.close();
    ended.WaitForNotification();
    CHECK(closed);
}

// Guards against callers that occupy a thread by sending a few bytes from time to time.
TEST_CASE("a trickling request is closed after the read timeout")
{
    const std::string start = GENERATE(as<std::string>(), "POST /echo HTTP/1.1\r\nX-Long: ",
                                       "POST /echo HTTP/1.1\r\nContent-Length: 5000\r\n\r\n");
    http::ServerOptions options = localOptions();
    options.readTimeout = absl::Milliseconds(300);
    http::Server server(options);
    server.route("POST", "/echo", echo);
    REQUIRE(server.start());
    test::RawConnection caller({"127.0.0.1", server.port()});
    REQUIRE(caller.send(start));
    int sent = 0;
    while (sent < 400 && caller.send("x")) {
        ++sent;
        absl::SleepFor(absl::Milliseconds(20));
    }
    CHECK(sent < 400);
}

TEST_CASE("a stopping server finishes requests in flight")
{
    http::Server server(localOptions());
    absl::Notification started;
    server.route("POST", "/work", [&](const http::Request &) {
        started.Notify();
        absl::SleepFor(absl::Milliseconds(200));
        return http::Response{200, "done", "text/plain", {}};
    });
    REQUIRE(server.start());
    const http::Endpoint endpoint{"127.0.0.1", server.port()};
    // An idle connection must not delay stop() for its keep-alive time.
    test::RawConnection idle(endpoint);
    std::optional<http::Response> response;
    std::thread caller([&] {
        http::ClientPool pool({});
        response = pool.send(endpoint, post("/work", ""), absl::Seconds(5));
    });
    started.WaitForNotification();
    server.stop();
    caller.join();
    REQUIRE(response);
    CHECK(response->body == "done");
}
