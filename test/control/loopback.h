#pragma once

#include <oleandercross/http/server.h>

#include <catch2/catch.hpp>

namespace oleandercross::control::testing {

// Returns the options of a server on a port of the loopback address; port 0 selects a free one.
inline http::ServerOptions onLoopback(int port)
{
    http::ServerOptions options;
    options.listen = {"127.0.0.1", port};
    return options;
}

// Returns a port that is free now, for processes that have to know their address before they start.
inline int freePort()
{
    http::Server server(onLoopback(0));
    REQUIRE(server.start());
    return server.port();
}

} // namespace oleandercross::control::testing
