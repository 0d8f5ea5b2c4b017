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
    // Null for an entry of the history that was not parsed.
    std::shared_ptr<const config::Manifest> manifest;

    // The manifest follows from the YAML text.
    friend bool operator==(const Revision &a, const Revision &b)
    {
        return a.number == b.number && a.parent == b.parent && a.writeId == b.writeId
            && a.yaml == b.yaml && a.comment == b.comment
            && a.committedAtMicros == b.committedAtMicros;
    }
};

// What a commit asks for.
struct CommitRequest
{
    std::int64_t parent = 0;
    std::string writeId;
    std::string yaml;
    std::string comment;

    friend bool operator==(const CommitRequest &, const CommitRequest &) = default;
};

// The manifest in force on this process and its revisions in the table service. The revision in
// force never decreases. Thread safe.
class ManifestService
{
public:
    explicit ManifestService(platform::StoreWriter &store);

    // The revision in force, or null before the first was learnt.
    std::shared_ptr<const Revision> current() const;

    // Reads the head row and puts a newer revision in force. Returns false with the last reason set
    // if the table service is unavailable. True with current() still null means that nothing was
    // committed yet.
    bool refresh();

    // Puts a revision learnt from a peer in force if it is newer.
    void learn(const Json::Value &encoded);

    // What a follower with revision `base` (0: none) needs for the revision in force: a delta if
    // the base is still known here, otherwise the whole manifest; null if it is up to date. See
    // ManifestFollower.
    Json::Value updateFor(std::int64_t base) const;

    // Checks and commits a manifest and returns its revision number. A repeated commit with the
    // same write id returns the number of the first. Fails with ConfigConflict if the parent is not
    // the newest revision, any 1xx code of parseManifest(), StoreUnavailable, or OutcomeUnknown.
    std::optional<std::int64_t> commit(const CommitRequest &request);

    // A revision by number. Fails with ConfigNoRevision or StoreUnavailable.
    std::optional<Revision> revision(std::int64_t number);

    // The newest revisions, newest first, without contents.
    std::optional<std::vector<Revision>> history(int limit);

private:
    struct Head
    {
        std::int64_t number = 0;
        std::int64_t rowVersion = 0;
    };

    std::optional<Head> readHead();
    std::optional<std::int64_t> settleConflict(const CommitRequest &request);
    void putInForce(Revision revision);

    platform::StoreWriter &m_store;
    mutable absl::Mutex m_mutex;
    std::shared_ptr<const Revision> m_current ABSL_GUARDED_BY(m_mutex);
    // Revisions that were in force here, for deltas.
    std::deque<std::shared_ptr<const Revision>> m_recent ABSL_GUARDED_BY(m_mutex);
};

// The JSON form of a revision in rows and messages.
Json::Value encode(const Revision &revision);
std::optional<Revision> decodeRevision(const Json::Value &value);

} // namespace oleandercross::daemon
