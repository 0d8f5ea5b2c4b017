#pragma once

#include "runlog.h"
#include "simulatedworker.h"
#include "testprocesses.h"

#include <list>
#include <memory>

namespace oleandercross::control::testing {

inline constexpr absl::Duration Lease = absl::Seconds(6);
// Workers report about this often, so the leader may rely on a wrong report for this long.
inline constexpr absl::Duration HeartbeatPeriod = absl::Milliseconds(1500);
// A fault may keep tasks from being started or completed.
inline constexpr absl::Duration RecoveryTimeout = absl::Seconds(20);

// Stops the callers of pass() while it is closed.
class Gate
{
public:
    void close()
    {
        absl::MutexLock lock(&m_mutex);
        m_closed = true;
    }

    void open()
    {
        absl::MutexLock lock(&m_mutex);
        m_closed = false;
    }

    void pass()
    {
        absl::MutexLock lock(&m_mutex);
        ++m_waiting;
        m_mutex.Await(absl::Condition(
            +[](Gate *self) { return !self->m_closed; }, this));
        --m_waiting;
    }

    bool hasWaiting() const
    {
        absl::MutexLock lock(&m_mutex);
        return m_waiting > 0;
    }

private:
    mutable absl::Mutex m_mutex;
    bool m_closed ABSL_GUARDED_BY(m_mutex) = false;
    int m_waiting ABSL_GUARDED_BY(m_mutex) = 0;
};

// Passes calls on to a worker. While answers are lost, renewals take effect without a response, but
// for one that confirms a new boot.
class LossyPort : public WorkerPort
{
public:
    explicit LossyPort(SimulatedWorker &worker)
        : m_worker(worker)
    { }

    OrderOutcome start(const WorkerReport &worker, const StartOrder &order,
                       absl::Duration timeout) override
    {
        if (refusing)
            return OrderOutcome::NotListening;
        if (startsDelayed) {
            absl::MutexLock lock(&m_mutex);
            m_delayed.emplace_back([this, worker, order] { m_worker.start(worker, order, {}); });
            return OrderOutcome::Unanswered;
        }
        starts.pass();
        return m_worker.start(worker, order, timeout);
    }

    OrderOutcome stop(const WorkerReport &worker, const workload::RunKey &run, std::int64_t fence,
                      absl::Duration timeout) override
    {
        if (refusing)
            return OrderOutcome::NotListening;
        if (silent)
            return OrderOutcome::Unanswered;
        return m_worker.stop(worker, run, fence, timeout);
    }

    OrderOutcome renew(const WorkerReport &worker, const RenewOrder &order, WorkerRuns &runs,
                       absl::Duration timeout) override
    {
        if (refusing)
            return OrderOutcome::NotListening;
        if (silent)
            return OrderOutcome::Unanswered;
        if (order.acknowledged > 0 && acknowledgementsDelayed.exchange(false)) {
            absl::MutexLock lock(&m_mutex);
            m_delayed.emplace_back([this, worker, order] {
                WorkerRuns ignored;
                m_worker.renew(worker, order, ignored, {});
            });
            return OrderOutcome::Unanswered;
        }
        if (order.acknowledged > 0)
            acknowledgements.pass();
        RenewOrder immediate = order;
        if (answersLost)
            immediate.wait = absl::ZeroDuration();
        const OrderOutcome outcome = m_worker.renew(worker, immediate, runs, timeout);
        lists.pass();
        if (!answersLost || (worker.startedAtMs == confirmedStartMs && !confirmed.exchange(true)))
            return outcome;
        return OrderOutcome::Unanswered;
    }

    std::size_t delayedCalls() const
    {
        absl::MutexLock lock(&m_mutex);
        return m_delayed.size();
    }

    // Carries out the calls that were delayed.
    void carryOutDelayed()
    {
        std::vector<std::function<void()>> calls;
        {
            absl::MutexLock lock(&m_mutex);
            calls = std::exchange(m_delayed, {});
        }
        for (const auto &call : calls)
            call();
    }

    std::atomic<bool> answersLost = false;
    std::atomic<std::int64_t> confirmedStartMs = 0;
    std::atomic<bool> confirmed = false;
    // Nothing listens at the worker's address.
    std::atomic<bool> refusing = false;
    // Renewals and stops have no effect and get no answer.
    std::atomic<bool> silent = false;
    // Starts, or the next acknowledgement, get no answer and are carried out by carryOutDelayed().
    std::atomic<bool> startsDelayed = false;
    std::atomic<bool> acknowledgementsDelayed = false;
    // Where calls wait: starts and acknowledgements on their way to the worker, lists on their way
    // back.
    Gate starts;
    Gate acknowledgements;
    Gate lists;

private:
    SimulatedWorker &m_worker;
    mutable absl::Mutex m_mutex;
    std::vector<std::function<void()>> m_delayed ABSL_GUARDED_BY(m_mutex);
};

// A worker that restarts, an entry, and other workers on which the leader may start tasks again.
class Cluster
{
public:
    Cluster()
        : m_entry(m_store, "front", Lease)
    { }

    void startAgent() { m_agent = std::make_unique<AgentProcess>(m_store, port, "side-1", Lease); }

    void restartAgent()
    {
        m_agent.reset();
        startAgent();
    }

    Agent &agent() { return m_agent->agent; }

    // Makes the other workers available to the leader.
    void addOtherWorkers()
    {
        for (const char *number : {"8", "9"}) {
            OtherWorker &other = m_others.emplace_back(log);
            other.worker.boot(absl::StrCat("i-", number), 9000);
            other.agent = std::make_unique<AgentProcess>(m_store, other.worker,
                                                         absl::StrCat("side-", number), Lease);
            WorkerReport report = other.worker.heartbeat();
            report.capacity = {320000, 640000, 32};
            other.agent->agent.heartbeat(report);
            // This job fits onto this worker only.
            const std::string probe = absl::StrCat("000000000000000", number);
            submit(probe, {1000, 1000, 20});
            REQUIRE(waitUntil([&] { return log.starts(probe) == 1; }));
        }
    }

    void submit(const std::string &id, const workload::Demand &demand = {1000, 1000, 1})
    {
        REQUIRE(m_entry.entry.submit(job(id, 1, demand), nearDeadline())
                == SubmitOutcome::Accepted);
    }

    void submitFor(const std::string &service, const std::string &id)
    {
        workload::Job submitted = job(id, 1);
        submitted.terms.service = service;
        REQUIRE(m_entry.entry.submit(submitted, nearDeadline()) == SubmitOutcome::Accepted);
    }

    // Completes all tasks until the job is shown as completed; returns false if it is not.
    bool complete(const std::string &id)
    {
        const auto completed = [&] {
            agent().heartbeat(worker.heartbeat());
            worker.completeAll();
            for (OtherWorker &other : m_others)
                other.worker.completeAll();
            const JobStatus status = m_entry.entry.state(id, nearDeadline());
            return status.kind == JobStatus::Kind::Known
                && status.state == planning::JobState::Completed;
        };
        return waitUntil(completed, RecoveryTimeout);
    }

    void announceOtherName()
    {
        announce(m_store,
                 {"other", MemberRole::Agent, {"127.0.0.1", m_agent->port}, "another life"});
    }

    // Announces the agent again if no leader has called it for a while, as its process does.
    void announceSilentAgent()
    {
        if (core::BootClock().now() - agent().lastContact() > absl::Milliseconds(2500))
            announce(m_store, {"side-1", MemberRole::Agent, {"127.0.0.1", m_agent->port}, "life"});
    }

    RunLog log;
    SimulatedWorker worker{log};
    LossyPort port{worker};

private:
    struct OtherWorker
    {
        explicit OtherWorker(RunLog &log)
            : worker(log)
        { }

        SimulatedWorker worker;
        std::unique_ptr<AgentProcess> agent;
    };

    FakeRowStore m_store;
    EntryProcess m_entry;
    std::unique_ptr<AgentProcess> m_agent;
    std::list<OtherWorker> m_others;
};

inline constexpr char JobBefore[] = "5c0e7a21d94b36f8";
inline constexpr char JobAfter[] = "5c0e7a21d94b36f9";

} // namespace oleandercross::control::testing
