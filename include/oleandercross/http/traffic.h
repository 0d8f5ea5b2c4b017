#pragma once

#include <compare>
#include <cstdint>

namespace oleandercross::http {

// Bytes of HTTP messages including their headers, but without TCP and IP headers.
struct Traffic
{
    std::int64_t received = 0;
    std::int64_t sent = 0;

    Traffic &operator+=(const Traffic &other)
    {
        received += other.received;
        sent += other.sent;
        return *this;
    }

    friend Traffic operator+(Traffic a, const Traffic &b) { return a += b; }
    friend auto operator<=>(const Traffic &, const Traffic &) = default;
};

} // namespace oleandercross::http
