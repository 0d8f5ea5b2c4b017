#include <oleandercross/http/clientpool.h>

#include <oleandercross/core/clock.h>
#include <oleandercross/core/resultcode.h>

#include <absl/cleanup/cleanup.h>
#include <absl/synchronization/notification.h>
#include <catch2/catch.hpp>
#include <http/rawpeer.h>

#include <fcntl.h>
#include <sys/resource.h>
#include <unistd.h>

using namespace oleandercross;
using core::ResultCode;

namespace {

const std::string HelloResponse = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello";

http::Request getRequest()
{
    http::Request request;
    request.method = "GET";
    request.path = "/";
    return request;
}

} // namespace

TEST_CASE("a failed exchange is classified by what the peer may have received")
{
    struct Case
    {
        std::string name;
        std::string bytes;
        ResultCode code;
    };
    const auto c = GENERATE(values<Case>({
        {"closed without a response", "", ResultCode::ConnectionLost},
        {"cut in the headers", "HTTP/1.1 200 OK\r\nContent-Le", ResultCode::ConnectionLost},
        {"cut in the body", HelloResponse.substr(0, HelloResponse.size() - 2),
         ResultCode::BadAnswer},
        {"cut before the body", HelloResponse.substr(0, HelloResponse.size() - 5),
         ResultCode::BadAnswer},
        {"too large",
         "HTTP/1.1 200 OK\r\nContent-Length: 200000\r\n\r\n" + std::string(200000, 'x'),
         ResultCode::BadAnswer},
        {"not HTTP", "hello\r\n\r\n", ResultCode::ConnectionLost},
    }));
    CAPTURE(c.name);
    test::RawPeer peer([&c](test::RawConnection &connection) {
        connection.receiveUntil("\r\n\r\n");
        connection.send(c.bytes);
    });
    http::ClientOptions options;
    options.maxBodyBytes = 100000;
    http::ClientPool pool(options);
    CHECK_FALSE(pool.send(peer.endpoint(), getRequest(), absl::Seconds(5)));
    CHECK(core::lastReason().code == c.code);
}

TEST_CASE("a request that cannot be sent fails as not sent")
{
    http::ClientPool pool({});
    http::Endpoint closed;
    {
        test::RawPeer peer([](test::RawConnection &) {});
        closed = peer.endpoint();
    }
    CHECK_FALSE(pool.send(closed, getRequest(), absl::Seconds(5)));
    CHECK(core::lastReason().code == ResultCode::ConnectionFailed);
    CHECK_FALSE(pool.send(closed, getRequest(), absl::ZeroDuration()));
    CHECK(core::lastReason().code == ResultCode::ConnectionFailed);
}

// Guards against a peer that blocks a caller beyond its deadline, at any stage of the response, by
// sending nothing or a few bytes from time to time.
TEST_CASE("a request to a silent or trickling peer times out at the deadline")
{
    const std::string start =
        GENERATE(as<std::string>(), "",
                 "HTTP/1.1 200 OK\r\nX-Long: ", "HTTP/1.1 200 OK\r\nContent-Length: 5000\r\n\r\n");
    const bool trickle = GENERATE(false, true);
    CAPTURE(start, trickle);
    absl::Notification done;
    std::atomic<bool> peerTimedOut = false;
    test::RawPeer peer([&](test::RawConnection &connection) {
        connection.receiveUntil("\r\n\r\n");
        connection.send(start);
        for (int i = 0; i < 200 && !done.HasBeenNotified(); ++i) {
            if (trickle && !start.empty())
                connection.send("x");
            absl::SleepFor(absl::Milliseconds(20));
        }
        peerTimedOut = !done.HasBeenNotified();
    });
    http::ClientPool pool({});
    CHECK_FALSE(pool.send(peer.endpoint(), getRequest(), absl::Milliseconds(300)));
    CHECK(core::lastReason().code == ResultCode::Timeout);
    CHECK_FALSE(peerTimedOut);
    done.Notify();
}

// Guards against a large response on a slow link that is aborted and requested again without end,
// and against a peer that uses the time for the transfer without sending anything.
TEST_CASE("a response that has begun may take the transfer time longer")
{
    struct Case
    {
        const char *description;
        absl::Duration transferTime;
        bool sendsHeader;
        bool sendsBody;
        bool complete;
    };
    const auto c = GENERATE(values<Case>({
        {"without a transfer time", absl::ZeroDuration(), true, true, false},
        {"with a transfer time", absl::Seconds(5), true, true, true},
        {"nothing has arrived", absl::Seconds(5), false, false, false},
        {"no more arrives", absl::Seconds(5), true, false, false},
    }));
    CAPTURE(c.description);
    absl::Notification done;
    test::RawPeer peer([&](test::RawConnection &connection) {
        connection.receiveUntil("\r\n\r\n");
        if (c.sendsHeader)
            connection.send("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n");
        for (int i = 0; c.sendsBody && i < 10 && !done.HasBeenNotified(); ++i) {
            absl::SleepFor(absl::Milliseconds(60));
            connection.send("x");
        }
        done.WaitForNotificationWithTimeout(absl::Seconds(10));
    });
    http::ClientPool pool({});
    http::Request request = getRequest();
    request.transferTime = c.transferTime;
    const auto response = pool.send(peer.endpoint(), request, absl::Milliseconds(300));
    CHECK(response.has_value() == c.complete);
    CHECK((c.complete || core::lastReason().code == ResultCode::Timeout));
    done.Notify();
}

// Guards against taking leftover data of one exchange for the response to the next request.
TEST_CASE("a connection is reused only when it has no leftover data")
{
    struct Case
    {
        std::string name;
        // Delay of a second response to the first request; no second response if negative.
        int secondResponseDelayMs;
        bool accept;
        int connections;
    };
    const auto c = GENERATE(values<Case>({
        {"reused", -1, true, 1},
        // The library discards data that it has read beyond the first response.
        {"two responses at once", 0, true, 1},
        {"second response while idle", 20, true, 2},
        {"rejected by the check", -1, false, 2},
    }));
    CAPTURE(c.name);
    std::atomic<int> requests = 0;
    std::atomic<bool> secondSent = false;
    test::RawPeer peer([&](test::RawConnection &connection) {
        while (!connection.receiveUntil("\r\n\r\n").empty()) {
            const std::string response =
                "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n" + std::to_string(++requests);
            const bool again = requests == 1 && c.secondResponseDelayMs >= 0;
            connection.send(again && c.secondResponseDelayMs == 0 ? response + response : response);
            if (again && c.secondResponseDelayMs > 0) {
                absl::SleepFor(absl::Milliseconds(c.secondResponseDelayMs));
                connection.send(response);
                secondSent = true;
            }
        }
    });
    http::ClientPool pool({});
    const auto check = [&c](const http::Response &) { return c.accept; };
    const auto first = pool.send(peer.endpoint(), getRequest(), absl::Seconds(5), check);
    CHECK(first.has_value() == c.accept);
    if (!first)
        CHECK(core::lastReason().code == ResultCode::BadAnswer);
    while (c.secondResponseDelayMs > 0 && !secondSent)
        absl::SleepFor(absl::Milliseconds(1));
    const auto second = pool.send(peer.endpoint(), getRequest(), absl::Seconds(5));
    REQUIRE(second);
    CHECK(second->body == "2");
    pool.closeIdle(peer.endpoint());
    CHECK(peer.accepted() == c.connections);
}

// Guards against reusing a connection that the peer closed while it was idle: the request would be
// reported as possibly received although it was not.
TEST_CASE("an idle connection that the peer closed is replaced")
{
    test::RawPeer peer([](test::RawConnection &connection) {
        connection.receiveUntil("\r\n\r\n");
        connection.send(HelloResponse);
    });
    http::ClientPool pool({});
    for (int i = 0; i < 20; ++i) {
        CAPTURE(i);
        REQUIRE(pool.send(peer.endpoint(), getRequest(), absl::Seconds(5)));
        absl::SleepFor(absl::Milliseconds(5));
    }
}

// Guards against one timeout per idle connection after all of them became unresponsive at once.
TEST_CASE("a timeout closes the endpoint's other idle connections")
{
    std::vector<test::RawConnection> unresponsive;
    test::RawPeer peer([&unresponsive](test::RawConnection &connection) {
        connection.receiveUntil("\r\n\r\n");
        // Long enough for the other caller to open its own connection.
        if (unresponsive.size() < 2)
            absl::SleepFor(absl::Milliseconds(500));
        connection.send(HelloResponse);
        if (unresponsive.size() < 2)
            unresponsive.push_back(std::move(connection));
    });
    http::ClientPool pool({});
    std::thread other([&] { pool.send(peer.endpoint(), getRequest(), absl::Seconds(5)); });
    CHECK(pool.send(peer.endpoint(), getRequest(), absl::Seconds(5)));
    other.join();
    REQUIRE(peer.accepted() == 2);
    CHECK_FALSE(pool.send(peer.endpoint(), getRequest(), absl::Milliseconds(200)));
    CHECK(core::lastReason().code == ResultCode::Timeout);
    CHECK(pool.send(peer.endpoint(), getRequest(), absl::Seconds(5)));
    CHECK(peer.accepted() == 3);
}

TEST_CASE("both sides of reused connections count the same bytes")
{
    http::ServerOptions options;
    options.listen = {"127.0.0.1", 0};
    http::Server server(options);
    server.route("POST", "/", [](const http::Request &request) {
        return http::Response{200, request.body + request.body};
    });
    REQUIRE(server.start());
    const http::Endpoint endpoint = {"127.0.0.1", server.port()};
    http::ClientPool pool({});
    http::Request request;
    request.method = "POST";
    request.path = "/";
    request.body = std::string(10000, 'x');
    constexpr int Exchanges = 3;
    for (int i = 0; i < Exchanges; ++i)
        REQUIRE(pool.send(endpoint, request, absl::Seconds(5)));
    // Forces a new connection, so that the counts of two connections are added.
    pool.closeIdle(endpoint);
    REQUIRE(pool.send(endpoint, request, absl::Seconds(5)));
    const http::Traffic client = pool.traffic();
    const http::Traffic served = server.traffic();
    CHECK(client.sent == served.received);
    CHECK(client.received == served.sent);
    CHECK(client.sent > (Exchanges + 1) * 10000);
    CHECK(client.received > (Exchanges + 1) * 20000);
}

// Guards against declaring a running peer dead because this process has no file descriptor left.
TEST_CASE("a connection that this process cannot open does not count as refused")
{
    test::RawPeer peer([](test::RawConnection &connection) { connection.send(HelloResponse); });
    http::ClientPool pool({});
    rlimit limit{};
    REQUIRE(getrlimit(RLIMIT_NOFILE, &limit) == 0);
    const int lowestFree = fcntl(STDIN_FILENO, F_DUPFD, 0);
    REQUIRE(lowestFree >= 0);
    close(lowestFree);
    rlimit exhausted = limit;
    exhausted.rlim_cur = static_cast<rlim_t>(lowestFree);
    REQUIRE(setrlimit(RLIMIT_NOFILE, &exhausted) == 0);
    bool answered = false;
    bool refused = false;
    {
        const auto restore = absl::MakeCleanup([&limit] { setrlimit(RLIMIT_NOFILE, &limit); });
        answered = pool.send(peer.endpoint(), getRequest(), absl::Seconds(5)).has_value();
        refused = http::wasConnectionRefused(peer.endpoint());
    }
    CHECK_FALSE(answered);
    CHECK_FALSE(refused);
}

// Guards against waiting for the lease of a worker, or for the leader, whose process has exited.
TEST_CASE("a connection to a port at which nothing listens counts as refused")
{
    http::Endpoint closed;
    {
        const test::RawPeer peer([](test::RawConnection &) {});
        closed = peer.endpoint();
    }
    http::ClientPool pool({});
    REQUIRE_FALSE(pool.send(closed, getRequest(), absl::Seconds(5)));
    CHECK(http::wasConnectionRefused(closed));
}

// Guards against a request that reaches the next process at the address of the one that it is for:
// the library reopens a connection that the peer has closed.
TEST_CASE("a request for one process is not sent to the next one at its address")
{
    const bool closedAfterProbe = GENERATE(false, true);
    CAPTURE(closedAfterProbe);
    absl::Notification closed;
    std::vector<std::string> received;
    {
        test::RawPeer peer([&](test::RawConnection &connection) {
            while (received.size() < 2) {
                const std::string text = connection.receiveUntil("\r\n\r\n");
                if (text.empty())
                    return;
                received.push_back(text.substr(0, text.find(' ', text.find('/'))));
                connection.send(HelloResponse);
                if (closedAfterProbe)
                    break;
            }
            connection.close();
            if (!closed.HasBeenNotified())
                closed.Notify();
        });
        http::PeerProof proof;
        proof.peer = "first";
        proof.probe = getRequest();
        proof.probe.path = "/probe";
        proof.check = [&](const http::Response &response) {
            if (closedAfterProbe) {
                closed.WaitForNotification();
                // The end of the stream may arrive a moment after the peer has closed.
                absl::SleepFor(absl::Milliseconds(20));
            }
            return response.body == "hello";
        };
        http::ClientPool pool({});
        const auto response = pool.sendTo(proof, peer.endpoint(), getRequest(), absl::Seconds(5));
        CHECK(response.has_value() != closedAfterProbe);
        if (!response)
            CHECK(core::lastReason().code == ResultCode::ConnectionFailed);
    }
    CHECK(received
          == (closedAfterProbe ? std::vector<std::string>{"GET /probe"}
                               : std::vector<std::string>{"GET /probe", "GET /"}));
}

// Guards against taking a reopened connection for one to the process that closed it.
TEST_CASE("each new connection is probed before a request for one process")
{
    std::vector<std::string> received;
    {
        test::RawPeer peer([&](test::RawConnection &connection) {
            for (int i = 0; i < 2; ++i) {
                const std::string text = connection.receiveUntil("\r\n\r\n");
                received.push_back(text.substr(0, text.find(' ', text.find('/'))));
                connection.send(HelloResponse);
            }
        });
        http::PeerProof proof;
        proof.peer = "process";
        proof.probe = getRequest();
        proof.probe.path = "/probe";
        proof.check = [](const http::Response &) { return true; };
        http::ClientPool pool({});
        for (int i = 0; i < 2; ++i)
            CHECK(pool.sendTo(proof, peer.endpoint(), getRequest(), absl::Seconds(5)));
    }
    CHECK(received == std::vector<std::string>{"GET /probe", "GET /", "GET /probe", "GET /"});
}
