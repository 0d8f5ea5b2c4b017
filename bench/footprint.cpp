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

constexpr int EntryCount = 2;
constexpr int AgentCounts[] = {10, 50, 100, 200};
constexpr absl::Duration SettleTime = absl::Seconds(10);
constexpr absl::Duration MeasurementWindow = absl::Seconds(20);
// A light user load on the whole cluster.
constexpr double RequestsPerSecond = 10;
constexpr double GangsPerSecond = 1;
constexpr int WorkMs = 20;
constexpr int TasksPerGang = 2;
constexpr char Command[] = "run 2";
constexpr absl::Duration Deadline = absl::Seconds(2);
constexpr int SenderThreads = 32;
// Limit for all processes of a cluster together; larger clusters are not measured.
constexpr double MaxTotalMemoryMb = 8000;
constexpr double MaxCpuPercent = 4.5;
constexpr double MaxRssMb = 256;
constexpr double MaxKbPerSecond = 24;

enum CallKind { Request, Gang };

// Resource counters of a process. CPU time and bytes are totals since its start.
struct ProcessReading
{
    double cpuSeconds = 0;
    double rssMb = 0;
    double bytes = 0;
    absl::Time at;
};

struct ResourceUsage
{
    double cpuPercent = 0;
    double rssMb = 0;
    double kbPerSecond = 0;
};

struct PeakUsage
{
    ResourceUsage entry;
    ResourceUsage agent;
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
    // User and system time are fields 14 and 15. The program name, field 2, may contain spaces, so
    // fields are counted from its closing parenthesis.
    const std::string rest = stat.substr(std::min(stat.size(), stat.rfind(')') + 2));
    const std::vector<std::string> fields = absl::StrSplit(rest, ' ');
    constexpr std::size_t UserTime = 11;
    constexpr std::size_t SystemTime = 12;
    double user = 0;
    double system = 0;
    if (fields.size() <= SystemTime || !absl::SimpleAtod(fields[UserTime], &user)
        || !absl::SimpleAtod(fields[SystemTime], &system))
        throw std::runtime_error(
            "cannot read the CPU time of a cluster process; it may have exited");
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

ProcessReading readProcess(Cluster &cluster, const std::string &name,
                           const http::Endpoint &endpoint)
{
    const pid_t pid = cluster.processes().pid(name);
    ProcessReading reading;
    reading.bytes = static_cast<double>(cluster.metric(endpoint, "bytes_received")
                                        + cluster.metric(endpoint, "bytes_sent"));
    reading.at = absl::Now();
    reading.cpuSeconds = cpuSeconds(pid);
    reading.rssMb = rssMb(pid);
    return reading;
}

std::vector<ProcessReading> readNodes(Cluster &cluster, int agents)
{
    std::vector<ProcessReading> all;
    all.reserve(EntryCount + agents);
    for (int e = 0; e < EntryCount; ++e)
        all.push_back(readProcess(cluster, Cluster::entryName(e), Cluster::entry(e)));
    for (int a = 0; a < agents; ++a)
        all.push_back(readProcess(cluster, Cluster::agentName(a), Cluster::agent(a)));
    return all;
}

// Returns the highest value of each resource among the entries and among the agents.
PeakUsage peakUsage(const std::vector<ProcessReading> &before,
                    const std::vector<ProcessReading> &after)
{
    PeakUsage result;
    for (std::size_t i = 0; i < before.size(); ++i) {
        const double seconds = absl::ToDoubleSeconds(after[i].at - before[i].at);
        ResourceUsage &peak = i < EntryCount ? result.entry : result.agent;
        const double cpu = 100 * (after[i].cpuSeconds - before[i].cpuSeconds) / seconds;
        const double kb = (after[i].bytes - before[i].bytes) / 1024 / seconds;
        peak.cpuPercent = std::max(peak.cpuPercent, cpu);
        peak.rssMb = std::max(peak.rssMb, after[i].rssMb);
        peak.kbPerSecond = std::max(peak.kbPerSecond, kb);
    }
    return result;
}

void sendLoad(Cluster &cluster, std::uint64_t seed)
{
    std::mt19937_64 generator(seed);
    std::vector<Arrival> arrivals;
    for (int account = 0; account < Cluster::Accounts; ++account) {
        addPoisson(arrivals, generator, RequestsPerSecond / Cluster::Accounts, {},
                   MeasurementWindow, account, Request);
        addPoisson(arrivals, generator, GangsPerSecond / Cluster::Accounts, {}, MeasurementWindow,
                   account, Gang);
    }
    const auto samples =
        sendArrivals(arrivals, SenderThreads, [&](const Arrival &arrival, std::size_t index) {
            const http::Request request = arrival.kind == Request
                ? cluster.shortRequest(arrival.account, WorkMs, Deadline)
                : cluster.jobRequest(arrival.account, TasksPerGang, Command);
            return cluster.pool().send(Cluster::entry(index % EntryCount), request, Deadline);
        });
    const auto failed = std::count_if(samples.begin(), samples.end(), [](const Sample &sample) {
        return sample.status < 200 || sample.status >= 300;
    });
    std::fprintf(stderr, "footprint: %td of %zu calls failed\n", failed, samples.size());
}

// Adds the lines of `role`. The value is the higher of the idle and the loaded one, the baseline
// the idle one.
void addLines(std::vector<Line> &lines, const std::string &role, int agents,
              const ResourceUsage &idle, const ResourceUsage &loaded)
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

// Measures a cluster with this number of agents. Returns the memory of all its processes.
double measureClusterMemoryMb(const Options &options, int agents, std::vector<Line> &lines)
{
    ClusterOptions clusterOptions;
    clusterOptions.accountMix = options.accountMix;
    clusterOptions.entries = EntryCount;
    clusterOptions.agents = agents;
    Cluster cluster(clusterOptions);
    cluster.start();
    absl::SleepFor(SettleTime);
    const auto start = readNodes(cluster, agents);
    absl::SleepFor(MeasurementWindow);
    const auto middle = readNodes(cluster, agents);
    sendLoad(cluster, options.seed);
    const auto end = readNodes(cluster, agents);
    const PeakUsage idle = peakUsage(start, middle);
    const PeakUsage loaded = peakUsage(middle, end);
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
    double memoryMbPerAgent = 0;
    for (const int agents : AgentCounts) {
        if (memoryMbPerAgent * agents > MaxTotalMemoryMb) {
            std::fprintf(stderr, "footprint: skipped %d agents: too little memory\n", agents);
            continue;
        }
        memoryMbPerAgent = measureClusterMemoryMb(options, agents, lines) / agents;
    }
    return lines;
}

const Registration Registered("footprint", measureFootprint);

} // namespace

} // namespace oleandercross::bench
