#include <oleandercross/planning/cluster.h>
#include <oleandercross/planning/estimates.h>

#include <catch2/catch.hpp>

using namespace oleandercross;
using namespace oleandercross::planning;

namespace {

const core::Instant Start = absl::UnixEpoch() + absl::Hours(1);

double seconds(absl::Duration time)
{
    return absl::ToDoubleSeconds(time);
}

// Returns estimates with a history of 40 tasks that took about 8 s and whose estimates were
// alternately too high and too low by the factor `error`.
WorkEstimates estimatesWithHistory(double error)
{
    WorkEstimates estimates;
    for (int i = 0; i < 40; ++i) {
        const double duration = 8000 * (1 + 0.05 * (i % 5 - 2));
        const auto estimate =
            static_cast<std::int64_t>(duration * (i % 2 == 0 ? error : 1 / error));
        estimates.recordEstimate("q", estimate);
        estimates.recordCompletion("q", estimate, absl::Milliseconds(duration));
    }
    return estimates;
}

} // namespace

TEST_CASE("a queue without completed tasks uses the caller's estimate", "[planning]")
{
    const WorkEstimates estimates;
    CHECK(estimates.expectedTime("q", 1500) == absl::Milliseconds(1500));
    CHECK(estimates.expectedTime("q", 0) > absl::ZeroDuration());
}

TEST_CASE("an estimate has little weight if past estimates were inaccurate", "[planning]")
{
    const WorkEstimates estimates = estimatesWithHistory(3);
    CHECK(seconds(estimates.expectedTime("q", 800)) > 5);
    CHECK(seconds(estimates.expectedTime("q", 40000)) < 12);
    CHECK(seconds(estimates.expectedTime("q", 0)) == Approx(8).epsilon(0.1));
}

TEST_CASE("an estimate has more weight if past estimates were accurate", "[planning]")
{
    CHECK(estimatesWithHistory(1.01).expectedTime("q", 30000)
          > 1.5 * estimatesWithHistory(3).expectedTime("q", 30000));
}

TEST_CASE("a systematic error of a queue's estimates is corrected", "[planning]")
{
    WorkEstimates estimates;
    for (int i = 0; i < 60; ++i) {
        const std::int64_t estimate = i % 2 == 0 ? 1000 : 20000;
        estimates.recordEstimate("q", estimate);
        estimates.recordCompletion("q", estimate, absl::Milliseconds(2 * estimate));
    }
    CHECK(seconds(estimates.expectedTime("q", 20000)) == Approx(40).epsilon(0.15));
}

TEST_CASE(
    "the forecast of urgent demand grows with recent jobs and the horizon and decays without jobs",
    "[planning]")
{
    UrgentDemandForecast demand;
    CHECK(demand.forecastAccelerators(Start, absl::Seconds(1)) == 0);
    for (int i = 0; i < 20; ++i)
        demand.recordJob(8, absl::Seconds(3), Start + absl::Seconds(i));
    const core::Instant now = Start + absl::Seconds(20);
    const double withinOneSecond = demand.forecastAccelerators(now, absl::Seconds(1));
    CHECK(withinOneSecond >= 8);
    CHECK(withinOneSecond <= 24);
    CHECK(demand.forecastAccelerators(now, absl::Seconds(4)) > withinOneSecond);
    CHECK(demand.forecastAccelerators(now + absl::Minutes(5), absl::Seconds(1)) < 1);
}

// Guards against long jobs that make urgent jobs seem to tolerate long waits.
TEST_CASE("the typical objective of urgent jobs is that of most recent ones", "[planning]")
{
    UrgentDemandForecast demand;
    CHECK(demand.typicalObjective() == absl::InfiniteDuration());
    for (int i = 0; i < 20; ++i)
        demand.recordJob(8, i % 10 == 0 ? absl::Seconds(300) : absl::Seconds(3),
                         Start + absl::Seconds(i));
    CHECK(demand.typicalObjective() > absl::Seconds(3));
    CHECK(demand.typicalObjective() < absl::Seconds(6));
}
