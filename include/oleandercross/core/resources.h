#pragma once

#include <compare>
#include <cstdint>

namespace oleandercross::core {

// Accelerators, whole cores and memory in MiB: the capacity of a worker or the demand of a task.
struct Resources
{
    int accelerators = 0;
    int cores = 0;
    std::int64_t memoryMb = 0;

    friend bool operator==(const Resources &, const Resources &) = default;
};

constexpr Resources operator+(const Resources &a, const Resources &b)
{
    return {a.accelerators + b.accelerators, a.cores + b.cores, a.memoryMb + b.memoryMb};
}

constexpr Resources operator-(const Resources &a, const Resources &b)
{
    return {a.accelerators - b.accelerators, a.cores - b.cores, a.memoryMb - b.memoryMb};
}

constexpr Resources operator*(const Resources &a, int factor)
{
    return {a.accelerators * factor, a.cores * factor, a.memoryMb * factor};
}

// Returns true if `need` does not exceed `free` in any dimension.
constexpr bool fits(const Resources &need, const Resources &free)
{
    return need.accelerators <= free.accelerators && need.cores <= free.cores
        && need.memoryMb <= free.memoryMb;
}

} // namespace oleandercross::core
