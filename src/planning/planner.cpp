#include <oleandercross/planning/planner.h>

#include <algorithm>

namespace oleandercross::planning {

Planner::Planner(PlannerOptions options)
    : m_options(options)
{ }

void Planner::setGuarantees(std::map<std::string, std::int64_t> accelerators)
{
    m_guarantees = std::move(accelerators);
}

void Planner::addJob(workload::Job job, core::Instant now)
{
    const std::string id = job.id;
    m_jobs.try_emplace(id, std::move(job), now);
}

bool Planner::restoreJob(workload::Job job, const std::string &progress, core::Instant now)
{
    JobRecord record(std::move(job), now);
    if (!record.restore(progress, now))
        return false;
    const std::string id = record.job().id;
    m_jobs.insert_or_assign(id, std::move(record));
    return true;
}

void Planner::cancelJob(const std::string &id, core::Instant now)
{
    JobRecord *record = find(id);
    if (record && record->cancel(now))
        m_changed.insert(id);
}

void Planner::removeJob(const std::string &id)
{
    m_jobs.erase(id);
    m_changed.erase(id);
}

void Planner::updateWorker(const Worker &worker)
{
    m_workers.insert_or_assign(worker.key, worker);
}

void Planner::removeWorker(const std::string &key)
{
    m_workers.erase(key);
    m_health.forget(key);
    eachActive(key, [this, &key](const workload::TaskKey &task, Task &run) {
        m_jobs.at(task.job).forget({task, run.run}, key);
        m_changed.insert(task.job);
    });
}

void Planner::eachActive(const std::string &worker,
                         const std::function<void(const workload::TaskKey &, Task &)> &visit)
{
    for (auto &[id, record] : m_jobs) {
        for (auto &[number, occurrence] : record.occurrences()) {
            for (std::size_t s = 0; s < occurrence.steps.size(); ++s) {
                std::vector<Task> &tasks = occurrence.steps[s].tasks;
                for (std::size_t i = 0; i < tasks.size(); ++i) {
                    if (tasks[i].phase == TaskPhase::Active && tasks[i].worker == worker)
                        visit({id, number, static_cast<int>(s), static_cast<int>(i)}, tasks[i]);
                }
            }
        }
    }
}

void Planner::beginListing(const std::string &worker)
{
    eachActive(worker, [](const workload::TaskKey &, Task &task) { task.running = false; });
}

void Planner::runSeen(const std::string &worker, const workload::RunKey &run,
                      const std::string &checkpoint, int percent, core::Instant now)
{
    if (!expects(worker, run))
        return;
    Task *task = find(run.task.job)->task(run.task);
    task->running = true;
    if (!checkpoint.empty())
        task->checkpoint = checkpoint;
    if (percent != task->percent) {
        task->percent = percent;
        task->percentChangedAt = now;
    }
}

void Planner::runEnded(const std::string &worker, const workload::RunKey &run, RunEnd how,
                       const std::string &checkpoint, core::Instant now)
{
    JobRecord *record = find(run.task.job);
    if (!record)
        return;
    const Task *task = record->task(run.task);
    const std::set<std::string> failedBefore = task ? task->failedOn : std::set<std::string>();
    if (!record->end(run, worker, how, checkpoint, now))
        return;
    m_changed.insert(run.task.job);
    if (how == RunEnd::Completed)
        m_health.recordSuccess(worker, now);
    if (how != RunEnd::Failed)
        return;
    // A task that fails on several workers is at fault itself.
    if (failedBefore.empty())
        m_health.recordFailure(worker, now);
    for (const std::string &other : failedBefore) {
        if (other != worker)
            m_health.forgive(other, now);
    }
}

void Planner::runAbsent(const std::string &worker, const workload::RunKey &run)
{
    JobRecord *record = find(run.task.job);
    if (record && record->forget(run, worker))
        m_changed.insert(run.task.job);
}

void Planner::startConfirmed(const std::string &worker, const workload::RunKey &run)
{
    if (expects(worker, run))
        find(run.task.job)->task(run.task)->running = true;
}

void Planner::startRefused(const std::string &worker, const workload::RunKey &run)
{
    if (!expects(worker, run))
        return;
    // Only a confirmed stop proves that the run cannot begin any more.
    Task *task = find(run.task.job)->task(run.task);
    task->stopWanted = true;
    task->orderSentAt = absl::InfinitePast();
}

std::set<std::string> Planner::takeChanged()
{
    return std::exchange(m_changed, {});
}

const JobRecord *Planner::job(const std::string &id) const
{
    const auto found = m_jobs.find(id);
    return found == m_jobs.end() ? nullptr : &found->second;
}

JobRecord *Planner::find(const std::string &id)
{
    const auto found = m_jobs.find(id);
    return found == m_jobs.end() ? nullptr : &found->second;
}

bool Planner::expects(const std::string &worker, const workload::RunKey &run) const
{
    const auto found = m_jobs.find(run.task.job);
    if (found == m_jobs.end())
        return false;
    const Task *task = found->second.task(run.task);
    return task && task->phase == TaskPhase::Active && task->run == run.run
        && task->worker == worker;
}

bool Planner::completed(const workload::RunKey &run) const
{
    const JobRecord *record = job(run.task.job);
    if (!record)
        return false;
    const Task *task = record->task(run.task);
    // The task is gone with its occurrence, or is done with this run.
    return task ? task->phase == TaskPhase::Done && task->run == run.run
                : record->state() == JobState::Completed;
}

workload::Demand Planner::demandOf(const workload::TaskKey &task) const
{
    const auto found = m_jobs.find(task.job);
    if (found == m_jobs.end())
        return {};
    const std::vector<workload::Step> &steps = found->second.job().steps;
    const auto step = static_cast<std::size_t>(task.step);
    return step < steps.size() ? steps[step].perTask : workload::Demand{};
}

} // namespace oleandercross::planning
