#include "jobs.h"

#include <algorithm>
#include <deque>
#include <map>
#include <memory>
#include <queue>

namespace oleandercross::bench {

namespace {

using scheduling::Event;

// Time that agents take to start or stop a gang; the baseline uses the same start time.
constexpr absl::Duration GangStartTime = absl::Milliseconds(100);
constexpr absl::Duration GangStopTime = absl::Milliseconds(200);

// Averages fragmentation over time until the last arrival.
class FragmentationAverage
{
public:
    FragmentationAverage(const std::vector<GeneratedJob> &jobs, std::size_t workers)
        : m_fragmentation(jobs)
        , m_free(workers, 8)
        , m_end(jobs.back().arrival)
    { }

    void addFree(std::size_t worker, int count) { m_free[worker] += count; }

    void advance(absl::Duration now)
    {
        now = std::min(now, m_end);
        m_sum += m_fragmentation.unusableFraction(m_free) * absl::ToDoubleSeconds(now - m_last);
        m_last = std::max(m_last, now);
    }

    double mean() const { return m_sum / absl::ToDoubleSeconds(m_end); }

private:
    Fragmentation m_fragmentation;
    std::vector<int> m_free;
    absl::Duration m_last;
    absl::Duration m_end;
    double m_sum = 0;
};

// Runs the scheduler in virtual time, with simulated agents.
class SchedulerSimulation
{
public:
    SchedulerSimulation(const SimulatedCluster &cluster, const std::vector<GeneratedJob> &jobs,
                        const SimulationOptions &options)
        : m_jobs(jobs)
        , m_options(options)
        , m_scheduler(core::DataCentreId("bench"))
        , m_fragmentation(jobs, cluster.workers.size())
    {
        applyEvent(
            scheduling::ManifestChanged{std::make_shared<config::Manifest>(cluster.manifest)});
        for (std::size_t i = 0; i < cluster.workers.size(); ++i) {
            m_workers[cluster.workers[i].worker] = i;
            applyEvent(cluster.workers[i]);
        }
        applyEvent(scheduling::StateRestored{});
        for (std::size_t i = 0; i < jobs.size(); ++i) {
            m_progress[jobs[i].spec.id] = {i, jobs[i].runTime, jobs[i].runTime, {}, 0, {}, false};
            schedule(jobs[i].arrival, scheduling::JobSubmitted{jobs[i].spec});
        }
        schedule(m_options.tickInterval, scheduling::Tick{});
        m_result.completionSeconds.resize(jobs.size());
        m_result.startSeconds.resize(jobs.size());
    }

    SimulationResult run()
    {
        while (m_endedCount < m_jobs.size() && !m_events.empty()) {
            const ScheduledEvent next = m_events.top();
            m_events.pop();
            m_fragmentation.advance(next.time);
            m_now = next.time;
            if (const auto *tick = std::get_if<scheduling::Tick>(&next.event))
                schedule(m_now + m_options.tickInterval, *tick);
            if (applyToGangs(next.event))
                applyEvent(next.event);
        }
        m_result.fragmentation = m_fragmentation.mean();
        return m_result;
    }

private:
    struct ScheduledEvent
    {
        absl::Duration time;
        std::uint64_t sequence = 0;
        Event event;

        bool operator<(const ScheduledEvent &other) const
        {
            return std::tie(time, sequence) > std::tie(other.time, other.sequence);
        }
    };

    struct JobProgress
    {
        std::size_t index = 0;
        absl::Duration remaining;
        absl::Duration remainingAtCheckpoint;
        absl::Duration startedAt;
        // The current attempt, 0 if there is none.
        int attempt = 0;
        scheduling::Placement placement;
        bool running = false;
    };

    void schedule(absl::Duration when, Event event)
    {
        m_events.push({when, m_sequence++, std::move(event)});
    }

    // Applies an event to the simulated gangs. Returns false if the event belongs to an attempt
    // that has ended.
    bool applyToGangs(const Event &event)
    {
        if (const auto *started = std::get_if<scheduling::GangStarted>(&event)) {
            JobProgress &progress = m_progress.at(started->job);
            if (progress.attempt != started->attempt)
                return false;
            progress.running = true;
            progress.startedAt = m_now;
            if (started->attempt == 1)
                m_result.startSeconds[progress.index] =
                    absl::ToDoubleSeconds(m_now - m_jobs[progress.index].arrival);
            for (int task = 0; task < m_jobs[progress.index].spec.tasks; ++task)
                schedule(m_now + progress.remaining,
                         scheduling::TaskFinished{started->job, started->attempt, task});
        } else if (const auto *finished = std::get_if<scheduling::TaskFinished>(&event)) {
            return m_progress.at(finished->job).attempt == finished->attempt;
        } else if (const auto *done = std::get_if<scheduling::CheckpointDone>(&event)) {
            JobProgress &progress = m_progress.at(done->job);
            if (progress.attempt != done->attempt || !progress.running)
                return false;
            progress.remainingAtCheckpoint = progress.remaining - (m_now - progress.startedAt);
        } else if (const auto *stopped = std::get_if<scheduling::GangStopped>(&event)) {
            JobProgress &progress = m_progress.at(stopped->job);
            if (progress.attempt != stopped->attempt)
                return false;
            progress.remaining = progress.remainingAtCheckpoint;
            releaseResources(progress);
        }
        return true;
    }

    void releaseResources(JobProgress &progress)
    {
        for (const scheduling::TaskPlacement &task : progress.placement.tasks)
            m_fragmentation.addFree(m_workers.at(task.worker),
                                    static_cast<int>(task.accelerators.size()));
        progress.placement = {};
        progress.attempt = 0;
        progress.running = false;
    }

    void applyEvent(const Event &event)
    {
        for (const scheduling::Action &action : m_scheduler.apply(event, absl::UnixEpoch() + m_now))
            execute(action);
    }

    void execute(const scheduling::Action &action)
    {
        if (const auto *start = std::get_if<scheduling::StartGang>(&action)) {
            JobProgress &progress = m_progress.at(start->job);
            progress.attempt = start->attempt;
            progress.placement = start->placement;
            for (const scheduling::TaskPlacement &task : progress.placement.tasks)
                m_fragmentation.addFree(m_workers.at(task.worker),
                                        -static_cast<int>(task.accelerators.size()));
            schedule(m_now + GangStartTime, scheduling::GangStarted{start->job, start->attempt});
        } else if (const auto *stop = std::get_if<scheduling::StopGang>(&action)) {
            schedule(m_now + GangStopTime, scheduling::GangStopped{stop->job, stop->attempt});
            ++m_result.preemptions;
        } else if (const auto *checkpoint = std::get_if<scheduling::CheckpointGang>(&action)) {
            schedule(m_now + m_options.checkpointTime,
                     scheduling::CheckpointDone{checkpoint->job, checkpoint->attempt});
        } else if (const auto *change = std::get_if<scheduling::JobStateChanged>(&action)) {
            if (!scheduling::ended(change->state))
                return;
            JobProgress &progress = m_progress.at(change->job);
            releaseResources(progress);
            m_result.completionSeconds[progress.index] =
                absl::ToDoubleSeconds(m_now - m_jobs[progress.index].arrival);
            ++m_endedCount;
        }
    }

    const std::vector<GeneratedJob> &m_jobs;
    const SimulationOptions m_options;
    scheduling::Scheduler m_scheduler;
    FragmentationAverage m_fragmentation;
    std::map<core::WorkerId, std::size_t> m_workers;
    std::map<core::JobId, JobProgress> m_progress;
    std::priority_queue<ScheduledEvent> m_events;
    std::uint64_t m_sequence = 0;
    std::size_t m_endedCount = 0;
    absl::Duration m_now;
    SimulationResult m_result;
};

// Baseline that starts jobs in FIFO order on the first workers with enough free capacity.
class FifoSimulation
{
public:
    FifoSimulation(const SimulatedCluster &cluster, const std::vector<GeneratedJob> &jobs)
        : m_cluster(cluster)
        , m_jobs(jobs)
        , m_free(cluster.workers.size(), cluster.workers.front().resources)
        , m_fragmentation(jobs, cluster.workers.size())
    {
        m_result.completionSeconds.resize(jobs.size());
    }

    SimulationResult run()
    {
        std::size_t next = 0;
        while (next < m_jobs.size() || !m_ends.empty()) {
            const bool arrival = next < m_jobs.size()
                && (m_ends.empty() || m_jobs[next].arrival <= m_ends.top().first);
            const absl::Duration now = arrival ? m_jobs[next].arrival : m_ends.top().first;
            m_fragmentation.advance(now);
            if (arrival) {
                m_queue.push_back(next++);
            } else {
                adjustAllocation(m_ends.top().second, -1);
                m_ends.pop();
            }
            while (!m_queue.empty() && start(m_queue.front(), now))
                m_queue.pop_front();
        }
        m_result.fragmentation = m_fragmentation.mean();
        return m_result;
    }

private:
    using JobEnd = std::pair<absl::Duration, std::size_t>;

    bool start(std::size_t index, absl::Duration now)
    {
        const scheduling::JobSpec &spec = m_jobs[index].spec;
        std::vector<std::size_t> chosen;
        for (std::size_t first = 0; first < m_free.size() && chosen.empty(); ++first)
            chosen = chooseWorkersFrom(first, spec);
        if (chosen.empty())
            return false;
        m_placements[index] = chosen;
        adjustAllocation(index, 1);
        const absl::Duration end = now + GangStartTime + m_jobs[index].runTime;
        m_ends.emplace(end, index);
        m_result.completionSeconds[index] = absl::ToDoubleSeconds(end - m_jobs[index].arrival);
        return true;
    }

    // Returns the workers of all tasks, searched from `first` on and with the required adjacency,
    // or an empty list if the free capacity is too small.
    std::vector<std::size_t> chooseWorkersFrom(std::size_t first,
                                               const scheduling::JobSpec &spec) const
    {
        std::vector<std::size_t> chosen;
        const auto &workers = m_cluster.workers;
        for (std::size_t i = first; i < workers.size(); ++i) {
            const bool isAdjacent = spec.adjacency == scheduling::Adjacency::DataCentre
                || i == first
                || (spec.adjacency == scheduling::Adjacency::Rack
                    && workers[i].rack == workers[first].rack);
            core::Resources free = m_free[i];
            while (isAdjacent && static_cast<int>(chosen.size()) < spec.tasks
                   && core::fits(spec.perTask, free)) {
                chosen.push_back(i);
                free = free - spec.perTask;
            }
        }
        if (static_cast<int>(chosen.size()) < spec.tasks)
            chosen.clear();
        return chosen;
    }

    // Allocates the resources of a job on its workers if `sign` is 1, and frees them if it is -1.
    void adjustAllocation(std::size_t index, int sign)
    {
        const core::Resources size = m_jobs[index].spec.perTask;
        for (const std::size_t worker : m_placements[index]) {
            m_free[worker] = m_free[worker] - size * sign;
            m_fragmentation.addFree(worker, -sign * size.accelerators);
        }
    }

    const SimulatedCluster &m_cluster;
    const std::vector<GeneratedJob> &m_jobs;
    std::vector<core::Resources> m_free;
    std::map<std::size_t, std::vector<std::size_t>> m_placements;
    std::deque<std::size_t> m_queue;
    std::priority_queue<JobEnd, std::vector<JobEnd>, std::greater<>> m_ends;
    FragmentationAverage m_fragmentation;
    SimulationResult m_result;
};

} // namespace

SimulationResult simulateScheduler(const SimulatedCluster &cluster,
                                   const std::vector<GeneratedJob> &jobs,
                                   const SimulationOptions &options)
{
    return SchedulerSimulation(cluster, jobs, options).run();
}

SimulationResult simulateFifoFirstFit(const SimulatedCluster &cluster,
                                      const std::vector<GeneratedJob> &jobs)
{
    return FifoSimulation(cluster, jobs).run();
}

} // namespace oleandercross::bench
