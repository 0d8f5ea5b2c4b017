#include <oleandercross/daemon/manifestfollower.h>

#include <oleandercross/config/manifestcodec.h>
#include <oleandercross/config/manifestdelta.h>
#include <oleandercross/core/json.h>

namespace oleandercross::daemon {

bool ManifestFollower::apply(const Json::Value &update)
{
    const Json::Value &full = core::member(update, "manifest");
    if (full.isObject()) {
        std::optional<config::Manifest> manifest = config::decodeManifest(full);
        return manifest && activate(core::intMember(update, "revision"), std::move(*manifest));
    }
    const Json::Value &encoded = core::member(update, "delta");
    if (!encoded.isObject())
        return false;
    const std::optional<config::ManifestDelta> delta = config::decodeManifestDelta(encoded);
    const std::shared_ptr<const config::Manifest> current = manifest();
    std::optional<config::Manifest> target;
    if (delta && current && delta->baseRevision == revision())
        target = config::apply(*delta, *current);
    if (target)
        return activate(delta->targetRevision, std::move(*target));
    absl::MutexLock lock(&m_mutex);
    m_needsFullManifest = true;
    return false;
}

bool ManifestFollower::activate(std::int64_t revision, config::Manifest manifest)
{
    absl::MutexLock lock(&m_mutex);
    m_needsFullManifest = false;
    if (revision <= m_revision)
        return false;
    m_revision = revision;
    m_manifest = std::make_shared<const config::Manifest>(std::move(manifest));
    return true;
}

std::int64_t ManifestFollower::revision() const
{
    absl::MutexLock lock(&m_mutex);
    return m_revision;
}

std::int64_t ManifestFollower::base() const
{
    absl::MutexLock lock(&m_mutex);
    return m_needsFullManifest ? 0 : m_revision;
}

std::shared_ptr<const config::Manifest> ManifestFollower::manifest() const
{
    absl::MutexLock lock(&m_mutex);
    return m_manifest;
}

} // namespace oleandercross::daemon
