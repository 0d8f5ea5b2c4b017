#include "manifestjson.h"

#include <oleandercross/core/json.h>

#include <absl/strings/str_cat.h>

namespace oleandercross::config::detail {

namespace {

Json::Value encodeResources(const core::Resources &resources)
{
    Json::Value value;
    value["accelerators"] = resources.accelerators;
    value["cores"] = resources.cores;
    value["memoryMb"] = static_cast<Json::Int64>(resources.memoryMb);
    return value;
}

} // namespace

void JsonReader::reportError(const std::string &message)
{
    if (!m_error)
        m_error = message;
}

std::int64_t JsonReader::int64(const Json::Value &object, const char *key)
{
    const Json::Value &value = core::member(object, key);
    if (value.isInt64())
        return value.asInt64();
    reportError(absl::StrCat("'", key, "' must be an integer"));
    return 0;
}

int JsonReader::int32(const Json::Value &object, const char *key)
{
    const Json::Value &value = core::member(object, key);
    if (value.isInt())
        return value.asInt();
    reportError(absl::StrCat("'", key, "' must be a 32-bit integer"));
    return 0;
}

std::string JsonReader::text(const Json::Value &object, const char *key)
{
    const Json::Value &value = core::member(object, key);
    if (value.isString())
        return value.asString();
    reportError(absl::StrCat("'", key, "' must be a string"));
    return {};
}

const Json::Value &JsonReader::object(const Json::Value &object, const char *key)
{
    const Json::Value &value = core::member(object, key);
    if (!value.isObject())
        reportError(absl::StrCat("'", key, "' must be an object"));
    return value;
}

const Json::Value &JsonReader::list(const Json::Value &object, const char *key)
{
    static const Json::Value empty(Json::arrayValue);
    const Json::Value &value = core::member(object, key);
    if (value.isArray())
        return value;
    if (!value.isNull())
        reportError(absl::StrCat("'", key, "' must be a list"));
    return empty;
}

std::string JsonReader::stringElement(const Json::Value &value)
{
    if (value.isString())
        return value.asString();
    reportError("a list has an element that is not a string");
    return {};
}

void JsonReader::read(const Json::Value &value, PlannedDataCentre &element)
{
    element.name = core::DataCentreId(text(value, "name"));
    element.racks = int32(value, "racks");
    element.workersPerRack = int32(value, "workersPerRack");
    const Json::Value &resources = object(value, "perWorker");
    element.perWorker.accelerators = int32(resources, "accelerators");
    element.perWorker.cores = int32(resources, "cores");
    element.perWorker.memoryMb = int64(resources, "memoryMb");
}

void JsonReader::read(const Json::Value &value, Guarantee &element)
{
    element.dataCentre = core::DataCentreId(text(value, "dataCentre"));
    const std::optional<Level> level = levelFromString(text(value, "level"));
    if (!level)
        reportError("'level' is unknown");
    element.level = level.value_or(Level::Accelerator);
    element.count = int32(value, "count");
}

void JsonReader::read(const Json::Value &value, Team &element)
{
    element.name = core::TeamId(text(value, "name"));
    element.acceleratorQuota = int32(value, "acceleratorQuota");
}

void JsonReader::read(const Json::Value &value, Account &element)
{
    element.name = core::AccountId(text(value, "name"));
    for (const Json::Value &hash : list(value, "tokenHashes"))
        element.tokenHashes.push_back(stringElement(hash));
    element.guarantees = elements<Guarantee>(value, "guarantees");
    element.teams = elements<Team>(value, "teams");
    element.weight = int32(value, "weight");
    element.requestsPerSecond = int32(value, "requestsPerSecond");
}

void JsonReader::read(const Json::Value &value, Service &element)
{
    element.name = core::ServiceId(text(value, "name"));
    element.accounts = ids<core::AccountId>(value, "accounts");
    element.defaultDeadline = absl::Milliseconds(int64(value, "defaultDeadlineMs"));
}

Json::Value encodeElement(const PlannedDataCentre &element)
{
    Json::Value value;
    value["name"] = element.name.str();
    value["racks"] = element.racks;
    value["workersPerRack"] = element.workersPerRack;
    value["perWorker"] = encodeResources(element.perWorker);
    return value;
}

Json::Value encodeElement(const Guarantee &element)
{
    Json::Value value;
    value["dataCentre"] = element.dataCentre.str();
    value["level"] = toString(element.level);
    value["count"] = element.count;
    return value;
}

Json::Value encodeElement(const Team &element)
{
    Json::Value value;
    value["name"] = element.name.str();
    value["acceleratorQuota"] = element.acceleratorQuota;
    return value;
}

Json::Value encodeElement(const Account &element)
{
    Json::Value value;
    value["name"] = element.name.str();
    value["tokenHashes"] = Json::Value(Json::arrayValue);
    for (const std::string &hash : element.tokenHashes)
        value["tokenHashes"].append(hash);
    value["guarantees"] = encodeElements(element.guarantees);
    value["teams"] = encodeElements(element.teams);
    value["weight"] = element.weight;
    value["requestsPerSecond"] = element.requestsPerSecond;
    return value;
}

Json::Value encodeElement(const Service &element)
{
    Json::Value value;
    value["name"] = element.name.str();
    value["accounts"] = encodeIds(element.accounts);
    value["defaultDeadlineMs"] =
        static_cast<Json::Int64>(absl::ToInt64Milliseconds(element.defaultDeadline));
    return value;
}

} // namespace oleandercross::config::detail
