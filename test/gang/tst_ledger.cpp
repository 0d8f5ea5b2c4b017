#include "ledgerfixture.h"

#include <catch2/catch.hpp>

using namespace oleandercross;
using namespace oleandercross::gang;
using namespace oleandercross::gang::test;
using core::ResultCode;
using platform::TaskState;

namespace {

const GangKey A{core::JobId("a"), 1};
const GangKey B{core::JobId("b"), 1};

} // namespace

TEST_CASE("reservations are refused with the matching code")
{
    struct Row
    {
        const char *what;
        std::function<void(Agent &)> before;
        std::vector<int> accelerators;
        Epoch epoch;
        ResultCode code;
    };
    const auto row = GENERATE(
        Row{"free", [](Agent &) {}, {0, 1}, 1, ResultCode::Ok},
        Row{"in use",
            [](Agent &a) { a.reserve(B, 0, 2, {1}); },
            {0, 1},
            1,
            ResultCode::NoResources},
        Row{"twice the same", [](Agent &) {}, {0, 0}, 1, ResultCode::BadField},
        Row{"no such accelerator", [](Agent &) {}, {4}, 1, ResultCode::BadField},
        Row{"draining", [](Agent &a) { a.apply(BeginDrain{}, 0); }, {0}, 1, ResultCode::Draining},
        Row{"admission code",
            [](Agent &a) { a.apply(AdmissionCodeChanged{ResultCode::StaleConfiguration}, 0); },
            {0},
            1,
            ResultCode::StaleConfiguration},
        Row{"old epoch",
            [](Agent &a) { a.apply(ReportRequest{2}, 0); },
            {0},
            1,
            ResultCode::StaleEpoch},
        Row{"aborted before",
            [](Agent &a) {
                a.apply(Abort{1, A}, 0);
            },
            {0},
            1,
            ResultCode::ReservationExpired},
        Row{"same attempt, other epoch",
            [](Agent &a) {
                a.reserve(A, 0);
                a.commit(A, 0);
            },
            {0},
            2,
            ResultCode::ReservationExpired},
        Row{"other tasks", [](Agent &a) { a.reserve(A, 0); }, {0}, 1, ResultCode::BadField},
        Row{"orphaned task uses resources",
            [](Agent &a) {
                platform::TaskStatus orphan = status(task(B, 1, 1, {0}), TaskState::Running);
                orphan.taskId = "foreign";
                a.list(0.5, {orphan});
            },
            {0},
            1,
            ResultCode::NoResources});
    INFO(row.what);
    Agent agent;
    CHECK(agent.reserve(A, 0) == ResultCode::NotReady);
    agent.list(0, {});
    row.before(agent);
    CHECK(agent.reserve(A, 1, 2, row.accelerators, row.epoch) == row.code);
}

// Guards against a delayed copy of a Reserve message that extends the reservation and thereby the
// time for the start.
TEST_CASE("only a higher round extends a reservation")
{
    Agent agent;
    agent.list(0, {});
    agent.reserve(A, 0.1);
    agent.reserve(A, 2.0);
    agent.apply(LedgerTick{}, 3.2);
    CHECK(agent.commit(A, 3.2) == ResultCode::ReservationExpired);
    agent.reserve(B, 4);
    agent.reserve(B, 6, 2, {0, 1}, 1, 2);
    CHECK(agent.commit(B, 8) == ResultCode::Ok);
}

// Guards against a restarted agent that applies a Commit to a later reservation.
TEST_CASE("commits are refused without a valid reservation")
{
    Agent agent;
    agent.list(0, {});
    CHECK(agent.commit(A, 0) == ResultCode::ReservationExpired);
    agent.reserve(A, 0);
    CHECK(agent.commit(A, 0, 2, 1, Self - 1) == ResultCode::StaleIncarnation);
    CHECK(agent.commit(A, 0, 3) == ResultCode::BadField);
    CHECK(agent.commit(A, 0) == ResultCode::Ok);
    CHECK(agent.commit(A, 9) == ResultCode::Ok);
    agent.reserve(B, 0, 2, {2});
    agent.apply(ReportRequest{2}, 1);
    CHECK(agent.commit(B, 1) == ResultCode::StaleEpoch);
    CHECK(agent.commit(B, 1, 2, 2) == ResultCode::ReservationExpired);
}

TEST_CASE("a member without started peers stops")
{
    Agent agent;
    agent.list(0, {});
    agent.reserve(A, 0.1);
    const auto commit = agent.apply(Commit{1, A, Self, peers(2)}, 0.2);
    REQUIRE(only<StartWorkerTask>(commit).size() == 1);
    const auto start = only<StartWorkerTask>(commit)[0];
    CHECK(start.notAfter == after(0.1) + ReservationLifetime);
    CHECK(start.leaseUntil == after(0.1) + LeaseAfterEvidence);
    agent.list(1, {status(task(A, 1, 2, {0, 1}), TaskState::Running)});
    CHECK(agent.state(A, 1) == MemberState::Running);
    agent.list(2.5, {status(task(A, 1, 2, {0, 1}), TaskState::Running)});
    CHECK(only<StopWorkerTask>(agent.apply(LedgerTick{}, 3.0)).empty());
    CHECK(only<StopWorkerTask>(agent.apply(LedgerTick{}, 3.1)).size() == 1);
    CHECK(agent.state(A, 3.1) == MemberState::Stopped);
}

TEST_CASE("a peer's answers determine whether a running gang stops")
{
    struct Row
    {
        MemberState state;
        bool stops;
    };
    const auto row = GENERATE(Row{MemberState::Running, false}, Row{MemberState::Finished, false},
                              Row{MemberState::NotReady, false}, Row{MemberState::Stopped, true},
                              Row{MemberState::Unknown, true});
    Agent agent;
    agent.runGang(A);
    const auto result = agent.answered(A, 1, 0.9, row.state);
    CHECK(only<StopWorkerTask>(result).size() == (row.stops ? 1 : 0));
}

// Guards against leases that exceed the bound when no stop call reaches the worker, and against a
// missing stop call, which expiring leases would hide.
TEST_CASE("leases and stops follow the oldest evidence")
{
    Agent agent;
    agent.runGang(A, 3);
    agent.answered(A, 1, 1.0, MemberState::Running, 0.3);
    agent.answered(A, 2, 1.0, MemberState::Running, 0.1);
    agent.list(2.5, {status(task(A, 1, 3, {0, 1}), TaskState::Running)});
    const auto beforeTimeout = agent.apply(LedgerTick{}, 2.6);
    REQUIRE(only<RenewTaskLeases>(beforeTimeout).size() == 1);
    CHECK(only<RenewTaskLeases>(beforeTimeout)[0].until == after(0.7) + LeaseAfterEvidence);
    CHECK(only<PollPeer>(beforeTimeout).size() == 2);
    const auto afterTimeout = agent.apply(LedgerTick{}, 2.7);
    CHECK(only<StopWorkerTask>(afterTimeout).size() == 1);
    REQUIRE(only<SendTaskEvent>(afterTimeout).size() == 1);
    CHECK(only<SendTaskEvent>(afterTimeout)[0].event.reason
          == core::Reason{ResultCode::JobLostMember, "member a1 has stopped responding"});
}

// Guards against a second use of an accelerator whose previous task still runs.
TEST_CASE("resources stay in use until a task list shows that the tasks have ended")
{
    Agent agent;
    agent.runGang(A);
    agent.apply(StopTask{1, A}, 1);
    CHECK(agent.reserve(B, 1.1) == ResultCode::NoResources);
    agent.list(1.2, {status(task(A, 1, 2, {0, 1}), TaskState::Running)});
    CHECK(agent.reserve(B, 1.3) == ResultCode::NoResources);
    agent.list(1.4, {status(task(A, 1, 2, {0, 1}), TaskState::Stopped)});
    CHECK(agent.reserve(B, 1.5) == ResultCode::Ok);
}

// Guards against a start with an unknown result that takes effect after its resources were granted
// to another gang.
TEST_CASE("a start with an unknown result keeps its resources")
{
    Agent agent;
    agent.list(0, {});
    agent.reserve(A, 0);
    agent.commit(A, 0.1);
    agent.apply(StartAnswered{taskId(A, 1, 2), CallOutcome::Unknown}, 0.5);
    agent.apply(Abort{1, A}, 0.6);
    agent.list(1, {});
    CHECK(agent.reserve(B, 1.1) == ResultCode::NoResources);
    agent.list(11, {});
    CHECK(agent.reserve(B, 11.1) == ResultCode::Ok);
    const auto late = agent.list(12, {status(task(A, 1, 2, {0, 1}), TaskState::Running)});
    CHECK(only<StopWorkerTask>(late).size() == 1);
    CHECK(agent.ledger.free().accelerators == 2);
    CHECK(agent.commit(B, 12.1) == ResultCode::NoResources);
}

TEST_CASE("a finished member keeps its resources until all members have finished")
{
    Agent agent;
    agent.runGang(A);
    const auto succeeded = status(task(A, 1, 2, {0, 1}), TaskState::Succeeded);
    agent.list(1, {succeeded});
    CHECK(agent.state(A, 1.1) == MemberState::Finished);
    CHECK(agent.ledger.free().accelerators == 2);
    agent.answered(A, 1, 1.2, MemberState::Finished);
    CHECK(agent.state(A, 1.3) == MemberState::Completed);
    CHECK(agent.ledger.free().accelerators == 4);
    CHECK(only<ForgetWorkerTasks>(agent.apply(LedgerTick{}, 12)).size() == 1);
}

// Guards against a restarted agent that renews leases although a peer no longer runs.
TEST_CASE("a restarted agent renews a gang only after all peers answered")
{
    Agent agent;
    const auto listed = status(task(A, 5, 3, {0, 1}), TaskState::Running);
    agent.list(0, {listed});
    CHECK(agent.ledger.epoch() == 5);
    CHECK(agent.ledger.free().accelerators == 2);
    CHECK(only<RenewTaskLeases>(agent.apply(LedgerTick{}, 0.1)).empty());
    CHECK(agent.apply(Watch{A, 5, core::AgentId("a1"), {}}, 0.2).watch.membersWanted);
    const auto afterMembers = agent.apply(Watch{A, 5, core::AgentId("a1"), peers(3)}, 0.3);
    CHECK(only<PollPeer>(afterMembers).size() == 2);
    agent.answered(A, 1, 0.4, MemberState::Running);
    CHECK(only<RenewTaskLeases>(agent.apply(LedgerTick{}, 0.7)).empty());
    agent.answered(A, 2, 0.8, MemberState::Running, 0.2);
    const auto renewed = only<RenewTaskLeases>(agent.apply(LedgerTick{}, 1.3));
    REQUIRE(renewed.size() == 1);
    CHECK(renewed[0].until == after(0.4) + LeaseAfterEvidence);
}

TEST_CASE("a restarted agent keeps gangs with one member and stops incomplete ones")
{
    Agent agent;
    const auto singleMember = status(task(A, 1, 1, {0}), TaskState::Running);
    auto incomplete = status(task(B, 1, 1, {1}), TaskState::Running);
    incomplete.taskId = formatTaskId({B, 1, 0, 1, 0, 2});
    const auto result = agent.list(0, {singleMember, incomplete});
    CHECK(only<StopWorkerTask>(result) == std::vector<StopWorkerTask>{{incomplete.taskId}});
    CHECK(only<RenewTaskLeases>(agent.apply(LedgerTick{}, 0.1))
          == std::vector<RenewTaskLeases>{{{singleMember.taskId}, after(0.1) + SingleMemberLease}});
    CHECK(agent.ledger.free().accelerators == 2);
    CHECK(agent.apply(StopTask{1, A}, 0.2).answer.code == ResultCode::StillRunning);
    agent.list(0.5, {});
    CHECK(agent.apply(StopTask{1, A}, 0.6).answer.code == ResultCode::Ok);
}

TEST_CASE("a failed or lost task stops the member")
{
    const auto state = GENERATE(std::optional(TaskState::Failed), std::optional(TaskState::Stopped),
                                std::optional<TaskState>());
    Agent agent;
    agent.runGang(A);
    std::vector<platform::TaskStatus> tasks;
    if (state)
        tasks.push_back(status(task(A, 1, 2, {0, 1}), *state));
    agent.list(1, tasks);
    CHECK(agent.state(A, 1.1) == MemberState::Stopped);
    CHECK(agent.ledger.free().accelerators == 4);
}

TEST_CASE("a drain checkpoints and ends with the last gang")
{
    Agent agent;
    agent.runGang(A);
    agent.reserve(B, 0.5, 2, {2});
    const auto drain = agent.apply(BeginDrain{}, 1);
    CHECK(only<CheckpointWorkerTask>(drain).size() == 1);
    CHECK(agent.commit(B, 1.1) == ResultCode::Draining);
    CHECK_FALSE(agent.ledger.drained());
    agent.apply(StopTask{1, A}, 2);
    agent.list(2.1, {});
    CHECK(agent.ledger.drained());
}
