#include "sockettraffic.h"

// The C library's struct tcp_info lacks the byte counts, and its header conflicts with this one.
#include <linux/tcp.h>
#include <sys/socket.h>

#include <netinet/in.h>

namespace oleandercross::http::detail {

Traffic socketTraffic(int socket)
{
    tcp_info info{};
    socklen_t size = sizeof(info);
    if (getsockopt(socket, IPPROTO_TCP, TCP_INFO, &info, &size) != 0)
        return {};
    // Bytes that were sent again count once.
    const auto sent = info.tcpi_bytes_sent - info.tcpi_bytes_retrans;
    return {static_cast<std::int64_t>(info.tcpi_bytes_received), static_cast<std::int64_t>(sent)};
}

} // namespace oleandercross::http::detail
