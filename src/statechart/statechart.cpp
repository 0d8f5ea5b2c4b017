#include <oleandercross/statechart/detail/embedded.h>
#include <oleandercross/statechart/statechart.h>

#include <oleandercross/core/resultcode.h>

#include <absl/strings/str_cat.h>
#include <yaml-cpp/yaml.h>

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <map>
#include <mutex>
#include <set>

namespace oleandercross::statechart {

namespace {

using Names = std::vector<std::string>;

bool contains(const Names &names, std::string_view name)
{
    return std::find(names.begin(), names.end(), name) != names.end();
}

// Names must not contain characters that have a meaning in Mermaid diagrams.
bool isIdentifier(const std::string &name)
{
    const auto ok = [](unsigned char c) { return std::isalnum(c) != 0; };
    return !name.empty() && std::all_of(name.begin(), name.end(), ok);
}

} // namespace

namespace detail {

// Parses and validates a chart.
class ChartReader
{
public:
    explicit ChartReader(const std::string &name) { m_chart.m_name = name; }

    std::optional<StateChart> read(const std::string &yaml)
    {
        YAML::Node root;
        try {
            root = YAML::Load(yaml);
            if (!readKeys(root) || !readStates(root["states"]))
                return std::nullopt;
        } catch (const YAML::Exception &error) {
            return failInvalid(error.what());
        }
        if (!checkNames() || !checkTransitions() || !checkReachable())
            return std::nullopt;
        return m_chart;
    }

private:
    std::nullopt_t failInvalid(const std::string &message)
    {
        return core::fail(core::ResultCode::ChartInvalid,
                          absl::StrCat(m_chart.m_name, ": ", message));
    }

    bool reject(const std::string &message)
    {
        failInvalid(message);
        return false;
    }

    bool readKeys(const YAML::Node &root)
    {
        static const Names known = {"description", "initial", "final", "events", "states"};
        if (!root.IsMap())
            return reject("the chart is not a map");
        Names seen;
        for (const auto &entry : root) {
            const auto key = entry.first.as<std::string>();
            if (!contains(known, key))
                return reject("unknown key " + key);
            if (contains(seen, key))
                return reject("duplicate key " + key);
            seen.push_back(key);
        }
        if (!root["initial"])
            return reject("no initial state");
        if (!root["events"] || !root["states"] || !root["states"].IsMap())
            return reject("events and states are required");
        m_chart.m_initial = root["initial"].as<std::string>();
        m_chart.m_events = root["events"].as<Names>();
        if (root["description"])
            m_chart.m_description = root["description"].as<std::string>();
        if (root["final"])
            m_chart.m_final = root["final"].as<Names>();
        return true;
    }

    bool readStates(const YAML::Node &states)
    {
        for (const auto &entry : states) {
            const auto state = entry.first.as<std::string>();
            m_chart.m_states.push_back(state);
            if (entry.second.IsNull())
                continue;
            if (!entry.second.IsMap())
                return reject("the transitions of " + state + " are not a map");
            for (const auto &transition : entry.second) {
                m_chart.m_transitions.push_back({state, transition.first.as<std::string>(),
                                                 transition.second.as<std::string>()});
            }
        }
        return true;
    }

    bool checkNames()
    {
        for (const Names *names : {&m_chart.m_states, &m_chart.m_events}) {
            std::set<std::string> seen;
            for (const std::string &name : *names) {
                if (!isIdentifier(name))
                    return reject("invalid name '" + name + "'");
                if (!seen.insert(name).second)
                    return reject("duplicate name " + name);
            }
        }
        if (!contains(m_chart.m_states, m_chart.m_initial))
            return reject("the initial state " + m_chart.m_initial + " is not declared");
        for (const std::string &state : m_chart.m_final) {
            if (!contains(m_chart.m_states, state))
                return reject("the final state " + state + " is not declared");
        }
        return true;
    }

    bool checkTransitions()
    {
        std::set<std::string> usedEvents;
        std::set<std::string> sources;
        for (const Transition &transition : m_chart.m_transitions) {
            if (!contains(m_chart.m_events, transition.event))
                return reject("undeclared event " + transition.event + " in state "
                              + transition.from);
            if (!contains(m_chart.m_states, transition.to))
                return reject("unknown target " + transition.to + " in state " + transition.from);
            if (m_chart.isFinal(transition.from))
                return reject("the final state " + transition.from + " has a transition");
            if (!m_chart.m_table
                     .emplace(std::pair(transition.from, transition.event), transition.to)
                     .second)
                return reject("duplicate event " + transition.event + " in state "
                              + transition.from);
            usedEvents.insert(transition.event);
            sources.insert(transition.from);
        }
        for (const std::string &event : m_chart.m_events) {
            if (!usedEvents.contains(event))
                return reject("the event " + event + " is never used");
        }
        for (const std::string &state : m_chart.m_states) {
            if (!sources.contains(state) && !m_chart.isFinal(state))
                return reject("the state " + state + " has no transition but is not final");
        }
        return true;
    }

    bool checkReachable()
    {
        std::set<std::string> reachable = {m_chart.m_initial};
        for (bool changed = true; changed;) {
            changed = false;
            for (const Transition &transition : m_chart.m_transitions) {
                if (reachable.contains(transition.from))
                    changed = reachable.insert(transition.to).second || changed;
            }
        }
        for (const std::string &state : m_chart.m_states) {
            if (!reachable.contains(state))
                return reject("the state " + state + " is unreachable");
        }
        return true;
    }

    StateChart m_chart;
};

} // namespace detail

std::optional<StateChart> StateChart::parse(const std::string &name, const std::string &yaml)
{
    return detail::ChartReader(name).read(yaml);
}

std::optional<StateChart> StateChart::load(const std::string &name)
{
    for (const detail::EmbeddedChart &chart : detail::embeddedCharts()) {
        if (chart.name == name)
            return parse(name, chart.yaml);
    }
    return core::fail(core::ResultCode::ChartInvalid, name + ": no such chart");
}

std::vector<std::string> StateChart::names()
{
    Names all;
    for (const detail::EmbeddedChart &chart : detail::embeddedCharts())
        all.push_back(chart.name);
    return all;
}

bool StateChart::checkAll()
{
    const Names all = names();
    return std::all_of(all.begin(), all.end(), [](const auto &name) { return load(name); });
}

const StateChart &StateChart::embedded(const std::string &name)
{
    static std::mutex mutex;
    static std::map<std::string, StateChart> charts;
    const std::lock_guard lock(mutex);
    if (const auto it = charts.find(name); it != charts.end())
        return it->second;
    auto chart = load(name);
    if (!chart) {
        std::fprintf(stderr, "%s\n", core::lastReason().message.c_str());
        std::abort();
    }
    return charts.emplace(name, *std::move(chart)).first->second;
}

bool StateChart::isFinal(std::string_view state) const
{
    return contains(m_final, state);
}

std::optional<std::string> StateChart::next(std::string_view state, std::string_view event) const
{
    const auto it = m_table.find(std::pair(std::string(state), std::string(event)));
    if (it == m_table.end())
        return std::nullopt;
    return it->second;
}

bool Machine::fire(std::string_view event)
{
    const auto target = m_chart->next(m_state, event);
    if (!target)
        return false;
    m_state = *target;
    return true;
}

std::string mermaidPage(const StateChart &chart)
{
    std::string page = absl::StrCat("# State chart: ", chart.name(), "\n\n");
    if (!chart.description().empty())
        absl::StrAppend(&page, chart.description(), "\n\n");
    absl::StrAppend(&page, "Drawn from `charts/", chart.name(), ".yaml` by `support/draw-charts`.",
                    "\n\n```mermaid\nstateDiagram-v2\n    [*] --> ", chart.initial(), "\n");
    for (const Transition &transition : chart.transitions())
        absl::StrAppend(&page, "    ", transition.from, " --> ", transition.to, ": ",
                        transition.event, "\n");
    for (const std::string &state : chart.states()) {
        if (chart.isFinal(state))
            absl::StrAppend(&page, "    ", state, " --> [*]\n");
    }
    absl::StrAppend(&page, "```\n");
    return page;
}

} // namespace oleandercross::statechart
