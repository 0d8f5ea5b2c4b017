#include "options.h"

namespace oleandercross::daemon {

http::ServerOptions rpcServerOptions(const config::Settings &settings)
{
    http::ServerOptions options;
    options.listen = settings.rpcListen;
    options.maxConnections = settings.maxConnections;
    // A message wraps a caller's body, which JSON can make longer.
    options.maxBodyBytes = settings.maxBodyBytes * 2;
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
