#include "slots.h"

#include <algorithm>

namespace oleandercross::scheduling::detail {

namespace {

Slots takeFrom(Slots &from, int &n)
{
    Slots taken = 0;
    while (n > 0 && from != 0) {
        const Slots bit = from & (~from + 1);
        taken |= bit;
        from &= ~bit;
        --n;
    }
    return taken;
}

} // namespace

Slots takeLowest(Slots from, int n, Slots preferred)
{
    Slots first = from & preferred;
    Slots rest = from & ~preferred;
    const Slots taken = takeFrom(first, n);
    return taken | takeFrom(rest, n);
}

Slots pickSlots(Slots from, int n, Slots preferred)
{
    if (n <= 0)
        return 0;
    const int smallest = static_cast<int>(std::bit_ceil(static_cast<unsigned>(n)));
    for (int size = smallest; size < MaxSlots; size *= 2) {
        Slots best = 0;
        int bestFree = MaxSlots + 1;
        int bestPreferred = -1;
        for (int base = 0; base < MaxSlots; base += size) {
            const Slots block = from & (lowest(size) << base);
            const int preferredHere = std::min(n, count(block & preferred));
            if (count(block) < n || preferredHere < bestPreferred)
                continue;
            if (preferredHere > bestPreferred || count(block) < bestFree) {
                best = block;
                bestFree = count(block);
                bestPreferred = preferredHere;
            }
        }
        if (best != 0)
            return takeLowest(best, n, preferred);
    }
    return takeLowest(from, n, preferred);
}

} // namespace oleandercross::scheduling::detail
