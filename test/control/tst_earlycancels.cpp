#include "loadedentry.h"

#include <oleandercross/control/jobmarker.h>
#include <oleandercross/workload/codec.h>

using namespace oleandercross;
using namespace oleandercross::control;
using namespace oleandercross::control::testing;
using Fault = FakeRowStore::Fault;

namespace {

constexpr char Account[] = "venues";
constexpr char OtherAccount[] = "families";

// Two entries that submissions and cancellations reach in any order.
struct Fixture
{
    Fixture() { admit(); }

    // Lets the entries accept jobs, and tells them that the store has reached its newest version.
    void admit()
    {
        leader.report(false, store.version());
        entry.awaitForecast(false);
        other.awaitForecast(false);
    }

    // Lets the entries refuse jobs.
    void load()
    {
        leader.report(true, store.version());
        entry.awaitForecast(true);
        other.awaitForecast(true);
    }

    // Submits the job in a transaction that the store applies only when it is told to.
    void submitDelayed()
    {
        store.injectFaults({Fault::Delay});
        for (int i = 0; i < 1000; ++i)
            store.injectFaults({Fault::Refuse});
        REQUIRE(entry.entry.submit(shortJob(), core::BootClock().now() + absl::Milliseconds(150))
                == SubmitOutcome::Unknown);
        store.clearFaults();
    }

    CancelOutcome cancel(const std::string &account = Account)
    {
        return other.entry.cancel(Id, account, nearDeadline());
    }

    // Submits the job to an entry until the entry can use the store again.
    static Submission submitTo(LoadedEntry &target, const std::string &account = Account)
    {
        Submission result = SubmitOutcome::NotAccepted;
        REQUIRE(waitUntil([&] {
            result = target.submit(shortJob(1, account));
            return result != SubmitOutcome::NotAccepted;
        }));
        return result;
    }

    bool stored() const
    {
        const auto value = store.value(JobTable, Id);
        return value && workload::decodeJob(Id, *value);
    }

    FakeRowStore store;
    FakeLeader leader{store};
    LoadedEntry entry{store};
    LoadedEntry other{store};
};

} // namespace

// Guards against a job that runs although its cancellation was answered, since its submission was
// handled after that.
TEST_CASE("a submission that is handled after the job's cancellation is not stored")
{
    struct Case
    {
        const char *what;
        // What happens before the cancellation and after it.
        void (*before)(Fixture &);
        void (*after)(Fixture &);
    };
    const auto nothing = [](Fixture &) {};
    const Case c = GENERATE_COPY(values<Case>({
        {"the submission waits in an entry", nothing, nothing},
        {"its transaction is delayed", [](Fixture &f) { f.submitDelayed(); }, nothing},
        {"the job was refused before",
         [](Fixture &f) {
             f.load();
             REQUIRE(f.entry.submit().outcome == SubmitOutcome::Refused);
             f.admit();
         },
         nothing},
        {"a transaction that replaces the marker of a refusal is delayed",
         [](Fixture &f) {
             f.load();
             REQUIRE(f.entry.submit().outcome == SubmitOutcome::Refused);
             f.admit();
             f.submitDelayed();
         },
         nothing},
        {"the load would refuse it", nothing, [](Fixture &f) { f.load(); }},
        {"the job was cancelled for every account", nothing,
         [](Fixture &f) { REQUIRE(f.cancel({}) == CancelOutcome::NoSuchJob); }},
        {"the cancellation was repeated", nothing,
         [](Fixture &f) { REQUIRE(f.cancel() == CancelOutcome::NoSuchJob); }},
        {"another account cancels the same id", nothing,
         [](Fixture &f) { REQUIRE(f.cancel(OtherAccount) == CancelOutcome::NoSuchJob); }},
        {"another account's submission of the same id is refused", nothing,
         [](Fixture &f) {
             f.load();
             REQUIRE(Fixture::submitTo(f.other, OtherAccount).outcome == SubmitOutcome::Refused);
         }},
    }));
    CAPTURE(c.what);
    Fixture f;
    c.before(f);
    REQUIRE(f.cancel() == CancelOutcome::NoSuchJob);
    c.after(f);
    CHECK(f.store.applyDelayed() == 0);
    CHECK(Fixture::submitTo(f.entry) == SubmitOutcome::Cancelled);
    // The marker is not replaced either once the entries know that it is older.
    f.admit();
    CHECK(Fixture::submitTo(f.entry) == SubmitOutcome::Cancelled);
    CHECK(Fixture::submitTo(f.other) == SubmitOutcome::Cancelled);
    CHECK_FALSE(f.stored());
    CHECK(f.entry.entry.state(Id, nearDeadline()).kind == JobStatus::Kind::NoSuchJob);
}

// Guards against an account that keeps another one from using an id.
TEST_CASE("an early cancellation applies to the jobs of its own account only")
{
    Fixture f;
    REQUIRE(f.cancel(OtherAccount) == CancelOutcome::NoSuchJob);
    f.admit();
    CHECK(waitUntil([&] { return f.entry.submit() == SubmitOutcome::Accepted; }));
    CHECK(f.stored());
    CHECK(f.cancel(OtherAccount) == CancelOutcome::OtherAccount);
}

// Guards against a cancellation that is answered although a submission on its way can still be
// stored.
TEST_CASE("an early cancellation is answered only after its marker is stored")
{
    struct Case
    {
        const char *what;
        std::vector<Fault> faults;
        CancelOutcome outcome;
    };
    const Case c = GENERATE(values<Case>({
        {"response lost", {Fault::LoseAnswer}, CancelOutcome::NoSuchJob},
        {"refused by the store once", {Fault::Refuse}, CancelOutcome::NoSuchJob},
        {"refused by the store", std::vector<Fault>(1000, Fault::Refuse),
         CancelOutcome::NotCancelled},
        {"in doubt", std::vector<Fault>(1000, Fault::Delay), CancelOutcome::Unknown},
    }));
    CAPTURE(c.what);
    Fixture f;
    for (const Fault fault : c.faults)
        f.store.injectFaults({fault});
    CHECK(f.other.entry.cancel(Id, Account, core::BootClock().now() + absl::Seconds(2))
          == c.outcome);
    f.store.clearFaults();
    const auto value = f.store.value(JobTable, Id);
    CHECK((value && JobMarker::parse(*value)) == (c.outcome == CancelOutcome::NoSuchJob));
}

// Guards against markers of cancelled jobs that fill the store, and against one that outlasts the
// time for which the id is rejected.
TEST_CASE("the leader removes the marker of an early cancellation after the retention time")
{
    FakeRowStore store;
    RowChanges changes;
    changes.puts.push_back({JobTable, Id, JobMarker::refusal().cancelledBy(Account).encode()});
    REQUIRE(store.commit(changes, StoreTimeout).outcome == CommitOutcome::Applied);
    EntryProcess leader(store, "front", absl::Milliseconds(500), absl::InfiniteDuration(),
                        absl::ZeroDuration());
    CHECK(waitUntil([&] { return !store.value(JobTable, Id); }));
    CHECK(waitUntil([&] { return leader.entry.queueLength("q", nearDeadline()) == 0; }));
}

// Guards against rows that are taken for markers or for jobs by mistake.
TEST_CASE("only the values of markers are read as markers")
{
    const JobMarker cancelled = JobMarker::refusal().cancelledBy("b").cancelledBy("a");
    CHECK(JobMarker::parse(cancelled.encode()) == cancelled);
    CHECK(cancelled.encode() == R"({"cancelled":["a","b"]})");
    CHECK(JobMarker::parse(JobMarker::refusal().encode()) == JobMarker::refusal());
    CHECK(JobMarker::refusal().encode() == R"({"refused":true})");
    CHECK_FALSE(JobMarker::parse(workload::encodeJob(shortJob())));
    const std::string text = GENERATE("", "{}", "{\"cancelled\":", "[]", "null");
    CAPTURE(text);
    CHECK_FALSE(JobMarker::parse(text));
}
