#pragma once

#include <oleandercross/config/settings.h>

#include <functional>
#include <memory>

namespace oleandercross::daemon {

// A running daemon in one role, entry or agent.
class Process
{
public:
    virtual ~Process() = default;

    // Starts serving. On failure nothing is left running, and it returns false with the last reason
    // set.
    virtual bool start() = 0;

    // Called when the settings file may have changed. The default implementation, for processes
    // that read their settings only at the start, does nothing.
    virtual void reload() { }

    // Stops after the requests in flight have completed. `skipDrain` is polled; once it returns
    // true, the process stops without waiting any longer.
    virtual void stop(const std::function<bool()> &skipDrain) = 0;
};

std::unique_ptr<Process> makeEntry(const config::Settings &settings);
std::unique_ptr<Process> makeAgent(const config::Settings &settings);

} // namespace oleandercross::daemon
