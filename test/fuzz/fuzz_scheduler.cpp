#include "schedulerworld.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <chrono>
#include <cstdio>
#include <random>

using namespace oleandercross::scheduling::fuzz;

namespace {

constexpr std::size_t StepsPerRun = 400;

// Steps and layouts are uniformly distributed, independent of RapidCheck's size parameter.
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

std::string runLong(std::uint32_t seed, std::uint64_t &events)
{
    constexpr std::size_t StepsPerLongRun = 4000;
    std::mt19937 random(seed);
    std::vector<std::uint32_t> steps(StepsPerLongRun);
    for (std::uint32_t &step : steps)
        step = random() >> 1;
    return run(random(), steps, events);
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

// Inputs of earlier failures, as shrunk by RapidCheck.
TEST_CASE("earlier failures of the scheduler stay mended")
{
    struct Row
    {
        const char *fault;
        std::uint32_t layout;
        std::vector<std::uint32_t> steps;
    };
    const auto row = GENERATE(Row{"a take-over forgot which tasks had finished",
                                  8,
                                  {461170944, 361375128, 14195307, 611009835, 971760384, 925140031,
                                   1403064875, 269546240}},
                              Row{"a take-over forgot what a gang held on a worker that had shrunk",
                                  28066,
                                  {337441920, 1548802746, 143912256, 1258690968, 725113151}},
                              Row{"capacity of a displaced reservation stayed idle",
                                  791079827,
                                  {25236608, 1742103927, 340853824, 351855168, 933237504,
                                   1231271296, 1026510592, 278236224}},
                              Row{"a shortfall of one account blocked the claims of others",
                                  8,
                                  {639724925, 829547705, 275998717, 1124565184, 1309197687, 1339}});
    CAPTURE(row.fault);
    std::uint64_t events = 0;
    CHECK(run(row.layout, row.steps, events).empty());
}

TEST_CASE("earlier failures of long runs stay mended")
{
    // In order: surplus work lost a slot that another job had taken and released; a reservation
    // exceeded the team's quota; surplus work kept its previous share of a worker that had shrunk;
    // a gang lost its claims on cells that stayed bound (two seeds); accelerators were used twice
    // after a change of leader (three seeds); backfill used the reservation of the oldest large
    // gang; a job that had failed too often continued after a change of leader.
    const std::uint32_t seed = GENERATE(2026946604U, 488654U, 3494537U, 2003827030U, 1437530464U,
                                        236984097U, 278073522U, 61627626U, 930602602U, 930602657U);
    std::uint64_t events = 0;
    CHECK(runLong(seed, events).empty());
}

// Long runs reach states that short runs don't, such as a full quarantine and high queue levels.
TEST_CASE("the scheduler keeps its promises over long runs")
{
    std::uint64_t events = 0;
    const bool passed = rc::check("promises over long runs", [&] {
        const std::string violation = runLong(*code(), events);
        if (!violation.empty())
            RC_FAIL(violation);
    });
    CHECK(passed);
}
