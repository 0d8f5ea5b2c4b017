#pragma once

#include "faults.h"

#include <oleandercross/http/message.h>

#include <functional>
#include <memory>

namespace oleandercross::standin {

// HTTP server of one role that injects faults into the execution of requests and into the bytes of
// their answers. POST /fault sets the faults, GET /fault returns them and GET /counts returns the
// counters of the role. Requests for these two paths are not affected by faults.
class FaultServer
{
public:
    using Handler = std::function<http::Response(const http::Request &)>;

    // Port 0 selects a free port.
    FaultServer(http::Endpoint listen, Handler handler);
    ~FaultServer();

    bool start();
    void stop();
    int port() const;
    http::Endpoint endpoint() const;

    Faults &faults();

private:
    class Private;
    std::unique_ptr<Private> d;
};

// Returns a response with a JSON body.
http::Response jsonResponse(int status, const Json::Value &body);

} // namespace oleandercross::standin
