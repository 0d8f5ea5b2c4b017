#include <oleandercross/membership/directory.h>

#include <absl/strings/str_cat.h>
#include <catch2/catch.hpp>

#include <algorithm>
#include <map>

using namespace oleandercross;
using namespace oleandercross::membership;

namespace {

const core::Instant Start = absl::UnixEpoch() + absl::Hours(1);
const core::DataCentreId LocalDataCentre("brum");

core::Instant after(double seconds)
{
    return Start + absl::Seconds(seconds);
}

AgentRecord agent(const std::string &name, Incarnation incarnation, std::int64_t sequence,
                  const std::string &state = "{}")
{
    return {core::AgentId(name), LocalDataCentre, name + ":1", incarnation, sequence, state};
}

EntryRecord entry(const std::string &name, const core::DataCentreId &dataCentre = LocalDataCentre)
{
    return {core::EntryId(name), dataCentre, name + ":1", 1, 0};
}

std::vector<core::EntryId> ids(int count)
{
    std::vector<core::EntryId> all;
    for (int i = 0; i < count; ++i)
        all.emplace_back(absl::StrCat("e", i));
    return all;
}

bool has(const std::vector<Change> &changes, Change::Kind kind, const std::string &id)
{
    return std::find(changes.begin(), changes.end(), Change{kind, id}) != changes.end();
}

// Delivers a summary and returns its acknowledgement, as the daemons do.
bool exchange(Directory &from, Directory &to, const std::string &toId, double at)
{
    const Summary summary = from.summaryFor(core::EntryId(toId));
    const bool accepted = to.receive(summary, after(at));
    if (accepted)
        from.acknowledged(core::EntryId(toId), summary.version);
    else
        from.forgetAcknowledged(core::EntryId(toId));
    return accepted;
}

} // namespace

// Guards against a hash that moves agents between the remaining entries or overloads one of them.
TEST_CASE("rendezvous hashing moves only the agents of a lost entry")
{
    constexpr int Agents = 640;
    std::map<core::EntryId, int> load;
    for (int i = 0; i < Agents; ++i) {
        const core::AgentId id(absl::StrCat("agent", i));
        const core::EntryId home = homeEntry(id, ids(4));
        ++load[home];
        const core::EntryId homeWithoutLast = homeEntry(id, ids(3));
        if (home != core::EntryId("e3"))
            CHECK(homeWithoutLast == home);
    }
    for (const auto &[id, count] : load) {
        CHECK(count > Agents / 4 - 50);
        CHECK(count < Agents / 4 + 50);
    }
    CHECK(homeEntry(core::AgentId("x"), {}).empty());
}

TEST_CASE("periods keep an entry's traffic below 24 KB/s")
{
    const int agents = GENERATE(1, 10, 32, 64);
    const double bytes = GENERATE(300.0, 700.0, 1000.0);
    const int remote = GENERATE(0, 7, 14, 21);
    const double exchangeBytes = 800;
    const double heartbeats =
        agents * bytes / absl::ToDoubleSeconds(heartbeatPeriod(agents, bytes));
    const absl::Duration period = remoteExchangePeriod(2, remote, exchangeBytes);
    const double exchanges = 2 * exchangeBytes
        * (2 / absl::ToDoubleSeconds(ExchangePeriod) + remote / absl::ToDoubleSeconds(period));
    CHECK(heartbeats + exchanges < 24000);
    CHECK(heartbeatPeriod(agents, bytes) <= MaxHeartbeatPeriod);
}

TEST_CASE("heartbeats are classified by incarnation and sequence")
{
    struct Row
    {
        Incarnation incarnation;
        std::int64_t sequence;
        HeartbeatResult result;
    };
    const auto row =
        GENERATE(Row{2, 6, HeartbeatResult::Accepted}, Row{2, 5, HeartbeatResult::Duplicate},
                 Row{2, 4, HeartbeatResult::Duplicate}, Row{1, 9, HeartbeatResult::Stale},
                 Row{3, 1, HeartbeatResult::Accepted});
    Directory directory(entry("e"));
    CHECK(directory.heartbeat(agent("a", 2, 5), 600, after(0)) == HeartbeatResult::Accepted);
    CHECK(has(directory.tick(after(0)), Change::Kind::AgentJoined, "a"));
    CHECK(directory.heartbeat(agent("a", row.incarnation, row.sequence), 600, after(0.1))
          == row.result);
    CHECK(has(directory.tick(after(0.1)), Change::Kind::AgentRestarted, "a")
          == (row.incarnation == 3));
}

TEST_CASE(
    "an agent is reported lost after MaxMissedPeriods periods without a heartbeat, not earlier")
{
    Directory directory(entry("e"));
    for (int i = 0; i < 5; ++i)
        directory.heartbeat(agent(absl::StrCat("a", i), 1, 1), 600, after(0));
    for (int i = 1; i < 5; ++i)
        directory.heartbeat(agent(absl::StrCat("a", i), 1, 2), 600, after(1.4));
    CHECK_FALSE(has(directory.tick(after(1.4)), Change::Kind::AgentLost, "a0"));
    CHECK(has(directory.tick(after(1.6)), Change::Kind::AgentLost, "a0"));
    CHECK_FALSE(directory.agent(core::AgentId("a0")).has_value());
    CHECK(directory.agents().size() == 4);
}

// Guards against an entry that reports its agents as lost when its own network fails.
TEST_CASE("many silent agents at once are first treated as a local fault")
{
    Directory directory(entry("e"));
    for (int i = 0; i < 4; ++i)
        directory.heartbeat(agent(absl::StrCat("a", i), 1, 1), 600, after(0));
    directory.heartbeat(agent("a0", 1, 2), 600, after(1));
    directory.tick(after(1));
    CHECK(directory.suspectsLocalFault());
    directory.heartbeat(agent("a0", 1, 3), 600, after(1.6));
    CHECK_FALSE(has(directory.tick(after(1.7)), Change::Kind::AgentLost, "a1"));
    CHECK(directory.agent(core::AgentId("a1"))->liveness == Liveness::Suspected);
    // The suspicion is limited in time, because the agents may really have failed.
    directory.heartbeat(agent("a0", 1, 4), 600, after(2.6));
    CHECK(has(directory.tick(after(2.6)), Change::Kind::AgentLost, "a1"));
    CHECK_FALSE(directory.suspectsLocalFault());
}

TEST_CASE("peers receive deltas")
{
    Directory e(entry("e"));
    Directory f(entry("f"));
    e.heartbeat(agent("a", 1, 1), 600, after(0));
    e.heartbeat(agent("b", 1, 1), 600, after(0));
    CHECK(exchange(f, e, "e", 0));
    CHECK(exchange(e, f, "f", 0));
    CHECK(f.agents().size() == 2);
    CHECK(f.agent(core::AgentId("a"))->home == core::EntryId("e"));
    e.heartbeat(agent("a", 1, 2), 600, after(0.1));
    e.heartbeat(agent("b", 1, 2, "{\"free\":1}"), 600, after(0.1));
    const Summary delta = e.summaryFor(core::EntryId("f"));
    CHECK(delta.changed.size() == 1);
    e.leave(core::AgentId("a"), 1, after(0.2));
    CHECK(exchange(e, f, "f", 0.2));
    CHECK(has(f.tick(after(0.2)), Change::Kind::AgentLost, "a"));
    CHECK(f.agents().size() == 1);
    // A delayed copy is ignored.
    CHECK(f.receive(delta, after(0.3)));
    CHECK(f.agents().size() == 1);
}

TEST_CASE("a restarted peer requests a complete summary")
{
    Directory e(entry("e"));
    auto f = std::make_unique<Directory>(entry("f"));
    e.heartbeat(agent("a", 1, 1), 600, after(0));
    exchange(*f, e, "e", 0);
    exchange(e, *f, "f", 0);
    f = std::make_unique<Directory>(EntryRecord{core::EntryId("f"), LocalDataCentre, "f:1", 2, 0});
    CHECK_FALSE(exchange(e, *f, "f", 1));
    CHECK(exchange(e, *f, "f", 1));
    CHECK(f->agents().size() == 1);
}

TEST_CASE("agents of a lost entry stay listed as suspected until they could have moved")
{
    Directory e(entry("e"));
    Directory f(entry("f"));
    Directory g(entry("g"));
    e.heartbeat(agent("a", 1, 1), 600, after(0));
    e.heartbeat(agent("b", 1, 1), 600, after(0));
    exchange(e, f, "f", 0);
    exchange(g, f, "f", 3.5);
    CHECK(has(f.tick(after(3.5)), Change::Kind::EntryLost, "e"));
    CHECK(f.entries(LocalDataCentre).size() == 2);
    CHECK(f.agent(core::AgentId("a"))->liveness == Liveness::Suspected);
    CHECK(f.heartbeat(agent("a", 1, 2), 600, after(4)) == HeartbeatResult::Accepted);
    const AgentView moved = *f.agent(core::AgentId("a"));
    CHECK(moved.liveness == Liveness::Alive);
    CHECK(moved.home == core::EntryId("f"));
    for (int i = 3; i < 40; ++i)
        f.heartbeat(agent("a", 1, i), 600, after(i / 2.0 + 3));
    const auto changes = f.tick(after(22));
    CHECK(has(changes, Change::Kind::AgentLost, "b"));
    CHECK_FALSE(has(changes, Change::Kind::AgentLost, "a"));
}

// Guards against a former home that reports an agent as lost after it moved.
TEST_CASE("an agent that moved is no longer monitored by its old home")
{
    Directory e(entry("e"));
    Directory f(entry("f"));
    e.heartbeat(agent("a", 1, 1), 600, after(0));
    f.heartbeat(agent("a", 1, 2), 600, after(0.5));
    exchange(f, e, "e", 0.6);
    CHECK(e.agent(core::AgentId("a"))->home == core::EntryId("f"));
    CHECK_FALSE(has(e.tick(after(2.5)), Change::Kind::AgentLost, "a"));
}

TEST_CASE("an agent accepts no new work without recent contact with an entry")
{
    EntryContact contact;
    CHECK_FALSE(contact.mayTakeWork(after(0)));
    contact.recordReply(after(0));
    CHECK(contact.mayTakeWork(after(4.9)));
    contact.recordReply(after(-1));
    CHECK(contact.mayTakeWork(after(4.9)));
    CHECK_FALSE(contact.mayTakeWork(after(5)));
}
