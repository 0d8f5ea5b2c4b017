#pragma once

#include <oleandercross/http/traffic.h>

namespace oleandercross::http::detail {

// Returns the bytes that the kernel counted on a TCP connection since it was opened, or zero if the
// descriptor is not a TCP socket.
Traffic socketTraffic(int socket);

} // namespace oleandercross::http::detail
