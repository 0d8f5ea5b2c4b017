#pragma once

#include <absl/container/btree_map.h>

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace oleandercross::statechart {

struct Transition
{
    std::string from;
    std::string event;
    std::string to;

    friend bool operator==(const Transition &, const Transition &) = default;
};

// A table of states and events read from charts/NAME.yaml.
class StateChart
{
public:
    // A chart that is compiled into the program. Fails with ChartInvalid.
    static std::optional<StateChart> load(const std::string &name);

    // Checks that there is an initial state, that every target and event is declared, that every
    // state is reachable, every event used, and that final states have no transitions. Fails with
    // ChartInvalid and "NAME: message".
    static std::optional<StateChart> parse(const std::string &name, const std::string &yaml);

    // Names of all charts that are compiled into the program.
    static std::vector<std::string> names();

    const std::string &name() const;
    const std::string &initial() const;
    const std::vector<std::string> &states() const;
    const std::vector<std::string> &events() const;
    const std::vector<Transition> &transitions() const;
    bool isFinal(std::string_view state) const;

    // The state after an event, or an empty optional if the event has no effect in this state.
    std::optional<std::string> next(std::string_view state, std::string_view event) const;

    friend bool operator==(const StateChart &, const StateChart &) = default;

private:
    std::string m_name;
    std::string m_initial;
    std::vector<std::string> m_states;
    std::vector<std::string> m_events;
    std::vector<Transition> m_transitions;
    absl::btree_map<std::pair<std::string, std::string>, std::string> m_table;

    friend class ChartReader;
};

// The chart as a page with a Mermaid diagram.
std::string mermaidPage(const StateChart &chart);

} // namespace oleandercross::statechart
