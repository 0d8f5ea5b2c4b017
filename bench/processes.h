#pragma once

#include <absl/time/time.h>

#include <map>
#include <string>
#include <vector>

#include <sys/types.h>

namespace oleandercross::bench {

// Manages the child processes of a benchmark by name. All are killed when this object is destroyed
// or a signal terminates the program.
class Processes
{
public:
    Processes() = default;
    ~Processes();
    Processes(const Processes &) = delete;
    Processes &operator=(const Processes &) = delete;

    // Starts a program and appends its output to a file. Throws std::runtime_error if it cannot
    // start.
    void start(const std::string &name, const std::vector<std::string> &arguments,
               const std::string &logFile);

    void signal(const std::string &name, int number);

    // Waits for a process to exit. Returns false if it is still running after `timeout`.
    bool join(const std::string &name, absl::Duration timeout);

    pid_t pid(const std::string &name) const;
    std::vector<std::string> names() const;
    void killAll();

private:
    std::map<std::string, pid_t> m_pids;
};

} // namespace oleandercross::bench
