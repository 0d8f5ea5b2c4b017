#include "loadedentry.h"

#include <oleandercross/control/jobmarker.h>
#include <oleandercross/workload/codec.h>

using namespace oleandercross;
using namespace oleandercross::control;
using namespace oleandercross::control::testing;
using Fault = FakeRowStore::Fault;

namespace {

struct Fixture
{
    Fixture() { entry.awaitForecast(true); }

    // Submits a job while the entry has no forecast.
    Submission submitAdmitted()
    {
        leader.report(false);
        entry.awaitForecast(false);
        const Submission result = entry.submit();
        leader.report(true);
        entry.awaitForecast(true);
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
};

} // namespace

// Guards against a refused job that callers or accounts see as one that exists.
TEST_CASE("a refused job is not stored and does not exist for callers")
{
    Fixture f;
    const Submission result = f.entry.submit();
    CHECK(result.outcome == SubmitOutcome::Refused);
    CHECK(result.retryAfter >= absl::Seconds(1));
    CHECK(f.store.value(JobTable, Id) == JobMarker::refusal().encode());
    CHECK(f.entry.metrics.value("jobs_refused_by_forecast") == 1);
    // No leader that knows the job answers, so the entry reads the rows.
    CHECK(f.entry.entry.state(Id, nearDeadline()).kind == JobStatus::Kind::NoSuchJob);
    CHECK(f.entry.entry.cancel(Id, {}, nearDeadline()) == CancelOutcome::NoSuchJob);
    CHECK_FALSE(f.store.value(JobTable, std::string(Id) + CancelSuffix));
}

// Guards against refusing guaranteed work, and against refusing jobs because of a load that has
// passed or that nobody has measured.
TEST_CASE("an entry refuses nothing within a guarantee or without a new forecast")
{
    Fixture f;
    SECTION("within a guarantee")
    {
        CHECK(f.entry.submit(shortJob(0, "families")) == SubmitOutcome::Accepted);
    }
    SECTION("the forecast is old")
    {
        f.leader.report(true, 0, 2000);
        REQUIRE(waitUntil([&] {
            return f.entry.entry.forecast().computedAt
                < core::BootClock().now() - Admission::MaxForecastAge;
        }));
        CHECK(f.entry.submit() == SubmitOutcome::Accepted);
    }
    SECTION("the leader is lost")
    {
        f.leader.server.stop();
        f.entry.awaitForecast(false);
        CHECK(f.entry.submit() == SubmitOutcome::Accepted);
    }
}

// Guards against a job that runs although its caller was told that it does not.
TEST_CASE("an insert that the store applies after a refusal has no effect")
{
    Fixture f;
    f.leader.report(false);
    f.entry.awaitForecast(false);
    SECTION("the first attempt")
    {
        f.store.injectFaults({Fault::Delay});
    }
    SECTION("an attempt that replaces the marker of an earlier refusal")
    {
        f.leader.report(true);
        f.entry.awaitForecast(true);
        REQUIRE(f.entry.submit().outcome == SubmitOutcome::Refused);
        f.leader.report(false);
        f.entry.awaitForecast(false);
        f.store.injectFaults({Fault::None, Fault::Delay});
    }
    for (int i = 0; i < 5; ++i)
        f.store.injectFaults({Fault::Delay});
    REQUIRE(f.entry.entry.submit(shortJob(), core::BootClock().now() + absl::Milliseconds(150))
            == SubmitOutcome::Unknown);
    f.store.clearFaults();
    f.leader.report(true);
    f.entry.awaitForecast(true);
    // After a failed call, the entry does not use the store until the next probe.
    Submission result = SubmitOutcome::NotAccepted;
    REQUIRE(waitUntil([&] {
        result = f.entry.submit();
        return result != SubmitOutcome::NotAccepted;
    }));
    CHECK(result.outcome == SubmitOutcome::Refused);
    CHECK(f.store.applyDelayed() == 0);
    CHECK_FALSE(f.stored());
}

// Guards against refusing an id whose job was accepted, which would be false, since it runs.
TEST_CASE("a repeated submission whose first answer was lost is accepted under load")
{
    Fixture f;
    REQUIRE(f.submitAdmitted() == SubmitOutcome::Accepted);
    const auto before = f.store.value(JobTable, Id);
    CHECK(f.entry.submit() == SubmitOutcome::Accepted);
    CHECK(f.store.value(JobTable, Id) == before);
}

// Guards against callers that are refused for ever because their id was refused once.
TEST_CASE("a later submission of a refused job is accepted when the load has passed")
{
    Fixture f;
    REQUIRE(f.entry.submit().outcome == SubmitOutcome::Refused);
    CHECK(f.submitAdmitted() == SubmitOutcome::Accepted);
    CHECK(f.stored());
}

// Guards against an attempt that began before another entry refused the job, and stores it after
// that.
TEST_CASE("a marker is replaced only if it is known to be older than the submission")
{
    Fixture f;
    LoadedEntry other(f.store);
    REQUIRE(f.entry.submit().outcome == SubmitOutcome::Refused);
    f.leader.report(false);
    other.awaitForecast(false);
    CHECK(other.submit() == Submission(SubmitOutcome::Refused, absl::Seconds(1)));
    CHECK_FALSE(f.stored());
    f.leader.report(false, f.store.version());
    CHECK(waitUntil([&] { return other.submit() == SubmitOutcome::Accepted; }));
    CHECK(f.stored());
}

// Guards against a refusal although an earlier insert may still be applied.
TEST_CASE("a job is refused only after its marker is stored")
{
    struct Case
    {
        const char *what;
        std::vector<Fault> faults;
        SubmitOutcome outcome;
    };
    const Case c = GENERATE(values<Case>({
        {"response lost", {Fault::LoseAnswer}, SubmitOutcome::Refused},
        {"refused by the store", {Fault::Refuse}, SubmitOutcome::NotAccepted},
        {"in doubt", std::vector<Fault>(1000, Fault::Delay), SubmitOutcome::Unknown},
    }));
    CAPTURE(c.what);
    Fixture f;
    for (const Fault fault : c.faults)
        f.store.injectFaults({fault});
    CHECK(f.entry.submit().outcome == c.outcome);
    CHECK_FALSE(f.stored());
}

namespace {

// Replaces a marker by a job before the transaction that removes it.
class RacingStore : public FakeRowStore
{
public:
    CommitResult commit(const RowChanges &changes, absl::Duration timeout) override
    {
        if (!changes.removals.empty() && replacing.exchange(false)) {
            RowChanges put;
            put.puts.push_back({JobTable, Id, workload::encodeJob(shortJob())});
            commitUnlimited(put);
        }
        return FakeRowStore::commit(changes, timeout);
    }

    std::atomic<bool> replacing = false;
};

} // namespace

// Guards against markers that fill the store, and against the removal of an accepted job.
TEST_CASE("the leader counts no marker as a job and removes only markers")
{
    RacingStore store;
    const bool replaced = GENERATE(false, true);
    store.replacing = replaced;
    RowChanges changes;
    changes.puts.push_back({JobTable, Id, JobMarker::refusal().encode()});
    changes.puts.push_back({JobTable, "00000000000000aa", JobMarker::refusal().encode()});
    REQUIRE(store.commit(changes, StoreTimeout).outcome == CommitOutcome::Applied);
    EntryProcess leader(store, "front", absl::Milliseconds(500), absl::InfiniteDuration(),
                        absl::ZeroDuration());
    REQUIRE(waitUntil([&] { return leader.entry.queueLength("q", nearDeadline()).has_value(); }));
    CHECK(waitUntil([&] { return !store.value(JobTable, "00000000000000aa"); }));
    CHECK(store.value(JobTable, Id).has_value() == replaced);
    if (replaced)
        CHECK(leader.reaches(Id, planning::JobState::Queued));
    CHECK(leader.entry.queueLength("q", nearDeadline()) == (replaced ? 1 : 0));
}
