#include <oleandercross/daemon/jobrecord.h>

#include <oleandercross/core/digest.h>
#include <oleandercross/core/json.h>
#include <oleandercross/core/resultcode.h>
#include <oleandercross/daemon/gangmessages.h>
#include <oleandercross/daemon/messages.h>

#include <absl/strings/str_cat.h>

#include <array>
#include <set>

namespace oleandercross::daemon {

namespace {

using core::boolMember;
using core::fail;
using core::intMember;
using core::member;
using core::ResultCode;
using core::stringMember;

constexpr std::size_t MaxCommandBytes = 4096;
constexpr int MaxAcceleratorsPerTask = 64;
constexpr int MaxCoresPerTask = 1024;
constexpr std::int64_t MaxMemoryMbPerTask = 16 * 1024 * 1024;
constexpr std::int64_t MaxRunTimeSeconds = 365LL * 24 * 3600;

const std::array<std::string, 7> StateNames = {"waiting",   "starting", "running",  "stopping",
                                               "succeeded", "failed",   "cancelled"};
const std::array<std::string, 3> AdjacencyNames = {"worker", "rack", "datacentre"};

template <typename Names>
int indexOf(const Names &names, const std::string &name)
{
    for (std::size_t i = 0; i < names.size(); ++i) {
        if (names[i] == name)
            return static_cast<int>(i);
    }
    return -1;
}

Json::Value encode(const scheduling::Placement &placement)
{
    Json::Value out(Json::arrayValue);
    for (const scheduling::TaskPlacement &task : placement.tasks) {
        Json::Value value;
        value["worker"] = task.worker.str();
        value["accelerators"] = Json::Value(Json::arrayValue);
        for (const int index : task.accelerators)
            value["accelerators"].append(index);
        out.append(value);
    }
    return out;
}

scheduling::Placement decodePlacement(const Json::Value &array)
{
    scheduling::Placement placement;
    for (const Json::Value &value : array) {
        scheduling::TaskPlacement task{core::WorkerId(stringMember(value, "worker")), {}};
        for (const Json::Value &index : member(value, "accelerators"))
            task.accelerators.push_back(index.asInt());
        placement.tasks.push_back(std::move(task));
    }
    return placement;
}

Json::Value encode(const scheduling::JobSpec &spec)
{
    Json::Value out;
    out["id"] = spec.id.str();
    out["account"] = spec.account.str();
    out["team"] = spec.team.str();
    out["tasks"] = spec.tasks;
    out["perTask"] = daemon::encode(spec.perTask);
    out["adjacency"] = AdjacencyNames.at(static_cast<std::size_t>(spec.adjacency));
    out["hard"] = spec.adjacencyHard;
    out["urgent"] = spec.urgent;
    out["repeatable"] = spec.repeatable;
    out["checkpointable"] = spec.checkpointable;
    out["runTimeUs"] = encodeDuration(spec.declaredRunTime);
    return out;
}

scheduling::JobSpec decodeSpec(const Json::Value &value)
{
    scheduling::JobSpec spec;
    spec.id = core::JobId(stringMember(value, "id"));
    spec.account = core::AccountId(stringMember(value, "account"));
    spec.team = core::TeamId(stringMember(value, "team"));
    spec.tasks = static_cast<int>(intMember(value, "tasks", 1));
    spec.perTask = decodeResources(member(value, "perTask"));
    const int adjacency = indexOf(AdjacencyNames, stringMember(value, "adjacency"));
    spec.adjacency = static_cast<scheduling::Adjacency>(std::max(0, adjacency));
    spec.adjacencyHard = boolMember(value, "hard");
    spec.urgent = boolMember(value, "urgent");
    spec.repeatable = boolMember(value, "repeatable");
    spec.checkpointable = boolMember(value, "checkpointable");
    spec.declaredRunTime = decodeDuration(value, "runTimeUs");
    return spec;
}

// Reads the fields of a submission and keeps the first error.
class FieldReader
{
public:
    explicit FieldReader(const Json::Value &object)
        : m_object(object)
    { }

    std::int64_t integer(const char *key, std::int64_t defaultValue, std::int64_t min,
                         std::int64_t max)
    {
        m_knownKeys.insert(key);
        const Json::Value &value = m_object[key];
        if (value.isNull())
            return defaultValue;
        if (!value.isInt64()) {
            recordError(ResultCode::BadField, absl::StrCat("'", key, "' must be a whole number"));
            return defaultValue;
        }
        if (value.asInt64() < min || value.asInt64() > max) {
            recordError(ResultCode::BadSize,
                        absl::StrCat("'", key, "' must be from ", min, " to ", max));
            return defaultValue;
        }
        return value.asInt64();
    }

    bool flag(const char *key)
    {
        m_knownKeys.insert(key);
        const Json::Value &value = m_object[key];
        if (!value.isNull() && !value.isBool())
            recordError(ResultCode::BadField, absl::StrCat("'", key, "' must be true or false"));
        return value.isBool() && value.asBool();
    }

    std::string text(const char *key)
    {
        m_knownKeys.insert(key);
        const Json::Value &value = m_object[key];
        if (!value.isNull() && !value.isString())
            recordError(ResultCode::BadField, absl::StrCat("'", key, "' must be a string"));
        return value.isString() ? value.asString() : std::string();
    }

    void recordError(ResultCode code, std::string message)
    {
        if (!m_error)
            m_error = core::Reason{code, std::move(message)};
    }

    std::optional<core::Reason> error()
    {
        for (const std::string &key : m_object.getMemberNames()) {
            if (m_knownKeys.count(key) == 0)
                recordError(ResultCode::BadField, absl::StrCat("unknown field '", key, "'"));
        }
        return m_error;
    }

private:
    const Json::Value &m_object;
    std::set<std::string> m_knownKeys;
    std::optional<core::Reason> m_error;
};

} // namespace

std::string jobPrefix(const core::DataCentreId &dataCentre)
{
    return "job/" + dataCentre.str() + "/";
}

std::string jobKey(const core::DataCentreId &dataCentre, const core::JobId &job)
{
    return jobPrefix(dataCentre) + job.str();
}

std::string doneKey(const core::DataCentreId &dataCentre, const core::JobId &job)
{
    return "done/" + dataCentre.str() + "/" + job.str();
}

std::string earlyCancelKey(const core::JobId &job, const core::AccountId &account)
{
    return "cancel/" + job.str() + "/" + account.str();
}

std::optional<core::DataCentreId> dataCentreOf(const core::JobId &job)
{
    const auto dot = job.str().find('.');
    if (dot == std::string::npos || dot == 0)
        return fail(ResultCode::UnknownJob, "no job '" + job.str() + "'");
    return core::DataCentreId(job.str().substr(0, dot));
}

std::string name(scheduling::JobState state)
{
    return StateNames.at(static_cast<std::size_t>(state));
}

Json::Value encode(const JobRecord &record)
{
    Json::Value out;
    out["spec"] = encode(record.spec);
    out["dataCentre"] = record.dataCentre.str();
    out["command"] = record.command;
    out["digest"] = record.digest;
    out["state"] = name(record.state);
    out["code"] = static_cast<int>(record.code);
    out["message"] = record.message;
    out["attempt"] = record.attempt;
    out["placement"] = encode(record.placement);
    out["perTask"] = encode(record.perTask);
    out["failures"] = record.failures;
    out["enlargements"] = record.enlargements;
    out["attainedUs"] = encodeDuration(record.attained);
    out["checkpoints"] = Json::Value(Json::arrayValue);
    for (const std::string &checkpoint : record.checkpoints)
        out["checkpoints"].append(checkpoint);
    out["cancelRequested"] = record.cancelRequested;
    out["submittedAtMicros"] = static_cast<Json::Int64>(record.submittedAtMicros);
    out["startedAtMicros"] = static_cast<Json::Int64>(record.startedAtMicros);
    out["endedAtMicros"] = static_cast<Json::Int64>(record.endedAtMicros);
    return out;
}

std::optional<JobRecord> decodeJobRecord(const std::string &text)
{
    const std::optional<Json::Value> value = core::parseJson(text);
    if (!value)
        return std::nullopt;
    const int state = indexOf(StateNames, stringMember(*value, "state"));
    JobRecord record;
    record.spec = decodeSpec(member(*value, "spec"));
    if (state < 0 || record.spec.id.empty())
        return fail(ResultCode::BadField, "not a job record");
    record.dataCentre = core::DataCentreId(stringMember(*value, "dataCentre"));
    record.command = stringMember(*value, "command");
    record.digest = stringMember(*value, "digest");
    record.state = static_cast<scheduling::JobState>(state);
    record.code = core::resultCodeFromNumber(static_cast<int>(intMember(*value, "code")));
    record.message = stringMember(*value, "message");
    record.attempt = static_cast<int>(intMember(*value, "attempt"));
    record.placement = decodePlacement(member(*value, "placement"));
    record.perTask = decodeResources(member(*value, "perTask"));
    record.failures = static_cast<int>(intMember(*value, "failures"));
    record.enlargements = static_cast<int>(intMember(*value, "enlargements"));
    record.attained = decodeDuration(*value, "attainedUs");
    for (const Json::Value &checkpoint : member(*value, "checkpoints"))
        record.checkpoints.push_back(checkpoint.asString());
    record.cancelRequested = boolMember(*value, "cancelRequested");
    record.submittedAtMicros = intMember(*value, "submittedAtMicros");
    record.startedAtMicros = intMember(*value, "startedAtMicros");
    record.endedAtMicros = intMember(*value, "endedAtMicros");
    return record;
}

Json::Value describe(const JobRecord &record)
{
    Json::Value out;
    out["job"] = record.spec.id.str();
    out["account"] = record.spec.account.str();
    out["dataCentre"] = record.dataCentre.str();
    out["state"] = name(record.state);
    out["code"] = static_cast<int>(record.code);
    out["message"] = record.message;
    out["attempt"] = record.attempt;
    out["placement"] = encode(record.placement);
    out["submittedAtMicros"] = static_cast<Json::Int64>(record.submittedAtMicros);
    out["startedAtMicros"] = static_cast<Json::Int64>(record.startedAtMicros);
    out["endedAtMicros"] = static_cast<Json::Int64>(record.endedAtMicros);
    return out;
}

std::optional<JobRecord> parseSubmission(const std::string &body)
{
    const std::optional<Json::Value> value = core::parseJson(body);
    if (!value)
        return std::nullopt;
    if (!value->isObject())
        return fail(ResultCode::BadField, "the job must be a JSON object");
    FieldReader fields(*value);
    JobRecord record;
    record.dataCentre = core::DataCentreId(fields.text("dataCentre"));
    record.spec.team = core::TeamId(fields.text("team"));
    record.spec.tasks = static_cast<int>(fields.integer("tasks", 1, 1, scheduling::MaxTasks));
    record.spec.perTask = {
        static_cast<int>(fields.integer("accelerators", 0, 0, MaxAcceleratorsPerTask)),
        static_cast<int>(fields.integer("cores", 1, 1, MaxCoresPerTask)),
        fields.integer("memoryMb", 1, 1, MaxMemoryMbPerTask)};
    const std::string adjacency = fields.text("adjacency");
    const int index = adjacency.empty() ? 2 : indexOf(AdjacencyNames, adjacency);
    if (index < 0)
        fields.recordError(ResultCode::BadField, "'adjacency' must be worker, rack or datacentre");
    record.spec.adjacency = static_cast<scheduling::Adjacency>(std::max(0, index));
    record.spec.adjacencyHard = fields.flag("hard");
    record.spec.urgent = fields.flag("urgent");
    record.spec.repeatable = fields.flag("repeatable");
    record.spec.checkpointable = fields.flag("checkpointable");
    record.spec.declaredRunTime =
        absl::Seconds(fields.integer("runTimeSeconds", 0, 0, MaxRunTimeSeconds));
    record.command = fields.text("command");
    if (record.command.size() > MaxCommandBytes)
        fields.recordError(ResultCode::BadSize, "'command' is too long");
    if (const auto error = fields.error())
        return fail(*error);
    record.perTask = record.spec.perTask;
    record.digest = core::sha256Hex(core::writeJson(*value));
    return record;
}

} // namespace oleandercross::daemon
