#pragma once

#include "faults.h"

#include <oleandercross/http/message.h>

#include <functional>
#include <memory>

namespace oleandercross::standin {

// An HTTP server for one role that injects faults into the bytes of its answers. POST /fault sets
// the faults, GET /fault shows them, GET /counts answers with the role's counts; these two are
// never affected by faults.
class FaultServer
{
public:
    using Handler = std::function<http::Response(const http::Request &)>;

    // Port 0 picks a free one.
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

// An answer with a JSON body.
http::Response jsonResponse(int status, const Json::Value &body);

} // namespace oleandercross::standin
