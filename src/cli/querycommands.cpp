#include "session.h"
#include "text.h"

#include <oleandercross/core/json.h>

#include <absl/strings/str_cat.h>

namespace oleandercross::cli {

void print(Session &session, const Json::Value &value, const std::string &text)
{
    if (session.output == OutputFormat::Json)
        session.out << core::writeJson(value) << '\n';
    else
        session.out << text;
    session.out.flush();
}

bool showStatus(Session &session)
{
    const std::optional<Json::Value> status = session.api.json({"GET", "/v1/status"});
    if (status)
        print(session, *status, statusText(*status));
    return status.has_value();
}

bool showReport(Session &session)
{
    const std::optional<Json::Value> report = session.api.json({"GET", "/v1/report"});
    if (report)
        print(session, *report, memberLines(*report));
    return report.has_value();
}

bool showTrace(Session &session, const TraceOptions &options)
{
    const std::optional<http::Endpoint> collector = http::parseEndpoint(options.from);
    if (!collector)
        return false;
    if (!isSafePathSegment(options.id)) {
        core::fail(core::ResultCode::BadField,
                   absl::StrCat("'", options.id, "' is not a trace id"));
        return false;
    }
    // A separate client, because the caller's token must not be sent to the collector.
    ApiOptions collectorOptions;
    collectorOptions.entries = {*collector};
    ApiClient client(collectorOptions);
    const std::optional<http::Response> response =
        client.send({"GET", absl::StrCat("/api/v2/trace/", options.id)});
    if (!response)
        return false;
    const std::optional<Json::Value> spans = core::parseJson(response->body);
    if (!spans || !spans->isArray()) {
        core::fail(core::ResultCode::BadAnswer, "the collector's response is not a list of spans");
        return false;
    }
    print(session, *spans, traceTree(*spans));
    return true;
}

} // namespace oleandercross::cli
