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
constexpr int BasePort = 23000;
constexpr int RpcPort = BasePort + 10;
constexpr int TablesPort = BasePort + 99;
constexpr int AgentPort = BasePort + 100;
constexpr int WorkerPort = BasePort + 400;
constexpr int MinionPort = BasePort + 700;
constexpr int WorkersPerRack = 3;
constexpr absl::Duration CallTimeout = absl::Seconds(5);
constexpr absl::Duration StartTimeout = absl::Seconds(90);
constexpr absl::Duration Poll = absl::Milliseconds(20);
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

std::string program(const std::string &name)
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
            throw std::runtime_error("waited too long for " + what);
        absl::SleepFor(Poll);
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
    return {Address, BasePort + entry};
}

http::Endpoint Cluster::agent(int agent)
{
    return {Address, AgentPort + agent};
}

http::Endpoint Cluster::minion(int agent, int index) const
{
    return {Address, MinionPort + agent * m_options.minionsPerAgent + index};
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

std::string Cluster::file(const std::string &name) const
{
    return m_directory + "/" + name;
}

std::string Cluster::common() const
{
    std::string text =
        absl::StrCat("dataCentre: ", dataCentre(), "\nsharedKey: loopback-benchmark-shared-key\n",
                     "maxConnections: ", m_options.maxConnections, "\nentries:\n");
    for (int e = 0; e < m_options.entries; ++e) {
        absl::StrAppend(&text, "  - {id: ", entryName(e), ", dataCentre: ", dataCentre(),
                        ", rpc: ", endpointText(RpcPort + e), "}\n");
    }
    absl::StrAppend(&text, "platform:\n");
    for (const char *service : {"tables", "objects", "traces"})
        absl::StrAppend(&text, "  ", service, ": ", endpointText(TablesPort), "\n");
    return text;
}

// Cores and memory of a worker as the two first users have them.
std::string resources(const std::string &accountMix)
{
    return accountMix == "prairie" ? "{accelerators: 8, cores: 64, memoryMb: 131072}"
                                   : "{accelerators: 8, cores: 32, memoryMb: 65536}";
}

void Cluster::writeSettings() const
{
    for (int e = 0; e < m_options.entries; ++e) {
        std::ofstream(file(entryName(e) + ".yaml"))
            << "id: " << entryName(e) << "\nlisten: " << endpointText(BasePort + e)
            << "\nrpcListen: " << endpointText(RpcPort + e)
            << "\noperatorTokenHash: " << core::sha256Hex(OperatorToken) << "\n"
            << common();
    }
    for (int a = 0; a < m_options.agents; ++a) {
        std::ofstream out(file(agentName(a) + ".yaml"));
        out << "id: " << agentName(a) << "\nrpcListen: " << endpointText(AgentPort + a) << "\n"
            << common() << "worker:\n  id: worker-" << a << "\n  rack: rack-" << a / WorkersPerRack
            << "\n  resources: " << resources(m_options.accountMix)
            << "\n  control: " << endpointText(WorkerPort + a) << "\nminions:\n";
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

void Cluster::startStandin()
{
    std::vector<std::string> arguments = {program("oleandercross-standin"), "--tables",
                                          absl::StrCat(TablesPort), "--slots",
                                          absl::StrCat(m_options.slotsPerMinion)};
    for (int a = 0; a < m_options.agents; ++a) {
        arguments.insert(arguments.end(),
                         {"--worker", absl::StrCat("worker-", a, ":", WorkerPort + a)});
        for (int m = 0; m < m_options.minionsPerAgent; ++m) {
            arguments.insert(
                arguments.end(),
                {"--minion", absl::StrCat("minion-", a, "-", m, ":", minion(a, m).port)});
        }
    }
    http::Request counts;
    counts.method = "GET";
    counts.path = "/counts";
    const http::Endpoint tables = {Address, TablesPort};
    // Another run's processes would be measured instead.
    if (m_pool.send(tables, counts, CallTimeout))
        throw std::runtime_error("the ports from 23000 are in use");
    m_processes.start("standin", arguments, file("standin.log"));
    waitUntil([&] { return m_pool.send(tables, counts, CallTimeout).has_value(); }, StartTimeout,
              "the stand-in");
}

void Cluster::startEntry(int entry)
{
    const std::string name = entryName(entry);
    m_processes.start(
        name, {program("oleandercrossd"), "--role", "entry", "--settings", file(name + ".yaml")},
        file(name + ".log"));
}

void Cluster::start()
{
    startStandin();
    for (int e = 0; e < m_options.entries; ++e)
        startEntry(e);
    for (int e = 0; e < m_options.entries; ++e)
        waitUntil([&] { return status(e).has_value(); }, StartTimeout, entryName(e));
    commit(0, 0);
    for (int a = 0; a < m_options.agents; ++a) {
        const std::string name = agentName(a);
        m_processes.start(
            name,
            {program("oleandercrossd"), "--role", "agent", "--settings", file(name + ".yaml")},
            file(name + ".log"));
        if (a % m_options.startedTogether == m_options.startedTogether - 1)
            absl::SleepFor(absl::Milliseconds(500));
    }
    waitReady();
}

int Cluster::agentsAtRevision(int entry)
{
    const auto known = status(entry);
    if (!known)
        return 0;
    int agents = 0;
    for (const Json::Value &node : core::member(*known, "nodes")) {
        agents +=
            core::stringMember(node, "role") == "agent" && core::intMember(node, "revision") > 0;
    }
    return agents;
}

void Cluster::waitReady()
{
    waitUntil(
        [this] {
            for (int e = 0; e < m_options.entries; ++e) {
                if (agentsAtRevision(e) < m_options.agents)
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
    http::Request made = request("POST", "/v1/services/" + service() + "/requests", token(account));
    made.headers["x-deadline-ms"] = absl::StrCat(absl::ToInt64Milliseconds(deadline));
    const std::string start = absl::StrCat(R"({"work_ms":)", workMs, R"(,"echo":")");
    const std::size_t fill = std::max(bodyBytes, start.size() + 2) - start.size() - 2;
    made.body = start + std::string(fill, 'x') + "\"}";
    return made;
}

http::Request Cluster::jobRequest(int account, int tasks, const std::string &command) const
{
    http::Request made = request("POST", "/v1/jobs", token(account));
    Json::Value job;
    job["dataCentre"] = dataCentre();
    job["team"] = Team;
    job["tasks"] = tasks;
    job["accelerators"] = 1;
    job["cores"] = 1;
    job["memoryMb"] = 1000;
    job["repeatable"] = true;
    job["command"] = command;
    made.body = core::writeJson(job);
    return made;
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
        throw std::runtime_error("commit refused: " + (response ? response->body : "no answer"));
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
        const auto known = status(e);
        if (known && core::boolMember(*known, "leading"))
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
