#include <oleandercross/dispatch/dispatcher.h>

#include <catch2/catch.hpp>

#include <map>

using namespace oleandercross;
using namespace oleandercross::dispatch;
using core::ResultCode;

namespace {

const core::ServiceId Service("desk");
const core::MinionId Minion("minion");

DispatcherSettings twoChoices()
{
    DispatcherSettings settings;
    settings.routing = Routing::TwoChoices;
    return settings;
}

// A dispatcher whose actions are collected by type.
class Fixture
{
public:
    // Grants require agents, so the queues are tested with TwoChoices routing.
    explicit Fixture(DispatcherSettings settings = twoChoices())
        : m_dispatcher(std::move(settings), std::mt19937_64(1))
    { }

    void apply(const Event &event)
    {
        for (Action &action : m_dispatcher.apply(event, now)) {
            if (const auto *dispatch = std::get_if<DispatchRequest>(&action))
                dispatched.push_back(dispatch->message);
            else if (const auto *finish = std::get_if<FinishRequest>(&action))
                outcomes[finish->id] = finish->outcome;
            else if (const auto *query = std::get_if<SendFateQuery>(&action))
                fateQueries.push_back(*query);
            else if (const auto *cancel = std::get_if<CancelAtTarget>(&action))
                cancelled.push_back(*cancel);
        }
    }

    static TargetId target(int index)
    {
        return {core::AgentId("agent" + std::to_string(index)), 1, Minion};
    }

    TargetAnnounced announcement(int index, int slots = 8) const
    {
        TargetAnnounced event;
        event.target = target(index);
        event.service = Service;
        event.slots = slots;
        event.load.freeSlots = slots;
        event.agentUptime = absl::Seconds(1);
        return event;
    }

    core::RequestId arrive(const std::string &account = "a", bool idempotent = false,
                           std::size_t bodyBytes = 10)
    {
        RequestArrived event;
        event.id = core::RequestId("r" + std::to_string(m_next++));
        event.account = core::AccountId(account);
        event.service = Service;
        event.idempotent = idempotent;
        event.deadline = now + deadline;
        event.bodyBytes = bodyBytes;
        apply(event);
        return event.id;
    }

    // Answers the oldest open dispatch.
    DispatchMessage answer()
    {
        const DispatchMessage message = dispatched.front();
        dispatched.erase(dispatched.begin());
        apply(DispatchAnswered{message.id, message.attempt, {true, "yes"}, {}});
        return message;
    }

    void advance(absl::Duration by)
    {
        now += by;
        apply(Tick{});
    }

    DispatcherStatus status() const { return m_dispatcher.status(); }

    core::Instant now = absl::UnixEpoch() + absl::Hours(1);
    absl::Duration deadline = absl::Seconds(1);
    std::vector<DispatchMessage> dispatched;
    std::vector<SendFateQuery> fateQueries;
    std::vector<CancelAtTarget> cancelled;
    std::map<core::RequestId, Outcome> outcomes;

private:
    Dispatcher m_dispatcher;
    int m_next = 0;
};

} // namespace

// Requests are retried only if the attempt did not run or they are idempotent, pinned ones never.
TEST_CASE("an attempt without an answer is retried, queried or ended")
{
    enum class Next { Retry, Query, NotRun, Unknown };
    struct Row
    {
        Event event;
        bool idempotent;
        bool pinned;
        Next next;
    };
    const core::RequestId id("r");
    const Event busy = DispatchRefused{id, 1, ResultCode::TargetBusy, {}};
    const Event noStore = DispatchRefused{id, 1, ResultCode::StoreUnavailable, {}};
    const Event noConnection = DispatchRefused{id, 1, ResultCode::ConnectionFailed, {}};
    const Event keyUsed = DispatchRefused{id, 1, ResultCode::StillRunning, {}};
    const Event lost = DispatchUnknown{id, 1, false};
    const Event running = DispatchUnknown{id, 1, true};
    const auto row = GENERATE_COPY(
        Row{busy, false, false, Next::Retry}, Row{busy, true, false, Next::Retry},
        Row{busy, false, true, Next::NotRun}, Row{noStore, false, false, Next::NotRun},
        Row{noConnection, false, false, Next::Retry}, Row{keyUsed, false, false, Next::Unknown},
        Row{lost, false, false, Next::Query}, Row{lost, true, false, Next::Retry},
        Row{running, false, false, Next::Query}, Row{running, true, false, Next::Query});
    Fixture fixture;
    fixture.apply(fixture.announcement(0));
    fixture.apply(fixture.announcement(1));
    RequestArrived arrival;
    arrival.id = id;
    arrival.service = Service;
    arrival.idempotent = row.idempotent;
    arrival.pinToFirstTarget = row.pinned;
    arrival.deadline = fixture.now + absl::Seconds(1);
    fixture.apply(arrival);
    REQUIRE(fixture.dispatched.size() == 1);
    fixture.apply(row.event);
    CHECK(fixture.dispatched.size() == (row.next == Next::Retry ? 2 : 1));
    CHECK(fixture.fateQueries.size() == (row.next == Next::Query ? 1 : 0));
    const bool ended = row.next == Next::NotRun || row.next == Next::Unknown;
    REQUIRE(fixture.outcomes.count(id) == (ended ? 1 : 0));
    if (ended)
        CHECK((fixture.outcomes[id].kind == OutcomeKind::NotRun) == (row.next == Next::NotRun));
    if (row.next == Next::Retry)
        CHECK(fixture.dispatched[1].attempt == 2);
}

TEST_CASE("the fate of a lost attempt decides the outcome")
{
    struct Row
    {
        Fate fate;
        bool retried;
        bool ended;
        OutcomeKind kind;
    };
    const auto row = GENERATE(Row{Fate::Answered, false, true, OutcomeKind::Answered},
                              Row{Fate::Running, false, false, OutcomeKind::Unknown},
                              Row{Fate::Unreachable, false, false, OutcomeKind::Unknown},
                              Row{Fate::Refused, true, false, OutcomeKind::Unknown},
                              Row{Fate::NeverSeen, true, false, OutcomeKind::Unknown},
                              Row{Fate::Unknown, false, true, OutcomeKind::Unknown});
    Fixture fixture;
    fixture.apply(fixture.announcement(0));
    fixture.apply(fixture.announcement(1));
    const core::RequestId id = fixture.arrive();
    fixture.apply(DispatchUnknown{id, 1, false});
    REQUIRE(fixture.fateQueries.size() == 1);
    fixture.apply(FateReceived{id, 1, {row.fate, ResultCode::Ok, {true, "yes"}}});
    CHECK(fixture.dispatched.size() == (row.retried ? 2 : 1));
    REQUIRE(fixture.outcomes.count(id) == (row.ended ? 1 : 0));
    if (row.ended)
        CHECK(fixture.outcomes[id].kind == row.kind);
    if (row.retried)
        CHECK(fixture.dispatched[1].target != fixture.dispatched[0].target);
    if (!row.ended && !row.retried) {
        fixture.advance(absl::Milliseconds(100));
        CHECK(fixture.fateQueries.size() == 2);
        fixture.advance(absl::Seconds(1));
        CHECK(fixture.outcomes[id].code == ResultCode::OutcomeUnknown);
        CHECK(fixture.cancelled.size() == 1);
    }
}

// Guards against reporting an idempotent request as not run after an attempt that may have run.
TEST_CASE("a refusal after a lost attempt is an unknown outcome")
{
    Fixture fixture;
    fixture.apply(fixture.announcement(0));
    const core::RequestId id = fixture.arrive("a", true);
    fixture.apply(DispatchUnknown{id, 1, false});
    REQUIRE(fixture.dispatched.size() == 2);
    fixture.apply(DispatchRefused{id, 2, ResultCode::StoreUnavailable, {}});
    CHECK(fixture.outcomes[id].kind == OutcomeKind::Unknown);
}

TEST_CASE("reports of earlier attempts are ignored")
{
    Fixture fixture;
    fixture.apply(fixture.announcement(0));
    fixture.apply(fixture.announcement(1));
    const core::RequestId id = fixture.arrive();
    fixture.apply(DispatchRefused{id, 1, ResultCode::TargetBusy, {}});
    REQUIRE(fixture.dispatched.size() == 2);
    fixture.apply(DispatchRefused{id, 1, ResultCode::TargetBusy, {}});
    fixture.apply(DispatchAnswered{id, 1, {true, "late"}, {}});
    fixture.apply(FateReceived{id, 1, {Fate::NeverSeen, ResultCode::Cancelled, {}}});
    CHECK(fixture.outcomes.empty());
    CHECK(fixture.dispatched.size() == 2);
    fixture.apply(DispatchAnswered{id, 2, {true, "yes"}, {}});
    CHECK(fixture.outcomes[id].answer.body == "yes");
}

TEST_CASE("requests are shed early with a result code and a retry hint")
{
    DispatcherSettings settings = twoChoices();
    settings.queueLimit = 5;
    Fixture fixture(settings);
    CHECK(fixture.outcomes[fixture.arrive()].code == ResultCode::NoTarget);
    fixture.apply(fixture.announcement(0, 1));
    fixture.apply(LimitsChanged{core::AccountId("slow"), 1, 2});
    fixture.arrive("slow");
    fixture.arrive("slow");
    const Outcome rateLimited = fixture.outcomes[fixture.arrive("slow")];
    CHECK(rateLimited.code == ResultCode::RateLimited);
    CHECK(rateLimited.retryAfter > absl::Milliseconds(400));
    for (int i = 0; i < 5; ++i)
        fixture.arrive("a");
    const Outcome full = fixture.outcomes[fixture.arrive("a")];
    CHECK(full.code == ResultCode::QueueFull);
    CHECK(full.retryAfter > absl::ZeroDuration());
    fixture.deadline = absl::Milliseconds(30);
    const Outcome late = fixture.outcomes[fixture.arrive("b")];
    CHECK(late.code == ResultCode::DeadlineTooClose);
    CHECK(late.retryAfter > absl::ZeroDuration());
    CHECK(fixture.status().waiting == 6);
}

// Guards against an account that floods the queues and takes the share of the others.
TEST_CASE("accounts share slots by weight")
{
    Fixture fixture;
    fixture.deadline = absl::Minutes(1);
    fixture.apply(LimitsChanged{core::AccountId("heavy"), 3, 0});
    fixture.apply(fixture.announcement(0, 1));
    for (int i = 0; i < 200; ++i)
        fixture.arrive("flood");
    for (int i = 0; i < 100; ++i) {
        fixture.arrive("light");
        fixture.arrive("heavy");
    }
    std::map<core::AccountId, int> served;
    for (int i = 0; i < 100; ++i) {
        fixture.now += absl::Milliseconds(10);
        ++served[fixture.answer().account];
    }
    CHECK(std::abs(served[core::AccountId("heavy")] - 60) <= 2);
    CHECK(std::abs(served[core::AccountId("light")] - 20) <= 2);
    CHECK(std::abs(served[core::AccountId("flood")] - 20) <= 2);
}

// Guards against head-of-line blocking of short work behind long work.
TEST_CASE("short work is sent before long work that arrived earlier")
{
    Fixture fixture;
    fixture.deadline = absl::Minutes(1);
    TargetAnnounced announcement = fixture.announcement(0, 3);
    announcement.shortSlots = 1;
    fixture.apply(announcement);
    constexpr std::size_t LongBody = 5000;
    for (int i = 0; i < 3; ++i) {
        fixture.arrive("a", false, LongBody);
        fixture.advance(absl::Seconds(2));
        fixture.answer();
        fixture.arrive("a", false, 10);
        fixture.advance(absl::Milliseconds(5));
        fixture.answer();
    }
    for (int i = 0; i < 5; ++i)
        fixture.arrive("a", false, LongBody);
    CHECK(fixture.dispatched.size() == 2);
    fixture.arrive("a");
    REQUIRE(fixture.dispatched.size() == 3);
    CHECK(fixture.dispatched[2].shortWork);
    fixture.arrive("a");
    fixture.now += absl::Seconds(2);
    fixture.answer();
    CHECK(fixture.dispatched.back().shortWork);
}

TEST_CASE("the nearest data centre with free slots is used first")
{
    for (const Routing routing : {Routing::TwoChoices, Routing::LateBinding}) {
        DispatcherSettings settings;
        settings.routing = routing;
        Fixture fixture(settings);
        for (int i = 0; i < 4; ++i) {
            TargetAnnounced announcement = fixture.announcement(i, 2);
            announcement.distance = absl::Microseconds(i < 2 ? 50 : 500);
            fixture.apply(announcement);
        }
        for (int i = 0; i < 8; ++i)
            fixture.arrive();
        REQUIRE(fixture.dispatched.size() == 8);
        for (std::size_t i = 0; i < 8; ++i) {
            const bool near = fixture.dispatched[i].target < Fixture::target(2);
            CHECK(near == (i < 4));
        }
    }
}

// Guards against an unavailable service when grants are lost or agents do not grant slots.
TEST_CASE("late binding without grants still uses free slots")
{
    Fixture fixture(DispatcherSettings{});
    fixture.deadline = absl::Minutes(1);
    fixture.apply(fixture.announcement(0, 2));
    for (int i = 0; i < 100; ++i)
        fixture.arrive();
    fixture.advance(absl::Milliseconds(100));
    for (int i = 0; i < 50; ++i) {
        REQUIRE(fixture.dispatched.size() == 2);
        fixture.advance(absl::Milliseconds(10));
        fixture.answer();
    }
}

TEST_CASE("a target in slow start receives few requests")
{
    Fixture fixture;
    TargetAnnounced announcement = fixture.announcement(0, 8);
    announcement.servingFor = absl::Seconds(5);
    fixture.apply(announcement);
    for (int i = 0; i < 8; ++i)
        fixture.arrive();
    CHECK(fixture.dispatched.size() == 4);
    fixture.advance(absl::Seconds(5));
    fixture.deadline = absl::Seconds(10);
    for (int i = 0; i < 8; ++i)
        fixture.arrive();
    CHECK(fixture.dispatched.size() == 8);
}

// Guards against circuit breakers that make a whole service unavailable.
TEST_CASE("at most a third of a service's targets are ejected")
{
    const int targets = GENERATE(1, 2, 3, 7, 9);
    Fixture fixture;
    for (int i = 0; i < targets; ++i)
        fixture.apply(fixture.announcement(i));
    for (int i = 0; i < 400; ++i) {
        fixture.arrive();
        while (!fixture.dispatched.empty()) {
            const DispatchMessage message = fixture.dispatched.front();
            fixture.dispatched.erase(fixture.dispatched.begin());
            fixture.apply(DispatchUnknown{message.id, message.attempt, false});
        }
        fixture.advance(absl::Milliseconds(1));
        REQUIRE(fixture.status().ejectedTargets <= targets / 3);
    }
    CHECK(fixture.status().ejectedTargets == targets / 3);
    for (int i = 0; i < targets / 2; ++i) {
        fixture.apply(TargetRemoved{Fixture::target(i)});
        CHECK(fixture.status().ejectedTargets <= (targets - i - 1) / 3);
    }
}

TEST_CASE("an ejected target returns after a successful probe")
{
    Fixture fixture;
    for (int i = 0; i < 3; ++i)
        fixture.apply(fixture.announcement(i));
    const auto run = [&](int count) {
        int toBad = 0;
        for (int i = 0; i < count; ++i) {
            fixture.arrive("a", true);
            const DispatchMessage message = fixture.dispatched.back();
            fixture.dispatched.clear();
            toBad += message.target == Fixture::target(0) ? 1 : 0;
            if (message.target == Fixture::target(0) && fixture.status().ejectedTargets == 0
                && toBad < 4)
                fixture.apply(DispatchUnknown{message.id, message.attempt, false});
            else
                fixture.apply(DispatchAnswered{message.id, message.attempt, {true, ""}, {}});
            fixture.dispatched.clear();
        }
        return toBad;
    };
    run(50);
    REQUIRE(fixture.status().ejectedTargets == 1);
    CHECK(run(50) == 0);
    fixture.advance(absl::Milliseconds(1100));
    CHECK(run(50) > 0);
    CHECK(fixture.status().ejectedTargets == 0);
}

TEST_CASE("retries stay within the budget")
{
    Fixture fixture;
    for (int i = 0; i < 10; ++i)
        fixture.apply(fixture.announcement(i));
    for (int i = 0; i < 1000; ++i) {
        fixture.arrive();
        while (!fixture.dispatched.empty()) {
            const DispatchMessage message = fixture.dispatched.front();
            fixture.dispatched.erase(fixture.dispatched.begin());
            fixture.apply(DispatchRefused{message.id, message.attempt, ResultCode::TargetBusy, {}});
        }
        fixture.advance(absl::Milliseconds(5));
    }
    const DispatcherStatus status = fixture.status();
    const double first = static_cast<double>(status.dispatched - status.retried);
    CHECK(status.retried <= first * 0.1 + 10);
    CHECK(status.retried >= first * 0.1 - 1);
}

// Guards against longer requests that lower the concurrency limit of a healthy target, so that its
// slots stay idle while requests are queued. Found by the comparison with the naive router,
// seed 11.
TEST_CASE("work that becomes longer everywhere does not lower concurrency limits")
{
    Fixture fixture;
    fixture.deadline = absl::Minutes(1);
    const int targets = GENERATE(1, 2);
    for (int i = 0; i < targets; ++i)
        fixture.apply(fixture.announcement(i, 2));
    for (int i = 0; i < 3; ++i) {
        fixture.arrive();
        fixture.now += absl::Milliseconds(1);
        fixture.answer();
    }
    for (int i = 0; i < 40; ++i)
        fixture.arrive();
    for (int i = 0; i < 30; ++i) {
        CHECK(fixture.dispatched.size() == static_cast<std::size_t>(2 * targets));
        fixture.now += absl::Milliseconds(40);
        fixture.answer();
    }
}

TEST_CASE("a target slower than the others receives fewer concurrent requests")
{
    Fixture fixture;
    fixture.deadline = absl::Minutes(1);
    for (int i = 0; i < 3; ++i)
        fixture.apply(fixture.announcement(i, 8));
    for (int i = 0; i < 200; ++i)
        fixture.arrive();
    const auto slow = [](const DispatchMessage &m) { return m.target == Fixture::target(0); };
    // Targets 1 and 2 answer 23 times while target 0 answers once.
    for (int round = 0; round < 1200; ++round) {
        fixture.now += absl::Milliseconds(1);
        auto &open = fixture.dispatched;
        const bool slowTurn = round % 24 == 0;
        const auto it = std::find_if(open.begin(), open.end(),
                                     [&](const auto &m) { return slow(m) == slowTurn; });
        if (it == open.end())
            continue;
        std::rotate(open.begin(), it, it + 1);
        fixture.answer();
        fixture.arrive();
    }
    const auto open = std::count_if(fixture.dispatched.begin(), fixture.dispatched.end(), slow);
    CHECK(open < 8);
    CHECK(open >= 1);
}
