#include "restartcluster.h"

#include <thread>

using namespace oleandercross;
using namespace oleandercross::control;
using namespace oleandercross::control::testing;

namespace {

// An agent whose calls the test makes in place of a leader.
struct LedAgent
{
    LedAgent()
    {
        worker.boot("i-1", 1000);
        agent.start();
        agent.heartbeat(worker.heartbeat());
    }

    ~LedAgent()
    {
        for (Gate *gate : {&port.starts, &port.acknowledgements, &port.lists})
            gate->open();
        agent.stop();
    }

    // Returns the state once it meets the condition.
    AgentState stateWith(const std::function<bool(const AgentState &)> &condition)
    {
        std::optional<AgentState> state;
        REQUIRE(waitUntil([&] {
            WatchCall call;
            call.term = {1, 0};
            state = agent.watch(call);
            return state && condition(*state);
        }));
        return *state;
    }

    std::vector<OrderResult> call(const Term &term, std::int64_t acknowledged,
                                  const std::vector<workload::RunKey> &starts)
    {
        OrderCall call;
        call.term = term;
        call.renewUntilMs = absl::ToUnixMillis(core::BootClock().now() + absl::Hours(1));
        call.workerIncarnation = "side/i-1/1000";
        call.acknowledged = acknowledged;
        for (const workload::RunKey &run : starts) {
            planning::Order order;
            order.run = run;
            call.orders.push_back(order);
        }
        return agent.execute(call).value();
    }

    // Starts a run and completes it. Returns the state that lists its end.
    AgentState completeFirstRun()
    {
        const AgentState listed = stateWith([](const AgentState &s) { return s.listed; });
        REQUIRE(call(listed.term, 0, {First}) == std::vector{OrderResult::Done});
        REQUIRE(worker.completeAll() == 1);
        return stateWith([](const AgentState &s) { return s.runs.ended.size() == 1; });
    }

    bool secondStarted() const { return worker.starts().contains(Second.task); }

    const workload::RunKey First{{JobBefore, 0, 0, 0}, 1};
    const workload::RunKey Second{{JobAfter, 0, 0, 0}, 1};
    SimulatedWorker worker;
    LossyPort port{worker};
    Agent agent{{"side", Lease}, port};
};

// Answers a leader's calls for a worker that carries out each start, and whose next boot has
// completed all of them.
class ScriptedAgent
{
public:
    explicit ScriptedAgent(RowStore &store)
        : m_port(freePort())
        , m_server(onLoopback(m_port), Key)
    {
        m_state.incarnation = "agent";
        m_state.version = 1;
        m_state.worker = SimulatedWorker().report("i-1", 1000);
        m_state.listed = true;
        m_server.add("watch", [this](const Json::Value &params) {
            return std::optional(watch(watchCallFromJson(params)));
        });
        m_server.add("orders", [this](const Json::Value &params) {
            return std::optional(execute(*orderCallFromJson(params)));
        });
        REQUIRE(m_server.start());
        announce(store, {"side-1", MemberRole::Agent, {"127.0.0.1", m_port}, "life"});
    }

    ~ScriptedAgent() { m_server.stop(); }

    // Starts the next boot, which lists the ends of all runs, at most `listed` at once.
    void restart(std::size_t listed)
    {
        absl::MutexLock lock(&m_mutex);
        m_listed = listed;
        m_state.worker->startedAtMs = 2000;
        ++m_termNumber;
        for (const RunningTask &task : std::exchange(m_state.runs.running, {}))
            m_ended.push_back({static_cast<std::int64_t>(m_ended.size()) + 1,
                               task.run,
                               planning::RunEnd::Completed,
                               {}});
    }

    // Returns the tasks of all starts; a task that was started twice is in it twice.
    std::multiset<workload::TaskKey> started() const
    {
        absl::MutexLock lock(&m_mutex);
        return m_started;
    }

private:
    Json::Value watch(const WatchCall &call)
    {
        absl::SleepFor(PollPeriod);
        absl::MutexLock lock(&m_mutex);
        m_state.term = {call.term.epoch, std::max(call.term.number, m_termNumber)};
        m_state.clockMs = absl::ToUnixMillis(core::BootClock().now());
        ++m_state.version;
        m_state.runs.ended.assign(
            m_ended.begin(),
            m_ended.begin() + static_cast<std::ptrdiff_t>(std::min(m_listed, m_ended.size())));
        m_state.runs.moreEnded = m_ended.size() > m_listed;
        return toJson(m_state);
    }

    Json::Value execute(const OrderCall &call)
    {
        absl::MutexLock lock(&m_mutex);
        const bool present = call.workerIncarnation == incarnationKey("side-1", *m_state.worker);
        if (present)
            std::erase_if(m_ended,
                          [&](const EndedTask &end) { return end.number <= call.acknowledged; });
        Json::Value answer(Json::objectValue);
        for (const planning::Order &order : call.orders) {
            if (present && order.kind == planning::Order::Kind::Start) {
                m_started.insert(order.run.task);
                m_state.runs.running.push_back({order.run, {}, 10});
            }
            answer["results"].append(
                static_cast<int>(present ? OrderResult::Done : OrderResult::NotApplicable));
        }
        return answer;
    }

    const int m_port;
    rpc::Server m_server;
    mutable absl::Mutex m_mutex;
    AgentState m_state ABSL_GUARDED_BY(m_mutex);
    std::int64_t m_termNumber ABSL_GUARDED_BY(m_mutex) = 0;
    std::size_t m_listed ABSL_GUARDED_BY(m_mutex) = 0;
    std::vector<EndedTask> m_ended ABSL_GUARDED_BY(m_mutex);
    std::multiset<workload::TaskKey> m_started ABSL_GUARDED_BY(m_mutex);
};

} // namespace

// Guards against a task that is started again although it has ended: an acknowledgement for the
// earlier boot of a worker removes the end from the list of the present one before it is read.
TEST_CASE("an acknowledgement does not remove ends of a later boot that were not listed")
{
    struct Case
    {
        const char *what;
        // Brings the second run onto the later boot, completes it there and lets the
        // acknowledgement of the first run arrive after that.
        std::function<void(LedAgent &, const Term &)> act;
    };
    const Case c = GENERATE(values<Case>({
        {"a start overtakes the acknowledgement",
         [](LedAgent &a, const Term &term) {
             a.port.acknowledgements.close();
             a.call(term, 1, {});
             REQUIRE(waitUntil([&] { return a.port.acknowledgements.hasWaiting(); }));
             a.worker.boot("i-1", 2000);
             std::thread start([&] { a.call(term, 0, {a.Second}); });
             waitUntil([&] { return a.secondStarted(); }, absl::Seconds(1));
             a.worker.completeAll();
             a.port.acknowledgements.open();
             start.join();
         }},
        {"a start between the list and the acknowledgement",
         [](LedAgent &a, const Term &term) {
             a.port.lists.close();
             REQUIRE(waitUntil([&] { return a.port.lists.hasWaiting(); }));
             a.worker.boot("i-1", 2000);
             a.call(term, 0, {a.Second});
             REQUIRE(a.secondStarted());
             a.worker.completeAll();
             a.call(term, 1, {});
             a.port.lists.open();
             waitUntil([&] { return a.worker.acknowledged() == 1; }, absl::Seconds(1));
         }},
        {"an acknowledgement is carried out late",
         [](LedAgent &a, const Term &term) {
             a.port.acknowledgementsDelayed = true;
             a.call(term, 1, {});
             REQUIRE(waitUntil([&] { return a.worker.acknowledged() == 1; }));
             a.port.answersLost = true;
             a.worker.boot("i-1", 2000);
             REQUIRE(waitUntil([&] {
                 const AgentState state = a.stateWith([](const AgentState &) { return true; });
                 a.call(state.term, 0, {a.Second});
                 return a.secondStarted();
             }));
             a.worker.completeAll();
             a.port.carryOutDelayed();
             a.port.answersLost = false;
         }},
    }));
    CAPTURE(c.what);
    LedAgent a;
    c.act(a, a.completeFirstRun().term);
    a.agent.heartbeat(a.worker.heartbeat());
    const AgentState state = a.stateWith(
        [](const AgentState &s) { return s.worker && s.worker->startedAtMs == 2000 && s.listed; });
    // A start that waited for the acknowledgement may have begun the run on the later boot.
    CHECK(state.runs.ended.size() + state.runs.running.size() == (a.secondStarted() ? 1 : 0));
}

// Guards against a task that runs twice at the same time: a start without an answer may be carried
// out by the next boot of the worker, after the worker has been given up.
TEST_CASE("a run whose start got no answer waits until no boot of its worker can begin it")
{
    struct Case
    {
        const char *what;
        bool processEnds;
        // How long the task could start elsewhere unnoticed.
        absl::Duration wait;
    };
    const Case c = GENERATE(values<Case>({
        {"the worker's process ends", true, absl::Seconds(2)},
        {"the worker does not answer until its lease is over", false, absl::Seconds(12)},
    }));
    CAPTURE(c.what);
    Cluster cluster;
    cluster.worker.boot("i-1", 1000);
    cluster.startAgent();
    cluster.agent().heartbeat(cluster.worker.heartbeat());
    REQUIRE(waitUntil([&] { return cluster.worker.listings() > 1; }));
    cluster.port.startsDelayed = true;
    // Fits onto each worker once.
    cluster.submit(JobBefore, {1000, 1000, 5});
    REQUIRE(waitUntil([&] { return cluster.port.delayedCalls() > 0; }));
    cluster.addOtherWorkers();
    (c.processEnds ? cluster.port.refusing : cluster.port.silent) = true;
    waitUntil([&] { return cluster.log.starts(JobBefore) > 0; }, c.wait);
    cluster.worker.boot("i-1", 2000);
    cluster.port.carryOutDelayed();
    cluster.port.startsDelayed = false;
    cluster.port.refusing = false;
    cluster.port.silent = false;
    CHECK(cluster.complete(JobBefore));
    CHECK_THAT(cluster.log.simultaneousRuns(), Catch::Equals(std::vector<std::string>()));
}

// Guards against starting tasks again that a new boot has completed: a list names only some of the
// ended runs.
TEST_CASE("tasks execute once if a worker that restarts under its id lists only some of their ends")
{
    FakeRowStore store;
    ScriptedAgent agent(store);
    EntryProcess entry(store, "front", Lease);
    for (const char *id : {JobBefore, JobAfter}) {
        workload::Job many = job(id, 300, {10, 10, 0});
        many.steps[0].gang = false;
        REQUIRE(entry.entry.submit(many, nearDeadline()) == SubmitOutcome::Accepted);
    }
    REQUIRE(waitUntil([&] { return agent.started().size() == 600; }));
    agent.restart(500);
    for (const char *id : {JobBefore, JobAfter})
        CHECK(entry.reaches(id, planning::JobState::Completed));
    CHECK(agent.started().size() == 600);
}
