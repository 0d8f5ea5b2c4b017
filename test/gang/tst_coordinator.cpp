#include <oleandercross/gang/coordinator.h>

#include <catch2/catch.hpp>

using namespace oleandercross;
using namespace oleandercross::gang;
using core::ResultCode;

namespace {

const core::Instant Start = absl::UnixEpoch() + absl::Hours(1);
const core::AgentId A("a");
const core::AgentId B("b");
const GangKey Key{core::JobId("j"), 1};

GangOperation operation(GangOperation::Kind kind, bool recordRequired = true, int members = 2)
{
    GangOperation start;
    start.kind = kind;
    start.key = Key;
    start.epoch = 3;
    start.members = {{{A, "host-a"}, {platform::TaskStart()}},
                     {{B, "host-b"}, {platform::TaskStart()}}};
    start.members.resize(static_cast<std::size_t>(members));
    start.decision.writeId = "w";
    start.recordRequired = recordRequired;
    return start;
}

// A coordinator and the actions that it has emitted since the last call of take().
struct Run
{
    explicit Run(GangOperation given)
        : coordinator(std::move(given))
    {
        apply(BeginOperation{}, 0);
    }

    void apply(const CoordinatorEvent &event, double at)
    {
        for (auto &action : coordinator.apply(event, Start + absl::Seconds(at)))
            actions.push_back(std::move(action));
    }

    void answer(const core::AgentId &agent, MessageKind kind, double at,
                ResultCode code = ResultCode::Ok, int round = 1)
    {
        apply(MemberAnswered{agent, kind, round, {code, "", 7, 3}}, at);
    }

    void reserveAll(double at, int round = 1)
    {
        answer(A, MessageKind::Reserve, at, ResultCode::Ok, round);
        answer(B, MessageKind::Reserve, at, ResultCode::Ok, round);
    }

    template <typename Action>
    std::vector<Action> take()
    {
        std::vector<Action> chosen;
        for (const CoordinatorAction &action : actions) {
            if (const auto *match = std::get_if<Action>(&action))
                chosen.push_back(*match);
        }
        actions.clear();
        return chosen;
    }

    template <typename Message>
    int sent()
    {
        int count = 0;
        for (const SendToMember &send : take<SendToMember>())
            count += std::holds_alternative<Message>(send.message) ? 1 : 0;
        return count;
    }

    Coordinator coordinator;
    std::vector<CoordinatorAction> actions;
};

} // namespace

TEST_CASE("a gang starts after all reservations, the decision and all commits")
{
    Run run(operation(GangOperation::Kind::Start));
    CHECK(run.sent<Reserve>() == 2);
    run.answer(A, MessageKind::Reserve, 0.1);
    CHECK(run.take<WriteDecision>().empty());
    run.answer(B, MessageKind::Reserve, 0.1);
    CHECK(run.take<WriteDecision>().size() == 1);
    run.apply(DecisionWritten{WriteOutcome::Applied}, 0.2);
    CHECK(run.sent<Commit>() == 2);
    run.answer(A, MessageKind::Commit, 0.3);
    CHECK(run.take<GangStarted>().empty());
    run.apply(CoordinatorTick{}, 0.6);
    CHECK(run.sent<Commit>() == 1);
    run.answer(B, MessageKind::Commit, 0.7);
    CHECK(run.take<GangStarted>() == std::vector<GangStarted>{{Key, true}});
    CHECK(run.coordinator.finished());
}

TEST_CASE("a refused reservation ends the start immediately")
{
    Run run(operation(GangOperation::Kind::Start));
    run.answer(A, MessageKind::Reserve, 0.1);
    run.answer(B, MessageKind::Reserve, 0.1, ResultCode::NoResources);
    const GangNotStarted expected{Key, {ResultCode::NoResources, ""}, B, false, false};
    CHECK(run.take<GangNotStarted>() == std::vector<GangNotStarted>{expected});
}

TEST_CASE("an unanswered reservation names the agent that did not answer")
{
    Run run(operation(GangOperation::Kind::Start));
    run.answer(A, MessageKind::Reserve, 0.1);
    run.apply(CoordinatorTick{}, 1.9);
    CHECK(run.sent<Reserve>() == 3);
    run.apply(CoordinatorTick{}, 2.0);
    const auto failed = run.take<GangNotStarted>();
    REQUIRE(failed.size() == 1);
    CHECK(failed[0].failedAgent == B);
    CHECK(failed[0].reason.code == ResultCode::Timeout);
}

// Guards against a commit without a recorded decision, and against a start that is abandoned
// although a write with an unknown outcome may have taken effect.
TEST_CASE("the outcome of the decision's write determines whether the gang starts")
{
    using Outcome = WriteOutcome;
    struct Row
    {
        bool required;
        Outcome written;
        std::optional<DecisionChecked> checked;
        int commits;
        std::optional<ResultCode> failure;
    };
    const auto row = GENERATE(Row{true, Outcome::Applied, {}, 2, {}},
                              Row{true, Outcome::Conflict, {}, 0, ResultCode::VersionConflict},
                              Row{true, Outcome::NotApplied, {}, 0, ResultCode::StoreUnavailable},
                              Row{false, Outcome::NotApplied, {}, 2, {}},
                              Row{true, Outcome::Unknown, DecisionChecked{true}, 2, {}},
                              Row{true, Outcome::Unknown, DecisionChecked{false}, 0, {}},
                              Row{true, Outcome::Unknown, DecisionChecked{}, 0, {}},
                              Row{false, Outcome::Unknown, DecisionChecked{}, 2, {}});
    Run run(operation(GangOperation::Kind::Start, row.required));
    run.reserveAll(0.1);
    run.actions.clear();
    run.apply(DecisionWritten{row.written}, 0.2);
    if (row.checked)
        run.apply(*row.checked, 0.3);
    const auto actions = run.actions;
    CHECK(run.sent<Commit>() == row.commits);
    run.actions = actions;
    const auto failed = run.take<GangNotStarted>();
    CHECK(failed.size() == (row.failure ? 1 : 0));
    if (row.failure)
        CHECK(failed[0].reason.code == *row.failure);
}

// Guards against a conflict with the coordinator's own earlier write being attributed to another
// leader.
TEST_CASE("a conflict after an unknown write is read back")
{
    const bool applied = GENERATE(true, false);
    Run run(operation(GangOperation::Kind::Start));
    run.reserveAll(0.1);
    run.apply(DecisionWritten{WriteOutcome::Unknown}, 0.2);
    run.apply(DecisionChecked{false}, 0.2);
    CHECK(run.take<WriteDecision>().size() == 2);
    run.apply(DecisionWritten{WriteOutcome::Conflict}, 0.3);
    CHECK(run.take<CheckDecision>().size() == 1);
    run.apply(DecisionChecked{applied}, 0.3);
    CHECK(run.coordinator.finished() == !applied);
    CHECK(run.sent<Commit>() == (applied ? 2 : 0));
}

// Guards against commits on reservations that are too old for the members to start in time.
TEST_CASE("a slow store renews the reservations before the commit")
{
    Run run(operation(GangOperation::Kind::Start));
    run.reserveAll(0.1);
    run.actions.clear();
    run.apply(CoordinatorTick{}, 1.0);
    CHECK(run.sent<Reserve>() == 2);
    run.reserveAll(1.1, 2);
    run.apply(DecisionWritten{WriteOutcome::Applied}, 1.8);
    CHECK(run.sent<Reserve>() == 2);
    run.reserveAll(1.9, 2);
    CHECK(run.sent<Commit>() == 0);
    run.reserveAll(1.9, 3);
    CHECK(run.sent<Commit>() == 2);
}

// Guards against reporting a failed start while all members may be committed and running.
TEST_CASE("after a commit the end of one member must be confirmed")
{
    Run run(operation(GangOperation::Kind::Start));
    run.reserveAll(0.1);
    run.apply(DecisionWritten{WriteOutcome::Applied}, 0.2);
    run.apply(CoordinatorTick{}, 3.0);
    CHECK(run.sent<Abort>() == 2);
    run.apply(CoordinatorTick{}, 9.0);
    CHECK_FALSE(run.coordinator.finished());
    run.answer(A, MessageKind::Abort, 9.1, ResultCode::StillRunning);
    CHECK_FALSE(run.coordinator.finished());
    run.answer(B, MessageKind::Abort, 9.1);
    const auto failed = run.take<GangNotStarted>();
    REQUIRE(failed.size() == 1);
    CHECK(failed[0].mayHaveRun);
    CHECK(failed[0].mayBeRecorded);
}

TEST_CASE("a higher epoch ends the operation")
{
    const auto kind = GENERATE(GangOperation::Kind::Start, GangOperation::Kind::Stop);
    Run run(operation(kind));
    run.answer(A, MessageKind::Reserve, 0.1, ResultCode::StaleEpoch);
    CHECK(run.coordinator.finished());
}

TEST_CASE("a cancelled start aborts")
{
    Run run(operation(GangOperation::Kind::Start));
    run.apply(CancelOperation{{ResultCode::Cancelled, "asked"}}, 0.1);
    CHECK(run.sent<Abort>() == 2);
    CHECK(run.coordinator.finished());
}

TEST_CASE("a stop needs one confirmation and the bound")
{
    Run run(operation(GangOperation::Kind::Stop));
    CHECK(run.sent<StopTask>() == 2);
    run.apply(CoordinatorTick{}, 5);
    CHECK(run.sent<StopTask>() == 2);
    run.answer(A, MessageKind::StopTask, 6);
    run.apply(CoordinatorTick{}, 9.9);
    CHECK_FALSE(run.coordinator.finished());
    const bool both = GENERATE(true, false);
    if (both)
        run.answer(B, MessageKind::StopTask, 9.95);
    else
        run.apply(CoordinatorTick{}, 10);
    CHECK(run.take<GangStopped>().size() == 1);
}
