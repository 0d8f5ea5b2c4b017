#include "jobs.h"

#include <algorithm>
#include <chrono>
#include <map>
#include <random>

namespace oleandercross::bench {

namespace {

const core::DataCentreId BenchDataCentre("bench");
// The size of the cluster after two years of growth. Other cluster sizes scale workers and tasks in
// proportion.
constexpr int ProjectedAccelerators = 740;
constexpr int ProjectedWorkers = 510;
constexpr int ProjectedTasks = 4700;
constexpr int TeamCount = 82;
constexpr int EventCount = 20000;

// Keeps a cluster full while jobs start and finish, and measures the time of each decision.
class DecisionBenchmark
{
public:
    DecisionBenchmark(int accelerators, std::uint64_t seed)
        : m_random(seed)
        , m_scheduler(BenchDataCentre)
        , m_targetTasks(ProjectedTasks * accelerators / ProjectedAccelerators)
    {
        const int workers = ProjectedWorkers * accelerators / ProjectedAccelerators;
        config::Manifest manifest;
        manifest.dataCentres = {{BenchDataCentre, workers / 3, 3, {8, 64, 128 * 1024}}};
        for (int i = 0; i < 4; ++i) {
            config::Account account;
            account.name = core::AccountId("account" + std::to_string(i));
            for (int team = i; team < TeamCount; team += 4)
                account.teams.push_back({core::TeamId("team" + std::to_string(team)), 64});
            account.guarantees = {{BenchDataCentre, config::Level::Quad, accelerators / 64},
                                  {BenchDataCentre, config::Level::Worker, accelerators / 128}};
            manifest.accounts.push_back(account);
        }
        applyEvent(scheduling::ManifestChanged{std::make_shared<config::Manifest>(manifest)});
        for (int i = 0; i < workers; ++i)
            applyEvent(scheduling::WorkerJoined{
                core::WorkerId("w" + std::to_string(i)),
                core::RackId("r" + std::to_string(i / 3)),
                {acceleratorsOfWorker(i, workers, accelerators), 64, 128 * 1024}});
        applyEvent(scheduling::StateRestored{});
        while (m_runningTasks < m_targetTasks && m_submitted < 2 * m_targetTasks)
            submit();
    }

    // Returns the 99th percentile of the decision time.
    double p99Ms()
    {
        m_decisionTimesMs.clear();
        for (int i = 0; i < EventCount; ++i)
            applyNextEvent(i);
        const auto rank = m_decisionTimesMs.begin()
            + static_cast<std::ptrdiff_t>(m_decisionTimesMs.size() * 99 / 100);
        std::nth_element(m_decisionTimesMs.begin(), rank, m_decisionTimesMs.end());
        return *rank;
    }

private:
    // Returns the number of accelerators of a worker. About two thirds of all accelerators are on
    // workers with 8, the others on workers with 2 or 1.
    static int acceleratorsOfWorker(int index, int workers, int accelerators)
    {
        const int eights = accelerators * 65 / 100 / 8;
        const int ones = (workers - eights) / 7;
        const int twos = (accelerators - 8 * eights - ones) / 2;
        return index < eights              ? 8
            : index < eights + twos        ? 2
            : index < eights + twos + ones ? 1
                                           : 0;
    }

    void applyNextEvent(int i)
    {
        m_now += absl::Milliseconds(100);
        if (i % 10 == 0) {
            applyEvent(scheduling::Tick{});
        } else if (i % 3 == 0 && !m_running.empty()) {
            auto it = m_running.begin();
            std::advance(it, m_random() % std::min<std::size_t>(m_running.size(), 1000));
            const auto [id, gang] = *it;
            for (int task = 0; task < gang.second; ++task)
                applyEvent(scheduling::TaskFinished{id, gang.first, task});
        } else if (i % 7 == 0 && !m_running.empty()) {
            const auto &[id, gang] = *m_running.begin();
            applyEvent(scheduling::UsageReported{id, gang.first, 0, {0, 1, 100}});
        } else if (m_queuedTasks < m_targetTasks / 4) {
            submit();
        }
    }

    void submit()
    {
        scheduling::JobSpec spec;
        spec.id = core::JobId("j" + std::to_string(m_submitted++));
        const int team = static_cast<int>(m_random() % TeamCount);
        spec.account = core::AccountId("account" + std::to_string(team % 4));
        spec.team = core::TeamId("team" + std::to_string(team));
        constexpr int Gangs[] = {1, 2, 8, 16, 64};
        const bool accelerated = m_random() % 4 == 0;
        spec.tasks = accelerated ? Gangs[m_random() % 5] : 1 + static_cast<int>(m_random() % 16);
        spec.perTask = {accelerated ? 1 : 0, 2, 4096};
        spec.adjacency = static_cast<scheduling::Adjacency>(m_random() % 3);
        spec.repeatable = m_random() % 20 != 0;
        spec.checkpointable = m_random() % 4 != 0;
        m_specs[spec.id] = spec;
        m_queuedTasks += spec.tasks;
        applyEvent(scheduling::JobSubmitted{spec});
    }

    void applyEvent(const scheduling::Event &event)
    {
        const auto begin = std::chrono::steady_clock::now();
        const auto actions = m_scheduler.apply(event, m_now);
        const std::chrono::duration<double, std::milli> elapsedMs =
            std::chrono::steady_clock::now() - begin;
        m_decisionTimesMs.push_back(elapsedMs.count());
        for (const scheduling::Action &action : actions)
            execute(action);
    }

    void execute(const scheduling::Action &action)
    {
        if (const auto *start = std::get_if<scheduling::StartGang>(&action)) {
            const int tasks = m_specs.at(start->job).tasks;
            m_running[start->job] = {start->attempt, tasks};
            m_runningTasks += tasks;
            m_queuedTasks -= tasks;
            applyEvent(scheduling::GangStarted{start->job, start->attempt});
        } else if (const auto *stop = std::get_if<scheduling::StopGang>(&action)) {
            const int tasks = m_specs.at(stop->job).tasks;
            m_running.erase(stop->job);
            m_runningTasks -= tasks;
            m_queuedTasks += tasks;
            applyEvent(scheduling::GangStopped{stop->job, stop->attempt});
        } else if (const auto *change = std::get_if<scheduling::JobStateChanged>(&action)) {
            if (change->state == scheduling::JobState::Failed)
                m_queuedTasks -= m_specs.at(change->job).tasks;
            if (change->state == scheduling::JobState::Succeeded)
                m_runningTasks -= m_running.extract(change->job).mapped().second;
        }
    }

    std::mt19937_64 m_random;
    scheduling::Scheduler m_scheduler;
    core::Instant m_now = absl::UnixEpoch();
    std::map<core::JobId, scheduling::JobSpec> m_specs;
    // The attempt and the number of tasks of each running gang.
    std::map<core::JobId, std::pair<int, int>> m_running;
    int m_targetTasks;
    int m_submitted = 0;
    int m_runningTasks = 0;
    int m_queuedTasks = 0;
    std::vector<double> m_decisionTimesMs;
};

std::vector<Line> measureDecision(const Options &options)
{
    const Target bound{Target::On::Value, Target::Direction::AtMost, 5};
    const auto measureP99Ms = [&](int accelerators) {
        return DecisionBenchmark(accelerators, options.seed).p99Ms();
    };
    return {{"decision_p99", measureP99Ms(ProjectedAccelerators), "ms", std::nullopt, bound},
            {"decision_p99_80", measureP99Ms(80), "ms", std::nullopt, std::nullopt},
            {"decision_p99_320", measureP99Ms(320), "ms", std::nullopt, std::nullopt}};
}

const Registration RegisterDecision("decision", measureDecision);

} // namespace

} // namespace oleandercross::bench
