#pragma once

#include <string>

namespace oleandercross::telemetry {

// Configures logging to standard output. There are no log files, because hosts have no disks.
// `process` is printed on every line.
void initLog(const std::string &process);

// Logs a change of state. Frequent events are counted in Metrics instead.
void logInfo(const std::string &component, const std::string &message);

// Logs a condition that requires action by an operator.
void logError(const std::string &component, const std::string &message);

} // namespace oleandercross::telemetry
