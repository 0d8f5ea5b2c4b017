#include <oleandercross/control/rowstore.h>
#include <oleandercross/core/text.h>
#include <oleandercross/planning/jobrecord.h>

#include <catch2/catch.hpp>

#include <random>

using namespace oleandercross;
using namespace oleandercross::planning;

namespace {

constexpr int Seeds = 30;
constexpr int EventsPerSeed = 400;

// Changes a job at random and stores it group by group, as a leader does.
class StoredJob
{
public:
    explicit StoredJob(unsigned seed)
        : m_random(seed)
        , m_job(drawJob())
        , m_record(m_job, m_now)
    {
        m_record.openDueOccurrences(0);
    }

    void step()
    {
        m_now += absl::Milliseconds(100);
        if (chance(0.1))
            m_record.openDueOccurrences(absl::ToUnixMillis(m_now));
        const int changes = draw(1, 40);
        for (int i = 0; i < changes; ++i)
            changeTask();
        if (chance(0.002))
            m_record.cancel(m_now);
    }

    // Stores the changes. With `interrupted`, only some groups, after which another process
    // restores the job.
    void store(bool interrupted)
    {
        const std::vector<ProgressGroup> groups = m_record.takeProgressChanges();
        const std::size_t stored = interrupted
            ? static_cast<std::size_t>(draw(0, static_cast<int>(groups.size()) - 1))
            : groups.size();
        for (std::size_t i = 0; i < groups.size(); ++i)
            checkLimits(groups[i]);
        for (std::size_t i = 0; i < stored; ++i)
            apply(groups[i]);
        if (interrupted) {
            restore();
            return;
        }
        CHECK(m_rows == m_record.encode());
        m_completed.insert(m_newlyCompleted.begin(), m_newlyCompleted.end());
        m_newlyCompleted.clear();
    }

    void restore()
    {
        JobRecord restored(m_job, m_now);
        REQUIRE(restored.restore(m_rows, m_now));
        for (const workload::TaskKey &key : m_completed) {
            const Task *task = restored.task(key);
            CHECK((ended(restored.state()) || !task || task->phase == TaskPhase::Done));
        }
        // The ends of these tasks were not stored, so their workers have not removed them.
        m_newlyCompleted.clear();
        m_record = std::move(restored);
        m_record.openDueOccurrences(absl::ToUnixMillis(m_now));
        // A leader stores at once what differs from the rows.
        if (m_record.differsFromStore())
            store(false);
    }

    bool hasEnded() const { return ended(m_record.state()) && !m_record.hasActiveTasks(); }

private:
    int draw(int from, int to) { return std::uniform_int_distribution(from, to)(m_random); }
    bool chance(double probability) { return std::bernoulli_distribution(probability)(m_random); }

    workload::Job drawJob()
    {
        workload::Job job;
        job.id = "5c0e7a21d94b36f8";
        job.terms.service = "service";
        job.terms.attempts = 3;
        const int steps = draw(1, 4);
        for (int i = 0; i < steps; ++i) {
            workload::Step &step = job.steps.emplace_back();
            step.tasks = chance(0.2) ? draw(500, 1000) : draw(1, 100);
            step.gang = chance(0.3);
            if (i > 0 && chance(0.5))
                step.after = {i - 1};
        }
        job.scheduled = chance(0.5);
        job.occurrences = job.scheduled ? draw(1, 20) : 1;
        job.intervalMs = draw(0, 2000);
        REQUIRE_FALSE(workload::findDefect(job));
        return job;
    }

    std::string drawCheckpoint()
    {
        if (chance(0.5))
            return {};
        return std::string(static_cast<std::size_t>(chance(0.1) ? draw(1, 600) : 16),
                           chance(0.02) ? '\n' : 'c');
    }

    std::string drawWorker()
    {
        // The longest names that a worker can have.
        const std::string name(core::MaxNameBytes, chance(0.5) ? '"' : 'w');
        return name + "/" + name + "/" + std::to_string(draw(1, 30));
    }

    void changeTask()
    {
        if (m_record.occurrences().empty())
            return;
        auto occurrence = m_record.occurrences().begin();
        std::advance(occurrence, draw(0, static_cast<int>(m_record.occurrences().size()) - 1));
        const int step = draw(0, static_cast<int>(m_job.steps.size()) - 1);
        const int index = draw(0, m_job.steps[static_cast<std::size_t>(step)].tasks - 1);
        const workload::TaskKey key{m_job.id, occurrence->first, step, index};
        const Task &task = *m_record.task(key);
        if (task.phase == TaskPhase::Active)
            endTask(key, task);
        else if (task.phase == TaskPhase::Pending && !ended(m_record.state()))
            startTask(key);
    }

    // Starts a task, or the whole gang that it belongs to.
    void startTask(const workload::TaskKey &key)
    {
        const StepProgress &progress = *m_record.step(key);
        if (!m_job.steps[static_cast<std::size_t>(key.step)].gang) {
            m_record.start(key, m_record.task(key)->run + 1, drawWorker(), m_now);
            return;
        }
        int run = 0;
        for (const Task &member : progress.tasks) {
            if (member.phase == TaskPhase::Active)
                return;
            run = std::max(run, member.run);
        }
        for (int i = 0; i < static_cast<int>(progress.tasks.size()); ++i)
            m_record.start({key.job, key.occurrence, key.step, i}, run + 1, drawWorker(), m_now);
    }

    void endTask(const workload::TaskKey &key, const Task &task)
    {
        const workload::RunKey run{key, task.run};
        const std::string worker = task.worker;
        const int kind = draw(0, 9);
        if (kind == 0) {
            m_record.requeue(run, worker, m_now);
        } else if (kind == 1) {
            m_record.workerCrashed(run, worker, m_now);
        } else if (kind == 2) {
            m_record.saveCheckpoint(key, drawCheckpoint());
        } else if (kind == 3) {
            m_record.move(run, worker, drawWorker());
        } else if (kind == 4) {
            const RunEnd how = chance(0.05) ? RunEnd::Failed : RunEnd::Stopped;
            m_record.end(run, worker, how, drawCheckpoint(), m_now);
        } else if (mayComplete(run)) {
            noteCompletion(run);
            m_record.end(run, worker, RunEnd::Completed, drawCheckpoint(), m_now);
        } else {
            m_record.end(run, worker, RunEnd::Stopped, drawCheckpoint(), m_now);
        }
    }

    // A gang is ordered after the starts of all its members are stored. One that was restored with
    // only some of them can therefore be stopped but not complete.
    bool mayComplete(const workload::RunKey &run) const
    {
        if (!m_job.steps[static_cast<std::size_t>(run.task.step)].gang)
            return true;
        const std::vector<Task> &members = m_record.occurrences()
                                               .at(run.task.occurrence)
                                               .steps[static_cast<std::size_t>(run.task.step)]
                                               .tasks;
        return std::all_of(members.begin(), members.end(), [&run](const Task &member) {
            return member.phase == TaskPhase::Active && member.run == run.run;
        });
    }

    void noteCompletion(const workload::RunKey &run)
    {
        m_newlyCompleted.insert(run.task);
        if (!m_job.steps[static_cast<std::size_t>(run.task.step)].gang)
            return;
        const std::vector<Task> &members = m_record.step(run.task)->tasks;
        for (int i = 0; i < static_cast<int>(members.size()); ++i) {
            if (members[static_cast<std::size_t>(i)].run == run.run)
                m_newlyCompleted.insert({run.task.job, run.task.occurrence, run.task.step, i});
        }
    }

    static void checkLimits(const ProgressGroup &group)
    {
        // Two entries of a transaction are the leader's row and its condition.
        CHECK(group.size() + 2 <= control::MaxChanges);
        std::size_t bytes = 0;
        for (const ProgressChange &change : group) {
            const std::string value = change.value.value_or(std::string());
            CHECK(value.size() <= control::MaxRowBytes);
            bytes += control::sentSize({control::ProgressTable, change.name, value});
        }
        CHECK(bytes <= control::MaxTransactionBytes);
    }

    void apply(const ProgressGroup &group)
    {
        for (const ProgressChange &change : group) {
            if (change.value)
                m_rows[change.name] = *change.value;
            else
                m_rows.erase(change.name);
        }
    }

    std::mt19937 m_random;
    core::Instant m_now = absl::UnixEpoch();
    const workload::Job m_job;
    JobRecord m_record;
    ProgressRows m_rows;
    // Tasks whose end was stored and acknowledged, and tasks that have completed since.
    std::set<workload::TaskKey> m_completed;
    std::set<workload::TaskKey> m_newlyCompleted;
};

} // namespace

// Guards against rows and transactions that the store rejects, and against completed tasks that are
// started again by a process that restores rows of which only some were written.
TEST_CASE("the stored progress of any job stays within the limits and can be restored at any time")
{
    for (unsigned seed = 1; seed <= Seeds; ++seed) {
        CAPTURE(seed);
        StoredJob job(seed);
        // The first changes may be interrupted too, before the head has been stored.
        job.step();
        job.store(seed % 2 == 0);
        job.store(false);
        for (int i = 0; i < EventsPerSeed && !job.hasEnded(); ++i) {
            job.step();
            job.store(i % 7 == 3);
            if (i % 50 == 49)
                job.restore();
        }
    }
}
