#include <oleandercross/telemetry/tracer.h>

#include <oleandercross/core/json.h>

#include <absl/synchronization/mutex.h>
#include <catch2/catch.hpp>
#include <opentracing/span.h>

using namespace oleandercross;

namespace {

const std::string ParentTrace = "0af7651916cd43dd8448eb211c80319c";
const std::string ParentSpan = "b7ad6b7169203331";

// Collects the spans that a tracer passes to its sink.
class Collector
{
public:
    telemetry::SpanSink sink()
    {
        return [this](const std::string &text) {
            const auto batch = core::parseJson(text);
            absl::MutexLock lock(&m_mutex);
            for (const Json::Value &span : *batch)
                m_spans.append(span);
        };
    }

    Json::Value spans() const
    {
        absl::MutexLock lock(&m_mutex);
        return m_spans;
    }

private:
    mutable absl::Mutex m_mutex;
    Json::Value m_spans = Json::arrayValue;
};

} // namespace

TEST_CASE("a span continues the trace of a valid traceparent only")
{
    struct Case
    {
        std::string name;
        std::string traceparent;
        bool valid;
    };
    const auto c = GENERATE(values<Case>({
        {"valid", "00-" + ParentTrace + "-" + ParentSpan + "-01", true},
        {"later version with a further field", "01-" + ParentTrace + "-" + ParentSpan + "-01-x",
         true},
        {"empty", "", false},
        {"short trace id", "00-abc-" + ParentSpan + "-01", false},
        {"upper case", "00-0AF7651916CD43DD8448EB211C80319C-" + ParentSpan + "-01", false},
        {"all-zero trace id", "00-" + std::string(32, '0') + "-" + ParentSpan + "-01", false},
        {"all-zero span id", "00-" + ParentTrace + "-" + std::string(16, '0') + "-01", false},
        {"forbidden version", "ff-" + ParentTrace + "-" + ParentSpan + "-01", false},
        {"version 00 with a further field", "00-" + ParentTrace + "-" + ParentSpan + "-01-x",
         false},
        {"no flags", "00-" + ParentTrace + "-" + ParentSpan, false},
        {"flags not hexadecimal", "00-" + ParentTrace + "-" + ParentSpan + "-zz", false},
    }));
    CAPTURE(c.name);
    const telemetry::Tracer tracer("test", {});
    const auto span = tracer.start("work", c.traceparent);
    const std::string outgoing = telemetry::Tracer::traceparent(*span);
    REQUIRE(outgoing.size() == 55);
    const std::string trace = outgoing.substr(3, 32);
    CHECK((trace == ParentTrace) == c.valid);
    CHECK(trace.find_first_not_of("0123456789abcdef") == std::string::npos);
    CHECK(trace != std::string(32, '0'));
    // The propagated parent id is that of the new span, not that of its own parent.
    CHECK(outgoing.substr(36, 16) != ParentSpan);
}

TEST_CASE("finished spans reach the sink as Zipkin JSON")
{
    Collector collector;
    std::string traceparent;
    {
        const telemetry::Tracer tracer("entry-1", collector.sink());
        const auto parent = tracer.start("request", "");
        traceparent = telemetry::Tracer::traceparent(*parent);
        {
            const auto child = tracer.start("dispatch", traceparent);
            child->SetTag("code", 0);
            child->SetTag("service", "dispatch");
            child->Log({{"event", "queued"}});
            // Finishing twice must not report the span twice.
            child->Finish();
        }
    }
    const Json::Value spans = collector.spans();
    REQUIRE(spans.size() == 2);
    const Json::Value &child = spans[0];
    const Json::Value &parent = spans[1];
    CHECK(child["name"] == "dispatch");
    CHECK(parent["name"] == "request");
    CHECK(child["traceId"] == traceparent.substr(3, 32));
    CHECK(child["parentId"] == traceparent.substr(36, 16));
    CHECK(parent["id"] == child["parentId"]);
    CHECK_FALSE(parent.isMember("parentId"));
    CHECK(child["localEndpoint"]["serviceName"] == "entry-1");
    CHECK(child["tags"]["code"] == "0");
    CHECK(child["tags"]["service"] == "dispatch");
    CHECK(child["annotations"][0]["value"] == "event=queued");
    CHECK(child["timestamp"].asInt64() >= parent["timestamp"].asInt64());
    CHECK(child["duration"].asInt64() >= 1);
}

// Guards against unbounded memory use when the trace collector stops accepting spans.
TEST_CASE("spans are dropped and counted while the sink is stuck")
{
    absl::Mutex mutex;
    bool release = false;
    int received = 0;
    telemetry::Tracer tracer("test", [&](const std::string &text) {
        absl::MutexLock lock(&mutex);
        mutex.Await(absl::Condition(&release));
        received += static_cast<int>(core::parseJson(text)->size());
    });
    constexpr int Count = 10000;
    for (int i = 0; i < Count; ++i)
        tracer.start("work", "")->Finish();
    const std::int64_t dropped = tracer.dropped();
    CHECK(dropped > 0);
    CHECK(dropped < Count);
    {
        absl::MutexLock lock(&mutex);
        release = true;
    }
}
