#pragma once

#include <oleandercross/gang/protocol.h>

#include <json/value.h>

#include <string>

namespace oleandercross::daemon {

// JSON forms of the gang protocol's messages; see messages.h for the conventions.

Json::Value encode(const core::Resources &value);
core::Resources decodeResources(const Json::Value &value);

Json::Value encode(const platform::TaskStart &value);
platform::TaskStart decodeTaskStart(const Json::Value &value);

Json::Value encode(const platform::TaskStatus &value);
platform::TaskStatus decodeTaskStatus(const Json::Value &value);

// Returns the JSON-RPC method of a message.
std::string methodOf(const gang::Reserve &);
std::string methodOf(const gang::Commit &);
std::string methodOf(const gang::Abort &);
std::string methodOf(const gang::StopTask &);

Json::Value encode(const gang::Reserve &value);
gang::Reserve decodeReserve(const Json::Value &value);

Json::Value encode(const gang::Commit &value);
gang::Commit decodeCommit(const Json::Value &value);

Json::Value encode(const gang::Abort &value);
gang::Abort decodeAbort(const Json::Value &value);

Json::Value encode(const gang::StopTask &value);
gang::StopTask decodeStopTask(const Json::Value &value);

Json::Value encode(const gang::CheckpointTask &value);
gang::CheckpointTask decodeCheckpointTask(const Json::Value &value);

Json::Value encode(const gang::ThrottleTask &value);
gang::ThrottleTask decodeThrottleTask(const Json::Value &value);

Json::Value encode(const gang::Answer &value);
gang::Answer decodeGangAnswer(const Json::Value &value);

Json::Value encode(const gang::Watch &value);
gang::Watch decodeWatch(const Json::Value &value);

Json::Value encode(const gang::WatchAnswer &value);
gang::WatchAnswer decodeWatchAnswer(const Json::Value &value);

Json::Value encode(const gang::TaskEvent &value);
gang::TaskEvent decodeTaskEvent(const Json::Value &value);

Json::Value encode(const gang::LedgerReport &value);
gang::LedgerReport decodeLedgerReport(const Json::Value &value);

} // namespace oleandercross::daemon
