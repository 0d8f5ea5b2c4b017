#include <oleandercross/cli/cli.h>

#include "session.h"

#include <oleandercross/core/json.h>

#include <CLI/CLI.hpp>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>

#include <cstdlib>

namespace oleandercross::cli {

namespace {

using core::ResultCode;
using Action = std::function<bool(Session &)>;

constexpr char EntryVariable[] = "OLEANDERCROSS_ENTRY";
constexpr char TokenVariable[] = "OLEANDERCROSS_TOKEN";

struct GlobalOptions
{
    std::vector<std::string> entries;
    std::string token;
    std::string output = "text";
    std::string tlsAuthority;
};

// The options and subcommands. Parsing selects the action.
class CommandLine
{
public:
    CommandLine()
    {
        m_app.set_version_flag("--version", OLEANDERCROSS_VERSION);
        m_app.require_subcommand(1);
        m_app.fallthrough();
        addGlobalOptions();
        addManifestCommands();
        addJobCommands();
        addSubmitCommand();
        addRequestCommand();
        addQueryCommands();
    }

    CLI::App &app() { return m_app; }
    const GlobalOptions &global() const { return m_global; }
    const Action &action() const { return m_action; }

private:
    CLI::App *command(CLI::App &parent, const char *name, const char *description, Action action)
    {
        CLI::App *sub = parent.add_subcommand(name, description);
        sub->callback([this, action = std::move(action)] { m_action = action; });
        return sub;
    }

    void addGlobalOptions()
    {
        m_app
            .add_option("--entry", m_global.entries,
                        "address and port of an entry; can be repeated, the next entry is tried "
                        "if a call definitely did not run")
            ->type_name("ADDR:PORT")
            ->allow_extra_args(false);
        m_app.add_option("--token", m_global.token, "token of the client account or the operator");
        m_app.add_option("--output", m_global.output, "output format")
            ->check(CLI::IsMember({"text", "json"}));
        m_app.add_option("--tls-authority", m_global.tlsAuthority,
                         "PEM file of the certificate authority of the entries; enables TLS");
    }

    void addManifestCommands()
    {
        CLI::App *manifest = m_app.add_subcommand("manifest", "manage the cluster's configuration");
        manifest->require_subcommand(1);
        ManifestOptions &options = m_manifest;

        CLI::App *check = command(*manifest, "check", "validate a file locally",
                                  [&](Session &s) { return checkManifest(s, options); });
        check->add_option("FILE", options.file)->required();

        CLI::App *diff = command(*manifest, "diff", "compare the newest revision with a file",
                                 [&](Session &s) { return diffManifest(s, options); });
        diff->add_option("FILE", options.file)->required();

        CLI::App *show = command(*manifest, "show", "print a revision",
                                 [&](Session &s) { return showManifest(s, options); });
        show->add_option("--revision", options.revision, "revision to print; default is the newest")
            ->check(CLI::PositiveNumber);

        command(*manifest, "history", "list the newest revisions",
                [](Session &s) { return showHistory(s); });

        CLI::App *commit = command(*manifest, "commit", "commit a file as the next revision",
                                   [&](Session &s) { return commitManifest(s, options); });
        commit->add_option("FILE", options.file)->required();
        commit->add_option("--parent", options.parent, "revision that the file is based on")
            ->check(CLI::NonNegativeNumber);
        commit->add_flag("--wait", options.wait, "wait until all live nodes use the revision");
        commit->add_option("--comment", options.comment, "comment in the history");
        commit->add_option("--write-id", options.writeId,
                           "id of this commit; default is a digest of parent and content");
        commit->add_option("--timeout", options.timeoutSeconds, "longest wait in seconds")
            ->check(CLI::PositiveNumber);
    }

    void addJobCommands()
    {
        JobOptions &options = m_job;
        CLI::App *job =
            command(m_app, "job", "print a job", [&](Session &s) { return showJob(s, options); });
        job->add_option("ID", options.id)->required();
        addWaitOptions(*job);
        CLI::App *cancel = command(m_app, "cancel", "cancel a job",
                                   [&](Session &s) { return cancelJob(s, options); });
        cancel->add_option("ID", options.id)->required();
        CLI::App *explain = command(m_app, "explain", "explain why a job is waiting",
                                    [&](Session &s) { return explainJob(s, options); });
        explain->add_option("ID", options.id)->required();
    }

    void addSubmitCommand()
    {
        JobOptions &options = m_job;
        CLI::App *submit = command(m_app, "submit", "submit a job",
                                   [&](Session &s) { return submitJob(s, options); });
        CLI::Option *file = submit->add_option("FILE", options.file, "the job as JSON");
        const auto addJobOption = [&](const char *name, auto &value, const char *description) {
            return submit->add_option(name, value, description)->excludes(file);
        };
        addJobOption("--tasks", options.tasks,
                     "number of tasks, which start together or not at all");
        addJobOption("--accelerators", options.accelerators, "accelerators per task");
        addJobOption("--cores", options.cores, "cores per task");
        addJobOption("--memory-mb", options.memoryMb, "memory per task in MiB");
        addJobOption("--data-centre", options.dataCentre, "data centre to run in");
        addJobOption("--team", options.team, "team whose quota is charged");
        addJobOption("--adjacency", options.adjacency, "preferred placement")
            ->check(CLI::IsMember({"worker", "rack", "datacentre"}));
        addJobOption("--command", options.command, "command for the worker");
        addJobOption("--run-time", options.runTimeSeconds, "expected run time in seconds");
        submit->add_flag("--hard", options.hard, "require the adjacency")->excludes(file);
        submit->add_flag("--urgent", options.urgent, "start ahead of other jobs")->excludes(file);
        submit
            ->add_flag("--repeatable", options.repeatable, "can be run again after losing a member")
            ->excludes(file);
        submit->add_flag("--checkpointable", options.checkpointable, "can be checkpointed")
            ->excludes(file);
        submit->add_option("--key", options.key, "idempotency key: repeated calls submit one job");
        addWaitOptions(*submit);
    }

    void addWaitOptions(CLI::App &sub)
    {
        sub.add_flag("--wait", m_job.wait, "wait until the job has ended");
        sub.add_option("--timeout", m_job.timeoutSeconds, "longest wait in seconds")
            ->check(CLI::PositiveNumber);
    }

    void addRequestCommand()
    {
        RequestOptions &options = m_request;
        CLI::App *request = command(m_app, "request", "send a short request to a service",
                                    [&](Session &s) { return sendRequest(s, options); });
        request->add_option("SERVICE", options.service)->required();
        request->add_option("--body", options.body, "request body for the minion")->required();
        request->add_flag("--non-idempotent", options.nonIdempotent, "run at most once");
        request->add_option("--key", options.key,
                            "idempotency key: repeated calls run a non-idempotent request once");
        request
            ->add_option("--deadline-ms", options.deadlineMs,
                         "deadline relative to now in milliseconds")
            ->check(CLI::PositiveNumber);
    }

    void addQueryCommands()
    {
        command(m_app, "status", "print leaders, revisions and nodes",
                [](Session &s) { return showStatus(s); });
        command(m_app, "report", "print counters", [](Session &s) { return showReport(s); });
        CLI::App *trace = command(m_app, "trace", "print a trace as a tree",
                                  [&](Session &s) { return showTrace(s, m_trace); });
        trace->add_option("ID", m_trace.id)->required();
        trace->add_option("--from", m_trace.from, "address and port of the collector")
            ->type_name("ADDR:PORT")
            ->required();
    }

    CLI::App m_app{"Operates an oleandercross cluster", "oleandercross"};
    GlobalOptions m_global;
    ManifestOptions m_manifest;
    JobOptions m_job;
    RequestOptions m_request;
    TraceOptions m_trace;
    Action m_action;
};

std::string environmentVariable(const Environment &environment, const char *name)
{
    const auto it = environment.find(name);
    return it == environment.end() ? std::string() : it->second;
}

std::optional<ApiOptions> apiOptions(const GlobalOptions &global, const Environment &environment)
{
    std::vector<std::string> entries = global.entries;
    if (entries.empty())
        entries =
            absl::StrSplit(environmentVariable(environment, EntryVariable), ',', absl::SkipEmpty());
    ApiOptions options;
    for (const std::string &text : entries) {
        const std::optional<http::Endpoint> entry = http::parseEndpoint(text);
        if (!entry)
            return core::fail(
                core::Reason{ResultCode::BadCommandLine,
                             absl::StrCat("entry '", text, "': ", core::lastReason().message)});
        options.entries.push_back(*entry);
    }
    options.token =
        global.token.empty() ? environmentVariable(environment, TokenVariable) : global.token;
    if (!global.tlsAuthority.empty()) {
        options.tls.emplace();
        options.tls->authorityFile = global.tlsAuthority;
    }
    return options;
}

// Returns the same text as in error responses of the API.
const char *outcomeName(ResultCode code)
{
    constexpr int UnknownOutcomeClass = 4;
    if (core::provablyNotRun(code))
        return "not run";
    return static_cast<int>(code) / 100 == UnknownOutcomeClass ? "unknown" : "error";
}

int printReason(const core::Reason &reason, OutputFormat output, std::ostream &err)
{
    const int number = static_cast<int>(reason.code);
    const std::string name(core::name(reason.code));
    if (output == OutputFormat::Json) {
        Json::Value value;
        value["code"] = number;
        value["name"] = name;
        value["outcome"] = outcomeName(reason.code);
        value["message"] = reason.message;
        err << core::writeJson(value) << '\n';
    } else {
        err << "error " << number << " " << name << ": " << reason.message << '\n';
    }
    return core::exitStatus(reason.code);
}

int printParseError(const CommandLine &line, CLI::App &app, const CLI::ParseError &error,
                    std::ostream &out, std::ostream &err)
{
    // Help and version are reported as errors with status 0.
    if (error.get_exit_code() == 0)
        return app.exit(error, out, err);
    const OutputFormat output =
        line.global().output == "json" ? OutputFormat::Json : OutputFormat::Text;
    return printReason({ResultCode::BadCommandLine, error.what()}, output, err);
}

} // namespace

Environment processEnvironment()
{
    Environment environment;
    for (const char *name : {EntryVariable, TokenVariable}) {
        if (const char *value = std::getenv(name))
            environment[name] = value;
    }
    return environment;
}

int run(const std::vector<std::string> &arguments, const Environment &environment,
        std::ostream &out, std::ostream &err)
{
    CommandLine line;
    try {
        // CLI11 expects the arguments in reverse order.
        line.app().parse(std::vector<std::string>(arguments.rbegin(), arguments.rend()));
    } catch (const CLI::ParseError &error) {
        return printParseError(line, line.app(), error, out, err);
    }
    const OutputFormat output =
        line.global().output == "json" ? OutputFormat::Json : OutputFormat::Text;
    std::optional<ApiOptions> options = apiOptions(line.global(), environment);
    if (!options)
        return printReason(core::lastReason(), output, err);
    ApiClient api(std::move(*options));
    Session session{api, output, out};
    if (line.action()(session))
        return 0;
    return printReason(core::lastReason(), output, err);
}

} // namespace oleandercross::cli
