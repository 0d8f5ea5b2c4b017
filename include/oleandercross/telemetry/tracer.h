#pragma once

#include <opentracing/tracer.h>

#include <functional>
#include <memory>
#include <string>

namespace oleandercross::telemetry {

// Receives finished spans as a Zipkin v2 JSON array.
using SpanSink = std::function<void(const std::string &zipkinJson)>;

// An OpenTracing tracer that propagates the W3C `traceparent` header. A background thread passes
// finished spans to a sink in batches. Spans are dropped and counted when the sink is too slow.
class Tracer
{
public:
    // `process` becomes the service name of the spans. Without a sink, spans are discarded.
    Tracer(const std::string &process, SpanSink sink);
    ~Tracer();

    // Starts a span as a child of `traceparent`, or as the root of a new trace if that is empty or
    // malformed.
    std::unique_ptr<opentracing::Span> start(const std::string &name,
                                             const std::string &traceparent) const;

    // Returns the `traceparent` header for calls made within the span.
    static std::string traceparent(const opentracing::Span &span);

    // Returns the number of spans dropped since the start.
    std::int64_t dropped() const;

    // The OpenTracing implementation, defined in the source file.
    class Private;

private:
    std::shared_ptr<Private> d;
};

} // namespace oleandercross::telemetry
