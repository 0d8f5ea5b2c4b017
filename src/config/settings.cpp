#include <oleandercross/config/settings.h>

#include "mapreader.h"
#include <oleandercross/config/file.h>

#include <absl/container/flat_hash_set.h>
#include <absl/strings/str_cat.h>

namespace oleandercross::config {

namespace {

using core::ResultCode;
using detail::Errors;
using detail::MapReader;
using detail::YamlNode;

constexpr std::size_t MinSharedKeyLength = 16;
constexpr detail::Range SlotsPerMinionRange{1, 1024};
constexpr detail::Range ConnectionsPerMinionRange{1, 4096};
constexpr detail::Range ConnectionsPerProcessRange{8, 16384};
constexpr detail::Range BodyBytesRange{1 << 10, 64 << 20};

EntryAddress readEntry(Errors &errors, const YamlNode &node)
{
    MapReader map(errors, node, {"id", "dataCentre", "rpc"});
    EntryAddress entry;
    entry.id = map.name<core::EntryId>("id");
    entry.dataCentre = map.name<core::DataCentreId>("dataCentre");
    entry.rpc = map.endpoint("rpc");
    return entry;
}

PlatformSettings readPlatform(Errors &errors, const YamlNode &node)
{
    MapReader map(errors, node, {"tables", "objects", "traces"});
    PlatformSettings platform;
    platform.tables = map.endpoint("tables");
    platform.objects = map.endpoint("objects");
    if (map.optional("traces"))
        platform.traces = map.endpoint("traces");
    return platform;
}

WorkerSettings readWorker(Errors &errors, const YamlNode &node)
{
    MapReader map(errors, node, {"id", "rack", "resources", "control"});
    WorkerSettings worker;
    worker.id = map.name<core::WorkerId>("id");
    worker.rack = map.name<core::RackId>("rack");
    if (const YamlNode *resources = map.required("resources"))
        worker.resources = detail::readResources(errors, *resources);
    worker.control = map.endpoint("control");
    return worker;
}

MinionSettings readMinion(Errors &errors, const YamlNode &node)
{
    MapReader map(errors, node, {"id", "service", "slots", "connections", "endpoint"});
    MinionSettings minion;
    minion.id = map.name<core::MinionId>("id");
    minion.service = map.name<core::ServiceId>("service");
    minion.slots = static_cast<int>(map.integer("slots", SlotsPerMinionRange, minion.slots));
    minion.connections =
        static_cast<int>(map.integer("connections", ConnectionsPerMinionRange, minion.connections));
    minion.endpoint = map.endpoint("endpoint");
    return minion;
}

http::TlsFiles readTls(Errors &errors, const YamlNode &node)
{
    MapReader map(errors, node, {"certificateFile", "keyFile", "authorityFile"});
    http::TlsFiles tls;
    tls.certificateFile = map.text("certificateFile");
    tls.keyFile = map.text("keyFile");
    if (map.optional("authorityFile"))
        tls.authorityFile = map.text("authorityFile");
    return tls;
}

std::vector<EntryAddress> readEntries(Errors &errors, MapReader &map, const Settings &settings)
{
    const std::vector<YamlNode> &nodes = map.requiredList("entries");
    std::vector<EntryAddress> entries;
    absl::flat_hash_set<std::string> ids;
    absl::flat_hash_set<std::string> addresses;
    for (const YamlNode &node : nodes) {
        EntryAddress entry = readEntry(errors, node);
        if (!ids.insert(entry.id.str()).second)
            errors.report(ResultCode::ConfigDuplicateKey, node.line,
                          absl::StrCat("entry '", entry.id.str(), "' occurs twice"));
        if (!addresses.insert(http::toString(entry.rpc)).second)
            errors.report(ResultCode::ConfigDuplicateKey, node.line,
                          absl::StrCat("address ", http::toString(entry.rpc), " occurs twice"));
        if (settings.role == Role::Agent && entry.dataCentre != settings.dataCentre)
            errors.report(ResultCode::ConfigOutOfRange, node.line,
                          "an agent must list only entries of its own data centre");
        entries.push_back(std::move(entry));
    }
    if (entries.empty())
        errors.report(ResultCode::ConfigMissingValue, map.line("entries"),
                      "at least one entry is required");
    return entries;
}

// Checks that the list of entries, which all entries share, contains this entry with the same data
// centre and port.
void checkOwnEntry(Errors &errors, const MapReader &map, const Settings &settings)
{
    for (const EntryAddress &entry : settings.entries) {
        if (entry.id.str() != settings.id)
            continue;
        if (entry.dataCentre != settings.dataCentre)
            errors.report(ResultCode::ConfigOutOfRange, map.line("dataCentre"),
                          "dataCentre differs from the one listed for this entry");
        if (entry.rpc.port != settings.rpcListen.port)
            errors.report(ResultCode::ConfigOutOfRange, map.line("rpcListen"),
                          "rpcListen has a different port than the address listed for this entry");
        return;
    }
    errors.report(ResultCode::ConfigUnknownReference, map.line("id"),
                  absl::StrCat("entry '", settings.id, "' is not listed in entries"));
}

std::vector<MinionSettings> readMinions(Errors &errors, MapReader &map)
{
    std::vector<MinionSettings> minions;
    absl::flat_hash_set<std::string> ids;
    absl::flat_hash_set<std::string> addresses;
    for (const YamlNode &node : map.list("minions")) {
        MinionSettings minion = readMinion(errors, node);
        if (!ids.insert(minion.id.str()).second)
            errors.report(ResultCode::ConfigDuplicateKey, node.line,
                          absl::StrCat("minion '", minion.id.str(), "' occurs twice"));
        if (!addresses.insert(http::toString(minion.endpoint)).second)
            errors.report(
                ResultCode::ConfigDuplicateKey, node.line,
                absl::StrCat("address ", http::toString(minion.endpoint), " occurs twice"));
        minions.push_back(std::move(minion));
    }
    return minions;
}

void readEntrySettings(Errors &errors, MapReader &map, Settings &settings)
{
    settings.listen = map.endpoint("listen");
    if (const YamlNode *hash = map.required("operatorTokenHash"))
        settings.operatorTokenHash = detail::readDigest(errors, *hash, "operatorTokenHash");
    settings.entries = readEntries(errors, map, settings);
    checkOwnEntry(errors, map, settings);
    if (settings.listen == settings.rpcListen)
        errors.report(ResultCode::ConfigDuplicateKey, map.line("rpcListen"),
                      "listen and rpcListen are the same address");
}

void readAgentSettings(Errors &errors, MapReader &map, Settings &settings)
{
    settings.entries = readEntries(errors, map, settings);
    if (const YamlNode *worker = map.optional("worker"))
        settings.worker = readWorker(errors, *worker);
    settings.minions = readMinions(errors, map);
    if (!settings.worker && settings.minions.empty())
        errors.report(ResultCode::ConfigMissingValue, map.line(),
                      "an agent needs a worker or minions");
}

void readCommonSettings(Errors &errors, MapReader &map, Settings &settings)
{
    if (const YamlNode *id = map.required("id"))
        settings.id = detail::readName(errors, *id, "id");
    settings.dataCentre = map.name<core::DataCentreId>("dataCentre");
    settings.rpcListen = map.endpoint("rpcListen");
    settings.sharedKey = map.text("sharedKey");
    if (settings.sharedKey.size() < MinSharedKeyLength)
        errors.report(
            ResultCode::ConfigOutOfRange, map.line("sharedKey"),
            absl::StrCat("sharedKey is shorter than ", MinSharedKeyLength, " characters"));
    if (const YamlNode *platform = map.required("platform"))
        settings.platform = readPlatform(errors, *platform);
    if (const YamlNode *tls = map.optional("tls"))
        settings.tls = readTls(errors, *tls);
    settings.maxConnections = static_cast<int>(
        map.integer("maxConnections", ConnectionsPerProcessRange, settings.maxConnections));
    settings.maxBodyBytes = static_cast<std::size_t>(map.integer(
        "maxBodyBytes", BodyBytesRange, static_cast<std::int64_t>(settings.maxBodyBytes)));
}

MapReader makeReader(Role role, Errors &errors, const YamlNode &root)
{
    if (role == Role::Entry)
        return {errors,
                root,
                {"id", "dataCentre", "listen", "rpcListen", "sharedKey", "operatorTokenHash",
                 "entries", "platform", "tls", "maxConnections", "maxBodyBytes"}};
    return {errors,
            root,
            {"id", "dataCentre", "rpcListen", "sharedKey", "entries", "platform", "worker",
             "minions", "tls", "maxConnections", "maxBodyBytes"}};
}

} // namespace

std::optional<Settings> parseSettings(const std::string &yaml, Role role,
                                      const std::string &fileName)
{
    const std::optional<YamlNode> root = detail::parseYaml(yaml, fileName);
    if (!root)
        return std::nullopt;
    Errors errors(fileName);
    MapReader map = makeReader(role, errors, *root);
    Settings settings;
    settings.role = role;
    readCommonSettings(errors, map, settings);
    if (role == Role::Entry)
        readEntrySettings(errors, map, settings);
    else
        readAgentSettings(errors, map, settings);
    if (errors.first())
        return core::fail(*errors.first());
    return settings;
}

std::optional<Settings> loadSettings(const std::string &fileName, Role role)
{
    const std::optional<std::string> yaml = readFile(fileName);
    if (!yaml)
        return std::nullopt;
    return parseSettings(*yaml, role, fileName);
}

} // namespace oleandercross::config
