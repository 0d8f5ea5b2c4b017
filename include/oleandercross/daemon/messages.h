#pragma once

#include <oleandercross/dispatch/admission.h>
#include <oleandercross/dispatch/dispatcher.h>

#include <json/value.h>

#include <string>

namespace oleandercross::daemon {

// JSON forms of the values in messages between the project's processes. Durations are whole
// microseconds, members ending in "Us". Decoders give defaults for absent members, so that a
// message of an older or newer process can be read.

Json::Value encode(const dispatch::TargetId &value);
dispatch::TargetId decodeTargetId(const Json::Value &value);

Json::Value encode(const dispatch::TargetLoad &value);
dispatch::TargetLoad decodeTargetLoad(const Json::Value &value);

Json::Value encode(const dispatch::DispatchMessage &value);
dispatch::DispatchMessage decodeDispatchMessage(const Json::Value &value);

Json::Value encode(const dispatch::FateQuery &value);
dispatch::FateQuery decodeFateQuery(const Json::Value &value);

// Answers carry the length of their body; one that does not match decodes as Unknown.
Json::Value encode(const dispatch::FateReport &value);
dispatch::FateReport decodeFateReport(const Json::Value &value);

// Slots that an agent grants to an entry, in the reply to `demand` or in `slotsGranted`.
Json::Value encodeGrant(const dispatch::TargetId &target, const dispatch::SlotGrant &grant);
dispatch::SlotsGranted decodeGrant(const Json::Value &value);

// The reply to `dispatch`: how far the request got, and the load of the target afterwards.
struct DispatchReply
{
    // Answered, Refused or Running; a request that runs longer than the agent holds the call open
    // is asked for with `fate`.
    dispatch::FateReport report;
    dispatch::TargetLoad load;

    friend bool operator==(const DispatchReply &, const DispatchReply &) = default;
};

Json::Value encode(const DispatchReply &value);
DispatchReply decodeDispatchReply(const Json::Value &value);

// Bytes in messages: text that is plain ASCII as it is, other bytes in Base64, since JSON strings
// hold Unicode only.
void putBytes(Json::Value &object, const std::string &key, const std::string &bytes);
std::string takeBytes(const Json::Value &object, const std::string &key);

// Durations in messages.
Json::Value encodeDuration(absl::Duration value);
absl::Duration decodeDuration(const Json::Value &object, const char *key);

} // namespace oleandercross::daemon
