#pragma once

#include <oleandercross/config/settings.h>
#include <oleandercross/http/clientpool.h>

namespace oleandercross::daemon {

// How a process serves and makes calls of the project's own processes.
http::ServerOptions rpcServerOptions(const config::Settings &settings);
http::ClientOptions rpcClientOptions(const config::Settings &settings);

} // namespace oleandercross::daemon
