#pragma once

#include <oleandercross/config/manifest.h>

#include <json/value.h>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace oleandercross::config {

// The named parts of one kind that differ between two manifests, each list in ascending order.
template <typename Part, typename Id>
struct PartChanges
{
    std::vector<Part> added;
    std::vector<Part> changed;
    std::vector<Id> removed;

    bool empty() const { return added.empty() && changed.empty() && removed.empty(); }
    friend bool operator==(const PartChanges &, const PartChanges &) = default;
};

// The targets whose draining starts or ends.
template <typename Id>
struct DrainChanges
{
    std::vector<Id> added;
    std::vector<Id> removed;

    bool empty() const { return added.empty() && removed.empty(); }
    friend bool operator==(const DrainChanges &, const DrainChanges &) = default;
};

// The difference between two revisions, in the order base to target. Revisions need not be
// consecutive.
struct ManifestDelta
{
    std::int64_t baseRevision = 0;
    std::int64_t targetRevision = 0;
    // See digest(). They keep a delta from being applied to anything but its base.
    std::string baseDigest;
    std::string targetDigest;
    PartChanges<PlannedDataCentre, core::DataCentreId> dataCentres;
    PartChanges<Account, core::AccountId> accounts;
    PartChanges<Service, core::ServiceId> services;
    DrainChanges<core::WorkerId> drainWorkers;
    DrainChanges<core::MinionId> drainMinions;

    // True if the manifests are equal; their revisions may differ.
    bool empty() const;

    friend bool operator==(const ManifestDelta &, const ManifestDelta &) = default;
};

// The difference between two manifests that are each valid as a whole.
ManifestDelta deltaBetween(const Manifest &base, std::int64_t baseRevision, const Manifest &target,
                           std::int64_t targetRevision);

// Returns the target, normalised. Fails with VersionConflict if `base` is not the delta's base, and
// with BadAnswer if the result is not the delta's target; the caller then asks for the whole
// manifest.
std::optional<Manifest> apply(const ManifestDelta &delta, const Manifest &base);

// The JSON form for messages between the project's processes. Empty lists are left out.
Json::Value encode(const ManifestDelta &delta);

// Fails with BadField on a member that is missing or of the wrong type.
std::optional<ManifestDelta> decodeManifestDelta(const Json::Value &value);

} // namespace oleandercross::config
