#include <oleandercross/daemon/messages.h>

#include <oleandercross/core/json.h>

#include <absl/strings/escaping.h>

#include <algorithm>

namespace oleandercross::daemon {

namespace {

using core::boolMember;
using core::intMember;
using core::member;
using core::stringMember;

constexpr std::int64_t InfiniteUs = -1;
constexpr char Base64Suffix[] = "Base64";

bool isPlainAscii(char c)
{
    return (c >= ' ' && c <= '~') || c == '\n' || c == '\r' || c == '\t';
}

int intOf(const Json::Value &object, const char *key)
{
    return static_cast<int>(intMember(object, key));
}

Json::Value encode(const dispatch::Answer &value)
{
    Json::Value out;
    out["succeeded"] = value.succeeded;
    encodeBytes(out, "body", value.body);
    out["length"] = static_cast<Json::UInt64>(value.body.size());
    return out;
}

bool hasDeclaredLength(const Json::Value &answer)
{
    return intMember(answer, "length", -1)
        == static_cast<std::int64_t>(decodeBytes(answer, "body").size());
}

} // namespace

void encodeBytes(Json::Value &object, const std::string &key, const std::string &bytes)
{
    if (std::all_of(bytes.begin(), bytes.end(), isPlainAscii))
        object[key] = bytes;
    else
        object[key + Base64Suffix] = absl::Base64Escape(bytes);
}

std::string decodeBytes(const Json::Value &object, const std::string &key)
{
    std::string bytes;
    const Json::Value &encoded = member(object, (key + Base64Suffix).c_str());
    if (!encoded.isString())
        return stringMember(object, key.c_str());
    // Invalid Base64 fails the length check of the caller.
    absl::Base64Unescape(encoded.asString(), &bytes);
    return bytes;
}

Json::Value encodeDuration(absl::Duration value)
{
    if (value == absl::InfiniteDuration())
        return static_cast<Json::Int64>(InfiniteUs);
    return static_cast<Json::Int64>(absl::ToInt64Microseconds(value));
}

absl::Duration decodeDuration(const Json::Value &object, const char *key)
{
    const std::int64_t micros = intMember(object, key);
    return micros == InfiniteUs ? absl::InfiniteDuration() : absl::Microseconds(micros);
}

Json::Value encode(const dispatch::TargetId &value)
{
    Json::Value out;
    out["agent"] = value.agent.str();
    out["incarnation"] = static_cast<Json::Int64>(value.incarnation);
    out["minion"] = value.minion.str();
    return out;
}

dispatch::TargetId decodeTargetId(const Json::Value &value)
{
    return {core::AgentId(stringMember(value, "agent")), intMember(value, "incarnation"),
            core::MinionId(stringMember(value, "minion"))};
}

Json::Value encode(const dispatch::TargetLoad &value)
{
    Json::Value out;
    out["freeSlots"] = value.freeSlots;
    out["freeShortSlots"] = value.freeShortSlots;
    out["expectedWorkUs"] = encodeDuration(value.expectedWork);
    return out;
}

dispatch::TargetLoad decodeTargetLoad(const Json::Value &value)
{
    return {intOf(value, "freeSlots"), intOf(value, "freeShortSlots"),
            decodeDuration(value, "expectedWorkUs")};
}

Json::Value encode(const dispatch::DispatchMessage &value)
{
    Json::Value out;
    out["id"] = value.id.str();
    out["attempt"] = value.attempt;
    out["entry"] = value.entry.str();
    out["account"] = value.account.str();
    out["service"] = value.service.str();
    out["target"] = encode(value.target);
    out["timeLeftUs"] = encodeDuration(value.timeLeft);
    out["idempotent"] = value.idempotent;
    out["shortWork"] = value.shortWork;
    out["expectedTimeUs"] = encodeDuration(value.expectedTime);
    out["agentUptimeUs"] = encodeDuration(value.agentUptime);
    out["granted"] = value.granted;
    return out;
}

dispatch::DispatchMessage decodeDispatchMessage(const Json::Value &value)
{
    dispatch::DispatchMessage message;
    message.id = core::RequestId(stringMember(value, "id"));
    message.attempt = intOf(value, "attempt");
    message.entry = core::EntryId(stringMember(value, "entry"));
    message.account = core::AccountId(stringMember(value, "account"));
    message.service = core::ServiceId(stringMember(value, "service"));
    message.target = decodeTargetId(member(value, "target"));
    message.timeLeft = decodeDuration(value, "timeLeftUs");
    message.idempotent = boolMember(value, "idempotent");
    message.shortWork = boolMember(value, "shortWork");
    message.expectedTime = decodeDuration(value, "expectedTimeUs");
    message.agentUptime = decodeDuration(value, "agentUptimeUs");
    message.granted = boolMember(value, "granted");
    return message;
}

Json::Value encode(const dispatch::FateQuery &value)
{
    Json::Value out;
    out["id"] = value.id.str();
    out["target"] = encode(value.target);
    out["agentUptimeUs"] = encodeDuration(value.agentUptime);
    return out;
}

dispatch::FateQuery decodeFateQuery(const Json::Value &value)
{
    return {core::RequestId(stringMember(value, "id")), decodeTargetId(member(value, "target")),
            decodeDuration(value, "agentUptimeUs")};
}

Json::Value encode(const dispatch::FateReport &value)
{
    Json::Value out;
    out["fate"] = static_cast<int>(value.fate);
    out["code"] = static_cast<int>(value.code);
    if (value.fate == dispatch::Fate::Answered)
        out["answer"] = encode(value.answer);
    return out;
}

dispatch::FateReport decodeFateReport(const Json::Value &value)
{
    constexpr int LastFate = static_cast<int>(dispatch::Fate::Unreachable);
    const std::int64_t fate = intMember(value, "fate", LastFate);
    dispatch::FateReport report;
    if (fate < 0 || fate > LastFate)
        return report;
    report.fate = static_cast<dispatch::Fate>(fate);
    report.code = core::resultCodeFromNumber(intOf(value, "code"));
    if (report.fate != dispatch::Fate::Answered)
        return report;
    const Json::Value &answer = member(value, "answer");
    if (!hasDeclaredLength(answer)) {
        report.fate = dispatch::Fate::Unknown;
        return report;
    }
    report.answer = {boolMember(answer, "succeeded"), decodeBytes(answer, "body")};
    return report;
}

Json::Value encodeGrant(const dispatch::TargetId &target, const dispatch::SlotGrant &grant)
{
    Json::Value out;
    out["target"] = encode(target);
    out["slots"] = grant.slots;
    out["shortSlots"] = grant.shortSlots;
    out["validForUs"] = encodeDuration(grant.validFor);
    return out;
}

dispatch::SlotsGranted decodeGrant(const Json::Value &value)
{
    return {decodeTargetId(member(value, "target")), intOf(value, "slots"),
            intOf(value, "shortSlots"), decodeDuration(value, "validForUs")};
}

Json::Value encode(const DispatchReply &value)
{
    Json::Value out;
    out["report"] = encode(value.report);
    out["load"] = encode(value.load);
    return out;
}

DispatchReply decodeDispatchReply(const Json::Value &value)
{
    return {decodeFateReport(member(value, "report")), decodeTargetLoad(member(value, "load"))};
}

} // namespace oleandercross::daemon
