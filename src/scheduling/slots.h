#pragma once

#include <bit>
#include <cstdint>

namespace oleandercross::scheduling::detail {

// Accelerator indices of one worker as a bit mask.
using Slots = std::uint64_t;

inline constexpr int MaxSlots = 64;

constexpr int count(Slots slots)
{
    return std::popcount(slots);
}

// The `n` lowest indices.
constexpr Slots lowest(int n)
{
    return n >= MaxSlots ? ~Slots{0} : (Slots{1} << n) - 1;
}

// One bit for each aligned pair or quad that is fully contained in the mask.
constexpr Slots wholePairs(Slots slots)
{
    return slots & (slots >> 1) & 0x5555555555555555U;
}

constexpr Slots wholeQuads(Slots slots)
{
    const Slots pairs = wholePairs(slots);
    return pairs & (pairs >> 2) & 0x1111111111111111U;
}

// The n lowest set bits, those in `preferred` first. Requires n <= count(from).
Slots takeLowest(Slots from, int n, Slots preferred);

// Picks n of `from` inside the tightest aligned block, so that wider blocks stay whole. Requires
// n <= count(from).
Slots pickSlots(Slots from, int n, Slots preferred);

} // namespace oleandercross::scheduling::detail
