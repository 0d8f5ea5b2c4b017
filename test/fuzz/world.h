#pragma once

#include "tablefake.h"

#include <oleandercross/gang/coordinator.h>
#include <oleandercross/gang/ledger.h>
#include <oleandercross/ownership/leaseholder.h>

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace oleandercross::fuzz {

enum class StepKind {
    StartGang,
    StopGang,
    FinishGang,
    CrashAgent,
    PauseAgent,
    CrashEntry,
    PauseEntry,
    // The process crashes or pauses just before its next action number `b`.
    CrashAgentAfter,
    CrashEntryAfter,
    PauseEntryAfter,
    CutAgents,
    CutEntryFromAgent,
    CutEntries,
    CutStore,
    StoreDown,
    StoreUp,
    StoreLossy,
    NetworkLossy,
    // Adds up to 7 * b milliseconds to the latency of every message and call.
    NetworkSlow,
    CrashWorker,
    SilenceWorker,
    HandOver,
    Heal,
    Wait,
};

// One command of a simulation. The meaning of `a` and `b` depends on the kind. The simulation then
// advances by `ms` milliseconds.
struct Step
{
    StepKind kind = StepKind::Wait;
    int a = 0;
    int b = 0;
    int ms = 0;
};

std::ostream &operator<<(std::ostream &out, const Step &step);

// Deterministic simulation of the ledgers, coordinators and lease holders of one data centre, whose
// messages can be lost, delayed and duplicated. Checks the invariants after every event and keeps
// the first violation.
class World
{
public:
    static constexpr int Entries = 3;

    explicit World(unsigned seed, int agents = 4);

    void apply(const Step &step);
    void run(absl::Duration duration);
    // Removes all faults.
    void heal();
    const std::string &violation() const { return m_violation; }

    // Removes all faults, stops every gang and starts one on all accelerators. Returns a
    // description of the first failure, or an empty string.
    std::string checkRecovery();

    // Returns the number of tasks that currently run on the workers.
    int runningTasks() const;
    int startedGangs() const { return m_startedGangs; }
    int partialGangs() const { return static_cast<int>(m_everPartial.size()); }
    absl::Duration longestPartial() const { return m_longestPartial; }
    int epochs() const { return static_cast<int>(m_leaders.size()); }

private:
    using Instant = core::Instant;
    using Action = std::function<void()>;
    using Random = std::mt19937;

    struct Process
    {
        bool alive = true;
        int generation = 0;
        Instant pausedUntil = absl::InfinitePast();
        // Number of actions before the planned crash or pause; negative if none is planned.
        int actionsBeforeFault = -1;
        absl::Duration plannedPause = absl::ZeroDuration();
        absl::Duration downtime = absl::Seconds(1);
    };

    struct WorkerTask
    {
        platform::TaskStatus status;
        Instant leaseEnd;
        gang::TaskIdentity identity;
    };

    struct AgentNode
    {
        int index = 0;
        Process process;
        std::unique_ptr<gang::Ledger> ledger;
        std::map<std::string, WorkerTask> worker;
        Instant workerSilentUntil = absl::InfinitePast();
        // Highest epoch among the messages processed by this incarnation.
        gang::Epoch highestSeenEpoch = 0;
    };

    struct Operation
    {
        std::unique_ptr<gang::Coordinator> coordinator;
        bool required = false;
    };

    struct EntryNode
    {
        int index = 0;
        Process process;
        std::unique_ptr<ownership::LeaseHolder> lease;
        std::set<int> reported;
        std::map<gang::GangKey, Operation> operations;
        Instant storeCutUntil = absl::InfinitePast();
    };

    struct Partial
    {
        Instant since;
        bool stillPartial = false;
    };

    int agentCount() const { return static_cast<int>(m_agents.size()); }

    // Event queue and processes.
    void schedule(absl::Duration delay, Action action);
    void post(Process &process, absl::Duration delay, Action action);
    void deliver(Process &process, absl::Duration delay, Action action);
    bool beginAction(Process &process);
    void crash(Process &process);
    absl::Duration latency();
    bool chance(double probability);
    int randomBelow(int below);

    // Agents and workers.
    void startAgent(AgentNode &agent);
    void tickAgent(AgentNode &agent);
    gang::LedgerResult applyLedger(AgentNode &agent, const gang::LedgerEvent &event);
    void execute(AgentNode &agent, const gang::LedgerAction &action);
    void perform(AgentNode &agent, const gang::StartWorkerTask &action);
    void perform(AgentNode &agent, const gang::StopWorkerTask &action);
    void perform(AgentNode &agent, const gang::RenewTaskLeases &action);
    void perform(AgentNode &agent, const gang::ListWorkerTasks &action);
    void perform(AgentNode &agent, const gang::ForgetWorkerTasks &action);
    void perform(AgentNode &agent, const gang::PollPeer &action);
    void perform(AgentNode &, const gang::CheckpointWorkerTask &) { }
    void perform(AgentNode &, const gang::ThrottleWorkerTask &) { }
    void perform(AgentNode &, const gang::SendTaskEvent &) { }
    void runOnWorker(AgentNode &agent, const platform::TaskStart &task);
    bool isRunning(const WorkerTask &task) const;

    // Entries and store.
    void startEntry(EntryNode &entry);
    void tickEntry(EntryNode &entry);
    void applyLease(EntryNode &entry, const ownership::LeaseEvent &event);
    void execute(EntryNode &entry, const ownership::LeaseAction &action);
    void requestReports(EntryNode &entry);
    void storeRead(EntryNode &entry);
    void storeWrite(EntryNode &entry, const platform::Transaction &transaction,
                    std::function<void(core::ResultCode, std::int64_t)> done);
    void applyCoordinator(EntryNode &entry, const gang::GangKey &key,
                          const gang::CoordinatorEvent &event);
    void execute(EntryNode &entry, const gang::GangKey &key, const gang::CoordinatorAction &action);
    void sendToMember(EntryNode &entry, const gang::GangKey &key, const gang::SendToMember &send);
    gang::Answer handle(AgentNode &agent, const gang::LedgerEvent &message, gang::Epoch epoch);
    void callAgent(EntryNode &entry, int agent, const gang::LedgerEvent &message,
                   std::function<void(const gang::Answer &)> done);
    void startGang(int memberMask, int accelerators, bool required);
    void stopGang(const gang::GangKey &key);
    void beginOperation(EntryNode &entry, gang::GangOperation operation);
    EntryNode *leader();
    bool isCut(const std::string &a, const std::string &b) const;
    void setCut(const std::string &a, const std::string &b, absl::Duration duration);

    // Invariants.
    void check();
    void checkPartial();
    void checkLeaders();
    void reportViolation(const std::string &message);

    Random m_random;
    Instant m_now;
    std::multimap<Instant, Action> m_events;
    std::vector<AgentNode> m_agents;
    std::vector<EntryNode> m_entries;
    TableFake m_table;
    bool m_storeDown = false;
    double m_storeLoss = 0;
    double m_messageLoss = 0;
    int m_extraLatencyMs = 0;
    std::map<std::pair<std::string, std::string>, Instant> m_cuts;
    std::vector<gang::GangKey> m_gangs;
    int m_jobs = 0;
    int m_startedGangs = 0;
    std::map<gang::Epoch, std::string> m_leaders;
    std::map<std::pair<gang::GangKey, gang::Epoch>, Partial> m_partial;
    std::set<std::pair<gang::GangKey, gang::Epoch>> m_everPartial;
    absl::Duration m_longestPartial;
    // Time from which a gang that the leader has reported as ended must not run.
    std::map<gang::GangKey, Instant> m_stopDeadlines;
    std::string m_violation;
};

} // namespace oleandercross::fuzz
