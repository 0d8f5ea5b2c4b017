#pragma once

#include <oleandercross/core/clock.h>
#include <oleandercross/core/condvar.h>

#include <absl/synchronization/mutex.h>
#include <absl/time/time.h>

#include <functional>
#include <map>
#include <thread>
#include <vector>

namespace oleandercross::core {

// A fixed-size thread pool that runs tasks immediately or after a delay. Tasks start in the order
// of their due times and may post further tasks.
class Executor
{
public:
    using Task = std::function<void()>;

    explicit Executor(int threadCount);
    // Calls stop().
    ~Executor();
    Executor(const Executor &) = delete;
    Executor &operator=(const Executor &) = delete;

    // Runs the task as soon as a thread is free.
    void post(Task task);

    // Runs the task once after a delay.
    void after(absl::Duration delay, Task task);

    // Runs the task repeatedly. The period is measured from the end of one run to the start of the
    // next, so that slow runs never overlap or queue up.
    void every(absl::Duration period, Task task);

    // Like every(), but each run returns the delay until the next.
    void repeat(std::function<absl::Duration()> task);

    // Drops tasks that have not started, waits for running ones and joins the threads.
    void stop();

private:
    void runAndRepeat(const std::function<absl::Duration()> &task);
    void runThread();
    void waitUntilDue(Instant dueTime, absl::Duration wait) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);

    SteadyClock m_clock;
    absl::Mutex m_mutex;
    // Signalled when a task is added or the executor stops.
    CondVar m_tasksChanged;
    std::multimap<Instant, Task> m_tasks ABSL_GUARDED_BY(m_mutex);
    // True while a thread waits for the due time of the first task.
    bool m_hasTimedWaiter ABSL_GUARDED_BY(m_mutex) = false;
    bool m_stopping ABSL_GUARDED_BY(m_mutex) = false;
    std::vector<std::thread> m_threads;
};

} // namespace oleandercross::core
