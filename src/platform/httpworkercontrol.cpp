#include <oleandercross/core/json.h>
#include <oleandercross/core/resultcode.h>
#include <oleandercross/platform/httpadapters.h>

#include "exchange.h"

#include <array>

namespace oleandercross::platform {

namespace {

constexpr int StatusOk = 200;

struct StateName
{
    const char *name;
    TaskState state;
};

constexpr std::array StateNames = {
    StateName{"running", TaskState::Running},
    StateName{"checkpointing", TaskState::Checkpointing},
    StateName{"succeeded", TaskState::Succeeded},
    StateName{"failed", TaskState::Failed},
    StateName{"stopped", TaskState::Stopped},
};

std::optional<TaskState> parseState(const std::string &name)
{
    for (const StateName &known : StateNames) {
        if (name == known.name)
            return known.state;
    }
    return std::nullopt;
}

core::Resources toResources(const Json::Value &json)
{
    return {static_cast<int>(core::intMember(json, "accelerators")),
            static_cast<int>(core::intMember(json, "cores")), core::intMember(json, "memory_mb")};
}

Json::Value toJson(const core::Resources &resources)
{
    Json::Value json;
    json["accelerators"] = resources.accelerators;
    json["cores"] = resources.cores;
    json["memory_mb"] = static_cast<Json::Int64>(resources.memoryMb);
    return json;
}

Json::Value toJson(const TaskStart &task)
{
    Json::Value json;
    json["task_id"] = task.taskId;
    json["job"] = task.job.str();
    json["resources"] = toJson(task.resources);
    json["accelerators"] = Json::arrayValue;
    for (const int index : task.accelerators)
        json["accelerators"].append(index);
    json["command"] = task.command;
    json["lease_ms"] = static_cast<Json::Int64>(absl::ToInt64Milliseconds(task.lease));
    json["checkpoint"] = task.checkpoint;
    return json;
}

Json::Value taskIdJson(const std::string &taskId)
{
    Json::Value json;
    json["task_id"] = taskId;
    return json;
}

Json::Value taskIdsJson(const std::vector<std::string> &taskIds)
{
    Json::Value json;
    json["task_ids"] = Json::arrayValue;
    for (const std::string &id : taskIds)
        json["task_ids"].append(id);
    return json;
}

std::optional<TaskStatus> toStatus(const Json::Value &json)
{
    const auto state = parseState(core::stringMember(json, "state"));
    TaskStatus status;
    status.taskId = core::stringMember(json, "task_id");
    if (!state || status.taskId.empty())
        return core::fail(core::ResultCode::PlatformError, "worker sent a malformed task status");
    status.job = core::JobId(core::stringMember(json, "job"));
    status.state = *state;
    status.declared = toResources(core::member(json, "declared"));
    status.used = toResources(core::member(json, "used"));
    for (const Json::Value &index : core::member(json, "accelerators"))
        status.accelerators.push_back(index.isInt() ? index.asInt() : 0);
    status.message = core::stringMember(json, "message");
    status.checkpoint = core::stringMember(json, "checkpoint");
    return status;
}

// Returns the JSON of a successful response. Invalid responses are reported as PlatformError;
// connection errors are passed on.
std::optional<Json::Value> call(http::ClientPool &pool, const http::Endpoint &endpoint,
                                const http::Request &request, absl::Duration timeout)
{
    const auto response = detail::exchange(pool, endpoint, request, timeout);
    if (!response && core::lastReason().code == core::ResultCode::BadAnswer)
        return core::fail(core::ResultCode::PlatformError, core::lastReason().message);
    if (!response)
        return std::nullopt;
    if (response->status != StatusOk)
        return core::fail(core::ResultCode::PlatformError,
                          "unexpected status from worker: " + std::to_string(response->status));
    const auto json = core::parseJson(response->body);
    if (!json)
        return core::fail(core::ResultCode::PlatformError, "worker sent a malformed response");
    return json;
}

} // namespace

HttpWorkerControl::HttpWorkerControl(http::ClientPool &pool, http::Endpoint endpoint,
                                     absl::Duration timeout)
    : m_pool(pool)
    , m_endpoint(std::move(endpoint))
    , m_timeout(timeout)
{ }

bool HttpWorkerControl::start(const TaskStart &task)
{
    const auto request = detail::post("/v1/tasks/start", toJson(task));
    return call(m_pool, m_endpoint, request, m_timeout).has_value();
}

bool HttpWorkerControl::stop(const std::string &taskId)
{
    const auto request = detail::post("/v1/tasks/stop", taskIdJson(taskId));
    return call(m_pool, m_endpoint, request, m_timeout).has_value();
}

bool HttpWorkerControl::checkpoint(const std::string &taskId)
{
    const auto request = detail::post("/v1/tasks/checkpoint", taskIdJson(taskId));
    return call(m_pool, m_endpoint, request, m_timeout).has_value();
}

bool HttpWorkerControl::throttle(const std::string &taskId, double share)
{
    Json::Value body = taskIdJson(taskId);
    body["share"] = share;
    const auto request = detail::post("/v1/tasks/throttle", body);
    return call(m_pool, m_endpoint, request, m_timeout).has_value();
}

bool HttpWorkerControl::renewLeases(const std::vector<std::string> &taskIds, absl::Duration lease)
{
    Json::Value body = taskIdsJson(taskIds);
    body["lease_ms"] = static_cast<Json::Int64>(absl::ToInt64Milliseconds(lease));
    const auto request = detail::post("/v1/tasks/renew", body);
    return call(m_pool, m_endpoint, request, m_timeout).has_value();
}

std::optional<std::vector<TaskStatus>> HttpWorkerControl::tasks()
{
    const auto json =
        call(m_pool, m_endpoint, detail::post("/v1/tasks/list", Json::objectValue), m_timeout);
    if (!json)
        return std::nullopt;
    const Json::Value &list = core::member(*json, "tasks");
    if (!list.isArray())
        return core::fail(core::ResultCode::PlatformError, "worker sent a malformed response");
    std::vector<TaskStatus> tasks;
    for (const Json::Value &item : list) {
        auto status = toStatus(item);
        if (!status)
            return std::nullopt;
        tasks.push_back(std::move(*status));
    }
    return tasks;
}

bool HttpWorkerControl::forget(const std::vector<std::string> &taskIds)
{
    const auto request = detail::post("/v1/tasks/forget", taskIdsJson(taskIds));
    return call(m_pool, m_endpoint, request, m_timeout).has_value();
}

} // namespace oleandercross::platform
