#include <oleandercross/core/resultcode.h>
#include <platform/settings.h>

#include <catch2/catch.hpp>

using namespace oleandercross;

namespace {

const char Text[] = R"(
node: "front-brum-1"
ip: "10.1.0.19"
zone: "brum"
listen:
  front: "10.1.0.19:8521"
  ready: "10.1.0.19:8523"
portRange:
  - 7000
  - 7015
seeds:
  - "10.1.0.19:8526"
  - "nonsense"
unknown:
  later: true
limits:
  cpuShare: 0.25
  cores: 1
bounds:
  maxHoldMs: 10000
  graceS: 6
  crossRackFactor: 3
  status_s: 120
  stopGraceMs: 200
platform:
  addr: "10.200.1.7:8524"
)";

} // namespace

// Guards against a process that listens on or connects to the wrong address.
TEST_CASE("the platform's settings are read and unknown fields ignored")
{
    const auto settings = platform::parseDeploymentSettings(Text);
    REQUIRE(settings);
    CHECK(settings->callers == http::Endpoint{"10.1.0.19", 8521});
    CHECK(settings->internal == http::Endpoint{"10.1.0.19", 7000});
    CHECK(settings->seeds == std::vector<http::Endpoint>{{"10.1.0.19", 7000}});
    CHECK(settings->store == http::Endpoint{"10.200.1.7", 8524});
    CHECK(settings->milliCores == 250);
    CHECK(settings->maxLease == absl::Seconds(10));
    CHECK(settings->taskStopTime == absl::Milliseconds(200));
    CHECK_FALSE(settings->heartbeats);
}

// Guards against a process that starts with a default for a required limit.
TEST_CASE("errors name the missing or malformed setting")
{
    struct Case
    {
        const char *from;
        const char *to;
        const char *named;
        core::ResultCode code;
    };
    const Case c = GENERATE(values<Case>({
        {"node: \"front-brum-1\"\n", "", "node", core::ResultCode::ConfigMissingValue},
        {"  maxHoldMs: 10000\n", "", "bounds.maxHoldMs", core::ResultCode::ConfigMissingValue},
        {"maxHoldMs: 10000", "maxHoldMs: soon", "bounds.maxHoldMs",
         core::ResultCode::ConfigWrongType},
        {"\"10.200.1.7:8524\"", "\"store\"", "platform.addr", core::ResultCode::ConfigWrongType},
        {"ip: \"10.1.0.19\"", "ip: [", "settings", core::ResultCode::ConfigSyntax},
    }));
    std::string text = Text;
    text.replace(text.find(c.from), std::string(c.from).size(), c.to);
    CHECK_FALSE(platform::parseDeploymentSettings(text));
    CHECK(core::lastReason().code == c.code);
    CHECK(core::lastReason().message.find(c.named) != std::string::npos);
}

// Guards against a leader that starts work later than the platform allows, and against one that
// stops where the platform gives no bound.
TEST_CASE("the bound for closed data centres is optional")
{
    const auto withoutBound = platform::parseDeploymentSettings(Text);
    REQUIRE(withoutBound);
    CHECK(withoutBound->closureBound == absl::InfiniteDuration());
    std::string text = Text;
    text.insert(text.find("  stopGraceMs"), "  evacuateMs: 5000\n");
    const auto withBound = platform::parseDeploymentSettings(text);
    REQUIRE(withBound);
    CHECK(withBound->closureBound == absl::Seconds(5));
}
