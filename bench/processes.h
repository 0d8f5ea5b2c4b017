#pragma once

#include <absl/time/time.h>

#include <map>
#include <string>
#include <vector>

#include <sys/types.h>

namespace oleandercross::bench {

// The child processes of a benchmark, by name. All of them are killed when this is destroyed and
// when the program gets a signal that ends it.
class Processes
{
public:
    Processes() = default;
    ~Processes();
    Processes(const Processes &) = delete;
    Processes &operator=(const Processes &) = delete;

    // Starts a program with its output in a file. Throws std::runtime_error if it cannot start.
    void start(const std::string &name, const std::vector<std::string> &arguments,
               const std::string &logFile);

    // Sends a signal to a running process.
    void signal(const std::string &name, int number);

    // Waits for a process to end; false if it still runs after `timeout`.
    bool join(const std::string &name, absl::Duration timeout);

    pid_t pid(const std::string &name) const;
    std::vector<std::string> names() const;
    void killAll();

private:
    std::map<std::string, pid_t> m_pids;
};

} // namespace oleandercross::bench
