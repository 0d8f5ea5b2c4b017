#include "world.h"

#include <absl/strings/str_cat.h>

#include <algorithm>

namespace oleandercross::fuzz {

namespace {

constexpr absl::Duration Tick = absl::Milliseconds(100);
constexpr absl::Duration StoreTimeout = absl::Milliseconds(400);
const core::DataCentreId DataCentre("brum");

std::string nameOf(int entry)
{
    return absl::StrCat("entry", entry);
}

gang::Epoch epochOf(const gang::LedgerEvent &message)
{
    return std::visit(
        [](const auto &concrete) -> gang::Epoch {
            if constexpr (requires { concrete.epoch; })
                return concrete.epoch;
            else
                return 0;
        },
        message);
}

gang::WriteOutcome outcomeOf(core::ResultCode code)
{
    switch (code) {
    case core::ResultCode::Ok:
        return gang::WriteOutcome::Applied;
    case core::ResultCode::VersionConflict:
        return gang::WriteOutcome::Conflict;
    case core::ResultCode::StoreUnavailable:
        return gang::WriteOutcome::NotApplied;
    default:
        return gang::WriteOutcome::Unknown;
    }
}

} // namespace

void World::startEntry(EntryNode &entry)
{
    entry.process.alive = true;
    entry.reported.clear();
    entry.operations.clear();
    ownership::LeaseSettings settings;
    settings.dataCentre = DataCentre;
    settings.self = core::EntryId(nameOf(entry.index));
    settings.incarnation = absl::ToUnixMicros(m_now);
    settings.witnesses = Entries - 1;
    entry.lease = std::make_unique<ownership::LeaseHolder>(settings);
    post(entry.process, absl::Milliseconds(randomBelow(100)), [this, &entry] { tickEntry(entry); });
}

void World::tickEntry(EntryNode &entry)
{
    applyLease(entry, ownership::LeaseTick{});
    if (entry.lease->heldEpoch() != 0)
        requestReports(entry);
    std::vector<gang::GangKey> keys;
    for (const auto &[key, operation] : entry.operations)
        keys.push_back(key);
    for (const gang::GangKey &key : keys)
        applyCoordinator(entry, key, gang::CoordinatorTick{});
    post(entry.process, Tick, [this, &entry] { tickEntry(entry); });
}

void World::applyLease(EntryNode &entry, const ownership::LeaseEvent &event)
{
    for (const ownership::LeaseAction &action : entry.lease->apply(event, m_now)) {
        // State changes take effect immediately; calls are separate events.
        if (const auto *lead = std::get_if<ownership::BecomeLeader>(&action)) {
            const std::string name =
                absl::StrCat(nameOf(entry.index), "#", entry.process.generation);
            if (m_leaders.emplace(lead->epoch, name).first->second != name)
                reportViolation(absl::StrCat("two processes lead epoch ", lead->epoch));
            entry.reported.clear();
            entry.operations.clear();
            continue;
        }
        if (std::holds_alternative<ownership::Resign>(action)) {
            entry.operations.clear();
            continue;
        }
        post(entry.process, absl::Microseconds(randomBelow(2000)), [this, &entry, action] {
            if (beginAction(entry.process))
                execute(entry, action);
        });
    }
}

void World::execute(EntryNode &entry, const ownership::LeaseAction &action)
{
    if (std::holds_alternative<ownership::ReadRows>(action))
        return storeRead(entry);
    if (const auto *write = std::get_if<ownership::WriteRows>(&action)) {
        return storeWrite(entry, write->transaction,
                          [this, &entry, id = write->transaction.writeId](core::ResultCode code,
                                                                          std::int64_t version) {
                              applyLease(entry, ownership::RowsWritten{id, code, version});
                          });
    }
    const auto *release = std::get_if<ownership::AnnounceRelease>(&action);
    const bool queryWitnesses = std::holds_alternative<ownership::QueryWitnesses>(action);
    if (release == nullptr && !queryWitnesses)
        return;
    for (EntryNode &other : m_entries) {
        const std::string from = nameOf(entry.index);
        const std::string to = nameOf(other.index);
        if (&other == &entry || isCut(from, to) || chance(m_messageLoss))
            continue;
        if (release != nullptr) {
            deliver(other.process, latency(), [this, &other, epoch = release->epoch] {
                applyLease(other, ownership::LeaseReleased{epoch});
            });
            continue;
        }
        const int generation = entry.process.generation;
        deliver(
            other.process, latency(),
            [this, &entry, &other, from, to, generation, askedAt = m_now] {
                const ownership::StoreView view = other.lease->storeView(m_now);
                if (isCut(from, to) || entry.process.generation != generation)
                    return;
                post(entry.process, latency(), [this, &entry, to, askedAt, view] {
                    applyLease(entry, ownership::WitnessAnswered{core::EntryId(to), askedAt, view});
                });
            });
    }
}

void World::storeRead(EntryNode &entry)
{
    const Instant sentAt = m_now;
    if (m_storeDown || m_now < entry.storeCutUntil || chance(m_storeLoss)) {
        return post(entry.process, StoreTimeout,
                    [this, &entry] { applyLease(entry, ownership::RowsUnreadable{}); });
    }
    post(entry.process, latency(), [this, &entry, sentAt] {
        const auto lease = m_table.read("lease/" + DataCentre.str());
        post(entry.process, latency(), [this, &entry, sentAt, lease] {
            const auto epoch = m_table.read("epoch/" + DataCentre.str());
            applyLease(entry, ownership::RowsRead{sentAt, lease, epoch});
        });
    });
}

void World::storeWrite(EntryNode &entry, const platform::Transaction &transaction,
                       std::function<void(core::ResultCode, std::int64_t)> done)
{
    const auto answer = [this, &entry, done](core::ResultCode code, std::int64_t version,
                                             absl::Duration delay) {
        post(entry.process, delay, [done, code, version] { done(code, version); });
    };
    if (m_storeDown || m_now < entry.storeCutUntil)
        return answer(core::ResultCode::StoreUnavailable, 0, StoreTimeout);
    if (chance(m_storeLoss)) {
        // The answer is lost. The write is lost too, or takes effect immediately or after a delay.
        if (chance(0.7)) {
            schedule(absl::Milliseconds(chance(0.5) ? randomBelow(20) : randomBelow(5000)),
                     [this, transaction] { m_table.write(transaction); });
        }
        return answer(core::ResultCode::OutcomeUnknown, 0, StoreTimeout);
    }
    const int generation = entry.process.generation;
    schedule(latency(), [this, &entry, transaction, answer, generation] {
        const auto version = m_table.write(transaction);
        if (entry.process.generation == generation && entry.process.alive)
            answer(version ? core::ResultCode::Ok : core::ResultCode::VersionConflict,
                   version.value_or(0), latency());
    });
}

void World::requestReports(EntryNode &entry)
{
    for (int agent = 0; agent < agentCount(); ++agent) {
        if (entry.reported.contains(agent))
            continue;
        const gang::Epoch epoch = entry.lease->heldEpoch();
        callAgent(entry, agent, gang::ReportRequest{epoch},
                  [this, &entry, agent, epoch](const gang::Answer &answer) {
                      if (answer.code == core::ResultCode::StaleEpoch)
                          applyLease(entry, ownership::EpochObserved{answer.epoch});
                      else if (answer.code == core::ResultCode::Ok
                               && entry.lease->heldEpoch() == epoch)
                          entry.reported.insert(agent);
                  });
    }
}

gang::Answer World::handle(AgentNode &agent, const gang::LedgerEvent &message, gang::Epoch epoch)
{
    const gang::Answer answer = applyLedger(agent, message).answer;
    if (epoch < agent.highestSeenEpoch && answer.code == core::ResultCode::Ok)
        reportViolation(absl::StrCat("agent", agent.index, " obeyed the stale epoch ", epoch));
    agent.highestSeenEpoch = std::max(agent.highestSeenEpoch, epoch);
    return answer;
}

void World::callAgent(EntryNode &entry, int index, const gang::LedgerEvent &message,
                      std::function<void(const gang::Answer &)> done)
{
    AgentNode &agent = m_agents[static_cast<std::size_t>(index)];
    const gang::Epoch epoch = epochOf(message);
    const std::string from = nameOf(entry.index);
    const std::string to = absl::StrCat("agent", index);
    if (isCut(from, to) || chance(m_messageLoss))
        return;
    // A delayed copy may reach the agent's next incarnation.
    if (chance(m_messageLoss)) {
        deliver(agent.process, absl::Milliseconds(randomBelow(6000)),
                [this, &agent, message, epoch] { handle(agent, message, epoch); });
    }
    const int generation = entry.process.generation;
    deliver(agent.process, latency(), [this, &entry, &agent, message, from, to, generation, done] {
        const gang::Answer answer = applyLedger(agent, message).answer;
        if (isCut(from, to) || chance(m_messageLoss) || entry.process.generation != generation)
            return;
        post(entry.process, latency(), [done, answer] { done(answer); });
    });
}

World::EntryNode *World::leader()
{
    for (EntryNode &entry : m_entries) {
        const bool up = entry.process.alive && m_now >= entry.process.pausedUntil;
        if (up && entry.lease->mayDecide(m_now))
            return &entry;
    }
    return nullptr;
}

void World::startGang(int memberMask, int accelerators, bool required)
{
    EntryNode *entry = leader();
    if (entry == nullptr)
        return;
    gang::GangOperation operation;
    operation.key = {core::JobId(absl::StrCat("job", ++m_jobs)), 1};
    operation.epoch = entry->lease->heldEpoch();
    operation.recordRequired = required;
    for (int i = 0; i < agentCount(); ++i) {
        if ((memberMask >> i & 1) == 0)
            continue;
        if (!entry->reported.contains(i))
            return;
        // The agent decides whether accelerators are free. Requests for busy ones test its checks
        // against a leader with outdated state.
        std::vector<int> unused = m_agents[static_cast<std::size_t>(i)].ledger->freeAccelerators();
        while (static_cast<int>(unused.size()) < accelerators)
            unused.push_back(static_cast<int>(unused.size()) % 4);
        gang::Member member{{core::AgentId(absl::StrCat("agent", i)), absl::StrCat(i)}, {}};
        // One task on an odd number of accelerators, two on an even number.
        const int tasks = accelerators % 2 == 0 ? 2 : 1;
        const int each = accelerators / tasks;
        for (int task = 0; task < tasks; ++task) {
            platform::TaskStart &start = member.tasks.emplace_back();
            start.resources = {each, each, 1024};
            start.accelerators.assign(unused.begin() + task * each,
                                      unused.begin() + (task + 1) * each);
        }
        operation.members.push_back(std::move(member));
    }
    const std::string row = "job/" + operation.key.job.str();
    operation.decision.writeId = absl::StrCat(row, "/", operation.epoch);
    operation.decision.conditions = {entry->lease->epochCondition(), {row, 0}};
    operation.decision.puts = {{row, absl::StrCat(operation.epoch)}};
    m_gangs.push_back(operation.key);
    beginOperation(*entry, std::move(operation));
}

void World::stopGang(const gang::GangKey &key)
{
    EntryNode *entry = leader();
    if (entry == nullptr || entry->operations.contains(key))
        return;
    gang::GangOperation operation;
    operation.kind = gang::GangOperation::Kind::Stop;
    operation.key = key;
    operation.epoch = entry->lease->heldEpoch();
    // In production the job row lists the members; here they follow from the tasks on the workers.
    for (const AgentNode &agent : m_agents) {
        for (const auto &[id, task] : agent.worker) {
            if (gang::parseTaskId(id)->key == key) {
                operation.members.push_back(
                    {{core::AgentId(absl::StrCat("agent", agent.index)), absl::StrCat(agent.index)},
                     {}});
            }
        }
    }
    if (!operation.members.empty())
        beginOperation(*entry, std::move(operation));
}

void World::beginOperation(EntryNode &entry, gang::GangOperation operation)
{
    const gang::GangKey key = operation.key;
    entry.operations[key] = {std::make_unique<gang::Coordinator>(std::move(operation)), true};
    applyCoordinator(entry, key, gang::BeginOperation{});
}

void World::applyCoordinator(EntryNode &entry, const gang::GangKey &key,
                             const gang::CoordinatorEvent &event)
{
    const auto it = entry.operations.find(key);
    if (it == entry.operations.end())
        return;
    for (const gang::CoordinatorAction &action : it->second.coordinator->apply(event, m_now)) {
        post(entry.process, absl::Microseconds(randomBelow(2000)), [this, &entry, key, action] {
            if (beginAction(entry.process))
                execute(entry, key, action);
        });
    }
    if (it->second.coordinator->finished())
        entry.operations.erase(it);
}

void World::execute(EntryNode &entry, const gang::GangKey &key,
                    const gang::CoordinatorAction &action)
{
    if (const auto *send = std::get_if<gang::SendToMember>(&action)) {
        if (entry.lease->mayDecide(m_now))
            sendToMember(entry, key, *send);
    } else if (const auto *write = std::get_if<gang::WriteDecision>(&action)) {
        storeWrite(entry, write->transaction,
                   [this, &entry, key](core::ResultCode code, std::int64_t) {
                       applyCoordinator(entry, key, gang::DecisionWritten{outcomeOf(code)});
                   });
    } else if (const auto *check = std::get_if<gang::CheckDecision>(&action)) {
        std::optional<bool> applied;
        if (!m_storeDown && m_now >= entry.storeCutUntil && !chance(m_storeLoss))
            applied = m_table.applied(check->transaction.writeId);
        post(entry.process, latency(), [this, &entry, key, applied] {
            applyCoordinator(entry, key, gang::DecisionChecked{applied});
        });
    } else if (std::holds_alternative<gang::GangStarted>(action)) {
        ++m_startedGangs;
    } else if (const auto *failed = std::get_if<gang::GangNotStarted>(&action)) {
        if (failed->reason.code != core::ResultCode::StaleEpoch)
            m_stopDeadlines[key] = m_now + gang::GangStopBound;
    } else if (const auto *stopped = std::get_if<gang::GangStopped>(&action)) {
        if (stopped->reason.code != core::ResultCode::StaleEpoch)
            m_stopDeadlines[key] = m_now + gang::GangStopBound;
    }
}

void World::sendToMember(EntryNode &entry, const gang::GangKey &key, const gang::SendToMember &send)
{
    const core::AgentId agent = send.peer.agent;
    const int index = std::stoi(send.peer.address);
    std::visit(
        [&](const auto &message) {
            using Message = std::decay_t<decltype(message)>;
            gang::MemberAnswered answered;
            answered.agent = agent;
            if constexpr (std::is_same_v<Message, gang::Reserve>)
                answered.round = message.round;
            else if constexpr (std::is_same_v<Message, gang::Commit>)
                answered.kind = gang::MessageKind::Commit;
            else if constexpr (std::is_same_v<Message, gang::Abort>)
                answered.kind = gang::MessageKind::Abort;
            else
                answered.kind = gang::MessageKind::StopTask;
            callAgent(entry, index, message, [this, &entry, key, answered](const auto &answer) {
                gang::MemberAnswered event = answered;
                event.answer = answer;
                applyCoordinator(entry, key, event);
                if (answer.code == core::ResultCode::StaleEpoch)
                    applyLease(entry, ownership::EpochObserved{answer.epoch});
            });
        },
        send.message);
}

} // namespace oleandercross::fuzz
