#include <oleandercross/config/manifestcodec.h>

#include "manifestjson.h"

#include <oleandercross/core/digest.h>
#include <oleandercross/core/json.h>
#include <oleandercross/core/resultcode.h>

#include <algorithm>
#include <tuple>

namespace oleandercross::config {

namespace {

template <typename Element>
void sortByName(std::vector<Element> &elements)
{
    std::sort(elements.begin(), elements.end(),
              [](const Element &a, const Element &b) { return a.name < b.name; });
}

bool precedes(const Guarantee &a, const Guarantee &b)
{
    return std::tie(a.dataCentre, a.level, a.count) < std::tie(b.dataCentre, b.level, b.count);
}

template <typename T>
void sortValues(std::vector<T> &values)
{
    std::sort(values.begin(), values.end());
}

} // namespace

Manifest normalized(Manifest manifest)
{
    sortByName(manifest.dataCentres);
    sortByName(manifest.accounts);
    for (Account &account : manifest.accounts) {
        sortValues(account.tokenHashes);
        std::sort(account.guarantees.begin(), account.guarantees.end(), precedes);
        sortByName(account.teams);
    }
    sortByName(manifest.services);
    for (Service &service : manifest.services)
        sortValues(service.accounts);
    sortValues(manifest.drainWorkers);
    sortValues(manifest.drainMinions);
    return manifest;
}

std::string digest(const Manifest &manifest)
{
    // jsoncpp writes keys in ascending order, so the text of a normalised manifest is unique.
    return core::sha256Hex(core::writeJson(encode(normalized(manifest))));
}

Json::Value encode(const Manifest &manifest)
{
    Json::Value value;
    value["dataCentres"] = detail::encodeElements(manifest.dataCentres);
    value["accounts"] = detail::encodeElements(manifest.accounts);
    value["services"] = detail::encodeElements(manifest.services);
    value["drainWorkers"] = detail::encodeIds(manifest.drainWorkers);
    value["drainMinions"] = detail::encodeIds(manifest.drainMinions);
    return value;
}

std::optional<Manifest> decodeManifest(const Json::Value &value)
{
    if (!value.isObject())
        return core::fail(core::ResultCode::BadField, "the manifest must be an object");
    detail::JsonReader reader;
    Manifest manifest;
    manifest.dataCentres = reader.elements<PlannedDataCentre>(value, "dataCentres");
    manifest.accounts = reader.elements<Account>(value, "accounts");
    manifest.services = reader.elements<Service>(value, "services");
    manifest.drainWorkers = reader.ids<core::WorkerId>(value, "drainWorkers");
    manifest.drainMinions = reader.ids<core::MinionId>(value, "drainMinions");
    if (reader.error())
        return core::fail(core::ResultCode::BadField, *reader.error());
    return manifest;
}

} // namespace oleandercross::config
