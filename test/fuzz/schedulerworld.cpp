#include "schedulerworld.h"

#include <algorithm>

namespace oleandercross::scheduling::fuzz {

namespace {

const core::DataCentreId LocalDataCentre("here");
constexpr std::size_t MaxJobs = 14;

core::Resources workerSize(int accelerators)
{
    return {accelerators, 2 + 2 * accelerators, 1000 + 1000 * accelerators};
}

template <typename Map>
auto nth(Map &map, std::uint32_t n)
{
    auto it = map.begin();
    std::advance(it, n % map.size());
    return it;
}

} // namespace

SchedulerWorld::SchedulerWorld(std::uint32_t layout)
    : m_scheduler(std::make_unique<Scheduler>(LocalDataCentre))
{
    const int planned = 1 << (layout % 4);
    const int count = 2 + static_cast<int>(layout / 4 % 6);
    for (int i = 0; i < count; ++i) {
        Worker worker;
        worker.id = core::WorkerId("w" + std::to_string(i));
        worker.rack = core::RackId("r" + std::to_string(i / 3));
        // Some workers differ in size from the plan, and some have no accelerators.
        const bool odd = layout / 32 % 3 == 0 && i + 1 == count;
        worker.nominalSize = workerSize(odd ? static_cast<int>(layout / 128 % 8) : planned);
        worker.size = worker.nominalSize;
        m_workers.push_back(worker);
    }
    config::PlannedDataCentre plan{LocalDataCentre, std::max(1, count / 3), std::min(3, count),
                                   workerSize(planned)};
    m_manifest = std::make_shared<config::Manifest>();
    m_manifest->dataCentres = {plan};
    m_previouslyUsable.assign(m_workers.size(), false);
    makeManifest(layout / 1024);
    send(ManifestChanged{m_manifest});
    for (const Worker &worker : m_workers)
        send(WorkerJoined{worker.id, worker.rack, worker.size});
    send(StateRestored{});
}

// Adds guarantees as long as admission accepts them.
void SchedulerWorld::makeManifest(std::uint32_t code)
{
    auto manifest = std::make_shared<config::Manifest>();
    manifest->dataCentres = m_manifest->dataCentres;
    std::vector<config::Guarantee> acceptedGuarantees;
    for (int i = 0; i < 3; ++i) {
        config::Account account;
        account.name = core::AccountId("a" + std::to_string(i));
        account.teams = {{core::TeamId("small"), 4}, {core::TeamId("large"), 64}};
        for (int k = 0; k < 2; ++k) {
            const config::Guarantee guarantee{LocalDataCentre, static_cast<config::Level>(code % 5),
                                              1 + static_cast<int>(code / 5 % 3)};
            code = code * 1664525 + 1013904223;
            code = code >> 3;
            acceptedGuarantees.push_back(guarantee);
            if (guaranteesFit(manifest->dataCentres.front(), acceptedGuarantees))
                account.guarantees.push_back(guarantee);
            else
                acceptedGuarantees.pop_back();
        }
        manifest->accounts.push_back(account);
    }
    m_manifest = manifest;
}

SchedulerWorld::Worker *SchedulerWorld::worker(const core::WorkerId &id)
{
    const auto it = std::find_if(m_workers.begin(), m_workers.end(),
                                 [&](const Worker &worker) { return worker.id == id; });
    return it == m_workers.end() ? nullptr : &*it;
}

const SchedulerWorld::Worker *SchedulerWorld::worker(const core::WorkerId &id) const
{
    return const_cast<SchedulerWorld *>(this)->worker(id);
}

const JobView *SchedulerWorld::previousView(const core::JobId &id) const
{
    const auto it = std::lower_bound(
        m_previousViews.begin(), m_previousViews.end(), id,
        [](const JobView &view, const core::JobId &wanted) { return view.spec.id < wanted; });
    return it != m_previousViews.end() && it->spec.id == id ? &*it : nullptr;
}

std::optional<std::string> SchedulerWorld::send(const Event &event)
{
    ++m_events;
    m_eventKind = event.index();
    m_previousViews = std::move(m_views);
    m_previouslyMissing = missingAccelerators();
    const std::vector<Action> actions = m_scheduler->apply(event, m_now);
    m_views = m_scheduler->jobs();
    for (const Action &action : actions) {
        if (auto violation = recordAction(action))
            return violation;
    }
    auto violation = check();
    for (auto &[id, job] : m_jobs)
        job.mayStop = false;
    m_previouslyUsable.clear();
    for (const Worker &worker : m_workers)
        m_previouslyUsable.push_back(worker.usable());
    m_manifestChanged = false;
    return violation;
}

std::optional<std::string> SchedulerWorld::submit(std::uint32_t code)
{
    if (m_jobs.size() >= MaxJobs)
        return advanceTime(code);
    constexpr int TaskCounts[] = {1, 1, 2, 3, 4, 8};
    JobSpec spec;
    spec.id = core::JobId("j" + std::to_string(m_nextJob++));
    spec.account = core::AccountId("a" + std::to_string(code % 3));
    spec.team = core::TeamId(code / 3 % 4 == 0 ? "small" : "large");
    spec.tasks = TaskCounts[code / 12 % 6];
    const int accelerators = static_cast<int>(code / 72 % 5);
    spec.perTask = {accelerators, 1 + static_cast<int>(code / 360 % 2),
                    500 * (1 + static_cast<int>(code / 720 % 3))};
    spec.adjacency = static_cast<Adjacency>(code / 2160 % 3);
    spec.adjacencyHard = code / 6480 % 2 == 0;
    spec.urgent = code / 12960 % 5 == 0;
    spec.repeatable = code / 64800 % 5 != 0;
    spec.checkpointable = code / 324000 % 2 == 0;
    m_jobs[spec.id] = {spec, JobState::Waiting, 0, spec.perTask, 0, 0, false, false};
    auto violation = send(JobSubmitted{spec});
    return violation ? violation : checkClaim(spec);
}

std::optional<std::string> SchedulerWorld::advanceTime(std::uint32_t code)
{
    constexpr absl::Duration Steps[] = {absl::Milliseconds(100), absl::Seconds(1), absl::Seconds(1),
                                        absl::Seconds(12),       absl::Minutes(6), absl::Hours(1)};
    m_now += Steps[code % 6];
    for (auto &[id, job] : m_jobs) {
        // A start that is not confirmed in time is cancelled.
        const auto gang = m_gangs.find(id);
        job.mayStop = gang != m_gangs.end() && !gang->second.started;
    }
    for (const Worker &worker : m_workers) {
        if (worker.draining)
            allowStops(worker.id);
    }
    if (auto violation = send(Tick{}))
        return violation;
    for (const auto &[id, gang] : m_gangs) {
        if (gang.checkpointSince && m_now - *gang.checkpointSince > m_policy.checkpointTimeout)
            return "a checkpoint outlasts its grace";
    }
    return std::nullopt;
}

std::optional<std::string> SchedulerWorld::gangStep(std::uint32_t kind, std::uint32_t code)
{
    if (m_gangs.empty())
        return advanceTime(code);
    Gang &gang = nth(m_gangs, code)->second;
    const core::JobId id = gang.spec.id;
    TrackedJob &job = m_jobs.at(id);
    // Some messages refer to an earlier attempt.
    const int attempt = gang.attempt - (code / 64 % 16 == 0 ? 1 : 0);
    const bool current = attempt == gang.attempt;
    const int task = static_cast<int>(code / 1024 % static_cast<std::uint32_t>(gang.spec.tasks));
    switch (kind) {
    case 0:
        gang.started |= current;
        return send(GangStarted{id, attempt});
    case 1: {
        if (gang.started && !gang.stopping)
            return advanceTime(code);
        job.avoidsWorkers = true;
        const core::WorkerId refusing = gang.placement.tasks.front().worker;
        if (current)
            m_gangs.erase(id);
        return send(GangRefused{id, attempt, core::ResultCode::TargetBusy, refusing});
    }
    case 2:
        if (!gang.stopping)
            return advanceTime(code);
        if (current)
            m_gangs.erase(id);
        return send(GangStopped{id, attempt});
    case 3:
        if (!gang.started)
            return advanceTime(code);
        if (current)
            gang.finished.insert(task);
        if (static_cast<int>(gang.finished.size()) == gang.spec.tasks)
            m_gangs.erase(id);
        return send(TaskFinished{id, attempt, task});
    case 4:
        if (!gang.started)
            return advanceTime(code);
        job.mayStop = true;
        job.avoidsWorkers = true;
        return send(TaskFailed{id, attempt, task, "exit status 1"});
    case 5:
        job.mayStop = true;
        return send(TaskLost{id, attempt, task});
    case 6: {
        job.mayStop = true;
        const core::Resources used{0, 0,
                                   gang.perTask.memoryMb + static_cast<int>(code / 4096 % 900)};
        return send(UsageReported{id, attempt, task, used});
    }
    default:
        if (!gang.checkpointSince)
            return advanceTime(code);
        if (current)
            gang.checkpointSince.reset();
        return send(CheckpointDone{id, attempt, code / 4096 % 4 != 0});
    }
}

// Allows the scheduler to stop every job on the worker because of an event of this worker.
void SchedulerWorld::allowStops(const core::WorkerId &lost)
{
    for (const auto &[id, gang] : m_gangs) {
        for (const TaskPlacement &task : gang.placement.tasks)
            m_jobs.at(id).mayStop |= task.worker == lost;
    }
}

// A leader that has not seen the worker yet is notified of its drain by a later event only.
void SchedulerWorld::recordJoin(Worker &worker)
{
    worker.draining = worker.draining && worker.knownToLeader;
    worker.knownToLeader = true;
}

std::optional<std::string> SchedulerWorld::workerStep(std::uint32_t kind, std::uint32_t code)
{
    Worker &chosen = m_workers[code % m_workers.size()];
    allowStops(chosen.id);
    switch (kind) {
    case 0:
        chosen.present = false;
        return send(WorkerLost{chosen.id});
    case 1:
        chosen.present = true;
        if (chosen.knownToLeader && code / 16 % 2 == 0)
            return send(WorkerReturned{chosen.id});
        recordJoin(chosen);
        return send(WorkerJoined{chosen.id, chosen.rack, chosen.size});
    case 2:
        chosen.draining = !chosen.draining;
        return send(WorkerDraining{chosen.id, chosen.draining});
    default:
        m_manifestChanged = true;
        chosen.present = true;
        chosen.size = chosen.size == chosen.nominalSize
            ? workerSize(std::max(0, chosen.nominalSize.accelerators - 1))
            : chosen.nominalSize;
        if (!chosen.knownToLeader) {
            recordJoin(chosen);
            return send(WorkerJoined{chosen.id, chosen.rack, chosen.size});
        }
        return send(WorkerChanged{chosen.id, chosen.rack, chosen.size});
    }
}

// Replaces the scheduler by that of a new leader, which has only the rows of the store and the
// reports of the workers. Pending starts have been aborted.
std::optional<std::string> SchedulerWorld::replaceLeader()
{
    StateRestored restored;
    for (auto &[id, job] : m_jobs) {
        auto gang = m_gangs.find(id);
        if (gang != m_gangs.end() && !gang->second.started) {
            m_gangs.erase(gang);
            gang = m_gangs.end();
        }
        RestoredJob row;
        row.spec = job.spec;
        row.attempt = job.attempt;
        row.perTask = job.perTask;
        row.failures = job.failures;
        row.enlargements = job.enlargements;
        job.state = JobState::Waiting;
        job.mayStop = true;
        if (gang != m_gangs.end()) {
            row.state = JobState::Running;
            row.placement = gang->second.placement;
            row.finishedTasks.assign(gang->second.finished.begin(), gang->second.finished.end());
            job.state = JobState::Running;
            gang->second.stopping = false;
            gang->second.checkpointSince.reset();
            // Tasks of lost workers have ended when their leases expired.
            std::erase_if(gang->second.placement.tasks, [this](const TaskPlacement &task) {
                return !worker(task.worker)->present;
            });
        }
        restored.jobs.push_back(row);
    }
    for (Worker &worker : m_workers)
        worker.healthState = HealthState::Healthy;
    m_scheduler = std::make_unique<Scheduler>(LocalDataCentre);
    m_restoring = true;
    m_views.clear();
    std::vector<Event> events{ManifestChanged{m_manifest}, StoreChanged{m_storeAvailable}};
    for (Worker &worker : m_workers) {
        worker.knownToLeader = worker.present;
        if (!worker.present)
            continue;
        events.emplace_back(WorkerJoined{worker.id, worker.rack, worker.size});
        events.emplace_back(WorkerDraining{worker.id, worker.draining});
    }
    for (const Event &event : events) {
        if (auto violation = send(event))
            return violation;
    }
    for (auto &[id, job] : m_jobs)
        job.mayStop = true;
    m_restoring = false;
    m_manifestChanged = true;
    return send(restored);
}

std::optional<std::string> SchedulerWorld::step(std::uint32_t code)
{
    const std::uint32_t kind = code % 64;
    const std::uint32_t rest = code / 64;
    if (kind < 16)
        return submit(rest);
    if (kind < 24)
        return advanceTime(rest);
    if (kind < 34)
        return gangStep(0, rest);
    if (kind < 36)
        return gangStep(1, rest);
    if (kind < 43)
        return gangStep(2, rest);
    if (kind < 49)
        return gangStep(3, rest);
    if (kind < 55)
        return gangStep(kind - 45, rest);
    if (kind < 59)
        return workerStep(kind - 55, rest);
    if (kind < 61) {
        if (m_jobs.empty())
            return advanceTime(rest);
        const auto job = nth(m_jobs, rest);
        job->second.mayStop = true;
        return send(JobCancelled{job->first});
    }
    if (kind == 61) {
        m_storeAvailable = !m_storeAvailable;
        return send(StoreChanged{m_storeAvailable});
    }
    if (kind == 62 && rest % 4 == 0) {
        makeManifest(rest / 4);
        m_manifestChanged = true;
        return send(ManifestChanged{m_manifest});
    }
    return kind == 63 && rest % 4 == 0 ? replaceLeader() : advanceTime(rest);
}

} // namespace oleandercross::scheduling::fuzz
