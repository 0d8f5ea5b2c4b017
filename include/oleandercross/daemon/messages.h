#pragma once

#include <oleandercross/dispatch/admission.h>
#include <oleandercross/dispatch/dispatcher.h>

#include <json/value.h>

#include <string>

namespace oleandercross::daemon {

// JSON forms of the values in messages between the project's processes. Durations are integer
// microseconds in members ending in "Us". Decoders use defaults for absent members, so that
// messages of older and newer processes can be read.

Json::Value encode(const dispatch::TargetId &value);
dispatch::TargetId decodeTargetId(const Json::Value &value);

Json::Value encode(const dispatch::TargetLoad &value);
dispatch::TargetLoad decodeTargetLoad(const Json::Value &value);

Json::Value encode(const dispatch::DispatchMessage &value);
dispatch::DispatchMessage decodeDispatchMessage(const Json::Value &value);

Json::Value encode(const dispatch::FateQuery &value);
dispatch::FateQuery decodeFateQuery(const Json::Value &value);

// Answers contain the length of their body; an answer whose length does not match is decoded as
// Unknown.
Json::Value encode(const dispatch::FateReport &value);
dispatch::FateReport decodeFateReport(const Json::Value &value);

// Slots granted by an agent to an entry, in the reply to `demand` or in `slotsGranted`.
Json::Value encodeGrant(const dispatch::TargetId &target, const dispatch::SlotGrant &grant);
dispatch::SlotsGranted decodeGrant(const Json::Value &value);

// The reply to `dispatch`: the state of the request and the load of the target.
struct DispatchReply
{
    // Answered, Refused or Running. The result of a request that is still running when the agent
    // replies is queried with `fate`.
    dispatch::FateReport report;
    dispatch::TargetLoad load;

    friend bool operator==(const DispatchReply &, const DispatchReply &) = default;
};

Json::Value encode(const DispatchReply &value);
DispatchReply decodeDispatchReply(const Json::Value &value);

// Byte strings in messages: plain ASCII is stored unchanged, anything else in Base64, since JSON
// strings are limited to Unicode.
void encodeBytes(Json::Value &object, const std::string &key, const std::string &bytes);
std::string decodeBytes(const Json::Value &object, const std::string &key);

// Durations in messages; an infinite duration is encoded as -1.
Json::Value encodeDuration(absl::Duration value);
absl::Duration decodeDuration(const Json::Value &object, const char *key);

} // namespace oleandercross::daemon
