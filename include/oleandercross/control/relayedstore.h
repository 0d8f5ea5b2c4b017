#pragma once

#include <oleandercross/control/rowstore.h>
#include <oleandercross/core/clock.h>
#include <oleandercross/http/message.h>
#include <oleandercross/rpc/rpc.h>

#include <absl/synchronization/mutex.h>

#include <atomic>
#include <functional>
#include <vector>

namespace oleandercross::control {

// Accesses the store directly, or through another entry while the store refuses the calls of this
// machine or does not respond to them.
class RelayedStore : public RowStore
{
public:
    RelayedStore(RowStore &direct, rpc::Client &client,
                 std::function<std::vector<http::Endpoint>()> peers);

    CommitResult commit(const RowChanges &changes, absl::Duration timeout) override;
    std::optional<RowPage> range(const std::string &table, const std::string &partition,
                                 const std::string &from, int limit,
                                 absl::Duration timeout) override;
    std::optional<RowFeed> changes(const std::string &table, std::int64_t after,
                                   absl::Duration wait) override;

    // Returns false after a failed direct call, until one succeeds again.
    bool directlyReachable() const;
    // Limits later calls to direct ones, so that a stopping process does not wait for peers.
    void stopRelaying() { m_relayingStopped = true; }

    // Registers the RPC methods through which peers use this process's connection to the store.
    void serve(rpc::Server &server);

private:
    // Returns the few peers that one call tries, starting with the one that relayed the previous
    // call successfully, or else with the next one in turn. Forgets the former, so that it is
    // preferred again only if it relays this call too.
    std::vector<http::Endpoint> takeRelayCandidates();
    void preferRelay(const http::Endpoint &peer);
    // Returns true while the store is directly reachable; otherwise at most once per probe period.
    bool shouldTryDirect();
    void recordReachability(bool reached);
    std::optional<Json::Value> relay(const char *method, const Json::Value &params,
                                     absl::Duration timeout);
    std::optional<Json::Value> serveCommit(const Json::Value &params);
    std::optional<Json::Value> serveRange(const Json::Value &params);
    std::optional<Json::Value> serveChanges(const Json::Value &params);

    RowStore &m_direct;
    rpc::Client &m_client;
    const std::function<std::vector<http::Endpoint>()> m_peers;
    const core::BootClock m_clock;
    std::atomic<bool> m_relayingStopped = false;
    mutable absl::Mutex m_mutex;
    bool m_directlyReachable ABSL_GUARDED_BY(m_mutex) = true;
    http::Endpoint m_preferredRelay ABSL_GUARDED_BY(m_mutex);
    std::size_t m_nextRelay ABSL_GUARDED_BY(m_mutex) = 0;
    core::Instant m_nextProbe ABSL_GUARDED_BY(m_mutex) = absl::InfinitePast();
};

} // namespace oleandercross::control
