#include "cluster.h"
#include "load.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>
#include <absl/time/clock.h>

#include <algorithm>
#include <cstdio>
#include <fstream>
#include <random>
#include <sstream>
#include <stdexcept>

#include <unistd.h>

namespace oleandercross::bench {

namespace {

constexpr int Entries = 2;
constexpr int AgentCounts[] = {10, 50, 100, 200};
constexpr absl::Duration Settle = absl::Seconds(10);
constexpr absl::Duration Window = absl::Seconds(20);
// Light user load on the whole cluster.
constexpr double RequestsPerSecond = 10;
constexpr double GangsPerSecond = 1;
constexpr int WorkMs = 20;
constexpr int TasksPerGang = 2;
constexpr char Command[] = "run 2";
constexpr absl::Duration Deadline = absl::Seconds(2);
constexpr int Threads = 32;
// All processes of one run together.
constexpr double MaxMemoryMb = 8000;
constexpr double MaxCpuPercent = 4.5;
constexpr double MaxRssMb = 256;
constexpr double MaxKbPerSecond = 24;

enum Kind { Request, Gang };

// Totals of one process since its start.
struct Reading
{
    double cpuSeconds = 0;
    double rssMb = 0;
    double bytes = 0;
    absl::Time at;
};

struct Usage
{
    double cpuPercent = 0;
    double rssMb = 0;
    double kbPerSecond = 0;
};

struct NodeUsage
{
    Usage entry;
    Usage agent;
};

std::string readFile(const std::string &path)
{
    std::ostringstream text;
    text << std::ifstream(path).rdbuf();
    return text.str();
}

double cpuSeconds(pid_t pid)
{
    const std::string stat = readFile(absl::StrCat("/proc/", pid, "/stat"));
    // The program's name may contain spaces; user and system time are fields 14 and 15.
    const std::string rest = stat.substr(std::min(stat.size(), stat.rfind(')') + 2));
    const std::vector<std::string> fields = absl::StrSplit(rest, ' ');
    constexpr std::size_t UserTime = 11;
    constexpr std::size_t SystemTime = 12;
    double user = 0;
    double system = 0;
    if (fields.size() <= SystemTime || !absl::SimpleAtod(fields[UserTime], &user)
        || !absl::SimpleAtod(fields[SystemTime], &system))
        throw std::runtime_error("a process of the cluster ended");
    return (user + system) / static_cast<double>(sysconf(_SC_CLK_TCK));
}

double rssMb(pid_t pid)
{
    std::istringstream status(readFile(absl::StrCat("/proc/", pid, "/status")));
    std::string line;
    while (std::getline(status, line)) {
        if (line.rfind("VmRSS:", 0) == 0)
            return std::stod(line.substr(6)) / 1024;
    }
    return 0;
}

Reading readProcess(Cluster &cluster, const std::string &name, const http::Endpoint &endpoint)
{
    const pid_t pid = cluster.processes().pid(name);
    Reading reading;
    reading.bytes = static_cast<double>(cluster.metric(endpoint, "bytes_received")
                                        + cluster.metric(endpoint, "bytes_sent"));
    reading.at = absl::Now();
    reading.cpuSeconds = cpuSeconds(pid);
    reading.rssMb = rssMb(pid);
    return reading;
}

std::vector<Reading> readAll(Cluster &cluster, int agents)
{
    std::vector<Reading> all;
    all.reserve(Entries + agents);
    for (int e = 0; e < Entries; ++e)
        all.push_back(readProcess(cluster, Cluster::entryName(e), Cluster::entry(e)));
    for (int a = 0; a < agents; ++a)
        all.push_back(readProcess(cluster, Cluster::agentName(a), Cluster::agent(a)));
    return all;
}

// The highest of each value over the entries, and over the agents.
NodeUsage usage(const std::vector<Reading> &before, const std::vector<Reading> &after)
{
    NodeUsage result;
    for (std::size_t i = 0; i < before.size(); ++i) {
        const double seconds = absl::ToDoubleSeconds(after[i].at - before[i].at);
        Usage &highest = i < Entries ? result.entry : result.agent;
        const double cpu = 100 * (after[i].cpuSeconds - before[i].cpuSeconds) / seconds;
        const double kb = (after[i].bytes - before[i].bytes) / 1024 / seconds;
        highest.cpuPercent = std::max(highest.cpuPercent, cpu);
        highest.rssMb = std::max(highest.rssMb, after[i].rssMb);
        highest.kbPerSecond = std::max(highest.kbPerSecond, kb);
    }
    return result;
}

void runLoad(Cluster &cluster, std::uint64_t seed)
{
    std::mt19937_64 generator(seed);
    std::vector<Arrival> arrivals;
    for (int account = 0; account < Cluster::Accounts; ++account) {
        addPoisson(arrivals, generator, RequestsPerSecond / Cluster::Accounts, {}, Window, account,
                   Request);
        addPoisson(arrivals, generator, GangsPerSecond / Cluster::Accounts, {}, Window, account,
                   Gang);
    }
    const auto samples = sendAll(arrivals, Threads, [&](const Arrival &arrival, std::size_t index) {
        const http::Request request = arrival.kind == Request
            ? cluster.shortRequest(arrival.account, WorkMs, Deadline)
            : cluster.jobRequest(arrival.account, TasksPerGang, Command);
        return cluster.pool().send(Cluster::entry(index % Entries), request, Deadline);
    });
    const auto failed = std::count_if(samples.begin(), samples.end(), [](const Sample &sample) {
        return sample.status < 200 || sample.status >= 300;
    });
    std::fprintf(stderr, "footprint: %td of %zu calls failed\n", failed, samples.size());
}

// Line names are those of `role`; the baseline is the value without user load.
void addLines(std::vector<Line> &lines, const std::string &role, int agents, const Usage &idle,
              const Usage &loaded)
{
    const auto add = [&](const char *what, const char *unit, double idleValue, double loadedValue,
                         double bound) {
        const Target target = {Target::On::Value, Target::Direction::AtMost, bound};
        lines.push_back({absl::StrCat(role, "_", what, "_", agents),
                         std::max(idleValue, loadedValue), unit, idleValue, target});
    };
    add("cpu", "%", idle.cpuPercent, loaded.cpuPercent, MaxCpuPercent);
    add("rss", "MB", idle.rssMb, loaded.rssMb, MaxRssMb);
    add("bytes", "KB/s", idle.kbPerSecond, loaded.kbPerSecond, MaxKbPerSecond);
}

// Returns the memory of all processes in MB.
double measureAgents(const Options &options, int agents, std::vector<Line> &lines)
{
    ClusterOptions clusterOptions;
    clusterOptions.accountMix = options.accountMix;
    clusterOptions.entries = Entries;
    clusterOptions.agents = agents;
    Cluster cluster(clusterOptions);
    cluster.start();
    absl::SleepFor(Settle);
    const auto start = readAll(cluster, agents);
    absl::SleepFor(Window);
    const auto middle = readAll(cluster, agents);
    runLoad(cluster, options.seed);
    const auto end = readAll(cluster, agents);
    const NodeUsage idle = usage(start, middle);
    const NodeUsage loaded = usage(middle, end);
    addLines(lines, "entry", agents, idle.entry, loaded.entry);
    addLines(lines, "agent", agents, idle.agent, loaded.agent);
    double memoryMb = 0;
    for (const std::string &name : cluster.processes().names())
        memoryMb += rssMb(cluster.processes().pid(name));
    std::fprintf(stderr, "footprint: %d agents, %.0f MB in all processes\n", agents, memoryMb);
    return memoryMb;
}

std::vector<Line> measureFootprint(const Options &options)
{
    std::vector<Line> lines;
    double mbPerAgent = 0;
    for (const int agents : AgentCounts) {
        if (mbPerAgent * agents > MaxMemoryMb) {
            std::fprintf(stderr, "footprint: %d agents not measured, too little memory\n", agents);
            continue;
        }
        mbPerAgent = measureAgents(options, agents, lines) / agents;
    }
    return lines;
}

const Registration Registered("footprint", measureFootprint);

} // namespace

} // namespace oleandercross::bench
