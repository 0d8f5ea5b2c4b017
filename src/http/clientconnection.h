#pragma once

#include <oleandercross/http/message.h>

#include <httplib.h>

#include <memory>
#include <string>

namespace oleandercross::http {

struct TlsFiles;

namespace detail {

// A client for one connection. The library opens the connection on demand and reopens it after the
// peer has closed it, unless the connection is pinned.
class ClientConnection
{
public:
    virtual ~ClientConnection() = default;

    virtual httplib::ClientImpl &client() = 0;

    // While pinned, requests fail as not sent if the connection is no longer open.
    void setPinned(bool pinned) { m_pinned = pinned; }

    // The process that is known to have accepted the connection; empty if it is not known, as after
    // the connection has been reopened.
    const std::string &peer() const { return m_peer; }
    void setPeer(const std::string &peer) { m_peer = peer; }

protected:
    // Returns false if the connection must not be opened now.
    bool beginOpen()
    {
        m_peer.clear();
        return !m_pinned;
    }

private:
    bool m_pinned = false;
    std::string m_peer;
};

// Creates a connection that opens with its first request.
std::unique_ptr<ClientConnection> makeClientConnection(const Endpoint &endpoint,
                                                       const std::optional<TlsFiles> &tls);

} // namespace detail

} // namespace oleandercross::http
