#pragma once

#include <oleandercross/daemon/clusterview.h>

#include <json/value.h>

namespace oleandercross::daemon {

// JSON forms of the membership messages; see messages.h for the conventions.

Json::Value encode(const membership::AgentRecord &record);
membership::AgentRecord decodeAgentRecord(const Json::Value &value);

Json::Value encode(const membership::Summary &summary);
membership::Summary decodeSummary(const Json::Value &value);

Json::Value encode(const LeaderInfo &leader);
LeaderInfo decodeLeader(const Json::Value &value);

} // namespace oleandercross::daemon
