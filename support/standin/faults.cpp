#include "faults.h"

#include <oleandercross/core/clock.h>
#include <oleandercross/core/json.h>

#include <array>

namespace oleandercross::standin {

namespace {

struct Kind
{
    const char *name;
    bool FaultPlan::*flag;
};

constexpr std::array Kinds = {
    Kind{"refuse", &FaultPlan::refuse}, Kind{"close", &FaultPlan::close},
    Kind{"ignore", &FaultPlan::ignore}, Kind{"defer", &FaultPlan::defer},
    Kind{"lose", &FaultPlan::lose},     Kind{"stall", &FaultPlan::stall},
    Kind{"cut", &FaultPlan::cut},       Kind{"shorten", &FaultPlan::shorten},
    Kind{"swap", &FaultPlan::swap},     Kind{"twice", &FaultPlan::twice},
    Kind{"late", &FaultPlan::late},
};

absl::Time now()
{
    return core::SteadyClock().now();
}

bool isOutage(const std::string &name)
{
    return name == "refuse" || name == "close" || name == "silent";
}

} // namespace

bool Faults::apply(const Json::Value &json)
{
    if (!json.isObject())
        return false;
    absl::MutexLock lock(&m_mutex);
    if (core::boolMember(json, "clear")) {
        m_next.clear();
        m_rates.clear();
        m_outageUntil = absl::InfinitePast();
        m_delay = absl::ZeroDuration();
        m_path.clear();
        m_failTasks = false;
    }
    m_outage = core::stringMember(json, "outage", m_outage);
    if (!isOutage(m_outage))
        return false;
    if (json.isMember("outage_ms"))
        m_outageUntil = now() + absl::Milliseconds(core::intMember(json, "outage_ms"));
    if (json.isMember("delay_ms"))
        m_delay = absl::Milliseconds(core::intMember(json, "delay_ms"));
    if (json.isMember("by_ms"))
        m_by = absl::Milliseconds(core::intMember(json, "by_ms"));
    m_path = core::stringMember(json, "path", m_path);
    m_failTasks = core::boolMember(json, "fail_tasks", m_failTasks);
    return applyKinds(json);
}

bool Faults::applyKinds(const Json::Value &json)
{
    const Json::Value &rates = core::member(json, "rates");
    // Random faults require a seed, so that runs are reproducible.
    if (!rates.isNull() && !json.isMember("seed"))
        return false;
    if (json.isMember("seed"))
        m_random.seed(static_cast<std::uint64_t>(core::intMember(json, "seed")));
    for (const Kind &kind : Kinds) {
        if (json.isMember(kind.name))
            m_next[kind.name] = static_cast<int>(core::intMember(json, kind.name));
        if (rates.isMember(kind.name))
            m_rates[kind.name] = core::doubleMember(rates, kind.name);
    }
    return true;
}

Json::Value Faults::json() const
{
    absl::MutexLock lock(&m_mutex);
    Json::Value json;
    const absl::Duration outage = std::max(absl::ZeroDuration(), m_outageUntil - now());
    json["outage_ms"] = static_cast<Json::Int64>(absl::ToInt64Milliseconds(outage));
    json["outage"] = m_outage;
    json["delay_ms"] = static_cast<Json::Int64>(absl::ToInt64Milliseconds(m_delay));
    json["by_ms"] = static_cast<Json::Int64>(absl::ToInt64Milliseconds(m_by));
    json["path"] = m_path;
    json["fail_tasks"] = m_failTasks;
    for (const auto &[name, count] : m_next)
        json[name] = count;
    for (const auto &[name, rate] : m_rates)
        json["rates"][name] = rate;
    return json;
}

bool Faults::consumeFault(const std::string &kind)
{
    const auto it = m_next.find(kind);
    if (it != m_next.end() && it->second > 0) {
        --it->second;
        return true;
    }
    const auto rate = m_rates.find(kind);
    if (rate == m_rates.end())
        return false;
    return std::uniform_real_distribution<double>()(m_random) < rate->second;
}

FaultPlan Faults::next(const std::string &path)
{
    absl::MutexLock lock(&m_mutex);
    FaultPlan plan;
    plan.delay = m_delay;
    plan.by = m_by;
    if (now() < m_outageUntil) {
        plan.refuse = m_outage == "refuse";
        plan.close = m_outage == "close";
        plan.ignore = m_outage == "silent";
        return plan;
    }
    if (!m_path.empty() && m_path != path)
        return plan;
    // At most one fault per request, so that the counts stay exact.
    for (const Kind &kind : Kinds) {
        if (consumeFault(kind.name)) {
            plan.*kind.flag = true;
            break;
        }
    }
    return plan;
}

bool Faults::failTasks() const
{
    absl::MutexLock lock(&m_mutex);
    return m_failTasks;
}

} // namespace oleandercross::standin
