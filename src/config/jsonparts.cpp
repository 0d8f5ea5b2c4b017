#include "jsonparts.h"

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

void JsonReader::refuse(const std::string &message)
{
    if (!m_error)
        m_error = message;
}

std::int64_t JsonReader::integer(const Json::Value &object, const char *key)
{
    const Json::Value &value = core::member(object, key);
    if (value.isInt64())
        return value.asInt64();
    refuse(absl::StrCat("'", key, "' must be an integer"));
    return 0;
}

int JsonReader::smallInteger(const Json::Value &object, const char *key)
{
    const Json::Value &value = core::member(object, key);
    if (value.isInt())
        return value.asInt();
    refuse(absl::StrCat("'", key, "' must be an integer of 32 bits"));
    return 0;
}

std::string JsonReader::text(const Json::Value &object, const char *key)
{
    const Json::Value &value = core::member(object, key);
    if (value.isString())
        return value.asString();
    refuse(absl::StrCat("'", key, "' must be a text"));
    return {};
}

const Json::Value &JsonReader::object(const Json::Value &object, const char *key)
{
    const Json::Value &value = core::member(object, key);
    if (!value.isObject())
        refuse(absl::StrCat("'", key, "' must be an object"));
    return value;
}

const Json::Value &JsonReader::list(const Json::Value &object, const char *key)
{
    static const Json::Value empty(Json::arrayValue);
    const Json::Value &value = core::member(object, key);
    if (value.isArray())
        return value;
    if (!value.isNull())
        refuse(absl::StrCat("'", key, "' must be a list"));
    return empty;
}

std::string JsonReader::element(const Json::Value &value)
{
    if (value.isString())
        return value.asString();
    refuse("a list has an element that is not a text");
    return {};
}

void JsonReader::read(const Json::Value &value, PlannedDataCentre &part)
{
    part.name = core::DataCentreId(text(value, "name"));
    part.racks = smallInteger(value, "racks");
    part.workersPerRack = smallInteger(value, "workersPerRack");
    const Json::Value &resources = object(value, "perWorker");
    part.perWorker.accelerators = smallInteger(resources, "accelerators");
    part.perWorker.cores = smallInteger(resources, "cores");
    part.perWorker.memoryMb = integer(resources, "memoryMb");
}

void JsonReader::read(const Json::Value &value, Guarantee &part)
{
    part.dataCentre = core::DataCentreId(text(value, "dataCentre"));
    const std::optional<Level> level = levelFromString(text(value, "level"));
    if (!level)
        refuse("'level' is unknown");
    part.level = level.value_or(Level::Accelerator);
    part.count = smallInteger(value, "count");
}

void JsonReader::read(const Json::Value &value, Team &part)
{
    part.name = core::TeamId(text(value, "name"));
    part.acceleratorQuota = smallInteger(value, "acceleratorQuota");
}

void JsonReader::read(const Json::Value &value, Account &part)
{
    part.name = core::AccountId(text(value, "name"));
    for (const Json::Value &hash : list(value, "tokenHashes"))
        part.tokenHashes.push_back(element(hash));
    part.guarantees = parts<Guarantee>(value, "guarantees");
    part.teams = parts<Team>(value, "teams");
    part.weight = smallInteger(value, "weight");
    part.requestsPerSecond = smallInteger(value, "requestsPerSecond");
}

void JsonReader::read(const Json::Value &value, Service &part)
{
    part.name = core::ServiceId(text(value, "name"));
    part.accounts = ids<core::AccountId>(value, "accounts");
    part.defaultDeadline = absl::Milliseconds(integer(value, "defaultDeadlineMs"));
}

Json::Value encodePart(const PlannedDataCentre &part)
{
    Json::Value value;
    value["name"] = part.name.str();
    value["racks"] = part.racks;
    value["workersPerRack"] = part.workersPerRack;
    value["perWorker"] = encodeResources(part.perWorker);
    return value;
}

Json::Value encodePart(const Guarantee &part)
{
    Json::Value value;
    value["dataCentre"] = part.dataCentre.str();
    value["level"] = toString(part.level);
    value["count"] = part.count;
    return value;
}

Json::Value encodePart(const Team &part)
{
    Json::Value value;
    value["name"] = part.name.str();
    value["acceleratorQuota"] = part.acceleratorQuota;
    return value;
}

Json::Value encodePart(const Account &part)
{
    Json::Value value;
    value["name"] = part.name.str();
    value["tokenHashes"] = Json::Value(Json::arrayValue);
    for (const std::string &hash : part.tokenHashes)
        value["tokenHashes"].append(hash);
    value["guarantees"] = encodeParts(part.guarantees);
    value["teams"] = encodeParts(part.teams);
    value["weight"] = part.weight;
    value["requestsPerSecond"] = part.requestsPerSecond;
    return value;
}

Json::Value encodePart(const Service &part)
{
    Json::Value value;
    value["name"] = part.name.str();
    value["accounts"] = encodeIds(part.accounts);
    value["defaultDeadlineMs"] =
        static_cast<Json::Int64>(absl::ToInt64Milliseconds(part.defaultDeadline));
    return value;
}

} // namespace oleandercross::config::detail
