#include <oleandercross/core/json.h>
#include <oleandercross/core/resultcode.h>
#include <oleandercross/platform/httpadapters.h>
#include <oleandercross/platform/writemarker.h>

#include "exchange.h"

namespace oleandercross::platform {

namespace {

constexpr int StatusOk = 200;
constexpr int StatusConflict = 409;
constexpr int StatusBadRequest = 400;
constexpr int StatusTooLarge = 413;
constexpr int StatusUnavailable = 503;

Row toRow(const Json::Value &json)
{
    return {core::stringMember(json, "key"), core::stringMember(json, "value"),
            core::intMember(json, "version")};
}

Json::Value toJson(const Transaction &transaction)
{
    Json::Value json;
    json["write_id"] = transaction.writeId;
    json["conditions"] = Json::arrayValue;
    for (const Condition &condition : transaction.conditions) {
        Json::Value item;
        item["key"] = condition.key;
        item["version"] = static_cast<Json::Int64>(condition.version);
        json["conditions"].append(item);
    }
    json["puts"] = Json::arrayValue;
    for (const Put &put : transaction.puts) {
        Json::Value item;
        item["key"] = put.key;
        item["value"] = put.value;
        json["puts"].append(item);
    }
    json["deletes"] = Json::arrayValue;
    for (const std::string &key : transaction.deletes)
        json["deletes"].append(key);
    return json;
}

// Returns the JSON object of a successful read. All failures are reported as StoreUnavailable.
std::optional<Json::Value> parseReadResponse(const std::optional<http::Response> &response)
{
    if (!response)
        return core::fail(core::ResultCode::StoreUnavailable, core::lastReason().message);
    if (response->status != StatusOk)
        return core::fail(core::ResultCode::StoreUnavailable,
                          "unexpected status from table service: "
                              + std::to_string(response->status));
    std::optional<Json::Value> json = core::parseJson(response->body);
    if (!json || !json->isObject())
        return core::fail(core::ResultCode::StoreUnavailable,
                          "table service sent a malformed response");
    return json;
}

} // namespace

HttpTableService::HttpTableService(http::ClientPool &pool, http::Endpoint endpoint,
                                   absl::Duration timeout)
    : m_pool(pool)
    , m_endpoint(std::move(endpoint))
    , m_timeout(timeout)
{ }

std::optional<std::optional<Row>> HttpTableService::read(const std::string &key)
{
    Json::Value body;
    body["key"] = key;
    const auto json = parseReadResponse(
        detail::exchange(m_pool, m_endpoint, detail::post("/v1/tables/read", body), m_timeout));
    if (!json)
        return std::nullopt;
    if (!json->isMember("row"))
        return core::fail(core::ResultCode::StoreUnavailable,
                          "table service sent a malformed response");
    const Json::Value &row = core::member(*json, "row");
    if (row.isNull())
        return std::optional<std::optional<Row>>(std::in_place, std::nullopt);
    return std::optional<Row>(toRow(row));
}

std::optional<std::vector<Row>> HttpTableService::scan(const std::string &prefix,
                                                       const std::string &after, int limit)
{
    Json::Value body;
    body["prefix"] = prefix;
    body["after"] = after;
    body["limit"] = limit;
    const auto json = parseReadResponse(
        detail::exchange(m_pool, m_endpoint, detail::post("/v1/tables/scan", body), m_timeout));
    if (!json)
        return std::nullopt;
    if (!core::member(*json, "rows").isArray())
        return core::fail(core::ResultCode::StoreUnavailable,
                          "table service sent a malformed response");
    std::vector<Row> rows;
    for (const Json::Value &row : core::member(*json, "rows"))
        rows.push_back(toRow(row));
    return rows;
}

std::optional<std::int64_t> HttpTableService::write(const Transaction &transaction)
{
    const auto response = detail::exchange(
        m_pool, m_endpoint, detail::post("/v1/tables/write", toJson(transaction)), m_timeout);
    if (!response) {
        const core::Reason &reason = core::lastReason();
        return core::fail(reason.code == core::ResultCode::ConnectionFailed
                              ? core::ResultCode::StoreUnavailable
                              : core::ResultCode::OutcomeUnknown,
                          reason.message);
    }
    switch (response->status) {
    case StatusOk:
        break;
    case StatusConflict:
        return core::fail(core::ResultCode::VersionConflict, response->body);
    case StatusUnavailable:
        return core::fail(core::ResultCode::StoreUnavailable, "table service refused the write");
    case StatusBadRequest:
    case StatusTooLarge:
        return core::fail(core::ResultCode::PlatformError, response->body);
    default:
        return core::fail(core::ResultCode::OutcomeUnknown,
                          "unexpected status from table service: "
                              + std::to_string(response->status));
    }
    const auto json = core::parseJson(response->body);
    const std::int64_t version = json ? core::intMember(*json, "version") : 0;
    if (version <= 0)
        return core::fail(core::ResultCode::OutcomeUnknown,
                          "table service sent a malformed response");
    return version;
}

std::optional<bool> HttpTableService::applied(const Transaction &transaction)
{
    const Put *marker = markerOf(transaction);
    if (!marker)
        return core::fail(core::ResultCode::OutcomeUnknown, "transaction has no marker row");
    const auto row = read(marker->key);
    if (!row)
        return std::nullopt;
    return row->has_value() && (*row)->value == transaction.writeId;
}

} // namespace oleandercross::platform
