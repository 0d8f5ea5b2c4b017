#include <oleandercross/config/settings.h>
#include <oleandercross/core/resultcode.h>
#include <oleandercross/daemon/process.h>
#include <oleandercross/statechart/statechart.h>
#include <oleandercross/telemetry/eventlog.h>
#include <oleandercross/telemetry/log.h>
#include <platform/process.h>

#include <CLI/CLI.hpp>
#include <absl/time/clock.h>

#include <csignal>
#include <cstdio>

namespace {

using namespace oleandercross;

volatile std::sig_atomic_t terminationsRequested = 0;
volatile std::sig_atomic_t reloadsRequested = 0;

void onTerminate(int)
{
    terminationsRequested = terminationsRequested + 1;
}

void onReload(int)
{
    reloadsRequested = reloadsRequested + 1;
}

// Prints an error and returns the exit status for it.
int printError(const core::Reason &reason)
{
    std::fprintf(stderr, "error %d %s: %s\n", static_cast<int>(reason.code),
                 std::string(core::name(reason.code)).c_str(), reason.message.c_str());
    return core::exitStatus(reason.code);
}

// Runs until a termination signal, then stops gracefully; a second signal ends the wait for
// requests in flight.
int run(daemon::Process &process)
{
    if (!process.start())
        return printError(core::lastReason());
    std::sig_atomic_t reloads = 0;
    while (terminationsRequested == 0) {
        absl::SleepFor(absl::Milliseconds(50));
        if (reloads == reloadsRequested)
            continue;
        reloads = reloadsRequested;
        process.reload();
    }
    process.stop([] { return terminationsRequested > 1; });
    return 0;
}

// Runs with the adapters in platform/ and with the settings file named by the environment variable
// that platform::loadDeploymentSettings() reads.
int serveDeployed(config::Role role)
{
    const auto settings = platform::loadDeploymentSettings();
    if (!settings)
        return printError(core::lastReason());
    telemetry::startEventLog(settings->node);
    telemetry::Event("process_started").with("version", OLEANDERCROSS_VERSION);
    const auto process = role == config::Role::Entry ? platform::makeDeployedEntry(*settings)
                                                     : platform::makeDeployedAgent(*settings);
    const int status = run(*process);
    telemetry::Event("process_stopped").with("status", status);
    telemetry::stopEventLog();
    return status;
}

int serve(config::Role role, const std::string &settingsFile)
{
    const auto settings = config::loadSettings(settingsFile, role);
    if (!settings)
        return printError(core::lastReason());
    if (!statechart::StateChart::checkAll())
        return printError(core::lastReason());
    telemetry::initLog(settings->id);
    const auto process =
        role == config::Role::Entry ? daemon::makeEntry(*settings) : daemon::makeAgent(*settings);
    const int status = run(*process);
    telemetry::logInfo("daemon", "stopped");
    return status;
}

} // namespace

int main(int argc, char **argv)
{
    CLI::App app("oleandercrossd: entry or agent of the oleandercross scheduler");
    app.set_version_flag("--version", OLEANDERCROSS_VERSION);
    std::string role;
    std::string settingsFile;
    app.add_option("--role", role, "role of this process")
        ->required()
        ->check(CLI::IsMember({"entry", "agent"}));
    app.add_option("--settings", settingsFile,
                   "YAML file with the settings; default: the file named by the "
                   "platform's environment variable");
    try {
        app.parse(argc, argv);
    } catch (const CLI::ParseError &e) {
        const int status = app.exit(e);
        return status == 0 ? 0 : core::exitStatus(core::ResultCode::BadCommandLine);
    }
    std::signal(SIGTERM, onTerminate);
    std::signal(SIGINT, onTerminate);
    std::signal(SIGHUP, onReload);
    std::signal(SIGPIPE, SIG_IGN);
    const config::Role parsed = role == "entry" ? config::Role::Entry : config::Role::Agent;
    if (settingsFile.empty())
        return serveDeployed(parsed);
    return serve(parsed, settingsFile);
}
