#pragma once

#include <oleandercross/http/traffic.h>

namespace oleandercross::http::detail {

// What the kernel counted on a TCP connection since it was opened; zero for another descriptor.
Traffic socketTraffic(int socket);

} // namespace oleandercross::http::detail
