#include <oleandercross/config/manifest.h>
#include <oleandercross/config/settings.h>

#include <oleandercross/core/resultcode.h>

#include <absl/strings/str_split.h>
#include <catch2/catch.hpp>

#include <fstream>
#include <map>
#include <set>
#include <string>

using namespace oleandercross;
using namespace oleandercross::config;
using Keys = std::multiset<std::string>;

namespace {

// Returns the documented keys by the heading of their table.
std::map<std::string, Keys> documentedKeys()
{
    std::ifstream file(SOURCE_DIR "/docs/CONFIGURATION.md");
    std::map<std::string, Keys> keys;
    std::string heading;
    for (std::string line; std::getline(file, line);) {
        if (line.rfind("##", 0) == 0)
            heading = line.substr(line.find(' ') + 1);
        else if (line.rfind("| `", 0) == 0)
            keys[heading].insert(line.substr(3, line.find('`', 3) - 3));
    }
    return keys;
}

// Returns the keys that the parser lists in its error about an unknown key.
Keys keysInLastReason()
{
    const std::string message = core::lastReason().message;
    const std::string intro = "expected one of ";
    const auto at = message.find(intro);
    if (core::lastReason().code != core::ResultCode::ConfigUnknownKey || at == std::string::npos)
        return {message};
    const std::vector<std::string> keys =
        absl::StrSplit(message.substr(at + intro.size()), absl::ByString(", "));
    return Keys(keys.begin(), keys.end());
}

Keys manifestKeys(const std::string &yaml)
{
    CHECK_FALSE(parseManifest(yaml, "m.yaml"));
    return keysInLastReason();
}

Keys settingsKeys(const std::string &extra, Role role)
{
    const std::string head = "id: a\ndataCentre: d\nlisten: 127.0.0.1:1\nrpcListen: 127.0.0.1:2\n"
                             "sharedKey: sixteen-letters-or-more\noperatorTokenHash: "
        + std::string(64, '0') + "\n";
    const std::string agentHead = "id: a\ndataCentre: d\nrpcListen: 127.0.0.1:2\n"
                                  "sharedKey: sixteen-letters-or-more\n";
    const std::string platform = extra.find("platform:") == std::string::npos
        ? "platform: {tables: 127.0.0.1:3, objects: 127.0.0.1:3}\n"
        : "";
    const std::string entries = extra.find("entries:") == std::string::npos
        ? "entries: [{id: a, dataCentre: d, rpc: 127.0.0.1:2}]\n"
        : "";
    const std::string &start = role == Role::Entry ? head : agentHead;
    CHECK_FALSE(parseSettings(start + platform + entries + extra, role, "s.yaml"));
    return keysInLastReason();
}

} // namespace

// Guards against keys that are undocumented or documented but removed.
TEST_CASE("docs/CONFIGURATION.md lists exactly the keys of the parsers")
{
    const std::string accounts = "dataCentres: [{name: d, racks: 1, workersPerRack: 1, perWorker: "
                                 "{accelerators: 8, cores: 1, memoryMb: 1}}]\naccounts: ";
    const std::map<std::string, Keys> actual = {
        {"Settings of an entry", settingsKeys("x: 1\n", Role::Entry)},
        {"Settings of an agent", settingsKeys("x: 1\n", Role::Agent)},
        {"An element of entries", settingsKeys("entries: [{x: 1}]\n", Role::Agent)},
        {"platform", settingsKeys("platform: {x: 1}\n", Role::Agent)},
        {"worker", settingsKeys("worker: {x: 1}\n", Role::Agent)},
        {"resources", settingsKeys("worker: {id: w, rack: r, resources: {x: 1}}\n", Role::Agent)},
        {"An element of minions", settingsKeys("minions: [{x: 1}]\n", Role::Agent)},
        {"tls", settingsKeys("tls: {x: 1}\n", Role::Agent)},
        {"Manifest", manifestKeys("x: 1\n")},
        {"An element of dataCentres", manifestKeys("dataCentres: [{x: 1}]\n")},
        {"An element of accounts", manifestKeys(accounts + "[{x: 1}]\n")},
        {"An element of guarantees",
         manifestKeys(accounts + "[{name: a, tokenHashes: [" + std::string(64, '0')
                      + "], guarantees: [{x: 1}]}]\n")},
        {"An element of teams",
         manifestKeys(accounts + "[{name: a, tokenHashes: [" + std::string(64, '0')
                      + "], teams: [{x: 1}]}]\n")},
        {"An element of services", manifestKeys(accounts + "[]\nservices: [{x: 1}]\n")},
    };
    const std::map<std::string, Keys> documented = documentedKeys();
    CHECK(documented.size() == actual.size());
    for (const auto &[heading, keys] : actual) {
        CAPTURE(heading);
        REQUIRE(documented.count(heading) == 1);
        CHECK(documented.at(heading) == keys);
    }
}
