#include <oleandercross/control/configreplica.h>

#include <oleandercross/core/json.h>
#include <oleandercross/core/resultcode.h>
#include <oleandercross/rpc/broadcast.h>
#include <oleandercross/telemetry/eventlog.h>

#include <algorithm>

namespace oleandercross::control {

namespace {

// How long the store may delay its response while the configuration does not change. Short, so that
// a dead connection is detected soon.
constexpr absl::Duration FeedWait = absl::Milliseconds(700);
// The number of peers that are asked for a newer version after a failed call to the store. Peers
// announce new versions, so few questions suffice, also while the store is away for all processes.
constexpr std::size_t PeersPerFailure = 3;

} // namespace

ConfigReplica::ConfigReplica(ConfigReplicaOptions options, RowStore &store, rpc::Client &client,
                             telemetry::Metrics &metrics, CatalogDecoder decoder,
                             Callbacks callbacks)
    : m_options(std::move(options))
    , m_client(client)
    , m_metrics(metrics)
    , m_decoder(std::move(decoder))
    , m_callbacks(std::move(callbacks))
    , m_closures(std::make_shared<ClosureReplica>(m_options.closurePrefix, metrics))
    , m_follower(store, m_options.table, FeedWait,
                 {[this](const auto &rows) { applyRows(rows); },
                  [this](const auto &rows) { applyRows(rows); },
                  [this] {
                      absl::MutexLock lock(&m_mutex);
                      m_storeFailed = true;
                  },
                  [this](absl::Duration pause) {
                      m_followPause = pause;
                      m_metrics.observe("config_follow_pause_seconds", pause);
                  },
                  [this](const TableUpdate &update) { applyUpdate(update); }})
{ }

ConfigReplica::~ConfigReplica()
{
    stop();
}

void ConfigReplica::serve(rpc::Server &server)
{
    server.add("config", [this](const Json::Value &params) -> std::optional<Json::Value> {
        Json::Value answer(Json::objectValue);
        if (m_closures->enabled()) {
            const core::Instant confirmedAt = m_closures->confirmedAt();
            answer["closures"] = toJson(*m_closures->current());
            if (confirmedAt != absl::InfinitePast())
                // Rounded up, so that the peer does not count the set as newer than it is.
                answer["closuresAge"] = static_cast<Json::Int64>(absl::ToInt64Milliseconds(
                    absl::Ceil(m_clock.now() - confirmedAt, absl::Milliseconds(1))));
        }
        absl::MutexLock lock(&m_mutex);
        if (version() > core::intMember(params, "have", -1))
            answer["config"] = m_text;
        return answer;
    });
    server.add("config-version", [this](const Json::Value &params) -> std::optional<Json::Value> {
        const auto peer = http::parseEndpoint(core::stringMember(params, "address"));
        if (!peer)
            return std::nullopt;
        const AnnouncedVersions announced{core::intMember(params, "version", -1),
                                          core::intMember(params, "closures", -1)};
        absl::MutexLock lock(&m_mutex);
        if (isNewer(announced))
            m_announcedVersions[*peer] = announced;
        return Json::Value(Json::objectValue);
    });
}

void ConfigReplica::start()
{
    m_follower.start();
    m_peerThread = std::thread([this] { peerLoop(); });
}

void ConfigReplica::beginStop()
{
    m_follower.beginStop();
    absl::MutexLock lock(&m_mutex);
    m_stopping = true;
}

void ConfigReplica::stop()
{
    beginStop();
    m_follower.stop();
    if (m_peerThread.joinable())
        m_peerThread.join();
}

std::shared_ptr<const workload::Catalog> ConfigReplica::catalog() const
{
    absl::MutexLock lock(&m_mutex);
    return m_catalog;
}

bool ConfigReplica::isNewer(const AnnouncedVersions &announced) const
{
    return announced.config > version()
        || (m_closures->enabled() && announced.closures > m_closures->current()->version);
}

void ConfigReplica::applyUpdate(const TableUpdate &update)
{
    const std::int64_t changedBefore = m_closures->changedVersion();
    m_closures->apply(update);
    if (m_closures->changedVersion() == changedBefore)
        return;
    absl::MutexLock lock(&m_mutex);
    m_announcePending = true;
}

void ConfigReplica::adoptClosures(const Json::Value &answer, core::Instant askedAt)
{
    if (!m_closures->enabled() || !answer.isObject() || !answer.isMember("closures"))
        return;
    const auto closed = closedDataCentresFromJson(core::member(answer, "closures"));
    const auto ageMs = core::optionalInt(answer, "closuresAge", -1, {-1, core::MaxExactInt});
    if (!closed || !ageMs) {
        telemetry::Event("closures_unreadable").with("reason", core::lastReason().message);
        return;
    }
    m_closures->adopt(*closed,
                      *ageMs < 0 ? absl::InfinitePast() : askedAt - absl::Milliseconds(*ageMs));
}

std::int64_t ConfigReplica::version() const
{
    return m_catalog ? m_catalog->version : -1;
}

void ConfigReplica::applyRows(const std::vector<StoredRow> &rows)
{
    telemetry::Event("config_changed")
        .with("rows", static_cast<std::int64_t>(rows.size()))
        .with("pause_ms", absl::ToInt64Milliseconds(m_followPause));
    // A response may contain several versions of the row, of which only the newest readable one is
    // needed.
    for (auto row = rows.rbegin(); row != rows.rend(); ++row) {
        if (row->key != m_options.key || row->removed || !adopt(row->value, "store"))
            continue;
        absl::MutexLock lock(&m_mutex);
        m_announcePending = true;
        return;
    }
}

bool ConfigReplica::adopt(const std::string &text, const char *source)
{
    // Versions from the store and from peers are adopted one at a time, so that onAdopted() is
    // called in their order.
    absl::MutexLock adoptLock(&m_adoptMutex);
    const std::optional<workload::Catalog> decoded = m_decoder(text);
    if (!decoded) {
        telemetry::Event("config_unreadable")
            .with("source", source)
            .with("reason", core::lastReason().message);
        return false;
    }
    const auto catalog = std::make_shared<const workload::Catalog>(*decoded);
    {
        absl::MutexLock lock(&m_mutex);
        if (version() >= catalog->version)
            return false;
        m_catalog = catalog;
        m_text = text;
    }
    telemetry::Event("config_in_force")
        .with("version", catalog->version)
        .with("source", source)
        .with("queues", static_cast<std::int64_t>(catalog->queues.size()));
    m_callbacks.onAdopted(catalog);
    return true;
}

bool ConfigReplica::hasPeerWork() const
{
    return m_stopping || m_announcePending || m_storeFailed || !m_announcedVersions.empty();
}

void ConfigReplica::peerLoop()
{
    while (true) {
        bool announce = false;
        {
            absl::MutexLock lock(&m_mutex);
            m_mutex.Await(absl::Condition(this, &ConfigReplica::hasPeerWork));
            if (m_stopping)
                return;
            announce = std::exchange(m_announcePending, false);
        }
        if (announce)
            announceVersion();
        fetchFrom(takePeersToFetchFrom());
    }
}

void ConfigReplica::announceVersion()
{
    Json::Value params(Json::objectValue);
    params["address"] = toString(m_options.self);
    {
        absl::MutexLock lock(&m_mutex);
        params["version"] = static_cast<Json::Int64>(version());
    }
    if (m_closures->enabled())
        params["closures"] = static_cast<Json::Int64>(m_closures->changedVersion());
    const core::Instant begin = m_clock.now();
    const std::vector<http::Endpoint> peers = m_callbacks.peers();
    const int answered =
        rpc::broadcast(m_client, peers, "config-version", params, m_options.peerTimeout);
    telemetry::Event("config_announced")
        .with("version", core::intMember(params, "version"))
        .with("unanswered", static_cast<std::int64_t>(peers.size()) - answered)
        .with("took_ms", absl::ToInt64Milliseconds(m_clock.now() - begin));
}

std::vector<http::Endpoint> ConfigReplica::takePeersToFetchFrom()
{
    const std::vector<http::Endpoint> peers = m_callbacks.peers();
    absl::MutexLock lock(&m_mutex);
    std::vector<http::Endpoint> sources;
    for (const auto &[peer, announced] : std::exchange(m_announcedVersions, {})) {
        if (isNewer(announced) && sources.size() < PeersPerFailure)
            sources.push_back(peer);
    }
    if (std::exchange(m_storeFailed, false)) {
        for (std::size_t i = 0; i < std::min(PeersPerFailure, peers.size()); ++i)
            sources.push_back(peers[m_nextPeer++ % peers.size()]);
    }
    return sources;
}

void ConfigReplica::fetchFrom(const std::vector<http::Endpoint> &peers)
{
    // One after another: several copies of a large configuration at once would delay each other on
    // a slow link until all of them time out. The later peers send nothing that is known by then.
    for (const http::Endpoint &peer : peers) {
        Json::Value params(Json::objectValue);
        {
            absl::MutexLock lock(&m_mutex);
            if (m_stopping)
                return;
            params["have"] = static_cast<Json::Int64>(version());
        }
        const core::Instant askedAt = m_clock.now();
        const auto answer =
            m_client.call(peer, "config", params, m_options.peerTimeout, BulkTransferTime);
        if (!answer)
            continue;
        adoptClosures(*answer, askedAt);
        if (const Json::Value &config = core::member(*answer, "config"); config.isString())
            adopt(config.asString(), "peer");
    }
}

} // namespace oleandercross::control
