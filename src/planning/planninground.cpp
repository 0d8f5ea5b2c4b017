#include "planninground.h"

#include <algorithm>

namespace oleandercross::planning {

namespace {

// Relative speeds above which a worker is in the fast class and up to which it is in the slow one.
constexpr double MinFastSpeed = 1.1;
constexpr double MaxSlowSpeed = 0.9;
// While speeds are nearly even, a less certain one counts as average, since each preference
// fragments the free capacity.
constexpr double MinClassConfidence = 0.7;
// Speeds are uneven if the tenth fastest of a hundred workers has at least this multiple of the
// speed of the tenth slowest. Below it, choosing workers by speed gains less than the fragmentation
// that it causes.
constexpr double UnevenSpeedRatio = 1.6;
constexpr double OuterFraction = 0.1;
// Only workers whose speed is at least this certain count, and so many are needed: among few, one
// or two misjudged ones would decide.
constexpr double MinConfidence = 0.4;
constexpr std::size_t MinMeasuredWorkers = 16;

int speedClass(double speed)
{
    return speed > MinFastSpeed ? FastestClass : speed > MaxSlowSpeed ? AverageClass : SlowestClass;
}

bool areUneven(const std::vector<double> &speeds, const std::vector<double> &confidence)
{
    std::vector<double> measured;
    for (std::size_t i = 0; i < speeds.size(); ++i) {
        if (confidence[i] >= MinConfidence)
            measured.push_back(speeds[i]);
    }
    if (measured.size() < MinMeasuredWorkers)
        return false;
    std::sort(measured.begin(), measured.end());
    const auto outer =
        static_cast<std::size_t>(OuterFraction * static_cast<double>(measured.size()));
    return measured[measured.size() - 1 - outer] >= UnevenSpeedRatio * measured[outer];
}

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
    if (!busy[index] && workers[index]->accepting)
        --idleCount;
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
        round.acceptingCount += worker.accepting ? 1 : 0;
        rackNames.push_back(worker.rack);
        round.closed.push_back(isClosed(worker));
        auto same =
            std::find_if(round.workerClasses.begin(), round.workerClasses.end(),
                         [&worker = worker](const WorkerClass &c) {
                             return c.service == worker.service && c.capacity == worker.capacity;
                         });
        if (same == round.workerClasses.end())
            same = round.workerClasses.insert(same, {worker.service, worker.capacity, 0});
        same->count += round.closed.back() ? 0 : 1;
        round.classes.push_back(static_cast<int>(same - round.workerClasses.begin()));
    }
    round.idleCount = round.acceptingCount;
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
        round.speeds.push_back(m_speeds.speed(worker->key));
        round.speedConfidence.push_back(m_speeds.confidence(worker->key));
    }
    round.unevenSpeeds = areUneven(round.speeds, round.speedConfidence);
    const double minConfidence = round.unevenSpeeds ? MinConfidence : MinClassConfidence;
    SpeedSummary &summary = round.plan.speeds;
    summary.uneven = round.unevenSpeeds;
    for (std::size_t i = 0; i < round.workers.size(); ++i) {
        const bool measured = round.speedConfidence[i] >= minConfidence;
        const int speed = measured ? speedClass(round.speeds[i]) : AverageClass;
        round.speedClasses.push_back(speed);
        summary.measuredWorkers += measured ? 1 : 0;
        summary.slowWorkers += speed == SlowestClass ? 1 : 0;
    }
    round.inUrgentReserve.resize(round.workers.size());
    round.openToLateWork.resize(round.workers.size());
}

} // namespace oleandercross::planning
