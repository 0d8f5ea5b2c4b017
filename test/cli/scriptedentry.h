#pragma once

#include <oleandercross/core/json.h>
#include <oleandercross/core/resultcode.h>
#include <oleandercross/http/server.h>

#include <absl/synchronization/mutex.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <string>
#include <thread>
#include <vector>

namespace oleandercross::test {

inline http::Response okResponse(const Json::Value &body)
{
    return http::Response{200, core::writeJson(body), "application/json", {}};
}

// Returns an error response of the API.
inline http::Response errorResponse(core::ResultCode code, const std::string &message = "refused")
{
    Json::Value body;
    body["code"] = static_cast<int>(code);
    body["name"] = std::string(core::name(code));
    body["message"] = message;
    return http::Response{core::httpStatus(code), core::writeJson(body), "application/json", {}};
}

// Serves the given responses in order and repeats the last one.
class ScriptedEntry
{
public:
    explicit ScriptedEntry(std::vector<http::Response> responses)
        : m_responses(std::move(responses))
        , m_server(options())
    {
        for (const char *method : {"GET", "POST", "DELETE"})
            m_server.route(method, ".*",
                           [this](const http::Request &r) { return nextResponse(r); });
        m_server.start();
    }

    ~ScriptedEntry() { m_server.stop(); }

    std::string address() const { return "127.0.0.1:" + std::to_string(m_server.port()); }

    std::vector<http::Request> requests() const
    {
        absl::MutexLock lock(&m_mutex);
        return m_requests;
    }

private:
    static http::ServerOptions options()
    {
        http::ServerOptions result;
        result.listen = {"127.0.0.1", 0};
        // Bounds the shutdown time, since the client keeps its connection open until the test ends.
        result.keepAlive = absl::Seconds(1);
        return result;
    }

    http::Response nextResponse(const http::Request &request)
    {
        absl::MutexLock lock(&m_mutex);
        m_requests.push_back(request);
        return m_responses[std::min(m_requests.size(), m_responses.size()) - 1];
    }

    const std::vector<http::Response> m_responses;
    mutable absl::Mutex m_mutex;
    std::vector<http::Request> m_requests ABSL_GUARDED_BY(m_mutex);
    http::Server m_server;
};

// Reads a request and closes the connection without a response.
class ClosingEntry
{
public:
    ClosingEntry()
    {
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t length = sizeof(address);
        bind(m_socket, reinterpret_cast<sockaddr *>(&address), length);
        listen(m_socket, 1);
        getsockname(m_socket, reinterpret_cast<sockaddr *>(&address), &length);
        m_port = ntohs(address.sin_port);
        m_thread = std::thread([this] { serve(); });
    }

    ~ClosingEntry()
    {
        shutdown(m_socket, SHUT_RDWR);
        m_thread.join();
        close(m_socket);
    }

    std::string address() const { return "127.0.0.1:" + std::to_string(m_port); }

private:
    void serve()
    {
        for (int peer = accept(m_socket, nullptr, nullptr); peer >= 0;
             peer = accept(m_socket, nullptr, nullptr)) {
            char buffer[4096];
            [[maybe_unused]] const auto size = recv(peer, buffer, sizeof(buffer), 0);
            close(peer);
        }
    }

    const int m_socket = socket(AF_INET, SOCK_STREAM, 0);
    int m_port = 0;
    std::thread m_thread;
};

} // namespace oleandercross::test
