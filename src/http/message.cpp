#include <oleandercross/http/message.h>

#include <oleandercross/core/resultcode.h>

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <arpa/inet.h>

namespace oleandercross::http {

namespace {

constexpr int MaxPort = 65535;

bool isNumericAddress(const std::string &address)
{
    unsigned char buffer[sizeof(in6_addr)];
    return inet_pton(AF_INET, address.c_str(), buffer) == 1
        || inet_pton(AF_INET6, address.c_str(), buffer) == 1;
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
    if (address.size() > 2 && address.front() == '[' && address.back() == ']')
        address = address.substr(1, address.size() - 2);
    if (!isNumericAddress(address))
        return core::fail(core::ResultCode::BadField, "'" + address + "' is not an IP address");
    int port = 0;
    if (!absl::SimpleAtoi(text.substr(colon + 1), &port) || port < 1 || port > MaxPort)
        return core::fail(core::ResultCode::BadField, "invalid port in '" + text + "'");
    return Endpoint{address, port};
}

std::string Request::header(const std::string &name) const
{
    const auto it = headers.find(name);
    return it == headers.end() ? std::string() : it->second;
}

} // namespace oleandercross::http
