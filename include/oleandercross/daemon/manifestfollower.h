#pragma once

#include <oleandercross/config/manifest.h>

#include <absl/synchronization/mutex.h>
#include <json/value.h>

#include <cstdint>
#include <memory>

namespace oleandercross::daemon {

// The manifest in force on an agent, kept up to date with updates from
// ManifestService::updateFor(). Its revision never decreases. Thread safe.
class ManifestFollower
{
public:
    // Applies an update. Returns true if a newer revision is in force now. If a delta cannot be
    // decoded or applied, base() is 0 until a full manifest has been received.
    bool apply(const Json::Value &update);

    // Returns the revision in force, 0 before the first.
    std::int64_t revision() const;
    // Returns the base for the next update: the revision in force, or 0 to request a full manifest.
    std::int64_t base() const;
    // Returns null before the first revision.
    std::shared_ptr<const config::Manifest> manifest() const;

private:
    bool activate(std::int64_t revision, config::Manifest manifest);

    mutable absl::Mutex m_mutex;
    std::int64_t m_revision ABSL_GUARDED_BY(m_mutex) = 0;
    bool m_needsFullManifest ABSL_GUARDED_BY(m_mutex) = false;
    std::shared_ptr<const config::Manifest> m_manifest ABSL_GUARDED_BY(m_mutex);
};

} // namespace oleandercross::daemon
