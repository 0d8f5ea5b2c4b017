#include "cluster.h"

#include <oleandercross/core/digest.h>
#include <oleandercross/core/json.h>

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>
#include <absl/time/clock.h>

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <stdexcept>

namespace oleandercross::bench {

namespace {

constexpr char Address[] = "127.0.0.1";
constexpr int FirstEntryPort = 23000;
constexpr int FirstRpcPort = FirstEntryPort + 10;
constexpr int StandInPort = FirstEntryPort + 99;
constexpr int FirstAgentPort = FirstEntryPort + 100;
constexpr int FirstWorkerPort = FirstEntryPort + 400;
constexpr int FirstMinionPort = FirstEntryPort + 700;
constexpr int WorkersPerRack = 3;
constexpr absl::Duration CallTimeout = absl::Seconds(5);
constexpr absl::Duration StartTimeout = absl::Seconds(90);
constexpr absl::Duration PollInterval = absl::Milliseconds(20);
constexpr char Team[] = "rota";
constexpr char OperatorToken[] = "operator-token";

std::string endpointText(int port)
{
    return absl::StrCat("'", Address, ":", port, "'");
}

std::string makeDirectory()
{
    std::string path = (std::filesystem::temp_directory_path() / "oleandercross-XXXXXX").string();
    if (!mkdtemp(path.data()))
        throw std::runtime_error("cannot create a temporary directory");
    return path;
}

std::string programPath(const std::string &name)
{
    const auto self = std::filesystem::read_symlink("/proc/self/exe");
    return (self.parent_path().parent_path() / name).string();
}

std::string token(int account)
{
    return absl::StrCat("token-of-account-", account);
}

http::ClientOptions poolOptions()
{
    http::ClientOptions options;
    options.maxIdlePerEndpoint = 2048;
    return options;
}

http::Request request(const std::string &method, const std::string &path, const std::string &token)
{
    http::Request request;
    request.method = method;
    request.path = path;
    request.headers["authorization"] = absl::StrCat("Bearer ", token);
    return request;
}

} // namespace

void waitUntil(const std::function<bool()> &condition, absl::Duration timeout,
               const std::string &what)
{
    const absl::Time end = absl::Now() + timeout;
    while (!condition()) {
        if (absl::Now() >= end)
            throw std::runtime_error("timed out waiting for " + what);
        absl::SleepFor(PollInterval);
    }
}

Cluster::Cluster(ClusterOptions options)
    : m_options(std::move(options))
    , m_directory(makeDirectory())
    , m_pool(poolOptions())
{
    writeSettings();
}

Cluster::~Cluster()
{
    m_processes.killAll();
    std::error_code ignored;
    if (!std::getenv("OLEANDERCROSS_BENCH_KEEP"))
        std::filesystem::remove_all(m_directory, ignored);
}

std::string Cluster::entryName(int entry)
{
    return absl::StrCat("entry-", entry);
}

std::string Cluster::agentName(int agent)
{
    return absl::StrCat("agent-", agent);
}

http::Endpoint Cluster::entry(int entry)
{
    return {Address, FirstEntryPort + entry};
}

http::Endpoint Cluster::agent(int agent)
{
    return {Address, FirstAgentPort + agent};
}

http::Endpoint Cluster::minion(int agent, int index) const
{
    return {Address, FirstMinionPort + agent * m_options.minionsPerAgent + index};
}

std::vector<http::Endpoint> Cluster::minions() const
{
    std::vector<http::Endpoint> all;
    for (int a = 0; a < m_options.agents; ++a) {
        for (int m = 0; m < m_options.minionsPerAgent; ++m)
            all.push_back(minion(a, m));
    }
    return all;
}

std::string Cluster::service() const
{
    return m_options.accountMix == "prairie" ? "dispatch" : "booking-desk";
}

std::string Cluster::dataCentre() const
{
    return m_options.accountMix == "prairie" ? "regina" : "brum";
}

std::string Cluster::filePath(const std::string &name) const
{
    return m_directory + "/" + name;
}

std::string Cluster::commonSettings() const
{
    std::string text =
        absl::StrCat("dataCentre: ", dataCentre(), "\nsharedKey: loopback-benchmark-shared-key\n",
                     "maxConnections: ", m_options.maxConnections, "\nentries:\n");
    for (int e = 0; e < m_options.entries; ++e) {
        absl::StrAppend(&text, "  - {id: ", entryName(e), ", dataCentre: ", dataCentre(),
                        ", rpc: ", endpointText(FirstRpcPort + e), "}\n");
    }
    absl::StrAppend(&text, "platform:\n");
    for (const char *service : {"tables", "objects", "traces"})
        absl::StrAppend(&text, "  ", service, ": ", endpointText(StandInPort), "\n");
    return text;
}

// Returns the resources of a worker in the deployment of the account mix.
std::string resources(const std::string &accountMix)
{
    return accountMix == "prairie" ? "{accelerators: 8, cores: 64, memoryMb: 131072}"
                                   : "{accelerators: 8, cores: 32, memoryMb: 65536}";
}

void Cluster::writeSettings() const
{
    for (int e = 0; e < m_options.entries; ++e) {
        std::ofstream(filePath(entryName(e) + ".yaml"))
            << "id: " << entryName(e) << "\nlisten: " << endpointText(FirstEntryPort + e)
            << "\nrpcListen: " << endpointText(FirstRpcPort + e)
            << "\noperatorTokenHash: " << core::sha256Hex(OperatorToken) << "\n"
            << commonSettings();
    }
    for (int a = 0; a < m_options.agents; ++a) {
        std::ofstream out(filePath(agentName(a) + ".yaml"));
        out << "id: " << agentName(a) << "\nrpcListen: " << endpointText(FirstAgentPort + a) << "\n"
            << commonSettings() << "worker:\n  id: worker-" << a << "\n  rack: rack-"
            << a / WorkersPerRack << "\n  resources: " << resources(m_options.accountMix)
            << "\n  control: " << endpointText(FirstWorkerPort + a) << "\nminions:\n";
        for (int m = 0; m < m_options.minionsPerAgent; ++m) {
            out << "  - {id: minion-" << a << "-" << m << ", service: " << service()
                << ", slots: " << m_options.slotsPerMinion
                << ", connections: 64, endpoint: " << endpointText(minion(a, m).port) << "}\n";
        }
    }
}

std::string Cluster::manifest() const
{
    const int racks = (m_options.agents + WorkersPerRack - 1) / WorkersPerRack;
    std::string text =
        absl::StrCat("dataCentres:\n  - name: ", dataCentre(), "\n    racks: ", racks,
                     "\n    workersPerRack: ", WorkersPerRack,
                     "\n    perWorker: ", resources(m_options.accountMix), "\naccounts:\n");
    for (int account = 0; account < Accounts; ++account) {
        absl::StrAppend(&text, "  - name: account-", account, "\n    tokenHashes: [",
                        core::sha256Hex(token(account)),
                        "]\n    weight: 1\n    guarantees:\n      - {dataCentre: ", dataCentre(),
                        ", level: quad, count: 1}\n    teams:\n      - {name: ", Team,
                        ", acceleratorQuota: ", 8 * m_options.agents, "}\n");
    }
    absl::StrAppend(&text, "services:\n  - name: ", service(),
                    "\n    defaultDeadline: ", m_options.defaultDeadline, "\n");
    return text;
}

void Cluster::startStandIn()
{
    std::vector<std::string> arguments = {programPath("oleandercross-standin"), "--tables",
                                          absl::StrCat(StandInPort), "--slots",
                                          absl::StrCat(m_options.slotsPerMinion)};
    for (int a = 0; a < m_options.agents; ++a) {
        arguments.insert(arguments.end(),
                         {"--worker", absl::StrCat("worker-", a, ":", FirstWorkerPort + a)});
        for (int m = 0; m < m_options.minionsPerAgent; ++m) {
            arguments.insert(
                arguments.end(),
                {"--minion", absl::StrCat("minion-", a, "-", m, ":", minion(a, m).port)});
        }
    }
    http::Request counts;
    counts.method = "GET";
    counts.path = "/counts";
    const http::Endpoint tables = {Address, StandInPort};
    // Otherwise the processes of another run would be measured.
    if (m_pool.send(tables, counts, CallTimeout))
        throw std::runtime_error("the ports from 23000 on are in use");
    m_processes.start("standin", arguments, filePath("standin.log"));
    waitUntil([&] { return m_pool.send(tables, counts, CallTimeout).has_value(); }, StartTimeout,
              "the stand-in");
}

void Cluster::startEntry(int entry)
{
    const std::string name = entryName(entry);
    m_processes.start(
        name,
        {programPath("oleandercrossd"), "--role", "entry", "--settings", filePath(name + ".yaml")},
        filePath(name + ".log"));
}

void Cluster::start()
{
    startStandIn();
    for (int e = 0; e < m_options.entries; ++e)
        startEntry(e);
    for (int e = 0; e < m_options.entries; ++e)
        waitUntil([&] { return status(e).has_value(); }, StartTimeout, entryName(e));
    commit(0, 0);
    for (int a = 0; a < m_options.agents; ++a) {
        const std::string name = agentName(a);
        m_processes.start(name,
                          {programPath("oleandercrossd"), "--role", "agent", "--settings",
                           filePath(name + ".yaml")},
                          filePath(name + ".log"));
        if (a % m_options.agentStartBatch == m_options.agentStartBatch - 1)
            absl::SleepFor(absl::Milliseconds(500));
    }
    waitUntilReady();
}

int Cluster::agentsWithManifest(int entry)
{
    const auto reported = status(entry);
    if (!reported)
        return 0;
    int agents = 0;
    for (const Json::Value &node : core::member(*reported, "nodes")) {
        agents +=
            core::stringMember(node, "role") == "agent" && core::intMember(node, "revision") > 0;
    }
    return agents;
}

void Cluster::waitUntilReady()
{
    waitUntil(
        [this] {
            for (int e = 0; e < m_options.entries; ++e) {
                if (agentsWithManifest(e) < m_options.agents)
                    return false;
            }
            return leader().has_value();
        },
        StartTimeout, "a leader and all agents");
}

Processes &Cluster::processes()
{
    return m_processes;
}

http::Request Cluster::shortRequest(int account, int workMs, absl::Duration deadline,
                                    std::size_t bodyBytes) const
{
    http::Request message =
        request("POST", "/v1/services/" + service() + "/requests", token(account));
    message.headers["x-deadline-ms"] = absl::StrCat(absl::ToInt64Milliseconds(deadline));
    const std::string start = absl::StrCat(R"({"work_ms":)", workMs, R"(,"echo":")");
    const std::size_t fill = std::max(bodyBytes, start.size() + 2) - start.size() - 2;
    message.body = start + std::string(fill, 'x') + "\"}";
    return message;
}

http::Request Cluster::jobRequest(int account, int tasks, const std::string &command) const
{
    http::Request message = request("POST", "/v1/jobs", token(account));
    Json::Value job;
    job["dataCentre"] = dataCentre();
    job["team"] = Team;
    job["tasks"] = tasks;
    job["accelerators"] = 1;
    job["cores"] = 1;
    job["memoryMb"] = 1000;
    job["repeatable"] = true;
    job["command"] = command;
    message.body = core::writeJson(job);
    return message;
}

std::int64_t Cluster::commit(int entryNumber, std::int64_t parent)
{
    http::Request commit = request("POST", "/v1/manifest", OperatorToken);
    Json::Value body;
    body["parent"] = static_cast<Json::Int64>(parent);
    body["writeId"] = core::randomHexId();
    body["yaml"] = absl::StrCat(manifest(), "# after revision ", parent, "\n");
    body["comment"] = "benchmark";
    commit.body = core::writeJson(body);
    const auto response = m_pool.send(entry(entryNumber), commit, absl::Seconds(10));
    if (!response || response->status != 201)
        throw std::runtime_error("manifest commit failed: "
                                 + (response ? response->body : "no response"));
    return core::intMember(core::parseJson(response->body).value_or(Json::Value()), "revision");
}

std::optional<Json::Value> Cluster::status(int entryNumber)
{
    const auto response =
        m_pool.send(entry(entryNumber), request("GET", "/v1/status", OperatorToken), CallTimeout);
    if (!response || response->status != 200)
        return std::nullopt;
    return core::parseJson(response->body);
}

std::optional<int> Cluster::leader()
{
    for (int e = 0; e < m_options.entries; ++e) {
        const auto reported = status(e);
        if (reported && core::boolMember(*reported, "leading"))
            return e;
    }
    return std::nullopt;
}

std::int64_t Cluster::metric(const http::Endpoint &endpoint, const std::string &name)
{
    http::Request get;
    get.method = "GET";
    get.path = "/metrics";
    const auto response = m_pool.send(endpoint, get, CallTimeout);
    if (!response)
        return 0;
    for (const auto line : absl::StrSplit(response->body, '\n')) {
        const std::pair<std::string, std::string> parts =
            absl::StrSplit(line, absl::MaxSplits(' ', 1));
        std::int64_t value = 0;
        if (parts.first == name && absl::SimpleAtoi(parts.second, &value))
            return value;
    }
    return 0;
}

http::ClientPool &Cluster::pool()
{
    return m_pool;
}

} // namespace oleandercross::bench
