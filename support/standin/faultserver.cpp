#include "faultserver.h"

#include "answerswap.h"
#include "socketstream.h"

#include <oleandercross/core/json.h>

#include <absl/strings/ascii.h>
#include <absl/strings/str_cat.h>
#include <http/connectionthreads.h>
#include <httplib.h>
#include <netinet/tcp.h>

#include <atomic>

namespace oleandercross::standin {

namespace {

constexpr int MaxConnections = 1024;
constexpr std::size_t MaxBodyBytes = 64 << 20;
constexpr absl::Duration KeepAliveTimeout = absl::Seconds(60);
constexpr absl::Duration SwapTimeout = absl::Seconds(1);
constexpr int ListenBacklog = 1024;

// Plan for the request served by the current thread.
thread_local FaultPlan currentPlan;
thread_local int currentSocket = -1;

http::Request toRequest(const httplib::Request &from)
{
    http::Request request;
    request.method = from.method;
    request.path = from.path;
    for (const auto &[key, value] : from.params)
        request.query[key] = value;
    for (const auto &[key, value] : from.headers)
        request.headers[absl::AsciiStrToLower(key)] = value;
    request.body = from.body;
    return request;
}

std::size_t middleOfBody(const std::string &bytes)
{
    const auto head = bytes.find("\r\n\r\n");
    const std::size_t body = head == std::string::npos ? 0 : head + 4;
    return body + (bytes.size() - body) / 2;
}

// Removes the last byte of the answer's body and adapts Content-Length.
std::string withoutLastByte(const std::string &bytes)
{
    const auto head = bytes.find("\r\n\r\n");
    const std::string field = "Content-Length: ";
    const auto start = bytes.find(field);
    if (head == std::string::npos || start == std::string::npos || head + 4 >= bytes.size())
        return bytes;
    const auto end = bytes.find("\r\n", start);
    const std::string length = absl::StrCat(bytes.size() - head - 5);
    return bytes.substr(0, start) + field + length + bytes.substr(end, bytes.size() - end - 1);
}

} // namespace

http::Response jsonResponse(int status, const Json::Value &body)
{
    http::Response response;
    response.status = status;
    response.body = core::writeJson(body);
    return response;
}

class FaultServer::Private : public httplib::Server
{
public:
    Private(http::Endpoint address, FaultServer::Handler h)
        : listenOn(std::move(address))
        , handler(std::move(h))
    {
        new_task_queue = [] { return new http::detail::ConnectionThreads(MaxConnections, 0); };
        set_payload_max_length(MaxBodyBytes);
        set_socket_options([](socket_t socket) {
            const int on = 1;
            setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
            setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
        });
        const auto any = [this](const httplib::Request &from, httplib::Response &to) {
            serve(from, to);
        };
        Get(".*", any);
        Post(".*", any);
        Put(".*", any);
        Delete(".*", any);
    }

    void raiseBacklog() { ::listen(svr_sock_, ListenBacklog); }

    void serve(const httplib::Request &from, httplib::Response &to)
    {
        const http::Request request = toRequest(from);
        const http::Response response = answer(request);
        to.status = response.status;
        for (const auto &[key, value] : response.headers)
            to.set_header(key, value);
        if (from.has_header("X-Request-Id"))
            to.set_header("X-Request-Id", from.get_header_value("X-Request-Id"));
        to.set_header("X-Body-Length", std::to_string(response.body.size()));
        to.set_content(response.body, response.contentType);
    }

    http::Response answer(const http::Request &request)
    {
        if (request.path == "/fault")
            return answerFault(request);
        if (request.path == "/counts")
            return handler(request);
        currentPlan = faults.next(request.path);
        if (currentPlan.refuse)
            return jsonResponse(503, Json::objectValue);
        if (currentPlan.close || currentPlan.ignore)
            return {};
        pause(currentPlan.delay);
        if (currentPlan.defer) {
            shutdown(currentSocket, SHUT_RDWR);
            pause(currentPlan.by);
        }
        http::Response response = handler(request);
        if (currentPlan.late)
            pause(currentPlan.by);
        return response;
    }

    http::Response answerFault(const http::Request &request)
    {
        if (request.method == "POST") {
            const auto json = core::parseJson(request.body);
            if (!json || !faults.apply(*json))
                return jsonResponse(400, Json::objectValue);
        }
        return jsonResponse(200, faults.json());
    }

    // Blocks until the time has elapsed or the server stops.
    void pause(absl::Duration time)
    {
        absl::MutexLock lock(&mutex);
        mutex.AwaitWithTimeout(absl::Condition(&stopping), time);
    }

    bool process_and_close_socket(socket_t socket) override
    {
        currentSocket = socket;
        SocketStream stream(socket);
        while (nextRequest(stream)) {
            currentPlan = {};
            bool closed = false;
            if (!process_request(stream, false, closed, nullptr) || !deliver(stream) || closed)
                break;
        }
        if (currentPlan.stall || currentPlan.ignore) {
            absl::MutexLock lock(&mutex);
            if (!stopping) {
                silent.push_back(socket);
                return true;
            }
        }
        shutdown(socket, SHUT_RDWR);
        close(socket);
        return true;
    }

    bool nextRequest(SocketStream &stream)
    {
        constexpr absl::Duration Step = absl::Milliseconds(50);
        for (absl::Duration waited; waited < KeepAliveTimeout; waited += Step) {
            if (stream.readableWithin(Step))
                return true;
            absl::MutexLock lock(&mutex);
            if (stopping)
                return false;
        }
        return false;
    }

    // Sends the captured answer according to the plan. Returns false if the connection has to be
    // closed.
    bool deliver(SocketStream &stream)
    {
        std::string bytes = stream.takeCaptured();
        const FaultPlan &plan = currentPlan;
        if (plan.close || plan.ignore || plan.defer || plan.lose || plan.stall)
            return false;
        if (plan.swap)
            bytes = swap.exchange(std::move(bytes), SwapTimeout);
        if (plan.shorten)
            bytes = withoutLastByte(bytes);
        if (plan.cut) {
            stream.send(bytes.substr(0, middleOfBody(bytes)));
            return false;
        }
        if (plan.twice)
            bytes += bytes;
        return stream.send(bytes);
    }

    void closeSilentConnections()
    {
        absl::MutexLock lock(&mutex);
        stopping = true;
        for (const int socket : silent)
            close(socket);
        silent.clear();
    }

    http::Endpoint listenOn;
    FaultServer::Handler handler;
    Faults faults;
    AnswerSwap swap;
    std::thread thread;
    absl::Mutex mutex;
    bool stopping ABSL_GUARDED_BY(mutex) = false;
    std::vector<int> silent ABSL_GUARDED_BY(mutex);
};

FaultServer::FaultServer(http::Endpoint listen, Handler handler)
    : d(std::make_unique<Private>(std::move(listen), std::move(handler)))
{ }

FaultServer::~FaultServer()
{
    stop();
}

bool FaultServer::start()
{
    if (d->listenOn.port == 0)
        d->listenOn.port = std::max(0, d->bind_to_any_port(d->listenOn.address));
    else if (!d->bind_to_port(d->listenOn.address, d->listenOn.port))
        return false;
    if (d->listenOn.port == 0)
        return false;
    d->raiseBacklog();
    d->thread = std::thread([this] { d->listen_after_bind(); });
    while (!d->is_running())
        std::this_thread::yield();
    return true;
}

void FaultServer::stop()
{
    if (!d->thread.joinable())
        return;
    d->closeSilentConnections();
    d->httplib::Server::stop();
    d->thread.join();
}

int FaultServer::port() const
{
    return d->listenOn.port;
}

http::Endpoint FaultServer::endpoint() const
{
    return d->listenOn;
}

Faults &FaultServer::faults()
{
    return d->faults;
}

} // namespace oleandercross::standin
