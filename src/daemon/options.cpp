#include "options.h"

namespace oleandercross::daemon {

namespace {

constexpr std::size_t EnvelopeBytes = 64 << 10;

} // namespace

http::ServerOptions rpcServerOptions(const config::Settings &settings)
{
    http::ServerOptions options;
    options.listen = settings.rpcListen;
    options.maxConnections = settings.maxConnections;
    // A message contains a caller's body, whose size can double through JSON escapes.
    options.maxBodyBytes = settings.maxBodyBytes * 2 + EnvelopeBytes;
    options.tls = settings.tls;
    return options;
}

http::ClientOptions rpcClientOptions(const config::Settings &settings)
{
    http::ClientOptions options;
    options.tls = settings.tls;
    return options;
}

} // namespace oleandercross::daemon
