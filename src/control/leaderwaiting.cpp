#include <oleandercross/control/leader.h>

#include <oleandercross/telemetry/eventlog.h>

#include <absl/strings/str_cat.h>

namespace oleandercross::control {

namespace {

// Shorter waits are usual, since a stop takes up to a second.
constexpr absl::Duration MinLoggedWait = absl::Seconds(2);

std::string metricName(const std::string &name, int priority)
{
    return absl::StrCat(name, "{priority=\"", priority, "\"}");
}

} // namespace

void Leader::reportWaitingWork(planning::WaitingWork waiting)
{
    const planning::WaitingWork last = std::exchange(m_reportedWaitingWork, std::move(waiting));
    const planning::WaitingWork &current = m_reportedWaitingWork;
    m_metrics.set("accelerators_free", current.freeAccelerators);
    m_metrics.set("accelerators_reserved", current.reservedAccelerators);
    const auto setMetrics = [this](int priority, const planning::WaitingTasks &tasks) {
        m_metrics.set(metricName("tasks_waiting", priority), tasks.tasks);
        m_metrics.set(metricName("tasks_waiting_beside_reserve", priority), tasks.fitInReserve);
        m_metrics.set(metricName("longest_wait_ms", priority),
                      absl::ToInt64Milliseconds(tasks.longestWait));
    };
    for (const auto &[priority, tasks] : last.priorities) {
        if (!current.priorities.contains(priority))
            setMetrics(priority, {});
    }
    for (const auto &[priority, tasks] : current.priorities) {
        setMetrics(priority, tasks);
        if (tasks.longestWait < MinLoggedWait)
            continue;
        telemetry::Event("tasks_waiting")
            .with("priority", priority)
            .with("tasks", tasks.tasks)
            .with("steps", tasks.steps)
            .with("longest_wait_ms", absl::ToInt64Milliseconds(tasks.longestWait))
            .with("fit_in_reserve", tasks.fitInReserve)
            .with("fit_elsewhere", tasks.fitElsewhere)
            .with("free_accelerators", current.freeAccelerators)
            .with("reserved_accelerators", current.reservedAccelerators);
    }
}

} // namespace oleandercross::control
