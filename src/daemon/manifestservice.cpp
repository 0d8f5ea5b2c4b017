#include <oleandercross/daemon/manifestservice.h>

#include <oleandercross/config/manifestcodec.h>
#include <oleandercross/config/manifestdelta.h>
#include <oleandercross/core/clock.h>
#include <oleandercross/core/json.h>
#include <oleandercross/core/resultcode.h>

#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>

namespace oleandercross::daemon {

namespace {

constexpr char HeadKey[] = "manifest/head";
constexpr char RevisionPrefix[] = "manifest/r";

// Older revisions are deleted with each commit, so that the table stays bounded.
constexpr std::int64_t KeptRevisionCount = 5000;

// Number of revisions held for deltas. At 2,400 changes a day an agent is at most one or two
// revisions behind.
constexpr std::size_t RecentRevisionCount = 32;

constexpr absl::Duration ReadTimeout = absl::Seconds(2);
constexpr absl::Duration CommitTimeout = absl::Seconds(5);

// Zero-padded, so that the key order is the order of the numbers.
std::string revisionKey(std::int64_t number)
{
    return absl::StrFormat("%s%012d", RevisionPrefix, number);
}

} // namespace

Json::Value encode(const Revision &revision)
{
    Json::Value value;
    value["revision"] = static_cast<Json::Int64>(revision.number);
    value["parent"] = static_cast<Json::Int64>(revision.parent);
    value["writeId"] = revision.writeId;
    value["yaml"] = revision.yaml;
    value["comment"] = revision.comment;
    value["committedAtMicros"] = static_cast<Json::Int64>(revision.committedAtMicros);
    return value;
}

std::optional<Revision> decodeRevision(const Json::Value &value)
{
    Revision revision;
    revision.number = core::intMember(value, "revision");
    revision.parent = core::intMember(value, "parent");
    revision.writeId = core::stringMember(value, "writeId");
    revision.yaml = core::stringMember(value, "yaml");
    revision.comment = core::stringMember(value, "comment");
    revision.committedAtMicros = core::intMember(value, "committedAtMicros");
    if (revision.number <= 0 || revision.yaml.empty())
        return core::fail(core::ResultCode::BadField, "not a manifest revision");
    return revision;
}

ManifestService::ManifestService(platform::StoreWriter &store)
    : m_store(store)
{ }

std::shared_ptr<const Revision> ManifestService::current() const
{
    absl::MutexLock lock(&m_mutex);
    return m_current;
}

std::optional<ManifestService::Head> ManifestService::readHead()
{
    const auto row = m_store.read(HeadKey, ReadTimeout);
    if (!row)
        return std::nullopt;
    if (!*row)
        return Head{};
    const std::optional<Json::Value> value = core::parseJson((*row)->value);
    if (!value)
        return std::nullopt;
    return Head{core::intMember(*value, "revision"), (*row)->version};
}

bool ManifestService::refresh()
{
    const std::optional<Head> head = readHead();
    if (!head)
        return false;
    const std::shared_ptr<const Revision> known = current();
    if (head->number == 0 || (known && known->number >= head->number))
        return true;
    std::optional<Revision> newest = revision(head->number);
    if (!newest)
        return false;
    putInForce(std::move(*newest));
    return true;
}

void ManifestService::applyPeerRevision(const Json::Value &encoded)
{
    const std::shared_ptr<const Revision> known = current();
    if (known && known->number >= core::intMember(encoded, "revision"))
        return;
    std::optional<Revision> revision = decodeRevision(encoded);
    if (revision)
        putInForce(std::move(*revision));
}

void ManifestService::putInForce(Revision revision)
{
    std::optional<config::Manifest> manifest =
        config::parseManifest(revision.yaml, absl::StrCat("revision ", revision.number));
    if (!manifest)
        return;
    revision.manifest = std::make_shared<const config::Manifest>(std::move(*manifest));
    absl::MutexLock lock(&m_mutex);
    if (m_current && m_current->number >= revision.number)
        return;
    m_current = std::make_shared<const Revision>(std::move(revision));
    m_recent.push_back(m_current);
    if (m_recent.size() > RecentRevisionCount)
        m_recent.pop_front();
}

Json::Value ManifestService::updateFor(std::int64_t base) const
{
    std::shared_ptr<const Revision> current;
    std::shared_ptr<const Revision> known;
    {
        absl::MutexLock lock(&m_mutex);
        current = m_current;
        for (const auto &revision : m_recent) {
            if (revision->number == base)
                known = revision;
        }
    }
    if (!current || base >= current->number)
        return Json::Value();
    Json::Value update;
    if (known) {
        update["delta"] = config::encode(
            config::deltaBetween(*known->manifest, base, *current->manifest, current->number));
    } else {
        update["revision"] = static_cast<Json::Int64>(current->number);
        update["manifest"] = config::encode(*current->manifest);
    }
    return update;
}

std::optional<std::int64_t> ManifestService::commit(const CommitRequest &request)
{
    if (!config::parseManifest(request.yaml, "manifest"))
        return std::nullopt;
    const std::optional<Head> head = readHead();
    if (!head)
        return std::nullopt;
    if (head->number != request.parent)
        return resolveConflict(request);

    Revision next{head->number + 1, head->number,    request.writeId,
                  request.yaml,     request.comment, core::wallClockMicros(),
                  nullptr};
    Json::Value headValue;
    headValue["revision"] = static_cast<Json::Int64>(next.number);
    platform::Transaction transaction;
    transaction.conditions = {{HeadKey, head->rowVersion}, {revisionKey(next.number), 0}};
    transaction.puts = {{HeadKey, core::writeJson(headValue)},
                        {revisionKey(next.number), core::writeJson(encode(next))}};
    if (next.number > KeptRevisionCount)
        transaction.deletes = {revisionKey(next.number - KeptRevisionCount)};
    const platform::WriteResult result =
        m_store.write(std::move(transaction), platform::WritePriority::GangDecision, CommitTimeout);
    switch (result.outcome) {
    case platform::WriteOutcome::Applied: {
        const std::int64_t number = next.number;
        putInForce(std::move(next));
        return number;
    }
    case platform::WriteOutcome::NotApplied:
        return core::fail(result.reason);
    default:
        // Another commit was applied first, or the outcome is unknown; the revision row shows
        // which.
        return resolveConflict(request);
    }
}

std::optional<std::int64_t> ManifestService::resolveConflict(const CommitRequest &request)
{
    const std::optional<Head> head = readHead();
    if (!head) {
        return core::fail(core::ResultCode::OutcomeUnknown,
                          "the commit may have been applied; repeat it to get the result");
    }
    const std::int64_t candidate = request.parent + 1;
    if (head->number == request.parent) {
        return core::fail(core::ResultCode::OutcomeUnknown,
                          "the commit is not visible yet; repeat it to get the result");
    }
    if (head->number >= candidate) {
        const std::optional<Revision> committed = revision(candidate);
        if (committed && committed->writeId == request.writeId) {
            putInForce(*committed);
            return candidate;
        }
    }
    return core::fail(core::ResultCode::ConfigConflict,
                      absl::StrCat("the commit is based on revision ", request.parent,
                                   " but the newest is revision ", head->number));
}

std::optional<Revision> ManifestService::revision(std::int64_t number)
{
    const auto row = m_store.read(revisionKey(number), ReadTimeout);
    if (!row)
        return std::nullopt;
    if (!*row)
        return core::fail(core::ResultCode::ConfigNoRevision,
                          absl::StrCat("there is no revision ", number));
    const std::optional<Json::Value> value = core::parseJson((*row)->value);
    return value ? decodeRevision(*value) : std::nullopt;
}

std::optional<std::vector<Revision>> ManifestService::history(int limit)
{
    const std::optional<Head> head = readHead();
    if (!head)
        return std::nullopt;
    const std::int64_t before = std::max<std::int64_t>(0, head->number - limit);
    const auto rows = m_store.scan(RevisionPrefix, revisionKey(before), limit, ReadTimeout);
    if (!rows)
        return std::nullopt;
    std::vector<Revision> revisions;
    for (auto row = rows->rbegin(); row != rows->rend(); ++row) {
        const std::optional<Json::Value> value = core::parseJson(row->value);
        if (value) {
            if (std::optional<Revision> revision = decodeRevision(*value))
                revisions.push_back(std::move(*revision));
        }
    }
    return revisions;
}

} // namespace oleandercross::daemon
