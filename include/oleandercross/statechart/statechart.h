#pragma once

#include <absl/container/btree_map.h>

#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace oleandercross::statechart {

namespace detail {
class ChartReader;
}

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

    // Loads every chart, to be called at program start. Returns false with the last reason set to
    // the first fault.
    static bool checkAll();

    // A chart that checkAll() has passed; ends the program with a message if it is invalid.
    static const StateChart &embedded(const std::string &name);

    const std::string &name() const { return m_name; }
    const std::string &description() const { return m_description; }
    const std::string &initial() const { return m_initial; }
    // In the order of the file, like events and transitions.
    const std::vector<std::string> &states() const { return m_states; }
    const std::vector<std::string> &events() const { return m_events; }
    const std::vector<Transition> &transitions() const { return m_transitions; }
    bool isFinal(std::string_view state) const;

    // The state after an event, or an empty optional if the event has no effect in this state.
    std::optional<std::string> next(std::string_view state, std::string_view event) const;

    friend bool operator==(const StateChart &, const StateChart &) = default;

private:
    std::string m_name;
    std::string m_description;
    std::string m_initial;
    std::vector<std::string> m_final;
    std::vector<std::string> m_states;
    std::vector<std::string> m_events;
    std::vector<Transition> m_transitions;
    absl::btree_map<std::pair<std::string, std::string>, std::string> m_table;

    friend class detail::ChartReader;
};

// One object that moves through a chart. The chart must outlive it.
class Machine
{
public:
    explicit Machine(const StateChart &chart)
        : m_chart(&chart)
        , m_state(chart.initial())
    { }

    const std::string &state() const { return m_state; }
    bool is(std::string_view state) const { return m_state == state; }
    bool isFinal() const { return m_chart->isFinal(m_state); }

    // Takes the transition, or returns false if the event has no effect in this state.
    bool fire(std::string_view event);

private:
    const StateChart *m_chart;
    std::string m_state;
};

// The chart as a page with a Mermaid diagram.
std::string mermaidPage(const StateChart &chart);

} // namespace oleandercross::statechart
