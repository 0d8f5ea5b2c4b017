#pragma once

#include <absl/time/time.h>

#include <compare>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace oleandercross::http {

// A numeric IPv4 or IPv6 address and a TCP port.
struct Endpoint
{
    std::string address;
    int port = 0;

    friend auto operator<=>(const Endpoint &, const Endpoint &) = default;
};

// Formats an endpoint as "127.0.0.1:8080", or as "[::1]:8080" for IPv6.
std::string toString(const Endpoint &endpoint);

// Parses the format of toString(). Fails with BadField on host names and on missing or invalid
// ports.
std::optional<Endpoint> parseEndpoint(const std::string &text);

// Returns true if a connection to the address reaches the one process that listens there: false for
// unspecified, broadcast and multicast addresses.
bool isUnicast(const Endpoint &endpoint);

// Lets a handler detect that the peer of its request has disconnected.
class Connection
{
public:
    virtual ~Connection() = default;

    // Returns true once the peer has closed or reset the connection.
    virtual bool closedByPeer() const = 0;
};

// Header names are in lower case.
using Headers = std::map<std::string, std::string>;

struct Request
{
    std::string method;
    std::string path;
    std::map<std::string, std::string> query;
    // The groups captured by the route's pattern.
    std::vector<std::string> captures;
    Headers headers;
    std::string body;
    // Used by clients: how much longer than the timeout a response may take of which parts have
    // arrived in time.
    absl::Duration transferTime;
    // Null if the transport does not provide it. Valid only during the handler call.
    const Connection *connection = nullptr;

    // Returns the value of a header, or an empty string if it is missing.
    std::string header(const std::string &name) const;
};

struct Response
{
    int status = 200;
    std::string body;
    std::string contentType = "application/json";
    Headers headers = {};
};

} // namespace oleandercross::http
