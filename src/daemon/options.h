#pragma once

#include <oleandercross/config/settings.h>
#include <oleandercross/http/clientpool.h>

namespace oleandercross::daemon {

// Options for RPC between the project's processes.
http::ServerOptions rpcServerOptions(const config::Settings &settings);
http::ClientOptions rpcClientOptions(const config::Settings &settings);

} // namespace oleandercross::daemon
