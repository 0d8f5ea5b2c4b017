#include <oleandercross/daemon/gangmessages.h>

#include <oleandercross/core/json.h>
#include <oleandercross/daemon/messages.h>

namespace oleandercross::daemon {

namespace {

using core::boolMember;
using core::doubleMember;
using core::intMember;
using core::member;
using core::stringMember;

int intOf(const Json::Value &object, const char *key)
{
    return static_cast<int>(intMember(object, key));
}

template <typename Decode>
auto decodeList(const Json::Value &array, Decode decode)
{
    std::vector<decltype(decode(array))> values;
    if (!array.isArray())
        return values;
    for (const Json::Value &value : array)
        values.push_back(decode(value));
    return values;
}

template <typename T>
Json::Value encodeList(const std::vector<T> &values, Json::Value (*encodeOne)(const T &))
{
    Json::Value out(Json::arrayValue);
    for (const T &value : values)
        out.append(encodeOne(value));
    return out;
}

Json::Value encodeInts(const std::vector<int> &values)
{
    Json::Value out(Json::arrayValue);
    for (const int value : values)
        out.append(value);
    return out;
}

std::vector<int> decodeInts(const Json::Value &array)
{
    return decodeList(array,
                      [](const Json::Value &value) { return value.isInt() ? value.asInt() : -1; });
}

// Decodes an unknown number as the enumeration's last value.
template <typename Enum>
Enum decodeEnum(const Json::Value &object, const char *key, Enum last)
{
    const std::int64_t number = intMember(object, key, -1);
    return number >= 0 && number < static_cast<int>(last) ? static_cast<Enum>(number) : last;
}

Json::Value encode(const gang::GangKey &key)
{
    Json::Value out;
    out["job"] = key.job.str();
    out["attempt"] = key.attempt;
    return out;
}

gang::GangKey decodeKey(const Json::Value &object)
{
    const Json::Value &value = member(object, "key");
    return {core::JobId(stringMember(value, "job")), intOf(value, "attempt")};
}

Json::Value encode(const gang::Peer &peer)
{
    Json::Value out;
    out["agent"] = peer.agent.str();
    out["address"] = peer.address;
    return out;
}

gang::Peer decodePeer(const Json::Value &value)
{
    return {core::AgentId(stringMember(value, "agent")), stringMember(value, "address")};
}

// Members common to all messages of a leader.
Json::Value leaderMessage(gang::Epoch epoch, const gang::GangKey &key)
{
    Json::Value out;
    out["epoch"] = static_cast<Json::Int64>(epoch);
    out["key"] = encode(key);
    return out;
}

Json::Value encode(const core::Reason &reason)
{
    Json::Value out;
    out["code"] = static_cast<int>(reason.code);
    out["message"] = reason.message;
    return out;
}

core::Reason decodeReason(const Json::Value &value)
{
    return {core::resultCodeFromNumber(intOf(value, "code")), stringMember(value, "message")};
}

Json::Value encode(const gang::GangStatus &value)
{
    Json::Value out = leaderMessage(value.epoch, value.key);
    out["state"] = static_cast<int>(value.state);
    out["members"] = encodeList(value.members, &encode);
    out["tasks"] = encodeList(value.tasks, &daemon::encode);
    return out;
}

gang::GangStatus decodeGangStatus(const Json::Value &value)
{
    gang::GangStatus status;
    status.key = decodeKey(value);
    status.epoch = intMember(value, "epoch");
    status.state = decodeEnum(value, "state", gang::MemberState::Stopped);
    status.members = decodeList(member(value, "members"), decodePeer);
    status.tasks = decodeList(member(value, "tasks"), decodeTaskStatus);
    return status;
}

} // namespace

Json::Value encode(const core::Resources &value)
{
    Json::Value out;
    out["accelerators"] = value.accelerators;
    out["cores"] = value.cores;
    out["memoryMb"] = static_cast<Json::Int64>(value.memoryMb);
    return out;
}

core::Resources decodeResources(const Json::Value &value)
{
    return {intOf(value, "accelerators"), intOf(value, "cores"), intMember(value, "memoryMb")};
}

Json::Value encode(const platform::TaskStart &value)
{
    Json::Value out;
    out["taskId"] = value.taskId;
    out["job"] = value.job.str();
    out["resources"] = encode(value.resources);
    out["accelerators"] = encodeInts(value.accelerators);
    out["command"] = value.command;
    out["leaseUs"] = encodeDuration(value.lease);
    out["checkpoint"] = value.checkpoint;
    return out;
}

platform::TaskStart decodeTaskStart(const Json::Value &value)
{
    platform::TaskStart task;
    task.taskId = stringMember(value, "taskId");
    task.job = core::JobId(stringMember(value, "job"));
    task.resources = decodeResources(member(value, "resources"));
    task.accelerators = decodeInts(member(value, "accelerators"));
    task.command = stringMember(value, "command");
    task.lease = decodeDuration(value, "leaseUs");
    task.checkpoint = stringMember(value, "checkpoint");
    return task;
}

Json::Value encode(const platform::TaskStatus &value)
{
    Json::Value out;
    out["taskId"] = value.taskId;
    out["job"] = value.job.str();
    out["state"] = static_cast<int>(value.state);
    out["declared"] = encode(value.declared);
    out["used"] = encode(value.used);
    out["accelerators"] = encodeInts(value.accelerators);
    out["message"] = value.message;
    out["checkpoint"] = value.checkpoint;
    return out;
}

platform::TaskStatus decodeTaskStatus(const Json::Value &value)
{
    platform::TaskStatus status;
    status.taskId = stringMember(value, "taskId");
    status.job = core::JobId(stringMember(value, "job"));
    status.state = decodeEnum(value, "state", platform::TaskState::Stopped);
    status.declared = decodeResources(member(value, "declared"));
    status.used = decodeResources(member(value, "used"));
    status.accelerators = decodeInts(member(value, "accelerators"));
    status.message = stringMember(value, "message");
    status.checkpoint = stringMember(value, "checkpoint");
    return status;
}

std::string methodOf(const gang::Reserve &)
{
    return "reserve";
}

std::string methodOf(const gang::Commit &)
{
    return "commit";
}

std::string methodOf(const gang::Abort &)
{
    return "abort";
}

std::string methodOf(const gang::StopTask &)
{
    return "stopTask";
}

Json::Value encode(const gang::Reserve &value)
{
    Json::Value out = leaderMessage(value.epoch, value.key);
    out["round"] = value.round;
    out["tasks"] = encodeList(value.tasks, &encode);
    return out;
}

gang::Reserve decodeReserve(const Json::Value &value)
{
    return {intMember(value, "epoch"), decodeKey(value), intOf(value, "round"),
            decodeList(member(value, "tasks"), decodeTaskStart)};
}

Json::Value encode(const gang::Commit &value)
{
    Json::Value out = leaderMessage(value.epoch, value.key);
    out["incarnation"] = static_cast<Json::Int64>(value.incarnation);
    out["members"] = encodeList(value.members, &encode);
    return out;
}

gang::Commit decodeCommit(const Json::Value &value)
{
    return {intMember(value, "epoch"), decodeKey(value), intMember(value, "incarnation"),
            decodeList(member(value, "members"), decodePeer)};
}

Json::Value encode(const gang::Abort &value)
{
    return leaderMessage(value.epoch, value.key);
}

gang::Abort decodeAbort(const Json::Value &value)
{
    return {intMember(value, "epoch"), decodeKey(value)};
}

Json::Value encode(const gang::StopTask &value)
{
    return leaderMessage(value.epoch, value.key);
}

gang::StopTask decodeStopTask(const Json::Value &value)
{
    return {intMember(value, "epoch"), decodeKey(value)};
}

Json::Value encode(const gang::CheckpointTask &value)
{
    return leaderMessage(value.epoch, value.key);
}

gang::CheckpointTask decodeCheckpointTask(const Json::Value &value)
{
    return {intMember(value, "epoch"), decodeKey(value)};
}

Json::Value encode(const gang::ThrottleTask &value)
{
    Json::Value out = leaderMessage(value.epoch, value.key);
    out["share"] = value.share;
    return out;
}

gang::ThrottleTask decodeThrottleTask(const Json::Value &value)
{
    return {intMember(value, "epoch"), decodeKey(value), doubleMember(value, "share", 1)};
}

Json::Value encode(const gang::Answer &value)
{
    Json::Value out = encode(core::Reason{value.code, value.message});
    out["incarnation"] = static_cast<Json::Int64>(value.incarnation);
    out["epoch"] = static_cast<Json::Int64>(value.epoch);
    return out;
}

gang::Answer decodeGangAnswer(const Json::Value &value)
{
    const core::Reason reason = decodeReason(value);
    return {reason.code, reason.message, intMember(value, "incarnation"),
            intMember(value, "epoch")};
}

Json::Value encode(const gang::Watch &value)
{
    Json::Value out = leaderMessage(value.epoch, value.key);
    out["from"] = value.from.str();
    if (!value.members.empty())
        out["members"] = encodeList(value.members, &encode);
    return out;
}

gang::Watch decodeWatch(const Json::Value &value)
{
    return {decodeKey(value), intMember(value, "epoch"), core::AgentId(stringMember(value, "from")),
            decodeList(member(value, "members"), decodePeer)};
}

Json::Value encode(const gang::WatchAnswer &value)
{
    Json::Value out;
    out["state"] = static_cast<int>(value.state);
    out["evidenceAgeUs"] = encodeDuration(value.evidenceAge);
    out["groupState"] = static_cast<int>(value.groupState);
    out["groupEvidenceAgeUs"] = encodeDuration(value.groupEvidenceAge);
    out["membersWanted"] = value.membersWanted;
    return out;
}

gang::WatchAnswer decodeWatchAnswer(const Json::Value &value)
{
    return {decodeEnum(value, "state", gang::MemberState::Stopped),
            decodeDuration(value, "evidenceAgeUs"),
            decodeEnum(value, "groupState", gang::MemberState::Stopped),
            decodeDuration(value, "groupEvidenceAgeUs"), boolMember(value, "membersWanted")};
}

Json::Value encode(const gang::TaskEvent &value)
{
    Json::Value out;
    out["key"] = encode(value.key);
    out["agent"] = value.agent.str();
    out["kind"] = static_cast<int>(value.kind);
    out["reason"] = encode(value.reason);
    out["tasks"] = encodeList(value.tasks, &encode);
    return out;
}

gang::TaskEvent decodeTaskEvent(const Json::Value &value)
{
    gang::TaskEvent event;
    event.key = decodeKey(value);
    event.agent = core::AgentId(stringMember(value, "agent"));
    event.kind = decodeEnum(value, "kind", gang::TaskEvent::Kind::Stopped);
    event.reason = decodeReason(member(value, "reason"));
    event.tasks = decodeList(member(value, "tasks"), decodeTaskStatus);
    return event;
}

Json::Value encode(const gang::LedgerReport &value)
{
    Json::Value out;
    out["incarnation"] = static_cast<Json::Int64>(value.incarnation);
    out["epoch"] = static_cast<Json::Int64>(value.epoch);
    out["total"] = encode(value.total);
    out["free"] = encode(value.free);
    out["freeAccelerators"] = encodeInts(value.freeAccelerators);
    out["draining"] = value.draining;
    out["gangs"] = encodeList(value.gangs, &encode);
    return out;
}

gang::LedgerReport decodeLedgerReport(const Json::Value &value)
{
    gang::LedgerReport report;
    report.incarnation = intMember(value, "incarnation");
    report.epoch = intMember(value, "epoch");
    report.total = decodeResources(member(value, "total"));
    report.free = decodeResources(member(value, "free"));
    report.freeAccelerators = decodeInts(member(value, "freeAccelerators"));
    report.draining = boolMember(value, "draining");
    report.gangs = decodeList(member(value, "gangs"), decodeGangStatus);
    return report;
}

} // namespace oleandercross::daemon
