#include "planninground.h"

#include <algorithm>

namespace oleandercross::planning {

namespace {

// Relative speeds above which a worker is in the fast class and up to which it is in the slow one.
constexpr double MinFastSpeed = 1.1;
constexpr double MaxSlowSpeed = 0.9;

} // namespace

void Planner::Round::deduct(const std::string &worker, const workload::Demand &perTask, int count)
{
    const int index = indexOf(worker);
    if (index == NoWorker)
        return;
    free(index) = free(index)
        - workload::Demand{perTask.milliCores * count, perTask.memoryMb * count,
                           perTask.accelerators * count};
}

void Planner::Round::recordRun(int worker, bool recent, bool suspect)
{
    const auto index = static_cast<std::size_t>(worker);
    busy[index] = true;
    hasRecentStart[index] = hasRecentStart[index] || recent;
    onProbation[index] = onProbation[index] || (recent && suspect);
}

void Planner::Round::recordJobRun(int worker, const JobRecord *record, bool confirmed)
{
    JobRuns &runs = jobRuns[{worker, record}];
    ++runs.active;
    if (confirmed)
        return;
    ++runs.unconfirmed;
    ++unconfirmedStarts[static_cast<std::size_t>(worker)];
}

bool Planner::Round::mayGetStart(int worker, const JobRecord *record) const
{
    const auto found = jobRuns.find({worker, record});
    if (found == jobRuns.end())
        return true;
    const JobRuns &runs = found->second;
    return runs.active < MaxRunsOfJobOnWorker && runs.unconfirmed < MaxUnconfirmedStartsOfJob
        && (runs.unconfirmed == 0
            || unconfirmedStarts[static_cast<std::size_t>(worker)] < MaxUnconfirmedStarts);
}

void Planner::indexWorkers(Round &round) const
{
    std::vector<std::string> rackNames;
    round.indices.reserve(m_workers.size());
    for (const auto &[key, worker] : m_workers) {
        round.indices.emplace(key, static_cast<int>(round.workers.size()));
        round.workers.push_back(&worker);
        round.capacities.push_back(worker.capacity);
        round.freeCapacity.push_back(worker.capacity - worker.orphanedDemand);
        rackNames.push_back(worker.rack);
        auto same =
            std::find_if(round.workerClasses.begin(), round.workerClasses.end(),
                         [&worker = worker](const WorkerClass &c) {
                             return c.service == worker.service && c.capacity == worker.capacity;
                         });
        if (same == round.workerClasses.end())
            same = round.workerClasses.insert(same, {worker.service, worker.capacity, 0});
        ++same->count;
        round.classes.push_back(static_cast<int>(same - round.workerClasses.begin()));
    }
    round.racks = RackIndex(rackNames);
    round.busy.resize(round.workers.size());
    round.hasRecentStart.resize(round.workers.size());
    round.onProbation.resize(round.workers.size());
    round.unconfirmedStarts.resize(round.workers.size());
    for (const auto &[key, demand] : m_heldByEndingMembers)
        round.deduct(key, demand, 1);
}

void Planner::collectActiveRuns(Round &round)
{
    for (const auto &[id, record] : m_openJobs) {
        for (auto &[number, occurrence] : record->occurrences()) {
            for (std::size_t s = 0; s < occurrence.steps.size(); ++s) {
                StepProgress &progress = occurrence.steps[s];
                const workload::Step &spec = record->job().steps[s];
                for (std::size_t i = 0; i < progress.tasks.size(); ++i) {
                    Task &task = progress.tasks[i];
                    if (task.phase != TaskPhase::Active)
                        continue;
                    const int worker = round.indexOf(task.worker);
                    round.activeRuns.push_back({record, &progress, &spec, &task, number,
                                                static_cast<int>(s), static_cast<int>(i), worker});
                    if (worker == Round::NoWorker)
                        continue;
                    round.lowestPriority =
                        std::max(round.lowestPriority, record->job().terms.priority);
                    round.free(worker) = round.free(worker) - spec.perTask;
                    round.recordRun(worker, task.startedRecently(round.now), task.isSuspect());
                    round.recordJobRun(worker, record, task.running || task.stopRequested);
                }
            }
        }
    }
}

void Planner::rankWorkers(Round &round) const
{
    for (const Worker *worker : round.workers) {
        round.suspicionLevels.push_back(m_health.suspicionLevel(worker->key, round.now));
        round.speedClasses.push_back(speedClass(worker->key));
    }
    round.inUrgentReserve.resize(round.workers.size());
}

int Planner::speedClass(const std::string &worker) const
{
    const double speed = m_speeds.speed(worker);
    return speed > MinFastSpeed ? 0 : speed > MaxSlowSpeed ? 1 : 2;
}

} // namespace oleandercross::planning
