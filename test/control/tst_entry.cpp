#include "fakerowstore.h"

#include <oleandercross/control/entry.h>

#include <absl/time/clock.h>
#include <catch2/catch.hpp>

using namespace oleandercross;
using namespace oleandercross::control;
using Fault = testing::FakeRowStore::Fault;

namespace {

// An entry without peers that has not been started, so that only the calls of the test act.
struct EntryFixture
{
    explicit EntryFixture(absl::Duration doubtTime = absl::Minutes(10))
        : client({}, "key")
        , server({}, "key")
        , entry(options(doubtTime), store, client, server, metrics,
                [](const std::string &) { return std::optional(workload::Catalog{}); })
    { }

    static EntryOptions options(absl::Duration doubtTime)
    {
        EntryOptions options;
        options.own = {"front", MemberRole::Entry, {"127.0.0.1", 7000}, "life"};
        options.configTable = "op";
        options.configKey = "config";
        options.doubtTime = doubtTime;
        return options;
    }

    static workload::Job job()
    {
        workload::Job job;
        job.id = "5c0e7a21d94b36f8";
        job.queue = "q";
        job.terms.service = "booking";
        job.steps.emplace_back();
        return job;
    }

    core::Instant in(absl::Duration time) const { return clock.now() + time; }

    core::BootClock clock;
    testing::FakeRowStore store;
    telemetry::Metrics metrics;
    rpc::Client client;
    rpc::Server server;
    Entry entry;
};

} // namespace

// Guards against "not accepted" for a job that is stored, or will be.
TEST_CASE("a submission is refused only if it is certain that the job is not stored")
{
    struct Case
    {
        const char *what;
        std::vector<Fault> faults;
        SubmitOutcome outcome;
    };
    const Case c = GENERATE(values<Case>({
        {"stored at once", {}, SubmitOutcome::Accepted},
        {"refused", {Fault::Refuse}, SubmitOutcome::NotAccepted},
        {"answer lost", {Fault::LoseAnswer}, SubmitOutcome::Accepted},
        {"answer lost, then refused", {Fault::LoseAnswer, Fault::Refuse}, SubmitOutcome::Accepted},
        {"delayed, then stored", {Fault::Delay}, SubmitOutcome::Accepted},
        {"delayed, then refused", {Fault::Delay, Fault::Refuse}, SubmitOutcome::Accepted},
    }));
    CAPTURE(c.what);
    EntryFixture f;
    for (const Fault fault : c.faults)
        f.store.plan({fault});
    CHECK(f.entry.submit(f.job(), f.in(absl::Seconds(10))) == c.outcome);
    const bool stored = f.store.value(JobTable, f.job().id).has_value();
    CHECK(stored == (c.outcome == SubmitOutcome::Accepted));
    if (c.outcome == SubmitOutcome::NotAccepted)
        CHECK(f.store.applyLate() == 0);
}

// Guards against a refusal while a delayed transaction can still store the job.
TEST_CASE("a submission in doubt at its deadline is not called refused")
{
    EntryFixture f;
    f.store.plan({Fault::Delay});
    for (int i = 0; i < 1000; ++i)
        f.store.plan({Fault::Refuse});
    CHECK(f.entry.submit(f.job(), f.in(absl::Milliseconds(300))) == SubmitOutcome::Unknown);
    CHECK(f.store.applyLate() == 1);
}

// Guards against a caller who is kept waiting although the submission has been given up.
TEST_CASE("a submission in doubt is answered long before a distant deadline")
{
    EntryFixture f(absl::Milliseconds(300));
    f.store.plan({Fault::Delay});
    for (int i = 0; i < 100000; ++i)
        f.store.plan({Fault::Refuse});
    const core::Instant deadline = f.in(absl::Hours(1));
    CHECK(f.entry.submit(f.job(), deadline) == SubmitOutcome::Unknown);
    CHECK(f.clock.now() < deadline);
}

// Guards against a job that is stored twice when its caller asks again.
TEST_CASE("a repeated submission changes nothing and is accepted")
{
    EntryFixture f;
    REQUIRE(f.entry.submit(f.job(), f.in(absl::Seconds(5))) == SubmitOutcome::Accepted);
    const auto before = f.store.value(JobTable, f.job().id);
    workload::Job other = f.job();
    other.payload = "other";
    CHECK(f.entry.submit(other, f.in(absl::Seconds(5))) == SubmitOutcome::Accepted);
    CHECK(f.store.value(JobTable, f.job().id) == before);
}

// Guards against a job that is called unknown because the store could not be asked.
TEST_CASE("a job is said not to exist only if the store says so")
{
    EntryFixture f;
    const std::string id = f.job().id;
    CHECK(f.entry.state(id, f.in(absl::Seconds(1))).kind == JobAnswer::Kind::NoSuchJob);
    f.store.setAway(true);
    CHECK(f.entry.state(id, f.in(absl::Seconds(1))).kind == JobAnswer::Kind::Unknown);
    f.store.setAway(false);
    // A failed call keeps the entry from the store until the next probe.
    absl::SleepFor(absl::Milliseconds(450));
    REQUIRE(f.entry.submit(f.job(), f.in(absl::Seconds(5))) == SubmitOutcome::Accepted);
    const JobAnswer queued = f.entry.state(id, f.in(absl::Seconds(1)));
    CHECK(queued.kind == JobAnswer::Kind::Known);
    CHECK(queued.state == planning::JobState::Queued);
}

// Guards against a cancel that is acknowledged before it is stored.
TEST_CASE("a cancel is acknowledged only once it is stored")
{
    EntryFixture f;
    const std::string id = f.job().id;
    CHECK(f.entry.cancel(id, {}, f.in(absl::Seconds(1))) == CancelOutcome::NoSuchJob);
    REQUIRE(f.entry.submit(f.job(), f.in(absl::Seconds(5))) == SubmitOutcome::Accepted);
    f.store.setAway(true);
    CHECK(f.entry.cancel(id, {}, f.in(absl::Milliseconds(200))) == CancelOutcome::NotCancelled);
    f.store.setAway(false);
    CHECK(f.entry.cancel(id, {}, f.in(absl::Seconds(5))) == CancelOutcome::Cancelled);
    CHECK(f.store.value(JobTable, id + CancelSuffix));
}

// Guards against one account seeing or cancelling the work of another.
TEST_CASE("only the account that submitted a job cancels it")
{
    EntryFixture f;
    workload::Job job = f.job();
    job.account = "families";
    REQUIRE(f.entry.submit(job, f.in(absl::Seconds(5))) == SubmitOutcome::Accepted);
    CHECK(f.entry.state(job.id, f.in(absl::Seconds(5))).account == "families");
    CHECK(f.entry.cancel(job.id, "venues", f.in(absl::Seconds(5))) == CancelOutcome::OtherAccount);
    CHECK_FALSE(f.store.value(JobTable, job.id + CancelSuffix));
    CHECK(f.entry.cancel(job.id, "families", f.in(absl::Seconds(5))) == CancelOutcome::Cancelled);
}
