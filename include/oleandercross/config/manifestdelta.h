#pragma once

#include <oleandercross/config/manifest.h>

#include <json/value.h>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace oleandercross::config {

// The differences between two manifests in their elements of one kind (data centres, accounts or
// services). All lists are in ascending order.
template <typename Element, typename Id>
struct ElementChanges
{
    std::vector<Element> added;
    std::vector<Element> changed;
    std::vector<Id> removed;

    bool empty() const { return added.empty() && changed.empty() && removed.empty(); }
    friend bool operator==(const ElementChanges &, const ElementChanges &) = default;
};

// The workers or minions whose draining starts or ends.
template <typename Id>
struct DrainChanges
{
    std::vector<Id> added;
    std::vector<Id> removed;

    bool empty() const { return added.empty() && removed.empty(); }
    friend bool operator==(const DrainChanges &, const DrainChanges &) = default;
};

// The changes that lead from a base to a target revision. The revisions need not be consecutive.
struct ManifestDelta
{
    std::int64_t baseRevision = 0;
    std::int64_t targetRevision = 0;
    // Digests of both manifests, see digest(), which apply() uses to verify its input and result.
    std::string baseDigest;
    std::string targetDigest;
    ElementChanges<PlannedDataCentre, core::DataCentreId> dataCentres;
    ElementChanges<Account, core::AccountId> accounts;
    ElementChanges<Service, core::ServiceId> services;
    DrainChanges<core::WorkerId> drainWorkers;
    DrainChanges<core::MinionId> drainMinions;

    // Returns true if the manifests are equal; their revisions may differ.
    bool empty() const;

    friend bool operator==(const ManifestDelta &, const ManifestDelta &) = default;
};

// Returns the changes between two valid manifests.
ManifestDelta deltaBetween(const Manifest &base, std::int64_t baseRevision, const Manifest &target,
                           std::int64_t targetRevision);

// Returns the normalised target. Fails with VersionConflict if `base` is not the delta's base, and
// with BadAnswer if the result does not match the delta's target; the caller then has to fetch the
// whole manifest.
std::optional<Manifest> apply(const ManifestDelta &delta, const Manifest &base);

// Returns the JSON encoding for messages between processes. Empty lists are omitted.
Json::Value encode(const ManifestDelta &delta);

// Decodes the result of encode(). Fails with BadField if a member is missing or of the wrong type.
std::optional<ManifestDelta> decodeManifestDelta(const Json::Value &value);

} // namespace oleandercross::config
