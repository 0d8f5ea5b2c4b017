#include "slots.h"

#include <algorithm>

namespace oleandercross::scheduling::detail {

namespace {

// Moves up to `remaining` of the lowest indices out of `available`, and returns them.
Slots moveLowest(Slots &available, int &remaining)
{
    Slots taken = 0;
    while (remaining > 0 && available != 0) {
        const Slots lowestBit = available & (~available + 1);
        taken |= lowestBit;
        available &= ~lowestBit;
        --remaining;
    }
    return taken;
}

} // namespace

Slots takeLowest(Slots from, int n, Slots preferred)
{
    Slots first = from & preferred;
    Slots rest = from & ~preferred;
    const Slots taken = moveLowest(first, n);
    return taken | moveLowest(rest, n);
}

Slots pickSlots(Slots from, int n, Slots preferred)
{
    if (n <= 0)
        return 0;
    const int smallest = static_cast<int>(std::bit_ceil(static_cast<unsigned>(n)));
    // Prefers the block with the most preferred slots, then the one with the fewest available ones.
    for (int size = smallest; size < MaxSlots; size *= 2) {
        Slots best = 0;
        int bestFree = MaxSlots + 1;
        int bestPreferred = -1;
        for (int base = 0; base < MaxSlots; base += size) {
            const Slots availableInBlock = from & (lowest(size) << base);
            const int preferredHere = std::min(n, count(availableInBlock & preferred));
            if (count(availableInBlock) < n || preferredHere < bestPreferred)
                continue;
            if (preferredHere > bestPreferred || count(availableInBlock) < bestFree) {
                best = availableInBlock;
                bestFree = count(availableInBlock);
                bestPreferred = preferredHere;
            }
        }
        if (best != 0)
            return takeLowest(best, n, preferred);
    }
    // The only remaining block is the whole mask.
    return takeLowest(from, n, preferred);
}

} // namespace oleandercross::scheduling::detail
