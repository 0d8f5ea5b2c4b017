#pragma once

#include <oleandercross/control/agentmessages.h>
#include <oleandercross/core/clock.h>
#include <oleandercross/rpc/rpc.h>

#include <absl/synchronization/mutex.h>

#include <atomic>
#include <functional>
#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace oleandercross::control {

// The orders of one call must fit into the body of a request, and an agent should carry them out
// within the timeout of a call.
inline constexpr std::size_t MaxOrdersPerCall = 16;
// The part of a call that one job may use while orders of others are waiting.
inline constexpr std::size_t MaxOrdersOfJobPerCall = 8;

// Removes the orders of the next call from the waiting ones. The orders of a job stay in sequence.
std::vector<planning::Order> takeOrders(std::vector<planning::Order> &waiting);

// The leader's connection to one agent. One thread polls the state of the agent's worker, another
// one sends orders.
class AgentLink
{
public:
    struct Callbacks
    {
        // The callbacks are called from the link's threads and must not block.
        // `stateChanged` is false if at most the progress of running tasks has changed.
        std::function<void(const std::string &agent, AgentState state, bool stateChanged)> onState;
        std::function<void(const std::string &agent, const std::string &workerIncarnation,
                           std::vector<planning::Order> orders, std::vector<OrderResult> results)>
            onResults;
        // Called when the agent reports a later epoch.
        std::function<void(const std::string &agent)> onDeposed;
        // Returns false once this process has lost the leadership, or may have. The agent's permit
        // to extend leases is not renewed then.
        std::function<bool()> mayRenewPermit;
        // Returns the closed data centres, which every call carries.
        std::function<std::shared_ptr<const ClosedDataCentres>()> closedDataCentres;
        // Returns the time until which an agent with these may send starts.
        std::function<core::Instant()> startsUntil;
        // Returns false while it is not known well enough which data centres are closed. Starts are
        // then not sent; their results are NotApplicable.
        std::function<bool()> mayOrderStarts;
    };

    // `term` is the first term of this link; calls of earlier links must be in earlier terms.
    AgentLink(std::string agent, http::Endpoint address, Term term, rpc::Client &client,
              Callbacks callbacks);
    ~AgentLink();
    AgentLink(const AgentLink &) = delete;
    AgentLink &operator=(const AgentLink &) = delete;

    // Queues orders for one incarnation of the worker. Skips orders that are already pending, and
    // discards everything that is pending for another incarnation.
    void send(const std::string &workerIncarnation, std::vector<planning::Order> orders);
    // Queues an acknowledgement of all ended runs of one incarnation up to `number`. Discards
    // everything that is pending for another incarnation.
    void acknowledge(const std::string &workerIncarnation, std::int64_t number);

    // Raises the term, so that nothing that was decided before can take effect any more, and
    // discards all pending orders. Returns false and does nothing if the agent has reported the
    // incarnation since `lastReport`, since it may have got a new permit then.
    bool revoke(const std::string &workerIncarnation, core::Instant lastReport);
    // Tells the agent that no configuration names the service.
    void rejectService(const std::string &service);
    // Forgets the rejected services after the configuration has changed.
    void clearRejectedServices();

    Term term() const;
    // Returns the time of the agent's latest response, or the infinite past if there is none.
    core::Instant lastResponseTime() const;
    // Returns the incarnation that the latest response with a worker reported, and its time.
    std::pair<std::string, core::Instant> lastReport() const;
    const http::Endpoint &address() const { return m_address; }

    // Asks the threads to exit; the destructor joins them.
    void stop();

private:
    void watchLoop();
    void orderLoop();
    bool watchOnce(WatchCall &call);
    // Returns the end of the permit to grant with the next call.
    std::int64_t permitUntilMs() ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    void recordState(const AgentState &state) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    // Removes the starts from a call that must not contain any.
    void dropStarts(OrderCall &call);
    // Adds the closed data centres, and for how long they hold.
    template <typename Call>
    void addClosures(Call &call) const;
    // Sends the acknowledgement of a call without an answer again.
    void repeatAcknowledgement(const OrderCall &call);
    bool hasWork() const ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    void recordFailure(const char *call);

    const std::string m_agent;
    const http::Endpoint m_address;
    rpc::Client &m_client;
    const Callbacks m_callbacks;
    const core::BootClock m_clock;
    std::atomic<bool> m_stopping = false;
    mutable absl::Mutex m_mutex;
    Term m_term ABSL_GUARDED_BY(m_mutex);
    std::vector<std::string> m_rejectedServices ABSL_GUARDED_BY(m_mutex);
    OrderCall m_pending ABSL_GUARDED_BY(m_mutex);
    bool m_acknowledge ABSL_GUARDED_BY(m_mutex) = false;
    core::Instant m_lastResponseTime ABSL_GUARDED_BY(m_mutex) = absl::InfinitePast();
    // The incarnation that the latest response with a worker reported, and its time.
    std::string m_reportedIncarnation ABSL_GUARDED_BY(m_mutex);
    core::Instant m_reportedAt ABSL_GUARDED_BY(m_mutex) = absl::InfinitePast();
    // The latest response reported a worker that is not lost and has listed its runs in the present
    // term.
    bool m_workerUsable ABSL_GUARDED_BY(m_mutex) = false;
    // The agent's clock in its latest response, 0 before the first one.
    std::int64_t m_agentClockMs ABSL_GUARDED_BY(m_mutex) = 0;
    // The end of the latest permit of this term on the agent's clock, which every call carries. It
    // stays unchanged while permits are not renewed, also if the agent's clock has restarted since.
    std::int64_t m_permitUntilMs ABSL_GUARDED_BY(m_mutex) = 0;
    // True from a failed call until the next successful watch call.
    bool m_callFailed ABSL_GUARDED_BY(m_mutex) = false;
    std::thread m_watchThread;
    std::thread m_orderThread;
};

} // namespace oleandercross::control
