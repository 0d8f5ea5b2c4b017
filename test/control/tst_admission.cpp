#include "../planning/plannerfixture.h"

#include <oleandercross/control/admission.h>

#include <catch2/catch.hpp>

#include <algorithm>
#include <array>
#include <map>

using namespace oleandercross;
using namespace oleandercross::control;
using planning::testing::PlannerFixture;

namespace {

// A cluster whose tasks take exactly the time that their callers estimated, served by entries that
// learn a forecast every 250 ms.
struct LoadedCluster : PlannerFixture
{
    void step()
    {
        std::erase_if(running, [this](const auto &run) {
            if (run.second > now)
                return false;
            end(run.first, planning::RunEnd::Completed);
            if (planning::ended(planner.job(run.first.run.task.job)->state()))
                endedAt.emplace(run.first.run.task.job, now);
            return true;
        });
        const auto starts = planStarts();
        confirm(starts);
        for (const planning::Order &order : starts)
            running.emplace_back(order, now + absl::Milliseconds(4990));
        const auto current =
            forecaster.update(planner.openJobs(), planner.workers(), planner.estimates(), now);
        forecast = {};
        if (current)
            forecast = {std::make_shared<const planning::LoadForecast>(*current), now};
        advanceTime(absl::Milliseconds(250));
    }

    // Submits the job to an entry. Returns false if it is refused.
    bool submit(const workload::Job &job, Admission &entry, bool guaranteed = false)
    {
        if (entry.decide(job, forecast, now, guaranteed)) {
            entry.recordRefusal(job.id);
            return false;
        }
        planner.addJob(job, now);
        acceptedAt[job.id] = now;
        return true;
    }

    bool submit(const workload::Job &job) { return submit(job, entry); }

    planning::LoadForecaster forecaster;
    DatedForecast forecast;
    Admission entry;
    std::vector<std::pair<planning::Order, core::Instant>> running;
    std::map<std::string, core::Instant> acceptedAt;
    std::map<std::string, core::Instant> endedAt;
};

// The latency objective of jobs of at most 12 tasks, a quarter of what the cluster runs at a time.
constexpr absl::Duration Objective = absl::Seconds(11);

} // namespace

// Guards against refusing jobs that would have ended in time, which costs more than a late job.
TEST_CASE("a burst that the cluster can serve is not refused")
{
    LoadedCluster f;
    for (int i = 0; i < 8; ++i)
        f.step();
    // 240 tasks take five rounds of 48, within three times the objective.
    for (int i = 0; i < 60; ++i) {
        CHECK(f.submit(f.job("j" + std::to_string(i), 1, 4, 1, false)));
        if (i % 4 == 3)
            f.step();
    }
    while (f.endedAt.size() < 60)
        f.step();
    for (const auto &[job, time] : f.endedAt)
        CHECK(time - f.acceptedAt[job] <= 3 * Objective);
}

// Guards against entries that together accept much more than one would because the forecast does
// not contain their latest jobs, and against refusing jobs for the sake of others that are late
// anyway.
TEST_CASE("several entries under overload refuse jobs without serving fewer in time")
{
    const auto servedInTime = [](bool refuses) {
        LoadedCluster f;
        std::array<Admission, 3> entries;
        std::size_t refused = 0;
        // Every 250 ms each entry gets a job of 12 tasks; the cluster can do 2.4 tasks in this
        // time.
        for (int i = 0; i < 480; ++i) {
            for (std::size_t e = 0; e < entries.size(); ++e) {
                const std::string id = "j" + std::to_string(i) + "-" + std::to_string(e);
                refused += f.submit(f.job(id, 1, 12, 1, false), entries[e], !refuses) ? 0 : 1;
            }
            if (i % 40 == 0)
                CHECK(f.submit(f.job("u" + std::to_string(i), 0, 1, 1), entries[0]));
            f.step();
            // Three jobs that the same forecast admitted take 4 s more.
            if (refuses && f.forecast.forecast)
                CHECK(f.forecast.forecast->services.at("service").timeUntilDone(1)
                      <= Admission::ObjectiveMultiple * Objective + absl::Seconds(4));
        }
        if (refuses)
            CHECK(refused >= 400);
        else
            CHECK(refused == 0);
        return std::count_if(f.endedAt.begin(), f.endedAt.end(), [&](const auto &job) {
            return job.second - f.acceptedAt[job.first] <= Objective;
        });
    };
    const auto without = servedInTime(false);
    CAPTURE(without);
    CHECK(servedInTime(true) >= without);
}

// Guards against a refusal where the forecast says nothing, or where it must not count.
TEST_CASE("a job is refused only with a new forecast and outside a guarantee")
{
    LoadedCluster f;
    f.planner.addJob(f.job("a", 1, 2000, 1, false), f.now);
    f.step();
    const workload::Job job = f.job("b", 1, 1, 1);
    const core::Instant now = f.forecast.computedAt;
    REQUIRE(f.entry.decide(job, f.forecast, now, false));
    CHECK(f.entry.decide(job, f.forecast, now + absl::Milliseconds(1500), false));
    CHECK_FALSE(f.entry.decide(job, f.forecast, now + absl::Milliseconds(1501), false));
    CHECK_FALSE(f.entry.decide(job, f.forecast, now, true));
    CHECK_FALSE(f.entry.decide(job, {}, now, false));
    workload::Job other = job;
    other.terms.service = "unknown";
    CHECK_FALSE(f.entry.decide(other, f.forecast, now, false));
    other = job;
    other.scheduled = true;
    CHECK_FALSE(f.entry.decide(other, f.forecast, now, false));
    other = job;
    other.queue = "unknown";
    other.steps[0].estimateMs = 0;
    CHECK_FALSE(f.entry.decide(other, f.forecast, now, false));
    other = job;
    other.terms.targetMs = 3600000;
    CHECK_FALSE(f.entry.decide(other, f.forecast, now, false));
}

// Guards against refused callers who come back together, or only after their job has lost its
// value.
TEST_CASE("refused callers come back spread over time and sooner with each refusal")
{
    LoadedCluster f;
    f.planner.addJob(f.job("a", 1, 2000, 1, false), f.now);
    f.step();
    std::map<std::int64_t, int> callersBySecond;
    for (int i = 0; i < 400; ++i) {
        const workload::Job job = f.job("caller" + std::to_string(i), 1, 1, 1);
        absl::Duration last = absl::InfiniteDuration();
        for (int attempt = 0; attempt < 7; ++attempt) {
            const auto refusal = f.entry.decide(job, f.forecast, f.now, false);
            REQUIRE(refusal);
            CHECK(refusal->earlierRefusals == attempt);
            CHECK(refusal->retryAfter >= absl::Seconds(1));
            CHECK(refusal->retryAfter <= std::min(last, absl::Seconds(30)));
            CHECK(refusal->retryAfter % absl::Seconds(1) == absl::ZeroDuration());
            last = refusal->retryAfter;
            if (attempt == 0)
                ++callersBySecond[absl::ToInt64Seconds(last)];
            f.entry.recordRefusal(job.id);
        }
        CHECK(last == absl::Seconds(1));
    }
    CHECK(callersBySecond.size() >= 12);
    for (const auto &[second, callers] : callersBySecond)
        CHECK(callers <= 80);
}
