#include "processes.h"

#include <absl/time/clock.h>

#include <array>
#include <atomic>
#include <csignal>
#include <mutex>
#include <stdexcept>

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

extern char **environ;

namespace oleandercross::bench {

namespace {

constexpr int MaxProcesses = 300;
constexpr absl::Duration JoinPollInterval = absl::Milliseconds(10);

// Lock-free, since a signal handler reads it. 0 marks a free element.
std::array<std::atomic<pid_t>, MaxProcesses> childPids;
static_assert(std::atomic<pid_t>::is_always_lock_free);

void killChildrenAndReraise(int number)
{
    for (const auto &child : childPids) {
        const pid_t pid = child;
        if (pid > 0)
            kill(pid, SIGKILL);
    }
    std::signal(number, SIG_DFL);
    raise(number);
}

void installSignalHandlers()
{
    for (const int number : {SIGINT, SIGTERM, SIGHUP, SIGQUIT, SIGABRT, SIGSEGV})
        std::signal(number, killChildrenAndReraise);
    std::signal(SIGPIPE, SIG_IGN);
}

void replaceChildPid(pid_t previousPid, pid_t nextPid)
{
    for (auto &child : childPids) {
        pid_t expected = previousPid;
        if (child.compare_exchange_strong(expected, nextPid))
            return;
    }
}

class OutputRedirection
{
public:
    explicit OutputRedirection(const std::string &path)
    {
        posix_spawn_file_actions_init(&m_actions);
        posix_spawn_file_actions_addopen(&m_actions, STDOUT_FILENO, path.c_str(),
                                         O_WRONLY | O_CREAT | O_APPEND, 0600);
        posix_spawn_file_actions_adddup2(&m_actions, STDOUT_FILENO, STDERR_FILENO);
    }
    ~OutputRedirection() { posix_spawn_file_actions_destroy(&m_actions); }
    OutputRedirection(const OutputRedirection &) = delete;
    OutputRedirection &operator=(const OutputRedirection &) = delete;

    const posix_spawn_file_actions_t *actions() const { return &m_actions; }

private:
    posix_spawn_file_actions_t m_actions;
};

// Blocks termination signals, so that none arrives between the start of a child and its
// registration in `childPids`.
class SignalBlocker
{
public:
    SignalBlocker()
    {
        sigset_t terminationSignals;
        sigemptyset(&terminationSignals);
        for (const int number : {SIGINT, SIGTERM, SIGHUP, SIGQUIT})
            sigaddset(&terminationSignals, number);
        pthread_sigmask(SIG_BLOCK, &terminationSignals, &m_previousMask);
    }
    ~SignalBlocker() { pthread_sigmask(SIG_SETMASK, &m_previousMask, nullptr); }
    SignalBlocker(const SignalBlocker &) = delete;
    SignalBlocker &operator=(const SignalBlocker &) = delete;

    const sigset_t &previousMask() const { return m_previousMask; }

private:
    sigset_t m_previousMask;
};

pid_t spawn(const std::vector<std::string> &arguments, const std::string &logFile)
{
    std::vector<char *> argv;
    argv.reserve(arguments.size() + 1);
    for (const std::string &argument : arguments)
        argv.push_back(const_cast<char *>(argument.c_str()));
    argv.push_back(nullptr);
    const SignalBlocker blocked;
    const OutputRedirection output(logFile);
    posix_spawnattr_t attributes;
    posix_spawnattr_init(&attributes);
    posix_spawnattr_setsigmask(&attributes, &blocked.previousMask());
    posix_spawnattr_setflags(&attributes, POSIX_SPAWN_SETSIGMASK);
    pid_t pid = 0;
    const int error =
        posix_spawn(&pid, argv[0], output.actions(), &attributes, argv.data(), environ);
    posix_spawnattr_destroy(&attributes);
    if (error != 0)
        throw std::runtime_error("cannot start " + arguments[0]);
    replaceChildPid(0, pid);
    return pid;
}

} // namespace

Processes::~Processes()
{
    killAll();
}

void Processes::start(const std::string &name, const std::vector<std::string> &arguments,
                      const std::string &logFile)
{
    static std::once_flag once;
    std::call_once(once, installSignalHandlers);
    if (m_pids.size() >= MaxProcesses)
        throw std::runtime_error("too many child processes");
    m_pids[name] = spawn(arguments, logFile);
}

void Processes::signal(const std::string &name, int number)
{
    kill(m_pids.at(name), number);
}

bool Processes::join(const std::string &name, absl::Duration timeout)
{
    const pid_t pid = m_pids.at(name);
    const absl::Time end = absl::Now() + timeout;
    while (waitpid(pid, nullptr, WNOHANG) == 0) {
        if (absl::Now() >= end)
            return false;
        absl::SleepFor(JoinPollInterval);
    }
    replaceChildPid(pid, 0);
    m_pids.erase(name);
    return true;
}

pid_t Processes::pid(const std::string &name) const
{
    return m_pids.at(name);
}

std::vector<std::string> Processes::names() const
{
    std::vector<std::string> names;
    for (const auto &[name, pid] : m_pids)
        names.push_back(name);
    return names;
}

void Processes::killAll()
{
    for (const auto &[name, pid] : m_pids)
        kill(pid, SIGKILL);
    for (const auto &[name, pid] : m_pids) {
        waitpid(pid, nullptr, 0);
        replaceChildPid(pid, 0);
    }
    m_pids.clear();
}

} // namespace oleandercross::bench
