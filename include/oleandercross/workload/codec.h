#pragma once

#include <oleandercross/workload/job.h>

#include <json/value.h>

#include <optional>
#include <string>

namespace oleandercross::workload {

// Returns the stored form of an accepted job.
std::string encodeJob(const Job &job);

// Parses the output of encodeJob(). Fails with BadJson or BadField if the text is invalid.
std::optional<Job> decodeJob(const std::string &id, const std::string &text);

Json::Value toJson(const Demand &demand);
// Fails with BadField if a number is missing, negative or larger than MaxDemand.
std::optional<Demand> demandFromJson(const Json::Value &value);

} // namespace oleandercross::workload
