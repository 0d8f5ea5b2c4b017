#pragma once

#include <compare>
#include <cstdint>

namespace oleandercross::core {

// Processors (whole cores), memory (MiB) and accelerators, either of a worker or claimed by a task.
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

// True if every dimension of `need` is at most that of `free`.
constexpr bool fits(const Resources &need, const Resources &free)
{
    return need.accelerators <= free.accelerators && need.cores <= free.cores
        && need.memoryMb <= free.memoryMb;
}

} // namespace oleandercross::core
