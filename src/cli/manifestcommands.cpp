#include "session.h"
#include "text.h"

#include <oleandercross/config/file.h>
#include <oleandercross/config/manifestcodec.h>
#include <oleandercross/config/manifestdelta.h>
#include <oleandercross/core/clock.h>
#include <oleandercross/core/digest.h>
#include <oleandercross/core/json.h>

#include <absl/strings/str_cat.h>
#include <absl/time/clock.h>

namespace oleandercross::cli {

namespace {

using core::ResultCode;

constexpr absl::Duration StatusPollInterval = absl::Milliseconds(200);

struct CurrentManifest
{
    std::int64_t revision = 0;
    std::string yaml;
    config::Manifest manifest;
};

// Fails with ConfigNoRevision when nothing was committed yet.
std::optional<CurrentManifest> fetchManifest(Session &session)
{
    const std::optional<Json::Value> answer = session.api.json({"GET", "/v1/manifest"});
    if (!answer)
        return std::nullopt;
    CurrentManifest current;
    current.revision = core::intMember(*answer, "revision");
    current.yaml = core::stringMember(*answer, "yaml");
    if (current.revision <= 0)
        return core::fail(ResultCode::BadAnswer, "the entry's answer has no revision");
    std::optional<config::Manifest> manifest =
        config::parseManifest(current.yaml, absl::StrCat("revision-", current.revision));
    if (!manifest)
        return std::nullopt;
    current.manifest = std::move(*manifest);
    return current;
}

// The current manifest, or revision 0 with an empty one.
std::optional<CurrentManifest> fetchManifestOrNone(Session &session)
{
    std::optional<CurrentManifest> current = fetchManifest(session);
    if (!current && core::lastReason().code == ResultCode::ConfigNoRevision)
        return CurrentManifest{};
    return current;
}

std::string summary(const config::Manifest &manifest)
{
    return absl::StrCat(manifest.dataCentres.size(), " data centres, ", manifest.accounts.size(),
                        " accounts, ", manifest.services.size(), " services, ",
                        manifest.drainWorkers.size() + manifest.drainMinions.size(), " drains");
}

Json::Value revisionValue(std::int64_t revision)
{
    Json::Value value;
    value["revision"] = static_cast<Json::Int64>(revision);
    return value;
}

struct Progress
{
    int inForce = 0;
    int live = 0;
    int notLive = 0;

    bool complete() const { return live > 0 && inForce == live; }
};

// A node that is not live takes no work and reads the newest revision before it is ready again.
Progress progressOf(const Json::Value &status, std::int64_t revision)
{
    Progress progress;
    for (const Json::Value &node : core::member(status, "nodes")) {
        if (!core::boolMember(node, "live")) {
            ++progress.notLive;
            continue;
        }
        ++progress.live;
        if (core::intMember(node, "revision") >= revision)
            ++progress.inForce;
    }
    return progress;
}

std::string progressText(const Progress &progress)
{
    std::string text =
        absl::StrCat("in force on ", progress.inForce, " of ", progress.live, " nodes");
    if (progress.notLive > 0)
        text += absl::StrCat(", ", progress.notLive, " not live");
    return text;
}

// A call that fails is repeated, because polling changes nothing.
std::optional<Progress> waitUntilInForce(Session &session, std::int64_t revision,
                                         absl::Duration timeout)
{
    const core::SteadyClock clock;
    const core::Instant deadline = clock.now() + timeout;
    Progress progress;
    std::string failure;
    while (true) {
        const std::optional<Json::Value> status = session.api.json({"GET", "/v1/status"});
        failure = status ? std::string() : absl::StrCat("; ", core::lastReason().message);
        if (status)
            progress = progressOf(*status, revision);
        if (status && progress.complete())
            return progress;
        if (clock.now() + StatusPollInterval >= deadline)
            break;
        absl::SleepFor(StatusPollInterval);
    }
    return core::fail(ResultCode::Timeout,
                      absl::StrCat("revision ", revision, " is committed but only ",
                                   progressText(progress), failure));
}

bool reportCommit(Session &session, const ManifestOptions &options, std::int64_t revision,
                  const char *verb)
{
    Json::Value value = revisionValue(revision);
    std::string text = absl::StrCat(verb, " revision ", revision, "\n");
    if (!options.wait) {
        print(session, value, text);
        return true;
    }
    if (session.output == Output::Text)
        session.out << text << std::flush;
    const std::optional<Progress> progress =
        waitUntilInForce(session, revision, absl::Seconds(options.timeoutSeconds));
    if (!progress)
        return false;
    value["nodes"] = progress->live;
    value["nodesInForce"] = progress->inForce;
    value["nodesNotLive"] = progress->notLive;
    print(session, value, progressText(*progress) + "\n");
    return true;
}

} // namespace

bool checkManifest(Session &session, const ManifestOptions &options)
{
    const std::optional<std::string> yaml = config::readFile(options.file);
    if (!yaml)
        return false;
    const std::optional<config::Manifest> manifest = config::parseManifest(*yaml, options.file);
    if (!manifest)
        return false;
    Json::Value value;
    value["digest"] = config::digest(*manifest);
    value["manifest"] = config::encode(*manifest);
    print(session, value, absl::StrCat(options.file, ": valid: ", summary(*manifest), "\n"));
    return true;
}

bool diffManifest(Session &session, const ManifestOptions &options)
{
    const std::optional<std::string> yaml = config::readFile(options.file);
    if (!yaml)
        return false;
    const std::optional<config::Manifest> target = config::parseManifest(*yaml, options.file);
    if (!target)
        return false;
    const std::optional<CurrentManifest> base = fetchManifestOrNone(session);
    if (!base)
        return false;
    const config::ManifestDelta delta =
        config::deltaBetween(base->manifest, base->revision, *target, base->revision + 1);
    std::string text = absl::StrCat("revision ", base->revision, " -> ", options.file, "\n");
    text += delta.empty() ? "no difference\n" : deltaText(delta, base->manifest);
    print(session, config::encode(delta), text);
    return true;
}

bool showManifest(Session &session, const ManifestOptions &options)
{
    std::string path = "/v1/manifest";
    if (options.revision > 0)
        path += absl::StrCat("?revision=", options.revision);
    const std::optional<Json::Value> answer = session.api.json({"GET", path});
    if (!answer)
        return false;
    std::string yaml = core::stringMember(*answer, "yaml");
    if (!yaml.empty() && yaml.back() != '\n')
        yaml += '\n';
    print(session, *answer,
          absl::StrCat("# revision ", core::intMember(*answer, "revision"), "\n", yaml));
    return true;
}

bool showHistory(Session &session)
{
    const std::optional<Json::Value> answer = session.api.json({"GET", "/v1/manifest/history"});
    if (!answer)
        return false;
    std::vector<std::vector<std::string>> rows = {
        {"REVISION", "PARENT", "COMMITTED", "WRITE ID", "COMMENT"}};
    for (const Json::Value &revision : core::member(*answer, "revisions")) {
        const absl::Time committed =
            absl::FromUnixMicros(core::intMember(revision, "committedAtMicros"));
        rows.push_back({absl::StrCat(core::intMember(revision, "revision")),
                        absl::StrCat(core::intMember(revision, "parent")),
                        absl::FormatTime("%Y-%m-%dT%H:%M:%SZ", committed, absl::UTCTimeZone()),
                        core::stringMember(revision, "writeId"),
                        core::stringMember(revision, "comment")});
    }
    print(session, *answer, table(rows));
    return true;
}

bool commitManifest(Session &session, const ManifestOptions &options)
{
    const std::optional<std::string> yaml = config::readFile(options.file);
    if (!yaml || !config::parseManifest(*yaml, options.file))
        return false;
    std::int64_t parent = options.parent;
    if (parent < 0) {
        const std::optional<CurrentManifest> current = fetchManifestOrNone(session);
        if (!current)
            return false;
        // Without a parent, a repeated command would otherwise commit the same content again.
        if (current->revision > 0 && current->yaml == *yaml)
            return reportCommit(session, options, current->revision, "unchanged, already");
        parent = current->revision;
    }
    Json::Value body;
    body["parent"] = static_cast<Json::Int64>(parent);
    // The same commit gets the same id, so that the entry recognises a repetition.
    body["writeId"] = options.writeId.empty()
        ? core::sha256Hex(absl::StrCat("commit\n", parent, "\n", *yaml))
        : options.writeId;
    body["yaml"] = *yaml;
    body["comment"] = options.comment;
    const std::optional<Json::Value> answer =
        session.api.json({"POST", "/v1/manifest", core::writeJson(body)});
    if (!answer)
        return false;
    const std::int64_t revision = core::intMember(*answer, "revision");
    if (revision <= parent) {
        core::fail(ResultCode::BadAnswer, "the entry's answer has no new revision");
        return false;
    }
    return reportCommit(session, options, revision, "committed");
}

} // namespace oleandercross::cli
