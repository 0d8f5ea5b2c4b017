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

// A finite state machine: states, events and transitions as defined in charts/NAME.yaml.
class StateChart
{
public:
    // Parses an embedded chart. Fails with ChartInvalid.
    static std::optional<StateChart> load(const std::string &name);

    // Parses a chart and checks that there is an initial state, that all targets and events are
    // declared, all states reachable and all events used, that final states have no transitions
    // and all other states have some. Fails with ChartInvalid and "NAME: message".
    static std::optional<StateChart> parse(const std::string &name, const std::string &yaml);

    // Returns the names of all embedded charts.
    static std::vector<std::string> names();

    // Validates all embedded charts, to be called at startup. Returns false if one is invalid;
    // lastReason() then describes the first error.
    static bool checkAll();

    // Returns an embedded chart. Prints a message and aborts the process if the chart is invalid,
    // which checkAll() rules out.
    static const StateChart &embedded(const std::string &name);

    const std::string &name() const { return m_name; }
    const std::string &description() const { return m_description; }
    const std::string &initial() const { return m_initial; }
    // States, events and transitions are in the order of the file.
    const std::vector<std::string> &states() const { return m_states; }
    const std::vector<std::string> &events() const { return m_events; }
    const std::vector<Transition> &transitions() const { return m_transitions; }
    bool isFinal(std::string_view state) const;

    // Returns the state after an event, or nothing if the event has no transition in this state.
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

// The current state of one object that follows a chart. The chart must outlive the machine.
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

    // Applies an event. Returns false if it has no transition in the current state.
    bool fire(std::string_view event);

private:
    const StateChart *m_chart;
    std::string m_state;
};

// Returns a Markdown page with a Mermaid diagram of the chart.
std::string mermaidPage(const StateChart &chart);

} // namespace oleandercross::statechart
