#include <oleandercross/daemon/jobservice.h>

#include <oleandercross/config/file.h>
#include <oleandercross/core/resultcode.h>

#include "fakestore.h"

#include <catch2/catch.hpp>

using namespace oleandercross;
using core::ResultCode;

namespace {

constexpr char Key[] = "order 7";
constexpr char Submission[] =
    R"({"dataCentre":"brum","team":"rota","accelerators":1,"command":"run 1"})";
const core::AccountId Families("families");

config::Settings entrySettings()
{
    config::Settings settings;
    settings.id = "entry-1";
    settings.dataCentre = core::DataCentreId("brum");
    settings.sharedKey = "a shared key for tests";
    return settings;
}

// The jobs of an entry that knows no leader.
struct Fixture
{
    Fixture()
    {
        daemon::CommitRequest commit;
        commit.writeId = "first";
        commit.yaml = *config::readFile(SOURCE_DIR "/examples/wrekin/manifest.yaml");
        REQUIRE(manifests.commit(commit));
        cluster.recordStoreRead(true);
    }

    std::optional<daemon::JobRecord> submit(const core::AccountId &account = Families)
    {
        const auto &accounts = manifests.current()->manifest->accounts;
        const auto found = std::find_if(accounts.begin(), accounts.end(),
                                        [&account](const auto &a) { return a.name == account; });
        REQUIRE(found != accounts.end());
        return jobs.submit(*found, Key, Submission);
    }

    // Returns the result code of the cancellation, Ok if it returns a job.
    ResultCode cancel(const core::AccountId &account, const core::JobId &id)
    {
        return jobs.cancel(account, id) ? ResultCode::Ok : core::lastReason().code;
    }

    core::SteadyClock clock;
    config::Settings settings = entrySettings();
    test::FakeTableService tables;
    platform::StoreWriter store{tables, clock, test::fastWriterOptions("a")};
    rpc::Client client{http::ClientOptions{}, settings.sharedKey};
    telemetry::Metrics metrics;
    daemon::ManifestService manifests{store};
    daemon::ClusterView cluster{settings, 1, client, manifests, metrics};
    daemon::JobService jobs{cluster, manifests, store, client};
};

// Returns the id of the job that a submission creates.
core::JobId idOfSubmission()
{
    Fixture f;
    const auto record = f.submit();
    REQUIRE(record);
    return record->spec.id;
}

} // namespace

// Guards against a job that runs although its caller was told that it does not exist: the caller
// learns the id of a submission in doubt, and the store may apply it later.
TEST_CASE("a submission that is stored after the job's cancellation is rejected")
{
    const core::JobId id = idOfSubmission();
    Fixture f;
    CHECK(f.cancel(Families, id) == ResultCode::UnknownJob);
    for (int i = 0; i < 2; ++i) {
        CHECK_FALSE(f.submit());
        CHECK(core::lastReason().code == ResultCode::Cancelled);
    }
    CHECK(f.cancel(Families, id) == ResultCode::UnknownJob);
    CHECK_FALSE(f.jobs.job(Families, id, {}, absl::ZeroDuration()));
}

// Guards against an account that keeps another one from submitting a job.
TEST_CASE("an account's cancellation of an unknown job does not affect other accounts")
{
    const core::JobId id = idOfSubmission();
    Fixture f;
    CHECK(f.cancel(core::AccountId("venues"), id) == ResultCode::UnknownJob);
    CHECK(f.submit());
    CHECK(f.cancel(core::AccountId("venues"), id) == ResultCode::UnknownJob);
    CHECK(f.cancel(Families, id) == ResultCode::Ok);
}

// Guards against a caller that is told that a job does not exist although its submission can still
// be stored.
TEST_CASE("a job is reported as unknown to a cancellation only once that is stored")
{
    const core::JobId id = idOfSubmission();
    Fixture f;
    SECTION("the answer is lost")
    {
        f.tables.loseAnswers(1);
        CHECK(f.cancel(Families, id) == ResultCode::UnknownJob);
        CHECK_FALSE(f.submit());
    }
    SECTION("the store is away")
    {
        f.tables.setOutage(true);
        CHECK(f.cancel(Families, id) == ResultCode::StoreUnavailable);
        f.tables.setOutage(false);
        CHECK(f.submit());
    }
}
