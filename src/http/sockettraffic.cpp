#include "sockettraffic.h"

// The tcp_info of <netinet/tcp.h> lacks the byte counts, and that header conflicts with this one.
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
    // Retransmitted bytes are counted once.
    const auto sent = info.tcpi_bytes_sent - info.tcpi_bytes_retrans;
    return {static_cast<std::int64_t>(info.tcpi_bytes_received), static_cast<std::int64_t>(sent)};
}

} // namespace oleandercross::http::detail
