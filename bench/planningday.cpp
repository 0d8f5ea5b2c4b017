#include "planningday.h"

#include "dayschedulers.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <memory>
#include <random>
#include <set>

namespace oleandercross::bench {

namespace {

constexpr absl::Duration Tick = absl::Milliseconds(20);
// The planner hears of progress this often, and of ends at once.
constexpr absl::Duration ListingPeriod = absl::Milliseconds(800);
constexpr absl::Duration CheckpointInterval = absl::Seconds(2);
constexpr absl::Duration RestoreTime = absl::Milliseconds(600);
constexpr double CoresPerAccelerator = 8;
constexpr double CrossRackFactor = 3;
// This part of the jobs takes this many times as long as the others.
constexpr double LongJobs = 0.03;
constexpr double LongFactor = 7;
constexpr double FailingRuns = 0.03;
constexpr double Slowness = 6;
constexpr int MaxTasks = 60;
constexpr double SmallestWorth = 0.3;
constexpr double LargestWorth = 4;

double weightOf(const workload::Demand &demand)
{
    return static_cast<double>(demand.milliCores) / 1000
        + CoresPerAccelerator * static_cast<double>(demand.accelerators);
}

struct LoadedJob
{
    workload::Job job;
    core::Instant arrival;
    absl::Duration work;
    double worth = 0;
    absl::Duration objective;
    double lateShare = 0;
    // Tasks of a step that is no gang differ by these factors.
    std::vector<double> factors;
};

struct Run
{
    workload::RunKey key;
    const LoadedJob *job = nullptr;
    std::string worker;
    core::Instant startedAt;
    // Work that is done, and how much of it was restored from a checkpoint.
    absl::Duration done;
    absl::Duration restored;
    core::Instant stopsAt = absl::InfiniteFuture();
    bool fails = false;
    // Tasks of a step differ by this factor.
    double factor = 1;
};

struct SimulatedWorker
{
    planning::Worker info;
    double speed = 1;
    core::Instant troubleFrom = absl::InfiniteFuture();
    enum class Trouble { Slow, Hanging, Failing } trouble = Trouble::Slow;
    core::Instant listedAt = absl::InfinitePast();
    bool changed = true;
};

class DayPlay
{
public:
    DayPlay(const PlanningDay &day, std::uint64_t seed, bool fifo)
        : m_day(day)
        , m_random(seed)
        , m_scheduler(makeScheduler(day.stopTime, fifo))
    {
        makeWorkers();
        makeJobs();
    }

    DayOutcome play()
    {
        const core::Instant end = m_begin + m_day.traffic + m_day.finish;
        std::size_t next = 0;
        for (m_now = m_begin; m_now < end; m_now += Tick) {
            for (; next < m_jobs.size() && m_jobs[next].arrival <= m_now; ++next, m_news = true)
                m_scheduler->addJob(m_jobs[next].job, m_now);
            advance();
            list();
            if (!m_news && m_now < m_nextPlan)
                continue;
            m_news = false;
            const planning::Plan plan = m_scheduler->plan(m_now);
            m_nextPlan = plan.next;
            for (const planning::Order &order : plan.orders)
                carryOut(order);
            noteEnded();
        }
        return outcome();
    }

private:
    double uniform(double from, double to)
    {
        return std::uniform_real_distribution<>(from, to)(m_random);
    }
    bool chance(double p) { return uniform(0, 1) < p; }

    void makeWorkers()
    {
        const double speeds[] = {0.8, 1.0, 1.25};
        for (int i = 0; i < m_day.workers; ++i) {
            SimulatedWorker worker;
            worker.info.key = "w" + std::to_string(100 + i);
            worker.info.service = "service";
            worker.info.rack = "r" + std::to_string(i / m_day.workersPerRack);
            worker.info.capacity = m_day.capacity;
            worker.info.accepting = true;
            worker.speed = speeds[m_random() % 3];
            const double trouble = uniform(0, 1);
            if (trouble < m_day.slow + m_day.hanging + m_day.failing) {
                worker.troubleFrom = m_begin + absl::Seconds(uniform(3, 25));
                worker.trouble = trouble < m_day.slow      ? SimulatedWorker::Trouble::Slow
                    : trouble < m_day.slow + m_day.hanging ? SimulatedWorker::Trouble::Hanging
                                                           : SimulatedWorker::Trouble::Failing;
            }
            m_scheduler->addWorker(worker.info);
            m_workers.emplace(worker.info.key, worker);
        }
    }

    void makeJobs()
    {
        const double burstAt = uniform(2, 20);
        for (std::size_t q = 0; q < m_day.queues.size(); ++q) {
            const QueueLoad &queue = m_day.queues[q];
            // The first jobs come before the others, all at once.
            double at = 0;
            while (at < absl::ToDoubleSeconds(m_day.traffic)) {
                const bool burst = queue.priority == 0 && at > burstAt && at < burstAt + 6;
                at += std::exponential_distribution<>(queue.perSecond
                                                      * (burst ? m_day.burst : 1))(m_random);
                m_jobs.push_back(makeJob(queue, static_cast<int>(q), at));
            }
        }
        std::sort(m_jobs.begin(), m_jobs.end(),
                  [](const LoadedJob &a, const LoadedJob &b) { return a.arrival < b.arrival; });
        for (std::size_t i = 0; i < m_jobs.size(); ++i)
            m_indices.emplace(m_jobs[i].job.id, i);
    }

    // Lognormal with this mean.
    double lognormal(double mean, double spread)
    {
        return std::lognormal_distribution<>(std::log(mean) - spread * spread / 2,
                                             spread)(m_random);
    }

    LoadedJob makeJob(const QueueLoad &queue, int number, double at)
    {
        LoadedJob loaded;
        loaded.arrival = m_begin + absl::Seconds(at);
        double workMs = lognormal(queue.meanWorkMs, queue.workSpread);
        if (chance(LongJobs))
            workMs *= LongFactor;
        loaded.work = absl::Milliseconds(workMs);
        workload::Job &job = loaded.job;
        job.id = "job" + std::to_string(m_made++);
        job.account = "account" + std::to_string(m_made % 4);
        job.queue = "queue" + std::to_string(number);
        job.terms = {"service", queue.priority, 3, queue.stretch, queue.targetMs};
        workload::Step step;
        step.tasks =
            std::clamp(static_cast<int>(std::lround(lognormal(queue.meanTasks, 0.8))), 1, MaxTasks);
        step.perTask = {queue.milliCores, queue.memoryMb,
                        queue.accelerators[static_cast<std::size_t>(
                            uniform(0, static_cast<double>(queue.accelerators.size()) - 1e-9))]};
        step.gang = step.tasks > 1 && chance(queue.gangs);
        step.sameRack = step.gang && chance(queue.oneRack);
        step.checkpointable = chance(queue.checkpoints);
        const double off = std::exp(uniform(-1, 1) * std::log(1 + queue.estimateError));
        step.estimateMs = std::max<std::int64_t>(1, std::llround(workMs * off));
        job.steps.push_back(step);
        for (int i = 0; i < step.tasks; ++i)
            loaded.factors.push_back(step.gang ? 1 : lognormal(1, m_day.unevenness));
        const double longest = *std::max_element(loaded.factors.begin(), loaded.factors.end());
        const int room = m_day.workers * workload::fittingTaskCount(step.perTask, m_day.capacity);
        const int waves = (step.tasks + room / 4 - 1) / std::max(1, room / 4);
        loaded.objective =
            loaded.work * longest * waves * queue.stretch + absl::Milliseconds(queue.targetMs);
        loaded.lateShare = queue.lateShare;
        const double meanWeight = queue.meanWorkMs * queue.meanTasks;
        loaded.worth = queue.worth
            * std::min(LargestWorth,
                       SmallestWorth + (1 - SmallestWorth) * workMs * step.tasks / meanWeight);
        return loaded;
    }

    const LoadedJob &jobOf(const std::string &id) const { return m_jobs[m_indices.at(id)]; }

    bool inTrouble(const SimulatedWorker &worker, SimulatedWorker::Trouble kind) const
    {
        return worker.trouble == kind && m_now >= worker.troubleFrom
            && m_now < worker.troubleFrom + absl::Seconds(6);
    }

    double speedOf(const SimulatedWorker &worker) const
    {
        if (inTrouble(worker, SimulatedWorker::Trouble::Hanging))
            return 0;
        return inTrouble(worker, SimulatedWorker::Trouble::Slow) ? worker.speed / Slowness
                                                                 : worker.speed;
    }

    // The slowest member sets the pace of a gang, and a gang spread over racks is slower.
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

    void advance()
    {
        const auto gangs = gangSpeeds();
        std::vector<std::pair<workload::RunKey, planning::RunEnd>> ends;
        for (Run &run : m_runs) {
            workload::RunKey gang = run.key;
            gang.task.index = 0;
            const auto found = gangs.find(gang);
            const SimulatedWorker &worker = m_workers.at(run.worker);
            const bool restoring =
                run.restored > absl::ZeroDuration() && m_now - run.startedAt < RestoreTime;
            const double speed = found != gangs.end() ? found->second : speedOf(worker);
            if (!restoring)
                run.done += Tick * speed / run.factor;
            const absl::Duration until = run.fails ? run.job->work * 0.5 : run.job->work;
            if (run.stopsAt <= m_now)
                ends.emplace_back(run.key, planning::RunEnd::Stopped);
            else if (inTrouble(worker, SimulatedWorker::Trouble::Failing)
                     && m_now - run.startedAt > absl::Milliseconds(300))
                ends.emplace_back(run.key, planning::RunEnd::Failed);
            else if (run.done >= until)
                ends.emplace_back(
                    run.key, run.fails ? planning::RunEnd::Failed : planning::RunEnd::Completed);
        }
        for (const auto &[key, how] : ends)
            end(key, how);
    }

    void end(const workload::RunKey &key, planning::RunEnd how)
    {
        const auto found = std::find_if(m_runs.begin(), m_runs.end(),
                                        [&key](const Run &run) { return run.key == key; });
        if (found == m_runs.end())
            return;
        const Run run = *found;
        m_runs.erase(found);
        m_workers.at(run.worker).changed = true;
        const workload::Step &step = run.job->job.steps[0];
        const double weight = weightOf(step.perTask);
        absl::Duration saved;
        if (step.checkpointable && how != planning::RunEnd::Completed)
            saved = how == planning::RunEnd::Stopped ? run.done
                                                     : absl::Floor(run.done, CheckpointInterval);
        const absl::Duration spent = run.done - run.restored;
        m_spent += weight * absl::ToDoubleSeconds(spent);
        if (how != planning::RunEnd::Completed)
            m_wasted += weight
                * absl::ToDoubleSeconds(std::max(
                    absl::ZeroDuration(), spent - std::max(saved, run.restored) + run.restored));
        const std::string checkpoint = saved > absl::ZeroDuration()
            ? std::to_string(absl::ToInt64Milliseconds(saved))
            : std::string();
        m_scheduler->runEnded(run.worker, key, how, checkpoint, m_now);
        m_news = true;
        if (!step.gang)
            return;
        // The other members end as well.
        std::vector<workload::RunKey> others;
        for (const Run &other : m_runs) {
            if (other.key.task.job == key.task.job && other.key.run == key.run)
                others.push_back(other.key);
        }
        for (const workload::RunKey &other : others)
            end(other, how == planning::RunEnd::Completed ? how : planning::RunEnd::Broken);
    }

    void list()
    {
        for (auto &[key, worker] : m_workers) {
            if (!worker.changed && m_now - worker.listedAt < ListingPeriod)
                continue;
            worker.changed = false;
            worker.listedAt = m_now;
            m_scheduler->beginListing(key);
            for (const Run &run : m_runs) {
                if (run.worker == key)
                    m_scheduler->runSeen(
                        key, run.key,
                        static_cast<int>(100 * absl::FDivDuration(run.done, run.job->work)), m_now);
            }
        }
    }

    void carryOut(const planning::Order &order)
    {
        const auto found = std::find_if(m_runs.begin(), m_runs.end(),
                                        [&order](const Run &run) { return run.key == order.run; });
        if (order.kind == planning::Order::Kind::Stop) {
            if (found == m_runs.end())
                m_scheduler->runAbsent(order.worker, order.run);
            else if (found->stopsAt == absl::InfiniteFuture())
                found->stopsAt = m_now + m_day.stopTime * uniform(0.3, 1);
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
            run.restored = absl::Milliseconds(std::stoll(order.checkpoint));
        run.done = run.restored;
        run.fails = chance(FailingRuns / run.job->job.steps[0].tasks);
        run.factor = run.job->factors[static_cast<std::size_t>(order.run.task.index)];
        m_runs.push_back(run);
        m_workers.at(order.worker).changed = true;
    }

    void noteEnded()
    {
        for (const std::string &id : m_scheduler->takeCompleted())
            m_completedAt.emplace(id, m_now);
    }

    DayOutcome outcome() const
    {
        DayOutcome result;
        std::map<std::string, double> owed;
        std::map<std::string, double> earned;
        double served = 0;
        double counted = 0;
        for (const LoadedJob &job : m_jobs) {
            const auto completed = m_completedAt.find(job.job.id);
            const bool done = completed != m_completedAt.end();
            // A job whose time has not come yet is not owed.
            if (job.arrival > m_now || (!done && m_now < job.arrival + job.objective))
                continue;
            owed[job.job.queue] += job.worth;
            counted += 1;
            const absl::Duration took =
                done ? completed->second - job.arrival : absl::InfiniteDuration();
            const double share = took <= job.objective ? 1
                : took <= job.objective * 3            ? job.lateShare
                                                       : 0;
            earned[job.job.queue] += share * job.worth;
            served += share > 0 ? 1 : 0;
        }
        double allOwed = 0;
        double allEarned = 0;
        result.worstQueue = 1;
        for (const auto &[queue, worth] : owed) {
            allOwed += worth;
            allEarned += earned[queue];
            result.worstQueue = std::min(result.worstQueue, earned[queue] / worth);
        }
        result.worth = allEarned / std::max(allOwed, 1e-9);
        result.served = served / std::max(counted, 1.0);
        result.wasted = m_wasted / std::max(m_spent, 1e-9);
        return result;
    }

    const PlanningDay m_day;
    std::mt19937_64 m_random;
    const std::unique_ptr<DayScheduler> m_scheduler;
    const core::Instant m_begin = absl::UnixEpoch() + absl::Hours(1);
    core::Instant m_now;
    core::Instant m_nextPlan = absl::InfinitePast();
    bool m_news = false;
    std::map<std::string, SimulatedWorker> m_workers;
    std::vector<LoadedJob> m_jobs;
    std::map<std::string, std::size_t> m_indices;
    std::vector<Run> m_runs;
    std::map<std::string, core::Instant> m_completedAt;
    int m_made = 0;
    double m_spent = 0;
    double m_wasted = 0;
};

} // namespace

PlanningDay firstDay(const std::string &accountMix, double load)
{
    const bool prairie = accountMix == "prairie";
    const std::int64_t scale = prairie ? 2 : 1;
    PlanningDay day;
    day.capacity = {32000 * scale, 65536 * scale, 8};
    day.stopTime = prairie ? absl::Milliseconds(900) : absl::Milliseconds(200);
    const std::vector<std::int64_t> sizes = {1, 2, 4, 8, 8};
    const double urgentError = prairie ? 0.2 : 0.9;
    const double regularError = prairie ? 0.9 : 0.5;
    day.queues = {{0, 0.38 * load, 2100, 0.5, 3.2, 3700 * scale, 10000, sizes, 0.5, 0.8, 0,
                   urgentError, 1.5, 250, 4, 0.2},
                  {1, 0.28 * load, 9400, 0.3, 1.5, 13000 * scale, 19000 * scale, sizes, 0.5, 0.6,
                   0.45, regularError, 3, 1000, 3, 0.3},
                  {2,
                   0.13 * load,
                   8100,
                   0.3,
                   11,
                   2800 * scale,
                   prairie ? 15000 : 4100,
                   {1},
                   0,
                   0,
                   0.45,
                   0.9,
                   3,
                   3000,
                   1,
                   0.3}};
    return day;
}

PlanningDay grownDay(const std::string &accountMix, double load)
{
    PlanningDay day = firstDay(accountMix, load);
    day.workers = 57;
    day.workersPerRack = 8;
    day.queues[0].perSecond = 1.8 * load;
    day.queues[0].meanTasks = 4.8;
    day.queues[1].perSecond = 0.55 * load;
    day.queues[1].meanTasks = 6;
    day.queues[2].perSecond = 0.28 * load;
    day.queues[2].meanTasks = 40;
    day.queues[2].meanWorkMs = 8100;
    return day;
}

DayOutcome playDay(const PlanningDay &day, std::uint64_t seed, bool fifo)
{
    return DayPlay(day, seed, fifo).play();
}

} // namespace oleandercross::bench
