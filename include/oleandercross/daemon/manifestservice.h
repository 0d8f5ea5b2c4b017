#pragma once

#include <oleandercross/config/manifest.h>
#include <oleandercross/platform/storewriter.h>

#include <absl/synchronization/mutex.h>
#include <json/value.h>

#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace oleandercross::daemon {

// One committed manifest.
struct Revision
{
    std::int64_t number = 0;
    std::int64_t parent = 0;
    std::string writeId;
    std::string yaml;
    std::string comment;
    std::int64_t committedAtMicros = 0;
    // Null for revisions returned by revision() and history(), which are not parsed.
    std::shared_ptr<const config::Manifest> manifest;

    // The manifest is derived from the YAML text and not compared.
    friend bool operator==(const Revision &a, const Revision &b)
    {
        return a.number == b.number && a.parent == b.parent && a.writeId == b.writeId
            && a.yaml == b.yaml && a.comment == b.comment
            && a.committedAtMicros == b.committedAtMicros;
    }
};

// A request to commit a manifest on top of revision `parent`.
struct CommitRequest
{
    std::int64_t parent = 0;
    std::string writeId;
    std::string yaml;
    std::string comment;

    friend bool operator==(const CommitRequest &, const CommitRequest &) = default;
};

// The manifest in force in this process and the revisions stored in the table service. The revision
// in force never decreases. Thread safe.
class ManifestService
{
public:
    explicit ManifestService(platform::StoreWriter &store);

    // Returns the revision in force, or null if none has been received yet.
    std::shared_ptr<const Revision> current() const;

    // Reads the head row and puts a newer revision in force. Returns false with the last reason set
    // if the table service is unavailable. If it returns true and current() is still null, nothing
    // has been committed yet.
    bool refresh();

    // Puts a revision received from a peer in force if it is newer.
    void applyPeerRevision(const Json::Value &encoded);

    // Returns the update from revision `base` (0: none) to the revision in force: a delta if the
    // base is still held, otherwise the full manifest; null if the base is up to date. See
    // ManifestFollower.
    Json::Value updateFor(std::int64_t base) const;

    // Validates and commits a manifest and returns its revision number. A repeated commit with the
    // same write id returns the number of the first. Fails with ConfigConflict if the parent is not
    // the newest revision, any 1xx code of parseManifest(), StoreUnavailable, or OutcomeUnknown.
    std::optional<std::int64_t> commit(const CommitRequest &request);

    // Returns a revision by number. Fails with ConfigNoRevision or StoreUnavailable.
    std::optional<Revision> revision(std::int64_t number);

    // Returns the newest revisions, newest first, without parsed manifests.
    std::optional<std::vector<Revision>> history(int limit);

private:
    struct Head
    {
        std::int64_t number = 0;
        std::int64_t rowVersion = 0;
    };

    std::optional<Head> readHead();
    std::optional<std::int64_t> resolveConflict(const CommitRequest &request);
    void putInForce(Revision revision);

    platform::StoreWriter &m_store;
    mutable absl::Mutex m_mutex;
    std::shared_ptr<const Revision> m_current ABSL_GUARDED_BY(m_mutex);
    // Revisions that were recently in force, as bases for deltas.
    std::deque<std::shared_ptr<const Revision>> m_recent ABSL_GUARDED_BY(m_mutex);
};

// JSON form of a revision in rows and messages.
Json::Value encode(const Revision &revision);
std::optional<Revision> decodeRevision(const Json::Value &value);

} // namespace oleandercross::daemon
