#include "dayschedulers.h"

#include <algorithm>
#include <map>
#include <utility>

namespace oleandercross::bench {

namespace {

class PlannerScheduler : public DayScheduler
{
public:
    explicit PlannerScheduler(const planning::PlannerOptions &options)
        : m_planner(options)
    { }

    void addWorker(const planning::Worker &worker) override { m_planner.updateWorker(worker); }
    void addJob(const workload::Job &job, core::Instant now) override
    {
        m_planner.addJob(job, now);
    }
    void beginListing(const std::string &worker) override { m_planner.beginListing(worker); }
    void runSeen(const std::string &worker, const workload::RunKey &run, int percent,
                 core::Instant now) override
    {
        m_planner.runSeen(worker, run, {}, percent, now);
    }
    void runEnded(const std::string &worker, const workload::RunKey &run, planning::RunEnd how,
                  const std::string &checkpoint, core::Instant now) override
    {
        m_planner.runEnded(worker, run, how, checkpoint, now);
    }
    void runAbsent(const std::string &worker, const workload::RunKey &run,
                   core::Instant now) override
    {
        m_planner.runAbsent(worker, run, now);
    }
    planning::Plan plan(core::Instant now) override { return m_planner.plan(now, 0); }
    planning::LearnedState learnedState(core::Instant now) const override
    {
        return m_planner.learnedState(now);
    }
    std::vector<std::string> takeCompleted() override
    {
        std::vector<std::string> completed;
        for (const std::string &id : m_planner.takeChanged()) {
            if (m_planner.job(id)->state() == planning::JobState::Completed)
                completed.push_back(id);
        }
        return completed;
    }

private:
    planning::Planner m_planner;
};

// Baseline that starts tasks in order of submission on the first worker where they fit. Gangs start
// as a whole, and nothing is preempted.
class FirstComeFirstFit : public DayScheduler
{
public:
    void addWorker(const planning::Worker &worker) override
    {
        m_freeCapacity[worker.key] = worker.capacity;
    }
    void addJob(const workload::Job &job, core::Instant now) override
    {
        m_submissionOrder.push_back(job.id);
        m_jobs.emplace(job.id, planning::JobRecord(job, now));
    }
    void beginListing(const std::string &) override { }
    void runSeen(const std::string &, const workload::RunKey &, int, core::Instant) override { }
    void runEnded(const std::string &worker, const workload::RunKey &run, planning::RunEnd how,
                  const std::string &checkpoint, core::Instant now) override
    {
        planning::JobRecord &record = m_jobs.at(run.task.job);
        m_freeCapacity[worker] = m_freeCapacity[worker] + record.job().steps[0].perTask;
        record.end(run, worker, how, checkpoint, now);
        if (record.state() == planning::JobState::Completed)
            m_completed.push_back(run.task.job);
    }
    void runAbsent(const std::string &, const workload::RunKey &, core::Instant) override { }
    planning::Plan plan(core::Instant now) override
    {
        planning::Plan plan;
        for (const std::string &id : m_submissionOrder) {
            planning::JobRecord &record = m_jobs.at(id);
            if (!planning::ended(record.state()))
                startTasks(record, now, plan);
        }
        plan.next = now + absl::Milliseconds(100);
        return plan;
    }
    std::vector<std::string> takeCompleted() override { return std::exchange(m_completed, {}); }

private:
    void startTasks(planning::JobRecord &record, core::Instant now, planning::Plan &plan)
    {
        const workload::Step &spec = record.job().steps[0];
        std::vector<planning::Task> &tasks = record.occurrences().at(0).steps[0].tasks;
        std::map<std::string, workload::Demand> freeCapacity = m_freeCapacity;
        std::vector<std::pair<std::size_t, std::string>> placed;
        for (std::size_t i = 0; i < tasks.size(); ++i) {
            if (tasks[i].phase == planning::TaskPhase::Active && spec.gang)
                return;
            if (tasks[i].phase != planning::TaskPhase::Pending)
                continue;
            const auto fitting =
                std::find_if(freeCapacity.begin(), freeCapacity.end(), [&spec](const auto &entry) {
                    return workload::fits(spec.perTask, entry.second);
                });
            if (fitting == freeCapacity.end() && spec.gang)
                return;
            if (fitting == freeCapacity.end())
                break;
            fitting->second = fitting->second - spec.perTask;
            placed.emplace_back(i, fitting->first);
        }
        int run = 0;
        for (const planning::Task &task : tasks)
            run = std::max(run, task.run);
        for (const auto &[index, worker] : placed) {
            const workload::TaskKey key{record.job().id, 0, 0, static_cast<int>(index)};
            record.start(key, run + 1, worker, now);
            plan.orders.push_back({planning::Order::Kind::Start,
                                   worker,
                                   {key, run + 1},
                                   {},
                                   tasks[index].checkpoint,
                                   "placed"});
        }
        m_freeCapacity = std::move(freeCapacity);
    }

    std::map<std::string, workload::Demand> m_freeCapacity;
    std::vector<std::string> m_submissionOrder;
    std::map<std::string, planning::JobRecord> m_jobs;
    std::vector<std::string> m_completed;
};

} // namespace

std::unique_ptr<DayScheduler> makeScheduler(absl::Duration stopTime, bool fifo)
{
    if (fifo)
        return std::make_unique<FirstComeFirstFit>();
    planning::PlannerOptions options;
    options.stopTime = stopTime;
    return std::make_unique<PlannerScheduler>(options);
}

} // namespace oleandercross::bench
