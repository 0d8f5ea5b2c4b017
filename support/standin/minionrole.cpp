#include "minionrole.h"

#include <oleandercross/core/json.h>

#include <algorithm>

namespace oleandercross::standin {

namespace {

constexpr std::int64_t MaxWorkMs = 600000;

} // namespace

MinionRole::MinionRole(int slots)
    : m_slots(slots)
{ }

http::Response MinionRole::handle(const http::Request &request)
{
    if (request.path == "/v1/execute")
        return execute(request);
    if (request.path == "/v1/cancel")
        return cancel(request);
    if (request.path == "/counts")
        return counts();
    return jsonResponse(request.path == "/v1/health" ? 200 : 404, Json::objectValue);
}

// The body is {"work_ms": N, "echo": TEXT, "fail": bool}; a body that is not JSON means no work.
http::Response MinionRole::execute(const http::Request &request)
{
    const std::string id = request.header("x-request-id");
    if (id.empty())
        return jsonResponse(400, Json::objectValue);
    const Json::Value body = core::parseJson(request.body).value_or(Json::Value());
    const std::int64_t workMs =
        std::clamp<std::int64_t>(core::intMember(body, "work_ms"), 0, MaxWorkMs);
    const std::string echo = core::stringMember(body, "echo");
    begin(id, echo);
    const bool finished = wait(id, absl::Milliseconds(workMs));
    Json::Value answer;
    answer["echo"] = echo;
    answer["request_id"] = id;
    answer["cancelled"] = !finished;
    return jsonResponse(finished && !core::boolMember(body, "fail") ? 200 : 422, answer);
}

void MinionRole::begin(const std::string &id, const std::string &echo)
{
    absl::MutexLock lock(&m_mutex);
    ++m_executions[id];
    if (!echo.empty())
        ++m_echoes[echo];
    ++m_running;
    m_maxRunning = std::max(m_maxRunning, m_running);
    if (m_running > m_slots)
        ++m_beyondSlots;
}

bool MinionRole::wait(const std::string &id, absl::Duration work)
{
    absl::MutexLock lock(&m_mutex);
    const auto cancelled = [this, &id] {
        m_mutex.AssertHeld();
        return m_cancelled.count(id) > 0;
    };
    const bool finished = !m_mutex.AwaitWithTimeout(absl::Condition(&cancelled), work);
    --m_running;
    return finished;
}

http::Response MinionRole::cancel(const http::Request &request)
{
    const Json::Value body = core::parseJson(request.body).value_or(Json::Value());
    absl::MutexLock lock(&m_mutex);
    m_cancelled.insert(core::stringMember(body, "request_id"));
    return jsonResponse(200, Json::objectValue);
}

http::Response MinionRole::counts() const
{
    absl::MutexLock lock(&m_mutex);
    Json::Value answer;
    answer["executions"] = Json::objectValue;
    int total = 0;
    for (const auto &[id, count] : m_executions) {
        answer["executions"][id] = count;
        total += count;
    }
    answer["echoes"] = Json::objectValue;
    for (const auto &[echo, count] : m_echoes)
        answer["echoes"][echo] = count;
    answer["total"] = total;
    answer["slots"] = m_slots;
    answer["running"] = m_running;
    answer["max_running"] = m_maxRunning;
    answer["beyond_slots"] = m_beyondSlots;
    return jsonResponse(200, answer);
}

int MinionRole::executions(const std::string &requestId) const
{
    absl::MutexLock lock(&m_mutex);
    const auto it = m_executions.find(requestId);
    return it == m_executions.end() ? 0 : it->second;
}

} // namespace oleandercross::standin
