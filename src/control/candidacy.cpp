#include <oleandercross/control/candidacy.h>

#include <algorithm>

namespace oleandercross::control {

namespace {

constexpr absl::Duration MinReadPeriod = absl::Milliseconds(80);
constexpr absl::Duration ReadPeriodPerRank = absl::Milliseconds(15);
// An unchanged row must be read twice within the time after which a leader counts as lost.
constexpr absl::Duration MaxReadPeriod = absl::Milliseconds(500);
constexpr absl::Duration TakeDelayPerRank = absl::Milliseconds(20);
// If the first candidates are lost, the remaining ones do not wait for all of them in turn.
constexpr absl::Duration MaxTakeDelay = absl::Milliseconds(400);

absl::Duration scaled(absl::Duration perRank, std::size_t rank)
{
    return perRank * static_cast<std::int64_t>(rank);
}

} // namespace

std::size_t candidateRank(const std::vector<Candidate> &candidates, const Candidate &self,
                          const std::string &lostLeader)
{
    return static_cast<std::size_t>(
        std::count_if(candidates.begin(), candidates.end(), [&](const Candidate &other) {
            if (other.name == self.name || other.name == lostLeader)
                return false;
            return other.milliCores != self.milliCores ? other.milliCores > self.milliCores
                                                       : other.name < self.name;
        }));
}

absl::Duration Candidacy::readPeriod(std::size_t rank)
{
    return std::min(MinReadPeriod + scaled(ReadPeriodPerRank, rank), MaxReadPeriod);
}

bool Candidacy::shouldTake(bool available, std::int64_t rowVersion, std::size_t rank,
                           core::Instant now)
{
    if (!available) {
        m_availableSince = absl::InfiniteFuture();
        return false;
    }
    if (m_availableSince == absl::InfiniteFuture() || rowVersion != m_rowVersion)
        m_availableSince = now;
    m_rowVersion = rowVersion;
    return now - m_availableSince >= std::min(scaled(TakeDelayPerRank, rank), MaxTakeDelay);
}

} // namespace oleandercross::control
