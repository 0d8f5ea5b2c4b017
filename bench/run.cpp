#include "jobs.h"

#include <algorithm>
#include <deque>
#include <map>
#include <memory>
#include <queue>

namespace oleandercross::bench {

namespace {

using scheduling::Event;

// Time that the agents take to start or stop a gang, the same for both schedulers.
constexpr absl::Duration StartTime = absl::Milliseconds(100);
constexpr absl::Duration StopTime = absl::Milliseconds(200);

// Weighs fragmentation by time until the last arrival.
class FragmentationClock
{
public:
    FragmentationClock(const std::vector<LoadedJob> &jobs, std::size_t workers)
        : m_measure(jobs)
        , m_free(workers, 8)
        , m_end(jobs.back().arrival)
    { }

    void change(std::size_t worker, int by) { m_free[worker] += by; }

    void advance(absl::Duration now)
    {
        now = std::min(now, m_end);
        m_sum += m_measure.of(m_free) * absl::ToDoubleSeconds(now - m_last);
        m_last = std::max(m_last, now);
    }

    double mean() const { return m_sum / absl::ToDoubleSeconds(m_end); }

private:
    Fragmentation m_measure;
    std::vector<int> m_free;
    absl::Duration m_last;
    absl::Duration m_end;
    double m_sum = 0;
};

class Run
{
public:
    Run(const LoadedCluster &cluster, const std::vector<LoadedJob> &jobs, const RunOptions &options)
        : m_jobs(jobs)
        , m_options(options)
        , m_scheduler(core::DataCentreId("bench"))
        , m_fragmentation(jobs, cluster.workers.size())
    {
        send(scheduling::ManifestChanged{std::make_shared<config::Manifest>(cluster.manifest)});
        for (std::size_t i = 0; i < cluster.workers.size(); ++i) {
            m_workers[cluster.workers[i].worker] = i;
            send(cluster.workers[i]);
        }
        send(scheduling::StateRestored{});
        for (std::size_t i = 0; i < jobs.size(); ++i) {
            m_state[jobs[i].spec.id] = {i, jobs[i].runTime, jobs[i].runTime, {}, 0, {}, false};
            at(jobs[i].arrival, scheduling::JobSubmitted{jobs[i].spec});
        }
        at(m_options.tick, scheduling::Tick{});
        m_outcome.completion.resize(jobs.size());
        m_outcome.start.resize(jobs.size());
    }

    Outcome finish()
    {
        while (m_ended < m_jobs.size() && !m_events.empty()) {
            const Entry entry = m_events.top();
            m_events.pop();
            m_fragmentation.advance(entry.at);
            m_now = entry.at;
            if (const auto *tick = std::get_if<scheduling::Tick>(&entry.event))
                at(m_now + m_options.tick, *tick);
            if (occurs(entry.event))
                send(entry.event);
        }
        m_outcome.fragmentation = m_fragmentation.mean();
        return m_outcome;
    }

private:
    struct Entry
    {
        absl::Duration at;
        std::uint64_t order = 0;
        Event event;

        bool operator<(const Entry &other) const
        {
            return std::tie(at, order) > std::tie(other.at, other.order);
        }
    };

    struct State
    {
        std::size_t index = 0;
        absl::Duration remaining;
        absl::Duration atCheckpoint;
        absl::Duration startedAt;
        // Attempt that runs, 0 if none.
        int attempt = 0;
        scheduling::Placement placement;
        bool running = false;
    };

    void at(absl::Duration when, Event event)
    {
        m_events.push({when, m_order++, std::move(event)});
    }

    // Applies an event to the running gangs; false if it is about an attempt that is over.
    bool occurs(const Event &event)
    {
        if (const auto *started = std::get_if<scheduling::GangStarted>(&event)) {
            State &state = m_state.at(started->job);
            if (state.attempt != started->attempt)
                return false;
            state.running = true;
            state.startedAt = m_now;
            if (started->attempt == 1)
                m_outcome.start[state.index] =
                    absl::ToDoubleSeconds(m_now - m_jobs[state.index].arrival);
            for (int task = 0; task < m_jobs[state.index].spec.tasks; ++task)
                at(m_now + state.remaining,
                   scheduling::TaskFinished{started->job, started->attempt, task});
        } else if (const auto *finished = std::get_if<scheduling::TaskFinished>(&event)) {
            return m_state.at(finished->job).attempt == finished->attempt;
        } else if (const auto *done = std::get_if<scheduling::CheckpointDone>(&event)) {
            State &state = m_state.at(done->job);
            if (state.attempt != done->attempt || !state.running)
                return false;
            state.atCheckpoint = state.remaining - (m_now - state.startedAt);
        } else if (const auto *stopped = std::get_if<scheduling::GangStopped>(&event)) {
            State &state = m_state.at(stopped->job);
            if (state.attempt != stopped->attempt)
                return false;
            state.remaining = state.atCheckpoint;
            release(state);
        }
        return true;
    }

    void release(State &state)
    {
        for (const scheduling::TaskPlacement &task : state.placement.tasks)
            m_fragmentation.change(m_workers.at(task.worker),
                                   static_cast<int>(task.accelerators.size()));
        state.placement = {};
        state.attempt = 0;
        state.running = false;
    }

    void send(const Event &event)
    {
        for (const scheduling::Action &action : m_scheduler.apply(event, absl::UnixEpoch() + m_now))
            perform(action);
    }

    void perform(const scheduling::Action &action)
    {
        if (const auto *start = std::get_if<scheduling::StartGang>(&action)) {
            State &state = m_state.at(start->job);
            state.attempt = start->attempt;
            state.placement = start->placement;
            for (const scheduling::TaskPlacement &task : state.placement.tasks)
                m_fragmentation.change(m_workers.at(task.worker),
                                       -static_cast<int>(task.accelerators.size()));
            at(m_now + StartTime, scheduling::GangStarted{start->job, start->attempt});
        } else if (const auto *stop = std::get_if<scheduling::StopGang>(&action)) {
            at(m_now + StopTime, scheduling::GangStopped{stop->job, stop->attempt});
            ++m_outcome.preemptions;
        } else if (const auto *checkpoint = std::get_if<scheduling::CheckpointGang>(&action)) {
            at(m_now + m_options.checkpoint,
               scheduling::CheckpointDone{checkpoint->job, checkpoint->attempt});
        } else if (const auto *change = std::get_if<scheduling::JobStateChanged>(&action)) {
            if (!scheduling::ended(change->state))
                return;
            State &state = m_state.at(change->job);
            release(state);
            m_outcome.completion[state.index] =
                absl::ToDoubleSeconds(m_now - m_jobs[state.index].arrival);
            ++m_ended;
        }
    }

    const std::vector<LoadedJob> &m_jobs;
    const RunOptions m_options;
    scheduling::Scheduler m_scheduler;
    FragmentationClock m_fragmentation;
    std::map<core::WorkerId, std::size_t> m_workers;
    std::map<core::JobId, State> m_state;
    std::priority_queue<Entry> m_events;
    std::uint64_t m_order = 0;
    std::size_t m_ended = 0;
    absl::Duration m_now;
    Outcome m_outcome;
};

// Takes the first workers with room; the head of the queue holds up all jobs behind it.
class Fifo
{
public:
    Fifo(const LoadedCluster &cluster, const std::vector<LoadedJob> &jobs)
        : m_cluster(cluster)
        , m_jobs(jobs)
        , m_free(cluster.workers.size(), cluster.workers.front().resources)
        , m_fragmentation(jobs, cluster.workers.size())
    {
        m_outcome.completion.resize(jobs.size());
    }

    Outcome finish()
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
                give(m_ends.top().second, -1);
                m_ends.pop();
            }
            while (!m_queue.empty() && start(m_queue.front(), now))
                m_queue.pop_front();
        }
        m_outcome.fragmentation = m_fragmentation.mean();
        return m_outcome;
    }

private:
    using End = std::pair<absl::Duration, std::size_t>;

    bool start(std::size_t index, absl::Duration now)
    {
        const scheduling::JobSpec &spec = m_jobs[index].spec;
        std::vector<std::size_t> chosen;
        for (std::size_t first = 0; first < m_free.size() && chosen.empty(); ++first)
            chosen = from(first, spec);
        if (chosen.empty())
            return false;
        m_placed[index] = chosen;
        give(index, 1);
        const absl::Duration end = now + StartTime + m_jobs[index].runTime;
        m_ends.emplace(end, index);
        m_outcome.completion[index] = absl::ToDoubleSeconds(end - m_jobs[index].arrival);
        return true;
    }

    // Workers from `first` on, as close together as the job asks; empty if there is no room.
    std::vector<std::size_t> from(std::size_t first, const scheduling::JobSpec &spec) const
    {
        std::vector<std::size_t> chosen;
        const auto &workers = m_cluster.workers;
        for (std::size_t i = first; i < workers.size(); ++i) {
            const bool near = spec.adjacency == scheduling::Adjacency::DataCentre || i == first
                || (spec.adjacency == scheduling::Adjacency::Rack
                    && workers[i].rack == workers[first].rack);
            core::Resources free = m_free[i];
            while (near && static_cast<int>(chosen.size()) < spec.tasks
                   && core::fits(spec.perTask, free)) {
                chosen.push_back(i);
                free = free - spec.perTask;
            }
        }
        if (static_cast<int>(chosen.size()) < spec.tasks)
            chosen.clear();
        return chosen;
    }

    void give(std::size_t index, int sign)
    {
        const core::Resources size = m_jobs[index].spec.perTask;
        for (const std::size_t worker : m_placed[index]) {
            m_free[worker] = m_free[worker] - size * sign;
            m_fragmentation.change(worker, -sign * size.accelerators);
        }
    }

    const LoadedCluster &m_cluster;
    const std::vector<LoadedJob> &m_jobs;
    std::vector<core::Resources> m_free;
    std::map<std::size_t, std::vector<std::size_t>> m_placed;
    std::deque<std::size_t> m_queue;
    std::priority_queue<End, std::vector<End>, std::greater<>> m_ends;
    FragmentationClock m_fragmentation;
    Outcome m_outcome;
};

} // namespace

Outcome runScheduler(const LoadedCluster &cluster, const std::vector<LoadedJob> &jobs,
                     const RunOptions &options)
{
    return Run(cluster, jobs, options).finish();
}

Outcome runFifoFirstFit(const LoadedCluster &cluster, const std::vector<LoadedJob> &jobs)
{
    return Fifo(cluster, jobs).finish();
}

} // namespace oleandercross::bench
