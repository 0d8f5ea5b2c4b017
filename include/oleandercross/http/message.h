#pragma once

#include <compare>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace oleandercross::http {

// An IPv4 or IPv6 address in numbers and a TCP port.
struct Endpoint
{
    std::string address;
    int port = 0;

    friend auto operator<=>(const Endpoint &, const Endpoint &) = default;
};

// "127.0.0.1:8080", or "[::1]:8080" for IPv6.
std::string toString(const Endpoint &endpoint);

// Parses what toString() writes. Fails with BadField on names, missing or invalid ports.
std::optional<Endpoint> parseEndpoint(const std::string &text);

// Lets a handler find out that the peer of its request has gone.
class Connection
{
public:
    virtual ~Connection() = default;

    // True once the peer has closed or reset the connection.
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
    // Null when the transport cannot tell; only valid during the handler call.
    const Connection *connection = nullptr;

    // The header's value, or an empty string.
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
