#include "schedulerworld.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <chrono>
#include <cstdio>
#include <random>

using namespace oleandercross::scheduling::fuzz;

namespace {

constexpr std::size_t StepsPerRun = 400;

// Steps and the layout are uniform, whatever the size that the framework grows.
rc::Gen<std::uint32_t> code()
{
    return rc::gen::resize(rc::kNominalSize,
                           rc::gen::inRange<std::uint32_t>(0, std::uint32_t{1} << 31));
}

std::string run(std::uint32_t layout, const std::vector<std::uint32_t> &steps,
                std::uint64_t &events)
{
    SchedulerWorld world(layout);
    std::string violation;
    for (std::size_t i = 0; i < steps.size() && violation.empty(); ++i) {
        if (const auto found = world.step(steps[i]))
            violation = "step " + std::to_string(i) + ": " + *found;
    }
    events += world.events();
    return violation;
}

} // namespace

TEST_CASE("the scheduler keeps its promises under any sequence of events")
{
    std::uint64_t events = 0;
    const auto begin = std::chrono::steady_clock::now();
    const bool passed = rc::check("promises of the scheduler", [&] {
        const std::uint32_t layout = *code();
        const auto steps =
            *rc::gen::resize(StepsPerRun, rc::gen::container<std::vector<std::uint32_t>>(code()));
        const std::string violation = run(layout, steps, events);
        if (!violation.empty())
            RC_FAIL(violation);
    });
    const std::chrono::duration<double> seconds = std::chrono::steady_clock::now() - begin;
    std::printf("scheduler: %llu events, %.0f a minute\n", static_cast<unsigned long long>(events),
                60.0 * events / seconds.count());
    CHECK(passed);
}

// Long runs reach states that short ones do not, such as full quarantine and high queue levels.
TEST_CASE("the scheduler keeps its promises over long runs")
{
    constexpr std::size_t LongRun = 4000;
    std::uint64_t events = 0;
    const bool passed = rc::check("promises over long runs", [&] {
        std::mt19937 random(*code());
        std::vector<std::uint32_t> steps(LongRun);
        for (std::uint32_t &step : steps)
            step = random() >> 1;
        const std::string violation = run(random(), steps, events);
        if (!violation.empty())
            RC_FAIL(violation);
    });
    CHECK(passed);
}
