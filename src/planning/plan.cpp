#include <oleandercross/planning/planner.h>

#include "schedulingunit.h"

#include <algorithm>
#include <cmath>
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
// Capacity is reserved for the urgent jobs expected within this time plus this multiple of the stop
// time, since pre-emption cannot free capacity for them sooner.
constexpr absl::Duration UrgentReactionTime = absl::Milliseconds(300);
constexpr double StopTimesInHorizon = 2;
// The largest fraction of the accepting workers that is reserved for urgent jobs.
constexpr double MaxUrgentReserveFraction = 0.25;
// Relative speeds above which a worker is in the fast class and up to which it is in the slow one.
constexpr double MinFastSpeed = 1.1;
constexpr double MaxSlowSpeed = 0.9;
// The interval at which due times and timeouts are checked.
constexpr absl::Duration PlanPeriod = absl::Milliseconds(100);

} // namespace

Plan Planner::plan(core::Instant now, std::int64_t unixMs)
{
    Plan plan;
    for (auto &[id, record] : m_jobs)
        record.openDueOccurrences(unixMs);
    m_urgentNeeds = urgentNeeds();
    handleStalledRuns(now);
    orderStops(now, plan);
    std::vector<SchedulingUnit> units = readyUnits(now);
    FreeCapacity freeCapacity = computeFreeCapacity();
    for (const SchedulingUnit &unit : units)
        deductReservation(unit, freeCapacity);
    chooseUrgentReserve(freeCapacity, now);
    for (const SchedulingUnit &unit : units)
        placeUnit(unit, freeCapacity, now, plan);
    plan.next = now + PlanPeriod;
    return plan;
}

void Planner::orderStops(core::Instant now, Plan &plan)
{
    for (auto &[id, record] : m_jobs) {
        for (auto &[number, occurrence] : record.occurrences()) {
            for (std::size_t s = 0; s < occurrence.steps.size(); ++s)
                orderStopsOf(record, number, static_cast<int>(s), now, plan);
        }
    }
}

void Planner::orderStopsOf(JobRecord &record, int occurrence, int step, core::Instant now,
                           Plan &plan)
{
    const workload::Step &spec = record.job().steps[static_cast<std::size_t>(step)];
    StepProgress &progress =
        record.occurrences().at(occurrence).steps[static_cast<std::size_t>(step)];
    std::vector<Task> &tasks = progress.tasks;
    const bool gangIncomplete =
        spec.gang && std::any_of(tasks.begin(), tasks.end(), [](const Task &t) {
            return t.phase == TaskPhase::Pending
                || (t.phase == TaskPhase::Active && t.stopRequested);
        });
    for (std::size_t i = 0; i < tasks.size(); ++i) {
        Task &task = tasks[i];
        const auto worker = m_workers.find(task.worker);
        if (task.phase != TaskPhase::Active || worker == m_workers.end())
            continue;
        const workload::TaskKey key{record.job().id, occurrence, step, static_cast<int>(i)};
        const bool mustMove = worker->second.draining && spec.checkpointable
            && remainingTime(task, taskTime(record, progress, spec), now)
                > worker->second.leavesAt - now;
        if (!task.stopRequested && (ended(record.state()) || gangIncomplete || mustMove))
            requestStop(task,
                        ended(record.state()) ? "job ended"
                            : gangIncomplete  ? "gang incomplete"
                                              : "worker is leaving");
        if (!task.stopRequested)
            repeatStart(key, task, now, plan);
        if (task.stopRequested && now - task.orderSentAt >= m_options.orderRepeat) {
            task.orderSentAt = now;
            plan.orders.push_back(
                {Order::Kind::Stop, task.worker, {key, task.run}, {}, {}, task.stopReason});
        }
    }
}

void Planner::repeatStart(const workload::TaskKey &key, Task &task, core::Instant now, Plan &plan)
{
    if (task.running)
        return;
    if (now - task.startedAt >= m_options.startTimeout) {
        requestStop(task, "start had no effect");
    } else if (now - task.orderSentAt >= m_options.orderRepeat) {
        task.orderSentAt = now;
        plan.orders.push_back({Order::Kind::Start,
                               task.worker,
                               {key, task.run},
                               m_jobs.at(key.job).job().payload,
                               task.checkpoint,
                               "repeated"});
    }
}

FreeCapacity Planner::computeFreeCapacity() const
{
    FreeCapacity freeCapacity;
    for (const auto &[key, worker] : m_workers)
        freeCapacity[key] = worker.capacity - worker.orphanedDemand;
    for (const auto &[key, demand] : m_heldByEndingMembers) {
        const auto found = freeCapacity.find(key);
        if (found != freeCapacity.end())
            found->second = found->second - demand;
    }
    for (const auto &[id, record] : m_jobs) {
        for (const auto &[number, occurrence] : record.occurrences()) {
            for (std::size_t s = 0; s < occurrence.steps.size(); ++s) {
                for (const Task &task : occurrence.steps[s].tasks) {
                    const auto found = freeCapacity.find(task.worker);
                    if (task.phase == TaskPhase::Active && found != freeCapacity.end())
                        found->second = found->second - record.job().steps[s].perTask;
                }
            }
        }
    }
    return freeCapacity;
}

void Planner::chooseUrgentReserve(const FreeCapacity &freeCapacity, core::Instant now)
{
    m_urgentReserve.clear();
    std::map<std::string, std::int64_t> freeOfRack;
    std::int64_t largest = 0;
    std::size_t accepting = 0;
    for (const auto &[key, worker] : m_workers) {
        if (!worker.accepting)
            continue;
        freeOfRack[worker.rack] += freeCapacity.at(key).accelerators;
        largest = std::max(largest, worker.capacity.accelerators);
        ++accepting;
    }
    const absl::Duration horizon = UrgentReactionTime + StopTimesInHorizon * m_options.stopTime;
    const double wanted = m_urgentDemand.forecastAccelerators(now, horizon)
        / static_cast<double>(std::max<std::int64_t>(1, largest));
    const auto count = static_cast<std::size_t>(
        std::lround(std::min(wanted, MaxUrgentReserveFraction * static_cast<double>(accepting))));
    std::vector<const Worker *> rankedWorkers;
    for (const auto &[key, worker] : m_workers) {
        if (worker.accepting)
            rankedWorkers.push_back(&worker);
    }
    std::stable_sort(rankedWorkers.begin(), rankedWorkers.end(),
                     [&](const Worker *a, const Worker *b) {
                         const auto rank = [&](const Worker *w) {
                             return std::make_tuple(-freeOfRack[w->rack], w->rack,
                                                    -freeCapacity.at(w->key).accelerators,
                                                    -m_speeds.speed(w->key));
                         };
                         return rank(a) < rank(b);
                     });
    for (std::size_t i = 0; i < count && i < rankedWorkers.size(); ++i)
        m_urgentReserve.insert(rankedWorkers[i]->key);
}

std::map<std::string, std::int64_t> Planner::urgentNeeds() const
{
    std::map<std::string, std::int64_t> needs;
    for (const auto &[id, record] : m_jobs) {
        const workload::Job &job = record.job();
        if (ended(record.state()) || job.terms.priority != 0)
            continue;
        std::int64_t peakAccelerators = 0;
        for (const workload::Step &step : job.steps)
            peakAccelerators = std::max(peakAccelerators, step.tasks * step.perTask.accelerators);
        needs[job.account] += peakAccelerators;
    }
    return needs;
}

bool Planner::withinGuarantee(const std::string &account) const
{
    const auto guarantee = m_guarantees.find(account);
    const auto need = m_urgentNeeds.find(account);
    return guarantee != m_guarantees.end()
        && (need == m_urgentNeeds.end() || need->second <= guarantee->second);
}

std::vector<Planner::SchedulingUnit> Planner::readyUnits(core::Instant now)
{
    std::vector<SchedulingUnit> units;
    for (auto &[id, record] : m_jobs) {
        if (!ended(record.state()))
            collectUnits(record, now, units);
    }
    std::stable_sort(
        units.begin(), units.end(),
        [](const SchedulingUnit &a, const SchedulingUnit &b) { return a.sortKey() < b.sortKey(); });
    return units;
}

void Planner::collectUnits(JobRecord &record, core::Instant now, std::vector<SchedulingUnit> &units)
{
    const workload::Job &job = record.job();
    for (auto &[number, occurrence] : record.occurrences()) {
        for (std::size_t s = 0; s < occurrence.steps.size(); ++s) {
            if (!record.ready(occurrence, static_cast<int>(s)))
                continue;
            StepProgress &progress = occurrence.steps[s];
            progress.readySince = std::min(progress.readySince, now);
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
            estimateTimesAndValue(unit, occurrence, now);
            units.push_back(std::move(unit));
        }
    }
}

PlacementRequest Planner::request(const SchedulingUnit &unit, core::Instant now) const
{
    PlacementRequest request;
    request.perTask = unit.spec->perTask;
    request.preferredRack = unit.spec->inputRack;
    std::map<std::string, int> onWorker;
    for (const Task &task : unit.progress->tasks) {
        if (task.phase == TaskPhase::Active)
            ++onWorker[task.worker];
    }
    std::set<std::string> workersWithFailedRuns;
    for (const int index : unit.taskIndices) {
        const Task &task = unit.progress->tasks[static_cast<std::size_t>(index)];
        workersWithFailedRuns.insert(task.workersWithFailedRuns.begin(),
                                     task.workersWithFailedRuns.end());
    }
    std::map<std::string, int> avoided;
    for (const auto &[key, worker] : m_workers) {
        const int limit = unit.spec->maxPerWorker > 0 ? unit.spec->maxPerWorker - onWorker[key]
                                                      : std::numeric_limits<int>::max();
        if (limit <= 0 || !isEligible(unit, worker, now))
            continue;
        const int suspicionLevel = m_health.suspicionLevel(key, now);
        const bool inUrgentReserve =
            unit.record->job().terms.priority > 0 && m_urgentReserve.contains(worker.key);
        const bool failedHere = workersWithFailedRuns.contains(key);
        // A gang needs many workers at once and can seldom avoid one, so that a worker on which it
        // failed only gets a penalty.
        if (suspicionLevel == 2 || (failedHere && !unit.spec->gang))
            avoided[key] = limit;
        else
            request.taskLimits[key] = limit;
        request.speedClasses[key] = speedClass(key);
        const int penalty = suspicionLevel + (failedHere ? 2 : 0) + (inUrgentReserve ? 1 : 0);
        if (penalty > 0)
            request.penalties[key] = penalty;
    }
    // Avoided workers are used anyway if they are more than half as many as the others, since there
    // are then too few others.
    if (request.taskLimits.size() < 2 * avoided.size())
        request.taskLimits.insert(avoided.begin(), avoided.end());
    return request;
}

int Planner::speedClass(const std::string &worker) const
{
    const double speed = m_speeds.speed(worker);
    return speed > MinFastSpeed ? 0 : speed > MaxSlowSpeed ? 1 : 2;
}

bool Planner::isEligible(const SchedulingUnit &unit, const Worker &worker, core::Instant now) const
{
    const bool inUrgentReserve =
        unit.record->job().terms.priority > 0 && m_urgentReserve.contains(worker.key);
    return worker.accepting && worker.service == unit.record->job().terms.service
        && hasLabel(worker, unit.spec->neededLabel) && fits(unit.spec->perTask, worker.capacity)
        && (!inUrgentReserve || mayUseUrgentReserve(unit, worker, now));
}

void Planner::deductReservation(const SchedulingUnit &unit, FreeCapacity &freeCapacity) const
{
    for (const auto &[worker, count] : unit.progress->reservation) {
        const auto found = freeCapacity.find(worker);
        for (int i = 0; i < count && found != freeCapacity.end(); ++i)
            found->second = found->second - unit.spec->perTask;
    }
}

void Planner::placeUnit(const SchedulingUnit &unit, FreeCapacity &freeCapacity, core::Instant now,
                        Plan &plan)
{
    // Returns the capacity of the step's own reservation before the step is placed.
    for (const auto &[worker, count] : unit.progress->reservation) {
        const auto found = freeCapacity.find(worker);
        for (int i = 0; i < count && found != freeCapacity.end(); ++i)
            found->second = found->second + unit.spec->perTask;
    }
    const bool reserved = now < unit.progress->reservedUntil;
    if (!reserved)
        unit.progress->reservation.clear();
    PlacementRequest wanted = request(unit, now);
    const absl::Duration waited = now - unit.progress->readySince;
    const absl::Duration rackWait =
        unit.guaranteed ? GuaranteedRackWait : std::min(MaxRackWait, unit.taskTime);
    const int tasks = static_cast<int>(unit.taskIndices.size());
    if (unit.spec->gang) {
        wanted.tasks = tasks;
        wanted.singleRack = unit.spec->sameRack && fitsOnSingleRack(wanted, m_workers);
        if (tryPlace(unit, wanted, freeCapacity, now, plan) || !wanted.singleRack
            || waited < rackWait)
            return;
        wanted.singleRack = false;
        tryPlace(unit, wanted, freeCapacity, now, plan);
        return;
    }
    for (int i = 0; i < tasks; ++i) {
        SchedulingUnit one = unit;
        one.taskIndices = {unit.taskIndices[static_cast<std::size_t>(i)]};
        wanted = request(one, now);
        if (waited < rackWait)
            restrictToDataRack(wanted);
        if (!tryPlace(one, wanted, freeCapacity, now, plan))
            return;
    }
}

void Planner::restrictToDataRack(PlacementRequest &request) const
{
    std::map<std::string, int> near;
    for (const auto &[worker, limit] : request.taskLimits) {
        if (m_workers.at(worker).rack == request.preferredRack)
            near.emplace(worker, limit);
    }
    if (!near.empty())
        request.taskLimits = std::move(near);
}

bool Planner::tryPlace(const SchedulingUnit &unit, PlacementRequest request,
                       FreeCapacity &freeCapacity, core::Instant now, Plan &plan)
{
    if (const auto placed = place(request, m_workers, freeCapacity, {})) {
        startTasks(unit, placed->tasks, freeCapacity, now, plan);
        return true;
    }
    if (!unit.progress->reservation.empty()) {
        deductReservation(unit, freeCapacity);
        return true;
    }
    const std::vector<VictimGroup> candidates = victims(unit, now);
    const auto placed = place(request, m_workers, freeCapacity, candidates);
    if (!placed)
        return false;
    const double ownWork = weightedCores(unit.spec->perTask) * absl::ToDoubleSeconds(unit.taskTime)
        * static_cast<double>(unit.taskIndices.size());
    if (!unit.guaranteed && placed->cost > ownWork * preemptionBudget(unit, now))
        return false;
    for (const std::size_t index : placed->victims)
        preemptGroup(candidates[index], unit, now, plan);
    if (unit.spec->gang || unit.spec->tasks == 1) {
        unit.progress->reservation = placed->tasks;
        unit.progress->reservedUntil = now + m_options.stopTime + ReservationMargin;
    }
    for (const auto &[worker, count] : placed->tasks) {
        for (int i = 0; i < count; ++i)
            freeCapacity[worker] = freeCapacity[worker] - unit.spec->perTask;
    }
    return true;
}

void Planner::startTasks(const SchedulingUnit &unit, const std::map<std::string, int> &tasks,
                         FreeCapacity &freeCapacity, core::Instant now, Plan &plan)
{
    int run = 0;
    for (const Task &task : unit.progress->tasks)
        run = std::max(run, task.run);
    std::size_t next = 0;
    for (const auto &[worker, count] : tasks) {
        for (int i = 0; i < count; ++i) {
            const workload::TaskKey key{unit.record->job().id, unit.occurrence, unit.step,
                                        unit.taskIndices[next++]};
            Task *task = unit.record->task(key);
            unit.record->start(key, unit.spec->gang ? run + 1 : task->run + 1, worker, now);
            task->orderSentAt = now;
            freeCapacity[worker] = freeCapacity[worker] - unit.spec->perTask;
            plan.orders.push_back({Order::Kind::Start,
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
