#include <oleandercross/ownership/leaseholder.h>

#include "../fuzz/tablefake.h"

#include <absl/strings/str_cat.h>
#include <catch2/catch.hpp>

using namespace oleandercross;
using namespace oleandercross::ownership;

namespace {

// One entry with a clock that it shares with the others of its test.
struct Entry
{
    Entry(const char *name, fuzz::TableFake &table, core::Instant &now, int witnesses = 2)
        : holder(LeaseSettings{core::DataCentreId("brum"), core::EntryId(name), 1, witnesses})
        , table(table)
        , now(now)
    { }

    void apply(const LeaseEvent &event)
    {
        for (const LeaseAction &action : holder.apply(event, now))
            execute(action);
    }

    void execute(const LeaseAction &action)
    {
        log.push_back(action);
        if (std::holds_alternative<ReadRows>(action)) {
            if (!storeAvailable)
                return apply(RowsUnreadable{});
            return apply(RowsRead{now, table.read("lease/brum"), table.read("epoch/brum")});
        }
        const auto *write = std::get_if<WriteRows>(&action);
        if (write == nullptr)
            return;
        const std::string id = write->transaction.writeId;
        if (!storeAvailable)
            return apply(RowsWritten{id, core::ResultCode::StoreUnavailable, 0});
        const auto version = table.write(write->transaction);
        if (loseReplies)
            return apply(RowsWritten{id, core::ResultCode::OutcomeUnknown, 0});
        apply(RowsWritten{id, version ? core::ResultCode::Ok : core::ResultCode::VersionConflict,
                          version.value_or(0)});
    }

    template <typename Action>
    int count() const
    {
        int total = 0;
        for (const LeaseAction &action : log)
            total += std::holds_alternative<Action>(action) ? 1 : 0;
        return total;
    }

    bool decides() const { return holder.mayDecide(now); }

    LeaseHolder holder;
    fuzz::TableFake &table;
    core::Instant &now;
    bool storeAvailable = true;
    bool loseReplies = false;
    std::vector<LeaseAction> log;
};

struct Cluster
{
    fuzz::TableFake table;
    core::Instant now = absl::UnixEpoch() + absl::Hours(1);
    Entry a{"a", table, now};
    Entry b{"b", table, now};

    // Ticks the given entries every 100 ms.
    void run(double seconds, std::vector<Entry *> entries)
    {
        const core::Instant end = now + absl::Seconds(seconds);
        while (now < end) {
            now += absl::Milliseconds(100);
            for (Entry *entry : entries)
                entry->apply(LeaseTick{});
        }
    }

    void reportStoreView(Entry &about, std::size_t witness, bool unavailable)
    {
        const core::EntryId id(absl::StrCat("w", witness));
        about.apply(WitnessAnswered{id, now, {unavailable}});
    }
};

} // namespace

TEST_CASE("the first entry becomes the leader and renews its lease")
{
    Cluster c;
    c.run(10, {&c.a, &c.b});
    CHECK(c.a.decides());
    CHECK_FALSE(c.b.decides());
    CHECK(c.a.holder.heldEpoch() == 1);
    CHECK(c.b.holder.knownHolder() == core::EntryId("a"));
    CHECK(c.a.count<Suspend>() == 0);
}

TEST_CASE("a silent holder is replaced after its lease has expired")
{
    Cluster c;
    c.run(5, {&c.a, &c.b});
    c.run(2, {&c.b});
    CHECK_FALSE(c.a.decides());
    CHECK_FALSE(c.b.decides());
    c.run(1.6, {&c.b});
    CHECK(c.b.decides());
    CHECK(c.b.holder.heldEpoch() == 2);
    // The old holder resumes, reads the row and resigns.
    CHECK_FALSE(c.a.decides());
    c.run(1, {&c.a, &c.b});
    CHECK(c.a.count<Resign>() == 1);
    CHECK(c.a.holder.heldEpoch() == 0);
    CHECK(c.b.decides());
}

TEST_CASE("a planned hand-over takes effect at once")
{
    Cluster c;
    c.run(5, {&c.a, &c.b});
    c.a.apply(HandOver{});
    CHECK_FALSE(c.a.decides());
    CHECK(c.a.holder.handedOver());
    CHECK(c.a.count<AnnounceRelease>() == 1);
    c.b.apply(LeaseReleased{1});
    CHECK(c.b.decides());
    c.run(5, {&c.a, &c.b});
    CHECK(c.b.decides());
    CHECK(c.a.count<BecomeLeader>() == 1);
}

TEST_CASE("a lost announcement delays the hand-over by one read")
{
    Cluster c;
    c.run(5, {&c.a, &c.b});
    c.a.apply(HandOver{});
    c.run(0.6, {&c.b});
    CHECK(c.b.decides());
}

TEST_CASE("reports of other entries decide whether a holder without the store stays leader")
{
    struct Row
    {
        const char *what;
        int witnesses;
        std::vector<bool> unavailable;
        bool decides;
    };
    const auto row = GENERATE(
        Row{"no other entry exists", 0, {}, true}, Row{"no entry replies", 2, {}, false},
        Row{"one of two confirms", 2, {true}, true}, Row{"one of four confirms", 4, {true}, false},
        Row{"two of four confirm", 4, {true, true}, true},
        Row{"one contradicts", 4, {true, true, false}, false});
    INFO(row.what);
    Cluster c;
    Entry holder("h", c.table, c.now, row.witnesses);
    c.run(5, {&holder});
    holder.storeAvailable = false;
    for (int i = 0; i < 30; ++i) {
        c.run(0.1, {&holder});
        for (std::size_t w = 0; w < row.unavailable.size(); ++w)
            c.reportStoreView(holder, w, row.unavailable[w]);
    }
    CHECK(holder.decides() == row.decides);
    CHECK(holder.holder.leadsDuringStoreOutage() == row.decides);
    // Reports are valid for one second only.
    if (row.witnesses > 0) {
        c.now += absl::Milliseconds(1100);
        CHECK_FALSE(holder.decides());
    }
    holder.storeAvailable = true;
    c.run(1, {&holder});
    CHECK(holder.decides());
    CHECK(holder.holder.heldEpoch() == 1);
}

// Guards against an entry that mistakes a store outage for a failure of the holder.
TEST_CASE("the holder keeps its lease through a long store outage")
{
    Cluster c;
    c.run(5, {&c.a, &c.b});
    c.a.storeAvailable = false;
    c.b.storeAvailable = false;
    c.run(3600, {&c.a, &c.b});
    CHECK(c.b.holder.storeView(c.now).unavailable);
    c.b.storeAvailable = true;
    c.run(1, {&c.b});
    c.a.storeAvailable = true;
    c.run(5, {&c.a, &c.b});
    CHECK(c.a.decides());
    CHECK(c.a.holder.heldEpoch() == 1);
    CHECK(c.b.count<BecomeLeader>() == 0);
}

// Guards against ignoring the effect of a claim or renewal whose response was lost.
TEST_CASE("a write with a lost response is resolved by a read")
{
    Cluster c;
    c.a.loseReplies = true;
    c.run(5, {&c.a});
    CHECK(c.a.decides());
    CHECK(c.a.holder.heldEpoch() == 1);
    CHECK(c.a.count<BecomeLeader>() == 1);
}

TEST_CASE("the holder resigns when a higher epoch is observed")
{
    Cluster c;
    c.run(5, {&c.a});
    c.a.apply(EpochObserved{1});
    CHECK(c.a.decides());
    c.a.apply(EpochObserved{2});
    CHECK_FALSE(c.a.decides());
    CHECK(c.a.count<Resign>() == 1);
    c.run(5, {&c.a});
    CHECK(c.a.holder.heldEpoch() == 3);
}

TEST_CASE("a restarted process is not the holder")
{
    Cluster c;
    c.run(5, {&c.a});
    Entry again("a", c.table, c.now);
    again.holder = LeaseHolder({core::DataCentreId("brum"), core::EntryId("a"), 2, 2});
    c.run(2, {&again});
    CHECK_FALSE(again.decides());
    c.run(2, {&again});
    CHECK(again.holder.heldEpoch() == 2);
}

// Guards against lowering the epoch after its row was corrupted.
TEST_CASE("an unreadable epoch row is never overwritten")
{
    Cluster c;
    c.table.write({"damage", {}, {{"epoch/brum", "?"}}, {}});
    c.run(10, {&c.a});
    CHECK(c.a.count<WriteRows>() == 0);
}
