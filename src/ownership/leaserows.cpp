#include "leaserows.h"

#include <oleandercross/core/json.h>

#include <json/value.h>

namespace oleandercross::ownership {

std::string leaseKey(const core::DataCentreId &dataCentre)
{
    return "lease/" + dataCentre.str();
}

std::string epochKey(const core::DataCentreId &dataCentre)
{
    return "epoch/" + dataCentre.str();
}

std::string formatLease(const LeaseValue &value)
{
    Json::Value object(Json::objectValue);
    object["holder"] = value.holder;
    object["incarnation"] = Json::Int64(value.incarnation);
    object["epoch"] = Json::Int64(value.epoch);
    object["write"] = value.writeId;
    object["released"] = value.released;
    return core::writeJson(object);
}

std::optional<LeaseValue> parseLease(const std::string &text)
{
    const auto object = core::parseJson(text);
    if (!object || !object->isObject() || core::intMember(*object, "epoch") <= 0)
        return std::nullopt;
    LeaseValue value;
    value.holder = core::stringMember(*object, "holder");
    value.incarnation = core::intMember(*object, "incarnation");
    value.epoch = core::intMember(*object, "epoch");
    value.writeId = core::stringMember(*object, "write");
    value.released = core::boolMember(*object, "released");
    return value;
}

std::string formatEpoch(Epoch epoch)
{
    Json::Value object(Json::objectValue);
    object["epoch"] = Json::Int64(epoch);
    return core::writeJson(object);
}

std::optional<Epoch> parseEpoch(const std::string &text)
{
    const auto object = core::parseJson(text);
    if (!object || !object->isObject() || core::intMember(*object, "epoch") <= 0)
        return std::nullopt;
    return core::intMember(*object, "epoch");
}

} // namespace oleandercross::ownership
