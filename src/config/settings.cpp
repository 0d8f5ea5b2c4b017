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
constexpr detail::Range SlotsPerMinion{1, 1024};
constexpr detail::Range ConnectionsPerMinion{1, 4096};
constexpr detail::Range ConnectionsPerProcess{8, 16384};
constexpr detail::Range BodyBytes{1 << 10, 64 << 20};

EntryAddress entryOf(Errors &errors, const YamlNode &node)
{
    MapReader map(errors, node, {"id", "dataCentre", "rpc"});
    EntryAddress entry;
    entry.id = map.name<core::EntryId>("id");
    entry.dataCentre = map.name<core::DataCentreId>("dataCentre");
    entry.rpc = map.endpoint("rpc");
    return entry;
}

PlatformSettings platformOf(Errors &errors, const YamlNode &node)
{
    MapReader map(errors, node, {"tables", "objects", "traces"});
    PlatformSettings platform;
    platform.tables = map.endpoint("tables");
    platform.objects = map.endpoint("objects");
    if (map.optional("traces"))
        platform.traces = map.endpoint("traces");
    return platform;
}

WorkerSettings workerOf(Errors &errors, const YamlNode &node)
{
    MapReader map(errors, node, {"id", "rack", "resources", "control"});
    WorkerSettings worker;
    worker.id = map.name<core::WorkerId>("id");
    worker.rack = map.name<core::RackId>("rack");
    if (const YamlNode *resources = map.required("resources"))
        worker.resources = detail::resourcesOf(errors, *resources);
    worker.control = map.endpoint("control");
    return worker;
}

MinionSettings minionOf(Errors &errors, const YamlNode &node)
{
    MapReader map(errors, node, {"id", "service", "slots", "connections", "endpoint"});
    MinionSettings minion;
    minion.id = map.name<core::MinionId>("id");
    minion.service = map.name<core::ServiceId>("service");
    minion.slots = static_cast<int>(map.integer("slots", SlotsPerMinion, minion.slots));
    minion.connections =
        static_cast<int>(map.integer("connections", ConnectionsPerMinion, minion.connections));
    minion.endpoint = map.endpoint("endpoint");
    return minion;
}

http::TlsFiles tlsOf(Errors &errors, const YamlNode &node)
{
    MapReader map(errors, node, {"certificateFile", "keyFile", "authorityFile"});
    http::TlsFiles tls;
    tls.certificateFile = map.text("certificateFile");
    tls.keyFile = map.text("keyFile");
    if (map.optional("authorityFile"))
        tls.authorityFile = map.text("authorityFile");
    return tls;
}

std::vector<EntryAddress> entriesOf(Errors &errors, MapReader &map, const Settings &settings)
{
    const std::vector<YamlNode> &nodes = map.requiredList("entries");
    std::vector<EntryAddress> entries;
    absl::flat_hash_set<std::string> ids;
    absl::flat_hash_set<std::string> addresses;
    for (const YamlNode &node : nodes) {
        EntryAddress entry = entryOf(errors, node);
        if (!ids.insert(entry.id.str()).second)
            errors.report(ResultCode::ConfigDuplicateKey, node.line,
                          absl::StrCat("entry '", entry.id.str(), "' occurs twice"));
        if (!addresses.insert(http::toString(entry.rpc)).second)
            errors.report(ResultCode::ConfigDuplicateKey, node.line,
                          absl::StrCat("address ", http::toString(entry.rpc), " occurs twice"));
        if (settings.role == Role::Agent && entry.dataCentre != settings.dataCentre)
            errors.report(ResultCode::ConfigOutOfRange, node.line,
                          "an agent lists only the entries of its own data centre");
        entries.push_back(std::move(entry));
    }
    if (entries.empty())
        errors.report(ResultCode::ConfigMissingValue, map.line("entries"),
                      "at least one entry is required");
    return entries;
}

// An entry finds itself in the list, so that all entries can share the same list.
void checkSelf(Errors &errors, const MapReader &map, const Settings &settings)
{
    for (const EntryAddress &entry : settings.entries) {
        if (entry.id.str() != settings.id)
            continue;
        if (entry.dataCentre != settings.dataCentre)
            errors.report(ResultCode::ConfigOutOfRange, map.line("dataCentre"),
                          "dataCentre differs from the one listed for this entry");
        if (entry.rpc.port != settings.rpcListen.port)
            errors.report(ResultCode::ConfigOutOfRange, map.line("rpcListen"),
                          "rpcListen has another port than the one listed for this entry");
        return;
    }
    errors.report(ResultCode::ConfigUnknownReference, map.line("id"),
                  absl::StrCat("entry '", settings.id, "' is not listed in entries"));
}

std::vector<MinionSettings> minionsOf(Errors &errors, MapReader &map)
{
    std::vector<MinionSettings> minions;
    absl::flat_hash_set<std::string> ids;
    absl::flat_hash_set<std::string> addresses;
    for (const YamlNode &node : map.list("minions")) {
        MinionSettings minion = minionOf(errors, node);
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

void readEntryPart(Errors &errors, MapReader &map, Settings &settings)
{
    settings.listen = map.endpoint("listen");
    if (const YamlNode *hash = map.required("operatorTokenHash"))
        settings.operatorTokenHash = detail::digestOf(errors, *hash, "operatorTokenHash");
    settings.entries = entriesOf(errors, map, settings);
    checkSelf(errors, map, settings);
    if (settings.listen == settings.rpcListen)
        errors.report(ResultCode::ConfigDuplicateKey, map.line("rpcListen"),
                      "listen and rpcListen are the same address");
}

void readAgentPart(Errors &errors, MapReader &map, Settings &settings)
{
    settings.entries = entriesOf(errors, map, settings);
    if (const YamlNode *worker = map.optional("worker"))
        settings.worker = workerOf(errors, *worker);
    settings.minions = minionsOf(errors, map);
    if (!settings.worker && settings.minions.empty())
        errors.report(ResultCode::ConfigMissingValue, map.line(),
                      "an agent needs a worker or minions");
}

void readCommonPart(Errors &errors, MapReader &map, Settings &settings)
{
    if (const YamlNode *id = map.required("id"))
        settings.id = detail::nameOf(errors, *id, "id");
    settings.dataCentre = map.name<core::DataCentreId>("dataCentre");
    settings.rpcListen = map.endpoint("rpcListen");
    settings.sharedKey = map.text("sharedKey");
    if (settings.sharedKey.size() < MinSharedKeyLength)
        errors.report(
            ResultCode::ConfigOutOfRange, map.line("sharedKey"),
            absl::StrCat("sharedKey is shorter than ", MinSharedKeyLength, " characters"));
    if (const YamlNode *platform = map.required("platform"))
        settings.platform = platformOf(errors, *platform);
    if (const YamlNode *tls = map.optional("tls"))
        settings.tls = tlsOf(errors, *tls);
    settings.maxConnections = static_cast<int>(
        map.integer("maxConnections", ConnectionsPerProcess, settings.maxConnections));
    settings.maxBodyBytes = static_cast<std::size_t>(
        map.integer("maxBodyBytes", BodyBytes, static_cast<std::int64_t>(settings.maxBodyBytes)));
}

MapReader readerFor(Role role, Errors &errors, const YamlNode &root)
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
    MapReader map = readerFor(role, errors, *root);
    Settings settings;
    settings.role = role;
    readCommonPart(errors, map, settings);
    if (role == Role::Entry)
        readEntryPart(errors, map, settings);
    else
        readAgentPart(errors, map, settings);
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
