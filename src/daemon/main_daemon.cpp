#include <oleandercross/config/settings.h>
#include <oleandercross/core/resultcode.h>
#include <oleandercross/daemon/process.h>
#include <oleandercross/statechart/statechart.h>
#include <oleandercross/telemetry/log.h>

#include <CLI/CLI.hpp>
#include <absl/time/clock.h>

#include <csignal>
#include <cstdio>

namespace {

using namespace oleandercross;

volatile std::sig_atomic_t signalsReceived = 0;

void onSignal(int)
{
    signalsReceived = signalsReceived + 1;
}

int report(const core::Reason &reason)
{
    std::fprintf(stderr, "error %d %s: %s\n", static_cast<int>(reason.code),
                 std::string(core::name(reason.code)).c_str(), reason.message.c_str());
    return core::exitStatus(reason.code);
}

int serve(config::Role role, const std::string &settingsFile)
{
    const auto settings = config::loadSettings(settingsFile, role);
    if (!settings)
        return report(core::lastReason());
    if (!statechart::StateChart::checkAll())
        return report(core::lastReason());
    telemetry::initLog(settings->id);
    const auto process =
        role == config::Role::Entry ? daemon::makeEntry(*settings) : daemon::makeAgent(*settings);
    if (!process->start())
        return report(core::lastReason());
    telemetry::logState("daemon", "started");
    while (signalsReceived == 0)
        absl::SleepFor(absl::Milliseconds(50));
    telemetry::logState("daemon", "stopping");
    process->stop([] { return signalsReceived > 1; });
    telemetry::logState("daemon", "stopped");
    return 0;
}

} // namespace

int main(int argc, char **argv)
{
    CLI::App app("oleandercrossd: entry or agent of the oleandercross scheduler");
    app.set_version_flag("--version", OLEANDERCROSS_VERSION);
    std::string role;
    std::string settingsFile;
    app.add_option("--role", role, "what this process is")
        ->required()
        ->check(CLI::IsMember({"entry", "agent"}));
    app.add_option("--settings", settingsFile, "YAML file with the settings")->required();
    try {
        app.parse(argc, argv);
    } catch (const CLI::ParseError &e) {
        const int status = app.exit(e);
        return status == 0 ? 0 : core::exitStatus(core::ResultCode::BadCommandLine);
    }
    std::signal(SIGTERM, onSignal);
    std::signal(SIGINT, onSignal);
    std::signal(SIGPIPE, SIG_IGN);
    return serve(role == "entry" ? config::Role::Entry : config::Role::Agent, settingsFile);
}
