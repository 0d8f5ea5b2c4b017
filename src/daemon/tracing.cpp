#include <oleandercross/daemon/tracing.h>

namespace oleandercross::daemon {

namespace {

constexpr absl::Duration SendTimeout = absl::Seconds(1);

} // namespace

std::unique_ptr<telemetry::Tracer> makeTracer(const config::Settings &settings,
                                              http::ClientPool &pool)
{
    if (!settings.platform.traces)
        return std::make_unique<telemetry::Tracer>(settings.id, telemetry::SpanSink());
    const http::Endpoint collector = *settings.platform.traces;
    return std::make_unique<telemetry::Tracer>(settings.id,
                                               [&pool, collector](const std::string &spans) {
                                                   http::Request request;
                                                   request.method = "POST";
                                                   request.path = "/api/v2/spans";
                                                   request.body = spans;
                                                   pool.send(collector, request, SendTimeout);
                                               });
}

} // namespace oleandercross::daemon
