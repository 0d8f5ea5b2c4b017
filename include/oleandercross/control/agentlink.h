#pragma once

#include <oleandercross/control/agentmessages.h>
#include <oleandercross/core/clock.h>
#include <oleandercross/rpc/rpc.h>

#include <absl/synchronization/mutex.h>

#include <atomic>
#include <functional>
#include <string>
#include <thread>
#include <vector>

namespace oleandercross::control {

// The leader's side of the conversation with one agent: one thread watches its worker, another one
// hands over orders.
class AgentLink
{
public:
    struct Callbacks
    {
        // Called from the link's threads; must not block.
        // Without news only the progress of running tasks has changed.
        std::function<void(const std::string &agent, AgentState state, bool news)> onState;
        std::function<void(const std::string &agent, const std::string &life,
                           std::vector<planning::Order> orders, std::vector<OrderResult> results)>
            onResults;
        // The agent has met a later epoch.
        std::function<void(const std::string &agent)> onDeposed;
        // False while this process may have lost the lead without knowing; permits to extend leases
        // are not renewed then.
        std::function<bool()> mayPermit;
    };

    AgentLink(std::string agent, http::Endpoint address, std::int64_t epoch, rpc::Client &client,
              Callbacks callbacks);
    ~AgentLink();
    AgentLink(const AgentLink &) = delete;
    AgentLink &operator=(const AgentLink &) = delete;

    // Hands orders for one life of the worker over, after those sent before.
    void send(const std::string &life, std::vector<planning::Order> orders);
    // Tells the agent which ends are recorded.
    void acknowledge(const std::string &life, std::int64_t number);

    // When the agent answered last; the infinite past if it never has.
    core::Instant lastAnswer() const;
    const http::Endpoint &address() const { return m_address; }

    // Makes the threads end; the destructor waits for them.
    void stop();

private:
    void watchLoop();
    void orderLoop();
    bool watchOnce(WatchCall &call);
    bool hasOrders() const ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    void noteFailure(const char *call);

    const std::string m_agent;
    const http::Endpoint m_address;
    const std::int64_t m_epoch;
    rpc::Client &m_client;
    const Callbacks m_callbacks;
    const core::BootClock m_clock;
    std::atomic<bool> m_stopping = false;
    mutable absl::Mutex m_mutex;
    OrderCall m_pending ABSL_GUARDED_BY(m_mutex);
    bool m_acknowledge ABSL_GUARDED_BY(m_mutex) = false;
    core::Instant m_lastAnswer ABSL_GUARDED_BY(m_mutex) = absl::InfinitePast();
    // The agent's clock in its last answer.
    std::int64_t m_agentClockMs ABSL_GUARDED_BY(m_mutex) = 0;
    // Ends are permitted up to here, so that a clock that starts anew cannot extend it.
    std::int64_t m_permitMs ABSL_GUARDED_BY(m_mutex) = 0;
    bool m_silent ABSL_GUARDED_BY(m_mutex) = false;
    std::thread m_watcher;
    std::thread m_orderer;
};

} // namespace oleandercross::control
