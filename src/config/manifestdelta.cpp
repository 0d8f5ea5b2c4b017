#include <oleandercross/config/manifestdelta.h>

#include "jsonparts.h"

#include <oleandercross/config/manifestcodec.h>
#include <oleandercross/core/json.h>
#include <oleandercross/core/resultcode.h>

#include <absl/container/btree_map.h>
#include <absl/container/btree_set.h>
#include <absl/strings/str_cat.h>

#include <algorithm>
#include <iterator>

namespace oleandercross::config {

namespace {

template <typename Part, typename Id>
PartChanges<Part, Id> changesBetween(const std::vector<Part> &base, const std::vector<Part> &target)
{
    absl::btree_map<Id, const Part *> old;
    for (const Part &part : base)
        old[part.name] = &part;
    PartChanges<Part, Id> changes;
    for (const Part &part : target) {
        const auto it = old.find(part.name);
        if (it == old.end()) {
            changes.added.push_back(part);
            continue;
        }
        if (!(*it->second == part))
            changes.changed.push_back(part);
        old.erase(it);
    }
    for (const auto &[name, part] : old)
        changes.removed.push_back(name);
    return changes;
}

template <typename Id>
DrainChanges<Id> drainsBetween(const std::vector<Id> &base, const std::vector<Id> &target)
{
    DrainChanges<Id> changes;
    std::set_difference(target.begin(), target.end(), base.begin(), base.end(),
                        std::back_inserter(changes.added));
    std::set_difference(base.begin(), base.end(), target.begin(), target.end(),
                        std::back_inserter(changes.removed));
    return changes;
}

template <typename Part, typename Id>
void applyChanges(const PartChanges<Part, Id> &changes, std::vector<Part> &parts)
{
    absl::btree_map<Id, Part> byName;
    for (Part &part : parts)
        byName[part.name] = std::move(part);
    for (const Id &name : changes.removed)
        byName.erase(name);
    for (const Part &part : changes.changed)
        byName[part.name] = part;
    for (const Part &part : changes.added)
        byName[part.name] = part;
    parts.clear();
    for (auto &[name, part] : byName)
        parts.push_back(std::move(part));
}

template <typename Id>
void applyDrains(const DrainChanges<Id> &changes, std::vector<Id> &ids)
{
    absl::btree_set<Id> all(ids.begin(), ids.end());
    for (const Id &id : changes.removed)
        all.erase(id);
    all.insert(changes.added.begin(), changes.added.end());
    ids.assign(all.begin(), all.end());
}

void put(Json::Value &value, const char *key, Json::Value list)
{
    if (!list.empty())
        value[key] = std::move(list);
}

template <typename Part, typename Id>
Json::Value encodeChanges(const PartChanges<Part, Id> &changes)
{
    Json::Value value(Json::objectValue);
    put(value, "added", detail::encodeParts(changes.added));
    put(value, "changed", detail::encodeParts(changes.changed));
    put(value, "removed", detail::encodeIds(changes.removed));
    return value;
}

template <typename Id>
Json::Value encodeDrains(const DrainChanges<Id> &changes)
{
    Json::Value value(Json::objectValue);
    put(value, "added", detail::encodeIds(changes.added));
    put(value, "removed", detail::encodeIds(changes.removed));
    return value;
}

// Absent when nothing of the kind changed.
const Json::Value &kind(detail::JsonReader &reader, const Json::Value &value, const char *key)
{
    const Json::Value &found = core::member(value, key);
    return found.isNull() ? found : reader.object(value, key);
}

template <typename Part, typename Id>
PartChanges<Part, Id> decodeChanges(detail::JsonReader &reader, const Json::Value &value)
{
    PartChanges<Part, Id> changes;
    changes.added = reader.parts<Part>(value, "added");
    changes.changed = reader.parts<Part>(value, "changed");
    changes.removed = reader.ids<Id>(value, "removed");
    return changes;
}

template <typename Id>
DrainChanges<Id> decodeDrains(detail::JsonReader &reader, const Json::Value &value)
{
    DrainChanges<Id> changes;
    changes.added = reader.ids<Id>(value, "added");
    changes.removed = reader.ids<Id>(value, "removed");
    return changes;
}

} // namespace

bool ManifestDelta::empty() const
{
    return dataCentres.empty() && accounts.empty() && services.empty() && drainWorkers.empty()
        && drainMinions.empty();
}

ManifestDelta deltaBetween(const Manifest &base, std::int64_t baseRevision, const Manifest &target,
                           std::int64_t targetRevision)
{
    const Manifest from = normalized(base);
    const Manifest to = normalized(target);
    ManifestDelta delta;
    delta.baseRevision = baseRevision;
    delta.targetRevision = targetRevision;
    delta.baseDigest = digest(from);
    delta.targetDigest = digest(to);
    delta.dataCentres =
        changesBetween<PlannedDataCentre, core::DataCentreId>(from.dataCentres, to.dataCentres);
    delta.accounts = changesBetween<Account, core::AccountId>(from.accounts, to.accounts);
    delta.services = changesBetween<Service, core::ServiceId>(from.services, to.services);
    delta.drainWorkers = drainsBetween(from.drainWorkers, to.drainWorkers);
    delta.drainMinions = drainsBetween(from.drainMinions, to.drainMinions);
    return delta;
}

std::optional<Manifest> apply(const ManifestDelta &delta, const Manifest &base)
{
    if (digest(base) != delta.baseDigest)
        return core::fail(core::ResultCode::VersionConflict,
                          absl::StrCat("the delta starts from another manifest than revision ",
                                       delta.baseRevision));
    Manifest manifest = normalized(base);
    applyChanges(delta.dataCentres, manifest.dataCentres);
    applyChanges(delta.accounts, manifest.accounts);
    applyChanges(delta.services, manifest.services);
    applyDrains(delta.drainWorkers, manifest.drainWorkers);
    applyDrains(delta.drainMinions, manifest.drainMinions);
    if (digest(manifest) != delta.targetDigest)
        return core::fail(
            core::ResultCode::BadAnswer,
            absl::StrCat("the delta does not lead to revision ", delta.targetRevision));
    return normalized(std::move(manifest));
}

Json::Value encode(const ManifestDelta &delta)
{
    Json::Value value;
    value["baseRevision"] = static_cast<Json::Int64>(delta.baseRevision);
    value["targetRevision"] = static_cast<Json::Int64>(delta.targetRevision);
    value["baseDigest"] = delta.baseDigest;
    value["targetDigest"] = delta.targetDigest;
    put(value, "dataCentres", encodeChanges(delta.dataCentres));
    put(value, "accounts", encodeChanges(delta.accounts));
    put(value, "services", encodeChanges(delta.services));
    put(value, "drainWorkers", encodeDrains(delta.drainWorkers));
    put(value, "drainMinions", encodeDrains(delta.drainMinions));
    return value;
}

std::optional<ManifestDelta> decodeManifestDelta(const Json::Value &value)
{
    if (!value.isObject())
        return core::fail(core::ResultCode::BadField, "the delta must be an object");
    detail::JsonReader reader;
    ManifestDelta delta;
    delta.baseRevision = reader.integer(value, "baseRevision");
    delta.targetRevision = reader.integer(value, "targetRevision");
    delta.baseDigest = reader.text(value, "baseDigest");
    delta.targetDigest = reader.text(value, "targetDigest");
    delta.dataCentres = decodeChanges<PlannedDataCentre, core::DataCentreId>(
        reader, kind(reader, value, "dataCentres"));
    delta.accounts =
        decodeChanges<Account, core::AccountId>(reader, kind(reader, value, "accounts"));
    delta.services =
        decodeChanges<Service, core::ServiceId>(reader, kind(reader, value, "services"));
    delta.drainWorkers = decodeDrains<core::WorkerId>(reader, kind(reader, value, "drainWorkers"));
    delta.drainMinions = decodeDrains<core::MinionId>(reader, kind(reader, value, "drainMinions"));
    if (reader.error())
        return core::fail(core::ResultCode::BadField, *reader.error());
    return delta;
}

} // namespace oleandercross::config
