#include "tablerole.h"

#include <oleandercross/core/json.h>

namespace oleandercross::standin {

namespace {

constexpr int MaxTraces = 10000;
constexpr int MaxScanRows = 1000;
constexpr char TracePrefix[] = "/api/v2/trace/";

Json::Value toJson(const platform::Row &row)
{
    Json::Value json;
    json["key"] = row.key;
    json["value"] = row.value;
    json["version"] = static_cast<Json::Int64>(row.version);
    return json;
}

http::Response emptyResponse(int code)
{
    return jsonResponse(code, Json::objectValue);
}

} // namespace

http::Response TableRole::handle(const http::Request &request)
{
    absl::MutexLock lock(&m_mutex);
    if (request.path == "/counts")
        return counts();
    if (request.path == "/v1/object")
        return object(request);
    if (request.path.rfind("/api/v2/", 0) == 0)
        return trace(request);
    const auto body = core::parseJson(request.body);
    if (!body || !body->isObject())
        return emptyResponse(400);
    if (request.path == "/v1/tables/read") {
        ++m_reads;
        return read(*body);
    }
    if (request.path == "/v1/tables/scan") {
        ++m_scans;
        return scan(*body);
    }
    if (request.path == "/v1/tables/write") {
        ++m_writes;
        return write(*body);
    }
    return emptyResponse(404);
}

http::Response TableRole::read(const Json::Value &body) const
{
    const auto it = m_rows.find(core::stringMember(body, "key"));
    Json::Value answer;
    answer["row"] = it == m_rows.end() ? Json::Value() : toJson(it->second);
    return jsonResponse(200, answer);
}

http::Response TableRole::scan(const Json::Value &body) const
{
    const std::string prefix = core::stringMember(body, "prefix");
    const std::string after = core::stringMember(body, "after");
    const auto limit = std::min<std::int64_t>(MaxScanRows, core::intMember(body, "limit"));
    Json::Value answer;
    answer["rows"] = Json::arrayValue;
    for (auto it = m_rows.lower_bound(std::max(prefix, after)); it != m_rows.end(); ++it) {
        if (it->first.rfind(prefix, 0) != 0 || answer["rows"].size() >= limit)
            break;
        if (it->first > after)
            answer["rows"].append(toJson(it->second));
    }
    return jsonResponse(200, answer);
}

std::int64_t TableRole::versionOf(const std::string &key) const
{
    const auto it = m_rows.find(key);
    return it == m_rows.end() ? 0 : it->second.version;
}

http::Response TableRole::write(const Json::Value &body)
{
    for (const Json::Value &condition : core::member(body, "conditions")) {
        const std::string key = core::stringMember(condition, "key");
        if (versionOf(key) == core::intMember(condition, "version", -1))
            continue;
        ++m_conflicts;
        Json::Value answer;
        answer["conflict"] = key;
        return jsonResponse(409, answer);
    }
    ++m_applied;
    ++m_version;
    for (const Json::Value &key : core::member(body, "deletes"))
        m_rows.erase(key.asString());
    for (const Json::Value &put : core::member(body, "puts")) {
        const std::string key = core::stringMember(put, "key");
        m_rows[key] = {key, core::stringMember(put, "value"), m_version};
    }
    Json::Value answer;
    answer["version"] = static_cast<Json::Int64>(m_version);
    return jsonResponse(200, answer);
}

http::Response TableRole::object(const http::Request &request)
{
    const auto key = request.query.find("key");
    if (key == request.query.end())
        return emptyResponse(400);
    if (request.method == "PUT") {
        m_objects[key->second] = request.body;
        return emptyResponse(200);
    }
    const auto it = m_objects.find(key->second);
    if (it == m_objects.end())
        return emptyResponse(404);
    http::Response response;
    response.contentType = "application/octet-stream";
    response.body = it->second;
    return response;
}

http::Response TableRole::trace(const http::Request &request)
{
    if (request.method == "POST" && request.path == "/api/v2/spans") {
        const auto spans = core::parseJson(request.body);
        if (!spans || !spans->isArray())
            return emptyResponse(400);
        for (const Json::Value &span : *spans) {
            const std::string id = core::stringMember(span, "traceId");
            if (m_traces.size() < MaxTraces || m_traces.count(id) > 0)
                m_traces[id].append(span);
        }
        return emptyResponse(202);
    }
    if (request.path.rfind(TracePrefix, 0) != 0)
        return emptyResponse(404);
    const auto it = m_traces.find(request.path.substr(sizeof(TracePrefix) - 1));
    return it == m_traces.end() ? emptyResponse(404) : jsonResponse(200, it->second);
}

http::Response TableRole::counts() const
{
    Json::Value answer;
    answer["rows"] = static_cast<Json::Int64>(m_rows.size());
    answer["objects"] = static_cast<Json::Int64>(m_objects.size());
    answer["traces"] = static_cast<Json::Int64>(m_traces.size());
    answer["reads"] = m_reads;
    answer["scans"] = m_scans;
    answer["writes"] = m_writes;
    answer["applied"] = m_applied;
    answer["conflicts"] = m_conflicts;
    return jsonResponse(200, answer);
}

std::optional<platform::Row> TableRole::row(const std::string &key) const
{
    absl::MutexLock lock(&m_mutex);
    const auto it = m_rows.find(key);
    return it == m_rows.end() ? std::nullopt : std::optional(it->second);
}

int TableRole::applied() const
{
    absl::MutexLock lock(&m_mutex);
    return m_applied;
}

int TableRole::requests() const
{
    absl::MutexLock lock(&m_mutex);
    return m_reads + m_scans + m_writes;
}

} // namespace oleandercross::standin
