#include "clientconnection.h"

#include <oleandercross/http/server.h>

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace oleandercross::http::detail {

namespace {

constexpr int TcpUserTimeoutMs = 2000;

void setSocketOptions(int socket)
{
    const int on = 1;
    const int userTimeout = TcpUserTimeoutMs;
    setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    setsockopt(socket, IPPROTO_TCP, TCP_USER_TIMEOUT, &userTimeout, sizeof(userTimeout));
}

template <typename Client>
class ConnectionOf : public ClientConnection, private Client
{
public:
    template <typename... Arguments>
    explicit ConnectionOf(const Arguments &...arguments)
        : Client(arguments...)
    {
        this->set_keep_alive(true);
        this->set_socket_options(setSocketOptions);
    }

    Client &client() override { return *this; }

private:
    using Socket = httplib::ClientImpl::Socket;

    // The library calls this whenever the connection is not open at the start of an exchange.
    bool create_and_connect_socket(Socket &socket, httplib::Error &error) override
    {
        error = httplib::Error::Connection;
        if (!beginOpen() || !this->is_valid())
            return false;
        // SSLClient's own function is private; it calls this one after the check of is_valid().
        // NOLINTNEXTLINE(bugprone-parent-virtual-call)
        return httplib::ClientImpl::create_and_connect_socket(socket, error);
    }
};

} // namespace

std::unique_ptr<ClientConnection> makeClientConnection(const Endpoint &endpoint,
                                                       const std::optional<TlsFiles> &tls)
{
    if (!tls)
        return std::make_unique<ConnectionOf<httplib::ClientImpl>>(endpoint.address, endpoint.port);
    auto connection = std::make_unique<ConnectionOf<httplib::SSLClient>>(
        endpoint.address, endpoint.port, tls->certificateFile, tls->keyFile);
    if (tls->authorityFile.empty())
        connection->client().enable_server_certificate_verification(false);
    else
        connection->client().set_ca_cert_path(tls->authorityFile);
    return connection;
}

} // namespace oleandercross::http::detail
