#include <oleandercross/control/agentmessages.h>
#include <oleandercross/core/clock.h>
#include <oleandercross/http/clientpool.h>
#include <oleandercross/http/server.h>
#include <oleandercross/rpc/rpc.h>
#include <platform/process.h>

#include <absl/time/clock.h>
#include <catch2/catch.hpp>

#include <atomic>

using namespace oleandercross;

namespace {

const char Heartbeat[] =
    R"({"service":"s","addr":"127.0.0.1:9","zone":"brum","version":"v1","slots":8,"state":"ready",)"
    R"("coldLeftMs":0,"capacity":{"cpu":32000,"memMb":65536,"gpu":8},"labels":["a","r1-3"],)"
    R"("clockMs":482113,"seq":4,"born":1780000000000})";
const char Path[] = "/oleandercross/instances/";

http::ServerOptions anyPort()
{
    http::ServerOptions options;
    options.listen = {"127.0.0.1", 0};
    return options;
}

int freePort()
{
    http::Server server(anyPort());
    REQUIRE(server.start());
    return server.port();
}

// An agent and a store that accepts every transaction.
struct AgentFixture
{
    AgentFixture()
        : heartbeats{"127.0.0.1", freePort()}
        , internal{"127.0.0.1", freePort()}
        , pool({})
        , store(anyPort())
    {
        store.route("POST", "/oleandercross/rows-tx", [this](const http::Request &) {
            ++announcements;
            return http::Response{200, R"({"ver":1,"nowMs":0})"};
        });
        REQUIRE(store.start());
        platform::DeploymentSettings settings;
        settings.node = "side";
        settings.internal = internal;
        settings.heartbeats = heartbeats;
        settings.store = {"127.0.0.1", store.port()};
        process = platform::makeDeployedAgent(settings);
        REQUIRE(process->start());
    }

    ~AgentFixture()
    {
        process->stop([] { return true; });
    }

    // Returns the status of the response, or 0 if there is none.
    int send(const std::string &path, const std::string &body)
    {
        http::Request request;
        request.method = "PUT";
        request.path = path;
        request.body = body;
        const auto response = pool.send(heartbeats, request, absl::Seconds(10));
        return response ? response->status : 0;
    }

    // Watches the agent as a leader that knows it by the name, until it has announced itself again
    // or the time has passed. Returns the number of calls that it answered.
    int watchAs(const std::string &name, absl::Duration time)
    {
        rpc::Client client({}, "oleandercross/127.0.0.1:" + std::to_string(store.port()));
        const core::BootClock clock;
        const core::Instant until = clock.now() + time;
        int answered = 0;
        while (announcements < 2 && clock.now() < until) {
            const Json::Value call = control::addressedTo(name, toJson(control::WatchCall{}));
            answered += client.call(internal, "watch", call, absl::Seconds(5)) ? 1 : 0;
            absl::SleepFor(absl::Milliseconds(50));
        }
        return answered;
    }

    const http::Endpoint heartbeats;
    const http::Endpoint internal;
    http::ClientPool pool;
    std::atomic<int> announcements = 0;
    http::Server store;
    std::unique_ptr<daemon::Process> process;
};

} // namespace

// Guards against a report of another writer that ends the agent, or makes it refuse the reports of
// its worker.
TEST_CASE("an agent refuses odd reports and goes on accepting true ones")
{
    AgentFixture f;
    const std::string nested = std::string(2000000, '[') + std::string(2000000, ']');
    const std::string path = std::string(Path) + "i-1";
    for (const std::string &body :
         {std::string(), std::string("7"), std::string("\xff\xfe\x00\x01", 4), nested,
          std::string(4000000, '['), std::string(1000, '9')}) {
        CAPTURE(body.substr(0, 20), body.size());
        CHECK(f.send(path, body) == 400);
        CHECK(f.send(path, Heartbeat) == 200);
    }
    CHECK(f.send(path, std::string(5 << 20, ' ')) >= 400);
    for (const std::string &id :
         {std::string("a%0d%0aX:%20y"), std::string("a%00b"), std::string("%ff%fe"),
          std::string("a%20b"), std::string(4000, 'i')}) {
        CAPTURE(id.substr(0, 20), id.size());
        CHECK(f.send(Path + id, Heartbeat) == 400);
        CHECK(f.send(path, Heartbeat) == 200);
    }
}

// Guards against a row of another writer that gives the address of an agent another name: the
// leader then knows the agent by a name under which no order applies, until the agent announces
// itself again.
TEST_CASE("an agent that is called by another name announces itself again")
{
    AgentFixture f;
    CHECK(f.watchAs("odd", absl::Seconds(60)) == 0);
    CHECK(f.announcements == 2);
}

// Guards against announcements while all is well, each of which is a transaction of the store.
TEST_CASE("an agent that is called by its name announces itself once")
{
    AgentFixture f;
    CHECK(f.watchAs("side", absl::Seconds(5)) > 0);
    CHECK(f.announcements == 1);
}
