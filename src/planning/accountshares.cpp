#include <oleandercross/planning/accountshares.h>

#include "learnedtext.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>

#include <algorithm>
#include <cmath>
#include <tuple>
#include <vector>

namespace oleandercross::planning {

namespace {

// The time in which the weight of occupied work halves.
constexpr absl::Duration UsageHalfLife = absl::Seconds(20);
// Tasks that have waited for no longer than this do not show that capacity is short.
constexpr absl::Duration MinContendedWait = absl::Milliseconds(500);
// The limits of the factor.
constexpr double MaxFactor = 2;
constexpr double MinFactor = 1 / MaxFactor;
// Shares whose ratio is within this factor of 1 count as equal: accounts differ by chance, and each
// change of the order by value costs value.
constexpr double EqualShareRatio = 1.25;
// Added to both shares, so that accounts that have had nothing yet do not differ by chance.
constexpr double ShareOffset = 0.02;
// Less usage than this is forgotten, in accelerator-weighted core seconds.
constexpr double MinUsage = 0.01;
// The largest usage that is restored: a million weighted cores for a minute.
constexpr double MaxUsage = 6e7;
constexpr int MaxPriority = 1000;
// Separates priority and account in the stored form.
constexpr char KeySeparator = '/';

} // namespace

double AccountShares::decayedUsage(const Usage &usage, absl::Duration elapsed)
{
    const double halfLives =
        absl::FDivDuration(std::max(elapsed, absl::ZeroDuration()), UsageHalfLife);
    const double remaining = std::exp2(-halfLives);
    // The integral of the decaying weight over the elapsed time.
    const double weight = (1 - remaining) * absl::ToDoubleSeconds(UsageHalfLife) / std::log(2);
    return usage.had * remaining + usage.occupiedCores * weight;
}

void AccountShares::update(const ShareDemands &demands, core::Instant now)
{
    const absl::Duration elapsed =
        m_updatedAt == absl::InfinitePast() ? absl::ZeroDuration() : now - m_updatedAt;
    m_updatedAt = now;
    for (auto &[key, usage] : m_usage)
        usage = {decayedUsage(usage, elapsed), 0, 0};
    m_contention.clear();
    for (const auto &[key, demand] : demands) {
        Usage &usage = m_usage[key];
        usage.occupiedCores = demand.occupiedCores;
        usage.waitingWork = demand.waitingWork;
        if (demand.waitingWork <= 0)
            continue;
        Contention &contention = m_contention[key.priority];
        contention.had += usage.had;
        contention.demanded += usage.had + usage.waitingWork;
        contention.longestWait = std::max(contention.longestWait, demand.longestWait);
    }
    std::erase_if(m_usage, [](const auto &entry) {
        const Usage &usage = entry.second;
        return usage.had < MinUsage && usage.occupiedCores <= 0 && usage.waitingWork <= 0;
    });
}

bool AccountShares::contended() const
{
    return std::any_of(m_contention.begin(), m_contention.end(), [](const auto &entry) {
        return entry.second.longestWait > MinContendedWait;
    });
}

double AccountShares::factor(const ShareKey &key) const
{
    const auto contention = m_contention.find(key.priority);
    const auto found = m_usage.find(key);
    if (contention == m_contention.end() || contention->second.longestWait <= MinContendedWait
        || found == m_usage.end() || found->second.waitingWork <= 0)
        return 1;
    const Usage &usage = found->second;
    const double own = usage.had / (usage.had + usage.waitingWork);
    const double all = contention->second.had / contention->second.demanded;
    const double ratio = (all + ShareOffset) / (own + ShareOffset);
    const double excess = ratio / std::clamp(ratio, 1 / EqualShareRatio, EqualShareRatio);
    return std::clamp(excess, MinFactor, MaxFactor);
}

std::string AccountShares::encode(core::Instant now, std::size_t maxBytes) const
{
    std::vector<std::pair<double, ShareKey>> entries;
    const absl::Duration elapsed =
        m_updatedAt == absl::InfinitePast() ? absl::ZeroDuration() : now - m_updatedAt;
    for (const auto &[key, usage] : m_usage) {
        const double had = std::min(decayedUsage(usage, elapsed), MaxUsage);
        if (had >= MinUsage && key.priority >= 0 && key.priority <= MaxPriority)
            entries.emplace_back(-had, key);
    }
    std::sort(entries.begin(), entries.end());
    EntryText text(maxBytes);
    for (const auto &[had, key] : entries)
        text.add(absl::StrCat(key.priority, std::string(1, KeySeparator), key.account),
                 numberArray({-had}));
    return text.text();
}

bool AccountShares::restore(const std::string &text, core::Instant now)
{
    m_usage.clear();
    m_contention.clear();
    m_updatedAt = now;
    return restoreEntries(text, [this](const std::string &name, const Json::Value &value) {
        const std::size_t separator = name.find(KeySeparator);
        const auto had = readNumbers(value, {{0, MaxUsage}});
        int priority = -1;
        if (separator == std::string::npos || !had
            || !absl::SimpleAtoi(name.substr(0, separator), &priority) || priority < 0
            || priority > MaxPriority)
            return false;
        m_usage[{priority, name.substr(separator + 1)}].had = had->front();
        return true;
    });
}

} // namespace oleandercross::planning
