#include <oleandercross/dispatch/admission.h>

#include <catch2/catch.hpp>

#include <functional>

using namespace oleandercross;
using namespace oleandercross::dispatch;
using core::ResultCode;

namespace {

const core::Instant Start = absl::UnixEpoch() + absl::Hours(1);
const core::MinionId Minion("minion");
const core::EntryId EntryA("a");
const core::EntryId EntryB("b");

struct Fixture
{
    Fixture()
        : admission(AdmissionSettings{core::AgentId("agent"), 7}, Start)
    {
        admission.setMinion(Minion, core::ServiceId("desk"), 8);
        admission.configurationConfirmed(Start);
    }

    ResultCode start(bool shortWork, const core::EntryId &entry = {}, bool granted = false)
    {
        DispatchMessage message = valid();
        message.id = core::RequestId(std::to_string(next++));
        message.shortWork = shortWork;
        message.entry = entry;
        message.granted = granted;
        return admission.start(message, now);
    }

    int startAll(bool shortWork)
    {
        int count = 0;
        while (start(shortWork) == ResultCode::Ok)
            ++count;
        return count;
    }

    static DispatchMessage valid()
    {
        DispatchMessage message;
        message.id = core::RequestId("r");
        message.service = core::ServiceId("desk");
        message.target = {core::AgentId("agent"), 7, Minion};
        message.timeLeft = absl::Seconds(1);
        message.expectedTime = absl::Milliseconds(20);
        return message;
    }

    Admission admission;
    core::Instant now = Start;
    int next = 0;
};

} // namespace

TEST_CASE("admission refuses requests that must not run on this target")
{
    struct Row
    {
        ResultCode code;
        std::function<void(DispatchMessage &, Admission &)> change;
    };
    const auto row = GENERATE(
        Row{ResultCode::Ok, [](DispatchMessage &, Admission &) {}},
        Row{ResultCode::StaleIncarnation,
            [](DispatchMessage &m, Admission &) { m.target.incarnation = 6; }},
        Row{ResultCode::StaleIncarnation,
            [](DispatchMessage &m, Admission &) { m.target.agent = core::AgentId("b"); }},
        Row{ResultCode::NoTarget,
            [](DispatchMessage &m, Admission &) { m.target.minion = core::MinionId("b"); }},
        Row{ResultCode::NoTarget,
            [](DispatchMessage &m, Admission &) { m.service = core::ServiceId("b"); }},
        Row{ResultCode::Draining,
            [](DispatchMessage &, Admission &a) { a.setDraining(Minion, true); }},
        Row{ResultCode::Draining, [](DispatchMessage &, Admission &a) { a.setDraining(true); }},
        Row{ResultCode::DeadlineExpired,
            [](DispatchMessage &m, Admission &) { m.timeLeft = absl::ZeroDuration(); }});
    Fixture fixture;
    DispatchMessage message = Fixture::valid();
    row.change(message, fixture.admission);
    CHECK(fixture.admission.start(message, Start) == row.code);
}

TEST_CASE("admission refuses under a stale configuration and very old messages")
{
    Fixture fixture;
    fixture.now = Start + absl::Seconds(5);
    CHECK(fixture.start(true) == ResultCode::Ok);
    fixture.now = Start + absl::Milliseconds(5001);
    CHECK(fixture.start(true) == ResultCode::StaleConfiguration);
    fixture.now = Start + absl::Seconds(31);
    fixture.admission.configurationConfirmed(fixture.now);
    CHECK(fixture.start(true) == ResultCode::DeadlineExpired);
}

// Guards against long work that occupies the slots reserved for short work.
TEST_CASE("two of eight slots are reserved for short work")
{
    Fixture fixture;
    CHECK(fixture.startAll(false) == 6);
    const TargetLoad load = fixture.admission.load(Minion, Start);
    CHECK(load.freeSlots == 2);
    CHECK(load.freeShortSlots == 2);
    CHECK(fixture.startAll(true) == 2);
    CHECK(fixture.admission.running(Minion) == 8);
}

TEST_CASE("a request that exceeds the limit counts as long work")
{
    Fixture fixture;
    for (int i = 0; i < 6; ++i)
        REQUIRE(fixture.start(true) == ResultCode::Ok);
    fixture.now = Start + absl::Milliseconds(101);
    CHECK(fixture.startAll(false) == 0);
    CHECK(fixture.startAll(true) == 2);
}

TEST_CASE("a released slot is free again, a smaller size interrupts no request")
{
    Fixture fixture;
    CHECK(fixture.startAll(true) == 8);
    fixture.admission.setMinion(Minion, core::ServiceId("desk"), 4);
    for (int i = 0; i < 4; ++i) {
        CHECK(fixture.start(true) == ResultCode::TargetBusy);
        fixture.admission.release(core::RequestId(std::to_string(i)));
    }
    CHECK(fixture.start(true) == ResultCode::TargetBusy);
    fixture.admission.release(core::RequestId("4"));
    CHECK(fixture.start(true) == ResultCode::Ok);
}

TEST_CASE("grants rotate between entries and reserve their slots")
{
    Fixture fixture;
    fixture.admission.demand(EntryA, Minion, 8, 8, Start);
    fixture.admission.demand(EntryB, Minion, 8, 8, Start);
    const std::vector<SlotGrant> grants = fixture.admission.grant(Start);
    REQUIRE(grants.size() == 8);
    int ofA = 0;
    for (const SlotGrant &grant : grants)
        ofA += grant.entry == EntryA ? grant.slots : 0;
    CHECK(ofA == 4);
    CHECK(fixture.start(true) == ResultCode::TargetBusy);
    CHECK(fixture.start(true, EntryA, true) == ResultCode::Ok);

    SECTION("an entry cannot use more than it was granted")
    {
        for (int i = 0; i < 3; ++i)
            CHECK(fixture.start(true, EntryA, true) == ResultCode::Ok);
        CHECK(fixture.start(true, EntryA, true) == ResultCode::TargetBusy);
    }
    SECTION("unused grants expire")
    {
        fixture.now = Start + absl::Seconds(1);
        CHECK(fixture.startAll(true) == 7);
    }
    SECTION("withdrawn demand returns grants")
    {
        fixture.admission.demand(EntryB, Minion, 0, 0, Start);
        CHECK(fixture.startAll(true) == 4);
    }
}

TEST_CASE("long work is granted no slot that is reserved for short work")
{
    Fixture fixture;
    fixture.admission.demand(EntryA, Minion, 8, 0, Start);
    CHECK(fixture.admission.grant(Start).size() == 6);
    fixture.admission.demand(EntryB, Minion, 8, 8, Start);
    CHECK(fixture.admission.grant(Start).size() == 2);
}
