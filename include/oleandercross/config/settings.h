#pragma once

#include <oleandercross/core/ids.h>
#include <oleandercross/core/resources.h>
#include <oleandercross/http/server.h>

#include <optional>
#include <string>
#include <vector>

namespace oleandercross::config {

enum class Role { Entry, Agent };

// An entry as other processes address it.
struct EntryAddress
{
    core::EntryId id;
    core::DataCentreId dataCentre;
    http::Endpoint rpc;

    friend bool operator==(const EntryAddress &, const EntryAddress &) = default;
};

// The worker beside an agent, as the agent announces it.
struct WorkerSettings
{
    core::WorkerId id;
    core::RackId rack;
    core::Resources resources;
    http::Endpoint control;

    friend bool operator==(const WorkerSettings &, const WorkerSettings &) = default;
};

// A minion beside an agent, as the agent announces it.
struct MinionSettings
{
    core::MinionId id;
    core::ServiceId service;
    int slots = 8;
    int connections = 64;
    http::Endpoint endpoint;

    friend bool operator==(const MinionSettings &, const MinionSettings &) = default;
};

struct PlatformSettings
{
    http::Endpoint tables;
    http::Endpoint objects;
    // Zipkin v2 collector for spans; none are sent without it.
    std::optional<http::Endpoint> traces;

    friend bool operator==(const PlatformSettings &, const PlatformSettings &) = default;
};

// The settings of one process, read from a YAML file at start.
struct Settings
{
    Role role = Role::Entry;
    // The entry's or agent's own name, unique in the cluster.
    std::string id;
    core::DataCentreId dataCentre;
    // Callers' HTTP API; only for entries.
    std::optional<http::Endpoint> listen;
    // Calls from other processes of the project, and /metrics, /healthz, /readyz of agents.
    http::Endpoint rpcListen;
    // Authenticates messages between the project's processes, at least 16 characters.
    std::string sharedKey;
    // SHA-256 of the operator token that may commit manifests; only for entries.
    std::string operatorTokenHash;
    // All entries of the cluster for an entry, those of the own data centre for an agent.
    std::vector<EntryAddress> entries;
    PlatformSettings platform;
    std::optional<WorkerSettings> worker;
    std::vector<MinionSettings> minions;
    std::optional<http::TlsFiles> tls;
    int maxConnections = 512;
    std::size_t maxBodyBytes = 1 << 20;

    friend bool operator==(const Settings &, const Settings &) = default;
};

// Parses settings strictly. `role` comes from the command line and decides which keys are required
// and allowed. Fails with a 1xx code and "FILE:LINE: message".
std::optional<Settings> parseSettings(const std::string &yaml, Role role,
                                      const std::string &fileName);

// Reads and parses a file.
std::optional<Settings> loadSettings(const std::string &fileName, Role role);

} // namespace oleandercross::config
