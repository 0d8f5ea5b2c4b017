#include <oleandercross/telemetry/log.h>

#include <easylogging++.h>

INITIALIZE_EASYLOGGINGPP

namespace oleandercross::telemetry {

void initLog(const std::string &process)
{
    el::Configurations configuration;
    configuration.setToDefault();
    configuration.setGlobally(el::ConfigurationType::ToFile, "false");
    configuration.setGlobally(el::ConfigurationType::ToStandardOutput, "true");
    configuration.setGlobally(el::ConfigurationType::Format,
                              "%datetime{%Y-%M-%dT%H:%m:%s.%g} %level " + process + " %msg");
    el::Loggers::reconfigureAllLoggers(configuration);
}

void logInfo(const std::string &component, const std::string &message)
{
    LOG(INFO) << component << ": " << message;
}

void logError(const std::string &component, const std::string &message)
{
    LOG(ERROR) << component << ": " << message;
}

} // namespace oleandercross::telemetry
