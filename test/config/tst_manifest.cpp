#include <oleandercross/config/manifest.h>

#include "config/replacefirst.h"

#include <oleandercross/config/file.h>
#include <oleandercross/core/digest.h>
#include <oleandercross/core/resultcode.h>

#include <catch2/catch.hpp>

using namespace oleandercross;
using namespace oleandercross::config;
using core::ResultCode;
using test::replaceFirst;

namespace {

const std::string Yaml = R"(dataCentres:
  - name: brum
    racks: 2
    workersPerRack: 3
    perWorker: {accelerators: 8, cores: 32, memoryMb: 65536}
accounts:
  - name: venues
    tokenHashes:
      - 00000000000000000000000000000000000000000000000000000000000000bb
      - 00000000000000000000000000000000000000000000000000000000000000aa
    guarantees:
      - {dataCentre: brum, level: quad, count: 2}
      - {dataCentre: brum, level: pair, count: 1}
    teams:
      - {name: rota, acceleratorQuota: 8}
    weight: 3
    requestsPerSecond: 50
  - name: families
    tokenHashes: [00000000000000000000000000000000000000000000000000000000000000cc]
services:
  - name: desk
    accounts: [venues]
    defaultDeadline: 0.25
  - name: drafts
drainWorkers: [worker-2, worker-1]
)";

struct Row
{
    std::string from;
    std::string to;
    ResultCode code;
    int line;
};

} // namespace

TEST_CASE("a manifest is read and normalised")
{
    const auto manifest = parseManifest(Yaml, "m.yaml");
    REQUIRE(manifest);
    CHECK(manifest->dataCentres
          == std::vector<PlannedDataCentre>{{core::DataCentreId("brum"), 2, 3, {8, 32, 65536}}});
    REQUIRE(manifest->accounts.size() == 2);
    CHECK(manifest->accounts[0].name.str() == "families");
    const Account *venues = manifest->account(core::AccountId("venues"));
    REQUIRE(venues);
    CHECK(venues->tokenHashes.front().back() == 'a');
    CHECK(venues->guarantees
          == std::vector<Guarantee>{{core::DataCentreId("brum"), Level::Pair, 1},
                                    {core::DataCentreId("brum"), Level::Quad, 2}});
    CHECK(venues->teams == std::vector<Team>{{core::TeamId("rota"), 8}});
    CHECK(venues->weight == 3);
    CHECK(venues->requestsPerSecond == 50);
    CHECK(manifest->accounts[0].weight == 1);
    const Service *desk = manifest->service(core::ServiceId("desk"));
    REQUIRE(desk);
    CHECK(desk->defaultDeadline == absl::Milliseconds(250));
    CHECK(manifest->service(core::ServiceId("drafts"))->defaultDeadline == absl::Seconds(10));
    CHECK(manifest->service(core::ServiceId("none")) == nullptr);
    CHECK(manifest->drainWorkers.front().str() == "worker-1");
    CHECK(manifest->drainMinions.empty());
}

TEST_CASE("an account is found by the digest of its token")
{
    const std::string yaml =
        replaceFirst(Yaml, "00000000000000000000000000000000000000000000000000000000000000cc",
                     core::sha256Hex("secret"));
    const auto manifest = parseManifest(yaml, "m.yaml");
    REQUIRE(manifest);
    const Account *account = manifest->accountForToken("secret");
    REQUIRE(account);
    CHECK(account->name.str() == "families");
    CHECK(manifest->accountForToken("Secret") == nullptr);
    CHECK(manifest->accountForToken("") == nullptr);
}

// Guards against errors that are accepted or reported with the wrong code or line.
TEST_CASE("invalid manifests are rejected with code and line")
{
    const auto row = GENERATE(values<Row>({
        {"racks: 2", "racks: }", ResultCode::ConfigSyntax, 3},
        {"weight: 3", "wait: 3", ResultCode::ConfigUnknownKey, 16},
        {"level: quad", "level: quad, size: 1", ResultCode::ConfigUnknownKey, 12},
        {"racks: 2", "racks: two", ResultCode::ConfigWrongType, 3},
        {"racks: 2", "racks: 0x2", ResultCode::ConfigWrongType, 3},
        {"accounts: [venues]", "accounts: venues", ResultCode::ConfigWrongType, 22},
        {"defaultDeadline: 0.25", "defaultDeadline: 1s", ResultCode::ConfigWrongType, 23},
        {"defaultDeadline: 0.25", "defaultDeadline: nan", ResultCode::ConfigWrongType, 23},
        {"    racks: 2\n", "", ResultCode::ConfigMissingValue, 2},
        {"name: desk", "name:", ResultCode::ConfigMissingValue, 21},
        {"[00000000000000000000000000000000000000000000000000000000000000cc]", "[]",
         ResultCode::ConfigMissingValue, 19},
        {"racks: 2", "racks: 0", ResultCode::ConfigOutOfRange, 3},
        {"racks: 2", "racks: -2", ResultCode::ConfigOutOfRange, 3},
        {"racks: 2", "racks: 1025", ResultCode::ConfigOutOfRange, 3},
        {"accelerators: 8", "accelerators: 65", ResultCode::ConfigOutOfRange, 5},
        {"count: 2", "count: 0", ResultCode::ConfigOutOfRange, 12},
        {"level: quad", "level: octet", ResultCode::ConfigOutOfRange, 12},
        {"Quota: 8", "Quota: -1", ResultCode::ConfigOutOfRange, 15},
        {"weight: 3", "weight: 0", ResultCode::ConfigOutOfRange, 16},
        {"Second: 50", "Second: -1", ResultCode::ConfigOutOfRange, 17},
        {"Deadline: 0.25", "Deadline: 0", ResultCode::ConfigOutOfRange, 23},
        {"Deadline: 0.25", "Deadline: -1.5", ResultCode::ConfigOutOfRange, 23},
        {"Deadline: 0.25", "Deadline: 600.5", ResultCode::ConfigOutOfRange, 23},
        {"bb\n", "b\n", ResultCode::ConfigOutOfRange, 9},
        {"aa\n", "AA\n", ResultCode::ConfigOutOfRange, 10},
        {"name: desk", "name: front desk", ResultCode::ConfigOutOfRange, 21},
        {"worker-2", "worker/2", ResultCode::ConfigOutOfRange, 25},
        {"racks: 2", "racks: 2\n    racks: 2", ResultCode::ConfigDuplicateKey, 4},
        {"name: families", "name: venues", ResultCode::ConfigDuplicateKey, 18},
        {"name: drafts", "name: desk", ResultCode::ConfigDuplicateKey, 24},
        {"cc]", "aa]", ResultCode::ConfigDuplicateKey, 19},
        {"level: pair", "level: quad", ResultCode::ConfigDuplicateKey, 13},
        {"Quota: 8}", "Quota: 8}\n      - {name: rota, acceleratorQuota: 1}",
         ResultCode::ConfigDuplicateKey, 16},
        {"worker-2", "worker-1", ResultCode::ConfigDuplicateKey, 25},
        {"[venues]", "[venues, venues]", ResultCode::ConfigDuplicateKey, 22},
        {"{dataCentre: brum, level: quad", "{dataCentre: shires, level: quad",
         ResultCode::ConfigUnknownReference, 12},
        {"[venues]", "[schools]", ResultCode::ConfigUnknownReference, 22},
        {"count: 2", "count: 13", ResultCode::ConfigGuaranteesTooLarge, 12},
        {"level: pair, count: 1", "level: pair, count: 21", ResultCode::ConfigGuaranteesTooLarge,
         13},
    }));
    CAPTURE(row.from, row.to);
    CHECK_FALSE(parseManifest(replaceFirst(Yaml, row.from, row.to), "m.yaml"));
    const core::Reason reason = core::lastReason();
    CAPTURE(reason.message);
    CHECK(reason.code == row.code);
    CHECK(reason.message.find("m.yaml:" + std::to_string(row.line) + ": ") == 0);
}

// Guards against a check that counts accelerators but ignores adjacency.
TEST_CASE("guarantees are placed together by buddy allocation")
{
    struct Cells
    {
        int racks, workersPerRack, accelerators;
        int rack, worker, quad, pair, single;
        bool fits;
    };
    const auto cells = GENERATE(values<Cells>({
        {2, 3, 8, 2, 0, 0, 0, 0, true},
        {2, 3, 8, 2, 0, 0, 0, 1, false},
        {2, 3, 8, 1, 3, 0, 0, 0, true},
        {2, 3, 8, 1, 4, 0, 0, 0, false},
        {1, 1, 8, 0, 0, 1, 1, 2, true},
        {1, 1, 8, 0, 0, 1, 2, 1, false},
        {1, 1, 8, 0, 0, 2, 0, 0, true},
        {1, 1, 8, 0, 0, 3, 0, 0, false},
        {1, 1, 6, 0, 0, 1, 1, 0, true},
        {1, 1, 6, 0, 0, 0, 3, 0, true},
        {1, 1, 6, 0, 0, 2, 0, 0, false},
        {1, 2, 3, 0, 0, 0, 2, 2, true},
        {1, 2, 3, 0, 0, 0, 3, 0, false},
        {1, 2, 3, 0, 0, 1, 0, 0, false},
        {1, 4, 2, 0, 0, 1, 0, 0, false},
        {1, 1, 0, 0, 0, 0, 0, 1, false},
        {1024, 1024, 8, 1024, 0, 0, 0, 0, true},
    }));
    std::string yaml = "dataCentres: [{name: a, racks: " + std::to_string(cells.racks)
        + ", workersPerRack: " + std::to_string(cells.workersPerRack)
        + ", perWorker: {accelerators: " + std::to_string(cells.accelerators)
        + ", cores: 1, memoryMb: 1}}]\nservices: []\naccounts:\n";
    const std::vector<std::pair<const char *, int>> counts = {{"rack", cells.rack},
                                                              {"worker", cells.worker},
                                                              {"quad", cells.quad},
                                                              {"pair", cells.pair},
                                                              {"accelerator", cells.single}};
    // One account per level, so that the check has to include all accounts.
    for (const auto &[level, count] : counts) {
        if (count == 0)
            continue;
        yaml += std::string("  - name: ") + level + "\n    tokenHashes: [" + core::sha256Hex(level)
            + "]\n    guarantees: [{dataCentre: a, level: " + level
            + ", count: " + std::to_string(count) + "}]\n";
    }
    CAPTURE(yaml);
    CHECK(parseManifest(yaml, "m.yaml").has_value() == cells.fits);
    if (!cells.fits)
        CHECK(core::lastReason().code == ResultCode::ConfigGuaranteesTooLarge);
}

TEST_CASE("levels are converted to names and back")
{
    const auto level =
        GENERATE(Level::Accelerator, Level::Pair, Level::Quad, Level::Worker, Level::Rack);
    CHECK(levelFromString(toString(level)) == level);
    CHECK_FALSE(levelFromString("Pair"));
}

// Guards against examples that the parser no longer accepts.
TEST_CASE("all example manifests are accepted")
{
    const std::string name = GENERATE(values<std::string>({"wrekin", "prairie"}));
    const std::string path = SOURCE_DIR "/examples/" + name + "/manifest.yaml";
    const auto yaml = readFile(path);
    REQUIRE(yaml);
    const auto manifest = parseManifest(*yaml, path);
    REQUIRE(manifest);
    CHECK(manifest->dataCentres.size() == 3);
    CHECK(manifest->accounts.size() == 4);
    CHECK_FALSE(manifest->services.empty());
    CHECK_FALSE(manifest->drainWorkers.empty());
    for (const Account &account : manifest->accounts) {
        CHECK(account.guarantees.size() == 3);
        CHECK(manifest->accountForToken(account.name.str() + "-token") == &account);
    }
}
