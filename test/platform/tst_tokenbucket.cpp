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
        int most;
    };
    const auto c = GENERATE(values<Case>({
        {10, 5, absl::ZeroDuration(), absl::Seconds(1), 15},
        // A long pause allows no more than the burst.
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
    CHECK(taken <= c.most);
    // Nearly all of the share is usable.
    const int gained =
        c.pause == absl::ZeroDuration() ? c.most - static_cast<int>(c.burst) : c.most;
    CHECK(taken >= gained - 1);
}

TEST_CASE("a token is there when the bucket says so")
{
    const core::Instant start = absl::UnixEpoch() + absl::Hours(1);
    platform::TokenBucket bucket(3, 1);
    core::Instant now = start;
    for (int i = 0; i < 100; ++i) {
        REQUIRE(bucket.ready(now) == now);
        REQUIRE(bucket.take(now));
        REQUIRE_FALSE(bucket.take(now));
        const core::Instant ready = bucket.ready(now);
        CHECK(ready > now);
        now = ready;
    }
    CHECK(now - start >= absl::Seconds(100.0 / 3) - absl::Milliseconds(1));
    // A clock that is read on several threads may be seen to step back.
    CHECK_FALSE(bucket.take(start));
}
