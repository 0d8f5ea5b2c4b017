#pragma once

#include <oleandercross/config/manifest.h>

#include <absl/synchronization/mutex.h>
#include <json/value.h>

#include <cstdint>
#include <memory>

namespace oleandercross::daemon {

// The manifest in force on an agent, kept up to date by ManifestService::updateFor(). Its revision
// never decreases. Thread safe.
class ManifestFollower
{
public:
    // Applies an update. Returns true if a newer revision is in force now. After an update that
    // does not follow, base() is 0 until a whole manifest has arrived.
    bool apply(const Json::Value &update);

    // The revision in force, 0 before the first.
    std::int64_t revision() const;
    // The base to ask an update for: the revision in force, or 0 for a whole manifest.
    std::int64_t base() const;
    // Null before the first revision.
    std::shared_ptr<const config::Manifest> manifest() const;

private:
    bool put(std::int64_t revision, config::Manifest manifest);

    mutable absl::Mutex m_mutex;
    std::int64_t m_revision ABSL_GUARDED_BY(m_mutex) = 0;
    bool m_wantsWhole ABSL_GUARDED_BY(m_mutex) = false;
    std::shared_ptr<const config::Manifest> m_manifest ABSL_GUARDED_BY(m_mutex);
};

} // namespace oleandercross::daemon
