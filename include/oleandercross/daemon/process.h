#pragma once

#include <oleandercross/config/settings.h>

#include <functional>
#include <memory>

namespace oleandercross::daemon {

// One role of the daemon between start and graceful stop.
class Process
{
public:
    virtual ~Process() = default;

    // Starts serving. Returns false with the last reason set, and then nothing runs.
    virtual bool start() = 0;

    // The settings file may have changed. A process that takes its settings only at the start has
    // nothing to do.
    virtual void reload() { }

    // Stops without cutting off a request in flight; `hurry` is polled and ends the wait early.
    virtual void stop(const std::function<bool()> &hurry) = 0;
};

std::unique_ptr<Process> makeEntry(const config::Settings &settings);
std::unique_ptr<Process> makeAgent(const config::Settings &settings);

} // namespace oleandercross::daemon
