#include <oleandercross/http/clientpool.h>

#include <oleandercross/core/clock.h>
#include <oleandercross/core/resultcode.h>

#include <absl/container/btree_map.h>
#include <absl/strings/ascii.h>
#include <absl/synchronization/mutex.h>
#include <httplib.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace oleandercross::http {

namespace {

constexpr int TcpUserTimeoutMs = 2000;

struct IdleClient
{
    std::unique_ptr<httplib::Client> client;
    core::Instant since;
};

void setSocketOptions(int socket)
{
    const int on = 1;
    const int userTimeout = TcpUserTimeoutMs;
    setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    setsockopt(socket, IPPROTO_TCP, TCP_USER_TIMEOUT, &userTimeout, sizeof(userTimeout));
}

core::ResultCode codeOf(httplib::Error error)
{
    switch (error) {
    case httplib::Error::Connection:
    case httplib::Error::BindIPAddress:
    case httplib::Error::SSLConnection:
    case httplib::Error::SSLLoadingCerts:
    case httplib::Error::SSLServerVerification:
    case httplib::Error::ConnectionTimeout:
        return core::ResultCode::ConnectionFailed;
    case httplib::Error::Canceled:
        return core::ResultCode::Timeout;
    default:
        return core::ResultCode::ConnectionLost;
    }
}

Response toResponse(const httplib::Response &from)
{
    Response response;
    response.status = from.status;
    response.body = from.body;
    response.contentType = from.get_header_value("Content-Type");
    for (const auto &[key, value] : from.headers)
        response.headers[absl::AsciiStrToLower(key)] = value;
    return response;
}

} // namespace

class ClientPool::Private
{
public:
    std::unique_ptr<httplib::Client> take(const Endpoint &endpoint)
    {
        absl::MutexLock lock(&mutex);
        std::vector<IdleClient> &clients = idle[endpoint];
        const core::Instant oldest = clock.now() - options.maxIdle;
        while (!clients.empty()) {
            IdleClient last = std::move(clients.back());
            clients.pop_back();
            if (last.since >= oldest)
                return std::move(last.client);
        }
        return nullptr;
    }

    void giveBack(const Endpoint &endpoint, std::unique_ptr<httplib::Client> client)
    {
        absl::MutexLock lock(&mutex);
        std::vector<IdleClient> &clients = idle[endpoint];
        if (static_cast<int>(clients.size()) < options.maxIdlePerEndpoint)
            clients.push_back({std::move(client), clock.now()});
    }

    std::unique_ptr<httplib::Client> create(const Endpoint &endpoint) const
    {
        const std::string scheme = options.tls ? "https://" : "http://";
        const std::string url = scheme + toString(endpoint);
        auto client = options.tls ? std::make_unique<httplib::Client>(
                          url, options.tls->certificateFile, options.tls->keyFile)
                                  : std::make_unique<httplib::Client>(url);
        if (options.tls) {
            if (options.tls->authorityFile.empty())
                client->enable_server_certificate_verification(false);
            else
                client->set_ca_cert_path(options.tls->authorityFile);
        }
        client->set_keep_alive(true);
        client->set_socket_options(setSocketOptions);
        client->set_connection_timeout(absl::ToChronoMilliseconds(options.connectTimeout));
        return client;
    }

    ClientOptions options;
    core::SteadyClock clock;
    absl::Mutex mutex;
    absl::btree_map<Endpoint, std::vector<IdleClient>> idle ABSL_GUARDED_BY(mutex);
};

ClientPool::ClientPool(ClientOptions options)
    : d(std::make_unique<Private>())
{
    d->options = std::move(options);
}

ClientPool::~ClientPool() = default;

std::optional<Response> ClientPool::send(const Endpoint &endpoint, const Request &request,
                                         absl::Duration timeout, const ResponseCheck &check)
{
    if (timeout <= absl::ZeroDuration())
        return core::fail(core::ResultCode::ConnectionFailed, "no time left to send");
    std::unique_ptr<httplib::Client> client = d->take(endpoint);
    if (!client)
        client = d->create(endpoint);
    client->set_read_timeout(absl::ToChronoMilliseconds(timeout));
    client->set_write_timeout(absl::ToChronoMilliseconds(timeout));

    httplib::Request message;
    message.method = request.method;
    message.path = request.path;
    message.body = request.body;
    for (const auto &[key, value] : request.headers)
        message.headers.emplace(key, value);
    if (!request.body.empty() && request.headers.count("content-type") == 0)
        message.headers.emplace("Content-Type", "application/json");

    // The library's timeouts apply to each read, so a slow response is limited here.
    const core::Instant deadline = d->clock.now() + timeout;
    bool tooLarge = false;
    message.progress = [&](std::uint64_t current, std::uint64_t total) {
        tooLarge = std::max(current, total) > d->options.maxBodyBytes;
        return !tooLarge && d->clock.now() < deadline;
    };
    const httplib::Result result = client->send(message);
    if (!result) {
        core::ResultCode code = codeOf(result.error());
        if (tooLarge)
            code = core::ResultCode::BadAnswer;
        else if (code == core::ResultCode::ConnectionLost && d->clock.now() >= deadline)
            code = core::ResultCode::Timeout;
        return core::fail(code, toString(endpoint) + ": " + httplib::to_string(result.error()));
    }
    Response response = toResponse(*result);
    if (check && !check(response))
        return core::fail(core::ResultCode::BadAnswer,
                          toString(endpoint) + ": the response belongs to another request");
    if (absl::AsciiStrToLower(result->get_header_value("Connection")) != "close")
        d->giveBack(endpoint, std::move(client));
    return response;
}

void ClientPool::forget(const Endpoint &endpoint)
{
    absl::MutexLock lock(&d->mutex);
    d->idle.erase(endpoint);
}

} // namespace oleandercross::http
