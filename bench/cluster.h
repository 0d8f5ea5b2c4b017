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
    // Limit of each process.
    int maxConnections = 2048;
    std::string defaultDeadline = "2";
    // Number of agents started at the same time. In larger batches they delay each other.
    int agentStartBatch = 20;
};

// A data centre of real processes on loopback ports from 23000 on: the platform stand-in, entries
// and agents, with four client accounts of equal weight. The destructor kills all processes.
class Cluster
{
public:
    explicit Cluster(ClusterOptions options);
    ~Cluster();
    Cluster(const Cluster &) = delete;
    Cluster &operator=(const Cluster &) = delete;

    static constexpr int Accounts = 4;

    // Starts all processes, commits the manifest and waits until the entries list all agents with
    // it. Throws std::runtime_error on a timeout.
    void start();

    void startEntry(int entry);
    Processes &processes();

    // Return the names of the processes. Entries and agents are numbered from 0.
    static std::string entryName(int entry);
    static std::string agentName(int agent);

    static http::Endpoint entry(int entry);
    static http::Endpoint agent(int agent);
    http::Endpoint minion(int agent, int index) const;
    std::vector<http::Endpoint> minions() const;
    std::string service() const;
    std::string dataCentre() const;

    // Returns a service request with the body {"work_ms": workMs, "echo": TEXT}, where TEXT pads
    // the body to `bodyBytes`.
    http::Request shortRequest(int account, int workMs, absl::Duration deadline,
                               std::size_t bodyBytes = 0) const;
    http::Request jobRequest(int account, int tasks, const std::string &command) const;

    // Commits the manifest with a YAML comment that makes it differ from its parent. Returns the
    // new revision.
    std::int64_t commit(int entry, std::int64_t parent);
    std::optional<Json::Value> status(int entry);
    // Returns the number of the entry that is leader of the data centre, if there is one.
    std::optional<int> leader();

    // Returns the value of a counter or gauge of /metrics, or 0 if it is missing or the process
    // does not answer.
    std::int64_t metric(const http::Endpoint &endpoint, const std::string &name);
    http::ClientPool &pool();

private:
    std::string commonSettings() const;
    std::string manifest() const;
    void writeSettings() const;
    void startStandIn();
    void waitUntilReady();
    int agentsWithManifest(int entry);
    std::string filePath(const std::string &name) const;

    const ClusterOptions m_options;
    const std::string m_directory;
    http::ClientPool m_pool;
    Processes m_processes;
};

// Polls the condition and throws std::runtime_error if it is still false after `timeout`.
void waitUntil(const std::function<bool()> &condition, absl::Duration timeout,
               const std::string &what);

} // namespace oleandercross::bench
