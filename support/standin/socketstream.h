#pragma once

#include <absl/time/time.h>
#include <httplib.h>

#include <string>

namespace oleandercross::standin {

// Reads requests from a socket and captures the answers instead of sending them, so that faults can
// be applied to complete answers.
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

    // Returns true if data arrives or the peer closes the connection within the time.
    bool readableWithin(absl::Duration time) const;

    std::string takeCaptured();

    // Writes to the socket. Returns false if the connection is broken.
    bool send(const std::string &bytes) const;

private:
    const int m_socket;
    char m_buffer[16384];
    std::size_t m_offset = 0;
    std::size_t m_filled = 0;
    std::string m_captured;
};

} // namespace oleandercross::standin
