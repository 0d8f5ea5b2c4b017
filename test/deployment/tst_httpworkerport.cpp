#include <oleandercross/http/clientpool.h>
#include <oleandercross/http/server.h>
#include <platform/httpworkerport.h>

#include <absl/strings/str_cat.h>
#include <catch2/catch.hpp>

#include <atomic>
#include <optional>

using namespace oleandercross;
using control::OrderOutcome;

namespace {

constexpr absl::Duration Timeout = absl::Seconds(5);
constexpr std::int64_t EarlierStartMs = 1000;
constexpr std::int64_t PresentStartMs = 2000;

// One incarnation of a worker, which lists no runs and carries out every start.
class Boot
{
public:
    explicit Boot(std::int64_t startedAtMs, int port = 0)
        : Boot(200, absl::StrCat(R"({"clockMs":5,"born":)", startedAtMs, "}"), port)
    { }

    // Gives each request for a list the same response.
    Boot(int status, const std::string &list, int port = 0)
        : m_server(options(port))
    {
        m_server.route("POST", "/oleandercross/hold", [this, status, list](const http::Request &) {
            ++lists;
            return http::Response{status, list};
        });
        m_server.route("POST", "/oleandercross/run-start", [this](const http::Request &) {
            ++starts;
            return http::Response{200, R"({"clockMs":5})"};
        });
        REQUIRE(m_server.start());
    }

    int port() const { return m_server.port(); }

    std::atomic<int> lists = 0;
    std::atomic<int> starts = 0;

private:
    static http::ServerOptions options(int port)
    {
        http::ServerOptions options;
        options.listen = {"127.0.0.1", port};
        return options;
    }

    http::Server m_server;
};

// The incarnations of a worker have the same id and address.
control::WorkerReport report(std::int64_t startedAtMs, int port)
{
    control::WorkerReport report;
    report.id = "i-1";
    report.startedAtMs = startedAtMs;
    report.address = {"127.0.0.1", port};
    return report;
}

OrderOutcome start(control::WorkerPort &port, const control::WorkerReport &worker)
{
    control::StartOrder order;
    order.run = {{"5c0e7a21d94b36f8", 0, 0, 0}, 1};
    return port.start(worker, order, Timeout);
}

} // namespace

// Guards against tasks on a worker that lacks their label or has less room, because it has
// restarted as another kind under its id.
TEST_CASE("a start for an earlier boot is not sent to the present one")
{
    struct Case
    {
        const char *what;
        bool startedBefore;
        bool renewedAfter;
    };
    const Case c = GENERATE(values<Case>({
        {"without a connection", false, false},
        {"with a connection to the earlier boot", true, false},
        {"with a connection to the present boot", false, true},
        {"with a connection to each", true, true},
    }));
    CAPTURE(c.what);
    http::ClientPool pool({});
    platform::HttpWorkerPort port(pool);
    std::optional<Boot> earlier(EarlierStartMs);
    const int listenPort = earlier->port();
    const control::WorkerReport earlierReport = report(EarlierStartMs, listenPort);
    if (c.startedBefore)
        REQUIRE(start(port, earlierReport) == OrderOutcome::Done);
    earlier.reset();

    const Boot present(PresentStartMs, listenPort);
    control::WorkerRuns runs;
    if (c.renewedAfter)
        REQUIRE(port.renew(earlierReport, {}, runs, Timeout) == OrderOutcome::Done);
    CHECK(start(port, earlierReport) == OrderOutcome::OtherIncarnation);
    CHECK(present.starts == 0);
    CHECK(start(port, report(PresentStartMs, listenPort)) == OrderOutcome::Done);
    CHECK(present.starts == 1);
}

// Guards against a start on a worker that has not been identified, and against counting it as one
// that may have been carried out.
TEST_CASE("a start is sent only after the worker has listed its runs")
{
    struct Case
    {
        int status;
        const char *list;
        OrderOutcome outcome;
    };
    const Case c = GENERATE(values<Case>({
        {200, R"({"clockMs":5,"born":1000})", OrderOutcome::Done},
        {200, R"({"clockMs":5,"born":1001})", OrderOutcome::OtherIncarnation},
        {200, R"({"clockMs":5})", OrderOutcome::OtherIncarnation},
        {200, "[", OrderOutcome::NotSent},
        {421, "{}", OrderOutcome::OtherIncarnation},
        {409, R"({"clockMs":5,"reason":"fence"})", OrderOutcome::Fenced},
        {503, "{}", OrderOutcome::Refused},
    }));
    CAPTURE(c.status, c.list);
    const Boot worker(c.status, c.list);
    http::ClientPool pool({});
    platform::HttpWorkerPort port(pool);
    CHECK(start(port, report(EarlierStartMs, worker.port())) == c.outcome);
    CHECK(worker.starts == (c.outcome == OrderOutcome::Done ? 1 : 0));
}

// Guards against a call in addition to each start.
TEST_CASE("a worker is identified once on each connection")
{
    const Boot worker(EarlierStartMs);
    http::ClientPool pool({});
    platform::HttpWorkerPort port(pool);
    for (int i = 0; i < 3; ++i)
        CHECK(start(port, report(EarlierStartMs, worker.port())) == OrderOutcome::Done);
    CHECK(worker.starts == 3);
    CHECK(worker.lists == 1);
}
