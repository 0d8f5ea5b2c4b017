#pragma once

#include <oleandercross/core/clock.h>

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace oleandercross::control {

// An entry as a possible leader.
struct Candidate
{
    std::string name;
    // The processor share in thousandths of a core.
    std::int64_t milliCores = 0;

    friend bool operator==(const Candidate &, const Candidate &) = default;
};

// Returns how many of the candidates precede `self`: those with a larger processor share, and those
// with the same share and a smaller name. The candidate `lostLeader` does not count.
std::size_t candidateRank(const std::vector<Candidate> &candidates, const Candidate &self,
                          const std::string &lostLeader);

// Decides when an entry reads the leader row and when it tries to become the leader, so that many
// entries neither overload the store while there is no leader nor take the leadership from each
// other. The first candidate acts at once; the others leave it time and follow if it does not act.
class Candidacy
{
public:
    // Returns the interval at which an entry of this rank reads the leader row while no leader is
    // healthy. Entries of a high rank read it less often, so that the rate of all entries together
    // grows slower than their number.
    static absl::Duration readPeriod(std::size_t rank);

    // Records whether the leadership is available, as read at `now` in the given version of the
    // leader row. Returns true if an entry of this rank should try to take it.
    bool shouldTake(bool available, std::int64_t rowVersion, std::size_t rank, core::Instant now);

private:
    std::int64_t m_rowVersion = -1;
    core::Instant m_availableSince = absl::InfiniteFuture();
};

} // namespace oleandercross::control
