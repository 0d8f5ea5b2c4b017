#pragma once

#include <oleandercross/core/ids.h>
#include <oleandercross/core/resources.h>
#include <oleandercross/http/server.h>

#include <optional>
#include <string>
#include <vector>

namespace oleandercross::config {

enum class Role { Entry, Agent };

// The address of an entry for calls from other processes.
struct EntryAddress
{
    core::EntryId id;
    core::DataCentreId dataCentre;
    http::Endpoint rpc;

    friend bool operator==(const EntryAddress &, const EntryAddress &) = default;
};

// The worker on the agent's host, as the agent announces it.
struct WorkerSettings
{
    core::WorkerId id;
    core::RackId rack;
    core::Resources resources;
    http::Endpoint control;

    friend bool operator==(const WorkerSettings &, const WorkerSettings &) = default;
};

// A minion on the agent's host, as the agent announces it.
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
    // Zipkin v2 collector for spans; spans are not exported without it.
    std::optional<http::Endpoint> traces;

    friend bool operator==(const PlatformSettings &, const PlatformSettings &) = default;
};

// The settings of one process, read from a YAML file at startup.
struct Settings
{
    Role role = Role::Entry;
    // Id of this entry or agent, unique in the cluster.
    std::string id;
    core::DataCentreId dataCentre;
    // Listen address of the public HTTP API; only for entries.
    std::optional<http::Endpoint> listen;
    // Listen address for calls from other processes, and for /metrics, /healthz and /readyz of
    // agents.
    http::Endpoint rpcListen;
    // Authenticates messages between processes, at least 16 characters.
    std::string sharedKey;
    // SHA-256 of the operator token, which is required to commit manifests; only for entries.
    std::string operatorTokenHash;
    // For an entry, all entries of the cluster; for an agent, the entries of its own data centre.
    std::vector<EntryAddress> entries;
    PlatformSettings platform;
    std::optional<WorkerSettings> worker;
    std::vector<MinionSettings> minions;
    std::optional<http::TlsFiles> tls;
    int maxConnections = 512;
    std::size_t maxBodyBytes = 1 << 20;

    friend bool operator==(const Settings &, const Settings &) = default;
};

// Parses settings, rejecting unknown keys. `role` comes from the command line and determines which
// keys are required and allowed. Fails with a 1xx code and "FILE:LINE: message".
std::optional<Settings> parseSettings(const std::string &yaml, Role role,
                                      const std::string &fileName);

// Reads and parses a settings file. Fails like readFile() and parseSettings().
std::optional<Settings> loadSettings(const std::string &fileName, Role role);

} // namespace oleandercross::config
