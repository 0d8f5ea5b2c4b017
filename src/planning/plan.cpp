#include <oleandercross/planning/planner.h>

#include "planninground.h"

#include <algorithm>
#include <limits>

namespace oleandercross::planning {

namespace {

// A reservation lasts for the stop time of the pre-empted tasks plus this margin.
constexpr absl::Duration ReservationMargin = absl::Milliseconds(600);
// The longest time that a step waits for its preferred rack or for a single rack with free
// capacity; at most the expected run time of its tasks.
constexpr absl::Duration MaxRackWait = absl::Milliseconds(2500);
// The same for guaranteed work, whose start delay is bounded.
constexpr absl::Duration GuaranteedRackWait = absl::Milliseconds(400);
// How long a suspected task waits for a worker without other recent starts.
constexpr absl::Duration MaxSeparationWait = absl::Seconds(3);
// The interval at which due times and timeouts are checked.
constexpr absl::Duration PlanPeriod = absl::Milliseconds(100);

} // namespace

Plan Planner::plan(core::Instant now, std::int64_t unixMs)
{
    for (auto it = m_openJobs.begin(); it != m_openJobs.end();) {
        JobRecord &record = *it->second;
        if (ended(record.state()) && !record.hasActiveTasks()) {
            it = m_openJobs.erase(it);
            continue;
        }
        record.openDueOccurrences(unixMs);
        ++it;
    }
    m_urgentNeeds = urgentNeeds();
    dropMissingWorkers(now);
    m_speeds.update(now);
    Round round;
    round.now = now;
    indexWorkers(round);
    collectActiveRuns(round);
    stopUnconfirmedRunsOnClosedWorkers(round);
    handleStalledRuns(round);
    rankWorkers(round);
    orderStops(round);
    std::vector<SchedulingUnit> units = readyUnits(round);
    for (const SchedulingUnit &unit : units) {
        dropClosedReservation(unit, round);
        deductReservation(unit, round);
    }
    chooseUrgentReserve(round);
    for (const SchedulingUnit &unit : units) {
        if (!m_startsSuspended)
            placeUnit(unit, round);
    }
    round.plan.waiting = waitingWork(units, round);
    round.plan.next = now + PlanPeriod;
    return std::move(round.plan);
}

void Planner::orderStops(Round &round)
{
    const StepProgress *previous = nullptr;
    bool gangIncomplete = false;
    for (const ActiveRun &run : round.activeRuns) {
        if (run.progress != previous) {
            previous = run.progress;
            gangIncomplete = run.spec->gang
                && std::any_of(run.progress->tasks.begin(), run.progress->tasks.end(),
                               [](const Task &t) {
                                   return t.phase == TaskPhase::Pending
                                       || (t.phase == TaskPhase::Active && t.stopRequested);
                               });
        }
        if (run.worker != Round::NoWorker)
            orderStop(run, gangIncomplete, round);
    }
}

void Planner::orderStop(const ActiveRun &run, bool gangIncomplete, Round &round)
{
    Task &task = *run.task;
    const JobRecord &record = *run.record;
    const Worker &worker = round.worker(run.worker);
    const core::Instant now = round.now;
    const bool mustMove = worker.draining && run.spec->checkpointable
        && remainingTime(task, taskTime(record, *run.progress, *run.spec), now)
            > worker.leavesAt - now;
    const bool superseded = task.completedRun > 0;
    if (!task.stopRequested && (ended(record.state()) || superseded || gangIncomplete || mustMove))
        requestStop(task,
                    ended(record.state()) ? "job ended"
                        : superseded      ? "an earlier run has completed"
                        : gangIncomplete  ? "gang incomplete"
                                          : "worker is leaving");
    if (!task.stopRequested)
        repeatStart(run, round);
    if (task.stopRequested && now - task.orderSentAt >= m_options.orderRepeat) {
        task.orderSentAt = now;
        round.plan.orders.push_back(
            {Order::Kind::Stop, task.worker, run.key(), {}, {}, task.stopReason});
    }
}

void Planner::repeatStart(const ActiveRun &run, Round &round)
{
    Task &task = *run.task;
    if (task.running)
        return;
    if (round.now - task.startedAt >= m_options.startTimeout) {
        requestStop(task, "start had no effect");
    } else if (m_startsSuspended || round.isClosed(run.worker)) {
        return;
    } else if (round.now - task.orderSentAt >= m_options.orderRepeat) {
        task.orderSentAt = round.now;
        task.startNotSent = false;
        round.plan.orders.push_back({Order::Kind::Start, task.worker, run.key(),
                                     run.record->job().payload, task.checkpoint, "repeated"});
    }
}

std::vector<Planner::SchedulingUnit> Planner::readyUnits(const Round &round)
{
    std::vector<SchedulingUnit> units;
    for (const auto &[id, record] : m_openJobs) {
        if (!ended(record->state()))
            collectUnits(*record, round, units);
    }
    applyAccountShares(round, units);
    std::stable_sort(
        units.begin(), units.end(),
        [](const SchedulingUnit &a, const SchedulingUnit &b) { return a.sortKey() < b.sortKey(); });
    return units;
}

void Planner::collectUnits(JobRecord &record, const Round &round,
                           std::vector<SchedulingUnit> &units)
{
    const workload::Job &job = record.job();
    for (auto &[number, occurrence] : record.occurrences()) {
        for (std::size_t s = 0; s < occurrence.steps.size(); ++s) {
            if (!record.ready(occurrence, static_cast<int>(s)))
                continue;
            StepProgress &progress = occurrence.steps[s];
            progress.readySince = std::min(progress.readySince, round.now);
            SchedulingUnit unit;
            unit.record = &record;
            unit.progress = &progress;
            unit.spec = &job.steps[s];
            unit.occurrence = number;
            unit.step = static_cast<int>(s);
            bool active = false;
            for (std::size_t i = 0; i < progress.tasks.size(); ++i) {
                if (progress.tasks[i].phase == TaskPhase::Pending)
                    unit.taskIndices.push_back(static_cast<int>(i));
                active = active || progress.tasks[i].phase == TaskPhase::Active;
            }
            // A gang restarts only after all members of its last run have ended.
            if (unit.taskIndices.empty() || (unit.spec->gang && active))
                continue;
            unit.guaranteed = job.terms.priority == 0 && withinGuarantee(job.account);
            estimateTimesAndValue(unit, occurrence, round);
            units.push_back(std::move(unit));
        }
    }
}

PlacementRequest Planner::request(const SchedulingUnit &unit, const Round &round) const
{
    const std::size_t workerCount = round.workers.size();
    const bool usesReserve = unit.record->job().terms.priority == 0;
    PlacementRequest request;
    request.perTask = unit.spec->perTask;
    request.preferredRack = round.racks.find(unit.spec->inputRack);
    request.taskLimits.resize(workerCount);
    request.penalties.resize(workerCount);
    request.speedClasses = speedClasses(unit, round);
    request.preferFastRacks = round.unevenSpeeds;
    const std::vector<int> limits = taskLimits(unit, round);
    const std::vector<bool> failedHere = workersWithFailedRuns(unit, round);
    const bool suspect = isSuspect(unit, round.now);
    const bool retries = hasFailures(unit);
    std::vector<bool> suitableClasses;
    for (const WorkerClass &workers : round.workerClasses)
        suitableClasses.push_back(workers.service == unit.record->job().terms.service
                                  && fits(unit.spec->perTask, workers.capacity));
    std::vector<int> avoided;
    std::size_t preferred = 0;
    for (std::size_t i = 0; i < workerCount; ++i) {
        const auto worker = static_cast<int>(i);
        if (limits[i] <= 0 || !suitableClasses[static_cast<std::size_t>(round.classes[i])]
            || !isEligible(unit, worker, round) || !mayShareWorker(suspect, worker, round))
            continue;
        const int suspicionLevel = round.suspicionLevels[i];
        request.penalties[i] = suspicionLevel + (failedHere[i] ? 2 : 0)
            + (!usesReserve && round.inUrgentReserve[i] ? 1 : 0)
            + (suspect && round.busy[i] ? 1 : 0)
            + (isColdForUrgentGang(unit, round.worker(worker), round.now) ? 1 : 0);
        // A task that has failed before avoids suspected workers, since it may have one attempt
        // left. A gang needs many workers at once and can seldom avoid one, so that such a worker
        // only gets a penalty.
        if (suspicionLevel == 2
            || (!unit.spec->gang && (failedHere[i] || (retries && suspicionLevel == 1)))) {
            avoided.push_back(worker);
            continue;
        }
        request.taskLimits[i] = limits[i];
        ++preferred;
    }
    // Avoided workers are used anyway if they are more than half as many as the others, since there
    // are then too few others.
    if (preferred < 2 * avoided.size()) {
        for (const int worker : avoided) {
            const auto i = static_cast<std::size_t>(worker);
            request.taskLimits[i] = limits[i];
        }
    }
    return request;
}

std::vector<int> Planner::taskLimits(const SchedulingUnit &unit, const Round &round)
{
    const bool limited = unit.spec->maxPerWorker > 0;
    std::vector<int> limits(round.workers.size(),
                            limited ? unit.spec->maxPerWorker : std::numeric_limits<int>::max());
    for (std::size_t i = 0; limited && i < unit.progress->tasks.size(); ++i) {
        const Task &task = unit.progress->tasks[i];
        const int worker =
            task.phase == TaskPhase::Active ? round.indexOf(task.worker) : Round::NoWorker;
        if (worker != Round::NoWorker)
            --limits[static_cast<std::size_t>(worker)];
    }
    return limits;
}

bool Planner::isSuspect(const SchedulingUnit &unit, core::Instant now)
{
    return std::any_of(unit.taskIndices.begin(), unit.taskIndices.end(), [&unit, now](int index) {
        const Task &task = unit.progress->tasks[static_cast<std::size_t>(index)];
        return task.isSuspect() && now - task.startedAt < MaxSeparationWait;
    });
}

bool Planner::hasFailures(const SchedulingUnit &unit)
{
    return std::any_of(unit.taskIndices.begin(), unit.taskIndices.end(), [&unit](int index) {
        return unit.progress->tasks[static_cast<std::size_t>(index)].failures > 0;
    });
}

bool Planner::mayShareWorker(bool suspect, int worker, const Round &round)
{
    const auto index = static_cast<std::size_t>(worker);
    return suspect ? !round.hasRecentStart[index] : !round.onProbation[index];
}

std::vector<bool> Planner::workersWithFailedRuns(const SchedulingUnit &unit, const Round &round)
{
    std::vector<bool> failed(round.workers.size());
    for (const int index : unit.taskIndices) {
        const Task &task = unit.progress->tasks[static_cast<std::size_t>(index)];
        for (const auto *keys : {&task.workersWithFailedRuns, &task.refusingWorkers}) {
            for (const std::string &key : *keys) {
                if (const int worker = round.indexOf(key); worker != Round::NoWorker)
                    failed[static_cast<std::size_t>(worker)] = true;
            }
        }
    }
    return failed;
}

bool Planner::isEligible(const SchedulingUnit &unit, int index, const Round &round) const
{
    const Worker &worker = round.worker(index);
    const bool reserved = round.inUrgentReserve[static_cast<std::size_t>(index)]
        && unit.record->job().terms.priority > 0;
    return round.isOpen(index) && hasLabel(worker, unit.spec->neededLabel)
        && (unit.spec->gang || round.mayGetStart(index, unit.record))
        && (!reserved || mayUseUrgentReserve(unit, index, round));
}

void Planner::deductReservation(const SchedulingUnit &unit, Round &round)
{
    for (const auto &[worker, count] : unit.progress->reservation)
        round.deduct(worker, unit.spec->perTask, count);
}

absl::Duration Planner::longestRackWait(const SchedulingUnit &unit)
{
    return unit.guaranteed ? GuaranteedRackWait : std::min(MaxRackWait, unit.taskTime);
}

void Planner::placeGang(const SchedulingUnit &unit, Round &round)
{
    PlacementRequest wanted = request(unit, round);
    wanted.tasks = static_cast<int>(unit.taskIndices.size());
    wanted.singleRack =
        unit.spec->sameRack && fitsOnSingleRack(wanted, round.racks, round.capacities);
    for (const PlacementRequest &restricted : bySpeed(unit, wanted, round)) {
        if (tryFree(unit, restricted, round))
            return;
    }
    if (round.unevenSpeeds && unit.record->job().terms.priority == 0) {
        const PlacementRequest inTime = onWorkersInTime(unit, wanted, round);
        if (waitsForWorkersInTime(unit, wanted, inTime, round)) {
            tryPreempt(unit, inTime, round);
            return;
        }
    }
    if (tryFree(unit, wanted, round))
        return;
    if (tryPreempt(unit, wanted, round) || !wanted.singleRack
        || round.now - unit.progress->readySince < longestRackWait(unit))
        return;
    wanted.singleRack = false;
    tryPlace(unit, wanted, round);
}

void Planner::placeUnit(const SchedulingUnit &unit, Round &round)
{
    // Returns the capacity of the step's own reservation before the step is placed.
    for (const auto &[worker, count] : unit.progress->reservation)
        round.deduct(worker, unit.spec->perTask, -count);
    if (round.now >= unit.progress->reservedUntil)
        unit.progress->reservation.clear();
    if (unit.spec->gang) {
        placeGang(unit, round);
        return;
    }
    const absl::Duration waited = round.now - unit.progress->readySince;
    const absl::Duration rackWait = longestRackWait(unit);
    auto parallel = std::count_if(unit.progress->tasks.begin(), unit.progress->tasks.end(),
                                  [](const Task &t) { return t.phase == TaskPhase::Active; });
    const int maxParallel = maxParallelTasks(unit, round);
    SchedulingUnit one = unit;
    // The request of a task without failed runs, which the other such tasks share if starting one
    // of them does not change the limits of the workers.
    std::optional<PlacementRequest> shared;
    for (const int index : unit.taskIndices) {
        if (parallel++ >= maxParallel)
            return;
        one.taskIndices = {index};
        const Task &task = unit.progress->tasks[static_cast<std::size_t>(index)];
        const bool canShare = unit.spec->maxPerWorker == 0 && task.failures == 0
            && task.workersWithFailedRuns.empty() && task.refusingWorkers.empty()
            && !task.isSuspect();
        if (!canShare || !shared) {
            shared = request(one, round);
            if (waited < rackWait)
                restrictToDataRack(*shared, round);
        }
        if (!tryPlace(one, *shared, round)) {
            if (!task.isSuspect())
                return;
            // Other tasks may start where a suspected one may not.
            shared.reset();
            continue;
        }
        const int worker = round.indexOf(task.worker);
        // A worker of unknown speed gets one task of the step before the others.
        if (worker != Round::NoWorker
            && shared->speedClasses[static_cast<std::size_t>(worker)] == UnmeasuredClass)
            shared->speedClasses[static_cast<std::size_t>(worker)] = AverageClass;
        if (!canShare || (worker != Round::NoWorker && !round.mayGetStart(worker, unit.record)))
            shared.reset();
    }
}

void Planner::restrictToDataRack(PlacementRequest &request, const Round &round)
{
    if (request.preferredRack == RackIndex::NoRack)
        return;
    const std::vector<int> &near =
        round.racks.workersByRack()[static_cast<std::size_t>(request.preferredRack)];
    const auto limit = [&request](int worker) {
        return request.taskLimits[static_cast<std::size_t>(worker)];
    };
    if (std::none_of(near.begin(), near.end(), [&](int worker) { return limit(worker) > 0; }))
        return;
    std::vector<int> limits(request.taskLimits.size());
    for (const int worker : near)
        limits[static_cast<std::size_t>(worker)] = limit(worker);
    request.taskLimits = std::move(limits);
}

bool Planner::tryPlace(const SchedulingUnit &unit, const PlacementRequest &request, Round &round)
{
    return tryFree(unit, request, round) || tryPreempt(unit, request, round);
}

bool Planner::tryFree(const SchedulingUnit &unit, const PlacementRequest &request, Round &round)
{
    const auto placed = place(request, round.racks, round.freeCapacity, nullptr);
    if (!placed)
        return false;
    startTasks(unit, placed->tasks, round);
    return true;
}

bool Planner::tryPreempt(const SchedulingUnit &unit, const PlacementRequest &request, Round &round)
{
    if (!unit.progress->reservation.empty()) {
        deductReservation(unit, round);
        return true;
    }
    const VictimIndex &candidates = victims(unit, round);
    const auto placed = place(request, round.racks, round.freeCapacity, &candidates);
    if (!placed)
        return false;
    const double ownWork = weightedCores(unit.spec->perTask) * absl::ToDoubleSeconds(unit.taskTime)
        * static_cast<double>(unit.taskIndices.size());
    if (!unit.guaranteed && placed->cost > ownWork * preemptionBudget(unit, round.now))
        return false;
    for (const std::size_t index : placed->victims)
        preemptGroup(candidates.group(index), unit, round);
    round.victims.clear();
    if (unit.spec->gang || unit.spec->tasks == 1) {
        for (const auto &[worker, count] : placed->tasks)
            unit.progress->reservation.emplace(round.worker(worker).key, count);
        unit.progress->reservedUntil = round.now + m_options.stopTime + ReservationMargin;
    }
    for (const auto &[worker, count] : placed->tasks)
        round.deduct(round.worker(worker).key, unit.spec->perTask, count);
    return true;
}

void Planner::startTasks(const SchedulingUnit &unit, const std::map<int, int> &tasks, Round &round)
{
    int run = 0;
    for (const Task &task : unit.progress->tasks)
        run = std::max(run, task.run);
    std::size_t next = 0;
    for (const auto &[index, count] : tasks) {
        const std::string &worker = round.worker(index).key;
        for (int i = 0; i < count; ++i) {
            const workload::TaskKey key{unit.record->job().id, unit.occurrence, unit.step,
                                        unit.taskIndices[next++]};
            Task *task = unit.record->task(key);
            unit.record->start(key, unit.spec->gang ? run + 1 : task->run + 1, worker, round.now);
            task->orderSentAt = round.now;
            m_tasksByWorker[worker].insert(key);
            round.free(index) = round.free(index) - unit.spec->perTask;
            round.recordRun(index, true, task->isSuspect());
            round.recordJobRun(index, unit.record, false);
            round.plan.orders.push_back({Order::Kind::Start,
                                         worker,
                                         {key, task->run},
                                         unit.record->job().payload,
                                         task->checkpoint,
                                         "placed"});
        }
    }
    unit.progress->reservation.clear();
    unit.progress->reservedUntil = absl::InfinitePast();
    m_changed.insert(unit.record->job().id);
}

} // namespace oleandercross::planning
