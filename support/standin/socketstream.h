#pragma once

#include <absl/time/time.h>
#include <httplib.h>

#include <string>

namespace oleandercross::standin {

// Reads requests from a socket and captures answers instead of sending them, so that they can be
// changed as a whole.
class SocketStream : public httplib::Stream
{
public:
    explicit SocketStream(int socket);

    bool is_readable() const override;
    bool is_writable() const override;
    ssize_t read(char *data, std::size_t size) override;
    ssize_t write(const char *data, std::size_t size) override;
    void get_remote_ip_and_port(std::string &ip, int &port) const override;
    void get_local_ip_and_port(std::string &ip, int &port) const override;
    socket_t socket() const override;

    // True once a request's first bytes are there or the peer has closed.
    bool readableWithin(absl::Duration time) const;

    std::string takeCaptured();

    // Writes to the socket; false if the peer has gone.
    bool send(const std::string &bytes) const;

private:
    const int m_socket;
    char m_buffer[16384];
    std::size_t m_offset = 0;
    std::size_t m_filled = 0;
    std::string m_captured;
};

} // namespace oleandercross::standin
