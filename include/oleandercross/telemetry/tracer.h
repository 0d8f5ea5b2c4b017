#pragma once

#include <opentracing/tracer.h>

#include <functional>
#include <memory>
#include <string>

namespace oleandercross::telemetry {

// Receives finished spans as a Zipkin v2 JSON array.
using SpanSink = std::function<void(const std::string &zipkinJson)>;

// An OpenTracing tracer that passes W3C `traceparent` along and hands finished spans to a sink in
// batches on a thread of its own. Spans are dropped, and counted, when the sink is too slow.
class Tracer
{
public:
    // `process` becomes the spans' service name. Without a sink spans are kept nowhere.
    Tracer(const std::string &process, SpanSink sink);
    ~Tracer();

    // Starts a span as a child of the `traceparent`, or a new trace if that is empty or malformed.
    std::unique_ptr<opentracing::Span> start(const std::string &name,
                                             const std::string &traceparent) const;

    // The `traceparent` header for calls made within the span.
    static std::string traceparent(const opentracing::Span &span);

    // Number of spans dropped so far.
    std::int64_t dropped() const;

    // The OpenTracing implementation, defined in the source file.
    class Private;

private:
    std::shared_ptr<Private> d;
};

} // namespace oleandercross::telemetry
