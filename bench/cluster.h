#pragma once

#include "measure.h"
#include "processes.h"

#include <oleandercross/http/clientpool.h>

#include <json/value.h>

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace oleandercross::bench {

struct ClusterOptions
{
    std::string accountMix = "wrekin";
    int entries = 2;
    int agents = 3;
    int minionsPerAgent = 2;
    int slotsPerMinion = 8;
    // Of each process.
    int maxConnections = 2048;
    std::string defaultDeadline = "2";
    // Agents started at the same time; more delay each other's start.
    int startedTogether = 20;
};

// Real processes of one data centre on loopback ports from 23000: the platform's stand-in, entries
// and agents. There are four client accounts of equal weight. Everything is stopped at the end.
class Cluster
{
public:
    explicit Cluster(ClusterOptions options);
    ~Cluster();
    Cluster(const Cluster &) = delete;
    Cluster &operator=(const Cluster &) = delete;

    static constexpr int Accounts = 4;

    // Starts everything, commits the manifest and waits until all agents are known with it.
    // Throws std::runtime_error when that takes too long.
    void start();

    void startEntry(int entry);
    Processes &processes();

    // Names of the processes; entries and agents count from 0.
    static std::string entryName(int entry);
    static std::string agentName(int agent);

    static http::Endpoint entry(int entry);
    static http::Endpoint agent(int agent);
    http::Endpoint minion(int agent, int index) const;
    std::vector<http::Endpoint> minions() const;
    std::string service() const;
    std::string dataCentre() const;

    // A short request with the body {"work_ms": workMs, "echo": TEXT}; TEXT fills the body up to
    // `bodyBytes`.
    http::Request shortRequest(int account, int workMs, absl::Duration deadline,
                               std::size_t bodyBytes = 0) const;
    http::Request jobRequest(int account, int tasks, const std::string &command) const;

    // Commits the manifest with a comment that makes it differ; returns the new revision.
    std::int64_t commit(int entry, std::int64_t parent);
    std::optional<Json::Value> status(int entry);
    // The entry that leads the data centre, or an empty optional.
    std::optional<int> leader();

    // A counter or gauge of /metrics, 0 if the process does not answer.
    std::int64_t metric(const http::Endpoint &endpoint, const std::string &name);
    http::ClientPool &pool();

private:
    std::string common() const;
    std::string manifest() const;
    void writeSettings() const;
    void startStandin();
    void waitReady();
    int agentsAtRevision(int entry);
    std::string file(const std::string &name) const;

    const ClusterOptions m_options;
    const std::string m_directory;
    http::ClientPool m_pool;
    Processes m_processes;
};

// Throws std::runtime_error when the condition is still false after `timeout`.
void waitUntil(const std::function<bool()> &condition, absl::Duration timeout,
               const std::string &what);

} // namespace oleandercross::bench
