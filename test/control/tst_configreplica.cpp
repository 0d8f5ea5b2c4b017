#include "fakerowstore.h"
#include "loopback.h"

#include <oleandercross/control/configreplica.h>
#include <oleandercross/core/json.h>

#include <absl/strings/numbers.h>
#include <absl/time/clock.h>
#include <catch2/catch.hpp>

#include <atomic>

using namespace oleandercross;
using namespace oleandercross::control;

namespace {

constexpr char ConfigTable[] = "op";
constexpr char ConfigKey[] = "config";

// A configuration is the text of its version.
std::optional<workload::Catalog> decodeVersion(const std::string &text)
{
    workload::Catalog catalog;
    return absl::SimpleAtoi(text, &catalog.version) ? std::optional(catalog) : std::nullopt;
}

// A replica with one peer, whose answers the test chooses.
struct ReplicaFixture
{
    explicit ReplicaFixture(std::string answer)
        : peer(testing::onLoopback(0), "key")
        , client({}, "key")
        , replica({ConfigTable, ConfigKey, {"127.0.0.1", 1}, absl::Seconds(5)}, store, client,
                  metrics, decodeVersion,
                  {[this] {
                       return std::vector<http::Endpoint>{{"127.0.0.1", peer.port()}};
                   },
                   [](const auto &) {}})
    {
        peer.add("config", [this, answer = std::move(answer)](const Json::Value &) {
            ++questions;
            return core::parseJson(answer);
        });
        REQUIRE(peer.start());
    }

    template <typename Condition>
    bool waitUntil(Condition condition) const
    {
        const core::Instant until = clock.now() + absl::Seconds(20);
        while (!condition() && clock.now() < until)
            absl::SleepFor(absl::Milliseconds(5));
        return condition();
    }

    void put(const std::string &key, const std::string &value)
    {
        RowChanges changes;
        changes.puts.push_back({ConfigTable, key, value});
        REQUIRE(store.commitUnlimited(changes).outcome == CommitOutcome::Applied);
    }

    std::int64_t version() const
    {
        const auto catalog = replica.catalog();
        return catalog ? catalog->version : -1;
    }

    core::BootClock clock;
    testing::FakeRowStore store;
    telemetry::Metrics metrics;
    std::atomic<int> questions = 0;
    rpc::Server peer;
    rpc::Client client;
    ConfigReplica replica;
};

} // namespace

// Guards against a process that ends, or takes no further configuration, because of the answer of a
// peer that cannot be read.
TEST_CASE("a replica goes on after an odd answer of a peer")
{
    const std::string answer =
        GENERATE(as<std::string>(), "null", "7", "[1]", R"("text")", "{}", R"({"config":7})",
                 R"({"config":{"a":1}})", R"({"config":"nonsense"})");
    CAPTURE(answer);
    ReplicaFixture f(answer);
    f.put(ConfigKey, "5");
    f.store.setUnavailable(true);
    f.replica.start();
    // The peer is asked again after its first answer has been handled.
    REQUIRE(f.waitUntil([&f] { return f.questions > 1; }));
    f.store.setUnavailable(false);
    CHECK(f.waitUntil([&f] { return f.version() == 5; }));
    f.replica.stop();
}

// Guards against a replica that stops following at a row that it cannot read, also if the row is
// still there when the process starts.
TEST_CASE("a replica follows the configuration past odd rows of its table")
{
    const std::string odd = GENERATE(as<std::string>(), "", "nonsense", "\xff\xfe",
                                     std::string(100000, '['), "-9223372036854775809");
    ReplicaFixture f("{}");
    f.put("other", odd);
    f.put(ConfigKey, odd);
    f.replica.start();
    REQUIRE(f.waitUntil([&f] { return f.store.reads(ConfigTable) > 0; }));
    CHECK(f.version() == -1);
    f.put(ConfigKey, "5");
    REQUIRE(f.waitUntil([&f] { return f.version() == 5; }));
    f.put(ConfigKey, odd);
    f.put(ConfigKey, "6");
    CHECK(f.waitUntil([&f] { return f.version() == 6; }));
    f.replica.stop();
}
