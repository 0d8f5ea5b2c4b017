#include "fakerowstore.h"

#include <oleandercross/control/entry.h>

#include <absl/time/clock.h>
#include <catch2/catch.hpp>

using namespace oleandercross;
using namespace oleandercross::control;
using Fault = testing::FakeRowStore::Fault;

namespace {

// An entry without peers that is not started, so that it only acts on calls of the test.
struct EntryFixture
{
    explicit EntryFixture(absl::Duration inDoubtTimeout = absl::Minutes(10))
        : client({}, "key")
        , server({}, "key")
        , entry(options(inDoubtTimeout), store, client, server, metrics,
                [](const std::string &) { return std::optional(workload::Catalog{}); })
    { }

    static EntryOptions options(absl::Duration inDoubtTimeout)
    {
        EntryOptions options;
        options.self = {"front", MemberRole::Entry, {"127.0.0.1", 7000}, "life"};
        options.configTable = "op";
        options.configKey = "config";
        options.inDoubtTimeout = inDoubtTimeout;
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

    core::Instant deadlineIn(absl::Duration time) const { return clock.now() + time; }

    core::BootClock clock;
    testing::FakeRowStore store;
    telemetry::Metrics metrics;
    rpc::Client client;
    rpc::Server server;
    Entry entry;
};

} // namespace

// Guards against refusing a job that is stored, or will be stored later.
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
        {"response lost", {Fault::LoseAnswer}, SubmitOutcome::Accepted},
        {"response lost, then refused",
         {Fault::LoseAnswer, Fault::Refuse},
         SubmitOutcome::Accepted},
        {"delayed, then stored", {Fault::Delay}, SubmitOutcome::Accepted},
        {"delayed, then refused", {Fault::Delay, Fault::Refuse}, SubmitOutcome::Accepted},
    }));
    CAPTURE(c.what);
    EntryFixture f;
    for (const Fault fault : c.faults)
        f.store.injectFaults({fault});
    CHECK(f.entry.submit(f.job(), f.deadlineIn(absl::Seconds(10))) == c.outcome);
    const bool stored = f.store.value(JobTable, f.job().id).has_value();
    CHECK(stored == (c.outcome == SubmitOutcome::Accepted));
    if (c.outcome == SubmitOutcome::NotAccepted)
        CHECK(f.store.applyDelayed() == 0);
}

// Guards against a caller that repeats a submission that the store will never take.
TEST_CASE("a job that does not fit into a row is rejected and not stored")
{
    EntryFixture f;
    workload::Job job = f.job();
    job.steps[0].neededLabel = std::string(MaxRowBytes, 'x');
    CHECK(f.entry.submit(job, f.deadlineIn(absl::Seconds(10))) == SubmitOutcome::TooLarge);
    CHECK_FALSE(f.store.value(JobTable, job.id));
}

// Guards against refusing a job that a delayed transaction can still store.
TEST_CASE("a submission in doubt at its deadline is not reported as refused")
{
    EntryFixture f;
    f.store.injectFaults({Fault::Delay});
    for (int i = 0; i < 1000; ++i)
        f.store.injectFaults({Fault::Refuse});
    CHECK(f.entry.submit(f.job(), f.deadlineIn(absl::Milliseconds(300))) == SubmitOutcome::Unknown);
    CHECK(f.store.applyDelayed() == 1);
}

// Guards against a caller that waits until its deadline after the entry has stopped retrying.
TEST_CASE("a submission in doubt is answered long before a distant deadline")
{
    EntryFixture f(absl::Milliseconds(300));
    f.store.injectFaults({Fault::Delay});
    for (int i = 0; i < 100000; ++i)
        f.store.injectFaults({Fault::Refuse});
    const core::Instant deadline = f.deadlineIn(absl::Hours(1));
    CHECK(f.entry.submit(f.job(), deadline) == SubmitOutcome::Unknown);
    CHECK(f.clock.now() < deadline);
}

// Guards against a retried submission that replaces the stored job.
TEST_CASE("a repeated submission changes nothing and is accepted")
{
    EntryFixture f;
    REQUIRE(f.entry.submit(f.job(), f.deadlineIn(absl::Seconds(5))) == SubmitOutcome::Accepted);
    const auto before = f.store.value(JobTable, f.job().id);
    workload::Job other = f.job();
    other.payload = "other";
    CHECK(f.entry.submit(other, f.deadlineIn(absl::Seconds(5))) == SubmitOutcome::Accepted);
    CHECK(f.store.value(JobTable, f.job().id) == before);
}

// Guards against reporting that a job does not exist because the store is unavailable.
TEST_CASE("a job is reported as missing only if the store does not contain it")
{
    EntryFixture f;
    const std::string id = f.job().id;
    CHECK(f.entry.state(id, f.deadlineIn(absl::Seconds(1))).kind == JobStatus::Kind::NoSuchJob);
    f.store.setUnavailable(true);
    CHECK(f.entry.state(id, f.deadlineIn(absl::Seconds(1))).kind == JobStatus::Kind::Unknown);
    f.store.setUnavailable(false);
    // After a failed call, the entry does not use the store until the next probe.
    absl::SleepFor(absl::Milliseconds(450));
    REQUIRE(f.entry.submit(f.job(), f.deadlineIn(absl::Seconds(5))) == SubmitOutcome::Accepted);
    const JobStatus queued = f.entry.state(id, f.deadlineIn(absl::Seconds(1)));
    CHECK(queued.kind == JobStatus::Kind::Known);
    CHECK(queued.state == planning::JobState::Queued);
}

// Guards against a cancellation that is acknowledged before it is stored.
TEST_CASE("a cancellation is acknowledged only after it is stored")
{
    EntryFixture f;
    const std::string id = f.job().id;
    CHECK(f.entry.cancel("00000000000000aa", {}, f.deadlineIn(absl::Seconds(1)))
          == CancelOutcome::NoSuchJob);
    CHECK(f.store.value(JobTable, "00000000000000aa"));
    REQUIRE(f.entry.submit(f.job(), f.deadlineIn(absl::Seconds(5))) == SubmitOutcome::Accepted);
    f.store.setUnavailable(true);
    CHECK(f.entry.cancel(id, {}, f.deadlineIn(absl::Milliseconds(200)))
          == CancelOutcome::NotCancelled);
    f.store.setUnavailable(false);
    CHECK(f.entry.cancel(id, {}, f.deadlineIn(absl::Seconds(5))) == CancelOutcome::Cancelled);
    CHECK(f.store.value(JobTable, id + CancelSuffix));
}

// Guards against an account that sees or cancels the jobs of another one.
TEST_CASE("only the account that submitted a job cancels it")
{
    EntryFixture f;
    workload::Job job = f.job();
    job.account = "families";
    REQUIRE(f.entry.submit(job, f.deadlineIn(absl::Seconds(5))) == SubmitOutcome::Accepted);
    CHECK(f.entry.state(job.id, f.deadlineIn(absl::Seconds(5))).account == "families");
    CHECK(f.entry.cancel(job.id, "venues", f.deadlineIn(absl::Seconds(5)))
          == CancelOutcome::OtherAccount);
    CHECK_FALSE(f.store.value(JobTable, job.id + CancelSuffix));
    CHECK(f.entry.cancel(job.id, "families", f.deadlineIn(absl::Seconds(5)))
          == CancelOutcome::Cancelled);
}
