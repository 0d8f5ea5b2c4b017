#pragma once

#include <oleandercross/control/closeddatacentres.h>
#include <oleandercross/control/tablefollower.h>
#include <oleandercross/rpc/rpc.h>
#include <oleandercross/telemetry/metrics.h>
#include <oleandercross/workload/catalog.h>

#include <absl/synchronization/mutex.h>

#include <functional>
#include <map>
#include <memory>
#include <thread>

namespace oleandercross::control {

// Decodes the operator's configuration into a catalog. Fails with BadJson or BadField.
using CatalogDecoder = std::function<std::optional<workload::Catalog>(const std::string &text)>;

struct ConfigReplicaOptions
{
    // The row that holds the operator's configuration.
    std::string table;
    std::string key;
    // The address at which peers call this process.
    http::Endpoint self;
    // The timeout of calls that a peer answers from memory.
    absl::Duration peerTimeout;
    // The prefix of the keys of rows that close data centres, in the same table. Empty if the
    // deployment has none.
    std::string closurePrefix = {};
};

// Keeps the newest configuration and the newest set of closed data centres that this process can
// learn. One thread follows the store and
// never waits for peers. Another one announces new versions to the peers and fetches newer versions
// from them, for processes that the store does not answer. The version never decreases.
class ConfigReplica
{
public:
    struct Callbacks
    {
        std::function<std::vector<http::Endpoint>()> peers;
        // Called after a newer configuration has taken effect.
        std::function<void(std::shared_ptr<const workload::Catalog> catalog)> onAdopted;
    };

    ConfigReplica(ConfigReplicaOptions options, RowStore &store, rpc::Client &client,
                  telemetry::Metrics &metrics, CatalogDecoder decoder, Callbacks callbacks);
    ~ConfigReplica();
    ConfigReplica(const ConfigReplica &) = delete;
    ConfigReplica &operator=(const ConfigReplica &) = delete;

    // Registers the RPC methods that peers call. Must be called before the server is started.
    void serve(rpc::Server &server);
    // Starts following the store.
    void start();
    // Asks both threads to exit after their current calls.
    void beginStop();
    void stop();

    // Returns the current configuration, or null before the first one has been read.
    std::shared_ptr<const workload::Catalog> catalog() const;
    // Returns the closed data centres, which are updated while this object exists.
    std::shared_ptr<ClosureReplica> closures() const { return m_closures; }

private:
    // The version of a peer's configuration, and of the latest change of its closed data centres.
    struct AnnouncedVersions
    {
        std::int64_t config = -1;
        std::int64_t closures = -1;
    };

    // Returns true if a peer has something that this process lacks.
    bool isNewer(const AnnouncedVersions &announced) const ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    void applyRows(const std::vector<StoredRow> &rows);
    // Replaces the configuration if the text is a newer version. Returns false if it is not, or if
    // it cannot be decoded.
    bool adopt(const std::string &text, const char *source);
    std::int64_t version() const ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    bool hasPeerWork() const ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    void peerLoop();
    void announceVersion();
    void applyUpdate(const TableUpdate &update);
    // Adopts the closed data centres in a peer's answer to a call that began at `askedAt`.
    void adoptClosures(const Json::Value &answer, core::Instant askedAt);
    void fetchFrom(const std::vector<http::Endpoint> &peers);
    // Returns the announcing peers that have a newer version and, after a failed call to the store,
    // the next few peers in turn.
    std::vector<http::Endpoint> takePeersToFetchFrom();

    const ConfigReplicaOptions m_options;
    rpc::Client &m_client;
    telemetry::Metrics &m_metrics;
    const CatalogDecoder m_decoder;
    const Callbacks m_callbacks;
    const core::BootClock m_clock;
    const std::shared_ptr<ClosureReplica> m_closures;
    // Held while a version is adopted; no calls to other processes are made under it.
    absl::Mutex m_adoptMutex;
    mutable absl::Mutex m_mutex;
    std::shared_ptr<const workload::Catalog> m_catalog ABSL_GUARDED_BY(m_mutex);
    std::string m_text ABSL_GUARDED_BY(m_mutex);
    // Work for the peer thread: a version read from the store is to be announced, the store did not
    // answer, and the versions that peers have announced.
    bool m_announcePending ABSL_GUARDED_BY(m_mutex) = false;
    bool m_storeFailed ABSL_GUARDED_BY(m_mutex) = false;
    std::map<http::Endpoint, AnnouncedVersions> m_announcedVersions ABSL_GUARDED_BY(m_mutex);
    bool m_stopping ABSL_GUARDED_BY(m_mutex) = false;
    // Used by the peer thread only: selects the peers to fetch from after a failed call.
    std::size_t m_nextPeer = 0;
    // Used by the thread of m_follower only: how long it did not ask the store before its latest
    // call.
    absl::Duration m_followPause = absl::ZeroDuration();
    TableFollower m_follower;
    std::thread m_peerThread;
};

} // namespace oleandercross::control
