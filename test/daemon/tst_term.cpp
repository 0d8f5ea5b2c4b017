#include <oleandercross/daemon/term.h>

#include <oleandercross/config/file.h>
#include <oleandercross/core/json.h>
#include <oleandercross/daemon/manifestservice.h>
#include <oleandercross/platform/httpadapters.h>

#include <platform/testservers.h>

#include <atomic>
#include <thread>

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

// Passes calls on. The answers to one thread's reads of job rows can be held back.
class HeldTables : public platform::TableService
{
public:
    explicit HeldTables(platform::TableService &tables)
        : m_tables(tables)
    { }

    std::optional<std::optional<platform::Row>> read(const std::string &key) override
    {
        auto row = m_tables.read(key);
        if (key.starts_with(daemon::jobPrefix(Brum)) && std::this_thread::get_id() == heldThread) {
            holding = true;
            test::eventually([this] { return released.load(); });
        }
        return row;
    }

    std::optional<std::vector<platform::Row>> scan(const std::string &prefix,
                                                   const std::string &after, int limit) override
    {
        return m_tables.scan(prefix, after, limit);
    }

    std::optional<std::int64_t> write(const platform::Transaction &transaction) override
    {
        return m_tables.write(transaction);
    }

    std::optional<bool> applied(const platform::Transaction &transaction) override
    {
        return m_tables.applied(transaction);
    }

    std::atomic<std::thread::id> heldThread;
    std::atomic<bool> holding = false;
    std::atomic<bool> released = false;

private:
    platform::TableService &m_tables;
};

// A term on the table service of the stand-in platform, without agents.
struct TermFixture
{
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

    const core::SteadyClock clock;
    const config::Settings settings = entrySettings();
    http::ClientPool pool{http::ClientOptions{}};
    platform::HttpTableService service{pool, tables.server.endpoint()};
    HeldTables heldTables{service};
    platform::StoreWriter store{heldTables, clock, platform::storeWriterOptions("test", 1)};
    rpc::Client client{http::ClientOptions{}, settings.sharedKey};
    telemetry::Metrics metrics;
    daemon::ManifestService manifests{store};
    daemon::ClusterView cluster{settings, 1, client, manifests, metrics};
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

// Guards against running a job again that has ended: its row may have been read before the row was
// removed, and arrive after that.
TEST_CASE("a term does not add a job again that ended while its row was read")
{
    TermFixture fixture;
    const core::JobId id = fixture.storeJob();
    bool added = false;
    std::thread late([&] {
        fixture.heldTables.heldThread = std::this_thread::get_id();
        added = fixture.term->addJob(id);
    });
    CHECK(test::eventually([&] { return fixture.heldTables.holding.load(); }));
    CHECK(fixture.term->addJob(id));
    CHECK(fixture.term->cancelJob(id));
    const auto known = [&] { return fixture.term->jobRecord(id, "", absl::ZeroDuration()); };
    CHECK(test::eventually([&] { return !known(); }));
    fixture.heldTables.released = true;
    late.join();
    // No retry is needed for a job that has ended.
    CHECK(added);
    CHECK_FALSE(known());
}
