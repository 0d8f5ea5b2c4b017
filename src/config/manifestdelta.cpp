#include <oleandercross/config/manifestdelta.h>

#include "manifestjson.h"

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

template <typename Element, typename Id>
ElementChanges<Element, Id> diffElements(const std::vector<Element> &base,
                                         const std::vector<Element> &target)
{
    absl::btree_map<Id, const Element *> old;
    for (const Element &element : base)
        old[element.name] = &element;
    ElementChanges<Element, Id> changes;
    for (const Element &element : target) {
        const auto it = old.find(element.name);
        if (it == old.end()) {
            changes.added.push_back(element);
            continue;
        }
        if (!(*it->second == element))
            changes.changed.push_back(element);
        old.erase(it);
    }
    for (const auto &[name, element] : old)
        changes.removed.push_back(name);
    return changes;
}

template <typename Id>
DrainChanges<Id> diffDrains(const std::vector<Id> &base, const std::vector<Id> &target)
{
    DrainChanges<Id> changes;
    std::set_difference(target.begin(), target.end(), base.begin(), base.end(),
                        std::back_inserter(changes.added));
    std::set_difference(base.begin(), base.end(), target.begin(), target.end(),
                        std::back_inserter(changes.removed));
    return changes;
}

template <typename Element, typename Id>
void applyChanges(const ElementChanges<Element, Id> &changes, std::vector<Element> &elements)
{
    absl::btree_map<Id, Element> byName;
    for (Element &element : elements)
        byName[element.name] = std::move(element);
    for (const Id &name : changes.removed)
        byName.erase(name);
    for (const Element &element : changes.changed)
        byName[element.name] = element;
    for (const Element &element : changes.added)
        byName[element.name] = element;
    elements.clear();
    for (auto &[name, element] : byName)
        elements.push_back(std::move(element));
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

void setIfNotEmpty(Json::Value &value, const char *key, Json::Value list)
{
    if (!list.empty())
        value[key] = std::move(list);
}

template <typename Element, typename Id>
Json::Value encodeChanges(const ElementChanges<Element, Id> &changes)
{
    Json::Value value(Json::objectValue);
    setIfNotEmpty(value, "added", detail::encodeElements(changes.added));
    setIfNotEmpty(value, "changed", detail::encodeElements(changes.changed));
    setIfNotEmpty(value, "removed", detail::encodeIds(changes.removed));
    return value;
}

template <typename Id>
Json::Value encodeDrains(const DrainChanges<Id> &changes)
{
    Json::Value value(Json::objectValue);
    setIfNotEmpty(value, "added", detail::encodeIds(changes.added));
    setIfNotEmpty(value, "removed", detail::encodeIds(changes.removed));
    return value;
}

// Returns a null value if the member is absent, which means that there are no changes.
const Json::Value &optionalObject(detail::JsonReader &reader, const Json::Value &value,
                                  const char *key)
{
    const Json::Value &found = core::member(value, key);
    return found.isNull() ? found : reader.object(value, key);
}

template <typename Element, typename Id>
ElementChanges<Element, Id> decodeChanges(detail::JsonReader &reader, const Json::Value &value)
{
    ElementChanges<Element, Id> changes;
    changes.added = reader.elements<Element>(value, "added");
    changes.changed = reader.elements<Element>(value, "changed");
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
        diffElements<PlannedDataCentre, core::DataCentreId>(from.dataCentres, to.dataCentres);
    delta.accounts = diffElements<Account, core::AccountId>(from.accounts, to.accounts);
    delta.services = diffElements<Service, core::ServiceId>(from.services, to.services);
    delta.drainWorkers = diffDrains(from.drainWorkers, to.drainWorkers);
    delta.drainMinions = diffDrains(from.drainMinions, to.drainMinions);
    return delta;
}

std::optional<Manifest> apply(const ManifestDelta &delta, const Manifest &base)
{
    if (digest(base) != delta.baseDigest)
        return core::fail(
            core::ResultCode::VersionConflict,
            absl::StrCat("the delta does not apply to this manifest, its base is revision ",
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
            absl::StrCat("applying the delta did not produce revision ", delta.targetRevision));
    return normalized(std::move(manifest));
}

Json::Value encode(const ManifestDelta &delta)
{
    Json::Value value;
    value["baseRevision"] = static_cast<Json::Int64>(delta.baseRevision);
    value["targetRevision"] = static_cast<Json::Int64>(delta.targetRevision);
    value["baseDigest"] = delta.baseDigest;
    value["targetDigest"] = delta.targetDigest;
    setIfNotEmpty(value, "dataCentres", encodeChanges(delta.dataCentres));
    setIfNotEmpty(value, "accounts", encodeChanges(delta.accounts));
    setIfNotEmpty(value, "services", encodeChanges(delta.services));
    setIfNotEmpty(value, "drainWorkers", encodeDrains(delta.drainWorkers));
    setIfNotEmpty(value, "drainMinions", encodeDrains(delta.drainMinions));
    return value;
}

std::optional<ManifestDelta> decodeManifestDelta(const Json::Value &value)
{
    if (!value.isObject())
        return core::fail(core::ResultCode::BadField, "the delta must be an object");
    detail::JsonReader reader;
    ManifestDelta delta;
    delta.baseRevision = reader.int64(value, "baseRevision");
    delta.targetRevision = reader.int64(value, "targetRevision");
    delta.baseDigest = reader.text(value, "baseDigest");
    delta.targetDigest = reader.text(value, "targetDigest");
    delta.dataCentres = decodeChanges<PlannedDataCentre, core::DataCentreId>(
        reader, optionalObject(reader, value, "dataCentres"));
    delta.accounts =
        decodeChanges<Account, core::AccountId>(reader, optionalObject(reader, value, "accounts"));
    delta.services =
        decodeChanges<Service, core::ServiceId>(reader, optionalObject(reader, value, "services"));
    delta.drainWorkers =
        decodeDrains<core::WorkerId>(reader, optionalObject(reader, value, "drainWorkers"));
    delta.drainMinions =
        decodeDrains<core::MinionId>(reader, optionalObject(reader, value, "drainMinions"));
    if (reader.error())
        return core::fail(core::ResultCode::BadField, *reader.error());
    return delta;
}

} // namespace oleandercross::config
