#include "minionrole.h"
#include "tablerole.h"
#include "workerrole.h"

#include <CLI/CLI.hpp>
#include <absl/strings/numbers.h>

#include <csignal>
#include <deque>
#include <iostream>

using namespace oleandercross;

namespace {

constexpr int MaxPort = 65535;

struct Options
{
    std::string address = "127.0.0.1";
    int tables = -1;
    std::vector<std::string> workers;
    std::vector<std::string> minions;
    int slots = 8;
    int usageLagMs = 1000;
};

// Name and port of a role.
struct RoleAddress
{
    std::string id;
    int port = 0;
};

std::optional<RoleAddress> parseRoleAddress(const std::string &text)
{
    const auto colon = text.rfind(':');
    RoleAddress named;
    if (colon == std::string::npos || colon == 0
        || !absl::SimpleAtoi(text.substr(colon + 1), &named.port) || named.port < 0
        || named.port > MaxPort)
        return std::nullopt;
    named.id = text.substr(0, colon);
    return named;
}

// All roles of the process. The containers keep the addresses of their elements stable because
// servers refer to the roles.
class Roles
{
public:
    explicit Roles(Options options)
        : m_options(std::move(options))
    { }

    bool start()
    {
        if (m_options.tables >= 0 && !serve("tables", m_options.tables, m_tables))
            return false;
        for (const std::string &text : m_options.workers) {
            const auto named = parseOrReport(text);
            m_workers.emplace_back(absl::Milliseconds(m_options.usageLagMs));
            if (!named || !serve("worker " + named->id, named->port, m_workers.back()))
                return false;
            m_workers.back().setFaults(&m_servers.back().faults());
        }
        for (const std::string &text : m_options.minions) {
            const auto named = parseOrReport(text);
            m_minions.emplace_back(m_options.slots);
            if (!named || !serve("minion " + named->id, named->port, m_minions.back()))
                return false;
        }
        return true;
    }

private:
    static std::optional<RoleAddress> parseOrReport(const std::string &text)
    {
        const auto named = parseRoleAddress(text);
        if (!named)
            std::cerr << "'" << text << "': expected ID:PORT\n";
        return named;
    }

    template <typename Role>
    bool serve(const std::string &name, int port, Role &role)
    {
        m_servers.emplace_back(http::Endpoint{m_options.address, port},
                               [&role](const http::Request &r) { return role.handle(r); });
        if (!m_servers.back().start()) {
            std::cerr << name << ": cannot listen on port " << port << '\n';
            return false;
        }
        std::cout << name << ' ' << http::toString(m_servers.back().endpoint()) << std::endl;
        return true;
    }

    const Options m_options;
    standin::TableRole m_tables;
    std::deque<standin::WorkerRole> m_workers;
    std::deque<standin::MinionRole> m_minions;
    std::deque<standin::FaultServer> m_servers;
};

} // namespace

int main(int argc, char **argv)
{
    Options options;
    CLI::App app("Simulated platform for tests and demonstrations");
    app.add_option("--address", options.address, "address to listen on");
    app.add_option(
           "--tables", options.tables,
           "port of the table service, object store and trace collector; 0 selects a free port")
        ->check(CLI::Range(0, MaxPort));
    app.add_option("--worker", options.workers, "ID:PORT of a worker")
        ->expected(1)
        ->multi_option_policy(CLI::MultiOptionPolicy::TakeAll);
    app.add_option("--minion", options.minions, "ID:PORT of a minion")
        ->expected(1)
        ->multi_option_policy(CLI::MultiOptionPolicy::TakeAll);
    app.add_option("--slots", options.slots, "slots of each minion")->check(CLI::PositiveNumber);
    app.add_option("--usage-lag-ms", options.usageLagMs,
                   "delay of the workers' usage reports in milliseconds")
        ->check(CLI::NonNegativeNumber);
    CLI11_PARSE(app, argc, argv);

    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGINT);
    sigaddset(&signals, SIGTERM);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    Roles roles(options);
    if (!roles.start())
        return 1;
    int signal = 0;
    sigwait(&signals, &signal);
    return 0;
}
