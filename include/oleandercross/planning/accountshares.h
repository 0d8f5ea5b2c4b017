#pragma once

#include <oleandercross/core/clock.h>

#include <absl/time/time.h>

#include <compare>
#include <cstddef>
#include <map>
#include <string>

namespace oleandercross::planning {

// The jobs of an account of one priority.
struct ShareKey
{
    int priority = 0;
    std::string account;

    friend auto operator<=>(const ShareKey &, const ShareKey &) = default;
};

// What an account occupies and waits for in one round of planning.
struct ShareDemand
{
    // The accelerator-weighted cores that its tasks occupy.
    double occupiedCores = 0;
    // The expected work of its tasks that could start, in accelerator-weighted core seconds.
    double waitingWork = 0;
    // The longest time for which such tasks have waited.
    absl::Duration longestWait = absl::ZeroDuration();

    friend bool operator==(const ShareDemand &, const ShareDemand &) = default;
};

using ShareDemands = std::map<ShareKey, ShareDemand>;

// Compares what the accounts have had of their recent demand, so that they take turns when there is
// not enough capacity for all. What an account has had is an exponentially decaying sum of the work
// that its tasks occupied; its demand is that and the work that waits.
class AccountShares
{
public:
    // Adds what the accounts have occupied since the last call, at the rate that it reported, and
    // takes the demands from now on.
    void update(const ShareDemands &demands, core::Instant now);

    // Returns true if a task of any priority has waited for long, so that factors may differ
    // from 1.
    bool contended() const;

    // Returns the factor for the value density of the account's work: above 1 if the account has
    // had less of its demand than the accounts with waiting work together, below 1 if it has had
    // more; from 0.5 to 2. It is 1 if no task of the priority has waited for long.
    double factor(const ShareKey &key) const;

    // Returns the stored form, of at most `maxBytes`. Accounts that have had most come first.
    std::string encode(core::Instant now, std::size_t maxBytes) const;
    // Restores the stored form. Fails with BadJson or BadField if it, or a part of it, is
    // unreadable; the other parts are restored.
    bool restore(const std::string &text, core::Instant now);

private:
    struct Usage
    {
        double had = 0;
        double occupiedCores = 0;
        double waitingWork = 0;
    };

    // The accounts of a priority that have waiting work.
    struct Contention
    {
        double had = 0;
        double demanded = 0;
        absl::Duration longestWait = absl::ZeroDuration();
    };

    static double decayedUsage(const Usage &usage, absl::Duration elapsed);

    std::map<ShareKey, Usage> m_usage;
    std::map<int, Contention> m_contention;
    core::Instant m_updatedAt = absl::InfinitePast();
};

} // namespace oleandercross::planning
