#pragma once

// Plain-string interface to libjsonrpccpp. The library's headers need C++14, so only
// jsonrpcbridge.cpp includes them; this header must stay valid C++14.

#include <functional>
#include <json/value.h>
#include <memory>
#include <string>

namespace oleandercross {
namespace rpc {
namespace detail {

// The outcome of a call: either `code` 0 and a value, or a result code and a message.
struct CallResult
{
    int code = 0;
    std::string message;
    Json::Value value;
};

// Decodes requests, calls the handler registered for the method and encodes the response.
class ServerBridge
{
public:
    using Handler = std::function<CallResult(const Json::Value &params)>;

    ServerBridge();
    ~ServerBridge();
    void add(const std::string &method, Handler handler);
    std::string handle(const std::string &request);

private:
    class Private;
    std::unique_ptr<Private> d;
};

// Sends an encoded request and stores the encoded response. Returns false if there is no response.
using Transport = std::function<bool(const std::string &request, std::string &response)>;

// Encodes a call, sends it and decodes the response. The code is -1 if the transport failed.
CallResult call(const Transport &transport, const std::string &method, const Json::Value &params);

} // namespace detail
} // namespace rpc
} // namespace oleandercross
