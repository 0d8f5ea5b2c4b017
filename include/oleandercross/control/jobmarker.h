#pragma once

#include <optional>
#include <set>
#include <string>

namespace oleandercross::control {

// The value of a job's row while there is no job: its submission was refused, or was cancelled
// before it arrived. The row keeps a late insert of the job from being applied.
class JobMarker
{
public:
    // Returns the marker of a refused job, which a later submission may replace.
    static JobMarker refusal() { return JobMarker({}); }
    // Returns the marker that is the value of the row, nothing if the row is a job's.
    static std::optional<JobMarker> parse(const std::string &value);

    // Returns this marker with a cancellation by the account added. An empty account cancels the
    // jobs of every account.
    JobMarker cancelledBy(const std::string &account) const;
    // Returns true if the job was cancelled by the account that submits it, or for every account.
    // Another account's cancellation has no effect on it.
    bool cancels(const std::string &account) const;

    std::string encode() const;

    friend bool operator==(const JobMarker &, const JobMarker &) = default;

private:
    explicit JobMarker(std::set<std::string> cancellers);

    // The accounts that have cancelled the job; empty if it was only refused.
    std::set<std::string> m_cancellers;
};

} // namespace oleandercross::control
