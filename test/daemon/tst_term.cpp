#include <oleandercross/daemon/term.h>

#include <oleandercross/config/file.h>
#include <oleandercross/core/json.h>
#include <oleandercross/daemon/manifestservice.h>
#include <oleandercross/platform/httpadapters.h>

#include <platform/testservers.h>

#include <atomic>

using namespace oleandercross;

namespace {

constexpr absl::Duration LongWait = absl::Seconds(20);
const core::DataCentreId Brum("brum");

config::Settings entrySettings()
{
    config::Settings settings;
    settings.id = "entry-1";
    settings.dataCentre = Brum;
    settings.sharedKey = "a shared key for tests";
    return settings;
}

// A term on the table service of the stand-in platform, without agents.
class TermFixture
{
public:
    TermFixture()
    {
        daemon::CommitRequest commit;
        commit.writeId = "first";
        commit.yaml = *config::readFile(SOURCE_DIR "/examples/wrekin/manifest.yaml");
        REQUIRE(manifests.commit(commit));
        term->start();
        REQUIRE(test::eventually([this] { return term->restored(); }));
    }

    core::JobId storeJob()
    {
        auto record = daemon::parseSubmission(
            R"({"dataCentre":"brum","team":"rota","accelerators":1,"command":"run 1"})");
        REQUIRE(record);
        record->spec.id = core::JobId("brum.0123456789abcdef0123456789abcdef");
        record->spec.account = core::AccountId("families");
        platform::Transaction transaction;
        transaction.puts = {
            {daemon::jobKey(Brum, record->spec.id), core::writeJson(daemon::encode(*record))}};
        REQUIRE(store.write(transaction, platform::WritePriority::Job, LongWait).outcome
                == platform::WriteOutcome::Applied);
        return record->spec.id;
    }

    // Waits long enough for several ticks of the term.
    void waitForTicks() const { absl::SleepFor(absl::Milliseconds(500)); }

    std::atomic<bool> outage = false;
    test::TestServer<standin::TableRole> tables;

private:
    const core::SteadyClock clock;
    const config::Settings settings = entrySettings();
    http::ClientPool pool{http::ClientOptions{}};
    platform::HttpTableService service{pool, tables.server.endpoint()};
    platform::StoreWriter store{service, clock, platform::storeWriterOptions("test", 1)};
    rpc::Client client{http::ClientOptions{}, settings.sharedKey};
    telemetry::Metrics metrics;
    daemon::ManifestService manifests{store};
    daemon::ClusterView cluster{settings, 1, client, manifests, metrics};

public:
    const std::shared_ptr<daemon::Term> term = std::make_shared<daemon::Term>(
        daemon::TermContext{settings, cluster, manifests, store, client, metrics,
                            [] { return true; }, [this] { return outage.load(); },
                            [](std::int64_t) {}},
        1, platform::Condition{"epoch/brum", 0});
};

} // namespace

// Guards against failing a job with "cannot be recorded" that was accepted just after a store
// outage, while the leader still treated the store as unavailable.
TEST_CASE("a term adds a recorded job after a store outage instead of failing it")
{
    TermFixture fixture;
    fixture.outage = true;
    fixture.waitForTicks();
    const core::JobId id = fixture.storeJob();
    CHECK_FALSE(fixture.term->addJob(id));
    CHECK_FALSE(fixture.term->jobRecord(id, "", absl::ZeroDuration()));
    fixture.outage = false;
    REQUIRE(test::eventually([&] { return fixture.term->addJob(id); }));
    const auto record = fixture.term->jobRecord(id, "", absl::ZeroDuration());
    REQUIRE(record);
    CHECK(record->state == scheduling::JobState::Waiting);
}
