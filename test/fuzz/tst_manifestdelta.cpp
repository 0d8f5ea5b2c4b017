#include <oleandercross/config/manifestcodec.h>
#include <oleandercross/config/manifestdelta.h>

#include <oleandercross/config/settings.h>
#include <oleandercross/core/json.h>
#include <oleandercross/core/resultcode.h>

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <algorithm>

using namespace oleandercross;
using namespace oleandercross::config;

namespace {

const std::string ManifestYaml = R"(dataCentres:
  - {name: brum, racks: 1, workersPerRack: 3, perWorker: {accelerators: 8, cores: 32, memoryMb: 9}}
accounts:
  - name: families
    tokenHashes: [00000000000000000000000000000000000000000000000000000000000000cc]
    guarantees:
      - {dataCentre: brum, level: worker, count: 1}
    teams:
      - {name: rota, acceleratorQuota: 8}
services:
  - name: desk
    accounts: [families]
    defaultDeadline: 0.25
drainWorkers: [worker-1]
)";

const std::string AgentYaml = R"(id: agent-1
dataCentre: brum
rpcListen: 127.0.0.1:7201
sharedKey: sixteen-letters-or-more
entries:
  - {id: entry-1, dataCentre: brum, rpc: "[::1]:7101"}
platform: {tables: 127.0.0.1:7150, objects: 127.0.0.1:7151}
worker:
  id: worker-1
  rack: rack-1
  resources: {accelerators: 8, cores: 32, memoryMb: 65536}
  control: 127.0.0.1:7301
minions:
  - {id: desk-1, service: desk, endpoint: 127.0.0.1:7401}
)";

// Draws from a small set of names, so that two manifests have many names in common.
template <typename Id>
Id anyId()
{
    return Id("n" + std::to_string(*rc::gen::inRange(0, 6)));
}

template <typename Part, typename Make>
std::vector<Part> anyParts(Make make)
{
    std::vector<Part> parts;
    const int count = *rc::gen::inRange(0, 6);
    for (int i = 0; i < count; ++i) {
        Part part = make();
        const bool isDuplicate = std::any_of(
            parts.begin(), parts.end(), [&](const Part &other) { return other.name == part.name; });
        if (!isDuplicate)
            parts.push_back(std::move(part));
    }
    return parts;
}

template <typename Id>
std::vector<Id> anyIds()
{
    std::vector<Id> ids;
    const int count = *rc::gen::inRange(0, 6);
    for (int i = 0; i < count; ++i) {
        Id id = anyId<Id>();
        if (std::find(ids.begin(), ids.end(), id) == ids.end())
            ids.push_back(std::move(id));
    }
    return ids;
}

PlannedDataCentre anyDataCentre()
{
    return {anyId<core::DataCentreId>(),
            *rc::gen::inRange(1, 3),
            *rc::gen::inRange(1, 3),
            {*rc::gen::inRange(0, 9), 32, *rc::gen::inRange(1, 4)}};
}

Team anyTeam()
{
    return {anyId<core::TeamId>(), *rc::gen::inRange(0, 3)};
}

Account anyAccount()
{
    Account account;
    account.name = anyId<core::AccountId>();
    for (const core::TeamId &text : anyIds<core::TeamId>())
        account.tokenHashes.push_back(text.str());
    for (const core::DataCentreId &dataCentre : anyIds<core::DataCentreId>())
        account.guarantees.push_back(
            {dataCentre, static_cast<Level>(*rc::gen::inRange(0, 5)), *rc::gen::inRange(1, 3)});
    account.teams = anyParts<Team>(anyTeam);
    account.weight = *rc::gen::inRange(1, 3);
    account.requestsPerSecond = *rc::gen::inRange(0, 2);
    return account;
}

Service anyService()
{
    return {anyId<core::ServiceId>(), anyIds<core::AccountId>(),
            absl::Milliseconds(*rc::gen::inRange(1, 4))};
}

Manifest anyManifest()
{
    Manifest manifest;
    manifest.dataCentres = anyParts<PlannedDataCentre>(anyDataCentre);
    manifest.accounts = anyParts<Account>(anyAccount);
    manifest.services = anyParts<Service>(anyService);
    manifest.drainWorkers = anyIds<core::WorkerId>();
    manifest.drainMinions = anyIds<core::MinionId>();
    return manifest;
}

// Encodes the value, writes it as text and parses it again, as for a message.
template <typename T>
Json::Value roundTrip(const T &value)
{
    return *core::parseJson(core::writeJson(encode(value)));
}

std::string mutated(std::string text)
{
    const int edits = *rc::gen::inRange(1, 5);
    for (int i = 0; i < edits && !text.empty(); ++i) {
        const auto at = *rc::gen::inRange<std::size_t>(0, text.size());
        const auto length = *rc::gen::inRange<std::size_t>(0, 12);
        const auto insert = *rc::gen::element<std::string>(
            "", "\n", " ", ":", "-", "[", "]", "{", "}", "&a", "*a", "!x", "'", "\"", "|", ">", "?",
            "%", "\t", "#", "0", "-1", "~", "---\n", "\xff", "\xEF\xBB\xBF", "9999999999999999999");
        text.replace(at, length, insert);
    }
    return text;
}

void checkReason()
{
    const core::Reason &reason = core::lastReason();
    RC_ASSERT(static_cast<int>(reason.code) / 100 == 1);
    RC_ASSERT(reason.message.rfind("f.yaml:", 0) == 0);
    RC_ASSERT(std::isdigit(static_cast<unsigned char>(reason.message.at(7))));
}

} // namespace

// Guards against agents whose configuration differs from that of the entry that sent the delta.
TEST_CASE("a delta turns its base into its target")
{
    CHECK(rc::check("apply(delta(a, b), a) == b", [] {
        const Manifest from = anyManifest();
        const Manifest to = anyManifest();
        const ManifestDelta delta = deltaBetween(from, 1, to, 2);
        RC_ASSERT(apply(delta, from) == normalized(to));
        RC_ASSERT(delta.empty() == (normalized(from) == normalized(to)));
        RC_ASSERT((digest(from) == digest(to)) == (normalized(from) == normalized(to)));
    }));
}

TEST_CASE("manifests and deltas survive a message")
{
    CHECK(rc::check("decode(encode(x)) == x", [] {
        const Manifest from = anyManifest();
        const Manifest to = anyManifest();
        const ManifestDelta delta = deltaBetween(from, 3, to, 9);
        RC_ASSERT(decodeManifest(roundTrip(from)) == from);
        RC_ASSERT(decodeManifestDelta(roundTrip(delta)) == delta);
    }));
}

// Guards against crashes on malformed files and against errors without code and line number.
TEST_CASE("damaged files are accepted or refused with number and line")
{
    REQUIRE(parseManifest(ManifestYaml, "f.yaml"));
    REQUIRE(parseSettings(AgentYaml, Role::Agent, "f.yaml"));
    CHECK(rc::check("parse(mutated text)", [&] {
        if (!parseManifest(mutated(ManifestYaml), "f.yaml"))
            checkReason();
        if (!parseSettings(mutated(AgentYaml), Role::Agent, "f.yaml"))
            checkReason();
    }));
}
