#include "fakerowstore.h"
#include "loopback.h"
#include "silentpeer.h"

#include <oleandercross/control/entry.h>

#include <absl/cleanup/cleanup.h>
#include <absl/strings/numbers.h>
#include <absl/time/clock.h>
#include <catch2/catch.hpp>

#include <memory>
#include <thread>

using namespace oleandercross;
using namespace oleandercross::control;
using testing::freePort;
using testing::onLoopback;

namespace {

constexpr char ConfigTable[] = "op";
constexpr char ConfigKey[] = "config";
// Much longer than any step takes, so that the test does not fail on a slow machine.
constexpr absl::Duration StateTimeout = absl::Seconds(20);

// A configuration is the text of its version.
std::optional<workload::Catalog> decodeVersion(const std::string &text)
{
    workload::Catalog catalog;
    return absl::SimpleAtoi(text, &catalog.version) ? std::optional(catalog) : std::nullopt;
}

// A started entry whose calls to peers have no timeout that could end them during the test.
struct StartedEntry
{
    StartedEntry(testing::FakeRowStore &store, std::vector<http::Endpoint> seeds,
                 const std::string &name = "front", int port = freePort())
        : client({}, "key")
        , server(onLoopback(port), "key")
        , entry(options(name, port, std::move(seeds)), store, client, server, metrics,
                decodeVersion)
    {
        REQUIRE(server.start());
        entry.start();
    }

    ~StartedEntry()
    {
        entry.stop();
        server.stop();
    }

    static EntryOptions options(const std::string &name, int port,
                                std::vector<http::Endpoint> seeds)
    {
        EntryOptions options;
        options.self = {name, MemberRole::Entry, {"127.0.0.1", port}, "life"};
        options.seeds = std::move(seeds);
        options.configTable = ConfigTable;
        options.configKey = ConfigKey;
        options.peerTimeout = absl::Hours(1);
        return options;
    }

    template <typename Condition>
    bool waitUntil(Condition condition) const
    {
        const core::Instant until = clock.now() + StateTimeout;
        while (!condition() && clock.now() < until)
            absl::SleepFor(absl::Milliseconds(5));
        return condition();
    }

    std::int64_t configVersion() const
    {
        const auto catalog = entry.catalog();
        return catalog ? catalog->version : -1;
    }

    bool reachesConfigVersion(std::int64_t version) const
    {
        return waitUntil([&] { return configVersion() == version; });
    }

    core::BootClock clock;
    telemetry::Metrics metrics;
    rpc::Client client;
    rpc::Server server;
    Entry entry;
};

class SilentPeers
{
public:
    explicit SilentPeers(int count)
    {
        for (int i = 0; i < count; ++i)
            m_peers.push_back(std::make_unique<testing::SilentPeer>());
    }

    std::vector<http::Endpoint> addresses() const
    {
        std::vector<http::Endpoint> addresses;
        for (const auto &peer : m_peers)
            addresses.push_back(peer->address());
        return addresses;
    }

    int calls() const
    {
        int sum = 0;
        for (const auto &peer : m_peers)
            sum += peer->calls();
        return sum;
    }

    void release()
    {
        for (const auto &peer : m_peers)
            peer->release();
    }

private:
    std::vector<std::unique_ptr<testing::SilentPeer>> m_peers;
};

void writeConfig(testing::FakeRowStore &store, std::int64_t version)
{
    RowChanges changes;
    changes.puts.push_back({ConfigTable, ConfigKey, std::to_string(version)});
    REQUIRE(store.commit(changes, StoreTimeout).outcome == CommitOutcome::Applied);
}

} // namespace

// Guards against an entry that does not read the configuration while it waits for peers that do
// not answer: callers would be served by an old version for as long as the peers are dark.
TEST_CASE("configuration changes take effect while peers do not answer")
{
    struct Case
    {
        const char *what;
        int silentPeers;
        // The entry cannot read the store before the last version is written.
        bool storeUnavailableAtFirst;
    };
    const Case c = GENERATE(values<Case>({
        {"one silent peer", 1, false},
        {"more silent peers than calls at a time", 12, false},
        {"the store returns from an outage", 3, true},
    }));
    CAPTURE(c.what);
    SilentPeers peers(c.silentPeers);
    testing::FakeRowStore store;
    writeConfig(store, 1);
    store.setUnavailable(c.storeUnavailableAtFirst);
    StartedEntry f(store, peers.addresses());
    // Ends the pending calls before the entry is stopped.
    const auto release = absl::MakeCleanup([&peers] { peers.release(); });
    // The entry tells its peers the first version, or asks them for it, on another thread. The
    // later versions are written while that call is pending.
    REQUIRE(f.waitUntil([&] { return peers.calls() > 0; }));
    store.setUnavailable(false);
    for (std::int64_t version = 2; version <= 4; ++version) {
        writeConfig(store, version);
        REQUIRE(f.reachesConfigVersion(version));
    }
}

// Guards against an entry that keeps an old configuration because the store does not answer it.
TEST_CASE("an entry without the store gets the configuration from its peers")
{
    testing::FakeRowStore store;
    testing::FakeRowStore unavailableStore;
    unavailableStore.setUnavailable(true);
    const int port = freePort();
    const int otherPort = freePort();
    StartedEntry f(store, {{"127.0.0.1", otherPort}}, "front-1", port);
    StartedEntry other(unavailableStore, {{"127.0.0.1", port}}, "front-2", otherPort);
    for (std::int64_t version = 1; version <= 3; ++version) {
        writeConfig(store, version);
        REQUIRE(f.reachesConfigVersion(version));
        REQUIRE(other.reachesConfigVersion(version));
    }
}

// Guards against a planned stop that waits for one silent peer after the other, exceeds its grace
// period and is ended by a signal with requests in flight.
TEST_CASE("a stopping leader notifies all peers while none of them answers")
{
    constexpr int PeerCount = 8;
    SilentPeers peers(PeerCount);
    testing::FakeRowStore store;
    StartedEntry f(store, peers.addresses());
    const auto hasLeader = [&] { return store.value(LeaderTable, LeaderKey).has_value(); };
    REQUIRE(f.waitUntil(hasLeader));
    std::thread stopping([&f] { f.entry.beginStop(); });
    CHECK(f.waitUntil([&] { return peers.calls() == PeerCount; }));
    peers.release();
    stopping.join();
}

// Guards against a planned stop that waits for the store after the last request has been answered,
// and exceeds its grace period while the store does not answer.
TEST_CASE("a stopping entry makes no further calls for the configuration")
{
    testing::FakeRowStore store;
    writeConfig(store, 1);
    StartedEntry f(store, {});
    REQUIRE(f.reachesConfigVersion(1));
    f.entry.stopFollowing();
    const int reads = store.reads(ConfigTable);
    for (std::int64_t version = 2; version <= 6; ++version) {
        writeConfig(store, version);
        absl::SleepFor(absl::Milliseconds(20));
    }
    f.entry.stop();
    // One call may have been about to begin.
    CHECK(store.reads(ConfigTable) <= reads + 1);
}
