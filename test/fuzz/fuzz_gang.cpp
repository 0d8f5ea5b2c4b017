#include "world.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>
#include <rapidcheck/state.h>

#include <ostream>

using namespace oleandercross::fuzz;

namespace {

struct Model
{ };

// Generates any step. Half of them start gangs or advance time, so that faults affect gangs in all
// phases.
rc::Gen<Step> anyStep()
{
    const auto kind = rc::gen::weightedOneOf<StepKind>(
        {{6, rc::gen::just(StepKind::StartGang)},
         {2, rc::gen::just(StepKind::Wait)},
         {8,
          rc::gen::map(rc::gen::inRange(0, static_cast<int>(StepKind::Wait) + 1),
                       [](int number) { return static_cast<StepKind>(number); })}});
    return rc::gen::build<Step>(rc::gen::set(&Step::kind, kind),
                                rc::gen::set(&Step::a, rc::gen::inRange(0, 60)),
                                rc::gen::set(&Step::b, rc::gen::inRange(0, 60)),
                                rc::gen::set(&Step::ms, rc::gen::inRange(0, 2500)));
}

struct Command : rc::state::Command<Model, World>
{
    Step step = *anyStep();

    void apply(Model &) const override { }
    void run(const Model &, World &world) const override
    {
        world.apply(step);
        if (!world.violation().empty())
            RC_FAIL(world.violation());
    }
    void show(std::ostream &out) const override { out << step; }
};

} // namespace

// Gangs of more than 8 members monitor each other in groups, hence the run with 10 agents.
TEST_CASE("no fault breaks the invariants of gangs and leases")
{
    const int agents = GENERATE(4, 10);
    int started = 0;
    int partial = 0;
    int epochs = 0;
    absl::Duration longest;
    const bool passed = rc::check("gangs and leases under faults", [&] {
        World world(*rc::gen::noShrink(rc::gen::arbitrary<unsigned>()), agents);
        rc::state::check(Model(), world, rc::state::gen::execOneOfWithArgs<Command>());
        const std::string failure = world.checkRecovery();
        if (!failure.empty())
            RC_FAIL(failure);
        started += world.startedGangs();
        partial += world.partialGangs();
        epochs += world.epochs();
        longest = std::max(longest, world.longestPartial());
    });
    CHECK(passed);
    // Fails if the generator no longer reaches the interesting states.
    CHECK(started > 0);
    CHECK(partial > 0);
    CHECK(epochs > 0);
    WARN("agents: " << agents << ", gangs started: " << started
                    << ", partial for a while: " << partial
                    << ", longest: " << absl::FormatDuration(longest) << ", epochs: " << epochs);
}

// Crashes or pauses processes before each action of a gang start, alone or together with a crash of
// a member.
TEST_CASE("a crash before any action leaves no partial gang")
{
    constexpr int Agents = 4;
    constexpr int Members = 7;
    constexpr int Actions = 40;
    constexpr int Stride = 4;
    const Step start{StepKind::StartGang, Members - 1, 0, 8000};
    const auto survives = [&start](const std::vector<Step> &faults) {
        World world(1);
        for (const Step &fault : faults)
            world.apply(fault);
        world.apply(start);
        INFO(world.violation());
        CHECK(world.violation().empty());
    };
    for (int action = 0; action < Actions; ++action) {
        for (int node = 0; node < Agents; ++node)
            survives({{StepKind::CrashAgentAfter, node, action, 0}});
        for (int node = 0; node < World::Entries; ++node) {
            survives({{StepKind::CrashEntryAfter, node, action, 0}});
            survives({{StepKind::PauseEntryAfter, node, action, 0}});
        }
    }
    for (int first = 0; first < Actions; first += Stride) {
        for (int second = 0; second < Actions; second += Stride) {
            for (int entry = 0; entry < World::Entries; ++entry) {
                survives({{StepKind::CrashEntryAfter, entry, first, 0},
                          {StepKind::CrashAgentAfter, entry, second, 0}});
            }
        }
    }
}

// Guards against time limits so short that a gang ends without a fault or when an agent restarts
// quickly.
TEST_CASE("a gang survives what it should")
{
    struct Row
    {
        const char *what;
        int agents;
        std::vector<Step> steps;
    };
    const auto row =
        GENERATE(Row{"nothing happens", 4, {}}, Row{"nothing happens to a large gang", 10, {}},
                 Row{"an agent restarts", 4, {{StepKind::CrashAgent, 1, 4, 5000}}},
                 Row{"an agent of a large gang restarts", 10, {{StepKind::CrashAgent, 1, 0, 5000}}},
                 Row{"the leader is lost",
                     4,
                     {{StepKind::CrashEntry, 0, 50, 0},
                      {StepKind::CrashEntry, 1, 50, 0},
                      {StepKind::CrashEntry, 2, 50, 9000}}},
                 Row{"the store is down", 4, {{StepKind::StoreDown, 0, 0, 30000}}},
                 Row{"no entry reaches an agent",
                     4,
                     {{StepKind::CutEntryFromAgent, 0, 1, 0},
                      {StepKind::CutEntryFromAgent, 1, 1, 0},
                      {StepKind::CutEntryFromAgent, 2, 1, 9000}}},
                 Row{"an agent pauses for a second", 4, {{StepKind::PauseAgent, 1, 9, 5000}}});
    const unsigned seed = GENERATE(1U, 2U, 3U);
    INFO(row.what << ", seed " << seed);
    World world(seed, row.agents);
    // A gang on all agents with one accelerator each.
    world.apply({StepKind::StartGang, row.agents == 4 ? 14 : 0, 0, 4000});
    REQUIRE(world.runningTasks() == row.agents);
    for (const Step &step : row.steps)
        world.apply(step);
    world.run(absl::Seconds(30));
    CHECK(world.violation().empty());
    CHECK(world.runningTasks() == row.agents);
}
