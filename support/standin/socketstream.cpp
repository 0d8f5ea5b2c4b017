#include "socketstream.h"

#include <poll.h>
#include <sys/socket.h>

#include <algorithm>
#include <utility>

namespace oleandercross::standin {

namespace {

constexpr absl::Duration ReadTimeout = absl::Seconds(10);

bool waitFor(int socket, short events, absl::Duration timeout)
{
    pollfd fd{socket, events, 0};
    return poll(&fd, 1, static_cast<int>(absl::ToInt64Milliseconds(timeout))) > 0;
}

} // namespace

SocketStream::SocketStream(int socket)
    : m_socket(socket)
{ }

bool SocketStream::is_readable() const
{
    return readableWithin(ReadTimeout);
}

bool SocketStream::is_writable() const
{
    return true;
}

ssize_t SocketStream::read(char *data, std::size_t size)
{
    if (m_offset == m_filled) {
        if (!waitFor(m_socket, POLLIN, ReadTimeout))
            return -1;
        const ssize_t n = recv(m_socket, m_buffer, sizeof(m_buffer), 0);
        if (n <= 0)
            return n;
        m_offset = 0;
        m_filled = static_cast<std::size_t>(n);
    }
    const std::size_t n = std::min(size, m_filled - m_offset);
    std::copy_n(m_buffer + m_offset, n, data);
    m_offset += n;
    return static_cast<ssize_t>(n);
}

ssize_t SocketStream::write(const char *data, std::size_t size)
{
    m_captured.append(data, size);
    return static_cast<ssize_t>(size);
}

void SocketStream::get_remote_ip_and_port(std::string &, int &) const { }

void SocketStream::get_local_ip_and_port(std::string &, int &) const { }

socket_t SocketStream::socket() const
{
    return m_socket;
}

bool SocketStream::readableWithin(absl::Duration time) const
{
    return m_offset < m_filled || waitFor(m_socket, POLLIN, time);
}

std::string SocketStream::takeCaptured()
{
    return std::exchange(m_captured, {});
}

bool SocketStream::send(const std::string &bytes) const
{
    std::size_t sent = 0;
    while (sent < bytes.size()) {
        if (!waitFor(m_socket, POLLOUT, ReadTimeout))
            return false;
        const ssize_t n = ::send(m_socket, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (n <= 0)
            return false;
        sent += static_cast<std::size_t>(n);
    }
    return true;
}

} // namespace oleandercross::standin
