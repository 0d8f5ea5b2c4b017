#pragma once

#include <bit>
#include <cstdint>

namespace oleandercross::scheduling::detail {

// A set of accelerator indices of one worker, as a bit mask.
using Slots = std::uint64_t;

inline constexpr int MaxSlots = 64;

constexpr int count(Slots slots)
{
    return std::popcount(slots);
}

// Returns the set of the `n` lowest indices.
constexpr Slots lowest(int n)
{
    return n >= MaxSlots ? ~Slots{0} : (Slots{1} << n) - 1;
}

// Both functions return one bit for each aligned pair or quad that the set contains completely.
constexpr Slots wholePairs(Slots slots)
{
    return slots & (slots >> 1) & 0x5555555555555555U;
}

constexpr Slots wholeQuads(Slots slots)
{
    const Slots pairs = wholePairs(slots);
    return pairs & (pairs >> 2) & 0x1111111111111111U;
}

// Returns the `n` lowest indices of `from`, those in `preferred` first. Requires n <= count(from).
Slots takeLowest(Slots from, int n, Slots preferred);

// Returns `n` indices of `from` inside the tightest aligned block, so that wider blocks stay whole.
// Requires n <= count(from).
Slots pickSlots(Slots from, int n, Slots preferred);

} // namespace oleandercross::scheduling::detail
