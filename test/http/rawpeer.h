#pragma once

#include <oleandercross/http/message.h>

#include <absl/time/clock.h>
#include <absl/time/time.h>
#include <arpa/inet.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <functional>
#include <string>
#include <thread>
#include <vector>

namespace oleandercross::test {

// Limits each wait for data, so that a failing test terminates.
constexpr int RawTimeoutMs = 10000;

// A TCP connection without any HTTP logic.
class RawConnection
{
public:
    explicit RawConnection(int socket)
        : m_socket(socket)
    { }
    explicit RawConnection(const http::Endpoint &endpoint)
        : m_socket(::socket(AF_INET, SOCK_STREAM, 0))
    {
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_port = htons(static_cast<std::uint16_t>(endpoint.port));
        inet_pton(AF_INET, endpoint.address.c_str(), &address.sin_addr);
        if (connect(m_socket, reinterpret_cast<sockaddr *>(&address), sizeof(address)) != 0)
            close();
    }
    RawConnection(RawConnection &&other) noexcept
        : m_socket(std::exchange(other.m_socket, -1))
    { }
    RawConnection(const RawConnection &) = delete;
    RawConnection &operator=(const RawConnection &) = delete;
    RawConnection &operator=(RawConnection &&) = delete;
    ~RawConnection() { close(); }

    bool send(const std::string &bytes) const
    {
        return ::send(m_socket, bytes.data(), bytes.size(), MSG_NOSIGNAL)
            == static_cast<ssize_t>(bytes.size());
    }

    // Reads until the received text contains `end`, the peer closes or the timeout expires.
    std::string receiveUntil(const std::string &end) const
    {
        std::string text;
        char buffer[4096];
        pollfd fd{m_socket, POLLIN, 0};
        while (text.find(end) == std::string::npos && poll(&fd, 1, RawTimeoutMs) > 0) {
            const ssize_t n = recv(m_socket, buffer, sizeof(buffer), 0);
            if (n <= 0)
                break;
            text.append(buffer, static_cast<std::size_t>(n));
        }
        return text;
    }

    // Reads until the peer closes or the timeout expires.
    std::string receiveAll() const { return receiveUntil(std::string(1, '\0')); }

    void close()
    {
        if (m_socket >= 0)
            ::close(m_socket);
        m_socket = -1;
    }

private:
    int m_socket;
};

// Accepts connections and runs a script on each of them, one after the other, on one thread.
class RawPeer
{
public:
    using Script = std::function<void(RawConnection &)>;

    explicit RawPeer(Script script)
        : m_listener(::socket(AF_INET, SOCK_STREAM, 0))
    {
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        bind(m_listener, reinterpret_cast<sockaddr *>(&address), sizeof(address));
        listen(m_listener, 16);
        socklen_t length = sizeof(address);
        getsockname(m_listener, reinterpret_cast<sockaddr *>(&address), &length);
        m_endpoint = {"127.0.0.1", ntohs(address.sin_port)};
        m_thread = std::thread([this, script = std::move(script)] { run(script); });
    }
    ~RawPeer()
    {
        m_stopping = true;
        m_thread.join();
        ::close(m_listener);
    }
    RawPeer(const RawPeer &) = delete;
    RawPeer &operator=(const RawPeer &) = delete;

    const http::Endpoint &endpoint() const { return m_endpoint; }
    int accepted() const { return m_accepted; }
    bool stopping() const { return m_stopping; }

private:
    void run(const Script &script)
    {
        while (!m_stopping) {
            pollfd fd{m_listener, POLLIN, 0};
            if (poll(&fd, 1, 20) <= 0)
                continue;
            RawConnection connection(accept(m_listener, nullptr, nullptr));
            ++m_accepted;
            script(connection);
        }
    }

    int m_listener;
    http::Endpoint m_endpoint;
    std::atomic<int> m_accepted = 0;
    std::atomic<bool> m_stopping = false;
    std::thread m_thread;
};

} // namespace oleandercross::test
