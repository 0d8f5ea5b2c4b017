#include "workerrole.h"

#include <oleandercross/core/json.h>

#include <algorithm>

namespace oleandercross::standin {

namespace {

const char *stateName(platform::TaskState state)
{
    switch (state) {
    case platform::TaskState::Running:
        return "running";
    case platform::TaskState::Checkpointing:
        return "checkpointing";
    case platform::TaskState::Succeeded:
        return "succeeded";
    case platform::TaskState::Failed:
        return "failed";
    case platform::TaskState::Stopped:
        return "stopped";
    }
    return "failed";
}

Json::Value toJson(const core::Resources &resources)
{
    Json::Value json;
    json["accelerators"] = resources.accelerators;
    json["cores"] = resources.cores;
    json["memory_mb"] = static_cast<Json::Int64>(resources.memoryMb);
    return json;
}

Json::Value toJson(const platform::TaskStatus &status)
{
    Json::Value json;
    json["task_id"] = status.taskId;
    json["job"] = status.job.str();
    json["state"] = stateName(status.state);
    json["declared"] = toJson(status.declared);
    json["used"] = toJson(status.used);
    json["accelerators"] = Json::arrayValue;
    for (const int index : status.accelerators)
        json["accelerators"].append(index);
    json["message"] = status.message;
    json["checkpoint"] = status.checkpoint;
    return json;
}

platform::TaskStart toTaskStart(const Json::Value &json)
{
    platform::TaskStart task;
    task.taskId = core::stringMember(json, "task_id");
    task.job = core::JobId(core::stringMember(json, "job"));
    const Json::Value &resources = core::member(json, "resources");
    task.resources = {static_cast<int>(core::intMember(resources, "accelerators")),
                      static_cast<int>(core::intMember(resources, "cores")),
                      core::intMember(resources, "memory_mb")};
    for (const Json::Value &index : core::member(json, "accelerators"))
        task.accelerators.push_back(index.isInt() ? index.asInt() : -1);
    task.command = core::stringMember(json, "command");
    task.lease = absl::Milliseconds(core::intMember(json, "lease_ms"));
    task.checkpoint = core::stringMember(json, "checkpoint");
    return task;
}

bool shareAccelerator(const platform::TaskStart &a, const platform::TaskStart &b)
{
    return std::any_of(a.accelerators.begin(), a.accelerators.end(), [&b](int index) {
        return std::count(b.accelerators.begin(), b.accelerators.end(), index) > 0;
    });
}

std::int64_t unixMillis(core::Instant instant)
{
    return instant == absl::InfiniteFuture() ? 0 : absl::ToUnixMillis(instant);
}

http::Response emptyResponse(int code)
{
    return jsonResponse(code, Json::objectValue);
}

} // namespace

WorkerRole::WorkerRole(absl::Duration usageLag)
    : m_usageLag(usageLag)
{ }

void WorkerRole::setFaults(const Faults *faults)
{
    m_faults = faults;
}

http::Response WorkerRole::handle(const http::Request &request)
{
    absl::MutexLock lock(&m_mutex);
    for (auto &[id, task] : m_tasks)
        task.advance(m_clock.now());
    if (request.path == "/counts")
        return counts();
    const auto body = core::parseJson(request.body);
    if (!body || !body->isObject())
        return emptyResponse(400);
    if (request.path == "/v1/tasks/start")
        return start(*body);
    if (request.path == "/v1/tasks/list")
        return list();
    if (request.path == "/v1/tasks/renew")
        return renew(*body);
    if (request.path == "/v1/tasks/forget")
        return forget(*body);
    return changeTask(request.path, *body);
}

http::Response WorkerRole::start(const Json::Value &body)
{
    const platform::TaskStart task = toTaskStart(body);
    if (task.taskId.empty() || task.lease <= absl::ZeroDuration())
        return emptyResponse(400);
    if (m_tasks.count(task.taskId) > 0)
        return emptyResponse(200);
    updateAllocationCounts(task);
    ++m_starts[task.taskId];
    const bool fail = m_faults && m_faults->failTasks();
    m_tasks.emplace(task.taskId, SimulatedTask(task, m_clock.now(), fail));
    return emptyResponse(200);
}

void WorkerRole::updateAllocationCounts(const platform::TaskStart &task)
{
    core::Resources claimed = task.resources;
    bool shared = false;
    for (const auto &[id, other] : m_tasks) {
        if (!other.running())
            continue;
        claimed = claimed + other.start().resources;
        shared = shared || shareAccelerator(task, other.start());
    }
    m_sharedAccelerators += shared ? 1 : 0;
    m_maxClaimed.accelerators = std::max(m_maxClaimed.accelerators, claimed.accelerators);
    m_maxClaimed.cores = std::max(m_maxClaimed.cores, claimed.cores);
    m_maxClaimed.memoryMb = std::max(m_maxClaimed.memoryMb, claimed.memoryMb);
}

http::Response WorkerRole::changeTask(const std::string &path, const Json::Value &body)
{
    const bool known =
        path == "/v1/tasks/stop" || path == "/v1/tasks/checkpoint" || path == "/v1/tasks/throttle";
    if (!known)
        return emptyResponse(404);
    const auto it = m_tasks.find(core::stringMember(body, "task_id"));
    // An unknown task has ended and been removed.
    if (it == m_tasks.end())
        return emptyResponse(200);
    if (path == "/v1/tasks/stop")
        it->second.stop();
    else if (path == "/v1/tasks/checkpoint")
        it->second.checkpoint(m_clock.now());
    else
        it->second.throttle(core::doubleMember(body, "share", 1));
    return emptyResponse(200);
}

http::Response WorkerRole::renew(const Json::Value &body)
{
    const absl::Duration lease = absl::Milliseconds(core::intMember(body, "lease_ms"));
    for (const Json::Value &id : core::member(body, "task_ids")) {
        const auto it = m_tasks.find(id.asString());
        if (it != m_tasks.end())
            it->second.renew(m_clock.now() + lease);
    }
    return emptyResponse(200);
}

http::Response WorkerRole::list() const
{
    Json::Value answer;
    answer["tasks"] = Json::arrayValue;
    for (const auto &[id, task] : m_tasks)
        answer["tasks"].append(toJson(task.status(m_usageLag)));
    return jsonResponse(200, answer);
}

http::Response WorkerRole::forget(const Json::Value &body)
{
    for (const Json::Value &id : core::member(body, "task_ids")) {
        const auto it = m_tasks.find(id.asString());
        if (it != m_tasks.end() && !it->second.running())
            m_tasks.erase(it);
    }
    return emptyResponse(200);
}

http::Response WorkerRole::counts() const
{
    Json::Value answer;
    answer["starts"] = Json::objectValue;
    for (const auto &[id, count] : m_starts)
        answer["starts"][id] = count;
    answer["shared_accelerators"] = m_sharedAccelerators;
    answer["max_claimed"] = toJson(m_maxClaimed);
    answer["tasks"] = Json::arrayValue;
    for (const auto &[id, task] : m_tasks) {
        Json::Value item = toJson(task.status(absl::ZeroDuration()));
        item["started_ms"] = static_cast<Json::Int64>(unixMillis(task.startedAt()));
        item["ended_ms"] = static_cast<Json::Int64>(unixMillis(task.endedAt()));
        answer["tasks"].append(item);
    }
    return jsonResponse(200, answer);
}

int WorkerRole::starts(const std::string &taskId) const
{
    absl::MutexLock lock(&m_mutex);
    const auto it = m_starts.find(taskId);
    return it == m_starts.end() ? 0 : it->second;
}

} // namespace oleandercross::standin
