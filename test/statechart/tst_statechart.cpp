#include <oleandercross/statechart/statechart.h>

#include <oleandercross/core/resultcode.h>

#include <catch2/catch.hpp>

#include <cstdlib>
#include <fstream>
#include <set>
#include <sstream>

using namespace oleandercross;
using statechart::StateChart;

TEST_CASE("all embedded charts are valid")
{
    CHECK(StateChart::checkAll());
    const auto names = StateChart::names();
    const std::set<std::string> actual(names.begin(), names.end());
    CHECK(actual == std::set<std::string>{"drain", "gang", "job", "lease", "request", "worker"});
}

// Guards against a lookup table that differs from the declared transitions.
TEST_CASE("next() follows exactly the declared transitions of every chart")
{
    for (const std::string &name : StateChart::names()) {
        const StateChart &chart = StateChart::embedded(name);
        std::set<std::pair<std::string, std::string>> declared;
        for (const auto &step : chart.transitions()) {
            INFO(name << ": " << step.from << " " << step.event);
            CHECK(chart.next(step.from, step.event) == step.to);
            declared.emplace(step.from, step.event);
        }
        for (const std::string &state : chart.states()) {
            for (const std::string &event : chart.events()) {
                if (!declared.contains({state, event}))
                    CHECK_FALSE(chart.next(state, event).has_value());
            }
        }
    }
}

// Guards against states from which no final state can be reached.
TEST_CASE("a final state is reachable from every state")
{
    for (const std::string &name : StateChart::names()) {
        const StateChart &chart = StateChart::embedded(name);
        std::set<std::string> ending;
        for (const std::string &state : chart.states()) {
            if (chart.isFinal(state))
                ending.insert(state);
        }
        for (std::size_t round = 0; round < chart.states().size(); ++round) {
            for (const auto &step : chart.transitions()) {
                if (ending.contains(step.to))
                    ending.insert(step.from);
            }
        }
        INFO(name);
        CHECK(ending.size() == chart.states().size());
    }
}

TEST_CASE("a machine follows its chart")
{
    statechart::Machine machine(StateChart::embedded("drain"));
    CHECK(machine.is("starting"));
    CHECK_FALSE(machine.fire("empty"));
    CHECK(machine.fire("ready"));
    CHECK(machine.fire("drain"));
    CHECK_FALSE(machine.fire("ready"));
    CHECK(machine.fire("empty"));
    CHECK(machine.fire("stop"));
    CHECK(machine.isFinal());
}

TEST_CASE("invalid charts are rejected")
{
    struct Row
    {
        const char *yaml;
        const char *message;
    };
    const auto row = GENERATE(
        Row{"initial: a\nevents: [e]\nfinal: [b, c]\nstates: {a: {e: b}, b: , c: }",
            "the state c is unreachable"},
        Row{"initial: a\nevents: [e]\nfinal: [b]\nstates: {a: {e: b, f: b}, b: }",
            "undeclared event f in state a"},
        Row{"initial: a\nevents: [e]\nstates: {a: {e: z}}", "unknown target z in state a"},
        Row{"events: [e]\nstates: {a: {e: a}}", "no initial state"},
        Row{"initial: z\nevents: [e]\nstates: {a: {e: a}}", "the initial state z is not declared"},
        Row{"initial: a\nevents: [e, f]\nstates: {a: {e: a}}", "the event f is never used"},
        Row{"initial: a\nevents: [e, e]\nstates: {a: {e: a}}", "duplicate name e"},
        Row{"initial: a\nevents: [e]\nstates: {a: {e: a, e: a}}", "duplicate event e in state a"},
        Row{"initial: a\nevents: [e]\nstates: {a: {e: b}, b: }",
            "the state b has no transition but is not final"},
        Row{"initial: a\nevents: [e]\nfinal: [a]\nstates: {a: {e: a}}",
            "the final state a has a transition"},
        Row{"initial: a\nfinal: [z]\nevents: [e]\nstates: {a: {e: a}}",
            "the final state z is not declared"},
        Row{"initial: a\nevents: [e]\nstart: a\nstates: {a: {e: a}}", "unknown key start"},
        Row{"initial: a\ninitial: a\nevents: [e]\nstates: {a: {e: a}}", "duplicate key initial"},
        Row{"initial: a\nevents: [e]\nstates: {a: [e]}", "the transitions of a are not a map"},
        Row{"initial: a\nevents: [e]\nstates: {a: {e: 'b-->c'}, 'b-->c': {e: a}}",
            "invalid name 'b-->c'"},
        Row{"initial: a\nevents: [e]", "events and states are required"},
        Row{"[]", "the chart is not a map"});
    INFO(row.yaml);
    CHECK_FALSE(StateChart::parse("test", row.yaml).has_value());
    CHECK(core::lastReason()
          == core::Reason{core::ResultCode::ChartInvalid, std::string("test: ") + row.message});
}

TEST_CASE("malformed YAML and unknown names are rejected")
{
    CHECK_FALSE(StateChart::parse("test", "states: {a").has_value());
    CHECK(core::lastReason().code == core::ResultCode::ChartInvalid);
    CHECK_FALSE(StateChart::load("nonsense").has_value());
    CHECK(core::lastReason().code == core::ResultCode::ChartInvalid);
}

// Guards against diagrams that are out of date; support/draw-charts updates them.
TEST_CASE("the committed pictures match the charts")
{
    for (const std::string &name : StateChart::names()) {
        const std::string path = SOURCE_DIR "/docs/charts/" + name + ".md";
        const std::string page = mermaidPage(StateChart::embedded(name));
        if (std::getenv("OLEANDERCROSS_DRAW_CHARTS") != nullptr)
            std::ofstream(path) << page;
        std::ifstream file(path);
        std::stringstream committed;
        committed << file.rdbuf();
        INFO(path);
        CHECK(committed.str() == page);
    }
}
