#include <oleandercross/telemetry/tracer.h>

#include <oleandercross/core/clock.h>
#include <oleandercross/core/condvar.h>
#include <oleandercross/core/digest.h>
#include <oleandercross/core/json.h>

#include <absl/strings/str_split.h>
#include <absl/synchronization/mutex.h>
#include <absl/time/time.h>
#include <opentracing/span.h>

#include <deque>
#include <thread>

namespace oleandercross::telemetry {

namespace {

constexpr std::size_t MaxPendingSpans = 4096;
constexpr std::size_t MaxBatchSpans = 256;
constexpr absl::Duration FlushInterval = absl::Milliseconds(200);
constexpr std::size_t TraceIdDigits = 32;
constexpr std::size_t SpanIdDigits = 16;
constexpr std::size_t HexDigitsPerByte = 2;
constexpr std::size_t TraceparentFieldCount = 4;

bool isHex(const std::string &text, std::size_t digits)
{
    return text.size() == digits && text.find_first_not_of("0123456789abcdef") == std::string::npos;
}

// W3C Trace Context: an id consisting only of zeros is invalid.
bool isValidId(const std::string &text, std::size_t digits)
{
    return isHex(text, digits) && text.find_first_not_of('0') != std::string::npos;
}

class Context : public opentracing::SpanContext
{
public:
    Context(std::string traceId, std::string spanId)
        : m_traceId(std::move(traceId))
        , m_spanId(std::move(spanId))
    { }

    void ForeachBaggageItem(
        std::function<bool(const std::string &, const std::string &)>) const override
    { }

    std::unique_ptr<SpanContext> Clone() const noexcept override
    {
        return std::make_unique<Context>(*this);
    }

    std::string ToTraceID() const noexcept override { return m_traceId; }
    std::string ToSpanID() const noexcept override { return m_spanId; }

    std::string traceparent() const { return "00-" + m_traceId + "-" + m_spanId + "-01"; }

private:
    std::string m_traceId;
    std::string m_spanId;
};

// W3C Trace Context: version 00 has exactly four fields, later versions may have more, and version
// ff is invalid. Returns null if the header is malformed.
std::unique_ptr<Context> parseTraceparent(const std::string &text)
{
    const std::vector<std::string> parts = absl::StrSplit(text, '-');
    if (parts.size() < TraceparentFieldCount || !isHex(parts[0], HexDigitsPerByte)
        || parts[0] == "ff")
        return nullptr;
    if (parts[0] == "00" && parts.size() != TraceparentFieldCount)
        return nullptr;
    if (!isValidId(parts[1], TraceIdDigits) || !isValidId(parts[2], SpanIdDigits)
        || !isHex(parts[3], HexDigitsPerByte))
        return nullptr;
    return std::make_unique<Context>(parts[1], parts[2]);
}

std::string tagToString(const opentracing::Value &value)
{
    if (value.is<std::string>())
        return value.get<std::string>();
    if (value.is<const char *>())
        return value.get<const char *>();
    if (value.is<std::int64_t>())
        return std::to_string(value.get<std::int64_t>());
    if (value.is<std::uint64_t>())
        return std::to_string(value.get<std::uint64_t>());
    if (value.is<double>())
        return std::to_string(value.get<double>());
    if (value.is<bool>())
        return value.get<bool>() ? "true" : "false";
    return {};
}

} // namespace

class Tracer::Private : public opentracing::Tracer, public std::enable_shared_from_this<Private>
{
public:
    Private(std::string process, SpanSink sink)
        : m_process(std::move(process))
        , m_sink(std::move(sink))
    {
        if (m_sink)
            m_thread = std::thread([this] { run(); });
    }

    ~Private() override { stop(); }

    std::unique_ptr<opentracing::Span> StartSpanWithOptions(
        opentracing::string_view name,
        const opentracing::StartSpanOptions &options) const noexcept override;

    opentracing::expected<void> Inject(const opentracing::SpanContext &,
                                       std::ostream &) const override
    {
        return opentracing::make_unexpected(opentracing::invalid_carrier_error);
    }

    opentracing::expected<void> Inject(const opentracing::SpanContext &context,
                                       const opentracing::TextMapWriter &writer) const override
    {
        const auto *own = dynamic_cast<const Context *>(&context);
        if (!own)
            return opentracing::make_unexpected(opentracing::invalid_span_context_error);
        return writer.Set("traceparent", own->traceparent());
    }

    opentracing::expected<void> Inject(const opentracing::SpanContext &context,
                                       const opentracing::HTTPHeadersWriter &writer) const override
    {
        return Inject(context, static_cast<const opentracing::TextMapWriter &>(writer));
    }

    opentracing::expected<std::unique_ptr<opentracing::SpanContext>> Extract(
        std::istream &) const override
    {
        return opentracing::make_unexpected(opentracing::invalid_carrier_error);
    }

    opentracing::expected<std::unique_ptr<opentracing::SpanContext>> Extract(
        const opentracing::TextMapReader &reader) const override
    {
        std::unique_ptr<opentracing::SpanContext> context;
        const auto found = reader.ForeachKey(
            [&context](opentracing::string_view key,
                       opentracing::string_view value) -> opentracing::expected<void> {
                if (key == "traceparent")
                    context = parseTraceparent(value);
                return {};
            });
        if (!found)
            return opentracing::make_unexpected(found.error());
        return context;
    }

    opentracing::expected<std::unique_ptr<opentracing::SpanContext>> Extract(
        const opentracing::HTTPHeadersReader &reader) const override
    {
        return Extract(static_cast<const opentracing::TextMapReader &>(reader));
    }

    void record(Json::Value span)
    {
        if (!m_sink)
            return;
        absl::MutexLock lock(&m_mutex);
        if (m_pending.size() >= MaxPendingSpans) {
            ++m_dropped;
            return;
        }
        span["localEndpoint"]["serviceName"] = m_process;
        m_pending.push_back(std::move(span));
    }

    std::int64_t dropped() const
    {
        absl::MutexLock lock(&m_mutex);
        return m_dropped;
    }

    void stop()
    {
        {
            absl::MutexLock lock(&m_mutex);
            m_stopping = true;
            m_stopped.signalAll();
        }
        if (m_thread.joinable())
            m_thread.join();
    }

private:
    void run()
    {
        bool stopping = false;
        while (!stopping) {
            Json::Value batch(Json::arrayValue);
            {
                absl::MutexLock lock(&m_mutex);
                if (!m_stopping)
                    m_stopped.waitFor(m_mutex, FlushInterval);
                while (!m_pending.empty() && batch.size() < MaxBatchSpans) {
                    batch.append(std::move(m_pending.front()));
                    m_pending.pop_front();
                }
                stopping = m_stopping && m_pending.empty();
            }
            if (!batch.empty())
                m_sink(core::writeJson(batch));
        }
    }

    const std::string m_process;
    const SpanSink m_sink;
    mutable absl::Mutex m_mutex;
    core::CondVar m_stopped;
    std::deque<Json::Value> m_pending ABSL_GUARDED_BY(m_mutex);
    std::int64_t m_dropped ABSL_GUARDED_BY(m_mutex) = 0;
    bool m_stopping ABSL_GUARDED_BY(m_mutex) = false;
    std::thread m_thread;
};

namespace {

class Span : public opentracing::Span
{
public:
    Span(std::shared_ptr<Tracer::Private> tracer, std::string name, Context context,
         std::string parentId)
        : m_tracer(std::move(tracer))
        , m_context(std::move(context))
        , m_start(absl::FromUnixMicros(core::wallClockMicros()))
    {
        m_json["traceId"] = m_context.ToTraceID();
        m_json["id"] = m_context.ToSpanID();
        if (!parentId.empty())
            m_json["parentId"] = std::move(parentId);
        m_json["name"] = std::move(name);
        m_json["timestamp"] = static_cast<Json::Int64>(absl::ToUnixMicros(m_start));
    }

    ~Span() override { Finish(); }

    void FinishWithOptions(const opentracing::FinishSpanOptions &) noexcept override
    {
        absl::MutexLock lock(&m_mutex);
        if (m_finished)
            return;
        m_finished = true;
        const std::int64_t micros =
            absl::ToInt64Microseconds(absl::FromUnixMicros(core::wallClockMicros()) - m_start);
        m_json["duration"] = static_cast<Json::Int64>(std::max<std::int64_t>(1, micros));
        m_tracer->record(m_json);
    }

    void SetOperationName(opentracing::string_view name) noexcept override
    {
        absl::MutexLock lock(&m_mutex);
        m_json["name"] = std::string(name);
    }

    void SetTag(opentracing::string_view key, const opentracing::Value &value) noexcept override
    {
        absl::MutexLock lock(&m_mutex);
        m_json["tags"][std::string(key)] = tagToString(value);
    }

    void SetBaggageItem(opentracing::string_view, opentracing::string_view) noexcept override { }
    std::string BaggageItem(opentracing::string_view) const noexcept override { return {}; }

    void Log(std::initializer_list<std::pair<opentracing::string_view, opentracing::Value>>
                 fields) noexcept override
    {
        annotate(absl::FromUnixMicros(core::wallClockMicros()), fields);
    }

    void Log(opentracing::SystemTime timestamp,
             std::initializer_list<std::pair<opentracing::string_view, opentracing::Value>>
                 fields) noexcept override
    {
        annotate(absl::FromChrono(timestamp), fields);
    }

    void Log(opentracing::SystemTime timestamp,
             const std::vector<std::pair<opentracing::string_view, opentracing::Value>>
                 &fields) noexcept override
    {
        annotate(absl::FromChrono(timestamp), fields);
    }

    const opentracing::SpanContext &context() const noexcept override { return m_context; }
    const opentracing::Tracer &tracer() const noexcept override { return *m_tracer; }

private:
    template <typename Fields>
    void annotate(absl::Time when, const Fields &fields)
    {
        absl::MutexLock lock(&m_mutex);
        for (const auto &[key, value] : fields) {
            Json::Value annotation;
            annotation["timestamp"] = static_cast<Json::Int64>(absl::ToUnixMicros(when));
            annotation["value"] = std::string(key) + "=" + tagToString(value);
            m_json["annotations"].append(annotation);
        }
    }

    const std::shared_ptr<Tracer::Private> m_tracer;
    const Context m_context;
    const absl::Time m_start;
    absl::Mutex m_mutex;
    Json::Value m_json ABSL_GUARDED_BY(m_mutex);
    bool m_finished ABSL_GUARDED_BY(m_mutex) = false;
};

} // namespace

std::unique_ptr<opentracing::Span> Tracer::Private::StartSpanWithOptions(
    opentracing::string_view name, const opentracing::StartSpanOptions &options) const noexcept
{
    const opentracing::SpanContext *parent =
        options.references.empty() ? nullptr : options.references.front().second;
    const std::string spanId = core::randomHexId().substr(0, SpanIdDigits);
    const std::string traceId = parent ? parent->ToTraceID() : core::randomHexId();
    const std::string parentId = parent ? parent->ToSpanID() : std::string();
    auto self = std::const_pointer_cast<Private>(shared_from_this());
    return std::make_unique<Span>(std::move(self), std::string(name), Context(traceId, spanId),
                                  parentId);
}

Tracer::Tracer(const std::string &process, SpanSink sink)
    : d(std::make_shared<Private>(process, std::move(sink)))
{ }

Tracer::~Tracer()
{
    d->stop();
}

std::unique_ptr<opentracing::Span> Tracer::start(const std::string &name,
                                                 const std::string &traceparent) const
{
    const std::unique_ptr<Context> parent = parseTraceparent(traceparent);
    if (!parent)
        return d->StartSpan(name);
    return d->StartSpan(name, {opentracing::ChildOf(parent.get())});
}

std::string Tracer::traceparent(const opentracing::Span &span)
{
    return Context(span.context().ToTraceID(), span.context().ToSpanID()).traceparent();
}

std::int64_t Tracer::dropped() const
{
    return d->dropped();
}

} // namespace oleandercross::telemetry
