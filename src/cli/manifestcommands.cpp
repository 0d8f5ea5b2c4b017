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

// Fails with ConfigNoRevision if no revision has been committed.
std::optional<CurrentManifest> fetchManifest(Session &session)
{
    const std::optional<Json::Value> response = session.api.json({"GET", "/v1/manifest"});
    if (!response)
        return std::nullopt;
    CurrentManifest current;
    current.revision = core::intMember(*response, "revision");
    current.yaml = core::stringMember(*response, "yaml");
    if (current.revision <= 0)
        return core::fail(ResultCode::BadAnswer, "the entry's response has no revision");
    std::optional<config::Manifest> manifest =
        config::parseManifest(current.yaml, absl::StrCat("revision-", current.revision));
    if (!manifest)
        return std::nullopt;
    current.manifest = std::move(*manifest);
    return current;
}

// Returns the current manifest, or an empty one with revision 0 if none has been committed.
std::optional<CurrentManifest> fetchManifestOrEmpty(Session &session)
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

struct RolloutProgress
{
    int inForce = 0;
    int live = 0;
    int notLive = 0;

    bool complete() const { return live > 0 && inForce == live; }
};

// Ignores nodes that are not live: they get no work, and load the newest revision before they
// become ready again.
RolloutProgress rolloutProgress(const Json::Value &status, std::int64_t revision)
{
    RolloutProgress progress;
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

std::string progressText(const RolloutProgress &progress)
{
    std::string text =
        absl::StrCat("in force on ", progress.inForce, " of ", progress.live, " nodes");
    if (progress.notLive > 0)
        text += absl::StrCat(", ", progress.notLive, " not live");
    return text;
}

// Retries failed calls, which is safe because they only read.
std::optional<RolloutProgress> waitUntilInForce(Session &session, std::int64_t revision,
                                                absl::Duration timeout)
{
    const core::SteadyClock clock;
    const core::Instant deadline = clock.now() + timeout;
    RolloutProgress progress;
    std::string failure;
    while (true) {
        const std::optional<Json::Value> status = session.api.json({"GET", "/v1/status"});
        failure = status ? std::string() : absl::StrCat("; ", core::lastReason().message);
        if (status)
            progress = rolloutProgress(*status, revision);
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
    if (session.output == OutputFormat::Text)
        session.out << text << std::flush;
    const std::optional<RolloutProgress> progress =
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
    const std::optional<CurrentManifest> base = fetchManifestOrEmpty(session);
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
    const std::optional<Json::Value> response = session.api.json({"GET", path});
    if (!response)
        return false;
    std::string yaml = core::stringMember(*response, "yaml");
    if (!yaml.empty() && yaml.back() != '\n')
        yaml += '\n';
    print(session, *response,
          absl::StrCat("# revision ", core::intMember(*response, "revision"), "\n", yaml));
    return true;
}

bool showHistory(Session &session)
{
    const std::optional<Json::Value> response = session.api.json({"GET", "/v1/manifest/history"});
    if (!response)
        return false;
    std::vector<std::vector<std::string>> rows = {
        {"REVISION", "PARENT", "COMMITTED", "WRITE ID", "COMMENT"}};
    for (const Json::Value &revision : core::member(*response, "revisions")) {
        const absl::Time committed =
            absl::FromUnixMicros(core::intMember(revision, "committedAtMicros"));
        rows.push_back({absl::StrCat(core::intMember(revision, "revision")),
                        absl::StrCat(core::intMember(revision, "parent")),
                        absl::FormatTime("%Y-%m-%dT%H:%M:%SZ", committed, absl::UTCTimeZone()),
                        core::stringMember(revision, "writeId"),
                        core::stringMember(revision, "comment")});
    }
    print(session, *response, table(rows));
    return true;
}

bool commitManifest(Session &session, const ManifestOptions &options)
{
    const std::optional<std::string> yaml = config::readFile(options.file);
    if (!yaml || !config::parseManifest(*yaml, options.file))
        return false;
    std::int64_t parent = options.parent;
    if (parent < 0) {
        const std::optional<CurrentManifest> current = fetchManifestOrEmpty(session);
        if (!current)
            return false;
        // Otherwise a repeated command without --parent would commit the same content again.
        if (current->revision > 0 && current->yaml == *yaml)
            return reportCommit(session, options, current->revision, "unchanged, already");
        parent = current->revision;
    }
    Json::Value body;
    body["parent"] = static_cast<Json::Int64>(parent);
    // The id depends only on parent and content, so that the entry recognises a retry.
    body["writeId"] = options.writeId.empty()
        ? core::sha256Hex(absl::StrCat("commit\n", parent, "\n", *yaml))
        : options.writeId;
    body["yaml"] = *yaml;
    body["comment"] = options.comment;
    const std::optional<Json::Value> response =
        session.api.json({"POST", "/v1/manifest", core::writeJson(body)});
    if (!response)
        return false;
    const std::int64_t revision = core::intMember(*response, "revision");
    if (revision <= parent) {
        core::fail(ResultCode::BadAnswer, "the entry's response has no new revision");
        return false;
    }
    return reportCommit(session, options, revision, "committed");
}

} // namespace oleandercross::cli
