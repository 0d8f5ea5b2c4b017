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
      "  - {name: desk}\n";
const std::string SecondYaml = FirstYaml + "drainWorkers: [w1]\n";

// Two entries on the same table service.
struct Fixture
{
    core::SteadyClock clock;
    test::FakeTableService tables;
    platform::StoreWriter firstStore{tables, clock, test::fastWriter("a")};
    platform::StoreWriter secondStore{tables, clock, test::fastWriter("b")};
    daemon::ManifestService first{firstStore};
    daemon::ManifestService second{secondStore};
};

CommitRequest commit(std::int64_t parent, const std::string &writeId, const std::string &yaml)
{
    return {parent, writeId, yaml, "test"};
}

} // namespace

// Guards against two commits on the same parent that are both accepted.
TEST_CASE("one of two racing commits wins and the loser is told both revisions")
{
    Fixture f;
    const auto number = f.first.commit(commit(0, "w1", FirstYaml));
    INFO(core::lastReason().message);
    REQUIRE(number == 1);
    REQUIRE(f.first.commit(commit(1, "w2", SecondYaml)) == 2);
    CHECK_FALSE(f.second.commit(commit(1, "w3", FirstYaml)));
    CHECK(core::lastReason().code == ResultCode::ConfigConflict);
    CHECK(absl::StrContains(core::lastReason().message, "revision 1"));
    CHECK(absl::StrContains(core::lastReason().message, "newest is revision 2"));
    CHECK(f.second.history(10)->size() == 2);
}

// Guards against a repeated or doubly stored commit when the first answer was lost.
TEST_CASE("a commit whose answer was lost is settled and can be repeated")
{
    Fixture f;
    f.tables.loseAnswers(GENERATE(0, 1, 2));
    REQUIRE(f.first.commit(commit(0, "w1", FirstYaml)) == 1);
    CHECK(f.first.commit(commit(0, "w1", FirstYaml)) == 1);
    CHECK(f.second.commit(commit(0, "w1", FirstYaml)) == 1);
    CHECK(f.second.history(10)->size() == 1);
}

// Guards against a revision that goes back on a process, and against losing it in an outage.
TEST_CASE("the revision in force never decreases")
{
    Fixture f;
    REQUIRE(f.first.commit(commit(0, "w1", FirstYaml)) == 1);
    const Json::Value oldRevision = daemon::encode(*f.first.current());
    REQUIRE(f.first.commit(commit(1, "w2", SecondYaml)) == 2);
    REQUIRE(f.second.refresh());
    CHECK(f.second.current()->number == 2);
    f.second.learn(oldRevision);
    CHECK(f.second.current()->number == 2);
    f.tables.setOutage(true);
    CHECK_FALSE(f.second.refresh());
    CHECK(f.second.current()->number == 2);
    CHECK_FALSE(f.first.commit(commit(2, "w3", FirstYaml)));
    CHECK(core::provablyNotRun(core::lastReason().code));
    CHECK(f.first.current()->number == 2);
}

// Guards against a restarted process that serves without the configuration, or with an old one.
TEST_CASE("a process that starts during an outage learns the revision from a peer")
{
    Fixture f;
    REQUIRE(f.first.commit(commit(0, "w1", FirstYaml)) == 1);
    f.tables.setOutage(true);
    CHECK_FALSE(f.second.refresh());
    CHECK(f.second.current() == nullptr);
    f.second.learn(daemon::encode(*f.first.current()));
    REQUIRE(f.second.current());
    CHECK(*f.second.current() == *f.first.current());
}

TEST_CASE("a manifest that does not parse is refused and stores nothing")
{
    Fixture f;
    CHECK_FALSE(f.first.commit(commit(0, "w1", "accounts: 7\n")));
    CHECK(static_cast<int>(core::lastReason().code) / 100 == 1);
    CHECK(f.first.refresh());
    CHECK(f.first.current() == nullptr);
}
