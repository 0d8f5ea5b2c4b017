#include <oleandercross/membership/directory.h>

#include <xxhash.h>

#include <algorithm>

namespace oleandercross::membership {

namespace {

constexpr std::uint64_t HomeHashSeed = 0;

std::uint64_t weight(const core::AgentId &agent, const core::EntryId &entry)
{
    // The separator distinguishes ("ab", "c") from ("a", "bc").
    const std::string text = agent.str() + '\n' + entry.str();
    return XXH64(text.data(), text.size(), HomeHashSeed);
}

absl::Duration clampDuration(absl::Duration value, absl::Duration least, absl::Duration most)
{
    return std::min(std::max(value, least), most);
}

} // namespace

core::EntryId homeEntry(const core::AgentId &agent, const std::vector<core::EntryId> &entries)
{
    core::EntryId best;
    std::uint64_t bestWeight = 0;
    for (const core::EntryId &entry : entries) {
        const std::uint64_t candidate = weight(agent, entry);
        const bool better =
            best.empty() || candidate > bestWeight || (candidate == bestWeight && entry < best);
        if (!better)
            continue;
        best = entry;
        bestWeight = candidate;
    }
    return best;
}

absl::Duration heartbeatPeriod(int agents, double meanBytes)
{
    return clampDuration(absl::Seconds(agents * meanBytes / HeartbeatBytesPerSecond),
                         MinHeartbeatPeriod, MaxHeartbeatPeriod);
}

absl::Duration remoteExchangePeriod(int localPeers, int remotePeers, double meanBytes)
{
    // Counts both directions: this entry sends to each peer and each peer sends to it.
    const double localBytesPerSecond =
        2 * localPeers * meanBytes / absl::ToDoubleSeconds(ExchangePeriod);
    // At least 1 to avoid a division by zero.
    const double remainingBytesPerSecond =
        std::max(ExchangeBytesPerSecond - localBytesPerSecond, 1.0);
    return clampDuration(absl::Seconds(2 * remotePeers * meanBytes / remainingBytesPerSecond),
                         ExchangePeriod, MaxExchangePeriod);
}

} // namespace oleandercross::membership
