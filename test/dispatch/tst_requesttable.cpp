#include <oleandercross/dispatch/requesttable.h>

#include <catch2/catch.hpp>

using namespace oleandercross;
using namespace oleandercross::dispatch;
using core::ResultCode;

namespace {

const core::Instant Start = absl::UnixEpoch() + absl::Hours(1);
const core::MinionId Minion("minion");

struct Agent
{
    explicit Agent(RequestTableSettings settings = {}, int slots = 1)
        : admission(AdmissionSettings{core::AgentId("agent"), 1}, Start)
        , table(settings, admission)
    {
        admission.setMinion(Minion, core::ServiceId("desk"), slots);
        admission.configurationConfirmed(Start);
    }

    Admission admission;
    RequestTable table;
};

DispatchMessage message(const std::string &id, int attempt = 1,
                        absl::Duration agentUptime = absl::Microseconds(1))
{
    DispatchMessage message;
    message.id = core::RequestId(id);
    message.attempt = attempt;
    message.service = core::ServiceId("desk");
    message.target = {core::AgentId("agent"), 1, Minion};
    message.timeLeft = absl::Seconds(1);
    message.agentUptime = agentUptime;
    return message;
}

FateQuery query(const std::string &id, absl::Duration agentUptime = absl::Microseconds(1),
                std::int64_t incarnation = 1)
{
    return {core::RequestId(id), {core::AgentId("agent"), incarnation, Minion}, agentUptime};
}

} // namespace

// Guards against a second execution when a message is delivered again.
TEST_CASE("a repeated dispatch does not run again")
{
    struct Row
    {
        const char *end;
        Receipt::Kind kind;
        ResultCode code;
    };
    const auto row =
        GENERATE(Row{"running", Receipt::Kind::Unknown, ResultCode::StillRunning},
                 Row{"answered", Receipt::Kind::Answered, ResultCode::Ok},
                 Row{"unknown", Receipt::Kind::Unknown, ResultCode::OutcomeUnknown},
                 Row{"not run", Receipt::Kind::Refused, ResultCode::NoTarget},
                 Row{"answer dropped", Receipt::Kind::Unknown, ResultCode::AnswerNoLongerHeld});
    CAPTURE(row.end);
    RequestTableSettings settings;
    settings.maxAnswerBytes = 4;
    Agent agent(settings);
    const core::RequestId id("r");
    REQUIRE(agent.table.receive(message("r"), Start).kind == Receipt::Kind::Start);
    const std::string end = row.end;
    if (end == "answered")
        agent.table.finish(id, {true, "yes"}, Start);
    else if (end == "unknown")
        agent.table.finishUnknown(id, Start);
    else if (end == "not run")
        agent.table.finishNotRun(id, ResultCode::NoTarget, Start);
    else if (end == "answer dropped")
        agent.table.finish(id, {true, "longer than four"}, Start);
    const Receipt receipt = agent.table.receive(message("r"), Start);
    CHECK(receipt.kind == row.kind);
    CHECK(receipt.code == row.code);
    CHECK(receipt.answer.body == (end == "answered" ? "yes" : ""));
    CHECK(agent.admission.running(Minion) == (end == "running" ? 1 : 0));
}

// Guards against running a delayed copy of an attempt that was reported to the entry as not run.
TEST_CASE("a refused attempt is never admitted, a later one may be")
{
    Agent agent;
    agent.table.receive(message("other"), Start);
    REQUIRE(agent.table.receive(message("r"), Start).code == ResultCode::TargetBusy);
    agent.table.finish(core::RequestId("other"), {true, ""}, Start);
    CHECK(agent.table.receive(message("r", 1), Start).kind == Receipt::Kind::Refused);
    CHECK(agent.table.receive(message("r", 2), Start).kind == Receipt::Kind::Start);
}

TEST_CASE("an id reported as never seen or refused is blocked")
{
    Agent agent;
    CHECK(agent.table.fate(query("r"), Start).fate == Fate::NeverSeen);
    CHECK(agent.table.receive(message("r", 5), Start).kind == Receipt::Kind::Refused);
    CHECK(agent.table.fate(query("r"), Start).fate == Fate::Refused);
    CHECK(agent.table.cancel(core::RequestId("c"), Start, absl::Seconds(1)).empty());
    CHECK(agent.table.receive(message("c"), Start).code == ResultCode::Cancelled);
}

// Guards against a NeverSeen report from an agent that lost or evicted its records.
TEST_CASE("records that may have been evicted are reported as unknown")
{
    RequestTableSettings settings;
    settings.retention = absl::Seconds(10);
    Agent agent(settings);
    agent.table.receive(message("r"), Start + absl::Seconds(1));
    agent.table.finish(core::RequestId("r"), {true, "yes"}, Start + absl::Seconds(1));
    const core::Instant later = Start + absl::Seconds(20);
    agent.admission.configurationConfirmed(later);
    agent.table.expire(later);
    REQUIRE(agent.table.records() == 0);
    CHECK(agent.table.answerBytes() == 0);

    const bool cancelledFirst = GENERATE(false, true);
    // Found by fuzzing, seed 7: the cancellation created a record with state Refused.
    if (cancelledFirst)
        agent.table.cancel(core::RequestId("r"), later, absl::Microseconds(1));
    CHECK(agent.table.fate(query("r"), later).fate == Fate::Unknown);
    CHECK(agent.table.receive(message("r"), later).kind == Receipt::Kind::Unknown);
    // A dispatch that was sent after the evicted records cannot be one of them.
    CHECK(agent.table.fate(query("n", absl::Seconds(15)), later).fate == Fate::NeverSeen);
    CHECK(agent.table.receive(message("m", 1, absl::Seconds(15)), later).kind
          == Receipt::Kind::Start);
    CHECK(agent.table.fate(query("x", absl::Seconds(15), 2), later).fate == Fate::Unknown);
}

TEST_CASE("records and answers are bounded")
{
    RequestTableSettings settings;
    settings.maxRecords = 5;
    settings.maxAnswerBytes = 30;
    Agent agent(settings);
    for (int i = 0; i < 50; ++i) {
        const std::string id = "r" + std::to_string(i);
        const core::Instant now = Start + absl::Milliseconds(i);
        agent.table.receive(message(id, 1, absl::Milliseconds(i)), now);
        agent.table.finish(core::RequestId(id), {true, std::string(10, 'x')}, now);
        agent.table.expire(now);
        REQUIRE(agent.table.records() <= 5);
        REQUIRE(agent.table.answerBytes() <= 30);
    }
    CHECK(
        agent.table.fate(query("r49", absl::Milliseconds(49)), Start + absl::Milliseconds(49)).fate
        == Fate::Answered);
}

TEST_CASE("cancelling a running request returns its minion")
{
    Agent agent;
    agent.table.receive(message("r"), Start);
    CHECK(agent.table.cancel(core::RequestId("r"), Start) == Minion);
    agent.table.finish(core::RequestId("r"), {true, "yes"}, Start);
    CHECK(agent.table.cancel(core::RequestId("r"), Start).empty());
    CHECK(agent.table.fate(query("r"), Start).fate == Fate::Answered);
}
