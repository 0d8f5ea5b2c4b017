#include <oleandercross/config/manifestdelta.h>

#include <oleandercross/config/manifestcodec.h>
#include <oleandercross/core/resultcode.h>

#include <catch2/catch.hpp>

using namespace oleandercross;
using namespace oleandercross::config;
using core::ResultCode;

namespace {

Account account(const char *name, int weight)
{
    Account result;
    result.name = core::AccountId(name);
    result.tokenHashes = {std::string("hash-of-") + name};
    result.weight = weight;
    return result;
}

Manifest base()
{
    Manifest manifest;
    manifest.dataCentres = {{core::DataCentreId("brum"), 1, 3, {8, 32, 65536}}};
    manifest.accounts = {account("families", 1), account("venues", 1)};
    manifest.drainWorkers = {core::WorkerId("worker-1")};
    return manifest;
}

Manifest target()
{
    Manifest manifest = base();
    manifest.accounts = {account("agencies", 2), account("families", 5)};
    manifest.services = {
        {core::ServiceId("desk"), {core::AccountId("families")}, absl::Seconds(2)}};
    manifest.drainWorkers = {core::WorkerId("worker-2")};
    manifest.drainMinions = {core::MinionId("desk-1")};
    return manifest;
}

} // namespace

TEST_CASE("a delta lists added, changed and removed elements")
{
    const ManifestDelta delta = deltaBetween(base(), 4, target(), 7);
    CHECK(delta.baseRevision == 4);
    CHECK(delta.targetRevision == 7);
    CHECK(delta.dataCentres.empty());
    CHECK(delta.accounts.added == std::vector<Account>{account("agencies", 2)});
    CHECK(delta.accounts.changed == std::vector<Account>{account("families", 5)});
    CHECK(delta.accounts.removed == std::vector<core::AccountId>{core::AccountId("venues")});
    CHECK(delta.services.added.size() == 1);
    CHECK(delta.drainWorkers.added == std::vector<core::WorkerId>{core::WorkerId("worker-2")});
    CHECK(delta.drainWorkers.removed == std::vector<core::WorkerId>{core::WorkerId("worker-1")});
    CHECK_FALSE(delta.empty());
    CHECK(deltaBetween(base(), 4, base(), 5).empty());
}

// Guards against a node that applies a delta to a revision other than its base.
TEST_CASE("a delta applies only to its base and produces only its target")
{
    ManifestDelta delta = deltaBetween(base(), 1, target(), 2);
    CHECK(apply(delta, base()) == target());
    CHECK_FALSE(apply(delta, target()));
    CHECK(core::lastReason().code == ResultCode::VersionConflict);
    delta.accounts.changed.clear();
    CHECK_FALSE(apply(delta, base()));
    CHECK(core::lastReason().code == ResultCode::BadAnswer);
}

// Guards against digests that depend on the order of lists or omit a member.
TEST_CASE("the digest covers all members but not their order")
{
    Manifest reordered = base();
    std::swap(reordered.accounts[0], reordered.accounts[1]);
    CHECK(digest(reordered) == digest(base()));
    const auto change = GENERATE(values<void (*)(Manifest &)>({
        [](Manifest &m) { m.dataCentres[0].racks = 9; },
        [](Manifest &m) { m.dataCentres[0].workersPerRack = 9; },
        [](Manifest &m) { m.dataCentres[0].perWorker.accelerators = 9; },
        [](Manifest &m) { m.dataCentres[0].perWorker.cores = 9; },
        [](Manifest &m) { m.dataCentres[0].perWorker.memoryMb = 9; },
        [](Manifest &m) { m.accounts[0].tokenHashes = {"x"}; },
        [](Manifest &m) { m.accounts[0].weight = 9; },
        [](Manifest &m) { m.accounts[0].requestsPerSecond = 9; },
        [](Manifest &m) {
            m.accounts[0].teams = {{core::TeamId("t"), 1}};
        },
        [](Manifest &m) {
            m.accounts[0].guarantees = {{core::DataCentreId("brum"), Level::Pair, 1}};
        },
        [](Manifest &m) {
            m.services = {{core::ServiceId("s"), {}, absl::Seconds(1)}};
        },
        [](Manifest &m) { m.drainWorkers.clear(); },
        [](Manifest &m) { m.drainMinions = {core::MinionId("worker-1")}; },
    }));
    Manifest changed = base();
    change(changed);
    CHECK(digest(changed) != digest(base()));
}

TEST_CASE("manifests and deltas survive a JSON round trip")
{
    CHECK(decodeManifest(encode(target())) == target());
    const ManifestDelta delta = deltaBetween(base(), 1, target(), 2);
    CHECK(decodeManifestDelta(encode(delta)) == delta);
}

// Guards against malformed messages that are decoded as an empty configuration.
TEST_CASE("malformed JSON manifests are rejected")
{
    const auto damage = GENERATE(values<void (*)(Json::Value &)>({
        [](Json::Value &m) { m = Json::Value(Json::arrayValue); },
        [](Json::Value &m) { m["accounts"] = "x"; },
        [](Json::Value &m) { m["accounts"][0] = 1; },
        [](Json::Value &m) { m["accounts"][0]["weight"] = Json::Int64(1) << 40; },
        [](Json::Value &m) { m["accounts"][0]["guarantees"].append(Json::objectValue); },
        [](Json::Value &m) { m["drainWorkers"][0] = 1; },
        [](Json::Value &m) { m["services"][0].removeMember("name"); },
        [](Json::Value &m) { m["dataCentres"][0]["perWorker"] = 1; },
    }));
    Json::Value manifest = encode(target());
    damage(manifest);
    CHECK_FALSE(decodeManifest(manifest));
    CHECK(core::lastReason().code == ResultCode::BadField);
}

TEST_CASE("malformed JSON deltas are rejected")
{
    const auto damage = GENERATE(values<void (*)(Json::Value &)>({
        [](Json::Value &d) { d = "x"; },
        [](Json::Value &d) { d.removeMember("baseRevision"); },
        [](Json::Value &d) { d.removeMember("targetRevision"); },
        [](Json::Value &d) { d.removeMember("baseDigest"); },
        [](Json::Value &d) { d.removeMember("targetDigest"); },
        [](Json::Value &d) { d["accounts"] = Json::Value(Json::arrayValue); },
        [](Json::Value &d) { d["accounts"]["removed"][0] = 1; },
    }));
    Json::Value delta = encode(deltaBetween(base(), 1, target(), 2));
    damage(delta);
    CHECK_FALSE(decodeManifestDelta(delta));
    CHECK(core::lastReason().code == ResultCode::BadField);
}
