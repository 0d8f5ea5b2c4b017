#include "daysimulation.h"

#include "dayschedulers.h"

#include <oleandercross/control/learnedrows.h>

#include <absl/strings/str_cat.h>
#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <map>
#include <memory>
#include <random>
#include <set>

namespace oleandercross::bench {

namespace {

constexpr absl::Duration TickInterval = absl::Milliseconds(20);
// Workers report the progress of their runs at this interval, and each change of a run in the next
// tick.
constexpr absl::Duration ListingPeriod = absl::Milliseconds(800);
constexpr absl::Duration CheckpointInterval = absl::Seconds(2);
constexpr absl::Duration RestoreTime = absl::Milliseconds(600);
constexpr double CoresPerAccelerator = 8;
constexpr double CrossRackFactor = 3;
// A fraction of the jobs takes LongJobFactor times as long as the others.
constexpr double LongJobFraction = 0.03;
constexpr double LongJobFactor = 7;
constexpr double FailingRunFraction = 0.03;
constexpr double SlowWorkerFactor = 6;
constexpr int MaxTasksPerStep = 60;
constexpr double MinJobValueFactor = 0.3;
constexpr double MaxJobValueFactor = 4;

// Returns the size of a demand in cores, with accelerators converted to cores.
double coreEquivalents(const workload::Demand &demand)
{
    return static_cast<double>(demand.milliCores) / 1000
        + CoresPerAccelerator * static_cast<double>(demand.accelerators);
}

struct SimulatedJob
{
    workload::Job job;
    core::Instant arrival;
    absl::Duration work;
    double value = 0;
    absl::Duration latencyObjective;
    double lateValueFraction = 0;
    // Run time of each task relative to `work`; all 1 for a gang.
    std::vector<double> taskTimeFactors;
};

struct Run
{
    workload::RunKey key;
    const SimulatedJob *job = nullptr;
    std::string worker;
    core::Instant startedAt;
    // The completed work, including the part that was restored from a checkpoint.
    absl::Duration completedWork;
    absl::Duration restoredWork;
    core::Instant stopsAt = absl::InfiniteFuture();
    bool willFail = false;
    // Run time of the task relative to the work of the job.
    double taskTimeFactor = 1;
};

struct SimulatedWorker
{
    planning::Worker info;
    double speed = 1;
    core::Instant faultStartsAt = absl::InfiniteFuture();
    enum class Fault { Slow, Hanging, Failing } fault = Fault::Slow;
    core::Instant listedAt = absl::InfinitePast();
    bool runsChanged = true;
};

class DaySimulation
{
public:
    DaySimulation(const DayScenario &scenario, std::uint64_t seed, bool fifo)
        : m_scenario(scenario)
        , m_random(seed)
        , m_scheduler(makeScheduler(scenario.stopTime, fifo))
    {
        addWorkers();
        generateJobs();
    }

    DayOutcome run()
    {
        const core::Instant endTime =
            m_startTime + m_scenario.submissionPeriod + m_scenario.completionPeriod;
        std::size_t next = 0;
        for (m_now = m_startTime; m_now < endTime; m_now += TickInterval) {
            for (; next < m_jobs.size() && m_jobs[next].arrival <= m_now;
                 ++next, m_planNeeded = true)
                m_scheduler->addJob(m_jobs[next].job, m_now);
            advanceRuns();
            listRuns();
            if (!m_planNeeded && m_now < m_nextPlan)
                continue;
            m_planNeeded = false;
            const core::Instant planBegin = m_clock.now();
            const planning::Plan plan = m_scheduler->plan(m_now);
            m_planTimes.push_back(m_clock.now() - planBegin);
            m_nextPlan = plan.next;
            checkLearnedState();
            for (const planning::Order &order : plan.orders) {
                addToDigest(order);
                execute(order);
            }
            recordCompletedJobs();
        }
        return outcome();
    }

private:
    void checkLearnedState()
    {
        if (!m_learnedRows.due(m_now))
            return;
        const core::Instant begin = m_clock.now();
        const planning::LearnedState state = m_scheduler->learnedState(m_now);
        const std::vector<control::StoredRow> rows = m_learnedRows.changes(state, m_now);
        m_learnedCheckTimes.push_back(m_clock.now() - begin);
        m_learnedRows.stored(rows, m_now);
        m_learnedRowCount += static_cast<int>(rows.size());
        for (const control::StoredRow &row : rows) {
            m_learnedBytes += control::sentSize(row);
            m_largestLearnedText = std::max(m_largestLearnedText, row.value.size());
        }
    }

    double uniform(double from, double to)
    {
        return std::uniform_real_distribution<>(from, to)(m_random);
    }
    bool chance(double p) { return uniform(0, 1) < p; }

    void addWorkers()
    {
        const double speeds[] = {0.8, 1.0, 1.25};
        for (int i = 0; i < m_scenario.workers; ++i) {
            SimulatedWorker worker;
            worker.info.key = "w" + std::to_string(100 + i);
            worker.info.service = "service";
            worker.info.rack = "r" + std::to_string(i / m_scenario.workersPerRack);
            worker.info.capacity = m_scenario.capacity;
            worker.info.accepting = true;
            worker.speed = speeds[m_random() % 3];
            const double fault = uniform(0, 1);
            if (fault < m_scenario.slowWorkerFraction + m_scenario.hangingWorkerFraction
                    + m_scenario.failingWorkerFraction) {
                worker.faultStartsAt = m_startTime + absl::Seconds(uniform(3, 25));
                worker.fault = fault < m_scenario.slowWorkerFraction ? SimulatedWorker::Fault::Slow
                    : fault < m_scenario.slowWorkerFraction + m_scenario.hangingWorkerFraction
                    ? SimulatedWorker::Fault::Hanging
                    : SimulatedWorker::Fault::Failing;
            }
            m_scheduler->addWorker(worker.info);
            m_workers.emplace(worker.info.key, worker);
        }
    }

    void generateJobs()
    {
        const double burstStartSeconds = uniform(2, 20);
        for (std::size_t queueIndex = 0; queueIndex < m_scenario.queues.size(); ++queueIndex) {
            const QueueLoad &queue = m_scenario.queues[queueIndex];
            // Submissions form a Poisson process. The last one may fall after the submission
            // period.
            double arrivalSeconds = 0;
            while (arrivalSeconds < absl::ToDoubleSeconds(m_scenario.submissionPeriod)) {
                const bool burst = queue.priority == 0 && arrivalSeconds > burstStartSeconds
                    && arrivalSeconds < burstStartSeconds + 6;
                arrivalSeconds += std::exponential_distribution<>(
                    queue.submissionsPerSecond * (burst ? m_scenario.burstFactor : 1))(m_random);
                m_jobs.push_back(makeJob(queue, static_cast<int>(queueIndex), arrivalSeconds));
            }
        }
        std::sort(m_jobs.begin(), m_jobs.end(), [](const SimulatedJob &a, const SimulatedJob &b) {
            return a.arrival < b.arrival;
        });
        for (std::size_t i = 0; i < m_jobs.size(); ++i)
            m_jobIndices.emplace(m_jobs[i].job.id, i);
    }

    // Returns a lognormal sample with the given mean; `logStdDev` is the standard deviation of its
    // logarithm.
    double lognormal(double mean, double logStdDev)
    {
        return std::lognormal_distribution<>(std::log(mean) - logStdDev * logStdDev / 2,
                                             logStdDev)(m_random);
    }

    SimulatedJob makeJob(const QueueLoad &queue, int queueIndex, double arrivalSeconds)
    {
        SimulatedJob simulated;
        simulated.arrival = m_startTime + absl::Seconds(arrivalSeconds);
        double workMs = lognormal(queue.meanWorkMs, queue.workLogStdDev);
        if (chance(LongJobFraction))
            workMs *= LongJobFactor;
        simulated.work = absl::Milliseconds(workMs);
        workload::Job &job = simulated.job;
        job.id = "job" + std::to_string(m_jobCount++);
        job.account = "account" + std::to_string(m_jobCount % 4);
        job.queue = "queue" + std::to_string(queueIndex);
        job.terms = {"service", queue.priority, 3, queue.stretch, queue.targetMs};
        workload::Step step;
        step.tasks = std::clamp(static_cast<int>(std::lround(lognormal(queue.meanTasks, 0.8))), 1,
                                MaxTasksPerStep);
        step.perTask = {queue.milliCores, queue.memoryMb,
                        queue.accelerators[static_cast<std::size_t>(
                            uniform(0, static_cast<double>(queue.accelerators.size()) - 1e-9))]};
        step.gang = step.tasks > 1 && chance(queue.gangFraction);
        step.sameRack = step.gang && chance(queue.sameRackFraction);
        step.checkpointable = chance(queue.checkpointableFraction);
        const double estimateFactor = std::exp(uniform(-1, 1) * std::log(1 + queue.estimateError));
        step.estimateMs = std::max<std::int64_t>(1, std::llround(workMs * estimateFactor));
        job.steps.push_back(step);
        for (int i = 0; i < step.tasks; ++i)
            simulated.taskTimeFactors.push_back(
                step.gang ? 1 : lognormal(1, m_scenario.taskTimeLogStdDev));
        const double maxTaskTimeFactor =
            *std::max_element(simulated.taskTimeFactors.begin(), simulated.taskTimeFactors.end());
        const int totalSlots =
            m_scenario.workers * workload::fittingTaskCount(step.perTask, m_scenario.capacity);
        const int waves = (step.tasks + totalSlots / 4 - 1) / std::max(1, totalSlots / 4);
        simulated.latencyObjective = simulated.work * maxTaskTimeFactor * waves * queue.stretch
            + absl::Milliseconds(queue.targetMs);
        simulated.lateValueFraction = queue.lateValueFraction;
        const double meanJobWorkMs = queue.meanWorkMs * queue.meanTasks;
        simulated.value = queue.value
            * std::min(MaxJobValueFactor,
                       MinJobValueFactor
                           + (1 - MinJobValueFactor) * workMs * step.tasks / meanJobWorkMs);
        return simulated;
    }

    const SimulatedJob &jobOf(const std::string &id) const { return m_jobs[m_jobIndices.at(id)]; }

    bool hasFault(const SimulatedWorker &worker, SimulatedWorker::Fault kind) const
    {
        return worker.fault == kind && m_now >= worker.faultStartsAt
            && m_now < worker.faultStartsAt + absl::Seconds(6);
    }

    double speedOf(const SimulatedWorker &worker) const
    {
        if (hasFault(worker, SimulatedWorker::Fault::Hanging))
            return 0;
        return hasFault(worker, SimulatedWorker::Fault::Slow) ? worker.speed / SlowWorkerFactor
                                                              : worker.speed;
    }

    // Returns the speed of each gang by the key of its member with index 0. A gang runs at the
    // speed of its slowest member, more slowly if it needs one rack but spans several, and not at
    // all while members are missing.
    std::map<workload::RunKey, double> gangSpeeds() const
    {
        std::map<workload::RunKey, double> speeds;
        std::map<workload::RunKey, std::set<std::string>> racks;
        std::map<workload::RunKey, int> members;
        for (const Run &run : m_runs) {
            if (!run.job->job.steps[0].gang)
                continue;
            workload::RunKey key = run.key;
            key.task.index = 0;
            const SimulatedWorker &worker = m_workers.at(run.worker);
            const auto found = speeds.emplace(key, speedOf(worker)).first;
            found->second = std::min(found->second, speedOf(worker));
            racks[key].insert(worker.info.rack);
            ++members[key];
        }
        for (auto &[key, speed] : speeds) {
            const workload::Step &step = jobOf(key.task.job).job.steps[0];
            if (step.sameRack && racks[key].size() > 1)
                speed /= CrossRackFactor;
            if (members[key] < step.tasks)
                speed = 0;
        }
        return speeds;
    }

    void advanceRuns()
    {
        const auto gangs = gangSpeeds();
        std::vector<std::pair<workload::RunKey, planning::RunEnd>> ends;
        for (Run &run : m_runs) {
            workload::RunKey gang = run.key;
            gang.task.index = 0;
            const auto found = gangs.find(gang);
            const SimulatedWorker &worker = m_workers.at(run.worker);
            const bool restoring =
                run.restoredWork > absl::ZeroDuration() && m_now - run.startedAt < RestoreTime;
            const double speed = found != gangs.end() ? found->second : speedOf(worker);
            if (!restoring)
                run.completedWork += TickInterval * speed / run.taskTimeFactor;
            const absl::Duration requiredWork = run.willFail ? run.job->work * 0.5 : run.job->work;
            if (run.stopsAt <= m_now)
                ends.emplace_back(run.key, planning::RunEnd::Stopped);
            else if (hasFault(worker, SimulatedWorker::Fault::Failing)
                     && m_now - run.startedAt > absl::Milliseconds(300))
                ends.emplace_back(run.key, planning::RunEnd::Failed);
            else if (run.completedWork >= requiredWork)
                ends.emplace_back(
                    run.key, run.willFail ? planning::RunEnd::Failed : planning::RunEnd::Completed);
        }
        for (const auto &[key, how] : ends)
            endRun(key, how);
    }

    void endRun(const workload::RunKey &key, planning::RunEnd how)
    {
        const auto found = std::find_if(m_runs.begin(), m_runs.end(),
                                        [&key](const Run &run) { return run.key == key; });
        if (found == m_runs.end())
            return;
        const Run run = *found;
        m_runs.erase(found);
        m_workers.at(run.worker).runsChanged = true;
        const workload::Step &step = run.job->job.steps[0];
        const double weight = coreEquivalents(step.perTask);
        absl::Duration savedWork;
        if (step.checkpointable && how != planning::RunEnd::Completed)
            savedWork = how == planning::RunEnd::Stopped
                ? run.completedWork
                : absl::Floor(run.completedWork, CheckpointInterval);
        const absl::Duration newWork = run.completedWork - run.restoredWork;
        m_totalWork += weight * absl::ToDoubleSeconds(newWork);
        if (how != planning::RunEnd::Completed)
            m_wastedWork += weight
                * absl::ToDoubleSeconds(std::max(absl::ZeroDuration(),
                                                 newWork - std::max(savedWork, run.restoredWork)
                                                     + run.restoredWork));
        const std::string checkpoint = savedWork > absl::ZeroDuration()
            ? std::to_string(absl::ToInt64Milliseconds(savedWork))
            : std::string();
        m_scheduler->runEnded(run.worker, key, how, checkpoint, m_now);
        m_planNeeded = true;
        if (!step.gang)
            return;
        // The end of one member ends the whole gang.
        std::vector<workload::RunKey> others;
        for (const Run &other : m_runs) {
            if (other.key.task.job == key.task.job && other.key.run == key.run)
                others.push_back(other.key);
        }
        for (const workload::RunKey &other : others)
            endRun(other, how == planning::RunEnd::Completed ? how : planning::RunEnd::Broken);
    }

    void listRuns()
    {
        for (auto &[key, worker] : m_workers) {
            if (!worker.runsChanged && m_now - worker.listedAt < ListingPeriod)
                continue;
            worker.runsChanged = false;
            worker.listedAt = m_now;
            m_scheduler->beginListing(key);
            for (const Run &run : m_runs) {
                if (run.worker == key)
                    m_scheduler->runSeen(
                        key, run.key,
                        static_cast<int>(100
                                         * absl::FDivDuration(run.completedWork, run.job->work)),
                        m_now);
            }
        }
    }

    void execute(const planning::Order &order)
    {
        const auto found = std::find_if(m_runs.begin(), m_runs.end(),
                                        [&order](const Run &run) { return run.key == order.run; });
        if (order.kind == planning::Order::Kind::Stop) {
            if (found == m_runs.end())
                m_scheduler->runAbsent(order.worker, order.run, m_now);
            else if (found->stopsAt == absl::InfiniteFuture())
                found->stopsAt = m_now + m_scenario.stopTime * uniform(0.3, 1);
            return;
        }
        if (found != m_runs.end())
            return;
        Run run;
        run.key = order.run;
        run.job = &jobOf(order.run.task.job);
        run.worker = order.worker;
        run.startedAt = m_now;
        if (!order.checkpoint.empty())
            run.restoredWork = absl::Milliseconds(std::stoll(order.checkpoint));
        run.completedWork = run.restoredWork;
        run.willFail = chance(FailingRunFraction / run.job->job.steps[0].tasks);
        run.taskTimeFactor =
            run.job->taskTimeFactors[static_cast<std::size_t>(order.run.task.index)];
        m_runs.push_back(run);
        m_workers.at(order.worker).runsChanged = true;
    }

    void addToDigest(const planning::Order &order)
    {
        const std::string text = absl::StrCat(static_cast<int>(order.kind), " ", order.worker, " ",
                                              workload::toString(order.run.task), " ",
                                              order.run.run, " ", absl::ToUnixMillis(m_now));
        m_orderDigest = XXH64(text.data(), text.size(), m_orderDigest);
    }

    void recordCompletedJobs()
    {
        for (const std::string &id : m_scheduler->takeCompleted())
            m_completedAt.emplace(id, m_now);
    }

    DayOutcome outcome() const
    {
        DayOutcome result;
        std::map<std::string, double> attainableValue;
        std::map<std::string, double> earnedValue;
        double servedJobs = 0;
        double countedJobs = 0;
        for (const SimulatedJob &job : m_jobs) {
            const auto completed = m_completedAt.find(job.job.id);
            const bool isCompleted = completed != m_completedAt.end();
            // Jobs that have not arrived or can still meet their latency objective are not counted.
            if (job.arrival > m_now || (!isCompleted && m_now < job.arrival + job.latencyObjective))
                continue;
            attainableValue[job.job.queue] += job.value;
            countedJobs += 1;
            const absl::Duration completionTime =
                isCompleted ? completed->second - job.arrival : absl::InfiniteDuration();
            const double achievedValueFraction = completionTime <= job.latencyObjective ? 1
                : completionTime <= job.latencyObjective * 3 ? job.lateValueFraction
                                                             : 0;
            earnedValue[job.job.queue] += achievedValueFraction * job.value;
            servedJobs += achievedValueFraction > 0 ? 1 : 0;
        }
        double totalAttainableValue = 0;
        double totalEarnedValue = 0;
        result.worstQueueValueFraction = 1;
        for (const auto &[queue, value] : attainableValue) {
            totalAttainableValue += value;
            totalEarnedValue += earnedValue[queue];
            result.worstQueueValueFraction =
                std::min(result.worstQueueValueFraction, earnedValue[queue] / value);
        }
        result.valueFraction = totalEarnedValue / std::max(totalAttainableValue, 1e-9);
        result.servedFraction = servedJobs / std::max(countedJobs, 1.0);
        result.wastedWorkFraction = m_wastedWork / std::max(m_totalWork, 1e-9);
        result.planTimes = m_planTimes;
        result.orderDigest = m_orderDigest;
        result.learnedRows = m_learnedRowCount;
        result.learnedBytes = m_learnedBytes;
        result.largestLearnedText = m_largestLearnedText;
        result.learnedCheckTimes = m_learnedCheckTimes;
        result.length = m_scenario.submissionPeriod + m_scenario.completionPeriod;
        return result;
    }

    const DayScenario m_scenario;
    std::mt19937_64 m_random;
    const std::unique_ptr<DayScheduler> m_scheduler;
    const core::Instant m_startTime = absl::UnixEpoch() + absl::Hours(1);
    core::Instant m_now;
    core::Instant m_nextPlan = absl::InfinitePast();
    bool m_planNeeded = false;
    std::map<std::string, SimulatedWorker> m_workers;
    std::vector<SimulatedJob> m_jobs;
    std::map<std::string, std::size_t> m_jobIndices;
    std::vector<Run> m_runs;
    std::map<std::string, core::Instant> m_completedAt;
    int m_jobCount = 0;
    double m_totalWork = 0;
    double m_wastedWork = 0;
    const core::BootClock m_clock;
    std::vector<absl::Duration> m_planTimes;
    std::uint64_t m_orderDigest = 0;
    control::LearnedRows m_learnedRows;
    int m_learnedRowCount = 0;
    std::size_t m_learnedBytes = 0;
    std::size_t m_largestLearnedText = 0;
    std::vector<absl::Duration> m_learnedCheckTimes;
};

} // namespace

DayOutcome simulateDay(const DayScenario &scenario, std::uint64_t seed, bool fifo)
{
    return DaySimulation(scenario, seed, fifo).run();
}

} // namespace oleandercross::bench
