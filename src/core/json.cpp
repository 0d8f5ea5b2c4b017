#include <oleandercross/core/json.h>

#include <oleandercross/core/resultcode.h>

#include <absl/strings/str_cat.h>
#include <json/reader.h>
#include <json/writer.h>

#include <memory>

namespace oleandercross::core {

namespace {

constexpr int MaxJsonDepth = 32;

Json::CharReaderBuilder strictReader()
{
    Json::CharReaderBuilder builder;
    Json::CharReaderBuilder::strictMode(&builder.settings_);
    builder["stackLimit"] = MaxJsonDepth;
    builder["strictRoot"] = false;
    return builder;
}

} // namespace

std::optional<Json::Value> parseJson(std::string_view text)
{
    static const Json::CharReaderBuilder builder = strictReader();
    const std::unique_ptr<Json::CharReader> reader(builder.newCharReader());
    Json::Value value;
    std::string errors;
    try {
        if (reader->parse(text.data(), text.data() + text.size(), &value, &errors))
            return value;
    } catch (const Json::Exception &e) {
        // jsoncpp throws if the depth limit is exceeded.
        errors = e.what();
    }
    return fail(ResultCode::BadJson, errors);
}

std::string writeJson(const Json::Value &value)
{
    static const Json::StreamWriterBuilder builder = [] {
        Json::StreamWriterBuilder b;
        b["indentation"] = "";
        return b;
    }();
    return Json::writeString(builder, value);
}

const Json::Value &member(const Json::Value &object, const char *key)
{
    static const Json::Value null;
    if (!object.isObject())
        return null;
    const Json::Value *found = object.find(key, key + std::char_traits<char>::length(key));
    return found ? *found : null;
}

std::string stringMember(const Json::Value &object, const char *key, std::string fallback)
{
    const Json::Value &value = member(object, key);
    return value.isString() ? value.asString() : std::move(fallback);
}

std::int64_t intMember(const Json::Value &object, const char *key, std::int64_t fallback)
{
    const Json::Value &value = member(object, key);
    return value.isInt64() ? value.asInt64() : fallback;
}

double doubleMember(const Json::Value &object, const char *key, double fallback)
{
    const Json::Value &value = member(object, key);
    return value.isNumeric() ? value.asDouble() : fallback;
}

bool boolMember(const Json::Value &object, const char *key, bool fallback)
{
    const Json::Value &value = member(object, key);
    return value.isBool() ? value.asBool() : fallback;
}

std::optional<std::int64_t> requiredInt(const Json::Value &object, const char *key, IntRange range)
{
    const Json::Value &value = member(object, key);
    if (!value.isInt64() || value.asInt64() < range.min || value.asInt64() > range.max)
        return fail(
            ResultCode::BadField,
            absl::StrCat("\"", key, "\" is not an integer from ", range.min, " to ", range.max));
    return value.asInt64();
}

std::optional<std::string> requiredString(const Json::Value &object, const char *key)
{
    const Json::Value &value = member(object, key);
    if (!value.isString())
        return fail(ResultCode::BadField, absl::StrCat("\"", key, "\" is not a string"));
    return value.asString();
}

std::optional<std::int64_t> optionalInt(const Json::Value &object, const char *key,
                                        std::int64_t fallback, IntRange range)
{
    if (!object.isObject() || !object.isMember(key))
        return fallback;
    return requiredInt(object, key, range);
}

} // namespace oleandercross::core
