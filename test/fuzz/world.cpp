#include "world.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <ostream>

namespace oleandercross::fuzz {

namespace {

constexpr core::Resources WorkerSize{4, 16, 65536};

std::string describe(const gang::GangKey &key)
{
    return absl::StrCat(key.job.str(), "/", key.attempt);
}

// Selects any non-empty subset of up to 4 agents. Of more agents, selects all or all but one.
int memberMask(int choice, int agents)
{
    const int all = (1 << agents) - 1;
    if (agents <= 4)
        return 1 + choice % all;
    return choice % 3 == 0 ? all : all & ~(1 << (choice % agents));
}

std::pair<std::string, std::string> link(const std::string &a, const std::string &b)
{
    return a < b ? std::pair(a, b) : std::pair(b, a);
}

} // namespace

std::ostream &operator<<(std::ostream &out, const Step &step)
{
    return out << "{StepKind(" << static_cast<int>(step.kind) << "), " << step.a << ", " << step.b
               << ", " << step.ms << "}";
}

World::World(unsigned seed, int agents)
    : m_random(seed)
    , m_now(absl::UnixEpoch() + absl::Hours(1))
    , m_agents(static_cast<std::size_t>(agents))
    , m_entries(Entries)
{
    for (int i = 0; i < agentCount(); ++i) {
        m_agents[i].index = i;
        startAgent(m_agents[i]);
    }
    for (int i = 0; i < Entries; ++i) {
        m_entries[i].index = i;
        startEntry(m_entries[i]);
    }
    run(absl::Seconds(2));
}

void World::schedule(absl::Duration delay, Action action)
{
    m_events.emplace(m_now + delay, std::move(action));
}

// Runs the action in the current incarnation of the process. A crash discards the action and a
// pause delays it.
void World::post(Process &process, absl::Duration delay, Action action)
{
    const int generation = process.generation;
    schedule(delay, [this, &process, generation, action = std::move(action)]() mutable {
        if (!process.alive || process.generation != generation)
            return;
        if (m_now < process.pausedUntil)
            return post(process, process.pausedUntil - m_now, std::move(action));
        action();
    });
}

// Runs the action in the incarnation that has the address on arrival.
void World::deliver(Process &process, absl::Duration delay, Action action)
{
    schedule(delay, [this, &process, action = std::move(action)]() mutable {
        if (process.alive)
            post(process, absl::ZeroDuration(), std::move(action));
    });
}

// Counts an action of the process. Returns false if a planned crash or pause precedes the action.
bool World::beginAction(Process &process)
{
    if (process.actionsBeforeFault < 0 || process.actionsBeforeFault-- > 0)
        return true;
    if (process.plannedPause > absl::ZeroDuration()) {
        process.pausedUntil = m_now + process.plannedPause;
        process.plannedPause = absl::ZeroDuration();
    } else {
        crash(process);
    }
    return false;
}

void World::crash(Process &process)
{
    if (!process.alive)
        return;
    process.alive = false;
    ++process.generation;
    process.actionsBeforeFault = -1;
    process.pausedUntil = absl::InfinitePast();
    for (AgentNode &agent : m_agents) {
        if (&agent.process == &process)
            schedule(process.downtime, [this, &agent] { startAgent(agent); });
    }
    for (EntryNode &entry : m_entries) {
        if (&entry.process == &process)
            schedule(process.downtime, [this, &entry] { startEntry(entry); });
    }
}

absl::Duration World::latency()
{
    return absl::Milliseconds(1 + randomBelow(15 + m_extraLatencyMs));
}

bool World::chance(double probability)
{
    return std::uniform_real_distribution<>(0, 1)(m_random) < probability;
}

int World::randomBelow(int below)
{
    return std::uniform_int_distribution<>(0, below - 1)(m_random);
}

bool World::isCut(const std::string &a, const std::string &b) const
{
    const auto it = m_cuts.find(link(a, b));
    return it != m_cuts.end() && m_now < it->second;
}

void World::setCut(const std::string &a, const std::string &b, absl::Duration duration)
{
    m_cuts[link(a, b)] = m_now + duration;
}

void World::run(absl::Duration duration)
{
    const Instant end = m_now + duration;
    while (!m_events.empty() && m_events.begin()->first <= end && m_violation.empty()) {
        const auto node = m_events.extract(m_events.begin());
        m_now = std::max(m_now, node.key());
        node.mapped()();
        check();
    }
    m_now = end;
}

void World::apply(const Step &step)
{
    AgentNode &agent = m_agents[static_cast<std::size_t>(step.a % agentCount())];
    EntryNode &entry = m_entries[static_cast<std::size_t>(step.a % Entries)];
    const std::string agentName = absl::StrCat("agent", agent.index);
    const std::string entryName = absl::StrCat("entry", entry.index);
    const absl::Duration length = absl::Milliseconds(100) * (1 + step.b);
    switch (step.kind) {
    case StepKind::StartGang:
        startGang(memberMask(step.a, agentCount()), 1 + step.b % 4, step.b % 2 == 0);
        break;
    case StepKind::StopGang:
        if (!m_gangs.empty())
            stopGang(m_gangs[static_cast<std::size_t>(step.a) % m_gangs.size()]);
        break;
    case StepKind::FinishGang:
        if (!m_gangs.empty()) {
            const auto key =
                m_gangs[m_gangs.size() - 1 - step.a % std::min<std::size_t>(m_gangs.size(), 4)];
            for (AgentNode &each : m_agents) {
                for (auto &[id, task] : each.worker) {
                    if (task.identity.key != key || !isRunning(task))
                        continue;
                    schedule(absl::Milliseconds(randomBelow(1000)), [this, &task] {
                        if (isRunning(task))
                            task.status.state = platform::TaskState::Succeeded;
                    });
                }
            }
        }
        break;
    case StepKind::CrashAgent:
        agent.process.downtime = length;
        crash(agent.process);
        break;
    case StepKind::PauseAgent:
        agent.process.pausedUntil = m_now + length;
        break;
    case StepKind::CrashEntry:
        entry.process.downtime = length;
        crash(entry.process);
        break;
    case StepKind::PauseEntry:
        entry.process.pausedUntil = m_now + length;
        break;
    case StepKind::CrashAgentAfter:
        agent.process.actionsBeforeFault = step.b;
        break;
    case StepKind::CrashEntryAfter:
        entry.process.actionsBeforeFault = step.b;
        break;
    case StepKind::PauseEntryAfter:
        entry.process.actionsBeforeFault = step.b;
        entry.process.plannedPause = absl::Milliseconds(500 + randomBelow(6000));
        break;
    case StepKind::CutAgents:
        setCut(agentName, absl::StrCat("agent", (step.a + 1 + step.b) % agentCount()), length);
        break;
    case StepKind::CutEntryFromAgent:
        setCut(entryName, absl::StrCat("agent", step.b % agentCount()), length);
        break;
    case StepKind::CutEntries:
        setCut(entryName, absl::StrCat("entry", (step.a + 1) % Entries), length);
        break;
    case StepKind::CutStore:
        entry.storeCutUntil = m_now + length;
        break;
    case StepKind::StoreDown:
        m_storeDown = true;
        break;
    case StepKind::StoreUp:
        m_storeDown = false;
        break;
    case StepKind::StoreLossy:
        m_storeLoss = step.b / 100.0;
        break;
    case StepKind::NetworkLossy:
        m_messageLoss = step.b / 100.0;
        break;
    case StepKind::NetworkSlow:
        m_extraLatencyMs = 7 * step.b;
        break;
    case StepKind::CrashWorker:
        for (auto &[id, task] : agent.worker) {
            if (isRunning(task))
                task.status.state = platform::TaskState::Failed;
        }
        break;
    case StepKind::SilenceWorker:
        agent.workerSilentUntil = m_now + length;
        break;
    case StepKind::HandOver:
        if (entry.process.alive)
            post(entry.process, latency(),
                 [this, &entry] { applyLease(entry, ownership::HandOver{}); });
        // A process exits after its hand-over and is restarted by its host.
        schedule(absl::Seconds(3), [this, &entry] {
            if (entry.lease && entry.lease->handedOver())
                crash(entry.process);
        });
        break;
    case StepKind::Heal:
        heal();
        break;
    case StepKind::Wait:
        break;
    }
    run(absl::Milliseconds(step.ms));
}

void World::heal()
{
    m_storeDown = false;
    m_storeLoss = 0;
    m_messageLoss = 0;
    m_extraLatencyMs = 0;
    m_cuts.clear();
    for (AgentNode &agent : m_agents) {
        agent.process.actionsBeforeFault = -1;
        agent.workerSilentUntil = absl::InfinitePast();
    }
    for (EntryNode &entry : m_entries) {
        entry.process.actionsBeforeFault = -1;
        entry.storeCutUntil = absl::InfinitePast();
        if (entry.process.alive && entry.lease->handedOver())
            crash(entry.process);
    }
}

std::string World::checkRecovery()
{
    heal();
    // Covers the longest pause or downtime and the election of a new leader.
    run(absl::Seconds(25));
    if (m_violation.empty() && leader() == nullptr)
        return "no leader after the faults";
    for (const gang::GangKey &key : m_gangs)
        stopGang(key);
    // A start with an unknown result keeps its resources reserved for 10 s.
    run(absl::Seconds(15));
    const int before = m_startedGangs;
    startGang((1 << agentCount()) - 1, WorkerSize.accelerators, true);
    run(absl::Seconds(3));
    if (m_violation.empty() && m_startedGangs != before + 1)
        return "no gang on all accelerators after the faults";
    return m_violation;
}

int World::runningTasks() const
{
    int total = 0;
    for (const AgentNode &agent : m_agents) {
        total += static_cast<int>(
            std::count_if(agent.worker.begin(), agent.worker.end(),
                          [this](const auto &entry) { return isRunning(entry.second); }));
    }
    return total;
}

void World::reportViolation(const std::string &message)
{
    if (m_violation.empty())
        m_violation = absl::StrCat(
            message, " at ", absl::FormatDuration(m_now - absl::UnixEpoch() - absl::Hours(1)));
}

void World::check()
{
    checkPartial();
    checkLeaders();
}

// A gang is partial while some of its tasks run and others neither run nor have succeeded.
void World::checkPartial()
{
    struct Count
    {
        int running = 0;
        int accountedFor = 0;
        int expected = 0;
    };
    std::map<std::pair<gang::GangKey, gang::Epoch>, Count> counts;
    for (const AgentNode &agent : m_agents) {
        for (const auto &[id, task] : agent.worker) {
            const bool runs = isRunning(task);
            if (!runs && task.status.state != platform::TaskState::Succeeded)
                continue;
            const gang::TaskIdentity &identity = task.identity;
            Count &count = counts[{identity.key, identity.epoch}];
            count.running += runs ? 1 : 0;
            ++count.accountedFor;
            count.expected = identity.memberCount * identity.taskCount;
            const auto ended = m_stopDeadlines.find(identity.key);
            if (runs && ended != m_stopDeadlines.end() && m_now > ended->second)
                reportViolation(
                    absl::StrCat("gang ", describe(identity.key), " runs after its end"));
        }
    }
    for (auto &[key, partial] : m_partial)
        partial.stillPartial = false;
    for (const auto &[key, count] : counts) {
        if (count.running == 0 || count.accountedFor == count.expected)
            continue;
        m_everPartial.insert(key);
        Partial &partial = m_partial.try_emplace(key, Partial{m_now, true}).first->second;
        partial.stillPartial = true;
        m_longestPartial = std::max(m_longestPartial, m_now - partial.since);
        if (m_now - partial.since > gang::GangStopBound)
            reportViolation(
                absl::StrCat("gang ", describe(key.first), " is partial beyond the bound"));
    }
    std::erase_if(m_partial, [](const auto &entry) { return !entry.second.stillPartial; });
}

void World::checkLeaders()
{
    int leaders = 0;
    for (const EntryNode &entry : m_entries) {
        if (entry.process.alive && entry.lease->mayDecide(m_now)
            && !entry.lease->leadsDuringStoreOutage())
            ++leaders;
    }
    if (leaders > 1)
        reportViolation("two entries may decide");
}

} // namespace oleandercross::fuzz
