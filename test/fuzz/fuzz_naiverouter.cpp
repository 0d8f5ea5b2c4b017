#include "support/naiverouter.h"

#include <oleandercross/dispatch/requesttable.h>

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <functional>
#include <queue>

using namespace oleandercross;
using namespace oleandercross::dispatch;

namespace {

using Route = std::function<std::vector<Action>(const Event &, core::Instant)>;

const core::Instant Start = absl::UnixEpoch() + absl::Hours(1);

struct Arrival
{
    int afterMs = 0;
    int serviceMs = 1;
    int account = 0;

    friend std::ostream &operator<<(std::ostream &out, const Arrival &arrival)
    {
        return out << "{" << arrival.afterMs << ", " << arrival.serviceMs << ", " << arrival.account
                   << "}";
    }
};

struct RunResult
{
    std::map<core::RequestId, Outcome> outcomes;
    core::Instant end = Start;
};

// Runs one router and its agents without faults, with immediate messages and given service times.
class FaultlessRun
{
public:
    FaultlessRun(Route route, int agents, int slots)
        : m_route(std::move(route))
    {
        for (int i = 0; i < agents; ++i) {
            AdmissionSettings settings;
            settings.agent = core::AgentId(std::to_string(i));
            settings.shortSlots = 0;
            m_admissions.push_back(std::make_unique<Admission>(settings, Start));
            m_admissions.back()->setMinion(m_minion, m_service, slots);
            m_tables.push_back(
                std::make_unique<RequestTable>(RequestTableSettings(), *m_admissions.back()));
            announce(i, slots);
        }
    }

    RunResult run(const std::vector<Arrival> &arrivals)
    {
        core::Instant at = Start;
        int number = 0;
        for (const Arrival &arrival : arrivals) {
            at += absl::Milliseconds(arrival.afterMs);
            RequestArrived event;
            event.id = core::RequestId(std::to_string(number++));
            event.account = core::AccountId(std::to_string(arrival.account));
            event.service = m_service;
            event.deadline = Start + absl::Hours(10);
            m_serviceTimes[event.id] = absl::Milliseconds(arrival.serviceMs);
            m_events.emplace(at, event);
        }
        for (core::Instant tick = Start; m_result.outcomes.size() < arrivals.size();
             tick += absl::Milliseconds(10)) {
            m_events.emplace(tick, Tick{});
            while (!m_events.empty() && m_events.begin()->first <= tick)
                processNextEvent();
            RC_ASSERT(tick < Start + absl::Hours(1));
        }
        return m_result;
    }

private:
    void announce(int agent, int slots)
    {
        TargetAnnounced event;
        event.target = {core::AgentId(std::to_string(agent)), 0, m_minion};
        event.service = m_service;
        event.slots = slots;
        event.load.freeSlots = slots;
        m_events.emplace(Start, event);
    }

    void processNextEvent()
    {
        const auto [at, event] = *m_events.begin();
        m_events.erase(m_events.begin());
        for (const std::unique_ptr<Admission> &admission : m_admissions)
            admission->configurationConfirmed(at);
        if (const auto *answered = std::get_if<DispatchAnswered>(&event)) {
            const int agent = m_agentOfRequest.at(answered->id);
            m_tables[agent]->finish(answered->id, answered->answer, at);
        }
        for (const Action &action : m_route(event, at))
            execute(action, at);
        for (std::size_t agent = 0; agent < m_admissions.size(); ++agent)
            grantSlots(agent, at);
    }

    void grantSlots(std::size_t agent, core::Instant at)
    {
        for (const SlotGrant &grant : m_admissions[agent]->grant(at)) {
            const TargetId target = {core::AgentId(std::to_string(agent)), 0, m_minion};
            m_events.emplace(at,
                             SlotsGranted{target, grant.slots, grant.shortSlots, grant.validFor});
        }
    }

    void execute(const Action &action, core::Instant at)
    {
        if (const auto *finish = std::get_if<FinishRequest>(&action)) {
            RC_ASSERT(m_result.outcomes.emplace(finish->id, finish->outcome).second);
            m_result.end = at;
        } else if (const auto *send = std::get_if<DispatchRequest>(&action)) {
            DispatchMessage message = send->message;
            message.agentUptime = at - Start;
            const int agent = std::stoi(message.target.agent.str());
            const Receipt receipt = m_tables[agent]->receive(message, at);
            RC_ASSERT(receipt.kind == Receipt::Kind::Start);
            m_agentOfRequest[message.id] = agent;
            m_events.emplace(
                at + m_serviceTimes.at(message.id),
                DispatchAnswered{
                    message.id, message.attempt, {true, "answer to " + message.id.str()}, {}});
        } else if (const auto *ask = std::get_if<SendSlotDemand>(&action)) {
            m_admissions[std::stoi(ask->target.agent.str())]->demand(
                core::EntryId("e"), m_minion, ask->slots, ask->shortSlots, at);
        }
    }

    const core::ServiceId m_service = core::ServiceId("desk");
    const core::MinionId m_minion = core::MinionId("minion");
    Route m_route;
    std::vector<std::unique_ptr<Admission>> m_admissions;
    std::vector<std::unique_ptr<RequestTable>> m_tables;
    std::multimap<core::Instant, Event> m_events;
    std::map<core::RequestId, absl::Duration> m_serviceTimes;
    std::map<core::RequestId, int> m_agentOfRequest;
    RunResult m_result;
};

std::vector<Arrival> someArrivals()
{
    return *rc::gen::container<std::vector<Arrival>>(
        rc::gen::build<Arrival>(rc::gen::set(&Arrival::afterMs, rc::gen::inRange(0, 10)),
                                rc::gen::set(&Arrival::serviceMs, rc::gen::inRange(1, 60)),
                                rc::gen::set(&Arrival::account, rc::gen::inRange(0, 4))));
}

} // namespace

// Guards against requests that the dispatcher's queues lose, refuse without reason or leave waiting
// although slots are free. Without faults, limits and deadlines, the dispatcher must give the same
// answers as a plain queue. Both keep all slots busy while requests wait, so with total work W,
// longest request L and n slots each finishes within W/n + L after the last arrival (Graham 1966).
TEST_CASE("without faults the dispatcher answers what the naive router answers")
{
    const bool passed = rc::check("same answers, work conserving", [] {
        const std::vector<Arrival> arrivals = someArrivals();
        const int agents = *rc::gen::inRange(1, 4);
        const int slots = *rc::gen::inRange(1, 4);
        auto naive = std::make_shared<test::NaiveRouter>(core::EntryId("e"));
        DispatcherSettings settings;
        settings.entry = core::EntryId("e");
        settings.queueLimit = 100000;
        settings.routing = *rc::gen::arbitrary<bool>() ? Routing::LateBinding : Routing::TwoChoices;
        auto dispatcher = std::make_shared<Dispatcher>(settings, std::mt19937_64(1));
        const RunResult expected =
            FaultlessRun([naive](const Event &e, core::Instant at) { return naive->apply(e, at); },
                         agents, slots)
                .run(arrivals);
        const RunResult actual =
            FaultlessRun(
                [dispatcher](const Event &e, core::Instant at) { return dispatcher->apply(e, at); },
                agents, slots)
                .run(arrivals);
        RC_ASSERT(actual.outcomes == expected.outcomes);
        absl::Duration arrivalTime;
        absl::Duration work;
        for (const Arrival &arrival : arrivals) {
            arrivalTime += absl::Milliseconds(arrival.afterMs);
            work += absl::Milliseconds(arrival.serviceMs);
        }
        const absl::Duration bound = arrivalTime + work / (agents * slots) + absl::Milliseconds(60);
        RC_ASSERT(expected.end - Start <= bound);
        RC_ASSERT(actual.end - Start <= bound);
    });
    CHECK(passed);
}
