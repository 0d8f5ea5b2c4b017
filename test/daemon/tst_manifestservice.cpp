#include <oleandercross/daemon/manifestservice.h>

#include "fakestore.h"

#include <absl/strings/match.h>
#include <catch2/catch.hpp>

using namespace oleandercross;
using core::ResultCode;
using daemon::CommitRequest;

namespace {

const std::string FirstYaml = "dataCentres:\n"
                              "  - {name: a, racks: 1, workersPerRack: 1,\n"
                              "     perWorker: {accelerators: 8, cores: 8, memoryMb: 8000}}\n"
                              "accounts:\n"
                              "  - {name: one, tokenHashes: ["
    + std::string(64, 'a')
    + "]}\n"
      "services:\n"
      "  - {name: service}\n";
const std::string SecondYaml = FirstYaml + "drainWorkers: [w1]\n";

// Two entries on the same table service.
struct Fixture
{
    core::SteadyClock clock;
    test::FakeTableService tables;
    platform::StoreWriter firstStore{tables, clock, test::fastWriterOptions("a")};
    platform::StoreWriter secondStore{tables, clock, test::fastWriterOptions("b")};
    daemon::ManifestService first{firstStore};
    daemon::ManifestService second{secondStore};
};

CommitRequest commit(std::int64_t parent, const std::string &writeId, const std::string &yaml)
{
    return {parent, writeId, yaml, "test"};
}

} // namespace

// Guards against accepting two commits with the same parent.
TEST_CASE("a commit with an outdated parent is refused with both revisions in the message")
{
    Fixture f;
    const auto number = f.first.commit(commit(0, "write1", FirstYaml));
    INFO(core::lastReason().message);
    REQUIRE(number == 1);
    REQUIRE(f.first.commit(commit(1, "write2", SecondYaml)) == 2);
    CHECK_FALSE(f.second.commit(commit(1, "write3", FirstYaml)));
    CHECK(core::lastReason().code == ResultCode::ConfigConflict);
    CHECK(absl::StrContains(core::lastReason().message, "revision 1"));
    CHECK(absl::StrContains(core::lastReason().message, "newest is revision 2"));
    CHECK(f.second.history(10)->size() == 2);
}

// Guards against a commit that is refused or stored twice after its first answer was lost. The
// number of lost answers is varied.
TEST_CASE("a commit succeeds despite lost answers, and a repetition returns the same revision")
{
    Fixture f;
    f.tables.loseAnswers(GENERATE(0, 1, 2));
    REQUIRE(f.first.commit(commit(0, "write1", FirstYaml)) == 1);
    CHECK(f.first.commit(commit(0, "write1", FirstYaml)) == 1);
    CHECK(f.second.commit(commit(0, "write1", FirstYaml)) == 1);
    CHECK(f.second.history(10)->size() == 1);
}

// Guards against a decreasing revision on a process, and against losing it in a store outage.
TEST_CASE("the revision in force never decreases")
{
    Fixture f;
    REQUIRE(f.first.commit(commit(0, "write1", FirstYaml)) == 1);
    const Json::Value oldRevision = daemon::encode(*f.first.current());
    REQUIRE(f.first.commit(commit(1, "write2", SecondYaml)) == 2);
    REQUIRE(f.second.refresh());
    CHECK(f.second.current()->number == 2);
    f.second.applyPeerRevision(oldRevision);
    CHECK(f.second.current()->number == 2);
    f.tables.setOutage(true);
    CHECK_FALSE(f.second.refresh());
    CHECK(f.second.current()->number == 2);
    CHECK_FALSE(f.first.commit(commit(2, "write3", FirstYaml)));
    CHECK(core::provablyNotRun(core::lastReason().code));
    CHECK(f.first.current()->number == 2);
}

// Guards against a process that has no configuration while the store is unavailable.
TEST_CASE("a process that starts during a store outage gets the revision from a peer")
{
    Fixture f;
    REQUIRE(f.first.commit(commit(0, "write1", FirstYaml)) == 1);
    f.tables.setOutage(true);
    CHECK_FALSE(f.second.refresh());
    CHECK(f.second.current() == nullptr);
    f.second.applyPeerRevision(daemon::encode(*f.first.current()));
    REQUIRE(f.second.current());
    CHECK(*f.second.current() == *f.first.current());
}

TEST_CASE("an invalid manifest is refused and nothing is stored")
{
    Fixture f;
    CHECK_FALSE(f.first.commit(commit(0, "write1", "accounts: 7\n")));
    // The codes 1xx are configuration errors.
    CHECK(static_cast<int>(core::lastReason().code) / 100 == 1);
    CHECK(f.first.refresh());
    CHECK(f.first.current() == nullptr);
}
