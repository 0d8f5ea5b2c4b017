#include <oleandercross/http/message.h>

#include <oleandercross/core/resultcode.h>

#include <absl/strings/ascii.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <arpa/inet.h>
#include <netinet/in.h>

#include <algorithm>

namespace oleandercross::http {

namespace {

constexpr int MaxPort = 65535;

bool isNumericAddress(int family, const std::string &address)
{
    unsigned char buffer[sizeof(in6_addr)];
    return address.find('\0') == std::string::npos
        && inet_pton(family, address.c_str(), buffer) == 1;
}

// Accepts decimal digits only, unlike absl::SimpleAtoi().
std::optional<int> parsePort(const std::string &text)
{
    int port = 0;
    const bool digits = std::all_of(text.begin(), text.end(), [](char c) {
        return absl::ascii_isdigit(static_cast<unsigned char>(c));
    });
    if (!digits || !absl::SimpleAtoi(text, &port) || port < 1 || port > MaxPort)
        return std::nullopt;
    return port;
}

} // namespace

std::string toString(const Endpoint &endpoint)
{
    if (endpoint.address.find(':') != std::string::npos)
        return absl::StrCat("[", endpoint.address, "]:", endpoint.port);
    return absl::StrCat(endpoint.address, ":", endpoint.port);
}

std::optional<Endpoint> parseEndpoint(const std::string &text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string::npos)
        return core::fail(core::ResultCode::BadField, "port is missing in address '" + text + "'");
    std::string address = text.substr(0, colon);
    const bool bracketed = address.size() > 2 && address.front() == '[' && address.back() == ']';
    if (bracketed)
        address = address.substr(1, address.size() - 2);
    if (!isNumericAddress(bracketed ? AF_INET6 : AF_INET, address))
        return core::fail(core::ResultCode::BadField, "'" + address + "' is not an IP address");
    const std::optional<int> port = parsePort(text.substr(colon + 1));
    if (!port)
        return core::fail(core::ResultCode::BadField, "invalid port in '" + text + "'");
    return Endpoint{address, *port};
}

bool isUnicast(const Endpoint &endpoint)
{
    in_addr v4{};
    if (inet_pton(AF_INET, endpoint.address.c_str(), &v4) == 1) {
        const in_addr_t address = ntohl(v4.s_addr);
        return address != INADDR_ANY && address != INADDR_BROADCAST && !IN_MULTICAST(address);
    }
    in6_addr v6{};
    return inet_pton(AF_INET6, endpoint.address.c_str(), &v6) == 1 && !IN6_IS_ADDR_UNSPECIFIED(&v6)
        && !IN6_IS_ADDR_MULTICAST(&v6);
}

std::string Request::header(const std::string &name) const
{
    const auto it = headers.find(name);
    return it == headers.end() ? std::string() : it->second;
}

} // namespace oleandercross::http
