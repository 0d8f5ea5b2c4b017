#include <oleandercross/daemon/messages.h>

#include <oleandercross/core/json.h>

#include <catch2/catch.hpp>

using namespace oleandercross;

namespace {

dispatch::FateReport answered(const std::string &body)
{
    return {dispatch::Fate::Answered, core::ResultCode::Ok, {true, body}};
}

std::optional<Json::Value> roundTrip(const Json::Value &value)
{
    return core::parseJson(core::writeJson(value));
}

} // namespace

// Guards against changes to bodies that are not valid in JSON strings: answers must arrive byte for
// byte.
TEST_CASE("answers with arbitrary bytes survive encoding and decoding")
{
    const auto body =
        GENERATE(as<std::string>(), "", "plain \"text\" \\ with\nlines\t", "caf\u00e9",
                 std::string("\x00\x01\xff\xfe", 4), std::string(5000, '\x80'));
    const auto wire = roundTrip(daemon::encode(answered(body)));
    REQUIRE(wire);
    CHECK(daemon::decodeFateReport(*wire) == answered(body));
}

// Guards against a truncated or extended answer that is accepted as complete.
TEST_CASE("an answer whose length does not match is unknown")
{
    Json::Value value = daemon::encode(answered("twelve bytes"));
    value["answer"]["body"] = GENERATE("twelve byte", "twelve bytes.", "");
    CHECK(daemon::decodeFateReport(value).fate == dispatch::Fate::Unknown);
}

TEST_CASE("dispatch messages survive encoding and decoding")
{
    dispatch::DispatchMessage message;
    message.id = core::RequestId("r1");
    message.attempt = 3;
    message.entry = core::EntryId("e1");
    message.account = core::AccountId("a1");
    message.service = core::ServiceId("s1");
    message.target = {core::AgentId("g1"), 17, core::MinionId("m1")};
    message.timeLeft = absl::Milliseconds(1500);
    message.idempotent = true;
    message.shortWork = false;
    message.expectedTime = absl::Microseconds(123);
    message.agentUptime = GENERATE(absl::Seconds(5), absl::InfiniteDuration());
    message.granted = true;
    const auto wire = roundTrip(daemon::encode(message));
    REQUIRE(wire);
    CHECK(daemon::decodeDispatchMessage(*wire) == message);
}
