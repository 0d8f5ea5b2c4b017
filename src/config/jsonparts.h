#pragma once

#include <oleandercross/config/manifest.h>

#include <json/value.h>

#include <optional>
#include <string>
#include <vector>

namespace oleandercross::config::detail {

// Reads members of JSON objects and remembers the first that is missing or of the wrong type.
class JsonReader
{
public:
    std::int64_t integer(const Json::Value &object, const char *key);
    int smallInteger(const Json::Value &object, const char *key);
    std::string text(const Json::Value &object, const char *key);
    const Json::Value &object(const Json::Value &object, const char *key);
    // An absent list is empty.
    const Json::Value &list(const Json::Value &object, const char *key);
    // The text of an element.
    std::string element(const Json::Value &value);

    template <typename Id>
    std::vector<Id> ids(const Json::Value &object, const char *key)
    {
        std::vector<Id> result;
        for (const Json::Value &value : list(object, key))
            result.emplace_back(element(value));
        return result;
    }

    template <typename Part>
    std::vector<Part> parts(const Json::Value &object, const char *key)
    {
        std::vector<Part> result;
        for (const Json::Value &value : list(object, key)) {
            result.emplace_back();
            read(value, result.back());
        }
        return result;
    }

    void read(const Json::Value &value, PlannedDataCentre &part);
    void read(const Json::Value &value, Account &part);
    void read(const Json::Value &value, Service &part);
    void read(const Json::Value &value, Guarantee &part);
    void read(const Json::Value &value, Team &part);

    const std::optional<std::string> &error() const { return m_error; }

private:
    void refuse(const std::string &message);

    std::optional<std::string> m_error;
};

Json::Value encodePart(const PlannedDataCentre &part);
Json::Value encodePart(const Account &part);
Json::Value encodePart(const Service &part);
Json::Value encodePart(const Guarantee &part);
Json::Value encodePart(const Team &part);

template <typename Part>
Json::Value encodeParts(const std::vector<Part> &parts)
{
    Json::Value list(Json::arrayValue);
    for (const Part &part : parts)
        list.append(encodePart(part));
    return list;
}

template <typename Id>
Json::Value encodeIds(const std::vector<Id> &ids)
{
    Json::Value list(Json::arrayValue);
    for (const Id &id : ids)
        list.append(id.str());
    return list;
}

} // namespace oleandercross::config::detail
