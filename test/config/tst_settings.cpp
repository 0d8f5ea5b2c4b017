#include <oleandercross/config/settings.h>

#include "config/replacefirst.h"

#include <oleandercross/core/resultcode.h>

#include <catch2/catch.hpp>

using namespace oleandercross;
using namespace oleandercross::config;
using core::ResultCode;
using test::replaceFirst;

namespace {

const std::string EntryYaml = R"(id: entry-1
dataCentre: brum
listen: 127.0.0.1:7100
rpcListen: 127.0.0.1:7101
sharedKey: sixteen-letters-or-more
operatorTokenHash: 0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef
entries:
  - id: entry-1
    dataCentre: brum
    rpc: 127.0.0.1:7101
  - id: entry-2
    dataCentre: shires
    rpc: "[::1]:7102"
platform:
  tables: 127.0.0.1:7150
  objects: 127.0.0.1:7151
)";

const std::string AgentYaml = R"(id: agent-1
dataCentre: brum
rpcListen: 127.0.0.1:7201
sharedKey: sixteen-letters-or-more
entries:
  - {id: entry-1, dataCentre: brum, rpc: 127.0.0.1:7101}
platform: {tables: 127.0.0.1:7150, objects: 127.0.0.1:7151, traces: 127.0.0.1:7152}
worker:
  id: worker-1
  rack: rack-1
  resources: {accelerators: 8, cores: 32, memoryMb: 65536}
  control: 127.0.0.1:7301
minions:
  - {id: desk-1, service: desk, slots: 4, connections: 16, endpoint: 127.0.0.1:7401}
  - {id: desk-2, service: desk, endpoint: 127.0.0.1:7402}
tls: {certificateFile: cert.pem, keyFile: key.pem}
maxConnections: 64
maxBodyBytes: 4096
)";

struct Row
{
    std::string from;
    std::string to;
    ResultCode code;
    int line;
};

void checkRejected(const std::string &base, Role role, const Row &row)
{
    CAPTURE(row.from, row.to);
    CHECK_FALSE(parseSettings(replaceFirst(base, row.from, row.to), role, "s.yaml"));
    const core::Reason reason = core::lastReason();
    CAPTURE(reason.message);
    CHECK(reason.code == row.code);
    CHECK(reason.message.find("s.yaml:" + std::to_string(row.line) + ": ") == 0);
}

} // namespace

TEST_CASE("settings of an entry are read with their defaults")
{
    const auto settings = parseSettings(EntryYaml, Role::Entry, "s.yaml");
    REQUIRE(settings);
    Settings expected;
    expected.role = Role::Entry;
    expected.id = "entry-1";
    expected.dataCentre = core::DataCentreId("brum");
    expected.listen = http::Endpoint{"127.0.0.1", 7100};
    expected.rpcListen = {"127.0.0.1", 7101};
    expected.sharedKey = "sixteen-letters-or-more";
    expected.operatorTokenHash = "0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef";
    expected.entries = {{core::EntryId("entry-1"), core::DataCentreId("brum"), {"127.0.0.1", 7101}},
                        {core::EntryId("entry-2"), core::DataCentreId("shires"), {"::1", 7102}}};
    expected.platform.tables = {"127.0.0.1", 7150};
    expected.platform.objects = {"127.0.0.1", 7151};
    CHECK(*settings == expected);
}

TEST_CASE("settings of an agent are read")
{
    const auto settings = parseSettings(AgentYaml, Role::Agent, "s.yaml");
    REQUIRE(settings);
    CHECK(settings->worker
          == WorkerSettings{core::WorkerId("worker-1"),
                            core::RackId("rack-1"),
                            {8, 32, 65536},
                            {"127.0.0.1", 7301}});
    REQUIRE(settings->minions.size() == 2);
    CHECK(settings->minions[0].slots == 4);
    CHECK(settings->minions[0].connections == 16);
    CHECK(settings->minions[1].slots == 8);
    CHECK(settings->minions[1].connections == 64);
    CHECK(settings->platform.traces == http::Endpoint{"127.0.0.1", 7152});
    CHECK(settings->tls == http::TlsFiles{"cert.pem", "key.pem", ""});
    CHECK(settings->maxConnections == 64);
    CHECK(settings->maxBodyBytes == 4096);
}

// Guards against errors that are accepted or reported with the wrong code or line.
TEST_CASE("invalid settings of an entry are rejected with code and line")
{
    const auto row = GENERATE(values<Row>({
        {"sharedKey: sixteen", "sharedKey: [", ResultCode::ConfigSyntax, 6},
        {"id: entry-1", "id: &a entry-1", ResultCode::ConfigSyntax, 1},
        {"id: entry-1", "id: !!str entry-1", ResultCode::ConfigSyntax, 1},
        {"dataCentre: brum", "dataCentre: brum\n---\nid: x", ResultCode::ConfigSyntax, 4},
        {"dataCentre: brum", "datacentre: brum", ResultCode::ConfigUnknownKey, 2},
        {"dataCentre: brum", "dataCentre: brum\nworker: {}", ResultCode::ConfigUnknownKey, 3},
        {"    rpc: 127", "    tables: 127", ResultCode::ConfigUnknownKey, 10},
        {"listen: 127.0.0.1:7100\n", "", ResultCode::ConfigMissingValue, 1},
        {"id: entry-1", "id:", ResultCode::ConfigMissingValue, 1},
        {"id: entry-1", "id: ''", ResultCode::ConfigMissingValue, 1},
        {"  objects: 127.0.0.1:7151\n", "", ResultCode::ConfigMissingValue, 15},
        {"dataCentre: brum", "dataCentre: [brum]", ResultCode::ConfigWrongType, 2},
        {"  - id: entry-1", "  - entry-1\n  - id: entry-1", ResultCode::ConfigWrongType, 8},
        {"platform:\n", "maxConnections: 6.5\nplatform:\n", ResultCode::ConfigWrongType, 14},
        {"platform:\n", "maxConnections: '64'\nplatform:\n", ResultCode::ConfigWrongType, 14},
        {"platform:\n", "maxConnections: 7\nplatform:\n", ResultCode::ConfigOutOfRange, 14},
        {"platform:\n", "maxConnections: -1\nplatform:\n", ResultCode::ConfigOutOfRange, 14},
        {"platform:\n", "maxBodyBytes: 99999999999999999999\nplatform:\n",
         ResultCode::ConfigOutOfRange, 14},
        {"127.0.0.1:7100", "127.0.0.1:0", ResultCode::ConfigOutOfRange, 3},
        {"127.0.0.1:7100", "127.0.0.1:65536", ResultCode::ConfigOutOfRange, 3},
        {"127.0.0.1:7100", "127.0.0.1:-1", ResultCode::ConfigOutOfRange, 3},
        {"127.0.0.1:7100", "127.0.0.1:07100", ResultCode::ConfigOutOfRange, 3},
        {"127.0.0.1:7100", "127.0.0.1", ResultCode::ConfigOutOfRange, 3},
        {"127.0.0.1:7100", "localhost:7100", ResultCode::ConfigOutOfRange, 3},
        {"[::1]:7102", "::1:7102", ResultCode::ConfigOutOfRange, 13},
        {"sixteen-letters-or-more", "fifteen-letters", ResultCode::ConfigOutOfRange, 5},
        {"Hash: 0123", "Hash: X123", ResultCode::ConfigOutOfRange, 6},
        {"id: entry-1", "id: entry_1", ResultCode::ConfigOutOfRange, 1},
        {"dataCentre: shires", "dataCentre: " + std::string(65, 'x'), ResultCode::ConfigOutOfRange,
         12},
        {"dataCentre: brum\n", "dataCentre: shires\n", ResultCode::ConfigOutOfRange, 2},
        {"rpcListen: 127.0.0.1:7101", "rpcListen: 127.0.0.1:7103", ResultCode::ConfigOutOfRange, 4},
        {"id: entry-1", "id: entry-3", ResultCode::ConfigUnknownReference, 1},
        {"dataCentre: brum", "dataCentre: brum\nid: b", ResultCode::ConfigDuplicateKey, 3},
        {"id: entry-2", "id: entry-1", ResultCode::ConfigDuplicateKey, 11},
        {"\"[::1]:7102\"", "127.0.0.1:7101", ResultCode::ConfigDuplicateKey, 11},
        {"listen: 127.0.0.1:7100", "listen: 127.0.0.1:7101", ResultCode::ConfigDuplicateKey, 4},
    }));
    checkRejected(EntryYaml, Role::Entry, row);
}

TEST_CASE("invalid settings of an agent are rejected with code and line")
{
    const auto row = GENERATE(values<Row>({
        {"rpcListen", "listen: 127.0.0.1:1\nrpcListen", ResultCode::ConfigUnknownKey, 3},
        {"dataCentre: brum, rpc", "dataCentre: shires, rpc", ResultCode::ConfigOutOfRange, 6},
        {"accelerators: 8", "accelerators: -1", ResultCode::ConfigOutOfRange, 11},
        {"cores: 32", "cores: 0", ResultCode::ConfigOutOfRange, 11},
        {"memoryMb: 65536", "memoryMb: 0", ResultCode::ConfigOutOfRange, 11},
        {"slots: 4", "slots: 0", ResultCode::ConfigOutOfRange, 14},
        {"connections: 16", "connections: 5000", ResultCode::ConfigOutOfRange, 14},
        {"id: desk-2", "id: desk-1", ResultCode::ConfigDuplicateKey, 15},
        {"7402", "7401", ResultCode::ConfigDuplicateKey, 15},
        {"  - {id: entry-1, dataCentre: brum, rpc: 127.0.0.1:7101}", "  []",
         ResultCode::ConfigMissingValue, 6},
        {"keyFile: key.pem", "keyFile:", ResultCode::ConfigMissingValue, 16},
    }));
    checkRejected(AgentYaml, Role::Agent, row);
}

TEST_CASE("an agent needs a worker or minions")
{
    const auto workerAt = AgentYaml.find("worker:");
    const auto tlsAt = AgentYaml.find("tls:");
    const std::string yaml = AgentYaml.substr(0, workerAt) + AgentYaml.substr(tlsAt);
    CHECK_FALSE(parseSettings(yaml, Role::Agent, "s.yaml"));
    CHECK(core::lastReason().code == ResultCode::ConfigMissingValue);
}

TEST_CASE("files that are not a map of bounded size and depth are rejected")
{
    struct FileRow
    {
        std::string yaml;
        ResultCode code;
    };
    const auto row = GENERATE(values<FileRow>({
        {"", ResultCode::ConfigMissingValue},
        {"# only a comment\n", ResultCode::ConfigMissingValue},
        {"- a\n", ResultCode::ConfigWrongType},
        {"text", ResultCode::ConfigWrongType},
        {"? {a: b}\n: c\n", ResultCode::ConfigWrongType},
        {"id: " + std::string(600 << 10, 'x'), ResultCode::ConfigTooLarge},
        {"id: " + std::string(17, '[') + std::string(17, ']'), ResultCode::ConfigTooLarge},
        {"id: " + std::string(100000, '['), ResultCode::ConfigTooLarge},
        {"id: &a [x]\nentries: *a\n", ResultCode::ConfigSyntax},
    }));
    CAPTURE(row.yaml.substr(0, 40));
    CHECK_FALSE(parseSettings(row.yaml, Role::Entry, "s.yaml"));
    CHECK(core::lastReason().code == row.code);
}

TEST_CASE("errors about unreadable settings contain the file name")
{
    const std::string path = GENERATE(values<std::string>({"/nonexistent/s.yaml", "/"}));
    CHECK_FALSE(loadSettings(path, Role::Entry));
    CHECK(core::lastReason().code == ResultCode::ConfigUnreadable);
    CHECK(core::lastReason().message.find(path + ":1: ") == 0);
}

// Guards against examples that the parser no longer accepts.
TEST_CASE("all example settings are accepted")
{
    struct Example
    {
        std::string directory;
        std::string dataCentre;
    };
    const auto example = GENERATE(values<Example>({{"wrekin", "brum"}, {"prairie", "regina"}}));
    const std::string prefix = SOURCE_DIR "/examples/" + example.directory + "/";
    for (const char *number : {"1", "2"}) {
        const auto entry = loadSettings(
            prefix + "entry-" + example.dataCentre + "-" + number + ".yaml", Role::Entry);
        REQUIRE(entry);
        CHECK(entry->entries.size() == 2);
    }
    for (const char *number : {"1", "2", "3"}) {
        const auto agent = loadSettings(
            prefix + "agent-" + example.dataCentre + "-" + number + ".yaml", Role::Agent);
        REQUIRE(agent);
        CHECK(agent->worker->resources.accelerators == 8);
        CHECK(agent->minions.size() == 2);
    }
}
