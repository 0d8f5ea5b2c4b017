#include "plannerfixture.h"

#include <catch2/catch.hpp>

#include <map>
#include <random>
#include <set>

using namespace oleandercross;
using namespace oleandercross::planning;
using testing::PlannerFixture;

namespace {

// Simulates workers that lose orders and whose runs fail at random. The invariants are checked on
// the simulated workers, not on the state of the planner.
class Simulation
{
public:
    explicit Simulation(unsigned seed)
        : m_random(seed)
    {
        m_fixture.planner.setGuarantees({{"account", 16}});
    }

    void step()
    {
        m_fixture.advanceTime(absl::Milliseconds(50));
        if (chance(0.1))
            submit();
        if (chance(0.02) && !m_jobs.empty())
            m_fixture.planner.cancelJob("j" + std::to_string(randomIndex(m_jobs.size())),
                                        m_fixture.now);
        if (chance(0.02)) {
            m_closed = chance(0.5) ? std::set<std::string>{"d" + std::to_string(randomIndex(2))}
                                   : std::set<std::string>{};
            m_fixture.planner.setClosedDataCentres(m_closed);
        }
        for (const Order &order : m_fixture.plan())
            execute(order);
        endRandomRun();
        if (chance(0.03))
            cutOffRandomWorker();
        reconnectWorkers();
        checkCapacity();
        checkSuperfluousRuns();
        ++m_steps;
    }

private:
    struct Running
    {
        workload::RunKey run;
        bool gang = false;
    };

    bool chance(double p) { return std::uniform_real_distribution<>(0, 1)(m_random) < p; }
    std::size_t randomIndex(std::size_t size)
    {
        return std::uniform_int_distribution<std::size_t>(0, size - 1)(m_random);
    }

    void submit()
    {
        const int priority = static_cast<int>(randomIndex(3));
        workload::Job job =
            m_fixture.job("j" + std::to_string(m_jobs.size()), priority,
                          1 + static_cast<int>(randomIndex(4)), 1 << randomIndex(4), chance(0.6));
        job.steps[0].sameRack = chance(0.5);
        job.steps[0].checkpointable = chance(0.5);
        m_jobs.push_back(job);
        m_fixture.planner.addJob(job, m_fixture.now);
    }

    void execute(const Order &order)
    {
        CHECK_FALSE(m_cutOff.contains(order.worker));
        std::vector<Running> &running = m_running[order.worker];
        const auto found = std::find_if(running.begin(), running.end(),
                                        [&](const Running &r) { return r.run == order.run; });
        if (order.kind == Order::Kind::Stop) {
            if (chance(0.1))
                return;
            m_closedRuns.insert({order.worker, order.run});
            if (found == running.end()) {
                m_fixture.planner.runAbsent(order.worker, order.run, m_fixture.now);
                return;
            }
            running.erase(found);
            m_fixture.planner.runEnded(order.worker, order.run, RunEnd::Stopped, "c",
                                       m_fixture.now);
            return;
        }
        CHECK_FALSE(m_closed.contains(m_fixture.planner.workers().at(order.worker).dataCentre));
        if (chance(0.02) && found == running.end()) {
            m_closedRuns.insert({order.worker, order.run});
            m_fixture.planner.startRefusedByClosure(order.worker, order.run, m_fixture.now);
            return;
        }
        if (chance(0.1) || m_closedRuns.contains({order.worker, order.run}))
            return;
        if (found == running.end()) {
            checkStart(order);
            running.push_back({order.run, false});
        }
        m_fixture.planner.startConfirmed(order.worker, order.run, m_fixture.now);
    }

    void checkStart(const Order &order)
    {
        for (const auto &[worker, running] : m_running) {
            for (const Running &other : running)
                CHECK_FALSE(other.run.task == order.run.task);
        }
        CHECK_FALSE(m_completed.contains(order.run.task));
        // Two attempts for each of at most four tasks.
        CHECK(m_failures[order.run.task.job] < 2 * 4);
    }

    void endRandomRun()
    {
        for (auto &[worker, running] : m_running) {
            if (running.empty() || !chance(0.1))
                continue;
            const Running ended = running[randomIndex(running.size())];
            const workload::Job &job =
                m_jobs[static_cast<std::size_t>(std::stoi(ended.run.task.job.substr(1)))];
            const RunEnd outcome = chance(0.1) ? RunEnd::Failed : RunEnd::Completed;
            endRun(worker, ended.run, outcome);
            if (job.steps[0].gang)
                endMembers(ended.run, outcome);
            return;
        }
    }

    void endRun(const std::string &worker, const workload::RunKey &run, RunEnd outcome)
    {
        std::erase_if(m_running[worker], [&](const Running &r) { return r.run == run; });
        m_closedRuns.insert({worker, run});
        reportEnd(worker, run, outcome);
    }

    void reportEnd(const std::string &worker, const workload::RunKey &run, RunEnd outcome)
    {
        if (outcome == RunEnd::Completed)
            m_completed.try_emplace(run.task, m_steps);
        if (outcome == RunEnd::Failed)
            ++m_failures[run.task.job];
        m_fixture.planner.runEnded(worker, run, outcome, {}, m_fixture.now);
    }

    // Lets the runs on a worker end in any way while the leader does not hear of it and gives the
    // worker up, which is back up to 3 s later.
    void cutOffRandomWorker()
    {
        const std::string key = "w" + std::to_string(randomIndex(6));
        if (m_cutOff.contains(key))
            return;
        CutOff &cut = m_cutOff[key];
        cut.until = m_steps + 1 + static_cast<int>(randomIndex(60));
        for (const Running &running : std::exchange(m_running[key], {})) {
            const workload::RunKey &run = running.run;
            const workload::Job &job =
                m_jobs[static_cast<std::size_t>(std::stoi(run.task.job.substr(1)))];
            m_closedRuns.insert({key, run});
            if (job.steps[0].gang) {
                // The members elsewhere end with it.
                endMembers(run, RunEnd::Broken);
                cut.ends.emplace_back(run, RunEnd::Lapsed);
                continue;
            }
            const RunEnd hows[] = {RunEnd::Completed, RunEnd::Failed, RunEnd::Lapsed};
            cut.ends.emplace_back(run, hows[randomIndex(3)]);
        }
        m_fixture.planner.removeWorker(key, WorkerEnd::LeaseExpired, m_fixture.now);
    }

    void reconnectWorkers()
    {
        for (auto it = m_cutOff.begin(); it != m_cutOff.end();) {
            const auto &[key, cut] = *it;
            if (m_steps < cut.until) {
                ++it;
                continue;
            }
            m_fixture.planner.updateWorker(PlannerFixture::worker(std::stoi(key.substr(1))));
            m_fixture.planner.beginListing(key);
            // Lists repeat ends until they are acknowledged.
            for (int i = 0; i < 2; ++i) {
                for (const auto &[run, how] : cut.ends) {
                    if (i == 0)
                        reportEnd(key, run, how);
                    else
                        CHECK_FALSE(m_fixture.planner.runEnded(key, run, how, {}, m_fixture.now));
                }
            }
            it = m_cutOff.erase(it);
        }
    }

    // Stops get lost and are repeated.
    void checkSuperfluousRuns()
    {
        for (const auto &[worker, running] : m_running) {
            for (const Running &other : running) {
                const auto found = m_completed.find(other.run.task);
                CHECK((found == m_completed.end() || m_steps - found->second < MaxStopSteps));
            }
        }
    }

    // Ends the other members of a gang.
    void endMembers(const workload::RunKey &run, RunEnd outcome)
    {
        for (auto &[worker, running] : m_running) {
            const std::vector<Running> copy = running;
            for (const Running &member : copy) {
                if (member.run.task.job == run.task.job)
                    endRun(worker, member.run,
                           outcome == RunEnd::Completed ? outcome : RunEnd::Broken);
            }
        }
    }

    void checkCapacity()
    {
        for (const auto &[worker, running] : m_running) {
            std::int64_t accelerators = 0;
            for (const Running &r : running)
                accelerators += m_fixture.planner.demandOf(r.run.task).accelerators;
            CHECK(accelerators <= 8);
        }
    }

    // A run of a completed task ends within this many steps, each of 50 ms. Each stop is lost with
    // a probability of 0.1, and repeated after 0.7 s.
    static constexpr int MaxStopSteps = 200;

    struct CutOff
    {
        int until = 0;
        std::vector<std::pair<workload::RunKey, RunEnd>> ends;
    };

    PlannerFixture m_fixture;
    std::mt19937 m_random;
    int m_steps = 0;
    std::map<std::string, CutOff> m_cutOff;
    std::vector<workload::Job> m_jobs;
    std::map<std::string, std::vector<Running>> m_running;
    // Runs that ended or were stopped; their worker does not start them again.
    std::set<std::pair<std::string, workload::RunKey>> m_closedRuns;
    std::set<std::string> m_closed;
    // The completed tasks, and the steps of the simulation in which their completion was listed.
    std::map<workload::TaskKey, int> m_completed;
    std::map<std::string, int> m_failures;
};

} // namespace

// The faults are lost orders, failed runs, and starts that agents refuse for a closed data centre,
// of which one is closed for a while, and workers that are given up while their runs end. A
// completed task must not run again either, and other runs of it have to be stopped.
TEST_CASE("no worker exceeds its capacity and no task runs twice under random faults")
{
    const unsigned seed = GENERATE(range(1U, 21U));
    CAPTURE(seed);
    Simulation simulation(seed);
    for (int i = 0; i < 600; ++i)
        simulation.step();
}
