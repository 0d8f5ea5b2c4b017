#include <oleandercross/http/clientpool.h>
#include <platform/process.h>

#include <catch2/catch.hpp>

using namespace oleandercross;

namespace {

const char Heartbeat[] =
    R"({"service":"s","addr":"127.0.0.1:9","zone":"brum","version":"v1","slots":8,"state":"ready",)"
    R"("coldLeftMs":0,"capacity":{"cpu":32000,"memMb":65536,"gpu":8},"labels":["a","r1-3"],)"
    R"("clockMs":482113,"seq":4,"born":1780000000000})";
const char Path[] = "/oleandercross/instances/";

int freePort()
{
    http::ServerOptions options;
    options.listen = {"127.0.0.1", 0};
    http::Server server(options);
    REQUIRE(server.start());
    return server.port();
}

// An agent whose store cannot be reached.
struct AgentFixture
{
    AgentFixture()
        : heartbeats{"127.0.0.1", freePort()}
        , pool({})
    {
        platform::DeploymentSettings settings;
        settings.node = "side";
        settings.internal = {"127.0.0.1", freePort()};
        settings.heartbeats = heartbeats;
        settings.store = {"127.0.0.1", freePort()};
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

    const http::Endpoint heartbeats;
    http::ClientPool pool;
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
