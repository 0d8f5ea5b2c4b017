#include <oleandercross/control/agentmessages.h>
#include <oleandercross/core/json.h>

#include <catch2/catch.hpp>

using namespace oleandercross;
using namespace oleandercross::control;

namespace {

const char State[] =
    R"({"incarnation":"x","clock":5,"version":1,"epoch":3,"term":4,"worker":{"id":"i","born":7,)"
    R"("address":"10.0.0.1:80","service":"s","rack":"r","labels":["a","r"],"capacity":[1,2,3],)"
    R"("draining":false,"leavesIn":-1},"gone":false,"crashed":false,"listed":true,"listedAge":20,)"
    R"("running":[["j.0.0.0",1,"c",50]],"ended":[["j.0.0.1",2,9,0,"d"]]})";

const char Orders[] = R"({"epoch":3,"term":4,"renewUntil":500,"life":"side/i/7","acknowledged":4,)"
                      R"("orders":[["j.0.0.0",1,true,"p","c"]]})";

struct Replacement
{
    const char *what;
    std::string from;
    std::string to;
};

Json::Value changed(std::string text, const Replacement &r)
{
    const std::size_t at = text.find(r.from);
    REQUIRE(at != std::string::npos);
    const auto value = core::parseJson(text.replace(at, r.from.size(), r.to));
    REQUIRE(value);
    return *value;
}

} // namespace

// Guards against a leader that ends on an answer of an agent, or acts on a number that it misreads.
TEST_CASE("an agent's state with an odd field is rejected as a whole")
{
    REQUIRE(agentStateFromJson(*core::parseJson(State)));
    const Replacement c = GENERATE(values<Replacement>({
        {"an unknown end of a run", R"(9,0,"d")", R"(9,6,"d")"},
        {"a negative end of a run", R"(9,0,"d")", R"(9,-1,"d")"},
        {"an end of a run beyond 32 bits", R"(9,0,"d")", R"(9,4294967296,"d")"},
        {"end number 0", R"(2,9,0)", R"(2,0,0)"},
        {"an end number beyond 64 bits", R"(2,9,0)", R"(2,18446744073709551616,0)"},
        {"run 0", R"("j.0.0.1",2)", R"("j.0.0.1",0)"},
        {"a run beyond 32 bits", R"("j.0.0.0",1)", R"("j.0.0.0",2147483648)"},
        {"a task without an index", R"("j.0.0.0")", R"("j.0.0")"},
        {"no incarnation", R"("incarnation":"x",)", ""},
        {"no clock", R"("clock":5,)", ""},
        {"a negative clock", R"("clock":5)", R"("clock":-5)"},
        {"the largest 64-bit clock", R"("clock":5)", R"("clock":9223372036854775807)"},
        {"a version as text", R"("version":1)", R"("version":"1")"},
        {"no epoch", R"("epoch":3,)", ""},
        {"no term", R"("term":4,)", ""},
        {"a term beyond the limit", R"("term":4)", R"("term":1048576)"},
        {"a negative age of the lists", R"("listedAge":20)", R"("listedAge":-20)"},
        {"an age of the lists as text", R"("listedAge":20)", R"("listedAge":"20")"},
        {"a port of 16 bits and one", ":80", ":65536"},
        {"no port", ":80", ""},
        {"no worker id", R"("id":"i",)", ""},
        {"a time of start as text", R"("born":7)", R"("born":"7")"},
        {"a negative time of start", R"("born":7)", R"("born":-7)"},
        {"no service", R"("service":"s",)", ""},
        {"a time to leave beyond 64 bits", R"("leavesIn":-1)", R"("leavesIn":1e30)"},
        {"running tasks as an object", R"([["j.0.0.0",1,"c",50]])", R"({"a":1})"},
    }));
    CAPTURE(c.what);
    CHECK_FALSE(agentStateFromJson(changed(State, c)));
}

// Guards against an answer of another process that counts as the state of an agent without a
// worker.
TEST_CASE("an answer that is not a state is rejected")
{
    const std::string text = GENERATE(as<std::string>(), "null", "7", "[]", "{}", R"("text")");
    CAPTURE(text);
    CHECK_FALSE(agentStateFromJson(*core::parseJson(text)));
}

// Guards against orders that are executed with other numbers than the leader sent.
TEST_CASE("orders with an odd field are rejected as a whole")
{
    REQUIRE(orderCallFromJson(*core::parseJson(Orders)));
    const Replacement c = GENERATE(values<Replacement>({
        {"no epoch", R"("epoch":3,)", ""},
        {"a negative epoch", R"("epoch":3)", R"("epoch":-3)"},
        {"the largest 64-bit epoch", R"("epoch":3)", R"("epoch":9223372036854775807)"},
        {"no term", R"("term":4,)", ""},
        {"a negative term", R"("term":4)", R"("term":-4)"},
        {"a permit as text", R"("renewUntil":500)", R"("renewUntil":"500")"},
        {"a permit beyond 64 bits", R"("renewUntil":500)", R"("renewUntil":1e30)"},
        {"a negative acknowledgement", R"("acknowledged":4)", R"("acknowledged":-4)"},
        {"run 0", R"("j.0.0.0",1)", R"("j.0.0.0",0)"},
        {"an order that is not a list", R"(["j.0.0.0",1,true,"p","c"])", R"({"a":1})"},
    }));
    CAPTURE(c.what);
    CHECK_FALSE(orderCallFromJson(changed(Orders, c)));
}

// Guards against a watch call that occupies a thread of the agent for hours.
TEST_CASE("the wait of a watch call is limited")
{
    const std::string wait = GENERATE(as<std::string>(), "-5", "9223372036854775807", "1e30");
    CAPTURE(wait);
    const WatchCall call =
        watchCallFromJson(*core::parseJson(R"({"epoch":1,"wait":)" + wait + "}"));
    CHECK(call.wait >= absl::ZeroDuration());
    CHECK(call.wait <= absl::Seconds(10));
}

// Guards against a result that the leader misreads, or that ends its process.
TEST_CASE("results of orders that are not named count as unanswered")
{
    const std::string text = GENERATE(as<std::string>(), "null", "-1", "7", "1e30", R"("0")", "[0]",
                                      "{}", "0.5", "4294967296");
    CAPTURE(text);
    CHECK(orderResultFromJson(*core::parseJson(text)) == OrderResult::Unanswered);
    CHECK(orderResultFromJson(Json::Value(3)) == OrderResult::Absent);
    CHECK(orderResultFromJson(Json::Value(5)) == OrderResult::DataCentreClosed);
    CHECK(orderResultFromJson(Json::Value(6)) == OrderResult::NotSent);
}
