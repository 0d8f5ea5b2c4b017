#include "clustermessages.h"

#include <oleandercross/core/json.h>
#include <oleandercross/daemon/gangmessages.h>

namespace oleandercross::daemon {

namespace {

using core::boolMember;
using core::intMember;
using core::member;
using core::stringMember;

// Elements of a load array: free slots, free short slots, expected work and serving time, the
// latter two in microseconds.
constexpr unsigned LoadElementCount = 4;

Json::Value encode(const membership::EntryRecord &record)
{
    Json::Value out;
    out["entry"] = record.entry.str();
    out["dataCentre"] = record.dataCentre.str();
    out["address"] = record.address;
    out["incarnation"] = static_cast<Json::Int64>(record.incarnation);
    out["sequence"] = static_cast<Json::Int64>(record.sequence);
    return out;
}

membership::EntryRecord decodeEntryRecord(const Json::Value &value)
{
    return {core::EntryId(stringMember(value, "entry")),
            core::DataCentreId(stringMember(value, "dataCentre")), stringMember(value, "address"),
            intMember(value, "incarnation"), intMember(value, "sequence")};
}

std::optional<WorkerState> decodeWorker(const Json::Value &value)
{
    if (!value.isObject())
        return std::nullopt;
    return WorkerState{core::WorkerId(stringMember(value, "id")),
                       core::RackId(stringMember(value, "rack")), decodeResources(value)};
}

MinionState decodeMinion(const Json::Value &value, const Json::Value &loads)
{
    MinionState minion;
    minion.minion = core::MinionId(stringMember(value, "id"));
    minion.service = core::ServiceId(stringMember(value, "service"));
    minion.slots = static_cast<int>(intMember(value, "slots"));
    minion.shortSlots = static_cast<int>(intMember(value, "shortSlots"));
    minion.draining = boolMember(value, "draining");
    const Json::Value &load = member(loads, minion.minion.str().c_str());
    if (load.isArray() && load.size() == LoadElementCount) {
        minion.load = {load[0].asInt(), load[1].asInt(), absl::Microseconds(load[2].asInt64())};
        minion.servingFor = absl::Microseconds(load[3].asInt64());
    } else {
        // A minion without reported load is assumed to be free; replies to dispatches correct this.
        minion.load = {minion.slots, minion.shortSlots, absl::ZeroDuration()};
        minion.servingFor = absl::InfiniteDuration();
    }
    return minion;
}

} // namespace

Json::Value encode(const membership::AgentRecord &record)
{
    Json::Value out;
    out["agent"] = record.agent.str();
    out["dataCentre"] = record.dataCentre.str();
    out["address"] = record.address;
    out["incarnation"] = static_cast<Json::Int64>(record.incarnation);
    out["sequence"] = static_cast<Json::Int64>(record.sequence);
    out["state"] = record.state;
    return out;
}

membership::AgentRecord decodeAgentRecord(const Json::Value &value)
{
    return {core::AgentId(stringMember(value, "agent")),
            core::DataCentreId(stringMember(value, "dataCentre")),
            stringMember(value, "address"),
            intMember(value, "incarnation"),
            intMember(value, "sequence"),
            stringMember(value, "state")};
}

Json::Value encode(const membership::Summary &summary)
{
    Json::Value out;
    out["sender"] = encode(summary.sender);
    out["since"] = static_cast<Json::Int64>(summary.since);
    out["version"] = static_cast<Json::Int64>(summary.version);
    out["changed"] = Json::Value(Json::arrayValue);
    for (const membership::AgentRecord &record : summary.changed)
        out["changed"].append(encode(record));
    out["removed"] = Json::Value(Json::arrayValue);
    for (const core::AgentId &agent : summary.removed)
        out["removed"].append(agent.str());
    return out;
}

membership::Summary decodeSummary(const Json::Value &value)
{
    membership::Summary summary;
    summary.sender = decodeEntryRecord(member(value, "sender"));
    summary.since = intMember(value, "since");
    summary.version = intMember(value, "version");
    for (const Json::Value &record : member(value, "changed"))
        summary.changed.push_back(decodeAgentRecord(record));
    for (const Json::Value &agent : member(value, "removed"))
        summary.removed.emplace_back(agent.asString());
    return summary;
}

Json::Value encode(const LeaderInfo &leader)
{
    Json::Value out;
    out["dataCentre"] = leader.dataCentre.str();
    out["entry"] = leader.entry.str();
    out["address"] = http::toString(leader.rpc);
    out["epoch"] = static_cast<Json::Int64>(leader.epoch);
    return out;
}

LeaderInfo decodeLeader(const Json::Value &value)
{
    LeaderInfo leader;
    leader.dataCentre = core::DataCentreId(stringMember(value, "dataCentre"));
    leader.entry = core::EntryId(stringMember(value, "entry"));
    leader.rpc = http::parseEndpoint(stringMember(value, "address")).value_or(http::Endpoint{});
    leader.epoch = intMember(value, "epoch");
    return leader;
}

Json::Value encodeStatic(const AgentInfo &info)
{
    Json::Value out;
    if (info.worker) {
        out["worker"] = encode(info.worker->resources);
        out["worker"]["id"] = info.worker->id.str();
        out["worker"]["rack"] = info.worker->rack.str();
    }
    out["minions"] = Json::Value(Json::arrayValue);
    for (const MinionState &minion : info.minions) {
        Json::Value value;
        value["id"] = minion.minion.str();
        value["service"] = minion.service.str();
        value["slots"] = minion.slots;
        value["shortSlots"] = minion.shortSlots;
        value["draining"] = minion.draining;
        out["minions"].append(value);
    }
    out["draining"] = info.draining;
    out["revision"] = static_cast<Json::Int64>(info.revision);
    return out;
}

Json::Value encodeLoads(const AgentInfo &info)
{
    Json::Value out(Json::objectValue);
    for (const MinionState &minion : info.minions) {
        // An array without member names, since loads make up most of the traffic between entries.
        Json::Value load(Json::arrayValue);
        load.append(minion.load.freeSlots);
        load.append(minion.load.freeShortSlots);
        load.append(static_cast<Json::Int64>(absl::ToInt64Microseconds(minion.load.expectedWork)));
        load.append(static_cast<Json::Int64>(absl::ToInt64Microseconds(minion.servingFor)));
        out[minion.minion.str()] = load;
    }
    out["uptimeUs"] = encodeDuration(info.uptime);
    return out;
}

AgentInfo decodeAgentInfo(const membership::AgentRecord &record, const Json::Value &loads)
{
    AgentInfo info;
    info.id = record.agent;
    info.dataCentre = record.dataCentre;
    info.rpc = http::parseEndpoint(record.address).value_or(http::Endpoint{});
    info.incarnation = record.incarnation;
    const std::optional<Json::Value> state = core::parseJson(record.state);
    if (!state)
        return info;
    info.worker = decodeWorker(member(*state, "worker"));
    for (const Json::Value &minion : member(*state, "minions"))
        info.minions.push_back(decodeMinion(minion, loads));
    info.draining = boolMember(*state, "draining");
    info.revision = intMember(*state, "revision");
    info.uptime = decodeDuration(loads, "uptimeUs");
    return info;
}

} // namespace oleandercross::daemon
