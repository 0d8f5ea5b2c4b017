#pragma once

#include <oleandercross/config/manifest.h>

#include <json/value.h>

#include <optional>
#include <string>
#include <vector>

namespace oleandercross::config::detail {

// Reads members of JSON objects and keeps the first error: a member that is missing or of the wrong
// type. Returns default values on errors, so that callers can check error() once at the end.
class JsonReader
{
public:
    std::int64_t int64(const Json::Value &object, const char *key);
    int int32(const Json::Value &object, const char *key);
    std::string text(const Json::Value &object, const char *key);
    const Json::Value &object(const Json::Value &object, const char *key);
    // An absent list is empty.
    const Json::Value &list(const Json::Value &object, const char *key);
    // Reads an element of a list of strings.
    std::string stringElement(const Json::Value &value);

    template <typename Id>
    std::vector<Id> ids(const Json::Value &object, const char *key)
    {
        std::vector<Id> result;
        for (const Json::Value &value : list(object, key))
            result.emplace_back(stringElement(value));
        return result;
    }

    template <typename Element>
    std::vector<Element> elements(const Json::Value &object, const char *key)
    {
        std::vector<Element> result;
        for (const Json::Value &value : list(object, key)) {
            result.emplace_back();
            read(value, result.back());
        }
        return result;
    }

    void read(const Json::Value &value, PlannedDataCentre &element);
    void read(const Json::Value &value, Account &element);
    void read(const Json::Value &value, Service &element);
    void read(const Json::Value &value, Guarantee &element);
    void read(const Json::Value &value, Team &element);

    const std::optional<std::string> &error() const { return m_error; }

private:
    void reportError(const std::string &message);

    std::optional<std::string> m_error;
};

Json::Value encodeElement(const PlannedDataCentre &element);
Json::Value encodeElement(const Account &element);
Json::Value encodeElement(const Service &element);
Json::Value encodeElement(const Guarantee &element);
Json::Value encodeElement(const Team &element);

template <typename Element>
Json::Value encodeElements(const std::vector<Element> &elements)
{
    Json::Value list(Json::arrayValue);
    for (const Element &element : elements)
        list.append(encodeElement(element));
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
