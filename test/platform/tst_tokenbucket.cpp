#include <oleandercross/platform/tokenbucket.h>

#include <catch2/catch.hpp>

using namespace oleandercross;

TEST_CASE("a token bucket keeps to its rate and burst")
{
    struct Case
    {
        double perSecond;
        double burst;
        absl::Duration pause;
        absl::Duration busy;
        int maxTaken;
    };
    const auto c = GENERATE(values<Case>({
        {10, 5, absl::ZeroDuration(), absl::Seconds(1), 15},
        // A long pause adds no more tokens than the burst size.
        {10, 5, absl::Hours(1), absl::Seconds(1), 15},
        {0.5, 1, absl::Hours(1), absl::Seconds(10), 6},
    }));
    const core::Instant start = absl::UnixEpoch() + absl::Hours(1);
    platform::TokenBucket bucket(c.perSecond, c.burst);
    while (bucket.take(start)) { }
    core::Instant now = start + c.pause;
    const core::Instant end = now + c.busy;
    int taken = 0;
    for (; now <= end; now += absl::Milliseconds(1))
        taken += bucket.take(now) ? 1 : 0;
    CHECK(taken <= c.maxTaken);
    // Nearly the full rate can be used.
    const int expectedTaken =
        c.pause == absl::ZeroDuration() ? c.maxTaken - static_cast<int>(c.burst) : c.maxTaken;
    CHECK(taken >= expectedTaken - 1);
}

TEST_CASE("a token is available at the predicted time")
{
    const core::Instant start = absl::UnixEpoch() + absl::Hours(1);
    platform::TokenBucket bucket(3, 1);
    core::Instant now = start;
    for (int i = 0; i < 100; ++i) {
        REQUIRE(bucket.nextTokenTime(now) == now);
        REQUIRE(bucket.take(now));
        REQUIRE_FALSE(bucket.take(now));
        const core::Instant nextTokenTime = bucket.nextTokenTime(now);
        CHECK(nextTokenTime > now);
        now = nextTokenTime;
    }
    CHECK(now - start >= absl::Seconds(100.0 / 3) - absl::Milliseconds(1));
    // Clock readings of several threads may arrive out of order.
    CHECK_FALSE(bucket.take(start));
}
