#pragma once

#include <oleandercross/config/settings.h>
#include <oleandercross/http/clientpool.h>
#include <oleandercross/telemetry/tracer.h>

namespace oleandercross::daemon {

// Returns a tracer that sends spans to the Zipkin collector of the settings, or drops them if none
// is configured.
std::unique_ptr<telemetry::Tracer> makeTracer(const config::Settings &settings,
                                              http::ClientPool &pool);

} // namespace oleandercross::daemon
