#pragma once

#include <oleandercross/workload/job.h>

#include <json/value.h>

#include <optional>
#include <string>

namespace oleandercross::workload {

// The stored form of an accepted job.
std::string encodeJob(const Job &job);

// Fails with BadJson or BadField on bytes that encodeJob() did not write.
std::optional<Job> decodeJob(const std::string &id, const std::string &text);

Json::Value toJson(const Demand &demand);
Demand demandFromJson(const Json::Value &value);

} // namespace oleandercross::workload
