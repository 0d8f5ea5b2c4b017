#pragma once

#include <string>

namespace oleandercross::telemetry {

// Configures logging to standard error; hosts have no disks, so there are no log files.
// `process` is printed on every line.
void initLog(const std::string &process);

// One line for a change of state. Frequent events are counted in Metrics instead.
void logState(const std::string &component, const std::string &message);

// One line for a condition that an operator must act on.
void logError(const std::string &component, const std::string &message);

} // namespace oleandercross::telemetry
